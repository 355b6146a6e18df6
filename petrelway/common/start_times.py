"""When executors started, on this process's own clock, from the Unix times that an endpoint list names. Pure.

The wall clock may have been stepped, so that it is not known which of its readings was right. An executor is
taken to have started at the latest moment that any of them allows, and no later than when it was first
listed: too late costs some of its service, too early would overload an executor in slow start.
"""

from __future__ import annotations

from typing import NamedTuple

STEP_MS = 500.0  # less is no step: the wall clock is slewed, and read a moment later


class _ListedStart(NamedTuple):
    unix_ms: float
    listed_ms: float  # when it was first listed, on this process's clock


class StartTimes:
    """Start times by executor, as listed; kept until `forget`.

    >>> starts = StartTimes()
    >>> starts.own_ms(5_000.0, "a", 4_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (4000.0, 4000.0)
    >>> starts.unix_ahead(-3_600_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (True, 5000.0)
    """

    def __init__(self) -> None:
        self._listed: dict[str, _ListedStart] = {}
        self._ahead_ms = 0.0  # of the wall clock, at the last check
        self._least_ahead_ms = 0.0

    def unix_ahead(self, ahead_ms: float) -> bool:
        """Note how far the wall clock is ahead of the process's own; return whether it was stepped since."""
        if abs(ahead_ms - self._ahead_ms) < STEP_MS:
            return False
        self._ahead_ms = ahead_ms
        self._least_ahead_ms = min(self._least_ahead_ms, ahead_ms)
        return True

    def own_ms(self, now: float, executor: str, unix_ms: float) -> float:
        """Return when an executor listed with start `unix_ms` started; 0, long ago, stays 0."""
        if unix_ms <= 0.0:
            self._listed.pop(executor, None)
            return 0.0
        listed = self._listed.get(executor)
        if listed is None or listed.unix_ms != unix_ms:
            listed = self._listed[executor] = _ListedStart(unix_ms, now)
        return self._latest_ms(listed)

    def all_own_ms(self) -> dict[str, float]:
        """Return all that were listed, as they stand after a step."""
        return {executor: self._latest_ms(listed) for executor, listed in self._listed.items()}

    def _latest_ms(self, listed: _ListedStart) -> float:
        return min(listed.listed_ms, listed.unix_ms - self._least_ahead_ms)

    def forget(self, executor: str) -> None:
        """Drop an executor that has gone."""
        self._listed.pop(executor, None)
