"""One client connection: reads lines and writes exactly one final answer to each request.

`client_listener.py` creates it for each accepted connection. An invalid line is answered with an error at
once. `connection_state.py` decides when the connection may be read and closed; this module carries that out
on the transport, and passes valid requests to the dispatcher through the listener.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from twisted.internet import defer, protocol
from twisted.python.failure import Failure

from ..gateway.answers import Answer, Completion
from ..gateway.pending_requests import PendingAnswer
from ..platform import client_answers
from ..platform.client_answers import ClientLineError, ErrorCode
from ..platform.client_codec import LineBuffer
from ..platform.opaque_request import OpaqueRequest
from ..sockets.pending_input import read_pending
from .buffer_pool import Use
from .connection_state import OPEN_REQUESTS_BOUND, ClientConnectionState, CloseReason, NumberUse, Phase

if TYPE_CHECKING:
    from .client_listener import ClientListener

REQUEST_BYTES = 4000  # an open request with its attempts and timers, without its body
LINES_PER_TURN = 8  # lines read from one connection before the other connections are served
ABORT_TIMEOUT_MS = 2000.0  # a closed connection whose client does not read the last answers is aborted
LINGER_BYTES = 1 << 20  # bytes read and discarded from a client whose input ended its connection
BUFFER_BYTES = 1 << 18  # bytes of answers buffered for a client before it counts as not reading
LINGERING_REASONS = frozenset(
    {CloseReason.UNREADABLE, CloseReason.TOO_MANY_ERRORS, CloseReason.PARTIAL_LINE, CloseReason.NO_MEMORY}
)  # the client may still be sending


class ClientConnectionProtocol(protocol.Protocol):
    """One client's connection. As a push producer it is notified when the client stops reading."""

    def __init__(self, listener: ClientListener) -> None:
        """Start in the phase READING, without requests; `listener` is the factory that created it."""
        self.listener = listener
        self.lines = LineBuffer()
        self.state = ClientConnectionState(listener.now())
        self.answers: dict[int, PendingAnswer] = {}  # by request number
        self.account = listener.buffers.account()
        self.request_bytes: dict[int, int] = {}  # what an open request is charged, by its number
        self.paused = False  # not read from until the other connections have been served
        self.next_read = None  # the delayed call that continues reading
        self.abort_call = None  # the delayed call that aborts it, while it is closing
        self.discarded_bytes = 0  # bytes received after the decision to end the connection

    # -- transport events

    def connectionMade(self) -> None:
        """Register as the transport's producer and with the listener."""
        getattr(self.transport, "setTcpNoDelay", lambda _: None)(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.transport.read_gate = self.listener.read_gate
        self.transport.on_buffered = self._answers_buffered
        self.transport.holds_input = False
        self.transport.registerProducer(self, True)
        self.listener.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Buffer the bytes and read a few lines, unless a later turn is already scheduled to read them."""
        if not self.state.reading:
            self._discard(len(data))
            return
        self.lines.feed(data)
        if self.next_read is None:
            self._read_lines()
        self._charge_received()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Cancel the open requests: the client no longer waits for them."""
        self.state.connection_lost()
        if self.state.used_numbers.forgotten_spans:
            self.listener.counts["forgotten number spans"] += self.state.used_numbers.forgotten_spans
        for answer in list(self.answers.values()):
            answer.cancel()
        if self.next_read is not None:
            self.next_read.cancel()
            self.next_read = None
        if self.abort_call is not None:  # it would keep this object, and what it holds, until it is due
            self.abort_call.cancel()
            self.abort_call = None
        self.lines.clear()
        self.account.close()
        self.listener.connection_closed(self)

    def pauseProducing(self) -> None:
        """Note that the client does not read its answers.

        The connection is still read from: otherwise its close and an `interrupt` would stay unread, and
        further attempts would start for a client that no longer waits.
        """
        self.state.answers_unread(self.listener.now())

    def resumeProducing(self) -> None:
        """Note that the client reads its answers again."""
        self.state.answers_read()

    def stopProducing(self) -> None:
        """Note that the transport takes no more answers."""
        self.state.answers_unread(self.listener.now())

    def _answers_buffered(self, count: int, blocked: bool) -> None:
        """Note how many bytes of answers the system has not taken, and whether it was asked to take them."""
        self.account.set(Use.ANSWERS, count)
        self.state.answers_buffered(self.listener.now(), count, blocked)

    # -- reading

    def _discard(self, count: int) -> None:
        """Discard bytes received after the decision to end the connection.

        Closing a socket with unread bytes resets the connection, and the reset may overtake answers.
        """
        self.discarded_bytes += count
        if self.discarded_bytes > LINGER_BYTES and self.state.phase is Phase.CLOSING:
            self._abort()

    def _read_on(self) -> None:
        self._read_lines()
        self._charge_received()

    def _charge_received(self) -> None:
        held = len(self.lines)
        self.account.set(Use.RECEIVED, held)
        self.transport.holds_input = held > 0

    def _read_lines(self) -> None:
        """Read a few lines; the rest waits until the other connections have been served.

        None is read if the client has closed behind them: it has left, however much it wrote before.
        """
        self.next_read = None
        if self.client_has_left() and self.state.reading:
            self._end_for_departed_client()
            return
        for _ in range(LINES_PER_TURN):
            if not self.state.reading:
                return
            try:
                line = self.lines.next_line()
                if line is None:
                    self._all_lines_read()
                    return
                self._read_line(line)
            except ClientLineError as error:
                self.reject_line(error)
        if self.state.reading:
            self.paused = True
            self.transport.pauseProducing()
            self.next_read = self.listener.clock.callLater(0, self._read_on)

    def client_has_left(self) -> bool:
        """Return whether the client has closed, also if lines from before that are unread."""
        has_closed = getattr(self.transport, "peer_has_closed", None)
        return has_closed is not None and has_closed()

    def _end_for_departed_client(self) -> None:
        """Take back what is open and discard the rest; nobody reads an answer."""
        self.listener.counts[CloseReason.CLIENT_LEFT] += 1
        self.state.end(CloseReason.CLIENT_LEFT)
        self.lines.clear()
        for answer in list(self.answers.values()):
            answer.cancel()
        self._abort()

    def _all_lines_read(self) -> None:
        self.state.input_read(self.listener.now(), self.lines.has_partial_line())
        if self.paused:
            self.transport.resumeProducing()
        self.paused = False
        self.close_if_drained()

    def _read_line(self, line: bytes) -> None:
        if not line:
            return  # an empty line is no message; it counts neither as activity nor as an error
        reason = self.state.line_received(self.listener.now())
        if reason is not None:
            self.end(reason)
        else:
            self.listener.reader.read(line, self, self._rejects_for_memory)

    # -- messages of the client (platform.client_codec.ClientMessageHandler)

    def number_received(self, number: int) -> None:
        """Record a request's number. Raises ClientLineError if it was used before.

        The error is sent without a number: with this one it would be a second answer to the earlier request.
        """
        use = self.state.number_received(number)
        self._charge_numbers()
        if use is not NumberUse.UNUSED:
            self._refuse_number(use)

    def _charge_numbers(self) -> None:
        """Charge what remembers the used numbers; forget the older ones if that is too much."""
        numbers = self.state.used_numbers
        size = numbers.size_bytes()
        if size == self.account.held(Use.NUMBERS):
            return
        self.account.set(Use.NUMBERS, size)
        if not self.account.fits(0) and numbers.forget_older():
            self.account.set(Use.NUMBERS, numbers.size_bytes())

    def _refuse_number(self, use: NumberUse) -> NoReturn:
        self.listener.counts[use] += 1
        text = "an id that was used on this connection"
        raise ClientLineError(None, ErrorCode.INVALID_REQUEST, text, ends_connection=True)

    def _rejects_for_memory(self, number: int, body_bytes: int) -> bool:
        """Reject a request that can't be held now, and return whether it was; it may come again later."""
        if self.account.fits(REQUEST_BYTES + body_bytes):
            return False
        self.listener.rejected_for_memory()
        self.transport.write(client_answers.rejection_line(number, self.listener.busy_retry_ms))
        return True

    def request_received(
        self,
        number: int,
        request: OpaqueRequest,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        cost_ms: float,
        memory_mb: float,
        concurrency: int,
        load_ms: float,
    ) -> None:
        """Pass a request to the dispatcher, or reject it at once. Raises ClientLineError."""
        listener = self.listener
        self._check_request(number, request.request_id)
        retry_ms = self._rejection_retry_ms(tenant)
        if retry_ms is not None:
            listener.counts["rejected before admission"] += 1
            self.transport.write(client_answers.rejection_line(number, retry_ms))
            return
        charge = REQUEST_BYTES + len(request)
        answer = listener.submit(
            request, request_class, tenant, remaining_ms, cost_ms, memory_mb, concurrency, load_ms
        )
        self.state.request_opened(number, request.request_id)
        self.request_bytes[number] = charge
        self.account.add(Use.REQUESTS, charge)
        answer.client_has_left = self.client_has_left
        self.answers[number] = answer
        listener.open_requests[request.request_id] = self, number
        answer.addCallbacks(
            self._answer_received,
            self._answer_failed,
            callbackArgs=(number,),
            errbackArgs=(number,),
        )

    def _check_request(self, number: int, request_id: bytes) -> None:
        if len(self.state.open_requests) >= OPEN_REQUESTS_BOUND:
            text = f"over {OPEN_REQUESTS_BOUND} requests open on one connection"
            raise ClientLineError(number, ErrorCode.INVALID_REQUEST, text)
        if request_id in self.listener.open_requests:
            # a duplicate must not affect another client's request; a duplicate of one on this same
            # connection is an error after which the connection ends
            connection, _ = self.listener.open_requests[request_id]
            raise ClientLineError(
                number, ErrorCode.INVALID_PARAMS, "call: open already", ends_connection=connection is self
            )
        if request_id in self.listener.recent_ids:
            self.listener.counts["ids sent before"] += 1
            raise ClientLineError(number, ErrorCode.INVALID_PARAMS, "call: sent before")

    def _rejection_retry_ms(self, tenant: int) -> float | None:
        """Return the Retry-After time of a request that is rejected now, in ms; None to admit it."""
        if self.state.unread_since_ms is not None:
            return self.listener.busy_retry_ms  # no further work for a client that does not read answers
        return self.listener.rejection_retry_ms(tenant)

    def cancel_received(self, number: int | None, request_id: bytes | None) -> None:
        """Cancel one of this connection's own open requests; ignore any other number or id."""
        if request_id is not None:
            connection, number = self.listener.open_requests.get(request_id, (None, None))
            if connection is not self:
                return
        if number in self.answers:
            self.listener.counts["cancelled"] += 1
            self.answers[number].cancel()

    def check_received(self, number: int) -> None:
        """Answer whether this front end serves. Raises ClientLineError if a request is open under the number.

        Its client would take the answer for that of the request.
        """
        if number in self.state.open_requests:
            self._refuse_number(NumberUse.OPEN)
        self.transport.write(client_answers.check_line(number, self.listener.is_serving()))

    # -- answers

    def _request_ended(self, number: int) -> None:
        answer = self.answers.pop(number)
        self.account.add(Use.REQUESTS, -self.request_bytes.pop(number))
        request_id = self.state.request_ended(number, self.listener.now())
        del self.listener.open_requests[request_id]
        if answer.was_sent:
            self.listener.recent_ids.add(request_id)

    def _answer_received(self, answer: Answer, number: int) -> None:
        self._request_ended(number)
        if self.state.phase is Phase.CLOSED:
            return
        if answer.completion == Completion.SUCCEEDED:
            self.transport.write(client_answers.success_line(number, answer.body))
        elif answer.completion == Completion.REJECTED:
            self.transport.write(client_answers.rejection_line(number, answer.retry_ms))
        else:
            self.transport.write(client_answers.failure_line(number))
        self._close_if_settled()
        self.close_if_drained()

    def _answer_failed(self, failure: Failure, number: int) -> None:
        self._request_ended(number)
        if not failure.check(defer.CancelledError) and self.state.phase is not Phase.CLOSED:
            self.listener.log.error("answer failed", error=failure.getErrorMessage())
            self.transport.write(client_answers.failure_line(number))
        self._close_if_settled()
        self.close_if_drained()

    def reject_line(self, error: ClientLineError) -> None:
        """Answer an invalid line with its error; end the connection after a fatal error or too many."""
        reason = self.state.error_found(error.ends_connection)
        self.listener.line_rejected(error)
        self.transport.write(client_answers.error_line(error))
        if reason is not None:
            self.end(reason)

    # -- the end

    def close_if_drained(self) -> None:
        """Close if the front end drains and no open request and no unread line is left on this connection.

        A line that has begun gets its time: its client may have written all of it before the drain.
        """
        if not self.listener.draining or self.answers:
            return
        if self.next_read is not None or self.lines.has_complete_line():
            return
        if not (self.has_partial_line() and self.listener.awaits_partial_lines):
            self.end(CloseReason.DRAINING)

    def has_partial_line(self) -> bool:
        """Whether part of a further line was received."""
        return self.state.reading and self.lines.has_partial_line()

    def stalled_byte_ms(self, now: float) -> float:
        """Return how much it holds that does not move on, in bytes times ms."""
        partial = self.account.held(Use.RECEIVED) if self.state.reading else 0
        return self.state.stalled_byte_ms(now, partial, self.account.held(Use.ANSWERS))

    def end_for_memory(self) -> None:
        """Give back at once what is held for a client that does not move on."""
        reads = not self.account.held(Use.ANSWERS)
        if reads and self.state.reading:
            error = ClientLineError(None, ErrorCode.REJECTED, CloseReason.NO_MEMORY)
            self.transport.write(client_answers.error_line(error))
        self.end(CloseReason.NO_MEMORY)
        if not reads:
            self._abort()

    def may_be_evicted(self, now: float) -> bool:
        """Whether the connection may be closed to free capacity for another one."""
        return self.next_read is None and self.state.may_be_evicted(now)

    def read_pending_bytes(self) -> None:
        """Read the bytes in the socket's buffer."""
        read_pending(self.transport)

    def timeout_reason(self, now: float) -> CloseReason | None:
        """Return the timeout that has expired on this connection, or None."""
        return self.state.timeout_reason(now)

    def ages_ms(self, now: float) -> dict[str, float | None]:
        """Return what a timeout is judged by, for the log, in ms; None for what is not under way."""
        state = self.state
        ages = {
            "silence_ms": state.last_activity_ms,
            "partial_line_ms": state.partial_line_since_ms,
            "unread_ms": state.unread_since_ms,
        }
        return {name: None if since is None else round(now - since) for name, since in ages.items()}

    def end(self, reason: CloseReason) -> None:
        """Stop reading requests, have the open ones answered at once, and close when that is written."""
        if not self.state.reading:
            return
        self.listener.counts[reason] += 1
        if self.paused:
            self.transport.resumeProducing()  # to notice the client's close; other input is discarded
        abandons = self.state.end(reason)
        self.lines.clear()  # nothing of it is read any more, and the connection may stay for a while
        self.account.set(Use.RECEIVED, 0)
        if abandons:
            for answer in list(self.answers.values()):
                answer.abandon()
        self._close_if_settled()

    def _close_if_settled(self) -> None:
        if not self.state.may_close():
            return
        self.state.close(self.listener.now())
        self.transport.unregisterProducer()
        if self.state.reason in LINGERING_REASONS:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self.abort_call = self.listener.clock.callLater(ABORT_TIMEOUT_MS / 1e3, self._abort_overdue)

    def _abort_overdue(self) -> None:
        self.abort_call = None
        self._abort()

    def _abort(self) -> None:
        if self in self.listener.connections:
            self.transport.abortConnection()
