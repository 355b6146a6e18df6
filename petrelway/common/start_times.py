"""Start times of executors on this process's clock, from the Unix times in an endpoint list; no I/O.

The wall clock may have been stepped, so it is not known which of its readings was right. An executor is taken
to have started at the latest time that any of the readings allows, and no later than when it was first
listed: too late a start costs some of its capacity, too early a start would overload an executor in slow
start.
"""

from __future__ import annotations

from typing import NamedTuple

STEP_MS = 500.0  # a smaller difference is no step: the wall clock is slewed, and read slightly later


class _ListedStart(NamedTuple):
    unix_ms: float
    listed_ms: float  # when it was first listed, on this process's clock


class StartTimes:
    """Start times of executors, kept from when an executor is listed until `forget`.

    >>> starts = StartTimes()
    >>> starts.own_ms(5_000.0, "a", 4_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (4000.0, 4000.0)
    >>> starts.unix_ahead(-3_600_000.0), starts.own_ms(6_000.0, "a", 4_000.0)
    (True, 5000.0)
    """

    def __init__(self) -> None:
        self._listed: dict[str, _ListedStart] = {}
        self._ahead_ms = 0.0  # how far the wall clock was ahead after its last step
        self._least_ahead_ms = 0.0

    def unix_ahead(self, ahead_ms: float) -> bool:
        """Record how far the wall clock is ahead of the process's clock; return whether it was stepped."""
        if abs(ahead_ms - self._ahead_ms) < STEP_MS:
            return False
        self._ahead_ms = ahead_ms
        self._least_ahead_ms = min(self._least_ahead_ms, ahead_ms)
        return True

    def own_ms(self, now: float, executor: str, unix_ms: float) -> float:
        """Return when an executor listed with start `unix_ms` started; 0 (long ago) stays 0."""
        if unix_ms <= 0.0:
            self._listed.pop(executor, None)
            return 0.0
        listed = self._listed.get(executor)
        if listed is None or listed.unix_ms != unix_ms:
            listed = self._listed[executor] = _ListedStart(unix_ms, now)
        return self._latest_ms(listed)

    def all_own_ms(self) -> dict[str, float]:
        """Return the start times of all listed executors; they change with a step of the wall clock."""
        return {executor: self._latest_ms(listed) for executor, listed in self._listed.items()}

    def _latest_ms(self, listed: _ListedStart) -> float:
        return min(listed.listed_ms, listed.unix_ms - self._least_ahead_ms)

    def forget(self, executor: str) -> None:
        """Remove an executor that is gone."""
        self._listed.pop(executor, None)
