"""The routing decisions of one petrelway front end.

Usage: create a FrontEnd and report every event through its input methods, which only update the state. Then
call decide(now) until it returns None, and carry out each Action. released() returns the indices that may be
reused. The types that the host uses are in `types`, those of the stored state in `state`.

Each concern has a module of its own, mixed in here: the input methods in `inputs`, the choice of an executor
in `selection`, what is learned from answers in `outcomes`, `latency` and `concurrency`, further attempts in
`hedging`, load requests in `prefetch`, expiry of stale state in `expiry`, the bounds of figures from outside
in `claims`, their repair in `figure_repair`. Every send is checked against the five rules of `rules.Gate`.
"""

from __future__ import annotations

import heapq
import math
import random

from .concurrency import LATE_SHARE, LIMIT_MIN, LIMIT_START
from .endpoint_lease import PROBE_TIMEOUT_MS, EndpointLeases
from .expiry import EXPIRY_INTERVAL_MS, EXPIRY_TIMER, Expiry
from .figure_repair import FigureRepair
from .hedging import HEDGE_BUDGET_MAX, overdue_at_ms
from .inputs import RECHECK_INTERVAL_MS, Inputs, total_rate
from .latency import UNKNOWN_COST_MS
from .monotonic_time import MonotonicTime
from .prefetch import PREFETCH_START
from .rules import Gate
from .selection import Selection
from .state import Attempt, Executor, Request
from .types import (
    Action,
    ActionKind,
    Capabilities,
    DrainRule,
    FleetPosition,
    Idempotency,
    LoadingSettings,
    LoadQuotaRule,
    ReleasedIndices,
    RequestClass,
    SlowStartRule,
    Tenant,
)

QUEUE_SHARE = 0.3  # a request waits for capacity for at most this share of its latency objective


class FrontEnd(Inputs, Selection, Expiry, FigureRepair):
    """One front end: its state and its decisions."""

    def __init__(
        self,
        now: float,
        seed: int,
        position: FleetPosition,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        capabilities: Capabilities,
        loading_settings: LoadingSettings,
        slow_start_rule: SlowStartRule,
        load_quota_rule: LoadQuotaRule,
        drain_rule: DrainRule = DrainRule(0.0),
    ) -> None:
        super().__init__(now)
        self.clock = MonotonicTime(now, EXPIRY_INTERVAL_MS)
        self.random_source = random.Random(seed)
        self.request_classes = request_classes
        self.capabilities = capabilities
        self.loading_settings = loading_settings
        own_share = 1.0 / max(1, position.peers)
        self.gate = Gate(
            slow_start_rule,
            load_quota_rule,
            total_rate(tenants),
            own_share,
            self.random_source,
            now,
            EndpointLeases(drain_rule.grace_ms, capabilities.probes, seed),
        )
        self.prefetch_limit = PREFETCH_START
        self.hedge_budget = HEDGE_BUDGET_MAX
        self.limit = LIMIT_START
        self.mean_ms = UNKNOWN_COST_MS
        self.mean_cost_ms = UNKNOWN_COST_MS
        self.median_ms = UNKNOWN_COST_MS
        first_expiry_ms = now + EXPIRY_INTERVAL_MS * self.random_source.random()
        heapq.heappush(self.timers, (first_expiry_ms, EXPIRY_TIMER))

    def may_still_send(self, now: float, request: int, number: int) -> bool:
        """Return whether an attempt that waited for its connection may still be sent in the present state."""
        now = self.clock.enter(now)
        known = self.requests.get(request)
        if known is None or number not in known.in_flight:
            return False
        attempt = known.in_flight.pop(number)
        known.attempts_sent -= 1
        sends = attempt.executor.slow_start_sends
        counted = attempt.sent_ms in sends
        if counted:
            sends[sends.index(attempt.sent_ms)] = -math.inf  # keeps its place, so that no new phase is drawn
        allowed = self.gate.allows_send(known, attempt.executor, len(self.ready), now)
        known.in_flight[number] = attempt
        known.attempts_sent += 1
        if counted:
            sends.remove(-math.inf)
            sends.extend([now] * allowed)
        return allowed

    def decide(self, now: float) -> Action | None:
        """Return the next action, or None."""
        now = self.clock.enter(now)
        self._run_timers(now)
        action = self._next_prefetch(now)
        if action is not None:
            return action
        while self.ready_queue:
            self.deciding = self.ready_queue[0]
            request = self.requests.get(self.deciding)
            action = self._next_action(request, now) if request is not None else None
            self.deciding = -1
            if action is not None:
                return action
            self.ready_queue.popleft()
        if not self.timers or self.timers[0][0] >= self.next_wake_ms:
            return None
        self.next_wake_ms = self.timers[0][0]
        return Action(ActionKind.WAKE, ms=self.clock.to_host(self.next_wake_ms))

    def _run_timers(self, now: float) -> None:
        while self.timers and self.timers[0][0] <= now:
            _, request = heapq.heappop(self.timers)
            if request != EXPIRY_TIMER:
                self.ready_queue.append(request)
            else:
                self._expire(now)
                heapq.heappush(self.timers, (now + EXPIRY_INTERVAL_MS, EXPIRY_TIMER))

    def decision_failed(self) -> int:
        """After decide raised, return the request that it was working on, or -1.

        The only further decisions for that request are to cancel its attempts. Otherwise decide would raise
        for it on every call, and all other requests would go unanswered.
        """
        index = self.deciding
        self.deciding = -1
        request = self.requests.get(index)
        if request is None:
            return -1
        self.ready_queue.popleft()
        request.answered = True
        request.function.waiting.pop(index, None)
        if not request.in_flight:
            self.ready_queue.append(index)
        return index

    def released(self) -> ReleasedIndices:
        """Return the indices released since the last call."""
        freed = self.freed
        self.freed = ReleasedIndices([], [], [])
        return freed

    def _next_action(self, request: Request, now: float) -> Action | None:
        if request.answered:
            return self._cancel_attempt(request)
        spent = not request.in_flight and request.attempts_sent >= request.capabilities.attempts
        if now >= request.answer_deadline_ms or spent:
            return self._give_up(request)
        if request.in_flight:
            return self._hedge(request, now)
        return self._route(request, now)

    def _cancel_attempt(self, request: Request) -> Action | None:
        """Cancel an attempt that nobody waits for any more, to save the executor the work."""
        request.function.waiting.pop(request.index, None)
        for attempt in request.in_flight.values():
            if not attempt.cancelled and request.capabilities.cancel_attempt:
                attempt.cancelled = True
                return Action(ActionKind.CANCEL, request.index, number=attempt.number)
        if not request.in_flight and self.requests.pop(request.index, None):
            request.function.open_requests -= 1
            self.freed.requests.append(request.index)
        return None

    def _give_up(self, request: Request) -> Action:
        """Return the one final answer, which is sent at once (rule 1)."""
        request.answered = True
        if self.gate.allows_reject(request):
            retry_ms = min(request.capabilities.longest_retry_ms, self.mean_ms)
            return Action(ActionKind.REJECT, request.index, ms=retry_ms)
        return Action(ActionKind.FAIL, request.index)

    def _route(self, request: Request, now: float) -> Action | None:
        """Send a request that has no attempt in flight, let it wait, or give it up."""
        executor = None if self._over_limit(request, now) else self.choose(request, now)
        if executor is None:
            idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
            spent = request.possible_runs and not idempotent  # it may not be sent again: answer now
            if spent or self._should_give_up(request, now) or self._no_executor_verifiable(now):
                return self._give_up(request)
        if executor is None or self._awaits_load(request, executor):
            request.function.waiting[request.index] = None
            heapq.heappush(self.timers, (now + RECHECK_INTERVAL_MS, request.index))
            return None
        if not self.gate.leases.holds(executor, now):
            return self._probe_first(request, executor, now)
        return self._send(request, executor, now)

    def _probe_first(self, request: Request, executor: Executor, now: float) -> Action | None:
        """Let the request wait until a probe shows that the executor is ready."""
        executor.awaiting_probe[request.index] = None
        heapq.heappush(self.timers, (now + PROBE_TIMEOUT_MS, request.index))
        if self.gate.leases.probe(executor, now):
            return Action(ActionKind.PROBE, executor=executor.endpoint.executor)
        return None

    def _no_executor_verifiable(self, now: float) -> bool:
        """Return whether no executor is known to be ready and none can be probed.

        This is so when the endpoint list has expired and no executor's own answer is recent enough. Waiting
        would not improve that, and a send might go to an executor that is not ready.
        """
        leases = self.gate.leases
        if leases.probes or leases.list_holds(now) or not self.ready:
            return False
        if any(leases.holds(executor, now) for executor in self.ready):
            return False
        leases.counts["rejected, none known to be ready"] += 1
        return True

    def _over_limit(self, request: Request, now: float) -> bool:
        """Return whether a new request has to wait for others to end.

        The limit for all own requests applies only where there are so few own requests at each executor that
        a limit per executor cannot prevent an overload.
        """
        if request.attempts_sent or self.attempts_in_flight < self.limit:
            return False
        return self.requests_per_executor(now) < LIMIT_MIN

    def _awaits_load(self, request: Request, executor: Executor) -> bool:
        """Return whether the executor would answer with a miss while a load is in progress.

        Then the request waits, which is better than another miss.
        """
        index = request.function.index
        if not self.loading_settings.answers_miss or index in executor.resume:
            return False
        if index in executor.load_requests:
            return True
        return bool(request.missed_executors) and (
            index in self.fleet.loading or index in self.prefetch_wanted
        )

    def _should_give_up(self, request: Request, now: float) -> bool:
        """Return whether a request that no executor has capacity for should be given up.

        A client's retry and a request that can't be answered in time are given up first, others after they
        have waited too long. Without the limit on the wait, a load that hangs or a list that stays empty
        would hold a request until its deadline.
        """
        if not self.ready or request.function.index in self.fleet.loading:
            return now > request.waits_until_ms
        objective_ms = request.request_class.latency_objective_ms
        late = now > request.latency_objective_at_ms - (1.0 - QUEUE_SHARE) * objective_ms
        least = min(self.service_time_baselines.values(), default=1.0)
        return request.is_client_retry or late or request.cost_ms * least > LATE_SHARE * objective_ms

    def _hedge(self, request: Request, now: float) -> Action | None:
        """Send a further attempt beside an overdue one, if the hedge budget allows it."""
        if not self._may_hedge(request, now):
            return None
        executor = self.choose(request, now)
        if executor is None or request.function.index not in executor.resume:  # a cold one is not worth it
            return None
        if not self.gate.leases.holds(executor, now):
            return None
        self.hedge_budget -= 1.0
        return self._send(request, executor, now)

    def _send(self, request: Request, executor: Executor, now: float) -> Action | None:
        """Send an attempt if the rules still allow it, and record it."""
        if not self.gate.allows_send(request, executor, len(self.ready), now):
            return None
        function = request.function
        warm = function.index in executor.resume and function.index not in executor.load_requests
        expected_ms = request.cost_ms * self.service_time_factor(executor, now)
        due_ms = overdue_at_ms(request, expected_ms, None if warm else function.load_ms, now)
        # A keyed attempt that waits for a load may end without having run. Its zone, cell and send time still
        # restrict the attempts sent beside it.
        request.possible_runs.extend(map(Attempt.possible_run, request.in_flight.values()))
        attempt = Attempt(request.attempts_sent, executor, function, now, due_ms)
        request.in_flight[request.attempts_sent] = attempt
        executor.in_flight[request.index, request.attempts_sent] = attempt
        executor.last_sent_ms = now
        self.attempts_in_flight += 1
        request.attempts_sent += 1
        if not self.loading_settings.answers_miss and function.index not in executor.resume:
            self._add_skill(executor, function, now)  # it accepts the request and loads the function
            executor.load_requested(function.index, now)
        attempt.busy = function.index not in executor.load_requests
        executor.adjust_load(attempt.busy)
        if self.gate.is_warming_up(executor, now):
            executor.slow_start_sends.append(now)
        function.waiting.pop(request.index, None)
        heapq.heappush(self.timers, (due_ms, request.index))
        return Action(ActionKind.SEND, request.index, executor.endpoint.executor)
