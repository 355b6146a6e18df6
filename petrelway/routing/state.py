"""What one front end remembers: its requests, their attempts, the executors and the functions.

The types here keep facts and sums over them. They decide nothing and hold no tuned value: `choice.py` does
both, and hands in what it computed from its tuned values (limits, times, first guesses). Only `choice.py`
changes them.
"""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b
from typing import NamedTuple

from .hash_ring import HASH_BITS, HashRing
from .types import Capabilities, Endpoint, Released, RequestClass, Stage

SALT_BYTES = HASH_BITS // 8  # a salt is a hash of a stable name, the same at all front ends


def salt_of(stable: str) -> int:
    """The hash of a stable name, as an integer of SALT_BYTES."""
    return int.from_bytes(blake2b(stable.encode(), digest_size=SALT_BYTES).digest(), "big")


class Run(NamedTuple):
    """Where and when a request may have run."""

    zone: int
    cell: int
    sent_ms: float


class Attempt:
    """One attempt that is out."""

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

    def run(self) -> Run:
        """Where it went, by the present list."""
        endpoint = self.executor.endpoint
        return Run(endpoint.zone, endpoint.cell, self.sent_ms)


class Deadlines(NamedTuple):
    """The times that end what a request may wait for."""

    answer_deadline_ms: float  # the final answer
    latency_objective_at_ms: float  # an answer within the quoted time
    patient_until: float  # a load, or an executor at all


class Request:
    """One request, from the taking to the end of its last attempt."""

    def __init__(
        self,
        index: int,
        kind: int,
        request_class: RequestClass,
        capabilities: Capabilities,
        tenant: int,
        function: FunctionState,
        size: float,
        taken_ms: float,
        deadlines: Deadlines,
        repeat: bool,
        jitter: float,
    ) -> None:
        self.index = index
        self.kind = kind  # the request class's index
        self.request_class = request_class
        self.capabilities = capabilities
        self.tenant = tenant
        self.function = function
        self.size = size
        self.work_ms = 0.0  # 0: no work told
        self.taken_ms = taken_ms
        self.answer_deadline_ms = deadlines.answer_deadline_ms
        self.latency_objective_at_ms = deadlines.latency_objective_at_ms
        self.patient_until = deadlines.patient_until
        self.repeat = repeat
        self.jitter = jitter  # its draw where a budget is a fraction of one request
        self.out: dict[int, Attempt] = {}
        self.sent = 0
        self.ran: list[Run] = []  # ended attempts that may have run
        self.answered = False  # no answer is owed any more
        self.tried: set[int] = set()  # executors that failed it
        self.missed: set[int] = set()  # and those that lacked its function


class Executor:
    """What is known of one executor process."""

    def __init__(self, endpoint: Endpoint, now: float, fleet: Fleet, limit: float) -> None:
        self.endpoint = endpoint
        self.fleet = fleet
        self.listed = False  # counted in the fleet ...
        self.crowded = False  # ... and there among those at their limit
        self.load_requests: dict[int, float] = {}  # function -> when ordered
        self.told_ms = now  # when the present stage was first told
        self.stable = endpoint.stable
        self.salt = salt_of(self.stable)
        self.out: dict[tuple[int, int], Attempt] = {}
        self.busy = 0  # those of them that do not wait for a load
        self.restart(limit)

    def restart(self, limit: float) -> None:
        """A new process: empty, unheard, and well until it shows otherwise."""
        self.resume: dict[int, float] = {}  # function -> when last seen
        self.pace = 0.0  # 0: unheard
        self.paced_ms = -math.inf
        self.cut_ms = -math.inf
        self.weigh(0, limit)
        self.refused: dict[int, float] = {}  # tenant -> until when
        self.errors: dict[int, tuple[float, float]] = {}  # request class -> share of errors, when
        self.cold_sends: deque[float] = deque()
        for index in tuple(self.load_requests):
            self.loaded(index)

    def list(self, endpoint: Endpoint, now: float) -> None:
        """What the newest list says of it."""
        if endpoint.stage is not self.endpoint.stage:
            self.told_ms = now
        self.endpoint = endpoint
        self.fleet.list(self, endpoint.stage is Stage.READY)

    def weigh(self, more: int, limit: float = 0.0) -> None:
        """So many more own requests that wait for no load, and another limit if one is given."""
        self.busy += more
        self.limit = limit or self.limit
        if (self.busy >= self.limit) is not self.crowded:
            self.crowded = not self.crowded
            self.fleet.crowded += self.listed * (1 if self.crowded else -1)

    def load_requested(self, function: int, now: float) -> None:
        """An order to load this function goes out."""
        if function not in self.load_requests and self.listed:
            self.fleet.count(function, 1)
        self.load_requests[function] = now

    def loaded(self, function: int) -> None:
        """The order has ended, however."""
        if self.load_requests.pop(function, None) is not None and self.listed:
            self.fleet.count(function, -1)


class Fleet:
    """The executors that are ready and sums over them. Danger: counted anew for each request, or sorted anew
    for each change of the list, they cost more time than all else, and the more the greater the fleet."""

    def __init__(self) -> None:
        self.ring: HashRing[Executor] = HashRing()  # the ready ones
        self.ready = self.ring.members
        self.crowded = 0  # executors at their limit
        self.load_requests = 0  # own orders under way
        self.loading: dict[int, int] = {}  # function -> own orders under way

    def list(self, executor: Executor, ready: bool) -> None:
        """Count this executor among the ready ones, or no longer."""
        if ready is executor.listed:
            return
        step = 1 if ready else -1
        executor.listed = ready
        self.crowded += step * executor.crowded
        for function in executor.load_requests:
            self.count(function, step)
        if ready:
            self.ring.add(executor)
        else:
            self.ring.remove(executor)

    def count(self, function: int, step: int) -> None:
        """So many more own orders under way for this function."""
        self.load_requests += step
        left = self.loading.get(function, 0) + step
        self.loading[function] = left
        if not left:
            del self.loading[function]


class FunctionState:
    """What is known of one function, but for how the executors rank for it."""

    def __init__(
        self, index: int, stable: str, lanes: int, load_ms: float, usual_load_ms: float, now: float
    ) -> None:
        self.index = index
        self.salt = salt_of(stable)
        self.lanes = max(1, lanes)
        self.load_ms = load_ms
        self.usual_load_ms = usual_load_ms  # with nothing in its way; 0: neither told nor seen
        self.mean_ms = 0.0
        self.used_ms = now
        self.asked = 0.0
        self.held: dict[int, None] = {}  # requests that wait for a copy
        self.skilled: dict[int, Executor] = {}  # whose resumes have it


class FrontEndState:
    """What one front end remembers of its fleet and its work."""

    def __init__(self, now: float) -> None:
        self.start = now
        self.executors: dict[int, Executor] = {}
        self.fleet = Fleet()
        self.ready = self.fleet.ready
        self.warm: dict[int, int] = {}  # machine kind -> warm executors ready
        self.kind_pace: dict[int, float] = {}  # machine kind -> its usual pace
        self.functions: dict[int, FunctionState] = {}
        self.requests: dict[int, Request] = {}
        self.out = 0  # attempts that are out and not overdue
        self.attention: deque[int] = deque()  # requests to look at now
        self.at = -1  # the request that decide is at
        self.due: list[tuple[float, int]] = []  # when to look at a request; -1: tidy up
        self.wake_ms = math.inf
        self.stall_ms = -math.inf  # when the last stall of this front end itself was noticed
        self.wanted: dict[int, Executor] = {}  # function -> where it was missed last
        self.under_way: dict[tuple[int, int], float] = {}  # own orders: executor, function -> overdue from
        self.late = 0.0  # share of late answers
        self.asked = 0.0  # size of the requests taken lately ...
        self.asked_ms = now  # ... up to this time
        self.free = Released([], [], [])

    def _skilled(self, executor: Executor, function: FunctionState, now: float) -> None:
        """This executor has this function."""
        executor.resume[function.index] = now
        function.skilled[executor.endpoint.executor] = executor

    def _unskilled(self, executor: Executor, *functions: FunctionState) -> None:
        """This executor has these functions no more."""
        for function in functions:
            executor.resume.pop(function.index, None)
            function.skilled.pop(executor.endpoint.executor, None)
