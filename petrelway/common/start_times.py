"""When executors started, on this process's own clock, from the Unix times that a list tells. Pure.

The wall clock may have been stepped, so that it is not known which of its readings was right. An executor is
taken to have started at the latest moment that any of them allows, and no later than when it was first told:
too late costs some of its service, too early would push a cold executor over.
"""

from __future__ import annotations

from typing import NamedTuple

STEP_MS = 500.0  # less is no step: the wall clock is slewed, and read a moment later


class _Told(NamedTuple):
    unix_ms: float
    heard_ms: float


class StartTimes:
    """Start times by executor, as told; kept until `forget`.

    >>> starts = StartTimes()
    >>> starts.own_ms(5_000.0, "a", 4_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (4000.0, 4000.0)
    >>> starts.unix_ahead(-3_600_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (True, 5000.0)
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._ahead_ms = 0.0  # of the wall clock, at the last look
        self._least_ahead_ms = 0.0

    def unix_ahead(self, ahead_ms: float) -> bool:
        """The wall clock is now so far ahead of the process's own; whether it was stepped since."""
        if abs(ahead_ms - self._ahead_ms) < STEP_MS:
            return False
        self._ahead_ms = ahead_ms
        self._least_ahead_ms = min(self._least_ahead_ms, ahead_ms)
        return True

    def own_ms(self, now: float, executor: str, unix_ms: float) -> float:
        """When an executor that is told to have started at `unix_ms` did so; 0, long ago, stays 0."""
        if unix_ms <= 0.0:
            self._told.pop(executor, None)
            return 0.0
        told = self._told.get(executor)
        if told is None or told.unix_ms != unix_ms:
            told = self._told[executor] = _Told(unix_ms, now)
        return min(told.heard_ms, unix_ms - self._least_ahead_ms)

    def all_own_ms(self) -> dict[str, float]:
        """All that were told, as they stand after a step."""
        return {
            executor: min(told.heard_ms, told.unix_ms - self._least_ahead_ms)
            for executor, told in self._told.items()
        }

    def forget(self, executor: str) -> None:
        self._told.pop(executor, None)
