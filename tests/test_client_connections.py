"""Client connections in memory: usual clients, faulty ones, and how they affect each other."""

import json
import random

import pytest
from doubles import Log, Pipe, clock, lost

from petrelway.fakes.platform_peers import CALL, request
from petrelway.gateway.answers import Answer, Completion
from petrelway.gateway.pending_requests import PendingAnswer
from petrelway.node import client_connection, client_listener, connection_state
from petrelway.node.client_listener import ClientListener
from petrelway.node.connection_state import CloseReason, NumberUse
from petrelway.platform import client_answers, client_codec

READER = client_codec.ClientMessageReader(
    [("safe", 4000.0, False), ("keyed", 4000.0, True)], ["acme", "bolt"]
)


class Rig:
    def __init__(self, bound=100):
        self.clock, self.log = clock(), Log()
        self.submitted, self.cancelled, self.given_up, self.rejection_retry_ms = [], [], [], None
        self.serving = True
        self.listener = ClientListener(
            READER,
            self.submit,
            lambda tenant: self.rejection_retry_ms,
            lambda: self.serving,
            self.clock,
            self.log,
            bound,
            200.0,
        )

    def submit(self, opaque_request, request_class, tenant, remaining, work, memory, lanes, load):
        def give_up():  # the dispatcher answers in its next turn
            self.given_up.append(opaque_request.request_id)
            self.clock.callLater(0, answer.callback, Answer(Completion.FAILED))

        answer = PendingAnswer(lambda _: self.cancelled.append(opaque_request.request_id), give_up)
        self.submitted.append((opaque_request, answer))
        return answer

    def client(self):
        connection, pipe = self.listener.buildProtocol(None), Pipe()
        connection.makeConnection(pipe)
        return connection, pipe

    def step(self, ms):
        for _ in range(int(ms / 10)):
            self.clock.advance(0.01)

    def turns(self):
        while any(c.next_read for c in self.listener.connections):
            self.clock.advance(0)


def replies(pipe):
    return [json.loads(line) for line in pipe.take().splitlines()]


def call(i):
    return f"{i:016x}"


def test_each_answer_goes_out_at_once_in_any_order():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(b"".join(request(i, call=call(i)) for i in (1, 2, 3)))
    answers = (
        (1, Answer(Completion.REJECTED, 120.0)),
        (0, Answer(Completion.SUCCEEDED, body=b"ok")),
        (2, Answer(Completion.FAILED)),
    )
    for i, answer in answers:
        rig.submitted[i][1].callback(answer)
    rejected, succeeded, broken = replies(pipe)
    assert rejected == {
        "jsonrpc": "2.0",
        "id": 2,
        "error": {"code": -32014, "message": "nacked", "data": {"pushback": 120}},
    }
    assert succeeded == {"jsonrpc": "2.0", "id": 1, "result": {"bytes": "b2s="}}
    assert broken["id"] == 3 and broken["error"]["code"] != -32014
    assert not client.state.open_requests and not rig.listener.open_requests


def test_check_says_whether_it_serves():
    rig = Rig()
    client, pipe = rig.client()
    for rig.serving in (True, False):
        client.dataReceived(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
    assert [s["result"]["serving"] for s in replies(pipe)] == [True, False]


def test_no_answer_is_written_for_a_cancelled_request_or_a_lost_connection():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call=call(2)))
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(1).encode())
    assert rig.cancelled == [bytes.fromhex(call(1))] and pipe.take() == b""
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(9).encode())
    client.connectionLost(lost())
    assert (
        len(rig.cancelled) == 2
        and pipe.take() == b""
        and not rig.listener.open_requests
        and not rig.listener.connections
    )


def test_an_invalid_request_gets_an_error_and_the_others_go_on():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call="xyz") + request(3, "nobody"))
    assert [(s["id"], s["error"]["code"]) for s in replies(pipe)] == [
        (2, client_answers.ErrorCode.INVALID_PARAMS),
        (3, client_answers.ErrorCode.METHOD_NOT_FOUND),
    ]
    assert len(rig.submitted) == 1 and not pipe.closed
    for i in range(connection_state.ERRORS_BOUND):  # too many invalid requests close the connection
        client.dataReceived(request(10 + i, call="xyz"))
        rig.turns()
    rig.clock.advance(0)
    assert pipe.closed and rig.given_up == [bytes.fromhex(call(1))] and not rig.cancelled
    assert replies(pipe)[-1] == {
        "jsonrpc": "2.0",
        "id": 1,
        "error": {"code": client_answers.ErrorCode.FAILED, "message": "broken off"},
    }


def test_input_that_cannot_be_delimited_closes_the_connection():
    table = [
        b"nonsense\n",
        b"x" * (client_codec.LINE_BOUND + 1),
        request(1, call=call(1)) + request(1, call=call(2)),  # two requests with the same number ...
        request(1, call=call(1)) + request(1, call="xyz"),  # ... of which the second is invalid anyway
        request(1, call=call(1))
        + request(2, call=call(1), body=b"other"),  # the id of an open request, with another body
    ]
    for data in table:
        rig = Rig()
        client, pipe = rig.client()
        client.dataReceived(data)
        (reply,) = replies(pipe)
        assert reply["error"] and reply["id"] in (None, 2), data[:60]  # never as the answer to request 1
        assert not pipe.closed or not rig.submitted  # open requests are answered first
        rig.clock.advance(0)
        assert [h["id"] for h in replies(pipe)] == [1] * len(
            rig.submitted
        )  # its only answer: abandoned, not served
        assert pipe.closed and len(rig.given_up) == len(rig.submitted) and not client.state.open_requests
        client.dataReceived(b"x" * 1000)  # it is discarded, and the client's close is still noticed
        assert not pipe.aborted and len(client.lines.buffered) <= len(data)
        client.dataReceived(b"x" * 10_000_000)  # up to 60 MB may follow: nothing is buffered
        assert pipe.aborted and len(client.lines.buffered) <= len(data)


def test_a_connection_ended_for_an_error_that_stays_open_is_aborted():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(b"nonsense\n")
    rig.step(client_connection.ABORT_TIMEOUT_MS - 50)
    assert pipe.closed and not pipe.aborted
    rig.step(100)
    assert pipe.aborted


def test_a_close_while_a_connection_settles_cancels_its_requests():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + b"nonsense\n")
    client.connectionLost(lost())
    assert (
        rig.cancelled == [bytes.fromhex(call(1))]
        and not rig.listener.open_requests
        and not rig.listener.connections
    )


def test_an_empty_line_is_not_a_message():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + b"\n\r\n\n" + request(2, call=call(2)))
    assert len(rig.submitted) == 2 and pipe.take() == b"" and not client.state.errors
    newlines, pipe = rig.client()
    for _ in range(30):  # nor activity: a client that sends nothing else is closed as silent
        newlines.dataReceived(b"\n" * 100)
        rig.step(100)
    assert pipe.closed and rig.listener.counts[CloseReason.SILENT] == 1


def test_an_interrupt_without_a_request_is_an_error_that_closes_nothing():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)))
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{}}\n')
    (reply,) = replies(pipe)
    assert reply["id"] is None and reply["error"]["code"] == client_answers.ErrorCode.INVALID_PARAMS
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(9).encode())
    assert not pipe.closed and not rig.cancelled and pipe.take() == b""
    rig.submitted[0][1].callback(Answer(Completion.SUCCEEDED, body=b"ok"))
    assert replies(pipe)[0]["id"] == 1


def test_a_repeated_request_id_does_not_affect_the_client_that_has_it_open():
    rig = Rig()
    usual, pipe = rig.client()
    usual.dataReceived(request(1, call=CALL))
    bad, bad_pipe = rig.client()
    bad.dataReceived(request(1, call=CALL, body=b"other"))
    assert (
        replies(bad_pipe)[0]["error"]["code"] == client_answers.ErrorCode.INVALID_PARAMS
        and not rig.cancelled
        and not bad_pipe.closed
    )
    third, _ = rig.client()
    third.dataReceived(request(1, call=call(2)))
    third.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % CALL.encode())
    assert not rig.cancelled  # neither the other client's request nor its own with the same number
    bad.connectionLost(lost())
    rig.submitted[0][1].callback(Answer(Completion.SUCCEEDED, body=b"ok"))
    assert replies(pipe)[0]["result"] == {"bytes": "b2s="}


def test_a_counted_number_is_accepted_once_in_one_span():
    rig = Rig()
    client, pipe = rig.client()
    for i in range(1, 3001):
        client.dataReceived(request(i, call=call(i)))
        rig.turns()
        rig.submitted.pop()[1].callback(Answer(Completion.SUCCEEDED))
    assert len(client.state.used_numbers) == 1 and not pipe.closed
    client.dataReceived(request(17, call=call(9999)))
    assert pipe.closed and rig.listener.counts[NumberUse.USED] == 1


@pytest.mark.parametrize("second", [request(7, call=call(2)), b'{"jsonrpc":"2.0","id":7,"method":"check"}\n'])
def test_the_number_of_an_open_request_is_caught_after_others_were_forgotten(second):
    """Two answers under one number, and requests beside a bad number that get no answer before the close."""
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(7, call=CALL))
    numbers = random.Random(3).sample(range(8, client_codec.NUMBER_BOUND), 5000)
    for number in numbers:
        client.dataReceived(request(number, call=call(1)))
        rig.turns()
        rig.submitted.pop()[1].callback(Answer(Completion.SUCCEEDED))
    beside = client_codec.NUMBER_BOUND - 1
    client.dataReceived(request(beside, call=call(3)))
    assert client.state.used_numbers.forgotten_spans > 0 and not pipe.closed
    pipe.take()
    client.dataReceived(second)
    assert not pipe.closed  # not before the open requests have their answers
    rig.clock.advance(0)
    assert [reply["id"] for reply in replies(pipe)] == [None, 7, beside] and pipe.closed
    assert rig.listener.counts[NumberUse.OPEN] == 1
    client.connectionLost(lost())
    assert rig.listener.counts["forgotten number spans"] > 0


def test_a_flood_on_one_connection_takes_turns_with_the_others():
    rig = Rig()
    flooding, flooding_pipe = rig.client()
    flooding.dataReceived(b"".join(request(i, call=call(i)) for i in range(1, 301)))
    assert len(rig.submitted) == client_connection.LINES_PER_TURN and not flooding_pipe.reading
    usual, _ = rig.client()
    usual.dataReceived(request(1, call=CALL))
    assert rig.submitted[-1][0].request_id.hex() == CALL  # served before the rest of the flood is read
    rig.turns()
    rig.clock.advance(0)
    bound = connection_state.OPEN_REQUESTS_BOUND
    assert len(rig.submitted) == 1 + bound and len(rig.given_up) == bound and not rig.cancelled
    answered = [reply["id"] for reply in replies(flooding_pipe)]
    assert sorted(answered)[: bound + connection_state.ERRORS_BOUND] == list(
        range(1, bound + connection_state.ERRORS_BOUND + 1)
    )
    assert flooding_pipe.closed and len(usual.state.open_requests) == 1


def test_silent_partial_and_idle_connections_are_closed():
    rig = Rig()
    silent, partial, idle, at_work, stuck = (rig.client() for _ in range(5))
    partial[0].dataReceived(request(1)[:-1])
    for client, number in ((idle, 1), (at_work, 2), (stuck, 3)):
        client[0].dataReceived(request(1, call=call(number)))
    stuck[0].dataReceived(b"{")
    rig.submitted[0][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(connection_state.SILENCE_TIMEOUT_MS + client_listener.SWEEP_INTERVAL_MS + 50)
    assert [c[1].closed for c in (silent, partial, stuck, idle, at_work)] == [True, True, False, False, False]
    assert (
        connection_state.SILENCE_TIMEOUT_MS
        + client_listener.SWEEP_INTERVAL_MS
        + client_listener.RECHECK_DELAY_MS
        < 3000.0
    )
    rig.step(connection_state.IDLE_TIMEOUT_MS)
    assert idle[1].closed and not at_work[1].closed and not stuck[1].closed  # those have open requests
    rig.submitted[2][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(connection_state.SILENCE_TIMEOUT_MS + client_listener.SWEEP_INTERVAL_MS + 50)
    assert stuck[1].closed and rig.listener.counts[CloseReason.PARTIAL_LINE] == 2


def test_the_longest_silent_are_evicted_first():
    rig = Rig(bound=16)
    first = rig.client()
    first[0].dataReceived(request(1))
    silent = [rig.client() for _ in range(13)]
    rig.step(200)
    for evicted in (1, 2):  # in the part that is kept free: as many other connections are closed
        rig.client()
        rig.step(10)
        assert [pipe.closed for _, pipe in silent] == [True] * evicted + [False] * (13 - evicted)
        silent[evicted - 1][0].connectionLost(lost())
    while rig.listener.has_capacity():  # many at once: none is accepted beyond the bound
        rig.client()
    assert len(rig.listener.connections) == 16
    rig.step(10)
    assert sum(pipe.closed for _, pipe in silent) == 4 and not first[1].closed


def test_connections_without_a_line_are_evicted_before_idle_ones():
    rig = Rig(bound=8)
    active = [rig.client() for _ in range(3)]
    for number, (client, _) in enumerate(active, 1):
        client.dataReceived(request(1, call=call(number)))
        rig.submitted[-1][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(100)
    silent = [rig.client() for _ in range(2)]
    rig.step(200)
    rig.listener.free_capacity()  # the system is short of descriptors: some are closed whatever the bound
    rig.listener.evictions_wanted = 3
    rig.step(10)
    assert all(pipe.closed for _, pipe in silent)
    assert [pipe.closed for _, pipe in active] == [True, False, False]


def test_a_connection_with_an_unread_or_open_request_is_not_evicted():
    """The newest connection was closed for lack of capacity, with its first request unread in the socket."""
    rig = Rig(bound=3)
    busy = [rig.client() for _ in range(2)]
    for number, (client, _) in enumerate(busy, 1):
        client.dataReceived(request(1, call=call(number)))
    asking, pipe = rig.client()
    rig.step(200)
    pipe.doRead = lambda: asking.dataReceived(request(1, call=call(9)))  # unread in the socket
    rig.listener.free_capacity()
    rig.step(50)
    pipe.doRead = lambda: None
    rig.listener.free_capacity()
    rig.step(50)
    assert not pipe.closed and not any(p.closed for _, p in busy) and len(rig.submitted) == 3


def test_a_connection_with_a_partial_request_is_not_evicted():
    rig = Rig(bound=1)
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1))[:40])
    rig.step(200)
    rig.listener.free_capacity()
    rig.step(50)
    assert not pipe.closed
    client.dataReceived(request(1, call=call(1))[40:])
    assert len(rig.submitted) == 1


def test_stalled_lines_are_evicted_where_clients_wait_the_oldest_first():
    """Guards against: lines that stall hold all capacity for their whole time while clients wait."""
    rig = Rig(bound=8)
    stalled = []
    for number in range(8):
        client, pipe = rig.client()
        client.dataReceived(request(1, call=call(number))[:40])
        stalled.append((client, pipe))
        rig.step(100)
    assert not rig.listener.has_capacity()
    rig.step(connection_state.PARTIAL_LINE_EVICTION_AGE_MS - 800 - client_listener.SWEEP_INTERVAL_MS)
    assert not any(pipe.closed for _, pipe in stalled)  # none is old enough
    rig.step(2 * client_listener.SWEEP_INTERVAL_MS)  # nobody connects: the sweep looks again
    assert stalled[0][1].closed and not stalled[-1][1].closed
    assert rig.listener.counts[CloseReason.NO_CAPACITY] >= 1
    assert rig.listener.counts[CloseReason.PARTIAL_LINE] == 0
    stalled[-1][0].dataReceived(request(1, call=call(7))[40:])
    assert len(rig.submitted) == 1


def test_an_idle_connection_is_evicted_before_a_stalled_line():
    rig = Rig(bound=8)
    stalled, stalled_pipe = rig.client()
    stalled.dataReceived(request(1, call=call(1))[:40])
    idle, idle_pipe = rig.client()
    idle.dataReceived(request(1, call=call(2)))
    rig.submitted[0][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(connection_state.PARTIAL_LINE_EVICTION_AGE_MS + 100)
    rig.listener._schedule_evictions(1)
    rig.step(10)
    assert idle_pipe.closed and not stalled_pipe.closed


def test_a_connection_that_has_just_been_closed_has_time_for_its_last_answer():
    """Guards against: a closing connection is aborted at once because it had rested before its close."""
    rig = Rig(bound=8)
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)))
    rig.submitted[0][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(1000)
    client.end(CloseReason.UNREADABLE)
    rig.listener.free_capacity()
    rig.step(10)
    assert pipe.closed and not pipe.aborted
    rig.step(client_listener.RECHECK_DELAY_MS)
    rig.listener.free_capacity()
    rig.step(10)
    assert pipe.aborted


def test_a_client_that_does_not_read_its_answers_is_closed():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1))
    client.pauseProducing()
    rig.step(connection_state.UNREAD_TIMEOUT_MS + 300)
    assert pipe.closed and rig.given_up and not rig.cancelled
    assert [reply["id"] for reply in replies(pipe)] == [1]


def test_a_client_that_does_not_read_its_answers_is_still_read_from():
    """Otherwise its close and its `interrupt` would stay unread, and further attempts would start in vain."""
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call=call(2)))
    client.pauseProducing()
    assert pipe.reading
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(1).encode())
    assert rig.cancelled == [bytes.fromhex(call(1))]
    # meanwhile no further work is done for it, and its buffered answers stay bounded
    client.dataReceived(request(3, call=call(3)))
    assert len(rig.submitted) == 2
    assert replies(pipe)[-1]["error"] == {
        "code": client_answers.ErrorCode.REJECTED,
        "message": "nacked",
        "data": {"pushback": 200},
    }
    for number in range(connection_state.UNREAD_LINES_BOUND - 1):  # two came before
        assert not pipe.closed
        client.dataReceived(b'{"jsonrpc":"2.0","id":%d,"method":"check"}\n' % (number + 4))
    rig.clock.advance(0)
    assert pipe.closed and len(rig.cancelled) == 1 and len(rig.given_up) == 1
    assert rig.listener.counts[CloseReason.ANSWERS_UNREAD] == 1


def test_a_timeout_is_checked_twice():
    """After a pause of this process the sweep runs before the sockets are read: without a second check, a
    connection whose request is still unread would be closed without an answer."""
    rig = Rig()
    silent, partial, clogged = (rig.client() for _ in range(3))
    partial[0].dataReceived(request(1, call=call(1))[:50])
    clogged[0].dataReceived(request(1, call=call(2)))
    clogged[0].pauseProducing()
    rig.clock.advance(10.0)  # the first check, by an overdue timer; then the unread input is read
    silent[0].dataReceived(request(1, call=call(3)))
    partial[0].dataReceived(request(1, call=call(1))[50:])
    clogged[0].resumeProducing()
    rig.step(client_listener.SWEEP_INTERVAL_MS + 100)
    assert not any(pipe.closed for _, pipe in (silent, partial, clogged)) and len(rig.submitted) == 3


def test_a_request_may_be_rejected_before_admission():
    rig = Rig()
    rig.rejection_retry_ms = 150.0
    client, pipe = rig.client()
    client.dataReceived(request(1))
    assert (
        replies(pipe)[0]["error"]["data"] == {"pushback": 150}
        and not rig.submitted
        and not client.state.open_requests
    )


def test_each_kind_of_rejected_line_is_logged_once():
    rig = Rig()
    for _ in range(20):
        client, _ = rig.client()
        client.dataReceived(request(1, call="x") + request(2, "nobody"))
    assert rig.log.events() == ["client line rejected"] * 2
    assert rig.listener.counts["client lines rejected"] == 40


def test_a_connection_that_was_ended_keeps_nothing_of_what_it_read():
    """What was read of lines over the bound stayed for seconds, at each of thousands of connections."""
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(b"x" * (client_codec.LINE_BOUND + 1))
    assert client.state.phase is connection_state.Phase.CLOSING and not client.lines.buffered
    client.connectionLost(lost())
    timers = [
        timer for timer in rig.clock.getDelayedCalls() if getattr(timer.func, "__self__", None) is client
    ]
    assert not timers
