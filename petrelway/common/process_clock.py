"""The one clock of a process: Unix time as read at the start, counted on by spans that never step.

An administrator, or NTP, may step the system's wall clock at any moment, by seconds or by an hour. A timer, a
deadline or a window that is computed from it then fires early, or not for an hour. So every command takes its
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
    """Return seconds since boot. Time of a suspended machine counts, where the system can tell: leases
    end."""
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class ProcessClock:
    """Seconds since the epoch, as the wall clock read at the start and as spans have counted since.

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
        """`ahead_s`: Unix time less the spans, where another process has passed it on."""
        self._wall, self._spans = wall, spans
        self._ahead_s = wall() - spans() if ahead_s is None else ahead_s

    def seconds(self) -> float:
        """Return the present in seconds since the epoch; it never steps."""
        return self._ahead_s + self._spans()

    def unix_ahead_s(self) -> float:
        """Return how far the wall clock has been stepped ahead of this one, in all; negative: back."""
        return self._wall() - self.seconds()

    def scale(self) -> dict[str, str]:
        """Return environment variables for processes of this machine that are to count on the same scale."""
        return {SCALE_VARIABLE: repr(self._ahead_s)}


@functools.cache
def process_clock() -> ProcessClock:
    """Return this process's clock; on another process's scale, if the environment names one that can be
    read."""
    try:
        ahead_s = float(os.environ[SCALE_VARIABLE])
    except (KeyError, ValueError):
        return ProcessClock()
    return ProcessClock(ahead_s=ahead_s if math.isfinite(ahead_s) else None)


def share_scale() -> None:
    """Make processes that this one starts from now on count on its scale."""
    os.environ.update(process_clock().scale())


def steady_reactor():
    """Return this process's reactor, on its clock; nothing else makes one. Raises OSError without
    descriptors."""
    if "twisted.internet.reactor" not in sys.modules:
        from ..sockets.reactor import install

        install()
    from twisted.internet import reactor

    reactor.seconds = process_clock().seconds
    return reactor
