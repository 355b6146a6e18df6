"""The memory budget of one worker: replicas are charged what they declared or use; loads reserve. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

GROWTH_FACTOR = 1.1  # a replica may grow to this many times what it declared ...
GROWTH_SLACK_MB = 16.0  # ... and this much more, before it counts as over its limit


class ReclaimPlan(NamedTuple):
    """What must go for the budget to hold: idle replicas, then one over its limit or the newest load."""

    idle_replicas: list[int]
    over_limit: int | None
    newest_load: int | None


class MemoryBudget:
    """Megabytes by holder. Two loads never share the same memory: each reserves before it fetches.

    >>> budget = MemoryBudget(1000.0)
    >>> budget.reserve(1, 600.0), budget.reserve(2, 600.0)
    (True, False)
    >>> budget.finish_load(1); budget.record_measurement(1, 650.0); budget.free_mb()
    350.0
    """

    def __init__(self, total_mb: float) -> None:
        """Begin with nothing used."""
        self.total_mb = total_mb
        self.declared_mb: dict[int, float] = {}  # of replicas and loads
        self.measured_mb: dict[int, float] = {}  # of replicas
        self.loading: dict[int, None] = {}  # in the order of their reservations
        self.own_mb = 0.0  # the worker's own process

    def charged_mb(self, holder: int) -> float:
        """Return what a holder counts for: the larger of declared and measured."""
        return max(self.declared_mb[holder], self.measured_mb.get(holder, 0.0))

    def used_mb(self) -> float:
        """Return the sum over the worker's own process and all holders."""
        return self.own_mb + sum(map(self.charged_mb, self.declared_mb))

    def free_mb(self) -> float:
        """Return what is left; negative past the budget."""
        return self.total_mb - self.used_mb()

    def reserve(self, holder: int, memory_mb: float) -> bool:
        """Reserve memory for a load; return False if there is not enough now."""
        if memory_mb > self.free_mb():
            return False
        self.declared_mb[holder] = memory_mb
        self.loading[holder] = None
        return True

    def raise_reservation(self, holder: int, memory_mb: float) -> bool:
        """Raise a reservation to what the manifest declares; return False if there is not enough memory."""
        additional_mb = memory_mb - self.declared_mb[holder]
        if additional_mb > self.free_mb():
            return False
        self.declared_mb[holder] = max(memory_mb, self.declared_mb[holder])
        return True

    def finish_load(self, holder: int) -> None:
        """Turn a load's reservation into a replica's."""
        self.loading.pop(holder, None)

    def record_measurement(self, holder: int, memory_mb: float) -> None:
        """Record what the system says that a holder uses."""
        if holder in self.declared_mb:
            self.measured_mb[holder] = memory_mb

    def release(self, holder: int) -> None:
        """Release all that a replica or load holds."""
        self.declared_mb.pop(holder, None)
        self.measured_mb.pop(holder, None)
        self.loading.pop(holder, None)

    def evictions_for(self, memory_mb: float, idle: Iterable[int]) -> list[int] | None:
        """Return the first idle replicas, in the order given, that free this much; None if they can't."""
        evicted, missing_mb = self._evict_until(memory_mb - self.free_mb(), idle)
        return evicted if missing_mb <= 0.0 else None

    def _evict_until(self, missing_mb: float, idle: Iterable[int]) -> tuple[list[int], float]:
        evicted: list[int] = []
        for holder in idle:
            if missing_mb <= 0.0:
                break
            evicted.append(holder)
            missing_mb -= self.charged_mb(holder)
        return evicted, missing_mb

    def excess_mb(self, holder: int) -> float:
        """Return how far a replica is over its limit; negative below it."""
        limit_mb = GROWTH_FACTOR * self.declared_mb[holder] + GROWTH_SLACK_MB
        return self.measured_mb.get(holder, 0.0) - limit_mb

    def reclaim_plan(self, idle: Iterable[int]) -> ReclaimPlan:
        """Plan what goes past the budget: idle replicas, then the one most over its limit, then a load.

        A replica that grows past what it declared takes the memory that a load has reserved; ending the load
        would punish the wrong one, so loads go last.
        """
        evicted, missing_mb = self._evict_until(self.used_mb() - self.total_mb, idle)
        if missing_mb <= 0.0:
            return ReclaimPlan(evicted, None, None)
        over_limit = [
            holder for holder in self.measured_mb if holder not in evicted and self.excess_mb(holder) > 0.0
        ]
        if over_limit:
            worst = max(over_limit, key=lambda holder: (self.excess_mb(holder), holder))
            return ReclaimPlan(evicted, worst, None)
        return ReclaimPlan(evicted, None, next(reversed(self.loading), None))
