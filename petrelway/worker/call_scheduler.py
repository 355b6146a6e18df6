"""What a worker decides: call queue, concurrency, loads, memory, deduplication, drain. No I/O.

The service hands each event in with the time, then calls next_action(now) until it gives None and carries out
each Action. An attempt is owed one answer unless it was cancelled, its deadline passed, or its front end is
gone. Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import Any

from ..wire.codec import LoadReport
from ..wire.outcomes import ExecutorOutcome, ReplicaWarmth
from .actions import Action, ActionKind
from .attempts import AttemptTracker
from .call_placement import CallPlacement
from .deduplication import Admission
from .drain import start_drain
from .load_requests import LoadRequestTable
from .replica_loader import ReplicaLoader
from .replica_pool import ReplicaPool
from .request_identity import RequestIdentity
from .scheduler_state import Attempt, AttemptKey, SchedulerConfig, SchedulerState

EXPIRY_INTERVAL_MS = 500.0  # how often idle replicas, requests and entries are looked through
MAX_CROWD = 30  # the largest crowd that is reported


class CallScheduler:
    """One worker's decisions: events in, actions out."""

    def __init__(self, now: float, config: SchedulerConfig) -> None:
        """Begin with no replicas, at the time `now`."""
        self.state = SchedulerState(config)
        self.attempts = AttemptTracker(self.state)
        self.pool = ReplicaPool(self.state, self.attempts)
        self.load_requests = LoadRequestTable(self.state)
        self.loader = ReplicaLoader(self.state, self.attempts, self.pool, self.load_requests)
        self.placement = CallPlacement(self.state, self.loader)
        self.next_expiry_ms = now + EXPIRY_INTERVAL_MS
        self.timer_ms = math.inf

    # -- events

    def attempt_received(self, now: float, attempt: Attempt, remaining_ms: float) -> None:
        """Answer an attempt at once, attach it to another with its key, or queue it."""
        state = self.state
        attempt.deadline_ms = now + remaining_ms
        if remaining_ms <= 0.0:
            state.counts["arrived late"] += 1
            return
        if attempt.key in state.attempts:
            state.counts["duplicate attempt"] += 1  # a number that is used anew would run twice
            return
        if state.draining:
            self.attempts.answer(attempt, ExecutorOutcome.FULL)
            return
        if attempt.identity is not None and self._deduplicate(attempt, attempt.identity, now):
            return
        self._admit(attempt, now)

    def _deduplicate(self, attempt: Attempt, identity: RequestIdentity, now: float) -> bool:
        """Return whether the attempt is dealt with: answered, attached to the first one, or in conflict."""
        admission, answer = self.state.deduplication.register(
            identity, attempt, now, attempt.deduplication_window_ms
        )
        if admission is Admission.ANSWERED:
            self.state.counts["repeat answered"] += 1
            self.attempts.answer(attempt, ExecutorOutcome.SUCCEEDED, ReplicaWarmth.WARM, answer)
        elif admission is Admission.WAIT:
            self.state.counts["repeat attached"] += 1
            self.attempts.open(attempt)
        elif admission is Admission.CONFLICT:
            self.state.counts["key conflict"] += 1
            self.attempts.answer(attempt, ExecutorOutcome.CONFLICT)
        return admission is not Admission.RUN

    def _admit(self, attempt: Attempt, now: float) -> None:
        state = self.state
        function = attempt.function
        state.eviction.record_use(function, now)
        others = len(state.waiting.get(function, ())) + state.running_calls(function)
        attempt.crowd = min(MAX_CROWD, others + 1)
        if state.waiting_count >= state.config.call_queue_bound:
            self.attempts.reject(attempt, ExecutorOutcome.FULL, now)
        elif state.active_replicas(function):
            self._enqueue(attempt, ReplicaWarmth.WARM)
        elif state.loads.count(function):
            self._enqueue(attempt, ReplicaWarmth.AWAITED_LOAD)
        elif state.config.answers_miss:
            self.attempts.reject(attempt, ExecutorOutcome.MISS, now)
        elif now < state.loads.backoff_until(function):
            self.attempts.reject(attempt, ExecutorOutcome.MISS, now, ReplicaWarmth.LOAD_FAILED)
        elif not self.loader.enqueue(function, attempt.memory_mb, attempt.concurrency):
            self.attempts.reject(attempt, ExecutorOutcome.FULL, now)
        else:
            self._enqueue(attempt, ReplicaWarmth.STARTED_LOAD)

    def _enqueue(self, attempt: Attempt, warmth: ReplicaWarmth) -> None:
        attempt.warmth = warmth
        self.attempts.enqueue(attempt)

    def attempt_cancelled(self, now: float, front_end: Any, serial: int, number: int) -> None:
        """Stop an attempt that its front end cancelled."""
        attempt = self.state.attempts.get(AttemptKey(front_end, serial, number))
        if attempt is not None:
            self._cancel(attempt, now)

    def front_end_disconnected(self, now: float, front_end: Any) -> None:
        """Stop its attempts; what it asked to load is still loaded, but it hears of nothing."""
        for attempt in list(self.state.attempts.values()):
            if attempt.front_end is front_end:
                self._cancel(attempt, now)
        self.load_requests.forget(front_end)

    def load_requested(
        self,
        now: float,
        front_end: Any,
        id: int,
        function: str,
        replicas: int,
        memory_mb: float,
        concurrency: int,
    ) -> None:
        """Load a function until it has this many replicas, and answer the front end then."""
        self.loader.request(now, front_end, id, function, replicas, memory_mb, concurrency)

    def unload_requested(self, now: float, function: str) -> None:
        """End the idle replicas of a function."""
        for replica in list(self.state.replicas_of.get(function, {}).values()):
            if not replica.calls:
                self.pool.end(replica, "unload requested")

    def load_described(
        self, now: float, load_id: int, digest: str, memory_mb: float, concurrency: int
    ) -> None:
        """Take in what the store or the manifest says of a load's package and of one replica of it."""
        self.loader.describe(now, load_id, digest, memory_mb, concurrency)

    def load_completed(self, now: float, load_id: int) -> None:
        """Take in that the replica of this load is ready for calls."""
        self.loader.complete(now, load_id)

    def load_failed(self, now: float, load_id: int, reason: str) -> None:
        """Take in that a fetch, check or start failed."""
        self.loader.fail(now, load_id, reason)

    def call_ended(self, now: float, replica_id: int, call_id: int, succeeded: bool, body: bytes) -> None:
        """Take in a call's own end: its answer, that it raised, or that it stopped."""
        replica = self.state.replicas.get(replica_id)
        if replica is None or call_id not in replica.calls:
            return
        attempt = replica.calls.pop(call_id)
        replica.stopping.pop(call_id, None)
        self.state.running_count -= 1
        if not replica.calls:
            self.pool.mark_idle(replica, now)
        outcome = ExecutorOutcome.SUCCEEDED if succeeded else ExecutorOutcome.ERROR
        self.attempts.finish(attempt, outcome, body, now)
        if replica.retired and not replica.calls:
            self.pool.end(replica, "new release")
        self.state.needs_placement = True

    def replica_died(self, now: float, replica_id: int, reason: str) -> None:
        """Take in that a replica's process is gone: what ran there may have run."""
        if replica_id in self.state.loads.in_progress:
            self.loader.fail(now, replica_id, reason)
            return
        if (replica := self.state.replicas.get(replica_id)) is not None:
            self.state.counts["replica died"] += 1
            self.pool.lose(replica, now)

    def memory_measured(self, now: float, own_mb: float, replicas_mb: dict[int, float]) -> None:
        """Take in the memory of the worker's process and of each replica with its children, and reclaim."""
        self.state.budget.own_mb = own_mb
        for replica_id, memory_mb in replicas_mb.items():
            self.state.budget.record_measurement(replica_id, memory_mb)
        while self._reclaim_memory(now):
            self.state.needs_placement = True

    def _reclaim_memory(self, now: float) -> bool:
        """Evict what is idle; then end one replica or load if the budget still does not hold."""
        state = self.state
        plan = state.budget.reclaim_plan(state.eviction.lowest_first())
        for replica_id in plan.idle_replicas:
            self.pool.evict(replica_id)
        if plan.over_limit in state.replicas:
            state.counts["over-limit replica ended"] += 1
            self.pool.kill(state.replicas[plan.over_limit], "exceeded its declared memory", now)
            return True
        # the newest load, or one whose process grows past what it declared while it starts
        load_id = plan.newest_load if plan.over_limit is None else plan.over_limit
        load = state.loads.in_progress.get(load_id)
        if load is None:
            return False
        self.loader.cancel_for_memory(load, now)
        return True

    def release_changed(self, now: float, function: str, digest: str) -> None:
        """Take in that the store's name points at another package: old replicas go when they are idle."""
        state = self.state
        if state.digests.get(function) == digest:
            return
        state.digests[function] = digest
        state.loads.clear_failures(function)
        for replica in list(state.replicas_of.get(function, {}).values()):
            if replica.digest != digest:
                self.pool.retire(replica)
        state.needs_placement = True

    def drain(self, now: float) -> None:
        """Start nothing new from now on."""
        start_drain(self.state, self.loader, self.load_requests, now)

    def timer_fired(self, now: float) -> None:
        """Take in that the timer of the last SET_TIMER fired."""
        self.timer_ms = math.inf

    # -- decisions

    def next_action(self, now: float) -> Action | None:
        """Return the next action to carry out, None when there is nothing more to do for now."""
        state = self.state
        while (attempt := self.attempts.pop_expired(now)) is not None:
            state.counts["deadline exceeded"] += 1
            self._cancel(attempt, now)
        if now >= self.next_expiry_ms:
            self._expire(now)
        if state.needs_placement and not state.actions:
            state.needs_placement = False
            self.placement.start_calls(now)
            self.loader.start_loads(now)
        if state.actions:
            return state.actions.popleft()
        at_ms = min(self.next_expiry_ms, self.attempts.next_deadline_ms())
        if at_ms >= self.timer_ms:
            return None
        self.timer_ms = at_ms
        return Action(ActionKind.SET_TIMER, at_ms=at_ms)

    def load_report(self) -> LoadReport:
        """Return the load that is reported to front ends."""
        state = self.state
        budget = state.budget
        pinned_mb = sum(budget.charged_mb(replica.id) for replica in state.replicas.values() if replica.calls)
        pinned_mb += sum(map(budget.charged_mb, budget.loading))
        return LoadReport(
            queue=state.waiting_count,
            in_hand=state.waiting_count + state.running_count,
            loads=len(state.loads.queue) + len(state.loads.in_progress),
            pinned=min(1.0, pinned_mb / budget.total_mb),
            used_mb=budget.own_mb + sum(budget.measured_mb.values()),
        )

    def is_empty(self) -> bool:
        """Say whether nothing waits for an answer and nothing runs."""
        return self.state.is_empty()

    def _cancel(self, attempt: Attempt, now: float) -> None:
        """Stop the work for an attempt that nobody waits for; nothing is answered."""
        self.attempts.close(attempt)
        if self.attempts.dequeue(attempt):
            self.attempts.promote_repeat(attempt, now)
        elif attempt.call_id >= 0:
            self._stop_call_of(attempt, now)
        elif attempt.identity is not None:
            self.state.deduplication.detach(attempt.identity.key, attempt)
        self.state.needs_placement = True

    def _stop_call_of(self, attempt: Attempt, now: float) -> None:
        identity = attempt.identity
        if identity is not None and self.state.deduplication.is_awaited(identity.key):
            return  # a repeat that attached still waits for this one's effect
        for replica in self.state.replicas_of.get(attempt.function, {}).values():
            if attempt.call_id in replica.calls:
                self.pool.stop_call(replica, attempt.call_id, now)
                return

    def _expire(self, now: float) -> None:
        self.next_expiry_ms = now + EXPIRY_INTERVAL_MS
        self.pool.expire(now)
        self.load_requests.expire(now)
        self.state.expire(now)
        self.state.needs_placement = True
