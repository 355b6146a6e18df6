"""System calls of the real program fail for a moment, in the ways that Linux documents."""

import contextlib
import errno
import signal
import time
from types import SimpleNamespace

import pytest
from nodes import WAIT_S, node, until
from twisted.internet.testing import MemoryReactorClock

from petrelway.fakes.platform_peers import Bus, Executor, request
from petrelway.sockets.datagrams import DatagramPort

REQUESTS = 200
ONE_IN_TEN = 100


def connect_and_ask(n, failing, error):
    """Each request on a connection of its own; how many were answered, and what was logged."""
    failing.fail("accept", error, ONE_IN_TEN)
    answered = 0
    for number in range(1, REQUESTS + 1):
        client = n.client()
        client.say(request(call=f"{number:016x}", ttl=4000))
        heard = client.hear_or_closed()
        answered += heard is not None and "result" in heard
        client.sock.close()
    failing.well()
    assert failing.counts("accept").failed > 0
    events = n.events()
    assert not [e for e in events if "Traceback" in str(e)]
    return answered, events


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO], ids=["EMFILE", "EPROTO"])
def test_each_request_is_answered_while_accept_fails(tmp_path, failing, error):
    """Out of descriptors for a moment, connections were accepted on a reserved one and closed."""
    with node(tmp_path, [Executor()], failing=failing) as n:
        answered, events = connect_and_ask(n, failing, error)
    assert answered == REQUESTS
    assert len([e for e in events if e["event"] == "connections can't be accepted"]) == 1


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS], ids=["ENFILE", "ENOBUFS"])
def test_each_request_is_answered_while_the_system_is_short(tmp_path, failing, error):
    with node(tmp_path, [Executor()], failing=failing) as n:
        answered, _ = connect_and_ask(n, failing, error)
    assert answered == REQUESTS


def test_a_connection_that_the_system_aborted_is_the_only_one_lost(tmp_path, failing):
    with node(tmp_path, [Executor()], failing=failing) as n:
        answered, _ = connect_and_ask(n, failing, errno.ECONNABORTED)
    assert answered == REQUESTS - failing.counts("accept").failed


CALLS = {
    "epoll_ctl ENOMEM": ("epoll_ctl", errno.ENOMEM),
    "epoll_ctl ENOSPC": ("epoll_ctl", errno.ENOSPC),
    "epoll_wait EINTR": ("epoll_wait", errno.EINTR),
    "recv ENOMEM": ("recv", errno.ENOMEM),
    "recv EINTR": ("recv", errno.EINTR),
    "send ENOBUFS": ("send", errno.ENOBUFS),
    "send EINTR": ("send", errno.EINTR),
    "setsockopt ENOBUFS": ("setsockopt", errno.ENOBUFS),
    "accept EINTR": ("accept", errno.EINTR),
    "accept ENETUNREACH": ("accept", errno.ENETUNREACH),
    "accept EHOSTUNREACH": ("accept", errno.EHOSTUNREACH),
    "accept ETIMEDOUT": ("accept", errno.ETIMEDOUT),
    "accept EPERM": ("accept", errno.EPERM),
}


def ask_on(n, count, clients=4, first=1):
    """`count` requests over a few connections; what each was answered, by number."""
    answers, own = {}, [n.client() for _ in range(clients)]
    for number in range(first, first + count):
        client = own[number % clients]
        client.say(request(number, call=f"{number:016x}", ttl=4000))
        heard = client.hear_or_closed()
        answers[number] = heard
    return answers


@pytest.mark.parametrize("kind", CALLS)
def test_each_request_is_served_while_calls_fail(tmp_path, failing, kind):
    call, error = CALLS[kind]
    with node(tmp_path, [Executor()], failing=failing) as n:
        failing.fail(call, error, ONE_IN_TEN)
        answers = ask_on(n, REQUESTS)
        for number in range(REQUESTS + 1, REQUESTS + 41):  # new connections too
            client = n.client()
            client.say(request(number, call=f"{number:016x}", ttl=4000))
            answers[number] = client.hear_or_closed()
            client.sock.close()
        failing.well()
        assert failing.counts(call).failed > 0
        events = n.events()
    assert [number for number, heard in answers.items() if heard is None or "result" not in heard] == []
    assert not [e for e in events if "Traceback" in str(e)]


@pytest.mark.parametrize("most", [1, 7])
def test_short_reads_and_writes_lose_nothing(tmp_path, failing, most):
    with node(tmp_path, [Executor()], failing=failing) as n:
        failing.shorten("recv", most)
        failing.shorten("send", most)
        answers = ask_on(n, 40)
    assert all(heard is not None and "result" in heard for heard in answers.values())


@pytest.mark.parametrize(
    "error",
    [
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
        errno.ECONNREFUSED,
        errno.ETIMEDOUT,
        errno.EAGAIN,
        errno.ENOBUFS,
    ],
    ids=errno.errorcode.get,
)
def test_each_request_is_answered_while_connect_fails(tmp_path, failing, error):
    """What was never sent on is refused, or sent when the next connection comes up; nothing is lost."""
    with node(tmp_path, [Executor(), Executor()], known=(1, 2), failing=failing) as n:
        failing.fail("connect", error, 300)
        answers = ask_on(n, REQUESTS)
        failing.well()
        events = n.events()
        sent = n.executors[0].requests() + n.executors[1].requests()
    assert all(heard is not None for heard in answers.values())
    assert len(sent) == len(set(sent)) or error == errno.ETIMEDOUT
    assert sum("result" in heard for heard in answers.values()) > REQUESTS / 2
    assert not [e for e in events if "Traceback" in str(e)]


STARTS = {
    "socket ENFILE": ("socket", errno.ENFILE),
    "socket EMFILE": ("socket", errno.EMFILE),
    "socket ENOBUFS": ("socket", errno.ENOBUFS),
    "socket ENOMEM": ("socket", errno.ENOMEM),
    "epoll_ctl ENOMEM": ("epoll_ctl", errno.ENOMEM),
}


@pytest.mark.parametrize("kind", STARTS)
@pytest.mark.parametrize("times", [1, 12])
def test_a_start_waits_for_a_system_that_is_short(tmp_path, failing, kind, times):
    """One call that failed for a moment ended the start."""
    call, error = STARTS[kind]
    failing.fail(call, error, 1000, times)
    with node(tmp_path, [Executor()], failing=failing) as n:
        assert failing.counts(call).failed == times
        client = n.client()
        client.say(request(call="a" * 16, ttl=4000))
        assert "result" in client.hear()
        events = n.events()
    assert n.process.returncode == 0
    assert len([e for e in events if e["event"] == "the start waited for the system"]) <= 1


def test_idle_clients_that_fill_the_descriptors_keep_nobody_out(tmp_path):
    """The system's own limit is under the configured one; the event bus up and down."""
    with node(tmp_path, [Executor()], before="ulimit -n 100; ") as n:
        idle = []
        for up in (True, False):
            if not up:
                n.bus.close()
            for _ in range(150):
                idle.append(n.client())
            for number in range(1, 41):
                client = n.client()
                client.say(request(number, call=f"{number + 1000 * up:016x}", ttl=4000))
                heard = client.hear()
                assert "result" in heard, heard
        n.bus = Bus()
        events = n.events()
    assert not [e for e in events if "Traceback" in str(e)]


def test_no_request_is_lost_when_accept_fails_during_the_drain(tmp_path, failing):
    with node(tmp_path, [Executor()], failing=failing) as n:
        failing.fail("accept", errno.EMFILE, 500)
        n.signal(signal.SIGTERM)
        end = time.monotonic() + 0.4
        number = answered = 0
        while time.monotonic() < end:
            number += 1
            client = n.client()
            client.say(request(1, call=f"{number:016x}", ttl=4000))
            answered += client.hear() is not None
        assert answered == number > 0
        n.events(ended=False)
    assert n.process.returncode == 0


@pytest.mark.parametrize("error", [errno.EIO, errno.EMFILE, errno.ENOENT], ids=errno.errorcode.get)
def test_a_configuration_that_can_not_be_read_for_a_moment_is_read_again(tmp_path, failing, error):
    """It went on with the event bus that the old one names, which then goes away."""
    second = Bus()
    with contextlib.closing(second), node(tmp_path, [Executor()], failing=failing) as n:
        n.write(second)
        failing.fail("open", error)
        n.signal(signal.SIGHUP)
        until(lambda: failing.counts("open").failed >= 3)
        assert not second.resumed
        failing.well()
        until(lambda: second.resumed)
        events = n.events()
    told = [e["event"] for e in events]
    assert told.count("configuration rejected") == 1
    assert told.count("configuration reloaded") == 1


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EPIPE], ids=errno.errorcode.get)
def test_a_log_that_can_not_be_written_stops_nothing(tmp_path, failing, error):
    """The exception ended the connection, or the turn, in which something was logged."""
    with node(tmp_path, [Executor()], failing=failing) as n:
        failing.fail("write", error)
        client = n.client()
        for number in range(1, 21):
            client.say(request(number, call="zz") if number % 5 == 0 else asking(number))
            heard = client.hear()
            assert heard["id"] == number and ("error" in heard) == (number % 5 == 0)
        assert failing.counts("write").failed > 0
        n.signal(signal.SIGHUP)
        n.signal(signal.SIGTERM)
        client.say(asking(21))
        assert "result" in client.hear() and client.hear() is None
        n.process.communicate(timeout=WAIT_S)
    assert n.process.returncode == 0


def asking(number):
    return request(number, call=f"{number:016x}", ttl=4000)


def test_a_port_for_datagrams_stays_when_a_read_fails():
    """Membership received nothing any more after one error."""
    reactor = MemoryReactorClock()
    heard = []
    port = DatagramPort(0, SimpleNamespace(datagramReceived=lambda data, to: heard.append(data)), "", reactor)
    reads = [OSError(errno.ENOMEM, "no memory"), (b"a", ("10.0.0.1", 1)), OSError(errno.EAGAIN, "none")]

    def recvfrom(size):
        found = reads.pop(0)
        if isinstance(found, OSError):
            raise found
        return found

    port.socket = SimpleNamespace(recvfrom=recvfrom)
    port.doRead()
    port.doRead()
    assert heard == [b"a"] and port.counts == {"recvfrom ENOMEM": 1}
