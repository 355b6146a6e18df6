"""Waits at a shutdown until the other sides have received their last answers.

An answer that was handed to a transport may wait there, and in the system, for a client that reads slowly. A
process that ends meanwhile cuts it. Times in seconds of the reactor's clock.
"""

from __future__ import annotations

import fcntl
import struct
import termios
from collections.abc import Iterator

from twisted.internet import abstract, defer, interfaces

CHECK_INTERVAL_S = 0.02
UNACKNOWLEDGED = getattr(termios, "TIOCOUTQ", None)  # Linux: bytes that the other system has not confirmed
COUNT = struct.Struct("i")


def unreceived_bytes(transport: interfaces.ITransport) -> int:
    """Return how many bytes the transport and the system hold that the other side's system has not received.

    0 for a connection that has ended, and for a transport that does not tell."""
    if not isinstance(transport, abstract.FileDescriptor) or not transport.connected:
        return 0
    buffered_bytes = len(transport.dataBuffer) + transport._tempDataLen
    return buffered_bytes + _unacknowledged_bytes(transport.fileno())


def _unacknowledged_bytes(descriptor: int) -> int:
    if UNACKNOWLEDGED is None:
        return 0
    try:
        return COUNT.unpack(fcntl.ioctl(descriptor, UNACKNOWLEDGED, bytes(COUNT.size)))[0]
    except OSError:
        return 0


class AnswerFlush:
    """The deadline of the last answer on each open connection, and how to wait for what is on its way."""

    def __init__(self, clock: interfaces.IReactorTime) -> None:
        """Start without connections; the owner reports each answer and each end of a connection."""
        self.clock = clock
        self.deadlines_s: dict[interfaces.ITransport, float] = {}

    def answered(self, transport: interfaces.ITransport, deadline_s: float) -> None:
        """Note that a whole answer was handed to a transport; it is worth waiting for until its deadline."""
        self.deadlines_s[transport] = max(deadline_s, self.deadlines_s.get(transport, deadline_s))

    def closed(self, transport: interfaces.ITransport) -> None:
        """Note that a connection has ended."""
        self.deadlines_s.pop(transport, None)

    def unread(self) -> int:
        """Count the connections whose answers have not been received."""
        return sum(unreceived_bytes(transport) > 0 for transport in self.deadlines_s)

    @defer.inlineCallbacks
    def wait(self, until_s: float):
        """Wait until all answers are received or past their deadlines, at most until the given time."""
        while any(self._awaited(until_s)):
            pause: defer.Deferred[None] = defer.Deferred()
            self.clock.callLater(CHECK_INTERVAL_S, pause.callback, None)
            yield pause

    def _awaited(self, until_s: float) -> Iterator[bool]:
        now_s = self.clock.seconds()
        for transport, deadline_s in self.deadlines_s.items():
            yield now_s < min(deadline_s, until_s) and unreceived_bytes(transport) > 0
