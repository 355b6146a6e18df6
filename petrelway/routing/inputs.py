"""The inputs of the decisions: events reported by the dispatcher; a request's deadline is set here.

Mixed into `router.FrontEnd`. `request_taken` sets the times up to which a request may wait. The methods only
update the state and add the requests that need a decision to the ready queue.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

from .claims import HIGHEST_RATE, LONGEST_LOAD_MS, bounded, duration, hinted_cost, shared_cost
from .concurrency import LIMIT_START
from .hedging import Hedging
from .latency import MEAN_GAIN
from .monotonic_time import MonotonicTime
from .outcomes import OutcomeLearning
from .selection import DEMAND_SPAN_MS, Function
from .state import Executor, Request, RequestTimes
from .types import (
    NEVER_RAN,
    Capabilities,
    Endpoint,
    Outcome,
    QuotaShare,
    RequestClass,
    Stage,
    Tenant,
    Warmth,
)

RECHECK_INTERVAL_MS = 40.0  # a waiting request is decided on again after this time
ANSWER_MARGIN_MS = 6.0  # the final answer is sent this long before the client's deadline
# A request waits for a load, or for any executor to be available, at most this share of its deadline or, if
# that is longer, the latency objective.
MAX_WAIT_SHARE = 0.5


class Inputs(Hedging, OutcomeLearning):
    """One method for each kind of event."""

    clock: MonotonicTime
    request_classes: list[RequestClass]
    capabilities: Capabilities
    functions: dict[int, Function]

    def executors_listed(self, now: float, endpoints: Iterable[Endpoint], complete: bool) -> None:
        """Take in the endpoint list or a part of it; executors missing from a complete list are gone."""
        now = self.clock.enter(now)
        listed = set()
        for entry in endpoints:
            endpoint = entry._replace(started_ms=self._local_start_ms(entry.started_ms))
            listed.add(endpoint.executor)
            self._list_executor(endpoint, now)
        if complete:
            for index, executor in self.executors.items():
                if index not in listed and executor.endpoint.stage is not Stage.GONE:
                    executor.update_endpoint(executor.endpoint._replace(stage=Stage.GONE), now)
        for function in self.functions.values():
            self.ready_queue.extend(function.waiting)

    def _list_executor(self, endpoint: Endpoint, now: float) -> None:
        executor = self.executors.get(endpoint.executor)
        if executor is None:
            executor = Executor(endpoint, now, self.fleet, LIMIT_START)
            self.executors[endpoint.executor] = executor
        elif endpoint.started_ms > executor.endpoint.started_ms:
            self._remove_skills(executor, *map(self.functions.__getitem__, executor.resume))
            executor.restart(LIMIT_START)
        executor.update_endpoint(endpoint, now)

    def function_named(
        self, now: float, function: int, stable: str, memory_mb: float, lanes: int, load_ms: float
    ) -> None:
        """Register a function; called once for each index, before the function's first request."""
        now = self.clock.enter(now)
        load_ms = bounded(load_ms, self.loading_settings.load_request_timeout_ms or LONGEST_LOAD_MS)
        self.functions[function] = Function(function, stable, lanes, load_ms, now)
        self.function_order.used(function)

    def request_taken(
        self,
        now: float,
        request: int,
        request_class: int,
        tenant: int,
        function: int,
        remaining_ms: float,
        work_ms: float,
        repeat: bool,
    ) -> None:
        """Take a new request; `remaining_ms` is the time to its deadline, `work_ms` its hinted cost or 0."""
        now = self.clock.enter(now)
        known = self.functions[function]
        settings = self.request_classes[request_class]
        remaining_ms = duration(remaining_ms)
        hinted_ms = hinted_cost(work_ms, settings.deadline_ms or remaining_ms)
        cost_ms = hinted_ms or known.mean_ms or self.mean_ms
        self._record_demand(known, cost_ms, now)
        jitter = self.random_source.random()
        taken = Request(
            request,
            request_class,
            settings,
            self.capabilities,
            tenant,
            known,
            cost_ms,
            hinted_ms,
            now,
            _request_times(now, remaining_ms, settings),
            repeat,
            jitter,
        )
        self.requests[request] = taken
        known.open_requests += 1
        self.function_order.used(function)
        taken.quota_entry = self.gate.request_taken(now)
        self._earn_hedge()
        self.ready_queue.append(request)
        heapq.heappush(self.timers, (taken.answer_deadline_ms, request))

    def _record_demand(self, function: Function, cost_ms: float, now: float) -> None:
        cost_ms = shared_cost(cost_ms, max(function.mean_ms, self.mean_ms))
        self.mean_cost_ms += MEAN_GAIN * (cost_ms - self.mean_cost_ms)
        self.demand = self.demand * math.exp((self.demand_at_ms - now) / DEMAND_SPAN_MS) + cost_ms
        faded = function.demand * math.exp((function.last_used_ms - now) / DEMAND_SPAN_MS)
        function.demand = faded + cost_ms
        self.demand_at_ms = now
        function.last_used_ms = now

    def attempt_ended(
        self,
        now: float,
        request: int,
        number: int,
        outcome: Outcome,
        took_ms: float,
        finished: bool,
        warmth: Warmth,
    ) -> None:
        """Record the end of an attempt; `finished`: it gave the request its final answer."""
        now = self.clock.enter(now)
        known = self.requests.get(request)
        attempt = known.in_flight.pop(number, None) if known else None
        if known is None or attempt is None:
            return
        executor = attempt.executor
        del executor.in_flight[request, number]
        self.attempts_in_flight -= not attempt.overdue
        executor.adjust_load(-attempt.busy)
        if not self.loading_settings.answers_miss:
            executor.load_request_ended(known.function.index)
        self.gate.leases.answered(executor, outcome, attempt.sent_ms, now)
        if outcome not in NEVER_RAN:
            known.possible_runs.append(attempt.possible_run())
        known.answered = known.answered or finished
        if outcome is Outcome.SUCCEEDED:
            self.function_order.served(known.function.index)
        took_ms = duration(took_ms)
        started_ms = executor.endpoint.started_ms
        if attempt.sent_ms >= started_ms or not started_ms:
            self._learn(now, known, attempt, outcome, took_ms, warmth)
        if outcome not in (Outcome.SUCCEEDED, Outcome.CANCELLED, Outcome.MISS, Outcome.CONFLICT):
            known.failed_executors.add(executor.endpoint.executor)
        self.ready_queue.append(request)

    def load_request_answered(
        self, now: float, executor: int, function: int, outcome: Outcome, replicas: int, took_ms: float
    ) -> None:
        """Record the end of a load request; `replicas` is the number of replicas loaded."""
        now = self.clock.enter(now)
        took_ms = duration(took_ms)
        self.prefetches.pop((executor, function), None)
        loader = self.executors.get(executor)
        loaded = self.functions.get(function)
        if loader is None or loaded is None:
            return
        loader.load_request_ended(function)
        self._adjust_prefetch_limit(loaded, outcome, took_ms, now)
        if outcome is Outcome.SUCCEEDED and replicas > 0:
            self._add_skill(loader, loaded, now)
            self._record_load(loaded, took_ms)
        self.ready_queue.extend(loaded.waiting)

    def endpoint_list_confirmed(self, now: float, confirmed_ms: float, notified_ms: float) -> None:
        """Record that the endpoint list was complete at `confirmed_ms`.

        Later changes count as notified by `notified_ms`.
        """
        self.clock.enter(now)
        to_local = self.clock.to_local
        self.gate.leases.list_confirmed(to_local(confirmed_ms), to_local(notified_ms))

    def endpoint_list_unconfirmed(self, now: float, notified_ms: float) -> None:
        """Record that changes missing from the endpoint list count as notified by `notified_ms` or sooner."""
        self.clock.enter(now)
        self.gate.leases.list_unconfirmed(self.clock.to_local(notified_ms))

    def executor_disconnected(self, now: float, executor: int) -> None:
        """Record that the executor closed the last connection to it."""
        now = self.clock.enter(now)
        if known := self.executors.get(executor):
            known.disconnected_ms = now

    def probe_answered(self, now: float, executor: int, outcome: Outcome, took_ms: float) -> None:
        """Record the end of a probe; the outcome is SUCCEEDED if the executor reports itself ready."""
        now = self.clock.enter(now)
        known = self.executors.get(executor)
        if known is None:
            return
        self.gate.leases.probe_answered(known, outcome, now - duration(took_ms))
        self.ready_queue.extend(known.awaiting_probe)
        known.awaiting_probe.clear()

    def client_gone(self, now: float, request: int) -> None:
        """Record that the client cancelled its request or disconnected: no answer is needed any more."""
        self.clock.enter(now)
        if known := self.requests.get(request):
            known.answered = True
            self.gate.request_taken_back(known.quota_entry)
            self.ready_queue.append(request)

    def request_abandoned(self, now: float, request: int) -> None:
        """Record that the request's connection is closing: its final answer is due now."""
        now = self.clock.enter(now)
        if known := self.requests.get(request):
            known.answer_deadline_ms = min(known.answer_deadline_ms, now)
            self.ready_queue.append(request)

    def configuration_changed(
        self,
        now: float,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        capabilities: Capabilities,
    ) -> None:
        """Apply settings to requests taken from now on; earlier requests keep their settings."""
        self.request_classes = request_classes
        self.capabilities = capabilities
        self.gate.configure_rate(self.clock.enter(now), total_rate(tenants))

    def quota_share_changed(self, now: float, quota_share: QuotaShare) -> None:
        """Set this front end's share of the fleet's quotas, valid until a time."""
        self.clock.enter(now)
        share = bounded(quota_share.share, 1.0)
        self.gate.quota_share = QuotaShare(share, self.clock.to_local(quota_share.until_ms))

    def executor_start_corrected(self, now: float, executor: int, started_ms: float) -> None:
        """Correct the start time listed for an executor whose process is still the same."""
        self.clock.enter(now)
        if known := self.executors.get(executor):
            known.endpoint = known.endpoint._replace(started_ms=self._local_start_ms(started_ms))

    def time_passed(self, now: float) -> None:
        """Handle a wake-up, whether the one requested by the last WAKE action or any other."""
        self._in_process_pause(self.clock.enter(now))
        self.next_wake_ms = math.inf

    def _local_start_ms(self, started_ms: float) -> float:
        return self.clock.to_local(started_ms) if started_ms else 0.0


def total_rate(tenants: list[Tenant]) -> float:
    """Return the sum of the tenants' rates, in requests per ms."""
    return sum(bounded(tenant.rate, HIGHEST_RATE) for tenant in tenants) / 1000.0


def _request_times(now: float, remaining_ms: float, request_class: RequestClass) -> RequestTimes:
    objective_at_ms = now + request_class.latency_objective_ms
    return RequestTimes(
        answer_deadline_ms=now + remaining_ms - min(ANSWER_MARGIN_MS, remaining_ms / 2),
        latency_objective_at_ms=objective_at_ms,
        waits_until_ms=max(objective_at_ms, now + MAX_WAIT_SHARE * remaining_ms) - RECHECK_INTERVAL_MS,
    )
