"""The types exchanged between the routing decisions and the program that hosts them: plain data, no policy.

Times are in milliseconds, with fractions. Requests, executors and functions are identified by small integers
that the host assigns and reuses after the decisions release them. The values of the enumerations are names
used in external formats (settings, records, wire formats) and are independent of the member names.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be run twice."""

    IDEMPOTENT = "harmless"
    KEYED = "stamped"
    NON_IDEMPOTENT = "one-shot"


class Scope(Enum):
    """Among which executors repeats of a keyed request are deduplicated."""

    ALL = "all"
    ZONE = "hall"
    CELL = "cell"


class Stage(Enum):
    """The lifecycle stage of an executor in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """How an attempt, a load request or a health check ended."""

    SUCCEEDED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    UNSENT = 7
    MISS = 8
    CONFLICT = 9  # the executor knows its idempotency key with another request

    @property
    def label(self) -> str:
        """The name in counts, metrics and the console's JSON, which are external formats."""
        return OUTCOME_LABELS[self]


OUTCOME_LABELS = {
    Outcome.SUCCEEDED: "fulfilled",
    Outcome.ERROR: "error",
    Outcome.FULL: "full",
    Outcome.TIMEOUT: "timeout",
    Outcome.UNREACHABLE: "unreachable",
    Outcome.RESET: "reset",
    Outcome.CANCELLED: "withdrawn",
    Outcome.UNSENT: "unsent",
    Outcome.MISS: "miss",
    Outcome.CONFLICT: "conflict",
}

NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.MISS, Outcome.CONFLICT))
# what says nothing about the executor that an attempt was sent to
SAYS_NOTHING_OF_EXECUTOR = frozenset((Outcome.CANCELLED, Outcome.UNSENT, Outcome.CONFLICT))


class Warmth(IntEnum):
    """The state of the replica that served a request, as reported by the answer."""

    UNTOLD = 0
    FOUND = 1
    BEGAN = 2
    AWAITED = 3
    LOAD_FAILED = 4

    @property
    def label(self) -> str:
        """The name in answers' headers, records and the console's JSON, which are external formats."""
        return WARMTH_LABELS[self]


WARMTH_LABELS = {
    Warmth.UNTOLD: "untold",
    Warmth.FOUND: "found",
    Warmth.BEGAN: "began",
    Warmth.AWAITED: "awaited",
    Warmth.LOAD_FAILED: "load_failed",
}


class ActionKind(Enum):
    """What the host is asked to do."""

    SEND = "send"
    CANCEL = "withdraw"
    REJECT = "nack"
    FAIL = "break off"
    PREFETCH = "order to load"
    UNLOAD = "unload"
    PROBE = "probe"
    NOTIFY_PEERS = "tell the peers"
    WAKE = "wake"


class Action(NamedTuple):
    """One action for the host; fields that its kind does not need keep their defaults.

    `number` is the attempt to cancel or the number of replicas to load; `ms` is the retry time of a reject,
    the timeout of a send (0: none) or the clock time of a wake-up.
    """

    kind: ActionKind
    request: int = -1
    executor: int = -1
    function: int = -1
    number: int = 0
    ms: float = 0.0
    payload: bytes = b""


class RequestClass(NamedTuple):
    """The guarantees for the requests of one class."""

    idempotency: Idempotency
    scope: Scope
    window_ms: float
    latency_objective_ms: float
    deadline_ms: float
    worth: float
    late_share: float


class Tenant(NamedTuple):
    """A tenant's share of the capacity."""

    portion: float
    rate: float  # requests per second within the share, over all front ends; 0: not specified


class Endpoint(NamedTuple):
    """One entry of the endpoint list; `stable` is the executor's name, the same at every front end."""

    executor: int
    stable: str
    zone: int
    machine: int
    cell: int
    stage: Stage
    weight: float
    started_ms: float  # 0: long ago


class FleetPosition(NamedTuple):
    """This front end's position among its peers."""

    number: int
    peers: int
    zone: int


class Capabilities(NamedTuple):
    """What the deployment allows a front end to do."""

    attempts: int
    hedging: bool
    cancel_attempt: bool
    probes: bool
    tell: bool
    longest_retry_ms: float  # 0: no retry time may be given


class LoadingSettings(NamedTuple):
    """How executors load functions and keep them loaded."""

    answers_miss: bool
    load_requests: bool
    least_keep_ms: float
    load_request_timeout_ms: float
    idle_price: float


class SlowStartRule(NamedTuple):
    """Rule 4: how many requests an executor may receive while its process is new."""

    multiple: float
    span_ms: float
    start_share: float
    warm_ms: float


class DrainRule(NamedTuple):
    """Rule 3: how long an executor may still receive requests after its drain counts as notified."""

    grace_ms: float


class LoadQuotaRule(NamedTuple):
    """Rule 5: load requests allowed within a window: a fixed number plus a share of the requests taken."""

    window_ms: float  # 0: no quota
    free: float
    share: float


class QuotaShare(NamedTuple):
    """This front end's share of the fleet's quotas until a time.

    Afterwards, or without a quota share, the front end uses its own even share.
    """

    share: float
    until_ms: float


class ReleasedIndices(NamedTuple):
    """Indices that the decisions no longer use; the host may reassign them."""

    requests: list[int]
    executors: list[int]
    functions: list[int]
