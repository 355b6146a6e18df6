"""The state that a dispatcher keeps of a request from its arrival until the routing core releases it.

Besides the request itself: its attempts in flight and the Deferred that carries its answer; also the load
requests and probes that wait for an executor's answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet import defer, interfaces

from .function_spec import FunctionSpec


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that has been sent and has not ended."""

    executor: int
    sent_ms: float
    timer: interfaces.IDelayedCall | None = None


@dataclass(slots=True)
class LoadRequestInFlight:
    """A load request that its executor has not answered yet."""

    executor: int
    function: int
    sent_ms: float
    timer: interfaces.IDelayedCall | None = None


@dataclass(eq=False, slots=True)
class ProbeInFlight:
    """A health check that was passed to a channel and is not answered yet."""

    executor: int
    sent_ms: float
    timer: interfaces.IDelayedCall | None = None


def _unknown() -> bool:
    return False


class PendingAnswer(defer.Deferred):
    """The one final answer of a request. Cancelling it reports that the client has disconnected.

    The host may set `client_has_left`, which says whether that has happened and is not reported yet.
    """

    def __init__(self, on_cancel: Callable[[defer.Deferred], None], on_abandon: Callable[[], None]) -> None:
        """Create the Deferred.

        `on_cancel` is the Deferred's canceller; `on_abandon` requests the final answer at once."""
        super().__init__(on_cancel)
        self._on_abandon = on_abandon
        self.was_sent = False  # whether an attempt was made
        self.client_has_left: Callable[[], bool] = _unknown

    def abandon(self) -> None:
        """Request the final answer now, whatever is in flight: rejected if a repeat is safe, else failed."""
        self._on_abandon()


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request, from its arrival until the routing core releases its index."""

    index: int
    serial: int
    idempotency_key: str
    request_class: str
    tenant: str
    function: FunctionSpec
    deadline_ms: float
    cost_estimate_ms: float
    content_type: str
    body: bytes
    on_cancel: Callable[[PendingRequest], None]
    on_abandon: Callable[[PendingRequest], None]
    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)  # by attempt number
    sent: int = 0  # attempts sent so far
    answer: PendingAnswer | None = field(init=False)  # None once it is answered or its client has left

    def __post_init__(self) -> None:
        """Create the Deferred that carries the answer."""
        self.answer = PendingAnswer(self._cancelled, self._abandoned)

    def _cancelled(self, _: defer.Deferred) -> None:
        self.on_cancel(self)

    def _abandoned(self) -> None:
        if self.answer is not None:
            self.on_abandon(self)
