"""System calls of the real program fail for a moment, in the ways that Linux documents."""

import errno

import pytest
from nodes import node

from petrelway.standin.platform import Executor, request

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
    """Danger: out of descriptors for a moment, connections were taken on a spare one and closed."""
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
