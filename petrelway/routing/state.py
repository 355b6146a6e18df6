"""What one front end remembers: its requests, their attempts, the executors and the functions.

The types here keep facts and sums over them. They decide nothing and hold no tuned value: the modules
mixed into `router.FrontEnd` do both, hand in what they computed from tuned values (limits, times, first
guesses), and alone change them.
"""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, NamedTuple

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

SALT_BYTES = HASH_BITS // 8  # a salt is a hash of a stable name, the same at all front ends


def salt_of(stable: str) -> int:
    """The hash of a stable name, as an integer of SALT_BYTES."""
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
        """Where it went, by the present list."""
        endpoint = self.executor.endpoint
        return PossibleRun(endpoint.zone, endpoint.cell, self.sent_ms)


class RequestTimes(NamedTuple):
    """The times that end what a request may wait for."""

    answer_deadline_ms: float  # the final answer
    latency_objective_at_ms: float  # an answer within the quoted time
    waits_until_ms: float  # a load, or an executor at all


class Request:
    """One request, from the taking to the end of its last attempt."""

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
        self.answer_deadline_ms = times.answer_deadline_ms
        self.latency_objective_at_ms = times.latency_objective_at_ms
        self.waits_until_ms = times.waits_until_ms
        self.is_client_retry = is_client_retry
        self.jitter = jitter  # its draw where a budget is a fraction of one request
        self.in_flight: dict[int, Attempt] = {}
        self.attempts_sent = 0
        self.possible_runs: list[PossibleRun] = []  # ended attempts that may have run
        self.answered = False  # no answer is owed any more
        self.failed_executors: set[int] = set()  # executors at which an attempt failed
        self.missed_executors: set[int] = set()  # and those that lacked its function


class Executor:
    """What is known of one executor process."""

    def __init__(self, endpoint: Endpoint, now: float, fleet: Fleet, limit: float) -> None:
        self.endpoint = endpoint
        self.fleet = fleet
        self.listed = False  # counted in the fleet ...
        self.saturated = False  # ... and there among those at their limit
        self.load_requests: dict[int, float] = {}  # function -> when requested
        self.stage_since_ms = now  # when the present stage was first listed
        self.stable = endpoint.stable
        self.salt = salt_of(self.stable)
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.busy = 0  # those of them that do not wait for a load
        self.ready_at_ms = -math.inf  # by its own answers: when what the last of them answered was sent
        self.turned_away_ms = -math.inf  # when what it last turned away was sent
        self.last_sent_ms = -math.inf  # when the last attempt went out
        self.disconnected_ms = -math.inf  # when its last connection was ended by the other side
        self.probe_under_way = False
        self.probe_sent_ms = -math.inf
        self.probe_not_before_ms = -math.inf
        self.awaiting_probe: dict[int, None] = {}  # requests
        self.restart(limit)

    def restart(self, limit: float) -> None:
        """A new process: empty, not measured, and well until it shows otherwise."""
        self.resume: dict[int, float] = {}  # function -> when last seen
        self.service_time_factor = 0.0  # 0: not measured
        self.measured_ms = -math.inf
        self.limit_decreased_ms = -math.inf
        self.adjust_load(0, limit)
        self.tenant_backoff: dict[int, float] = {}  # tenant -> until when
        self.error_rates: dict[int, tuple[float, float]] = {}  # request class -> rate, when
        self.slow_start_sends: deque[float] = deque()
        for index in tuple(self.load_requests):
            self.loaded(index)

    def list(self, endpoint: Endpoint, now: float) -> None:
        """What the newest endpoint list says of it."""
        if endpoint.stage is not self.endpoint.stage:
            self.stage_since_ms = now
        self.endpoint = endpoint
        self.fleet.list(self, endpoint.stage is Stage.READY)

    def adjust_load(self, more: int, limit: float = 0.0) -> None:
        """So many more own requests that wait for no load, and another limit if one is given."""
        self.busy += more
        self.limit = limit or self.limit
        if (self.busy >= self.limit) is not self.saturated:
            self.saturated = not self.saturated
            self.fleet.saturated += self.listed * (1 if self.saturated else -1)

    def load_requested(self, function: int, now: float) -> None:
        """A load request for this function goes out."""
        if function not in self.load_requests and self.listed:
            self.fleet.count(function, 1)
        self.load_requests[function] = now

    def loaded(self, function: int) -> None:
        """The load request has ended, however."""
        if self.load_requests.pop(function, None) is not None and self.listed:
            self.fleet.count(function, -1)


class Fleet:
    """The executors that are ready and sums over them. Counted anew for each request, or sorted anew
    for each change of the list, they would cost more time than all else, more so the greater the fleet."""

    def __init__(self) -> None:
        self.ring: HashRing[Executor] = HashRing()  # the ready ones
        self.ready = self.ring.members
        self.saturated = 0  # executors at their limit
        self.load_requests = 0  # own load requests under way
        self.loading: dict[int, int] = {}  # function -> own load requests under way

    def list(self, executor: Executor, ready: bool) -> None:
        """Count this executor among the ready ones, or no longer."""
        if ready is executor.listed:
            return
        step = 1 if ready else -1
        executor.listed = ready
        self.saturated += step * executor.saturated
        for function in executor.load_requests:
            self.count(function, step)
        if ready:
            self.ring.add(executor)
        else:
            self.ring.remove(executor)

    def count(self, function: int, step: int) -> None:
        """So many more own load requests under way for this function."""
        self.load_requests += step
        left = self.loading.get(function, 0) + step
        self.loading[function] = left
        if not left:
            del self.loading[function]


class FunctionState:
    """What is known of one function, but for how the executors rank for it."""

    def __init__(
        self, index: int, stable: str, slots: int, load_ms: float, baseline_load_ms: float, now: float
    ) -> None:
        self.index = index
        self.salt = salt_of(stable)
        self.slots = max(1, slots)  # of one replica
        self.load_ms = load_ms
        self.baseline_load_ms = baseline_load_ms  # with nothing in its way; 0: neither configured nor seen
        self.mean_ms = 0.0
        self.last_used_ms = now
        self.demand = 0.0  # costs of the requests taken lately
        self.waiting: dict[int, None] = {}  # requests that wait for a replica
        self.skilled: dict[int, Executor] = {}  # whose resumes have it


class FrontEndState:
    """What one front end remembers of its fleet and its work.

    What is only declared here has a tuned first value, which `router.FrontEnd` sets.
    """

    gate: Gate
    loading_settings: LoadingSettings
    random_source: Random
    limit: float  # for all own requests in flight
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
        self.requests: dict[int, Request] = {}
        self.attempts_in_flight = 0  # those that are not overdue
        self.limit_decreased_ms = -math.inf
        self.ready_queue: deque[int] = deque()  # requests to look at now
        self.deciding = -1  # the request that decide is at
        self.timers: list[tuple[float, int]] = []  # when to look at a request; -1: expire what is stale
        self.next_wake_ms = math.inf
        self.process_pause_ms = -math.inf  # when the last pause of this process was noticed
        self.prefetch_wanted: dict[int, Executor] = {}  # function -> where it was missed last
        self.prefetches: dict[tuple[int, int], float] = {}  # own ones: executor, function -> overdue from
        self.prefetch_decreased_ms = -math.inf
        self.late_ratio = 0.0  # of the answers
        self.demand = 0.0  # costs of the requests taken lately ...
        self.demand_at_ms = now  # ... up to this time
        self.freed = ReleasedIndices([], [], [])

    def _add_skill(self, executor: Executor, function: FunctionState, now: float) -> None:
        """This executor has this function."""
        executor.resume[function.index] = now
        function.skilled[executor.endpoint.executor] = executor

    def _remove_skills(self, executor: Executor, *functions: FunctionState) -> None:
        """This executor has these functions no more."""
        for function in functions:
            executor.resume.pop(function.index, None)
            function.skilled.pop(executor.endpoint.executor, None)
