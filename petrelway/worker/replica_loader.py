"""Decides on the loads of a worker: what is queued, started, dropped, and who hears of it. No I/O."""

from __future__ import annotations

from typing import Any

from ..wire.outcomes import ExecutorOutcome, ReplicaWarmth
from .actions import Action, ActionKind
from .attempts import AttemptTracker
from .load_requests import LoadRequest, LoadRequestTable
from .load_scheduler import PendingLoad
from .replica_pool import ReplicaPool
from .scheduler_state import Replica, SchedulerState


class ReplicaLoader:
    """Queues and starts loads within the memory budget, and turns complete ones into replicas."""

    def __init__(
        self,
        state: SchedulerState,
        attempts: AttemptTracker,
        pool: ReplicaPool,
        requests: LoadRequestTable,
    ) -> None:
        """Load into the shared state and the pool."""
        self.state = state
        self.attempts = attempts
        self.pool = pool
        self.requests = requests
        self.last_id = 0

    def enqueue(self, function: str, memory_mb: float, concurrency: int) -> bool:
        """Queue a load; return False if it can never fit or the queue is full."""
        budget = self.state.budget
        if memory_mb > budget.total_mb - budget.own_mb:
            return False
        self.last_id += 1
        return self.state.loads.enqueue(PendingLoad(self.last_id, function, memory_mb, concurrency))

    def request(
        self,
        now: float,
        front_end: Any,
        id: int,
        function: str,
        replicas: int,
        memory_mb: float,
        concurrency: int,
    ) -> None:
        """Handle a front end's load request."""
        state = self.state
        active = state.active_replicas(function)
        for replica in active:
            if not replica.calls:
                self.pool.mark_idle(replica, now)
        if replicas <= len(active):
            self.requests.answer(front_end, id, ExecutorOutcome.SUCCEEDED, len(active))
        elif state.draining:
            self.requests.answer(front_end, id, ExecutorOutcome.FULL, len(active))
        elif now < state.loads.backoff_until(function):
            self.requests.answer(front_end, id, ExecutorOutcome.ERROR, len(active))
        else:
            # five front ends that request the same: the loads in progress count for all of them
            for _ in range(replicas - len(active) - state.loads.count(function)):
                if not self.enqueue(function, memory_mb, concurrency):
                    self.requests.answer(front_end, id, ExecutorOutcome.FULL, len(active))
                    return
            until_ms = now + state.config.load_patience_ms
            for load in state.loads.by_function.get(function, {}).values():
                load.requested_until_ms = max(load.requested_until_ms, until_ms)
            self.requests.add(function, LoadRequest(front_end, id, replicas, until_ms))
        state.needs_placement = True

    def start_loads(self, now: float) -> None:
        """Start queued loads as long as their turn, the limit and the memory allow."""
        state = self.state
        while True:
            deadlines = {
                function: min(attempt.deadline_ms for attempt in queue)
                for function, queue in state.waiting.items()
            }
            load, abandoned = state.loads.select(deadlines, now)
            state.counts["load abandoned"] += len(abandoned)
            if load is None or state.draining:
                return
            evicted = state.budget.evictions_for(load.memory_mb, state.eviction.lowest_first())
            if evicted is None:
                return  # running calls end, or the load's patience does
            for replica_id in evicted:
                self.pool.evict(replica_id)
            state.loads.start(load, now)
            state.budget.reserve(load.id, load.memory_mb)
            state.actions.append(Action(ActionKind.START_LOAD, load.id, function=load.function))

    def describe(self, now: float, load_id: int, digest: str, memory_mb: float, concurrency: int) -> None:
        """Take in what the store or the manifest says of a load's package and of one replica of it."""
        state = self.state
        load = state.loads.in_progress.get(load_id)
        if load is None:
            return
        state.digests[load.function] = digest
        load.digest = digest
        if not state.budget.raise_reservation(load_id, memory_mb):
            additional_mb = memory_mb - state.budget.declared_mb[load_id]
            evicted = state.budget.evictions_for(additional_mb, state.eviction.lowest_first())
            for replica_id in evicted or ():
                self.pool.evict(replica_id)
            if evicted is None or not state.budget.raise_reservation(load_id, memory_mb):
                self.cancel_for_memory(load, now)
                return
        load.memory_mb = memory_mb
        load.concurrency = concurrency

    def complete(self, now: float, load_id: int) -> None:
        """Add the replica of a load that is ready for calls."""
        state = self.state
        load = state.loads.in_progress.get(load_id)
        if load is None:
            state.actions.append(
                Action(ActionKind.END_REPLICA, load_id, reason="nothing waits for it any more")
            )
            return
        state.record_load_time(load.function, now - load.started_ms)
        state.loads.record_success(load)
        state.budget.finish_load(load_id)
        load_ms = state.load_times_ms[load.function]
        replica = Replica(load_id, load.function, load.digest, load.concurrency, load_ms)
        replica.retired = bool(load.digest) and state.digests.get(load.function) != load.digest
        self.pool.add(replica, now)
        if replica.retired:
            self.pool.end(replica, "new release while it loaded")
        self.requests.answer_ready(load.function)
        state.needs_placement = True

    def fail(self, now: float, load_id: int, reason: str) -> None:
        """Handle a fetch, check or start that failed: its attempts never ran, the memory is free again."""
        state = self.state
        load = state.loads.in_progress.get(load_id)
        if load is None:
            return
        state.counts[f"load failed: {reason}"] += 1
        state.loads.record_failure(load, now)
        state.budget.release(load_id)
        self.reject_load_failed(load.function, now)
        state.needs_placement = True

    def cancel_for_memory(self, load: PendingLoad, now: float) -> None:
        """Cancel a load in progress that has no memory."""
        state = self.state
        state.counts["load without memory"] += 1
        state.needs_placement = True
        state.actions.append(Action(ActionKind.CANCEL_LOAD, load.id, function=load.function))
        state.loads.remove(load)
        state.budget.release(load.id)
        self.reject_full(load.function, now)

    def reject_full(self, function: str, now: float) -> None:
        """Reject what waits for a function for want of capacity."""
        self._reject_waiting(function, ExecutorOutcome.FULL, ReplicaWarmth.UNKNOWN, ExecutorOutcome.FULL, now)

    def reject_load_failed(self, function: str, now: float) -> None:
        """Reject what waits for a function whose load failed."""
        self._reject_waiting(
            function, ExecutorOutcome.MISS, ReplicaWarmth.LOAD_FAILED, ExecutorOutcome.ERROR, now
        )

    def reject_miss(self, function: str, now: float) -> None:
        """Reject what waits for a function that this worker does not load for attempts."""
        self._reject_waiting(
            function, ExecutorOutcome.MISS, ReplicaWarmth.UNKNOWN, ExecutorOutcome.ERROR, now
        )

    def _reject_waiting(
        self, function: str, outcome: int, warmth: int, load_request_outcome: int, now: float
    ) -> None:
        """Reject all that waits for a function, unless a replica or another load may serve it."""
        state = self.state
        if state.active_replicas(function) or state.loads.count(function):
            return
        for attempt in state.waiting.pop(function, ()):
            state.waiting_count -= 1
            self.attempts.close(attempt)
            self.attempts.reject(attempt, outcome, now, warmth)
        self.requests.fail(function, load_request_outcome)
