"""Bounds the time that one HTTP request takes to arrive, from its first byte to its last.

Used by the sites of this project: the listener for requests and the console. An idle timeout alone would let
a byte now and then hold a connection.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces
from twisted.web import server

REQUEST_TIMEOUT_S = 20.0  # 256 KiB, the largest body, at 13 KB/s


class RequestTimeout:
    """The timer of one connection.

    It runs while a request arrives, not while the connection rests or a request is being answered.
    """

    def __init__(self, clock: interfaces.IReactorTime, expired: Callable[[], None]) -> None:
        """Start without a request; `expired` is called when one has not arrived in time."""
        self.clock = clock
        self.expired = expired
        self.answering = False
        self.call: interfaces.IDelayedCall | None = None

    def bytes_received(self) -> None:
        """Note bytes from the client."""
        if self.call is None and not self.answering:
            self.call = self.clock.callLater(REQUEST_TIMEOUT_S, self._expire)

    def request_received(self) -> None:
        """Note that a request is complete."""
        self.answering = True
        self.cancel()

    def request_answered(self) -> None:
        """Note that its response is written; the next request has its own time."""
        self.answering = False

    def cancel(self) -> None:
        """Stop the timer."""
        if self.call is not None:
            self.call.cancel()
            self.call = None

    def _expire(self) -> None:
        self.call = None
        self.expired()


class RequestTimeouts:
    """The timers of one site's connections, by transport."""

    def __init__(
        self, clock: interfaces.IReactorTime, expired: Callable[[interfaces.ITransport], None]
    ) -> None:
        """Start without connections; `expired` is called with the transport of a request that is late."""
        self.clock = clock
        self.expired = expired
        self.timeouts: dict[interfaces.ITransport, RequestTimeout] = {}

    def watch(self, channel, closed: Callable[[interfaces.ITransport], None]) -> None:
        """Bound the requests of a channel that a site has built; call `closed` when its connection ends."""
        connected, received, lost = channel.makeConnection, channel.dataReceived, channel.connectionLost

        def make_connection(transport):
            timeout = RequestTimeout(self.clock, lambda: self.expired(transport))

            def data_received(data):
                timeout.bytes_received()
                return received(data)

            def connection_lost(reason=None):
                timeout.cancel()
                del self.timeouts[transport]
                closed(transport)
                return lost(reason)

            self.timeouts[transport] = timeout
            channel.dataReceived = data_received
            channel.connectionLost = connection_lost
            return connected(transport)

        channel.makeConnection = make_connection


class TimedRequest(server.Request):
    """A request of a site with `request_timeouts`."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the request, which is complete."""
        self._timeout().request_received()
        super().requestReceived(command, path, version)

    def finish(self) -> None:
        """End the response; what the client has sent meanwhile is read by this call."""
        self._timeout().request_answered()
        super().finish()

    def _timeout(self) -> RequestTimeout:
        return self.channel.site.request_timeouts.timeouts[self.channel.transport]
