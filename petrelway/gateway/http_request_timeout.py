"""Bounds the time that one HTTP request takes to arrive, from its first byte to its last."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

REQUEST_TIMEOUT_S = 20.0  # 256 KiB, the largest body, at 13 KB/s


class RequestTimeout:
    """The timer of one connection. An idle timeout alone would let a byte now and then hold a connection.

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
