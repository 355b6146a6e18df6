"""Transports whose reads and writes survive transient failures, and whose buffers can be counted and bounded.

A transport with a `read_gate` asks it before each read that the reactor reports. One with `on_buffered`
reports how many bytes it holds that the system has not taken yet, whenever that may have changed.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import main

from .peer_close import peer_has_closed

if TYPE_CHECKING:
    from .read_gate import ReadGate

NOTHING_READY = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC})
TRANSIENT_ERRORS = NOTHING_READY | SHORTAGES
SMALL_READ_BYTES = 1 << 12  # what a transport that holds nothing may read without asking
READ_BYTES = 1 << 15  # of one read: more than a client's longest line


class RetryingTransport:
    """A mixin for Twisted's TCP transports.

    A `recv` or `send` that fails for lack of memory does not end the connection.
    """

    read_gate: ReadGate | None = None
    on_buffered: Callable[[int, bool], None] | None = None  # bytes held, and whether the system took too few
    reading_paused = False  # by the protocol, whatever the gate says
    holds_input = True  # unless the protocol says that it holds nothing of what was read

    def doRead(self):
        """Read once; if the gate lets this transport wait for memory, a little or nothing."""
        if self.read_gate is None or self.read_gate.has_room_for(self):
            return self.read_now()
        if not self.holds_input:  # a small message passes, however much others hold
            return self.read_now(SMALL_READ_BYTES)
        self.read_gate.wait(self)
        return None

    def read_now(self, most: int = READ_BYTES):
        """Read once; after a transient error the read is retried when the poller next reports the socket."""
        try:
            data = self.socket.recv(most)
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRORS else main.CONNECTION_LOST
        return self._dataReceived(data)

    def pauseProducing(self) -> None:
        """Stop reading; also a gate does not begin it again."""
        self.reading_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Read again."""
        self.reading_paused = False
        super().resumeProducing()

    def peer_has_closed(self) -> bool:
        """Return whether the other side has closed, also while bytes from before that are unread."""
        return self.connected and peer_has_closed(self.fileno())

    def buffered_bytes(self) -> int:
        """Return how many bytes are held for writing; a part that was sent stays until the rest is."""
        return len(self.dataBuffer) + self._tempDataLen

    def write(self, data: bytes) -> None:
        """Write now or once the system takes more."""
        super().write(data)
        self._report_buffered(False)

    def doWrite(self):
        """Pass on what the system takes now."""
        result = super().doWrite()
        self._report_buffered(True)
        return result

    def writeSomeData(self, data):
        """Write once; a transient error counts as nothing written."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT_ERRORS else main.CONNECTION_LOST

    def connectionLost(self, reason) -> None:
        """Give back what the transport holds, and leave the gate."""
        if self.read_gate is not None:
            self.read_gate.forget(self)
        super().connectionLost(reason)
        self.read_gate = None
        self.on_buffered = None

    def _report_buffered(self, after_write: bool) -> None:
        if self.on_buffered is not None:
            held = self.buffered_bytes()
            self.on_buffered(held, after_write and held > 0)
