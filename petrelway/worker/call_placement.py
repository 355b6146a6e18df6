"""Gives waiting attempts to replicas with a free concurrency slot, or asks for one more replica. No I/O."""

from __future__ import annotations

from .actions import Action, ActionKind
from .replica_loader import ReplicaLoader
from .scheduler_state import Attempt, Replica, SchedulerState


class CallPlacement:
    """Starts calls within the worker's and the replicas' concurrency limits."""

    def __init__(self, state: SchedulerState, loader: ReplicaLoader) -> None:
        """Place calls on the replicas in the shared state; `loader` loads more of them."""
        self.state = state
        self.loader = loader
        self.last_call_id = 0

    def start_calls(self, now: float) -> None:
        """Start what can run, the function with the earliest deadline first where slots are few."""
        state = self.state
        functions = list(state.waiting)
        if state.running_count + state.waiting_count > state.config.max_concurrent_calls:
            functions.sort(key=lambda function: state.waiting[function][0].deadline_ms)
        for function in functions:
            self._start_calls_of(function, now)
            if function in state.waiting and not state.waiting[function]:
                del state.waiting[function]

    def _start_calls_of(self, function: str, now: float) -> None:
        state = self.state
        queue = state.waiting[function]
        while queue and state.running_count < state.config.max_concurrent_calls:
            replica = self._fullest_free_replica(function)
            if replica is None:
                self._scale_out(function, queue[0], now)
                return
            self._start_call(replica, queue.popleft())

    def _fullest_free_replica(self, function: str) -> Replica | None:
        """Choose the fullest replica with a free slot: others may become idle and be evicted."""
        free = [
            replica
            for replica in self.state.active_replicas(function)
            if len(replica.calls) < replica.concurrency
        ]
        return max(free, key=lambda replica: (len(replica.calls), -replica.id), default=None)

    def _start_call(self, replica: Replica, attempt: Attempt) -> None:
        state = self.state
        state.waiting_count -= 1
        state.running_count += 1
        self.last_call_id += 1
        attempt.call_id = self.last_call_id
        replica.calls[attempt.call_id] = attempt
        state.eviction.remove(replica.id)
        state.actions.append(Action(ActionKind.START_CALL, replica.id, attempt.call_id, body=attempt.body))

    def _scale_out(self, function: str, attempt: Attempt, now: float) -> None:
        """Queue a load for attempts without a slot, or reject them if nothing can serve them."""
        state = self.state
        if state.loads.count(function):
            return
        has_replica = bool(state.active_replicas(function))
        in_backoff = now < state.loads.backoff_until(function)
        if has_replica:
            if state.config.scale_out and not state.draining and not in_backoff:
                self.loader.enqueue(function, attempt.memory_mb, attempt.concurrency)
        elif state.draining:
            self.loader.reject_full(function, now)
        elif in_backoff:
            self.loader.reject_load_failed(function, now)
        elif state.config.answers_miss:  # its replica went while it waited
            self.loader.reject_miss(function, now)
        elif not self.loader.enqueue(function, attempt.memory_mb, attempt.concurrency):
            self.loader.reject_full(function, now)
