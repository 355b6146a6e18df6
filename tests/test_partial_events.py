"""Events of the bus that come in pieces: an event on its way is no silence, and has a bound of its own."""

import contextlib
import signal
import socket
import time

from nodes import node, until
from test_discovery_client import Rig

from petrelway.fakes.platform_peers import Bus, Executor, event, record, request
from petrelway.node.discovery import (
    EVENT_TIMEOUT_MS,
    HEARTBEAT_TIMEOUT_MS,
    RECHECK_DELAY_MS,
    TimeoutReason,
)

PIECES = 5
PAUSE_S = 0.6  # between two pieces; together longer than the time after which a silent bus is down


class SlowBus(Bus):
    """Sends what it is given in pieces to each front end, then says that nothing is new."""

    def __init__(self, number, data):
        self.last_number, self.data = number, data
        super().__init__()

    def serve(self, wire):
        self.resumed.append(int.from_bytes(wire.recv(8, socket.MSG_WAITALL), "big"))
        size = -(-len(self.data) // PIECES)
        for start in range(0, len(self.data), size):
            wire.sendall(self.data[start : start + size])
            time.sleep(PAUSE_S)
        while not self.closing:
            wire.sendall(event(self.last_number, 0))
            time.sleep(0.2)


def test_a_list_that_comes_slower_than_the_heartbeats_is_taken_over(tmp_path):
    """Guards against: a list on its way counts as silence, and is asked for from its beginning for ever."""
    assert (PIECES - 1) * PAUSE_S > HEARTBEAT_TIMEOUT_MS / 1e3 > 2 * PAUSE_S
    executors = [Executor(), Executor()]
    slow = SlowBus(2, event(2, 1, record(2, executors[1].port)))
    with contextlib.closing(slow), node(tmp_path, executors) as n:
        n.write(slow)
        n.signal(signal.SIGHUP)
        until(lambda: slow.resumed)
        client = n.client()
        numbers = iter(range(1, 10_000))

        def second_is_used():
            number = next(numbers)
            client.say(request(number, call=f"{number:016x}", ttl=1000))
            client.hear()
            return executors[1].requests()

        until(second_is_used)
        assert slow.resumed == [1]
        assert "event bus down" not in [event["event"] for event in n.events()]


# -- in memory


def feed(rig, connection, data, pause_ms, size=1):
    """Feed `size` bytes at a time until the connection is ended or all came; return the ms that it took."""
    began = rig.client.now()
    for at in range(0, len(data), size):
        connection.dataReceived(data[at : at + size])
        rig.step(pause_ms)
        if connection.abandoned:
            break
    return rig.client.now() - began


def test_a_trickling_event_ends_at_its_bound_with_its_reason():
    """Guards against: a bus that sends a byte now and then is taken for one that is up."""
    rig = Rig()
    connection, _ = rig.net.accept()
    took_ms = feed(rig, connection, event(4, 2, record(2, 7002)), 500)
    assert EVENT_TIMEOUT_MS < took_ms < EVENT_TIMEOUT_MS + HEARTBEAT_TIMEOUT_MS + 600
    ((said, what),) = rig.log.lines
    assert said == "event bus down" and "not complete" in what["reason"]
    assert rig.client.counts == {TimeoutReason.PARTIAL_EVENT: 1}
    connection, _ = rig.net.accept()  # dialled again; the same event in one piece counts
    connection.dataReceived(event(4, 2, record(2, 7002)))
    assert rig.received[-1] == ([("s-00000002", "ready")], False)


def test_a_stalled_event_is_silence():
    rig = Rig()
    connection, _ = rig.net.accept()
    connection.dataReceived(event(4, 2, record(2, 7002))[:20])
    rig.step(HEARTBEAT_TIMEOUT_MS - 10)
    assert not connection.abandoned
    rig.step(60)
    assert connection.abandoned and "no event or heartbeat" in rig.log.lines[0][1]["reason"]
    assert rig.client.counts == {TimeoutReason.SILENT: 1}


def test_each_event_has_its_own_beginning():
    rig = Rig()
    connection, _ = rig.net.accept()
    numbers = range(4, 12)
    data = b"".join(event(number, 2, record(2, 7002)) for number in numbers)
    # the end of one and the beginning of the next come together; all take longer than the bound on one
    assert feed(rig, connection, data, 120, size=3) > EVENT_TIMEOUT_MS
    assert not connection.abandoned and rig.log.lines == [] and len(rig.received) == 1 + len(numbers)


def test_a_partial_event_confirms_nothing():
    """Guards against: bytes on their way renew the endpoint list's lease."""
    rig = Rig()
    connection, _ = rig.net.accept()
    confirmed = list(rig.confirmed)
    feed(rig, connection, event(4, 2, record(2, 7002))[:-1], 100)
    assert rig.confirmed == confirmed and not connection.abandoned


def test_events_are_read_before_a_bus_counts_as_silent():
    """Guards against: both checks run with the events unread, as after an interrupted wait."""
    rig = Rig()
    connection, pipe = rig.net.accept()
    pipe.doRead = lambda: connection.dataReceived(event(4, 2, record(2, 7002)))
    rig.step(HEARTBEAT_TIMEOUT_MS + 2 * RECHECK_DELAY_MS)
    assert not connection.abandoned and rig.client.number == 4 and rig.log.lines == []
    pipe.doRead = lambda: None
    rig.step(HEARTBEAT_TIMEOUT_MS + 2 * RECHECK_DELAY_MS)
    assert connection.abandoned and rig.client.counts == {TimeoutReason.SILENT: 1}
