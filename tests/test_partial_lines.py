"""Requests whose line comes in pieces: a line's time counts from its own first byte."""

import contextlib
import errno
import itertools
import signal
import socket
import threading
import time

import pytest
from nodes import WAIT_S, node, until

from petrelway.fakes.platform_peers import Executor, Holder, request
from petrelway.node import client_listener, connection_state
from petrelway.node.connection_state import ClientConnectionState, CloseReason
from petrelway.platform.client_answers import ErrorCode
from petrelway.sockets.reactor import LONGEST_WAIT_S

PAST_A_SWEEP_S = 2 * (client_listener.SWEEP_INTERVAL_MS + client_listener.RECHECK_DELAY_MS) / 1e3
LINE_BOUND_S = connection_state.PARTIAL_LINE_TIMEOUT_MS / 1e3
RESTED_S = connection_state.SILENCE_TIMEOUT_MS / 1e3 + 0.5  # less than the time after which it counts as idle
FIRST_PIECE = 50  # bytes
TTL_MS = 4000
REJECTED = ErrorCode.REJECTED


def call(number):
    return f"{number:016x}"


def say_in_two_pieces(client, line, pause_s=PAST_A_SWEEP_S):
    """The connections are checked for timeouts between the two pieces, whenever the process does that."""
    client.say(line[:FIRST_PIECE])
    time.sleep(pause_s)
    client.say(line[FIRST_PIECE:])


@pytest.mark.parametrize("rest_s", [0.2, RESTED_S])
def test_a_request_in_two_pieces_after_a_rest_is_served(tmp_path, rest_s):
    """Guards against: a line that has just begun counts as old as its connection's rest, and is lost."""
    with node(tmp_path, [Executor()]) as n:
        client = n.client()
        client.say(request(1, call=call(1), ttl=TTL_MS))
        assert client.hear()["id"] == 1
        time.sleep(rest_s)
        say_in_two_pieces(client, request(2, call=call(2), ttl=TTL_MS))
        answer = client.hear()
        assert answer["id"] == 2 and "result" in answer
        assert CloseReason.PARTIAL_LINE not in n.events()[-1]["clients"]


def test_a_first_request_in_two_pieces_on_a_connection_that_began_late_is_served(tmp_path):
    """Guards against: a line that has just begun counts as old as its new connection, and is lost."""
    with node(tmp_path, [Executor()]) as n:
        client = n.client()
        time.sleep(connection_state.SILENCE_TIMEOUT_MS / 1e3 - 0.3)
        say_in_two_pieces(client, request(1, call=call(1), ttl=TTL_MS), 0.3 + PAST_A_SWEEP_S)
        answer = client.hear()
        assert answer["id"] == 1 and "result" in answer


def test_a_line_fed_byte_by_byte_ends_at_its_bound_with_its_reason(tmp_path):
    """Guards against: a client that sends a byte now and then holds its connection for ever."""
    with node(tmp_path, [Executor()]) as n:
        client = n.client()
        client.say(request(1, call=call(1), ttl=TTL_MS))
        client.hear()
        time.sleep(RESTED_S)
        client.sock.settimeout(0.1)
        began = time.monotonic()
        heard = b""
        for byte in itertools.cycle(b" "):
            with contextlib.suppress(ConnectionError):
                client.say(bytes([byte]))
            try:
                data = client.sock.recv(4096)
                heard += data
            except TimeoutError:
                continue
            if not data:
                break
        assert time.monotonic() - began >= LINE_BOUND_S
        assert CloseReason.PARTIAL_LINE.encode() in heard
        events = n.events()
        assert events[-1]["clients"][CloseReason.PARTIAL_LINE] == 1
        (timed_out,) = [event for event in events if event["event"] == "client connection timed out"]
        assert timed_out["partial_line_ms"] >= connection_state.PARTIAL_LINE_TIMEOUT_MS
        assert timed_out["silence_ms"] >= timed_out["partial_line_ms"] + 1e3 * (RESTED_S - 0.1)


def test_a_stalled_line_ends_its_connection_once_the_open_request_is_answered(tmp_path):
    """Guards against: an answer gives a stalled line its whole time again, or a line ends an open request."""
    holder = Holder()
    with node(tmp_path, [holder]) as n:
        client = n.client()
        client.say(request(1, call=call(1), ttl=TTL_MS) + request(2, call=call(2))[:FIRST_PIECE])
        until(lambda: holder.held)
        time.sleep(LINE_BOUND_S + PAST_A_SWEEP_S)
        holder.fulfil(bytes.fromhex(call(1)))
        answer = client.hear()
        assert answer["id"] == 1 and "result" in answer
        assert client.hear()["error"]["message"] == CloseReason.PARTIAL_LINE
        assert client.hear() is None
        (timed_out,) = [e for e in n.events() if e["event"] == "client connection timed out"]
        assert (
            timed_out["silence_ms"] < connection_state.PARTIAL_LINE_TIMEOUT_MS <= timed_out["partial_line_ms"]
        )


# -- a drain


def listens(address):
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port))).close()
    except OSError:
        return False
    return True


def test_a_request_whose_rest_comes_behind_the_beginning_of_the_drain_is_answered(tmp_path):
    """Guards against: a drain closes a connection on which part of a request was read; that is lost."""
    with node(tmp_path, [Executor()]) as n:
        rested, new = n.client(), n.client()
        rested.say(request(1, call=call(1), ttl=TTL_MS))
        assert "result" in rested.hear()
        lines = {rested: request(2, call=call(2), ttl=TTL_MS), new: request(1, call=call(3), ttl=TTL_MS)}
        for client, line in lines.items():
            client.say(line[:FIRST_PIECE])
        n.signal(signal.SIGTERM)
        until(lambda: not listens(n.address))  # the drain closes connections without a request from then on
        time.sleep(0.1)
        for number, (client, line) in zip((2, 1), lines.items(), strict=True):
            client.say(line[FIRST_PIECE:])
            answer = client.hear()
            assert answer["id"] == number and answer.get("error", {"code": REJECTED})["code"] == REJECTED
            assert client.hear() is None
        assert n.process.wait(WAIT_S) == 0


@pytest.mark.parametrize("deadline_s", [0.6, 4.0])
def test_a_line_that_stalls_holds_a_drain_for_a_bounded_time(tmp_path, deadline_s):
    """Guards against: a client that never ends its line keeps the process from ending."""
    classes = {name: {"deadlineS": deadline_s} for name in ("safe", "keyed", "once")}
    with node(tmp_path, [Executor()], classes=classes) as n:
        stalled = n.client()
        stalled.say(request(1, call=call(1), ttl=500)[:FIRST_PIECE])
        n.signal(signal.SIGTERM)
        assert n.process.wait(WAIT_S) == 0
        counts = n.events(ended=False)[-1]["clients"]
        reason = CloseReason.PARTIAL_LINE if deadline_s > LINE_BOUND_S else CloseReason.DRAINING
        assert counts[reason] >= 1


# -- a crowd


class StallingCrowd:
    """Clients that begin a line and never end it; each comes back as soon as it is closed."""

    def __init__(self, n, size):
        self.closing, self.front_end = False, n
        self.threads = [threading.Thread(target=self._stall, daemon=True) for _ in range(size)]
        for thread in self.threads:
            thread.start()

    def _stall(self):
        while not self.closing:
            with contextlib.suppress(OSError), contextlib.closing(self.front_end.client().sock) as sock:
                sock.sendall(request(1, call=call(1))[:FIRST_PIECE])
                while sock.recv(4096):
                    pass

    def close(self):
        self.closing = True


def test_a_crowd_of_stalled_lines_keeps_nobody_out(tmp_path):
    """Guards against: stalled lines hold every place for their whole time, and clients wait."""
    with node(tmp_path, [Executor()], before="ulimit -n 100; ") as n:
        with contextlib.closing(StallingCrowd(n, 100)):
            time.sleep(0.5)
            for number in (1, 2, 3):
                client = n.client()
                if number == 2:
                    say_in_two_pieces(client, request(1, call=call(10 + number), ttl=TTL_MS))
                else:
                    client.say(request(1, call=call(10 + number), ttl=TTL_MS))
                assert "result" in client.hear()
        assert n.events()[-1]["clients"][CloseReason.NO_CAPACITY] > 0


# -- waits for sockets that are interrupted


@pytest.mark.parametrize("pieces", ["a whole request", "the rest of one"])
def test_what_came_while_waits_reported_nothing_is_read_before_its_connection_closes(
    tmp_path, failing, pieces
):
    """Guards against: both checks for timeouts run with the request unread, as after an interrupted wait."""
    with node(tmp_path, [Executor()], failing=failing) as n:
        client = n.client()
        client.say(request(1, call=call(1), ttl=TTL_MS))
        assert "result" in client.hear()
        line = request(2, call=call(2), ttl=TTL_MS)
        bound_s = connection_state.IDLE_TIMEOUT_MS / 1e3
        if pieces == "the rest of one":
            bound_s = LINE_BOUND_S
            client.say(line[:FIRST_PIECE])
            line = line[FIRST_PIECE:]
        time.sleep(bound_s - 0.6)
        failing.fail("epoll_wait", errno.EINTR)
        time.sleep(2 * LONGEST_WAIT_S)  # the wait under way still reports what comes
        client.say(line)
        time.sleep(0.4 + PAST_A_SWEEP_S)
        failing.well()
        assert client.hear()["id"] == 2
        n.events()


# -- the state alone, with the clock handed in


def test_each_line_has_its_own_beginning():
    state = ClientConnectionState(0.0)
    state.input_read(1900.0, True)
    state.input_read(3000.0, True)  # more of the same line
    assert state.timeout_reason(1900.0 + connection_state.PARTIAL_LINE_TIMEOUT_MS) is None
    assert state.timeout_reason(3901.0) is CloseReason.PARTIAL_LINE
    state.line_received(3950.0)
    state.input_read(3950.0, True)  # and part of the next one
    assert state.timeout_reason(3950.0 + connection_state.PARTIAL_LINE_TIMEOUT_MS) is None
    assert state.timeout_reason(5951.0) is CloseReason.PARTIAL_LINE
    state.line_received(6000.0)
    state.input_read(6000.0, False)
    assert state.timeout_reason(6000.0 + connection_state.IDLE_TIMEOUT_MS) is None
    assert state.timeout_reason(11_001.0) is CloseReason.IDLE


@pytest.mark.parametrize("received_line", [False, True])
def test_lines_begun_again_and_again_without_a_message_end_too(received_line):
    """Guards against: empty lines, each with the beginning of the next, hold a connection for ever."""
    state = ClientConnectionState(0.0)
    bound_ms = connection_state.SILENCE_TIMEOUT_MS
    if received_line:
        state.line_received(0.0)
        bound_ms = connection_state.IDLE_TIMEOUT_MS
    end_ms = bound_ms + connection_state.PARTIAL_LINE_TIMEOUT_MS
    for now in range(1, int(end_ms), 100):
        state.input_read(now, False)  # an empty line
        state.input_read(now, True)
        assert state.timeout_reason(now) is None
    assert state.timeout_reason(end_ms + 1.0) is CloseReason.PARTIAL_LINE


def test_unread_answers_end_a_connection_whatever_its_line_does():
    state = ClientConnectionState(0.0)
    state.line_received(0.0)
    state.input_read(0.0, False)
    state.answers_unread(100.0)
    state.input_read(1000.0, True)
    assert state.timeout_reason(100.0 + connection_state.UNREAD_TIMEOUT_MS) is None
    assert state.timeout_reason(2101.0) is CloseReason.ANSWERS_UNREAD
