"""What every link to an executor tells its host when there is no answer, written once for all links.

`gateway/executor_channel.py`, `node/executor_pool.py` and `emulator/executor_channel.py` build on it. Only links call it; the host listens.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from ..routing.types import Outcome
from ..wire.codec import Load
from .attempt_ledger import AttemptKey
from .connection_end_reasons import EndReason

CLOGGED_MS = 2000.0  # a connection that takes no byte for so long is broken off
BUFFER_BYTES = 1 << 18  # bytes handed to a transport before it asks us to pause
NO_LOAD = Load()  # of what no executor told


class ChannelListener(Protocol):
    """What a link tells its host. Times in ms."""

    def attempt_ended(
        self,
        executor: int,
        key: AttemptKey,
        outcome: Outcome,
        warmth: int,
        crowd: int,
        load: Load,
        content_type: str,
        body: bytes,
    ) -> None: ...

    def left_ms(self, key: AttemptKey) -> float:
        """Of a attempt that waited here: the client's time left, 0 if it must not go out any more."""
        ...

    def load_request_answered(self, executor: int, order: int, outcome: Outcome, replicas: int) -> None: ...

    def probe_answered(self, executor: int, probe: int, outcome: Outcome, load: Load) -> None: ...


class QuestionKind(Enum):
    """What else than a attempt an executor is asked."""

    LOAD = "load"
    PROBE = "probe"


class ChannelReports:
    """Ends that no executor answered."""

    __slots__ = ()

    executor: int
    listener: ChannelListener

    def report_unanswered(self, key: AttemptKey, outcome: Outcome) -> None:
        """A attempt ended without an answer."""
        self.listener.attempt_ended(self.executor, key, outcome, 0, 0, NO_LOAD, "", b"")

    def report_reset(self, questions: Iterable[tuple[int, QuestionKind]]) -> None:
        """The connection broke under these questions, by their ids."""
        for id, question in questions:
            if question is QuestionKind.LOAD:
                self.listener.load_request_answered(self.executor, id, Outcome.RESET, 0)
            else:
                self.listener.probe_answered(self.executor, id, Outcome.RESET, NO_LOAD)


class SocketChannelReports(ChannelReports):
    """The same for a link on sockets: its outages in the log, and the end of waiting for a connection."""

    __slots__ = ()

    stable: str
    address: str
    port: int
    said_down: bool
    said_reasons: set[EndReason]

    def log_down(self, reason: EndReason, detail: str = "") -> None:
        """One line for each cause of an executor's outages; how often stands in the counts."""
        if not self.said_down and reason not in self.said_reasons:
            self.said_reasons.add(reason)
            more = {"detail": detail} if detail else {}
            self.log.warning(
                "link down",
                executor=self.stable,
                address=self.address,
                port=self.port,
                reason=reason.value,
                **more,
            )
            self.said_down = True

    def log_up(self) -> None:
        """The end of an outage that was logged."""
        if self.said_down:
            self.log.info("link up", executor=self.stable)
            self.said_down = False

    def drain(
        self,
        waiting: dict[AttemptKey, object],
        writable: Callable[[], bool],
        hand_over: Callable[[float], None],
    ) -> int:
        """What has waited goes out if it still may; how many may not. Danger: meanwhile the client may have
        left, its time be over, the executor drain, a mark against repeats have run out, a cold one's budget
        be used."""
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
