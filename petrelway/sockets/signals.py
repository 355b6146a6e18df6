"""Signals are recorded by a handler that can't fail, and handled by the reactor between two of its steps.

Python runs a signal's handler in the main thread between any two bytecodes. An exception of the handler
is raised in the function that it interrupted: a transport would then treat a write as failed whose bytes were
sent. So `note` only sets two flags, and the reactor (`sockets/reactor.py`) calls `due` in each turn.
"""

from __future__ import annotations

import signal
from types import FrameType


class PendingSignals:
    """The signals that arrived since the last call of `due`. Several of one number count as one.

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
        """Record a signal; a handler for `signal.signal`. It allocates nothing and calls nothing."""
        self._noted[number] = True
        self._any_noted = True

    def due(self) -> list[int]:
        """Return the numbers recorded since the last call, lowest first."""
        if not self._any_noted:
            return []
        self._any_noted = False  # reset first: a signal recorded from here on is returned by the next call
        numbers = [number for number, noted in enumerate(self._noted) if noted]
        for number in numbers:
            self._noted[number] = False
        return numbers
