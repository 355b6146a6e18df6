"""One connection to an executor on the platform's protocol, with what is queued or in flight on it.

`executor_pool.py` dials it, chooses it for attempts and drops it. Each connection keeps its own ledger of
what its end proves about each attempt (`gateway/attempt_ledger.py`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import protocol
from twisted.python.failure import Failure

from ..gateway.attempt_ledger import AttemptKey, AttemptLedger
from ..gateway.channel_base import NO_LOAD, QuestionKind
from ..gateway.connection_end_reasons import EndReason, failure_reason
from ..platform import executor_codec
from ..platform.errors import ProtocolError
from ..platform.opaque_request import OpaqueRequest
from ..routing.types import Outcome, Warmth
from ..sockets.pending_input import READS_BOUND, read_pending
from .buffer_pool import Use

if TYPE_CHECKING:
    from .connection_set import ConnectionSet

WRITE_BUFFER_BYTES = 1 << 16  # bytes that wait to be sent, at which nothing more is written
PARTIAL_ANSWER_TIMEOUT_MS = 300.0  # a connection is dropped after this without a byte of an incomplete answer
ANSWER_TIMEOUT_MS = 2000.0  # for one answer, from its first byte to its end
RECHECK_DELAY_MS = 20.0  # delay before an answer that seems stuck is checked again
ABANDONED_IDS_BOUND = 64  # a connection with so many abandoned ids takes nothing new


class PendingQuestion(NamedTuple):
    """A load request or a probe that is in flight; `id` is the dispatcher's id of it."""

    id: int
    question: QuestionKind


class ExecutorConnectionProtocol(protocol.Protocol):
    """One connection, from the dial on. As a push producer it is notified when its buffer is full."""

    def __init__(self, pool: ConnectionSet, now: float) -> None:
        """Start with nothing in flight; the pool dials."""
        self.pool = pool
        self.number = pool.budget.next_connection_number()
        self.ledger = AttemptLedger(pool.streams)
        self.reader = executor_codec.ExecutorFrameReader(self)
        self.waiting: dict[AttemptKey, OpaqueRequest] = {}  # not written to the transport yet
        self.open_attempts: dict[bytes, AttemptKey] = {}  # waiting or in flight, by request id
        self.questions: dict[bytes, PendingQuestion] = {}  # in flight, by the id on the wire
        self.abandoned_ids: dict[bytes, None] = {}  # ordered; not to be used on this connection again
        self.account = pool.budget.buffers.account()
        self.up = False
        self.paused = False  # the transport's buffer is full
        self.retiring = False  # takes nothing new, and ends when nothing is in flight on it any more
        self.dropped = False
        self.clogged_at_last_sweep = False  # the last sweep found the buffer full for too long
        self.connect_attempt = None
        self.partial_answer_call = None
        self.partial_answer_since_ms: float | None = None  # first byte of the answer that is not complete yet
        self.up_ms = now
        self.received_ms = now  # time of the last byte received
        self.used_ms = now
        self.paused_ms = now

    # -- transport events

    def connectionMade(self) -> None:
        """Write the attempts that have waited for the connection."""
        if self.dropped:
            self.transport.abortConnection()
            return
        getattr(self.transport, "setTcpNoDelay", lambda _: None)(True)
        self.transport.bufferSize = WRITE_BUFFER_BYTES
        self.transport.read_gate = self.pool.budget.read_gate
        self.transport.on_buffered = self._frames_buffered
        self.transport.registerProducer(self, True)
        self.up = True
        self.connect_attempt = None
        now = self.pool.now()
        self.up_ms = now
        self.received_ms = now
        self.used_ms = now
        self.pool.dial_not_before_ms = 0.0
        self.hand_over_waiting()

    def dataReceived(self, data: bytes) -> None:
        """Read answers; drop the connection if one can't be decoded."""
        if self.dropped:
            return
        pool = self.pool
        self.received_ms = pool.now()
        pool.backoff.succeeded()
        try:
            self.reader.feed(data)
        except ProtocolError:
            pool.budget.counts["unreadable answers"] += 1
            pool.drop(self, EndReason.UNREADABLE)
            return
        if self.dropped:
            return
        self.account.set(Use.PARTIAL_ANSWERS, len(self.reader.buffered))
        self._restart_partial_answer_timer()
        self.end_if_retired()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection, unless this side ended it."""
        if not self.dropped:
            self.pool.connection_lost(self, failure_reason(reason))

    def pauseProducing(self) -> None:
        """Note that the transport's buffer is full."""
        self.paused = True
        self.paused_ms = self.pool.now()

    def resumeProducing(self) -> None:
        """Write the attempts that have waited for buffer space."""
        self.paused = False
        self.clogged_at_last_sweep = False
        self.hand_over_waiting()

    def stopProducing(self) -> None:
        """Note that the transport accepts no more data."""
        self.paused = True

    def _frames_buffered(self, count: int, blocked: bool) -> None:
        """Note how many bytes of frames the system has not taken yet."""
        if not self.dropped:
            self.account.set(Use.FRAMES, count)

    def _restart_partial_answer_timer(self) -> None:
        """Wait for the next byte of an incomplete answer; past its bound, no byte postpones its end."""
        if not self.reader.has_partial_frame():
            self.partial_answer_since_ms = None
            self.cancel_partial_answer_timer()
            return
        if self.partial_answer_since_ms is None:
            self.partial_answer_since_ms = self.received_ms
        remaining_ms = self.partial_answer_since_ms + ANSWER_TIMEOUT_MS - self.received_ms
        if remaining_ms <= 0.0 and self.partial_answer_call is not None:
            return
        self.cancel_partial_answer_timer()
        delay_s = max(0.0, min(PARTIAL_ANSWER_TIMEOUT_MS, remaining_ms)) / 1e3
        self.partial_answer_call = self.pool.clock.callLater(delay_s, self._partial_answer_timeout, False)

    def cancel_partial_answer_timer(self) -> None:
        """Cancel the timer of an incomplete answer."""
        if self.partial_answer_call is not None:
            self.partial_answer_call.cancel()
            self.partial_answer_call = None

    def _partial_answer_timeout(self, rechecked: bool) -> None:
        """Drop the connection at the second check.

        After a pause of this process the rest of the answer may still be unread in the socket at the first,
        and at the second too if the wait between them was interrupted; so it is read now.
        """
        self.partial_answer_call = None
        if not rechecked:
            delay_s = RECHECK_DELAY_MS / 1e3
            self.partial_answer_call = self.pool.clock.callLater(delay_s, self._partial_answer_timeout, True)
            return
        since_ms = self.partial_answer_since_ms
        read_pending(self.transport, READS_BOUND)
        if self.dropped or self.partial_answer_since_ms != since_ms:
            return  # it is complete, or its connection has ended
        came_in_time = self.pool.now() - since_ms < ANSWER_TIMEOUT_MS
        if self.partial_answer_call is not None and came_in_time:
            return
        self.pool.budget.counts["partial answers"] += 1
        self.pool.drop(self, EndReason.HALF_ANSWER)

    # -- answers (platform.executor_codec.ExecutorAnswerHandler)

    def answer_received(
        self, id: bytes, outcome: Outcome, warmth: Warmth, queue_length: int, replicas: int, body: bytes
    ) -> None:
        """Report the end of the attempt or load request that is in flight under this id on this connection.

        A late answer to one attempt must never end another: an answer under any other id is counted and
        dropped.
        """
        pool = self.pool
        self.partial_answer_since_ms = None
        key = self.open_attempts.get(id)
        if key is not None and self.ledger.ended(key):
            del self.open_attempts[id]
            del pool.locations[key]
            self.used_ms = self.received_ms
            pool.listener.attempt_ended(pool.executor, key, outcome, warmth, queue_length, NO_LOAD, "", body)
            return
        pending = self.questions.pop(id, None)
        if pending is not None and pending.question is QuestionKind.LOAD:
            pool.listener.load_request_answered(pool.executor, pending.id, outcome, replicas)
        else:
            pool.budget.counts["late answers" if id in self.abandoned_ids else "unmatched answers"] += 1

    def probe_answer_received(self, id: bytes, healthy: bool) -> None:
        """Report the end of a probe."""
        self.partial_answer_since_ms = None
        pending = self.questions.pop(id, None)
        if pending is not None:
            outcome = Outcome.SUCCEEDED if healthy else Outcome.ERROR
            self.pool.listener.probe_answered(self.pool.executor, pending.id, outcome, NO_LOAD)

    # -- calls of the pool

    def idle_rank(self) -> tuple[bool, int, float]:
        """Return the rank among connections without an open attempt; the lowest is best for the next."""
        return not self.up, len(self.questions), -self.received_ms

    def shared_rank(self) -> tuple[bool, bool, int]:
        """Return the rank among connections that are in use; the lowest is best for the next."""
        return not self.up, self.reader.has_partial_frame(), len(self.open_attempts)

    def in_use(self) -> bool:
        """Whether a further attempt has to share: with an open one, or with an answer that is under way."""
        return bool(self.open_attempts) or self.reader.has_partial_frame()

    def is_resting(self) -> bool:
        """Whether it is up and nothing is in flight on it, in either direction."""
        return self.up and not self.paused and not self.in_use() and not self.questions

    def can_take(self, request: OpaqueRequest) -> bool:
        """Whether no answer to another attempt under the request's id can come on this connection.

        That includes a further answer to an attempt that has been answered."""
        return self.number not in request.written_to and not self.is_id_taken(request.request_id)

    def is_id_taken(self, id: bytes) -> bool:
        """Whether this id is in use, or was abandoned, on this connection."""
        return id in self.open_attempts or id in self.abandoned_ids or id in self.questions

    def add_attempt(self, key: AttemptKey, request: OpaqueRequest, remaining_ms: float) -> None:
        """Add an attempt; it is written now if the connection is ready and no other attempt waits."""
        self.ledger.wait(key)
        self.waiting[key] = request
        self.open_attempts[request.request_id] = key
        if self.up and not self.paused and len(self.waiting) == 1:
            self._hand_over(remaining_ms)

    def _hand_over(self, remaining_ms: float) -> None:
        """Write the attempt that has waited longest."""
        key = self.ledger.hand_over()
        self.used_ms = self.pool.now()
        request = self.waiting.pop(key)
        request.written_to += (self.number,)
        self.transport.write(executor_codec.encode_send(request, remaining_ms))

    def abandon_id(self, id: bytes) -> None:
        """Exclude an id from further use on this connection.

        A late answer would be taken for the answer to a later attempt with the same id.
        """
        self.abandoned_ids[id] = None
        self.retiring = self.retiring or len(self.abandoned_ids) >= ABANDONED_IDS_BOUND

    def end_if_retired(self) -> None:
        """End a retiring connection once nothing is in flight on it."""
        if self.retiring and not self.open_attempts and not self.questions:
            self.pool.drop(self, EndReason.SPENT)

    def hand_over_waiting(self) -> None:
        """Write the waiting attempts that may still be sent."""
        expired = self.pool.send_waiting(self.waiting, self._is_writable, self._hand_over)
        if expired:
            self.pool.budget.counts["expired before hand-over"] += expired

    def _is_writable(self) -> bool:
        return self.up and not self.paused and not self.dropped
