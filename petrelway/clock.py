"""A clock that starts at the system's Unix time and never steps: an administrator's step back must not stop
timers."""

from __future__ import annotations

import time
from collections.abc import Callable


def _since_boot() -> float:
    """Goes on while the machine is suspended, where the system has such a clock."""
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


def steady(
    wall: Callable[[], float] = time.time, spans: Callable[[], float] = _since_boot
) -> Callable[[], float]:
    """Seconds since the epoch, as `wall` told at the first look and as `spans` has counted since.

    >>> walls, spans = iter([1000.0, 400.0]), iter([5.0, 6.0, 9.0])
    >>> clock = steady(lambda: next(walls), lambda: next(spans))
    >>> clock(), clock()
    (1001.0, 1004.0)
    """
    ahead = wall() - spans()
    return lambda: ahead + spans()
