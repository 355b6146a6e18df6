"""HTTP requests that come in pieces: each has a time of its own, whatever the connection did before it."""

from doubles import lost
from test_http_listener import GOOD, Rig

from petrelway.gateway.answers import Answer, Completion
from petrelway.gateway.http_listener import IDLE_S
from petrelway.gateway.http_request_timeout import REQUEST_TIMEOUT_S
from petrelway.routing.types import Warmth

ANSWER = Answer(Completion.SUCCEEDED, body=b"{}", content_type="application/json", warmth=Warmth.FOUND)


def whole_request():
    headers = "".join(f"ce-{name}: {value}\r\n" for name, value in GOOD.items())
    head = f"POST /triggers HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n{headers}"
    return f"{head}content-length: 40\r\n\r\n".encode() + b'"' + b"x" * 38 + b'"'


def step(rig, seconds):
    for _ in range(int(seconds * 2)):
        rig.listener.reactor.advance(0.5)


def fed_slowly(rig, data):
    """Feed a byte each second; return for how long the connection stayed open, in s."""
    for seconds in range(len(data)):
        if rig.pipe.disconnecting:
            return seconds
        rig.channel.dataReceived(data[seconds : seconds + 1])
        step(rig, 1)
    return len(data)


def test_a_request_that_trickles_ends_at_its_bound_with_its_reason():
    """Guards against: a byte now and then keeps the idle timeout from ever acting, and holds a connection."""
    body_only = whole_request().partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    for first in (b"", body_only):
        rig = Rig()
        rig.channel.dataReceived(first)
        assert REQUEST_TIMEOUT_S <= fed_slowly(rig, b"x" * 100) <= REQUEST_TIMEOUT_S + 1
        assert rig.pipe.value().startswith(b"HTTP/1.1 408 ") and rig.listener.counts["refused 408"] == 1
        assert rig.taken == []


def test_a_request_in_two_pieces_after_a_rest_is_accepted():
    """Guards against: the time of a request counts from its connection's beginning or last request."""
    rig = Rig()
    for number in (1, 2, 3):
        rig.channel.dataReceived(whole_request()[:50])
        step(rig, REQUEST_TIMEOUT_S - 1)
        rig.channel.dataReceived(whole_request()[50:])
        assert len(rig.taken) == number
        step(rig, REQUEST_TIMEOUT_S + 5)  # it is being answered: no time of the request's own runs
        rig.taken[-1][3].callback(ANSWER)
        step(rig, IDLE_S - 5)
        assert not rig.pipe.disconnecting
    assert rig.pipe.value().count(b"HTTP/1.1 200 ") == 3


def test_a_connection_that_ends_leaves_no_timer():
    rig = Rig()
    rig.channel.dataReceived(whole_request()[:50])
    rig.channel.connectionLost(lost())
    assert rig.listener.request_timeouts.timeouts == {} and rig.listener.connections == 0
    step(rig, REQUEST_TIMEOUT_S + 1)
    assert rig.listener.counts["refused 408"] == 0
