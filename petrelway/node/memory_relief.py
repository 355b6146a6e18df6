"""Closes client connections that hold memory and do not move on, the heaviest first, while memory is short.

A partial line and answers that a client does not read are held for one client alone, for as long as it likes,
up to the bounds of a connection. While others wait for that memory, the connections with the most bytes
times ms are closed. A request that was taken is no reason: its answer is owed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .client_listener import ClientListener

CHECK_INTERVAL_MS = 50.0


class ClientMemoryRelief:
    """Looks at the buffers at an interval, and closes connections where they are needed for others."""

    def __init__(self, listener: ClientListener) -> None:
        """Schedule the first look."""
        self._listener = listener
        self._call = listener.clock.callLater(CHECK_INTERVAL_MS / 1e3, self._look)

    def close(self) -> None:
        """Cancel the timer."""
        self._call.cancel()

    def _look(self) -> None:
        listener = self._listener
        self._call = listener.clock.callLater(CHECK_INTERVAL_MS / 1e3, self._look)
        if len(listener.read_gate) or listener.buffers.is_high():
            self._relieve()

    def _relieve(self) -> None:
        """Close connections until the buffers are relieved, or a share of those that stall is closed."""
        listener = self._listener
        now = listener.now()
        stalled = [(connection.stalled_byte_ms(now), connection) for connection in listener.connections]
        stalled = [(weight, connection) for weight, connection in stalled if weight > 0.0]
        stalled.sort(key=lambda pair: -pair[0])
        wanted = max(listener.buffers.excess_bytes(), listener.read_shortage_bytes())
        freed = 0
        for _, connection in stalled:
            if freed >= wanted:
                return
            connection.read_pending_bytes()  # the rest of its line may be unread, after a long turn
            if connection.stalled_byte_ms(now) <= 0.0:
                continue
            freed += connection.account.held_bytes
            listener.warn_once("client connection closed for memory", **connection.ages_ms(now))
            connection.end_for_memory()
