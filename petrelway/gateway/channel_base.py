"""Base classes of all channels to executors: the reports of what ended without an executor's answer.

`gateway/executor_channel.py`, `node/executor_pool.py` and `emulator/executor_channel.py` build on them. Only
channels call them; the dispatcher is the listener.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from ..routing.types import Outcome
from ..wire.codec import LoadReport
from .attempt_ledger import AttemptKey
from .connection_end_reasons import EndReason

WRITE_STALL_TIMEOUT_MS = 2000.0  # a connection that accepts no bytes for this long is closed
BUFFER_BYTES = 1 << 18  # bytes buffered in a transport before it pauses its producer
NO_LOAD = LoadReport()  # the load report of an attempt that no executor reported on


class ChannelListener(Protocol):
    """The events that a channel reports to its dispatcher. Times are in ms."""

    def attempt_ended(
        self,
        executor: int,
        key: AttemptKey,
        outcome: Outcome,
        warmth: int,
        crowd: int,
        load: LoadReport,
        content_type: str,
        body: bytes,
    ) -> None:
        """Handle the end of an attempt."""
        ...

    def left_ms(self, key: AttemptKey) -> float:
        """Return the time that the client still allows a waiting attempt, 0 if it must not be sent."""
        ...

    def load_request_answered(
        self, executor: int, load_request_id: int, outcome: Outcome, replicas: int
    ) -> None:
        """Handle the end of a load request."""
        ...

    def probe_answered(self, executor: int, probe: int, outcome: Outcome, load: LoadReport) -> None:
        """Handle the end of a health check."""
        ...

    def executor_disconnected(self, executor: int) -> None:
        """Note that the executor closed the last connection to it: the next one may reach another process."""
        ...


class QuestionKind(Enum):
    """Kinds of requests to an executor other than attempts."""

    LOAD = "load"
    PROBE = "probe"


class ChannelReports:
    """Reports of attempts and questions that no executor answered."""

    __slots__ = ()

    executor: int
    listener: ChannelListener

    def report_unanswered(self, key: AttemptKey, outcome: Outcome) -> None:
        """Report an attempt that ended without an answer."""
        self.listener.attempt_ended(self.executor, key, outcome, 0, 0, NO_LOAD, "", b"")

    def report_reset(self, questions: Iterable[tuple[int, QuestionKind]]) -> None:
        """Report that the connection broke while these load requests and probes, by id, were in flight."""
        for id, kind in questions:
            if kind is QuestionKind.LOAD:
                self.listener.load_request_answered(self.executor, id, Outcome.RESET, 0)
            else:
                self.listener.probe_answered(self.executor, id, Outcome.RESET, NO_LOAD)


class SocketChannelReports(ChannelReports):
    """Adds for channels on sockets: outages in the log, and sending what waited for a connection."""

    __slots__ = ()

    stable: str
    address: str
    port: int
    outage_logged: bool
    logged_reasons: set[EndReason]

    def log_down(self, reason: EndReason, detail: str = "") -> None:
        """Log one line for each cause of an executor's outages; the counts show how often each occurs."""
        if not self.outage_logged and reason not in self.logged_reasons:
            self.logged_reasons.add(reason)
            more = {"detail": detail} if detail else {}
            self.log.warning(
                "executor channel down",
                executor=self.stable,
                address=self.address,
                port=self.port,
                reason=reason.value,
                **more,
            )
            self.outage_logged = True

    def log_up(self) -> None:
        """Log the end of an outage whose beginning was logged."""
        if self.outage_logged:
            self.log.info("executor channel up", executor=self.stable)
            self.outage_logged = False

    def send_waiting(
        self,
        waiting: dict[AttemptKey, object],
        writable: Callable[[], bool],
        hand_over: Callable[[float], None],
    ) -> int:
        """Hand over the waiting attempts that may still be sent; return how many may not.

        While an attempt waited, its client may have left or its deadline have passed, the executor may have
        begun to drain, the deduplication window may have ended, or the budget of an executor in slow start
        may have been used up."""
        expired = 0
        while waiting and writable():
            key = next(iter(waiting))
            left_ms = self.listener.left_ms(key)
            if left_ms > 0.0:
                hand_over(left_ms)
            else:
                expired += 1
                self.cancel_attempt(key)  # no byte of it was sent: UNSENT
                self.report_unanswered(key, Outcome.UNSENT)
        return expired
