"""Which idle replica is evicted first: GreedyDual-Size-Frequency. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedList

USE_HALF_LIFE_MS = 60_000.0  # uses of a function count half as much after this
NEGLIGIBLE_USES = 0.05  # a function with fewer decayed uses is forgotten


class FunctionUses(NamedTuple):
    """The decayed number of uses of a function, as of its last use."""

    uses: float
    last_ms: float


class EvictionRanking:
    """Ranks idle replicas by priority: a base that rises with each eviction, plus uses x cost / size.

    A replica that has long not been used keeps the base of its last use, so age counts without a clock sweep.

    >>> ranking = EvictionRanking()
    >>> ranking.record_use("dear", 0.0); ranking.record_use("cheap", 0.0)
    >>> ranking.add_idle(1, "dear", 100.0, 900.0, 0.0); ranking.add_idle(2, "cheap", 100.0, 100.0, 0.0)
    >>> list(ranking.lowest_first())
    [2, 1]
    """

    def __init__(self) -> None:
        """Begin with nothing ranked."""
        self.base_priority = 0.0
        self.order: SortedList = SortedList()  # (priority, replica)
        self.priorities: dict[int, float] = {}
        self.uses: dict[str, FunctionUses] = {}

    def record_use(self, function: str, now: float) -> None:
        """Count one use of a function."""
        self.uses[function] = FunctionUses(self._decayed_uses(function, now) + 1.0, now)

    def _decayed_uses(self, function: str, now: float) -> float:
        uses, last_ms = self.uses.get(function, (0.0, now))
        return uses * 0.5 ** ((now - last_ms) / USE_HALF_LIFE_MS)

    def add_idle(self, replica_id: int, function: str, memory_mb: float, load_ms: float, now: float) -> None:
        """Rank a replica that is idle from now on; `load_ms` is what loading it again would take."""
        self.remove(replica_id)
        value = self._decayed_uses(function, now) * max(1.0, load_ms) / max(1.0, memory_mb)
        priority = self.base_priority + value
        self.priorities[replica_id] = priority
        self.order.add((priority, replica_id))

    def remove(self, replica_id: int) -> None:
        """Take a replica that is busy or gone out of the ranking."""
        priority = self.priorities.pop(replica_id, None)
        if priority is not None:
            self.order.remove((priority, replica_id))

    def record_eviction(self, replica_id: int) -> None:
        """Raise the base to an evicted replica's priority, and take it out."""
        self.base_priority = max(self.base_priority, self.priorities.get(replica_id, self.base_priority))
        self.remove(replica_id)

    def lowest_first(self) -> Iterator[int]:
        """Iterate over idle replicas, the first to be evicted first."""
        return (replica_id for _, replica_id in self.order)

    def expire(self, now: float, loaded: set[str]) -> None:
        """Forget functions that are not loaded and hardly used any more, so that memory stays bounded."""
        expired = [
            function
            for function in self.uses
            if function not in loaded and self._decayed_uses(function, now) < NEGLIGIBLE_USES
        ]
        for function in expired:
            del self.uses[function]
