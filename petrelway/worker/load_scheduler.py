"""Which load starts next and which waits: earliest deadline first, backoff after failures. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

INITIAL_BACKOFF_MS = 500.0  # after the first failure, doubling with each further one
MAX_BACKOFF_MS = 30_000.0
FAILURE_MEMORY_MS = 120_000.0  # a failure older than this no longer counts


@dataclass(slots=True, eq=False)
class PendingLoad:
    """One load of one function, from the time it is queued until its replica is ready."""

    id: int
    function: str
    memory_mb: float
    concurrency: int
    started_ms: float = -1.0  # -1: waits for its turn
    requested_until_ms: float = -math.inf  # a load request's patience: counts as a waiting attempt until then
    digest: str = ""


class LoadFailures(NamedTuple):
    """The failures of one function's loads in a row."""

    count: int = 0
    backoff_until_ms: float = -math.inf
    last_ms: float = 0.0


NO_FAILURES = LoadFailures()


class LoadScheduler:
    """The loads of one worker: some in progress, some queued."""

    def __init__(self, max_concurrent: int, queue_bound: int) -> None:
        """Allow so many loads in progress, and so many more in the queue."""
        self.max_concurrent = max_concurrent
        self.queue_bound = queue_bound
        self.queue: dict[int, PendingLoad] = {}
        self.in_progress: dict[int, PendingLoad] = {}
        self.by_function: dict[str, dict[int, PendingLoad]] = {}
        self.failures: dict[str, LoadFailures] = {}

    def count(self, function: str) -> int:
        """Count the loads of a function, queued and in progress."""
        return len(self.by_function.get(function, ()))

    def backoff_until(self, function: str) -> float:
        """Return the time before which no load of this function may start, because it failed lately."""
        return self.failures.get(function, NO_FAILURES).backoff_until_ms

    def enqueue(self, load: PendingLoad) -> bool:
        """Queue a load; return False if the queue is full."""
        if len(self.queue) >= self.queue_bound:
            return False
        self.queue[load.id] = load
        self.by_function.setdefault(load.function, {})[load.id] = load
        return True

    def select(self, deadlines: dict[str, float], now: float) -> tuple[PendingLoad | None, list[PendingLoad]]:
        """Return the load whose turn it is, and those that nothing waits for any more (they leave the queue).

        `deadlines` has for each function the earliest time by which a waiting attempt must be answered.
        """
        abandoned = [
            load
            for load in self.queue.values()
            if load.function not in deadlines and load.requested_until_ms < now
        ]
        for load in abandoned:
            self.remove(load)
        if len(self.in_progress) >= self.max_concurrent or not self.queue:
            return None, abandoned
        first = min(self.queue.values(), key=lambda load: (self._deadline(load, deadlines), load.id))
        return first, abandoned

    def _deadline(self, load: PendingLoad, deadlines: dict[str, float]) -> float:
        requested = load.requested_until_ms if load.requested_until_ms > -math.inf else math.inf
        return min(requested, deadlines.get(load.function, math.inf))

    def start(self, load: PendingLoad, now: float) -> None:
        """Move a queued load to those in progress."""
        del self.queue[load.id]
        self.in_progress[load.id] = load
        load.started_ms = now

    def remove(self, load: PendingLoad) -> None:
        """Forget a load, queued or in progress, whatever became of it."""
        self.queue.pop(load.id, None)
        self.in_progress.pop(load.id, None)
        loads = self.by_function.get(load.function)
        if loads is not None:
            loads.pop(load.id, None)
            if not loads:
                del self.by_function[load.function]

    def record_failure(self, load: PendingLoad, now: float) -> None:
        """Back off: without it, each request for a package that can't load would fetch it again."""
        self.remove(load)
        count = self.failures.get(load.function, NO_FAILURES).count
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**count)
        self.failures[load.function] = LoadFailures(count + 1, now + backoff_ms, now)

    def record_success(self, load: PendingLoad) -> None:
        """Remove a load that is complete, and the failures of its function."""
        self.remove(load)
        self.clear_failures(load.function)

    def clear_failures(self, function: str) -> None:
        """Forget the failures of a function: of a new release the old ones say nothing."""
        self.failures.pop(function, None)

    def expire(self, now: float) -> None:
        """Forget failures that are long past."""
        expired = [
            function
            for function, failures in self.failures.items()
            if now - failures.last_ms > FAILURE_MEMORY_MS
        ]
        for function in expired:
            del self.failures[function]
