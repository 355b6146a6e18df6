"""The tables that the parts of the call scheduler share, and the records in them. No I/O, no decisions."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..wire.outcomes import ReplicaWarmth
from .actions import Action
from .deduplication import DeduplicationTable
from .eviction import EvictionRanking
from .load_scheduler import LoadScheduler
from .memory_budget import MemoryBudget
from .request_identity import RequestIdentity

LOAD_TIME_GAIN = 0.3  # weight of the newest load time in a function's average


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerConfig:
    """The limits of one worker. Times in ms, memory in MB."""

    memory_mb: float
    max_concurrent_loads: int
    load_queue_bound: int
    max_concurrent_calls: int
    call_queue_bound: int
    idle_timeout_ms: float
    scale_out: bool  # load another replica when all concurrency slots are taken
    answers_miss: bool  # answer MISS in place of loading for an attempt
    load_patience_ms: float  # how long a load request may wait
    stop_grace_ms: float


class AttemptKey(NamedTuple):
    """Identifies an attempt among all front ends. `front_end` is the connection."""

    front_end: Any
    serial: int
    number: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    front_end: Any
    serial: int
    number: int
    function: str
    memory_mb: float
    concurrency: int
    body: bytes
    identity: RequestIdentity | None = None  # None: the request class has no idempotency keys
    deduplication_window_ms: float = 0.0
    deadline_ms: float = 0.0  # set when the scheduler receives it
    warmth: int = ReplicaWarmth.UNKNOWN
    crowd: int = 0
    call_id: int = -1  # of the call that runs it
    closed: bool = False  # nobody waits for it

    @property
    def key(self) -> AttemptKey:
        """Return what identifies it."""
        return AttemptKey(self.front_end, self.serial, self.number)


@dataclass(slots=True, eq=False)
class Replica:
    """A loaded replica: a process that runs `concurrency` calls at a time."""

    id: int
    function: str
    digest: str
    concurrency: int
    load_ms: float
    calls: dict[int, Attempt] = field(default_factory=dict)
    stopping: dict[int, float] = field(default_factory=dict)  # call -> when its grace is over
    idle_since_ms: float = 0.0
    retired: bool = False  # takes no new calls


class SchedulerState:
    """What the call scheduler knows. Each table is changed by one part, but read by several."""

    def __init__(self, config: SchedulerConfig) -> None:
        """Begin with empty tables."""
        self.config = config
        self.actions: deque[Action] = deque()
        self.counts: Counter[str] = Counter()
        self.needs_placement = True  # something changed since calls and loads were last started
        self.draining = False

        self.attempts: dict[AttemptKey, Attempt] = {}
        self.waiting: dict[str, deque[Attempt]] = {}
        self.waiting_count = 0
        self.running_count = 0
        self.deduplication: DeduplicationTable[Attempt] = DeduplicationTable()

        self.replicas: dict[int, Replica] = {}
        self.replicas_of: dict[str, dict[int, Replica]] = {}
        self.budget = MemoryBudget(config.memory_mb)
        self.eviction = EvictionRanking()

        self.loads = LoadScheduler(config.max_concurrent_loads, config.load_queue_bound)
        self.load_times_ms: dict[str, float] = {}  # by function, averaged
        self.digests: dict[str, str] = {}  # that the store's names point at, as far as known

    def active_replicas(self, function: str) -> list[Replica]:
        """Return the replicas of a function that take new calls."""
        return [replica for replica in self.replicas_of.get(function, {}).values() if not replica.retired]

    def running_calls(self, function: str) -> int:
        """Count the calls of a function that run."""
        return sum(len(replica.calls) for replica in self.replicas_of.get(function, {}).values())

    def record_load_time(self, function: str, took_ms: float) -> None:
        """Update a function's average load time."""
        known_ms = self.load_times_ms.get(function)
        if known_ms is None:
            self.load_times_ms[function] = took_ms
        else:
            self.load_times_ms[function] = known_ms + LOAD_TIME_GAIN * (took_ms - known_ms)

    def expire(self, now: float) -> None:
        """Forget what is known of functions that are no longer used, so that memory stays bounded."""
        self.loads.expire(now)
        self.deduplication.expire(now)
        in_use = set(self.replicas_of) | set(self.loads.by_function) | set(self.waiting)
        self.eviction.expire(now, in_use)
        for table in (self.load_times_ms, self.digests):
            for function in list(table):
                if function not in in_use and function not in self.eviction.uses:
                    del table[function]

    def is_empty(self) -> bool:
        """Say whether nothing waits for an answer and nothing runs."""
        return not self.attempts and not self.running_count and not self.loads.in_progress
