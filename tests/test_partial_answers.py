"""Answers of executors that come in pieces: an answer has its own beginning, and a bound."""

import contextlib
import errno
import threading
import time

import pytest
from nodes import node, until
from test_executor_pool import Rig, call

from petrelway.fakes.platform_peers import Executor, Holder, answer, request
from petrelway.node.connection_set import SWEEP_INTERVAL_MS
from petrelway.node.executor_connection import ANSWER_TIMEOUT_MS, PARTIAL_ANSWER_TIMEOUT_MS
from petrelway.routing.types import Outcome
from petrelway.sockets.reactor import LONGEST_WAIT_S


class Trickler(Executor):
    """Answers its first request byte by byte, slowly; nothing else is answered on that connection."""

    def __init__(self):
        self.trickling, self.cut_after_s, self.stuck_requests = None, None, 0
        super().__init__()

    def requested(self, wire, id, body):
        if self.trickling is None:
            self.trickling = wire
            threading.Thread(target=self._trickle, args=(wire, id), daemon=True).start()
        elif wire is self.trickling:
            self.stuck_requests += 1
        else:
            super().requested(wire, id, body)

    def _trickle(self, wire, id):
        began = time.monotonic()
        with contextlib.suppress(OSError):
            for byte in answer(100, id, b"how=resident", b"x" * 16_000):
                if self.closing:
                    return
                wire.sendall(bytes([byte]))
                time.sleep(0.1)
        self.cut_after_s = time.monotonic() - began


def test_an_answer_that_trickles_takes_no_further_request_with_it_and_ends_at_its_bound(tmp_path):
    """Guards against: requests go on to a connection whose answer never ends, and each is refused."""
    trickler = Trickler()
    with node(tmp_path, [trickler]) as n:
        client = n.client()
        client.say(request(1, call=call(1).hex(), ttl=800))
        assert "error" in client.hear()
        for number in (2, 3, 4):
            client.say(request(number, call=call(number).hex(), ttl=4000))
            assert "result" in client.hear(), number
        until(lambda: trickler.cut_after_s is not None)
        assert trickler.cut_after_s >= ANSWER_TIMEOUT_MS / 1e3 and trickler.stuck_requests == 0
        assert n.events()[-1]["executors"]["partial answers"] == 1


def test_the_rest_of_an_answer_is_read_before_its_connection_is_dropped(tmp_path, failing):
    """Guards against: both checks run with the rest unread, as after an interrupted wait."""
    holder = Holder()
    with node(tmp_path, [holder], failing=failing) as n:
        client = n.client()
        client.say(request(1, "once", call=call(1).hex(), ttl=4000))
        until(lambda: holder.held)
        wire, body = holder.held.pop(call(1))
        whole = answer(100, call(1), b"how=resident", body)
        wire.sendall(whole[:30])
        failing.fail("epoll_wait", errno.EINTR)
        time.sleep(2 * LONGEST_WAIT_S)  # the wait under way still reports what comes
        wire.sendall(whole[30:])
        time.sleep(2 * PARTIAL_ANSWER_TIMEOUT_MS / 1e3)
        failing.well()
        assert "result" in client.hear()
        n.events()


# -- in memory


@pytest.mark.parametrize("pause_ms", [10, 250])
def test_bytes_do_not_postpone_the_end_of_an_answer_past_its_bound(pause_ms):
    rig = Rig()
    connection, pipe = rig.up()
    rig.send(1)
    began = rig.clock.seconds()
    for byte in answer(100, call(1), body=b"x" * 1000):
        connection.dataReceived(bytes([byte]))
        rig.step(pause_ms)
        if pipe.aborted:
            break
    took_ms = 1e3 * (rig.clock.seconds() - began)
    assert ANSWER_TIMEOUT_MS <= took_ms < ANSWER_TIMEOUT_MS + SWEEP_INTERVAL_MS + PARTIAL_ANSWER_TIMEOUT_MS
    assert rig.ended() == [((1, 0), Outcome.RESET)] and rig.budget.counts["partial answers"] == 1


def test_each_answer_has_its_own_beginning():
    rig = Rig(room=1)  # all share one connection
    connection, pipe = rig.up()
    rest = b""
    for number in range(1, 15):  # together they take longer than the bound on one
        rig.send(number)
        whole = answer(100, call(number), body=b"x" * 50)
        connection.dataReceived(rest + whole[:30])  # the end of one and the beginning of the next
        rig.step(200)
        rest = whole[30:]
    connection.dataReceived(rest)
    assert not pipe.aborted
    assert [outcome for _, outcome in rig.ended()] == [Outcome.SUCCEEDED] * 14
