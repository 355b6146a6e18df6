"""What every channel to an executor reports when there is no answer, written once for all channels.

`gateway/executor_channel.py`, `node/executor_pool.py` and `emulator/executor_channel.py` build on it. Only
channels call it; the dispatcher listens.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from ..routing.types import Outcome
from ..wire.codec import LoadReport
from .attempt_ledger import AttemptKey
from .connection_end_reasons import EndReason

CLOGGED_MS = 2000.0  # a connection that takes no byte for so long is closed
BUFFER_BYTES = 1 << 18  # bytes handed to a transport before it asks for a pause
NO_LOAD = LoadReport()  # of an attempt that no executor reported on


class ChannelListener(Protocol):
    """What a channel reports to its dispatcher. Times in ms."""

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
        """An attempt ended."""
        ...

    def left_ms(self, key: AttemptKey) -> float:
        """Return the client's time left for an attempt that waited here, 0 if it must not go any more."""
        ...

    def load_request_answered(
        self, executor: int, load_request_id: int, outcome: Outcome, replicas: int
    ) -> None:
        """A load request ended."""
        ...

    def probe_answered(self, executor: int, probe: int, outcome: Outcome, load: LoadReport) -> None:
        """A health check ended."""
        ...

    def executor_disconnected(self, executor: int) -> None:
        """The executor's side ended the last connection to it: its process may be another one next time."""
        ...


class QuestionKind(Enum):
    """What an executor is asked besides attempts."""

    LOAD = "load"
    PROBE = "probe"


class ChannelReports:
    """Ends that no executor answered."""

    __slots__ = ()

    executor: int
    listener: ChannelListener

    def report_unanswered(self, key: AttemptKey, outcome: Outcome) -> None:
        """Report an attempt that ended without an answer."""
        self.listener.attempt_ended(self.executor, key, outcome, 0, 0, NO_LOAD, "", b"")

    def report_reset(self, questions: Iterable[tuple[int, QuestionKind]]) -> None:
        """Report that the connection broke under these questions, by their ids."""
        for id, kind in questions:
            if kind is QuestionKind.LOAD:
                self.listener.load_request_answered(self.executor, id, Outcome.RESET, 0)
            else:
                self.listener.probe_answered(self.executor, id, Outcome.RESET, NO_LOAD)


class SocketChannelReports(ChannelReports):
    """The same for a channel on sockets: its outages in the log, and the end of waiting for a connection."""

    __slots__ = ()

    stable: str
    address: str
    port: int
    outage_logged: bool
    logged_reasons: set[EndReason]

    def log_down(self, reason: EndReason, detail: str = "") -> None:
        """Write one line for each cause of an executor's outages; the counts say how often."""
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
        """Write the end of an outage that was logged."""
        if self.outage_logged:
            self.log.info("executor channel up", executor=self.stable)
            self.outage_logged = False

    def send_waiting(
        self,
        waiting: dict[AttemptKey, object],
        writable: Callable[[], bool],
        hand_over: Callable[[float], None],
    ) -> int:
        """Hand over what has waited, if it may still go; return how many may not.

        Meanwhile the client may have left, its time be over, the executor drain, a deduplication window have
        ended, or the budget of an executor in slow start be used."""
        expired = 0
        while waiting and writable():
            key = next(iter(waiting))
            left_ms = self.listener.left_ms(key)
            if left_ms > 0.0:
                hand_over(left_ms)
            else:
                expired += 1
                self.cancel_attempt(key)  # no byte of it left: UNSENT
                self.report_unanswered(key, Outcome.UNSENT)
        return expired
