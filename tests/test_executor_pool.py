"""Executor pools in memory, without sockets: the failures that they guard against."""

import random

from doubles import Log, Net, clock, lost

from petrelway.fakes.platform_peers import CALL, FUNCTION, answer, commands
from petrelway.node import connection_set, executor_connection, executor_pool
from petrelway.node.connection_set import ConnectionBudget
from petrelway.node.executor_pool import ExecutorPool
from petrelway.platform.opaque_request import OpaqueRequest
from petrelway.routing.types import Outcome


class Listener:
    def __init__(self):
        self.ends, self.load_requests, self.probes = [], [], []
        self.left = {}  # by key: time left to an attempt that waited, in ms

    def attempt_ended(self, executor, key, outcome, warmth, crowd, load, content_type, body):
        self.ends.append((key, outcome, body))

    def left_ms(self, key):
        return self.left.get(key, 900.0)

    def load_request_answered(self, executor, order, outcome, replicas):
        self.load_requests.append((order, outcome, replicas))

    def executor_disconnected(self, executor):
        self.disconnected = True

    def probe_answered(self, executor, probe, outcome, load):
        self.probes.append((probe, outcome))


def call(serial):
    return serial.to_bytes(8, "big")


class Rig:
    def __init__(self, room=8, streams=4, cancels=True):
        self.clock, self.net, self.listener, self.log, self.budget = (
            clock(),
            Net(),
            Listener(),
            Log(),
            ConnectionBudget(room),
        )
        self.pool = ExecutorPool(
            0,
            "s-1",
            "127.0.0.1",
            7000,
            "n0",
            "p",
            self.clock,
            self.net.connect,
            random.Random(3),
            self.listener,
            self.log,
            self.budget,
            streams,
            250.0,
            30_000.0,
            cancels,
        )
        self.clock.advance(0)  # the first dial

    def up(self):
        return self.net.accept()

    def send(self, serial, number=0, id=None, opaque_request=None):
        opaque_request = opaque_request or OpaqueRequest(id or call(serial), "safe", FUNCTION, "", b"in")
        self.pool.send((serial, number), "", FUNCTION, 0.0, 1, "safe", "acme", 900.0, 0.0, "", opaque_request)

    def fill(self, *serials):
        """Send attempts and accept every dial; return the connections, in order, with their pipes."""
        up = [self.up()] if self.net.dialled else []
        for serial in serials:
            self.send(serial)
            while self.net.dialled:
                up.append(self.up())
        return up

    def ended(self):
        ends, self.listener.ends = self.listener.ends, []
        return [(key, outcome) for key, outcome, _ in ends]

    def step(self, ms):
        for _ in range(int(ms / 10)):
            self.clock.advance(0.01)


def test_each_answer_ends_its_attempt_with_its_outcome():
    table = [
        (100, Outcome.SUCCEEDED),
        (102, Outcome.MISS),
        (103, Outcome.FULL),
        (104, Outcome.ERROR),
        (105, Outcome.UNSENT),
    ]
    rig = Rig()
    connection, pipe = rig.up()
    for serial, (code, outcome) in enumerate(table):
        rig.send(serial)
        assert [c[:2] for c in commands(pipe.take())] == [(10, call(serial))]
        connection.dataReceived(answer(code, call(serial), body=b"out"))
        assert rig.listener.ends.pop() == ((serial, 0), outcome, b"out")


def test_attempts_share_connections_only_past_the_budget():
    rig = Rig(room=3, streams=2)
    up = rig.fill(*range(7))
    assert len(up) == 3 and rig.budget.used == 3
    sent = [[c[1] for c in commands(pipe.take())] for _, pipe in up]
    assert sorted(len(ids) for ids in sent) == [2, 2, 2]
    assert rig.ended() == [((6, 0), Outcome.UNSENT)]  # beyond the bound of streams: it was not sent


def test_an_unreadable_answer_fails_only_its_own_attempt():
    rig = Rig()
    up = rig.fill(*range(3))
    up[1][0].dataReceived(b"\x00" * 40)
    assert rig.ended() == [((1, 0), Outcome.RESET)]
    assert up[1][1].aborted and not up[0][1].closed and not up[2][1].closed


def test_a_refused_dial_proves_that_an_attempt_never_ran_a_reset_does_not():
    rig = Rig()
    rig.send(1)
    rig.net.refuse()
    assert rig.ended() == [((1, 0), Outcome.UNREACHABLE)]
    rig.send(2)  # between two dials: reported at once, not queued
    assert rig.ended() == [((2, 0), Outcome.UNREACHABLE)]
    assert rig.log.events() == ["executor channel down"]
    rig.step(300)
    connection, pipe = rig.up()
    rig.step(2 * connection_set.SWEEP_INTERVAL_MS)
    assert rig.log.events() == ["executor channel down", "executor channel up"]
    rig.send(3)
    connection.connectionLost(lost())
    assert rig.ended() == [((3, 0), Outcome.RESET)]


def test_an_attempt_that_waited_for_a_dial_is_sent_only_if_still_allowed():
    """The decision may be up to a second old: the client may have left, or the executor may drain."""
    rig = Rig()
    for serial in (1, 2, 3):
        rig.send(serial)  # each with a dial of its own
    rig.listener.left = {(1, 0): 0.0, (2, 0): 345.6}
    (first, second, third) = (rig.up() for _ in range(3))
    assert first[1].take() == b"" and rig.ended() == [((1, 0), Outcome.UNSENT)]
    waits = [[c[2]["wait"] for c in commands(pipe.take())] for _, pipe in (second, third)]
    assert waits == [["345"], ["900"]] and rig.budget.counts["expired before hand-over"] == 1
    first[0].dataReceived(answer(100, call(1)))  # an answer to an attempt that was not sent
    assert rig.ended() == [] and rig.budget.counts["unmatched answers"] == 1
    rig.send(4)  # the connection is still usable, and the time left to an attempt sent at once is not checked
    rig.listener.left[4, 0] = 0.0
    assert [c[0] for c in commands(first[1].take())] == [10]


def test_an_attempt_that_waited_for_buffer_space_is_sent_only_if_still_allowed():
    rig = Rig(room=1)
    connection, pipe = rig.up()
    connection.pauseProducing()
    rig.send(1)
    assert rig.ended() == [((1, 0), Outcome.UNSENT)]  # no other connection is available
    rig = Rig(room=1)
    rig.send(1)
    rig.send(2)
    rig.listener.left[1, 0] = 0.0
    connection, pipe = rig.up()
    assert [c[1] for c in commands(pipe.take())] == [call(2)] and rig.ended() == [((1, 0), Outcome.UNSENT)]


def test_a_late_answer_to_the_first_attempt_does_not_end_the_second():
    """Both attempts of a request carry its id, so a late answer to the first looks like the second's."""
    rig = Rig(room=1)
    connection, pipe = rig.up()
    rig.send(5, 0)
    assert rig.pool.cancel_attempt((5, 0)) is Outcome.CANCELLED
    assert [c[0] for c in commands(pipe.take())] == [10, 11]
    rig.send(5, 1)  # the id was abandoned on the only connection: it must not be used there again
    assert pipe.take() == b"" and rig.ended() == [((5, 1), Outcome.UNSENT)]
    rig = Rig(room=2)
    connection, pipe = rig.up()
    rig.send(5, 0)
    rig.pool.cancel_attempt((5, 0))
    rig.send(5, 1)
    other, second = rig.up()
    connection.dataReceived(answer(102, call(5)))
    assert rig.ended() == [] and rig.budget.counts["late answers"] == 1
    other.dataReceived(answer(100, call(5)))
    assert rig.ended() == [((5, 1), Outcome.SUCCEEDED)]


def test_a_second_copy_of_an_answer_does_not_end_the_next_attempt_of_its_request():
    """All attempts of a request carry its id, so none goes where an earlier one was answered."""
    rig = Rig(room=2)
    first, pipe = rig.up()
    opaque_request = OpaqueRequest(call(5), "once", FUNCTION, "", b"in")
    rig.send(5, 0, opaque_request=opaque_request)
    first.dataReceived(answer(102, call(5)))
    pipe.take()
    rig.send(5, 1, opaque_request=opaque_request)
    assert pipe.take() == b""
    second, _ = rig.up()
    first.dataReceived(answer(102, call(5)))
    assert rig.ended() == [((5, 0), Outcome.MISS)] and rig.budget.counts["unmatched answers"] == 1
    second.dataReceived(answer(103, call(5)))
    assert rig.ended() == [((5, 1), Outcome.FULL)]
    rig.send(6)  # another request may use either
    for connection in (first, second):
        connection.dataReceived(answer(100, call(6)))
    assert rig.ended() == [((6, 0), Outcome.SUCCEEDED)]


def test_a_request_that_all_connections_have_had_gets_one_of_its_own():
    """Guard against a request that can't go to its executor again, as there is no room for another dial."""
    rig = Rig(room=1)
    first, pipe = rig.up()
    opaque_request = OpaqueRequest(call(5), "once", FUNCTION, "", b"in")
    rig.send(5, 0, opaque_request=opaque_request)
    rig.send(6)
    first.dataReceived(answer(102, call(5)))
    rig.send(5, 1, opaque_request=opaque_request)
    assert rig.ended() == [((5, 0), Outcome.MISS), ((5, 1), Outcome.UNSENT)]  # another attempt is open there
    first.dataReceived(answer(100, call(6)))
    rig.send(5, 2, opaque_request=opaque_request)
    assert pipe.closed
    second, _ = rig.up()
    second.dataReceived(answer(100, call(5)))
    assert rig.ended() == [((6, 0), Outcome.SUCCEEDED), ((5, 2), Outcome.SUCCEEDED)]


def test_an_attempt_that_was_never_written_leaves_its_connection_free():
    """Guard against a connection that counts as used though nothing of the request went out on it."""
    rig = Rig(room=1)
    opaque_request = OpaqueRequest(call(5), "once", FUNCTION, "", b"in")
    rig.send(5, 0, opaque_request=opaque_request)  # waits for the dial
    rig.pool.cancel_attempt((5, 0))
    rig.send(5, 1, opaque_request=opaque_request)
    connection, pipe = rig.up()
    assert [c[1] for c in commands(pipe.take())] == [call(5)]


def test_duplicate_answers_and_unknown_ids_are_dropped_and_counted():
    rig = Rig()
    connection, _ = rig.up()
    rig.send(1)
    connection.dataReceived(answer(100, call(9)) + answer(100, call(1)) + answer(100, call(1)))
    assert rig.ended() == [((1, 0), Outcome.SUCCEEDED)]
    assert rig.budget.counts["unmatched answers"] == 2
    rig.send(2)  # the connection is still good
    connection.dataReceived(answer(100, call(2)))
    assert rig.ended() == [((2, 0), Outcome.SUCCEEDED)]


def test_a_partial_answer_ends_its_connection_but_not_after_a_pause_of_this_process():
    rig = Rig()
    connection, pipe = rig.up()
    rig.send(1)
    whole = answer(100, call(1), body=b"x" * 50)
    connection.dataReceived(whole[:30])
    rig.clock.advance(
        executor_connection.PARTIAL_ANSWER_TIMEOUT_MS / 1e3
    )  # this process was paused: the rest is unread
    connection.dataReceived(whole[30:])
    assert rig.ended() == [((1, 0), Outcome.SUCCEEDED)]
    rig.send(2)
    connection.dataReceived(answer(100, call(2))[:17])
    rig.step(executor_connection.PARTIAL_ANSWER_TIMEOUT_MS + 50)
    assert rig.ended() == [((2, 0), Outcome.RESET)] and pipe.aborted


def test_a_silent_machine_costs_one_timeout():
    """A machine that has vanished sends nothing, so idle connections to it look healthy."""
    rig = Rig()
    up = rig.fill(1, 2)
    up[1][0].dataReceived(answer(100, call(2)))
    rig.ended()
    rig.step(20)
    rig.send(3)
    rig.step(executor_pool.SILENCE_TIMEOUT_MS + 50)
    assert rig.pool.cancel_attempt((3, 0), Outcome.TIMEOUT) is Outcome.TIMEOUT
    assert up[1][1].closed  # no byte received since it was used; nothing else is in flight on it
    rig.step(connection_set.SWEEP_INTERVAL_MS + 10)
    while rig.net.dialled:
        rig.net.refuse()
    rig.send(4)
    assert rig.ended() == [((4, 0), Outcome.UNREACHABLE)]


def test_one_missing_answer_does_not_distrust_the_machine():
    rig = Rig()
    up = rig.fill(1, 2)
    rig.step(executor_pool.SILENCE_TIMEOUT_MS + 50)
    up[1][0].dataReceived(answer(100, call(2)))
    rig.ended()
    rig.pool.cancel_attempt((1, 0), Outcome.TIMEOUT)
    assert up[0][1].closed and not up[1][1].closed


def test_another_answer_on_the_same_connection_shows_that_it_is_alive():
    rig = Rig(room=1)
    connection, pipe = rig.up()
    rig.send(1)
    rig.step(100)
    rig.send(2)
    connection.dataReceived(answer(100, call(2)))
    rig.step(executor_pool.SILENCE_TIMEOUT_MS + 50)
    rig.pool.cancel_attempt((1, 0), Outcome.TIMEOUT)
    assert not pipe.closed


def test_a_clogged_connection_is_dropped():
    rig = Rig()
    connection, pipe = rig.up()
    rig.send(1)
    connection.pauseProducing()
    rig.step(connection_set.WRITE_STALL_TIMEOUT_MS - 100)
    assert not pipe.closed
    rig.step(connection_set.SWEEP_INTERVAL_MS + 150)
    assert pipe.aborted and rig.ended() == [((1, 0), Outcome.RESET)]


def test_load_requests_have_ids_of_their_own():
    rig = Rig()
    connection, pipe = rig.up()
    assert rig.pool.request_load(7, FUNCTION, 2, 0.0, 0) is None
    ((code, own, fields, _),) = commands(pipe.take())
    assert (code, fields) == (14, {"key": FUNCTION, "count": "2"})
    rig.send(1, id=own)  # a request with the id of the open load request uses another connection
    assert pipe.take() == b""
    connection.dataReceived(answer(100, own, b"count=2"))
    assert rig.listener.load_requests == [(7, Outcome.SUCCEEDED, 2)] and rig.ended() == []


def test_load_requests_end_once():
    for end, expected in (
        (lambda rig, connection, own: connection.connectionLost(lost()), [(7, Outcome.RESET, 0)]),
        (
            lambda rig, connection, own: connection.dataReceived(answer(103, own, b"count=1")),
            [(7, Outcome.FULL, 1)],
        ),
        (lambda rig, connection, own: rig.pool.forget_load_request(7), []),
    ):
        rig = Rig()
        connection, pipe = rig.up()
        rig.pool.request_load(7, FUNCTION, 1, 0.0, 0)
        own = commands(pipe.take())[0][1]
        end(rig, connection, own)
        connection.dataReceived(answer(100, own, b"count=2"))
        assert rig.listener.load_requests == expected
    rig = Rig()
    assert rig.pool.request_load(8, FUNCTION, 1, 0.0, 0) is Outcome.UNREACHABLE


def test_abandoned_ids_are_bounded():
    """Abandoned ids are remembered as long as the connection is open, so their number has to be bounded."""
    rig = Rig()
    connection, pipe = rig.up()
    for serial in range(executor_connection.ABANDONED_IDS_BOUND):
        assert not pipe.closed
        rig.pool.request_load(serial, FUNCTION, 1, 0.0, 0)
        rig.pool.forget_load_request(serial)
    assert pipe.closed and rig.budget.used == 0


def test_an_answer_to_an_unsent_attempt_ends_nothing():
    rig = Rig(room=1)
    connection, pipe = rig.up()
    rig.send(1)
    connection.pauseProducing()
    rig.pool.connections[0].paused = False  # as if chosen before it paused
    connection.ledger.wait((2, 0))
    connection.open_attempts[call(2)] = 2, 0
    connection.dataReceived(answer(102, call(2)))
    assert rig.ended() == [] and rig.budget.counts["unmatched answers"] == 1


def test_removal_move_and_restart_drop_old_connections_at_once():
    table = [
        (lambda rig: rig.pool.remove(), True),
        (lambda rig: rig.pool.moved("127.0.0.1", 7001), True),
        (lambda rig: rig.pool.moved("127.0.0.1", 7000), False),
        (lambda rig: rig.pool.restarted(1.0, rig.clock.seconds() * 1e3 + 5.0), True),
        (lambda rig: rig.pool.restarted(5.0, 5.0), False),
        (lambda rig: rig.pool.restarted(0.0, 0.0), False),
        (lambda rig: rig.pool.close(), True),
    ]
    for act, ends in table:
        rig = Rig()
        _, pipe = rig.up()
        rig.send(1)
        act(rig)
        assert (rig.ended() == [((1, 0), Outcome.RESET)]) is ends and pipe.aborted is ends
    rig = Rig()
    rig.up()
    rig.pool.remove()
    rig.step(2000)
    assert not rig.net.dialled and rig.budget.used == 0  # an executor that is gone is not dialled
    rig.pool.restore()
    rig.step(300)
    assert rig.net.dialled


def test_an_executor_that_accepts_and_resets_is_dialled_with_backoff():
    rig = Rig()
    dials = 0
    for _ in range(200):
        while rig.net.dialled:
            dials += 1
            connection, _ = rig.up()
            rig.step(connection_set.SWEEP_INTERVAL_MS - 10)
            connection.connectionLost(lost())
        rig.step(20)
    assert 3 < dials < 25 and rig.log.events() == ["executor channel down"], dials


def test_idle_connections_are_closed_but_one_stays_ready():
    rig = Rig()
    up = rig.fill(*range(5))
    for serial in range(5):
        for connection, _ in up:
            connection.dataReceived(
                answer(100, call(serial)) if call(serial) in connection.open_attempts else b""
            )
    assert rig.budget.used == 5
    rig.step(connection_set.SPARE_IDLE_TIMEOUT_MS + 600)
    assert rig.budget.used == 1 and not rig.net.dialled and sum(not pipe.closed for _, pipe in up) == 1
    rig.step(
        connection_set.IDLE_SHARE * 30_000.0 - connection_set.SPARE_IDLE_TIMEOUT_MS
    )  # before the executor's own idle timeout
    assert all(pipe.closed for _, pipe in up) and len(rig.net.dialled) == 1


def test_the_commands_of_an_attempt():
    for cancels, codes in ((True, [10, 11]), (False, [10])):  # whether the deployment permits cancelling
        rig = Rig(cancels=cancels)
        _, pipe = rig.up()
        rig.send(1, id=bytes.fromhex(CALL))
        rig.pool.cancel_attempt((1, 0))
        sent = commands(pipe.take())
        assert [c[0] for c in sent] == codes
        assert sent[0] == (10, bytes.fromhex(CALL), {"class": "safe", "key": FUNCTION, "wait": "900"}, b"in")
