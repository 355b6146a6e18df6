"""The one clock of a process: Unix time as it stood at the start, counted on by spans that never step.

An administrator, or NTP, may step the system's wall clock at any moment, by seconds or by an hour. A timer, a
deadline or a window that is reckoned on it then fires early, or not for an hour. So every command takes its
reactor from here, and nothing else reads the wall clock for a span (`tests/test_one_clock.py`).

Processes of one rehearsal share one scale of time, whatever is stepped between their starts: the first hands
its own on through the environment (`share_scale`).
"""

from __future__ import annotations

import functools
import math
import os
import sys
import time
from collections.abc import Callable

SCALE_VARIABLE = "PETRELWAY_CLOCK_AHEAD_S"  # Unix time less the time since boot, for a rehearsal's processes


def _since_boot() -> float:
    """Goes on while the machine is suspended, where the system can tell: a lease ends all the same."""
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class ProcessClock:
    """Seconds since the epoch, as the wall clock told at the start and as spans have counted since.

    >>> walls, spans = iter([1000.0, 400.0]), iter([5.0, 6.0, 9.0, 10.0])
    >>> clock = ProcessClock(lambda: next(walls), lambda: next(spans))
    >>> clock.seconds(), clock.seconds(), clock.unix_ahead_s()
    (1001.0, 1004.0, -605.0)
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        spans: Callable[[], float] = _since_boot,
        ahead_s: float | None = None,
    ) -> None:
        """`ahead_s`: Unix time less the spans, where another process has told it."""
        self._wall, self._spans = wall, spans
        self._ahead_s = wall() - spans() if ahead_s is None else ahead_s

    def seconds(self) -> float:
        return self._ahead_s + self._spans()

    def unix_ahead_s(self) -> float:
        """How far the wall clock has been stepped ahead of this one, in all; negative: back."""
        return self._wall() - self.seconds()

    def scale(self) -> dict[str, str]:
        """Environment variables for processes of this machine that are to count on the same scale."""
        return {SCALE_VARIABLE: repr(self._ahead_s)}


@functools.cache
def process_clock() -> ProcessClock:
    """This process's clock; on another process's scale, if the environment tells one that can be read."""
    try:
        ahead_s = float(os.environ[SCALE_VARIABLE])
    except (KeyError, ValueError):
        return ProcessClock()
    return ProcessClock(ahead_s=ahead_s if math.isfinite(ahead_s) else None)


def share_scale() -> None:
    """Processes that this one starts from now on count on its scale."""
    os.environ.update(process_clock().scale())


def steady_reactor():
    """This process's reactor, on its clock: the only way to one. Raises OSError if the system is short."""
    if "twisted.internet.reactor" not in sys.modules:
        from ..sockets.reactor import install

        install()
    from twisted.internet import reactor

    reactor.seconds = process_clock().seconds
    return reactor
