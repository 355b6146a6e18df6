"""The types that the decisions and their host exchange: plain data, no policy.

Times are milliseconds with fractions. Requests, executors and functions are small whole numbers that the host
hands out and takes back when the decisions release them. The values of the enumerations are words of outside
forms (settings, records, wires), whatever the members are called.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "harmless"
    KEYED = "stamped"
    NON_IDEMPOTENT = "one-shot"


class Scope(Enum):
    """Which executors drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "hall"
    CELL = "cell"


class Stage(Enum):
    """What the endpoint list says of an executor."""

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

    @property
    def label(self) -> str:
        """Its word in counts, metrics and the console's JSON: an outside form."""
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
}

NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.MISS))


class Warmth(IntEnum):
    """What an answer said of the replica that it met."""

    UNTOLD = 0
    FOUND = 1
    BEGAN = 2
    AWAITED = 3
    LOAD_FAILED = 4

    @property
    def label(self) -> str:
        """Its word in answers' headers, records and the console's JSON: an outside form."""
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
    """One thing to do; the fields that its kind does not need stay at their defaults.

    `number` is the attempt to cancel or the replicas asked for; `ms` the retry time of a reject, the time-out
    of a send (0: none) or the clock time of a wake.
    """

    kind: ActionKind
    request: int = -1
    executor: int = -1
    function: int = -1
    number: int = 0
    ms: float = 0.0
    payload: bytes = b""


class RequestClass(NamedTuple):
    """What is promised to the requests of one class."""

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
    rate: float  # requests a second within the share, over all front ends; 0: untold


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
    """Where this front end stands among its peers."""

    number: int
    peers: int
    zone: int


class Capabilities(NamedTuple):
    """What the deployment lets a front end do."""

    attempts: int
    hedging: bool
    cancel_attempt: bool
    probes: bool
    tell: bool
    longest_retry_ms: float  # 0: no retry time may be given


class LoadingSettings(NamedTuple):
    """How executors keep and load functions."""

    answers_miss: bool
    load_requests: bool
    least_keep_ms: float
    load_request_timeout_ms: float
    idle_price: float


class SlowStartRule(NamedTuple):
    """Rule 4: what an executor may get while its process is new."""

    multiple: float
    span_ms: float
    start_share: float
    warm_ms: float


class DrainRule(NamedTuple):
    """Rule 3: how long an executor may still get requests once its drain counts as notified."""

    grace_ms: float


class LoadQuotaRule(NamedTuple):
    """Rule 5: load requests allowed within a window: some free, and a share of the requests taken."""

    window_ms: float  # 0: no quota
    free: float
    share: float


class QuotaShare(NamedTuple):
    """This front end's share of the fleet's quotas until a time; afterwards, or without one, its own share
    counts."""

    share: float
    until_ms: float


class ReleasedIndices(NamedTuple):
    """Indices that the decisions have forgotten for good; the host may use them anew."""

    requests: list[int]
    executors: list[int]
    functions: list[int]
