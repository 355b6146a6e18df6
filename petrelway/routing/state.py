"""The state of one front end: its requests, their attempts, the executors and the functions.

The types here store observations and sums over them. They make no decisions and contain no tuned values. The
modules mixed into `router.FrontEnd` do both: they pass in what they compute from tuned values (limits, times,
initial estimates), and only they modify these objects.
"""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from .function_order import FunctionOrder
from .hash_ring import HASH_BITS, HashRing
from .types import (
    Capabilities,
    Endpoint,
    LoadingSettings,
    ReleasedIndices,
    RequestClass,
    Stage,
)

if TYPE_CHECKING:
    from .rules import Gate

SALT_BYTES = HASH_BITS // 8  # a salt is the hash of a stable name and is the same at all front ends


def salt_of(stable: str) -> int:
    """Return the hash of a stable name, as an integer of SALT_BYTES."""
    return int.from_bytes(blake2b(stable.encode(), digest_size=SALT_BYTES).digest(), "big")


class PossibleRun(NamedTuple):
    """Where and when a request may have run."""

    zone: int
    cell: int
    sent_ms: float


class Attempt:
    """One attempt in flight."""

    def __init__(
        self, number: int, executor: Executor, function: FunctionState, sent_ms: float, due_ms: float
    ) -> None:
        self.number = number
        self.executor = executor
        self.function = function
        self.sent_ms = sent_ms
        self.due_ms = due_ms
        self.busy = True  # not known to wait for a load
        self.overdue = False
        self.cancelled = False

    def possible_run(self) -> PossibleRun:
        """Return where the attempt was sent, according to the current endpoint list."""
        endpoint = self.executor.endpoint
        return PossibleRun(endpoint.zone, endpoint.cell, self.sent_ms)


class RequestTimes(NamedTuple):
    """The times up to which a request waits for something."""

    answer_deadline_ms: float  # when the final answer is due
    latency_objective_at_ms: float  # until when an answer meets the latency objective
    waits_until_ms: float  # until when it waits for a load, or for any executor to be available


class Request:
    """One request, from its arrival to the end of its last attempt."""

    def __init__(
        self,
        index: int,
        class_index: int,
        request_class: RequestClass,
        capabilities: Capabilities,
        tenant: int,
        function: FunctionState,
        cost_ms: float,
        hinted_cost_ms: float,
        taken_ms: float,
        times: RequestTimes,
        is_client_retry: bool,
        jitter: float,
    ) -> None:
        self.index = index
        self.class_index = class_index  # of its request class
        self.request_class = request_class
        self.capabilities = capabilities
        self.tenant = tenant
        self.function = function
        self.cost_ms = cost_ms  # estimated
        self.hinted_cost_ms = hinted_cost_ms  # 0: no hint
        self.taken_ms = taken_ms
        self.quota_entry = 0  # among the requests that earn load requests
        self.answer_deadline_ms = times.answer_deadline_ms
        self.latency_objective_at_ms = times.latency_objective_at_ms
        self.waits_until_ms = times.waits_until_ms
        self.is_client_retry = is_client_retry
        self.jitter = jitter  # its random number, used where a budget is a fraction of one request
        self.in_flight: dict[int, Attempt] = {}
        self.attempts_sent = 0
        self.possible_runs: list[PossibleRun] = []  # ended attempts that may have run
        self.answered = False  # the final answer was sent, or is no longer needed
        self.failed_executors: set[int] = set()  # executors at which an attempt failed
        self.missed_executors: set[int] = set()  # executors that answered with a miss


class Executor:
    """What is known about one executor process."""

    def __init__(self, endpoint: Endpoint, now: float, fleet: Fleet, limit: float) -> None:
        self.endpoint = endpoint
        self.fleet = fleet
        self.listed = False  # counted among the ready executors of the fleet ...
        self.saturated = False  # ... and if so, among those at their limit
        self.load_requests: dict[int, float] = {}  # function -> when its load was requested
        self.stage_since_ms = now  # when the present stage was first listed
        self.stable = endpoint.stable
        self.salt = salt_of(self.stable)
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.busy = 0  # attempts in flight that do not wait for a load
        self.ready_at_ms = -math.inf  # when the latest message was sent whose answer proved it ready
        self.turned_away_ms = -math.inf  # when the latest request that it refused was sent
        self.last_sent_ms = -math.inf  # when the last attempt went out
        self.disconnected_ms = -math.inf  # when its last connection was ended by the other side
        self.probe_under_way = False
        self.probe_sent_ms = -math.inf
        self.probe_not_before_ms = -math.inf
        self.awaiting_probe: dict[int, None] = {}  # requests
        self.restart(limit)

    def restart(self, limit: float) -> None:
        """Reset for a new process: no functions loaded, not measured, and healthy until proved otherwise."""
        self.resume: dict[int, float] = {}  # function -> when last seen
        self.service_time_factor = 0.0  # 0: not measured
        self.measured_ms = -math.inf
        self.limit_decreased_ms = -math.inf
        self.adjust_load(0, limit)
        self.tenant_backoff: dict[int, float] = {}  # tenant -> until when it gets no requests of that tenant
        self.error_rates: dict[int, tuple[float, float]] = {}  # request class -> rate, when it was updated
        self.slow_start_sends: deque[float] = deque()
        for index in tuple(self.load_requests):
            self.load_request_ended(index)

    def update_endpoint(self, endpoint: Endpoint, now: float) -> None:
        """Take in the executor's entry of the newest endpoint list."""
        if endpoint.stage is not self.endpoint.stage:
            self.stage_since_ms = now
        self.endpoint = endpoint
        self.fleet.set_ready(self, endpoint.stage is Stage.READY)

    def adjust_load(self, more: int, limit: float = 0.0) -> None:
        """Add `more` to the own requests that wait for no load; set the limit too if `limit` is not 0."""
        self.busy += more
        self.limit = limit or self.limit
        if (self.busy >= self.limit) is not self.saturated:
            self.saturated = not self.saturated
            self.fleet.saturated += self.listed * (1 if self.saturated else -1)

    def load_requested(self, function: int, now: float) -> None:
        """Record that a load request for this function is sent."""
        if function not in self.load_requests:
            self.fleet.count_load(function, 1)
            if self.listed:
                self.fleet.adjust_load_requests(function, 1)
        self.load_requests[function] = now

    def load_request_ended(self, function: int) -> None:
        """Record that the load request for this function has ended, with whatever outcome."""
        if self.load_requests.pop(function, None) is None:
            return
        self.fleet.count_load(function, -1)
        if self.listed:
            self.fleet.adjust_load_requests(function, -1)


class Fleet:
    """The ready executors and sums over them, updated incrementally.

    Counting again for each request, or sorting again for each change of the list, would take more time than
    everything else, and the more so the larger the fleet.
    """

    def __init__(self) -> None:
        self.ring: HashRing[Executor] = HashRing()  # the ready executors
        self.ready = self.ring.members
        self.saturated = 0  # executors at their limit
        self.load_requests = 0  # own load requests in progress
        self.loads_anywhere: dict[int, int] = {}  # function -> own load requests, at executors of any stage
        self.loading: dict[int, int] = {}  # function -> own load requests in progress

    def set_ready(self, executor: Executor, ready: bool) -> None:
        """Add this executor to the ready ones, or remove it from them."""
        if ready is executor.listed:
            return
        step = 1 if ready else -1
        executor.listed = ready
        self.saturated += step * executor.saturated
        for function in executor.load_requests:
            self.adjust_load_requests(function, step)
        if ready:
            self.ring.add(executor)
        else:
            self.ring.remove(executor)

    def count_load(self, function: int, step: int) -> None:
        """Add `step` to the own load requests for this function, wherever they are in progress."""
        left = self.loads_anywhere.get(function, 0) + step
        self.loads_anywhere[function] = left
        if not left:
            del self.loads_anywhere[function]

    def adjust_load_requests(self, function: int, step: int) -> None:
        """Add `step` to the own load requests in progress for this function."""
        self.load_requests += step
        left = self.loading.get(function, 0) + step
        self.loading[function] = left
        if not left:
            del self.loading[function]


class FunctionState:
    """What is known about one function, except how the executors rank for it."""

    def __init__(
        self, index: int, stable: str, slots: int, load_ms: float, baseline_load_ms: float, now: float
    ) -> None:
        self.index = index
        self.salt = salt_of(stable)
        self.slots = max(1, slots)  # of one replica
        self.load_ms = load_ms
        self.baseline_load_ms = baseline_load_ms  # without contention; 0: neither configured nor observed
        self.mean_ms = 0.0
        self.last_used_ms = now
        self.demand = 0.0  # decayed sum of the costs of the requests taken
        self.open_requests = 0  # requests that are not released yet
        self.waiting: dict[int, None] = {}  # requests that wait for an executor or a load
        self.skilled: dict[int, Executor] = {}  # executors whose resumes contain it


class FrontEndState:
    """What one front end stores about its fleet and its requests.

    Attributes that are only declared here have a tuned initial value, which `router.FrontEnd` sets.
    """

    gate: Gate
    loading_settings: LoadingSettings
    random_source: Random
    limit: float  # limit for all own requests in flight
    mean_ms: float  # of answer times
    median_ms: float  # of answer times
    mean_cost_ms: float  # of requests
    prefetch_limit: float
    hedge_budget: float

    def __init__(self, now: float) -> None:
        self.start = now
        self.executors: dict[int, Executor] = {}
        self.fleet = Fleet()
        self.ready = self.fleet.ready
        self.warm_executors: dict[int, int] = {}  # machine type -> ready executors past their slow start
        self.service_time_baselines: dict[int, float] = {}  # machine type -> low quantile of the factors
        self.functions: dict[int, FunctionState] = {}
        self.function_order = FunctionOrder()
        self.functions_bound = 0  # functions known at once, 0: any number
        self.requests: dict[int, Request] = {}
        self.attempts_in_flight = 0  # those that are not overdue
        self.limit_decreased_ms = -math.inf
        self.ready_queue: deque[int] = deque()  # requests to decide on now
        self.deciding = -1  # the request that decide is working on, or -1
        self.timers: list[tuple[float, int]] = []  # when to decide on a request again; -1: expire stale state
        self.next_wake_ms = math.inf
        self.process_pause_ms = -math.inf  # when the last pause of this process was noticed
        self.prefetch_wanted: dict[int, Executor] = {}  # function -> executor that last answered with a miss
        self.prefetches: dict[tuple[int, int], float] = {}  # own ones: executor, function -> when overdue
        self.prefetch_decreased_ms = -math.inf
        self.late_ratio = 0.0  # share of late answers, as a moving average
        self.demand = 0.0  # decayed sum of the costs of the requests taken ...
        self.demand_at_ms = now  # ... up to this time
        self.freed = ReleasedIndices([], [], [])

    def _add_skill(self, executor: Executor, function: FunctionState, now: float) -> None:
        """Record that this executor has this function loaded."""
        executor.resume[function.index] = now
        function.skilled[executor.endpoint.executor] = executor

    def _remove_skills(self, executor: Executor, *functions: FunctionState) -> None:
        """Record that this executor no longer has these functions loaded."""
        for function in functions:
            executor.resume.pop(function.index, None)
            function.skilled.pop(executor.endpoint.executor, None)
