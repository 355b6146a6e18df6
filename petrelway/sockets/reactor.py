"""A reactor that asks the poller again when it is short of memory for a moment.

Danger: `epoll_ctl` fails with ENOMEM or ENOSPC; a connection that nobody watches stays open and unread for
ever. Twisted lets the exception through, to whoever happened to start or stop reading or writing.
"""

from __future__ import annotations

from twisted.internet import epollreactor, interfaces, main

from .listening import SHORTAGES

AGAIN_S = 0.005


class PatientReactor(epollreactor.EPollReactor):
    """Keeps who could not be watched, and asks again until it can or is not wanted any more."""

    def __init__(self) -> None:
        self._unwatched_readers: set[interfaces.IReadDescriptor] = set()
        self._unwatched_writers: set[interfaces.IWriteDescriptor] = set()
        self._asking_again = None
        self.watch_failures = 0
        super().__init__()

    def addReader(self, reader: interfaces.IReadDescriptor) -> None:
        try:
            super().addReader(reader)
        except OSError as problem:
            self._failed(problem)
            self._unwatched_readers.add(reader)

    def addWriter(self, writer: interfaces.IWriteDescriptor) -> None:
        try:
            super().addWriter(writer)
        except OSError as problem:
            self._failed(problem)
            self._unwatched_writers.add(writer)

    def removeReader(self, reader: interfaces.IReadDescriptor) -> None:
        self._unwatched_readers.discard(reader)
        try:
            super().removeReader(reader)
        except OSError as problem:
            self._failed(problem)
            self._take_out(reader, self._reads, self._writes, self._unwatched_writers)

    def removeWriter(self, writer: interfaces.IWriteDescriptor) -> None:
        self._unwatched_writers.discard(writer)
        try:
            super().removeWriter(writer)
        except OSError as problem:
            self._failed(problem)
            self._take_out(writer, self._writes, self._reads, self._unwatched_readers)

    def _take_out(self, descriptor, primary: set[int], other: set[int], unwatched_others: set) -> None:
        """Watched for both, it could not be changed to one: it is let go of, and that one asked for again.
        Danger: a number that stays in the tables is never watched when the system gives it out anew."""
        number = descriptor.fileno()
        self._poller.unregister(number)
        primary.discard(number)
        self._selectables.pop(number, None)
        if number in other:
            other.discard(number)
            unwatched_others.add(descriptor)

    def _failed(self, problem: OSError) -> None:
        if problem.errno not in SHORTAGES:
            raise problem
        self.watch_failures += 1
        if self._asking_again is None:
            self._asking_again = self.callLater(AGAIN_S, self._ask_again)

    def _ask_again(self) -> None:
        self._asking_again = None
        readers, self._unwatched_readers = self._unwatched_readers, set()
        writers, self._unwatched_writers = self._unwatched_writers, set()
        for reader in readers:
            self.addReader(reader)
        for writer in writers:
            self.addWriter(writer)


def install() -> PatientReactor:
    """Make it the process's reactor. Raises OSError, or ReactorAlreadyInstalledError."""
    reactor = PatientReactor()
    main.installReactor(reactor)
    return reactor
