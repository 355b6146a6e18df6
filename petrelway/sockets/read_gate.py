"""A gate that every reader passes before it reads: while there is no room, sockets are not read.

What is not read stays with the system, whose windows make the other side wait. Waiting transports go on in
the order in which they came, as room is given back, a read for each READ_BYTES of it. One whose other side
closes goes on at once, so that the close is noticed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet import interfaces

from .transports import READ_BYTES

CHECK_INTERVAL_MS = 20.0  # between two looks at waiting transports, beside those when room is given back


class GatedTransport(Protocol):
    """What the gate needs of a transport."""

    reading_paused: bool

    def resumeProducing(self) -> None:
        """Have the reactor report what can be read, unless the connection is ending."""

    def stopReading(self) -> None:
        """Have the reactor report nothing to read."""

    def peer_has_closed(self) -> bool:
        """Return whether the other side has closed."""


class ReadGate:
    """Lets transports read while there is room; the others wait in order."""

    def __init__(self, clock: interfaces.IReactorTime, room_bytes: Callable[[], int]) -> None:
        """`room_bytes` returns how many bytes may be read now."""
        self._clock = clock
        self._room_bytes = room_bytes
        self._waiting: dict[GatedTransport, None] = {}
        self._resumed: set[GatedTransport] = set()  # may read once although others wait
        self._call: interfaces.IDelayedCall | None = None
        self.waits = 0  # how often a transport had to wait

    def __len__(self) -> int:
        """Return how many transports wait."""
        return len(self._waiting)

    def has_room_for(self, transport: GatedTransport) -> bool:
        """Return whether the transport may read as much as it likes now; others may have come before it."""
        if transport in self._resumed:
            self._resumed.discard(transport)
            return True
        return not self._waiting and self._room_bytes() > 0

    def wait(self, transport: GatedTransport) -> None:
        """Let the transport wait for room."""
        transport.stopReading()
        if transport not in self._waiting:
            self._waiting[transport] = None
            self.waits += 1
        self._schedule(CHECK_INTERVAL_MS)

    def forget(self, transport: GatedTransport) -> None:
        """Drop a transport that has ended."""
        self._waiting.pop(transport, None)
        self._resumed.discard(transport)

    def room_given_back(self) -> None:
        """Let waiting transports go on in the reactor's next turn."""
        if self._waiting:
            self._schedule(0.0)

    def close(self) -> None:
        """Cancel the timer."""
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _schedule(self, delay_ms: float) -> None:
        if self._call is not None:
            if delay_ms > 0.0:
                return
            self._call.cancel()
        self._call = self._clock.callLater(delay_ms / 1e3, self._look)

    def _look(self) -> None:
        self._call = None
        for transport in [waiting for waiting in self._waiting if waiting.peer_has_closed()]:
            self._resume(transport)
        reads = self._room_bytes() // READ_BYTES
        for transport in list(self._waiting)[: max(0, reads)]:
            self._resume(transport)
        if self._waiting:
            self._schedule(CHECK_INTERVAL_MS)

    def _resume(self, transport: GatedTransport) -> None:
        del self._waiting[transport]
        if transport.reading_paused:
            return  # asks again once its protocol reads on
        self._resumed.add(transport)
        transport.resumeProducing()
