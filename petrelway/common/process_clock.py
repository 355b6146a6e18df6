"""The one clock of a process: Unix time as read at the start, advanced by a clock that never steps.

An administrator, or NTP, may step the system's wall clock at any moment, by seconds or by an hour. A timer, a
deadline or a window that is computed from it then fires early, or not for an hour. So every command gets its
reactor from this module, and no other code measures a span with the wall clock (`tests/test_one_clock.py`).

The processes of one rehearsal share one time scale, even if the wall clock is stepped between their starts:
the first one passes its own scale on through the environment (`share_scale`).
"""

from __future__ import annotations

import functools
import math
import os
import sys
import time
from collections.abc import Callable

SCALE_VARIABLE = "PETRELWAY_CLOCK_AHEAD_S"  # Unix time minus time since boot, for a rehearsal's processes


def _since_boot() -> float:
    """Return seconds since boot.

    Where the system provides CLOCK_BOOTTIME, time during which the machine was suspended counts too, because
    leases end in that time.
    """
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class ProcessClock:
    """Seconds since the epoch: the wall clock's reading at the start plus the time passed since.

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
        """`ahead_s` is Unix time minus the value of `spans`, if another process has passed it on."""
        self._wall, self._spans = wall, spans
        self._ahead_s = wall() - spans() if ahead_s is None else ahead_s

    def seconds(self) -> float:
        """Return the current time in seconds since the epoch; it never steps."""
        return self._ahead_s + self._spans()

    def unix_ahead_s(self) -> float:
        """Return how far all steps have put the wall clock ahead of this clock; negative if it is behind."""
        return self._wall() - self.seconds()

    def scale(self) -> dict[str, str]:
        """Return environment variables that give other processes of this machine the same time scale."""
        return {SCALE_VARIABLE: repr(self._ahead_s)}


@functools.cache
def process_clock() -> ProcessClock:
    """Return this process's clock, on the time scale that the environment names, if it names a valid one."""
    try:
        ahead_s = float(os.environ[SCALE_VARIABLE])
    except (KeyError, ValueError):
        return ProcessClock()
    return ProcessClock(ahead_s=ahead_s if math.isfinite(ahead_s) else None)


def share_scale() -> None:
    """Put this process's time scale into the environment of processes that it starts from now on."""
    os.environ.update(process_clock().scale())


def steady_reactor():
    """Return this process's reactor, which runs on `process_clock`; no other code creates a reactor.

    Raises OSError if there are no descriptors left.
    """
    if "twisted.internet.reactor" not in sys.modules:
        from ..sockets.reactor import install

        install()
    from twisted.internet import reactor

    reactor.seconds = process_clock().seconds
    return reactor
