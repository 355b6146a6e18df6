"""The loaded replicas of a worker: idle, busy, evicted, ended, lost. No I/O."""

from __future__ import annotations

from ..wire.outcomes import ExecutorOutcome
from .actions import Action, ActionKind
from .attempts import AttemptTracker
from .scheduler_state import Replica, SchedulerState

MAX_STOPPING_CALLS = 10_000  # calls that may be stopping at a time before their replicas are ended at once


class ReplicaPool:
    """Adds and ends replicas, and keeps memory budget and eviction ranking in step with them."""

    def __init__(self, state: SchedulerState, attempts: AttemptTracker) -> None:
        """Keep the replicas in the shared state."""
        self.state = state
        self.attempts = attempts

    def add(self, replica: Replica, now: float) -> None:
        """Add a replica whose load is complete."""
        self.state.replicas[replica.id] = replica
        self.state.replicas_of.setdefault(replica.function, {})[replica.id] = replica
        self.mark_idle(replica, now)

    def mark_idle(self, replica: Replica, now: float) -> None:
        """Note that a replica has no calls, or that it was asked for again."""
        replica.idle_since_ms = now
        memory_mb = self.state.budget.charged_mb(replica.id)
        self.state.eviction.add_idle(replica.id, replica.function, memory_mb, replica.load_ms, now)

    def evict(self, replica_id: int) -> None:
        """End an idle replica to free its memory."""
        self.state.counts["evicted"] += 1
        self.state.eviction.record_eviction(replica_id)
        self.end(self.state.replicas[replica_id], "evicted")

    def end(self, replica: Replica, reason: str) -> None:
        """End a replica that has no calls."""
        self.state.actions.append(Action(ActionKind.END_REPLICA, replica.id, reason=reason))
        self._remove(replica)

    def kill(self, replica: Replica, reason: str, now: float) -> None:
        """End a replica with its calls."""
        self.state.actions.append(Action(ActionKind.END_REPLICA, replica.id, reason=reason))
        self.lose(replica, now)

    def lose(self, replica: Replica, now: float) -> None:
        """Remove a replica that is gone, and answer its calls: they may have run."""
        self._remove(replica)
        self.state.running_count -= len(replica.calls)
        for attempt in replica.calls.values():
            self.attempts.finish(attempt, ExecutorOutcome.ERROR, b"", now)

    def _remove(self, replica: Replica) -> None:
        state = self.state
        del state.replicas[replica.id]
        siblings = state.replicas_of[replica.function]
        del siblings[replica.id]
        if not siblings:
            del state.replicas_of[replica.function]
        state.eviction.remove(replica.id)
        state.budget.release(replica.id)
        state.needs_placement = True

    def retire(self, replica: Replica) -> None:
        """Give a replica no new calls, and end it once it is idle: its package is out of date."""
        replica.retired = True
        if not replica.calls:
            self.end(replica, "new release")

    def stop_call(self, replica: Replica, call_id: int, now: float) -> None:
        """Ask a call to stop within its grace."""
        if call_id in replica.stopping:
            return
        stopping_count = sum(len(other.stopping) for other in self.state.replicas.values())
        if stopping_count >= MAX_STOPPING_CALLS:
            self.kill(replica, "too many calls that do not stop", now)
            return
        replica.stopping[call_id] = now + self.state.config.stop_grace_ms
        self.state.actions.append(Action(ActionKind.STOP_CALL, replica.id, call_id))

    def expire(self, now: float) -> None:
        """End replicas that were idle for long, and those with a call that ignored its stop."""
        for replica in list(self.state.replicas.values()):
            if not replica.calls and now - replica.idle_since_ms > self.state.config.idle_timeout_ms:
                self.end(replica, "idle")
            elif any(until_ms <= now for until_ms in replica.stopping.values()):
                self.state.counts["stop grace exceeded"] += 1
                self.kill(replica, "a call did not stop within its grace", now)
