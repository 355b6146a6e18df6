"""A reactor that calls the poller again when the system is short of memory for a moment.

When `epoll_ctl` fails with ENOMEM or ENOSPC, a descriptor that nobody watches stays open and unread for ever.
Twisted lets the exception through, to whoever happened to start or stop reading or writing. Installed by
`common/process_clock.py` at the start.
"""

from __future__ import annotations

from twisted.internet import epollreactor, interfaces, main

from .listening import SHORTAGES

RETRY_DELAY_S = 0.005


class RetryingReactor(epollreactor.EPollReactor):
    """An epoll reactor that retries until each descriptor is watched or not wanted any more."""

    def __init__(self) -> None:
        """Start with every descriptor watched."""
        self._unwatched_readers: set[interfaces.IReadDescriptor] = set()
        self._unwatched_writers: set[interfaces.IWriteDescriptor] = set()
        self._retry_call = None
        self.watch_failures = 0
        super().__init__()

    def addReader(self, reader: interfaces.IReadDescriptor) -> None:
        """Watch for reading, now or at a retry."""
        try:
            super().addReader(reader)
        except OSError as error:
            self._watch_failed(error)
            self._unwatched_readers.add(reader)

    def addWriter(self, writer: interfaces.IWriteDescriptor) -> None:
        """Watch for writing, now or at a retry."""
        try:
            super().addWriter(writer)
        except OSError as error:
            self._watch_failed(error)
            self._unwatched_writers.add(writer)

    def removeReader(self, reader: interfaces.IReadDescriptor) -> None:
        """Stop watching for reading."""
        self._unwatched_readers.discard(reader)
        try:
            super().removeReader(reader)
        except OSError as error:
            self._watch_failed(error)
            self._unregister(reader, self._reads, self._writes, self._unwatched_writers)

    def removeWriter(self, writer: interfaces.IWriteDescriptor) -> None:
        """Stop watching for writing."""
        self._unwatched_writers.discard(writer)
        try:
            super().removeWriter(writer)
        except OSError as error:
            self._watch_failed(error)
            self._unregister(writer, self._writes, self._reads, self._unwatched_readers)

    def _unregister(self, descriptor, primary: set[int], other: set[int], unwatched_others: set) -> None:
        """Unregister a descriptor that could not be changed from both directions to one, and retry that one.

        A number that stays in the tables would not be watched when the system assigns it anew.
        """
        number = descriptor.fileno()
        self._poller.unregister(number)
        primary.discard(number)
        self._selectables.pop(number, None)
        if number in other:
            other.discard(number)
            unwatched_others.add(descriptor)

    def _watch_failed(self, error: OSError) -> None:
        if error.errno not in SHORTAGES:
            raise error
        self.watch_failures += 1
        if self._retry_call is None:
            self._retry_call = self.callLater(RETRY_DELAY_S, self._retry)

    def _retry(self) -> None:
        self._retry_call = None
        readers = self._unwatched_readers
        self._unwatched_readers = set()
        writers = self._unwatched_writers
        self._unwatched_writers = set()
        for reader in readers:
            self.addReader(reader)
        for writer in writers:
            self.addWriter(writer)


def install() -> RetryingReactor:
    """Install it as the process's reactor. Raises OSError, or ReactorAlreadyInstalledError."""
    reactor = RetryingReactor()
    main.installReactor(reactor)
    return reactor
