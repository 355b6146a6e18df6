"""Selection of the executor for a request.

Three terms come from the source of the design. An executor's *resume* is the set of functions that it has
served lately and is believed to have loaded (its warm set). It is *skilled* for these functions. Its
*weighted backlog* is the number of own requests in flight there times the average time of a request there.

A request goes to the skilled executor with the least weighted backlog. An executor is passed over only if it
has no free slot and its backlog exceeds *variance* (VARIANCE) times the mean backlog. If all skilled
executors are passed over, the request overflows to an unskilled one, which loads the function and becomes
skilled.

Mixed into `router.FrontEnd`, whose decide loop calls `choose`.
"""

from __future__ import annotations

import math

from .hash_ring import RingWindow
from .latency import LatencyTracking
from .lease_renewal import LATE_RENEWAL_SHARE
from .prefetch import UNKNOWN_LOAD_MS
from .ranking import WINDOW, FunctionRank
from .state import Executor, Fleet, FunctionState, Request

VARIANCE = 2.0  # a skilled executor with no free slot is passed over above this times the mean backlog
ERROR_RATE_LIMIT = 0.3  # above this error rate an executor gets no request of that request class
DEMAND_SPAN_MS = 40000.0  # span over which a function's share of the requests is averaged
DEMAND_PRIOR = 10.0  # requests of other functions assumed before any arrived
DEMAND_LEAD_MS = 1000.0  # demand counts from this long before the start, so that its span is never 0
SPREAD_FACTOR = 3.0  # preferred executors of a function, as a multiple of its share of the fleet
SAMPLE_SIZE = 12  # of twice as many or more a random part is examined: its least loaded one is as good
SLOTS_FILLED = 0.5  # share of a function's slots in use at its preferred executors
OWN_VIEW_WEIGHT = 8.0  # weight of own requests per executor against the presumption of the shared rank
SPARSE_VIEW = 0.25  # own requests in flight per executor; with fewer, own counts say nothing of the load
SATURATED_FLEET_SHARE = 0.25  # no overflow while more than this share of the executors is saturated ...
LOADING_FLEET_SHARE = 0.16  # ... nor while this many own loads or more are in progress per executor


class Function(FunctionState):
    """What is known about one function, and how the executors rank for it."""

    def __init__(self, index: int, stable: str, slots: int, load_ms: float, now: float) -> None:
        super().__init__(index, stable, slots, load_ms or UNKNOWN_LOAD_MS, load_ms, now)
        self.rank = FunctionRank(self.salt)
        self.order: RingWindow[Executor] = RingWindow(self.rank)

    def ranked(self, fleet: Fleet, count: int = WINDOW) -> list[Executor]:
        """Return the first `count` ready executors by rank, the function's most preferred one first."""
        return self.order.first(fleet.ring, count)


class Selection(LatencyTracking):
    """Chooses the executor of an attempt."""

    functions: dict[int, Function]

    def requests_per_executor(self, now: float) -> float:
        """Return the own requests in flight per executor, estimated as if all took the median time.

        The actual count would grow during congestion, which would switch off the limit that ends the
        congestion.
        """
        span = DEMAND_SPAN_MS * (1.0 - math.exp((self.start - now - DEMAND_LEAD_MS) / DEMAND_SPAN_MS))
        return self.demand / self.mean_cost_ms * self.median_ms / span / max(1, len(self.ready))

    def preferred_count(self, function: Function, now: float) -> int:
        """Return how many executors, by the shared rank, count as skilled without having been observed so.

        The number is the function's share of the fleet or of its slots, where own requests are too few to
        show it. Each executor too many costs a load.
        """
        error = math.sqrt(function.demand * self.mean_cost_ms)
        share = (function.demand - error) / (self.demand + DEMAND_PRIOR * self.mean_cost_ms)
        slots = self.gate.configured_rate * self.mean_ms / (SLOTS_FILLED * function.slots)
        seen = 1.0 + OWN_VIEW_WEIGHT * self.requests_per_executor(now)
        return max(not function.skilled, int(share * max(SPREAD_FACTOR * len(self.ready), slots) / seen))

    def weighted_backlog(self, executor: Executor, now: float) -> float:
        """Return the requests in flight times the average time of a request, in ms."""
        return len(executor.in_flight) * self.service_time_factor(executor, now) * self.mean_cost_ms

    def choose(self, request: Request, now: float) -> Executor | None:
        """Return the executor for the request's next attempt, or None if none has capacity for it now."""
        lease_target = self._warming(request, now) or self._renewing(request, now)
        if lease_target is not None:
            return lease_target
        candidates = self._candidates(request.function, now)
        skilled = [executor for executor in candidates if self._eligible(request, executor, now)]
        mean = self.attempts_in_flight / max(1, len(self.ready)) * self.mean_ms
        limit = VARIANCE * max(mean, self.mean_ms)
        with_capacity = self._with_capacity(skilled, request.function, limit, now)
        if with_capacity:
            return min(
                with_capacity,
                key=lambda executor: (
                    not self.gate.leases.holds(executor, now),  # probes cost time; with discovery none is due
                    self._expected_ms(executor, request, now),
                    self.random_source.random(),
                ),
            )
        if self._may_overflow(request.function):
            executor = self._overflow(request, candidates, mean if request.function.skilled else limit, now)
            if executor is not None:
                return executor
        return min(
            skilled,
            key=lambda executor: (
                self.gate.leases.in_doubt(executor, now),
                self._expected_ms(executor, request, now),
                self.random_source.random(),
            ),
            default=None,
        )

    def _renewing(self, request: Request, now: float) -> Executor | None:
        """Return an executor whose lease this request should renew, or None for the ordinary choice."""
        renewal = self.gate.lease_renewal
        if request.attempts_sent or not renewal.is_needed(now):
            return None
        function = request.function
        latest_ms = LATE_RENEWAL_SHARE * self.gate.leases.term_ms  # a later answer proves almost nothing
        for executor in [
            *renewal.due(function, now),
            *renewal.untried(function, function.ranked(self.fleet), now),
        ]:
            soon = self._proof_ms(executor, request, now) <= latest_ms
            if soon and self._eligible(request, executor, now):
                return executor
        return None

    def _warming(self, request: Request, now: float) -> Executor | None:
        """Return an executor that this request should warm up before its lease depends on that, or None."""
        renewal = self.gate.lease_renewal
        if request.attempts_sent or self.loading_settings.answers_miss or not renewal.is_warming_due(now):
            return None
        latest_ms = min(self.gate.leases.notified_ms, request.latency_objective_at_ms)
        for executor in renewal.to_be_warmed(request.function.ranked(self.fleet)):
            in_time = now + self._proof_ms(executor, request, now) <= latest_ms
            if in_time and self._eligible(request, executor, now):
                return executor
        return None

    def _proof_ms(self, executor: Executor, request: Request, now: float) -> float:
        """Return how long the executor takes to prove its readiness by answering this request, in ms."""
        index = request.function.index
        if index in executor.load_requests:
            return math.inf  # the request would wait for that load
        if index in executor.resume:
            return self._expected_ms(executor, request, now)
        if self.loading_settings.answers_miss:
            return 0.0  # a miss is answered at once
        return self._expected_ms(executor, request, now) + request.function.load_ms

    def _candidates(self, function: Function, now: float) -> dict[Executor, None]:
        """Return the skilled and the preferred executors, or a random part of them if they are many."""
        found = [
            *function.skilled.values(),
            *function.ranked(self.fleet, self.preferred_count(function, now)),
        ]
        step = len(found) // SAMPLE_SIZE
        if step > 1:
            found = found[int(self.random_source.random() * step) :: step]
        return dict.fromkeys(found)

    def _with_capacity(
        self, skilled: list[Executor], function: Function, limit: float, now: float
    ) -> list[Executor]:
        """Return the executors with a free slot by own counts, or with a backlog within the limit.

        With a sparse view the own counts of requests in flight say nothing of the load, and one more request
        is assumed at each executor. An executor that refused a request while discovery is unreachable has no
        capacity.
        """
        sparse = self.requests_per_executor(now) < SPARSE_VIEW
        return [
            executor
            for executor in skilled
            if not self.gate.leases.in_doubt(executor, now)
            and (
                (
                    not sparse
                    and sum(attempt.function is function for attempt in executor.in_flight.values())
                    < function.slots
                )
                or self.weighted_backlog(executor, now)
                + sparse * self.service_time_factor(executor, now) * self.mean_cost_ms
                <= limit
            )
        ]

    def _may_overflow(self, function: Function) -> bool:
        """Return whether an unskilled executor may be chosen.

        In an overload all functions would overflow at once, and their loads would slow down all executors.
        """
        ready = len(self.ready)
        saturated = self.fleet.saturated > SATURATED_FLEET_SHARE * ready
        loading = self.fleet.load_requests >= LOADING_FLEET_SHARE * ready
        loading = loading or function.index in self.fleet.loading
        return not function.skilled or (not saturated and not loading)

    def _overflow(
        self, request: Request, candidates: dict[Executor, None], limit: float, now: float
    ) -> Executor | None:
        """Return the first other executor by the shared rank that is within the limit and eligible.

        The source of the design does not specify which executor performs a new load.
        """
        for executor in request.function.order.all(self.fleet.ring):
            within_limit = self.weighted_backlog(executor, now) <= limit
            if executor not in candidates and within_limit and self._eligible(request, executor, now):
                return executor
        return None

    def _eligible(self, request: Request, executor: Executor, now: float) -> bool:
        """Return whether the rules allow the send and nothing rules out this executor for this request."""
        index = executor.endpoint.executor
        if executor.busy >= executor.limit or now < executor.tenant_backoff.get(request.tenant, now):
            return False
        if index in request.failed_executors:
            return False
        class_index = request.class_index
        failing = class_index in executor.error_rates
        if failing and self.error_rate(executor, class_index, now) > ERROR_RATE_LIMIT:
            return False
        if index in request.missed_executors and request.function.index not in executor.resume:
            return False
        if any(attempt.executor is executor for attempt in request.in_flight.values()):
            return False
        leases = self.gate.leases
        if leases.holds(executor, now):
            return self.gate.allows_send(request, executor, len(self.ready), now)
        may_probe = leases.may_probe(executor, now)
        return may_probe and self.gate.allows_if_ready(request, executor, len(self.ready), now)

    def _expected_ms(self, executor: Executor, request: Request, now: float) -> float:
        """Return the weighted backlog with this request, plus the load that it would wait for, in ms."""
        load_ms = request.function.load_ms if request.function.index in executor.load_requests else 0.0
        return (
            self.weighted_backlog(executor, now)
            + self.service_time_factor(executor, now) * request.cost_ms
            + load_ms
        )
