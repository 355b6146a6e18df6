"""An epoll reactor that continues after transient failures of system calls.

When `epoll_ctl` fails with ENOMEM or ENOSPC, a descriptor that is not watched stays open and unread for ever.
Twisted lets the exception propagate to the code that happened to start or stop reading or writing.

When the pipe that wakes the reactor can't be written to, Twisted raises in the code that wakes it: in a
thread, or in a signal handler and so in the function that the signal interrupted. Here the failure is only
counted. Signals are recorded (`signals.py`), and no wait is longer than LONGEST_WAIT_S, so signals and calls
from threads are still handled.

Installed by `common/process_clock.py` at process start.
"""

from __future__ import annotations

import contextlib
import signal
from collections import Counter
from collections.abc import Callable
from types import FrameType

from twisted.internet import epollreactor, error, interfaces, main, process

from .signals import PendingSignals
from .transports import SHORTAGES

RETRY_DELAY_S = 0.005
LONGEST_WAIT_S = 0.1  # bounds how late a signal is handled whose wake-up failed


class RetryingReactor(epollreactor.EPollReactor):
    """An epoll reactor that retries until each descriptor is watched or no longer wanted."""

    def __init__(self) -> None:
        """Start with no descriptor to retry and no pending signal."""
        self._pending_signals = PendingSignals()
        self._signal_actions: dict[int, Callable[[], object]] = {
            signal.SIGCHLD: process.reapAllProcesses,
            signal.SIGINT: self._stop_once,
            signal.SIGTERM: self._stop_once,
        }
        self.failures: Counter[str] = Counter()
        self._unwatched_readers: set[interfaces.IReadDescriptor] = set()
        self._unwatched_writers: set[interfaces.IWriteDescriptor] = set()
        self._retry_call = None
        super().__init__()
        self.callWhenRunning(self._record_child_signals)

    def on_signal(self, number: int, action: Callable[[], object]) -> None:
        """Call `action` in a turn of the reactor after each signal `number`, or series of them, from now on.

        For a signal that arrives before the reactor runs, `action` is called in its first turn.
        """
        self._signal_actions[number] = action
        signal.signal(number, self._pending_signals.note)

    def stop_on(self, *numbers: int) -> None:
        """Stop the reactor in the first turn after such a signal, as Twisted does once it runs."""
        for number in numbers:
            self.on_signal(number, self._stop_once)

    def run(self, installSignalHandlers: bool = True) -> None:
        """Run until stopped, then ignore SIGHUP, SIGINT and SIGTERM, because the process ends.

        At exit Python restores the default action of each handled signal, which kills the process.
        """
        super().run(installSignalHandlers)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            if signal.getsignal(number) in (self._pending_signals.note, self.sigInt, self.sigTerm):
                signal.signal(number, signal.SIG_IGN)

    def sigInt(self, number: int, frame: FrameType | None = None) -> None:
        """Record SIGINT; Twisted installs this method as the handler when the reactor runs."""
        self._pending_signals.note(number)

    def sigTerm(self, number: int, frame: FrameType | None = None) -> None:
        """Record SIGTERM; Twisted installs this method as the handler when the reactor runs."""
        self._pending_signals.note(number)

    def wakeUp(self) -> None:
        """Wake the reactor; if that fails, its wait still ends within LONGEST_WAIT_S."""
        try:
            super().wakeUp()
        except OSError:
            self.failures["reactor: wake-up"] += 1

    def timeout(self) -> float:
        """Return how long to wait for events, in seconds."""
        wait_s = super().timeout()
        return LONGEST_WAIT_S if wait_s is None else min(wait_s, LONGEST_WAIT_S)

    def runUntilCurrent(self) -> None:
        """Schedule the action of each pending signal as a separate call, then run the calls that are due."""
        for number in self._pending_signals.due():
            self.callLater(0.0, self._signal_actions[number])
        super().runUntilCurrent()

    def _record_child_signals(self) -> None:
        """Record SIGCHLD, so that children are reaped even if Twisted's pipe got no byte."""
        if signal.getsignal(signal.SIGCHLD) is not signal.SIG_DFL:
            signal.signal(signal.SIGCHLD, self._pending_signals.note)
            signal.siginterrupt(signal.SIGCHLD, False)

    def _stop_once(self) -> None:
        with contextlib.suppress(error.ReactorNotRunning):  # an earlier signal has stopped it
            self.stop()

    def addReader(self, reader: interfaces.IReadDescriptor) -> None:
        """Watch for reading, now or in a retry."""
        try:
            super().addReader(reader)
        except OSError as error:
            self._watch_failed(error)
            self._unwatched_readers.add(reader)

    def addWriter(self, writer: interfaces.IWriteDescriptor) -> None:
        """Watch for writing, now or in a retry."""
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
        """Unregister a descriptor that could not be changed from both directions to one.

        The remaining direction is registered again in a retry. A number that stayed in the tables would
        not be watched when the system reuses it.
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
        self.failures["reactor: watch"] += 1
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
    """Install a RetryingReactor for this process. Raises OSError or ReactorAlreadyInstalledError."""
    reactor = RetryingReactor()
    main.installReactor(reactor)
    return reactor
