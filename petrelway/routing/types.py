"""The host's side of the decision module: plain types and names, no policy.

Times are milliseconds with fractions. Requests, executors and functions are small whole
numbers that the host hands out and takes back when the module releases them.
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
    """Which executors drop the repeats of a stamped request."""

    ALL = "all"
    ZONE = "hall"
    CELL = "cell"


class Stage(Enum):
    """What the list says of an executor."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """How a attempt, an order to load or a probe ended."""

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
        """Its word in counts, metrics and the console's JSON: an outside form, whatever the member is called."""
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
    """What an answer told of the copy it met."""

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


class Verb(Enum):
    """What the host is asked to do."""

    SEND = "send"
    CANCEL = "withdraw"
    REJECT = "nack"
    FAIL = "break off"
    PREFETCH = "order to load"
    UNLOAD = "unload"
    PROBE = "probe"
    TELL = "tell the peers"
    WAKE = "wake"


class Decision(NamedTuple):
    """One thing to do; the fields that the verb does not need stay at their defaults.

    `number` is the attempt to withdraw or the copies ordered; `ms` the retry time of a
    reject, the time-out of a send (0: none) or the clock time of a wake.
    """

    verb: Verb
    request: int = -1
    executor: int = -1
    function: int = -1
    number: int = 0
    ms: float = 0.0
    payload: bytes = b""


class RequestClass(NamedTuple):
    idempotency: Idempotency
    scope: Scope
    window_ms: float
    latency_objective_ms: float
    deadline_ms: float
    worth: float
    late_share: float


class Tenant(NamedTuple):
    portion: float
    rate: float  # requests a second within the share, over all front ends; 0: untold


class Endpoint(NamedTuple):
    """One line of the list of executors; `stable` is the same at every front end."""

    executor: int
    stable: str
    zone: int
    machine: int
    cell: int
    stage: Stage
    weight: float
    started_ms: float  # 0: long ago


class Place(NamedTuple):
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


class Keeping(NamedTuple):
    """How executors keep and load functions."""

    answers_miss: bool
    load_requests: bool
    least_keep_ms: float
    load_request_timeout_ms: float
    idle_price: float


class ColdRule(NamedTuple):
    multiple: float
    span_ms: float
    start_share: float
    warm_ms: float


class LoadRation(NamedTuple):
    window_ms: float  # 0: no ration
    free: float
    share: float


class Part(NamedTuple):
    """So much of the fleet's rations is this front end's, until then; afterwards, and untold, its own
    share."""

    share: float
    until_ms: float


class Released(NamedTuple):
    """Indices that the module has forgotten for good; the host may use them anew."""

    requests: list[int]
    executors: list[int]
    functions: list[int]
