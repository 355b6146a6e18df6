"""Signals are noted by a handler that can't fail and acted upon by the reactor, between two of its steps.

Python runs a signal's handler in the main thread between any two bytecodes. What the handler raises comes out
of the function that it interrupted: a transport then believes that a write failed whose bytes went out. So
`note` sets two flags and nothing else; `due` hands the signals to the reactor (`sockets/reactor.py`), which
asks in each turn.
"""

from __future__ import annotations

import signal
from types import FrameType


class PendingSignals:
    """Which signals have come since they were last asked for. Several of one number count as one.

    >>> signals = PendingSignals()
    >>> signals.note(signal.SIGHUP)
    >>> signals.note(signal.SIGTERM)
    >>> signals.note(signal.SIGHUP)
    >>> [number.name for number in map(signal.Signals, signals.due())]
    ['SIGHUP', 'SIGTERM']
    >>> signals.due()
    []
    """

    def __init__(self) -> None:
        self._any_noted = False
        self._noted = [False] * signal.NSIG

    def note(self, number: int, frame: FrameType | None = None) -> None:
        """Remember a signal; the handler of `signal.signal`. Allocates nothing and calls nothing."""
        self._noted[number] = True
        self._any_noted = True

    def due(self) -> list[int]:
        """Return the numbers noted since the last call, lowest first."""
        if not self._any_noted:
            return []
        self._any_noted = False  # first: what is noted from here on is found at the next call
        numbers = [number for number, noted in enumerate(self._noted) if noted]
        for number in numbers:
            self._noted[number] = False
        return numbers
