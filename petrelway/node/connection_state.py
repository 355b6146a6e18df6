"""State machine of one client connection, without I/O: its open requests, and when it may be closed.

    READING --end--> SETTLING --no open request--> CLOSING --the connection is lost--> CLOSED

A connection is closed only when no request is open on it. When an error ends it, no further request is read,
the open requests get their final answer at once, and then it is closed. Driven by `client_connection.py`.
Times in ms.
"""

from __future__ import annotations

from enum import Enum, StrEnum

from .used_numbers import UsedNumbers

OPEN_REQUESTS_BOUND = 32  # open requests on one connection
ERRORS_BOUND = 16  # rejected lines at which a connection is closed
UNREAD_LINES_BOUND = 256  # lines from a client that does not read its answers; with more it is closed
SILENCE_TIMEOUT_MS = 2000.0  # for a connection that sent no line yet
PARTIAL_LINE_TIMEOUT_MS = 2000.0  # for one line, from its first byte to its end
IDLE_TIMEOUT_MS = 5000.0  # for a connection without an open request; the clients' own timeout is shorter
UNREAD_TIMEOUT_MS = 2000.0  # for a connection whose client does not read its answers
STALL_MIN_AGE_MS = 100.0  # a line or an answer that began within this time moves on
EVICTION_MIN_AGE_MS = 100.0  # a connection active within this time is not closed to free capacity
PARTIAL_LINE_EVICTION_AGE_MS = 1000.0  # nor one whose line began within this time: TCP sends lost bytes again


class Phase(Enum):
    """Phases of a connection, from reading to closed."""

    READING = "reading"
    SETTLING = "settling"  # no further request is read; open requests get their answer at once
    CLOSING = "closing"  # no request is open; the written answers are flushed
    CLOSED = "closed"


class CloseReason(StrEnum):
    """Why this side closes a connection; counted under these names."""

    UNREADABLE = "unreadable input"
    TOO_MANY_ERRORS = "too many rejected lines"
    PARTIAL_LINE = "half a line for too long"  # also sent to clients, so the text must not change
    SILENT = "no line received"
    IDLE = "idle"
    ANSWERS_UNREAD = "answers not read"
    NO_CAPACITY = "no capacity for more connections"
    DRAINING = "front end draining"
    STOPPED = "front end stopped"
    NO_MEMORY = "no memory for what it holds"
    CLIENT_LEFT = "client left behind unread lines"


class NumberUse(StrEnum):
    """What is known about the number of a request that has just been read; counted under these names."""

    UNUSED = "unused number"
    OPEN = "number of an open request"
    USED = "number used before"


class ClientConnectionState:
    """The state of one connection, and what may be done with it now."""

    def __init__(self, now: float) -> None:
        """Start in the phase READING."""
        self.phase = Phase.READING
        self.reason: CloseReason | None = None
        self.open_requests: dict[int, bytes] = {}  # requests without a final answer: number -> request id
        self.used_numbers = UsedNumbers()
        self.errors = 0
        self.received_line = False  # whether a complete line that is not empty was received
        self.last_activity_ms = now  # time of the last complete line or answer, or of the start
        self.partial_line_since_ms: float | None = None  # first byte of the line that is not complete yet
        self.unread_since_ms: float | None = None  # time since which the client does not read answers
        self.buffered_since_ms: float | None = None  # time since which the system does not take all answers
        self.closing_since_ms = now  # time since which the phase is CLOSING
        self.unread_lines = 0  # lines received while answers are not read

    # -- events

    def line_received(self, now: float) -> CloseReason | None:
        """Note a complete line that is not empty; return the reason if the connection has to end for it."""
        self.last_activity_ms = now
        self.partial_line_since_ms = None
        self.received_line = True
        if self.unread_since_ms is not None:
            self.unread_lines += 1
            if self.unread_lines > UNREAD_LINES_BOUND:
                return CloseReason.ANSWERS_UNREAD
        return None

    def input_read(self, now: float, has_partial_line: bool) -> None:
        """Note that all complete lines were read, and whether part of a further line is buffered."""
        if not has_partial_line:
            self.partial_line_since_ms = None
        elif self.partial_line_since_ms is None:
            self.partial_line_since_ms = now

    def error_found(self, ends_connection: bool) -> CloseReason | None:
        """Note a rejected line; return the reason if the connection has to end for it.

        `ends_connection`: the messages that follow could not be delimited.
        """
        self.errors += 1
        if ends_connection:
            return CloseReason.UNREADABLE
        return CloseReason.TOO_MANY_ERRORS if self.errors >= ERRORS_BOUND else None

    def number_received(self, number: int) -> NumberUse:
        """Note the number of a request, valid or not; return whether it was used before.

        The number of an open request is always known. Any other one is known as far as memory allows, and
        one that was forgotten counts as unused.
        """
        if number in self.open_requests:
            return NumberUse.OPEN
        return NumberUse.UNUSED if self.used_numbers.add(number) else NumberUse.USED

    def request_opened(self, number: int, request_id: bytes) -> None:
        """Note an admitted request."""
        assert self.phase is Phase.READING and number not in self.open_requests
        self.open_requests[number] = request_id

    def request_ended(self, number: int, now: float) -> bytes:
        """Note that a request was answered or cancelled; return its id."""
        self.last_activity_ms = now
        return self.open_requests.pop(number)

    def answers_unread(self, now: float) -> None:
        """Note that the client has stopped reading its answers."""
        if self.unread_since_ms is None:
            self.unread_since_ms = now
            self.unread_lines = 0

    def answers_read(self) -> None:
        """Note that the client reads its answers again."""
        self.unread_since_ms = None

    def answers_buffered(self, now: float, count: int, blocked: bool) -> None:
        """Note how many bytes of answers the system has not taken; `blocked`: it was asked to take them.

        Answers that wait for this process to write them, in a long turn, are no sign of a client.
        """
        if not count:
            self.buffered_since_ms = None
        elif blocked and self.buffered_since_ms is None:
            self.buffered_since_ms = now

    def end(self, reason: CloseReason) -> bool:
        """Begin to close; return whether open requests have to be abandoned first."""
        if self.phase is not Phase.READING:
            return False
        self.reason = reason
        self.phase = Phase.SETTLING
        return bool(self.open_requests)

    def close(self, now: float) -> None:
        """Note that the last answer has been written."""
        assert self.may_close(), self.reason
        self.closing_since_ms = now
        self.phase = Phase.CLOSING

    def connection_lost(self) -> None:
        """Note the end of the connection."""
        self.phase = Phase.CLOSED

    # -- queries

    @property
    def reading(self) -> bool:
        """Whether further requests are read."""
        return self.phase is Phase.READING

    def may_close(self) -> bool:
        """Whether the connection is to be closed and no request is open on it."""
        return self.phase is Phase.SETTLING and not self.open_requests

    def timeout_reason(self, now: float) -> CloseReason | None:
        """Return the timeout that has expired, or None.

        While a request is open, only unread answers time out. A line that stays partial meanwhile admits no
        further request, so the connection ends at the latest when the open ones have been answered.
        """
        if not self.reading:
            return None
        if self.unread_since_ms is not None and now - self.unread_since_ms > UNREAD_TIMEOUT_MS:
            return CloseReason.ANSWERS_UNREAD
        if self.open_requests:
            return None
        silence_ms = now - self.last_activity_ms
        bound_ms = IDLE_TIMEOUT_MS if self.received_line else SILENCE_TIMEOUT_MS
        if self.partial_line_since_ms is not None:
            line_ms = now - self.partial_line_since_ms
            # the second condition ends a client that begins lines again and again and sends only empty ones
            expired = line_ms > PARTIAL_LINE_TIMEOUT_MS or silence_ms > bound_ms + PARTIAL_LINE_TIMEOUT_MS
            return CloseReason.PARTIAL_LINE if expired else None
        if silence_ms <= bound_ms:
            return None
        return CloseReason.IDLE if self.received_line else CloseReason.SILENT

    def stalled_byte_ms(self, now: float, partial_line_bytes: int, answer_bytes: int) -> float:
        """Return bytes times ms of a partial line and of answers that the client does not read.

        What came within STALL_MIN_AGE_MS counts as moving on.
        """
        found = 0.0
        for since_ms, count in (
            (self.partial_line_since_ms, partial_line_bytes),
            (self.buffered_since_ms, answer_bytes),
        ):
            if since_ms is not None and now - since_ms >= STALL_MIN_AGE_MS:
                found += (now - since_ms) * count
        return found

    def may_be_evicted(self, now: float) -> bool:
        """Whether the connection may be closed to free capacity for another one."""
        if not self.reading or self.open_requests:
            return False
        if self.partial_line_since_ms is not None:
            return now - self.partial_line_since_ms > PARTIAL_LINE_EVICTION_AGE_MS
        return now - self.last_activity_ms > EVICTION_MIN_AGE_MS

    def eviction_rank(self) -> tuple[bool, bool, float]:
        """Return the rank among connections that may be evicted; the lowest is closed first.

        Those without a line come first, then the longest idle, and last those on which part of a line came.
        """
        if self.partial_line_since_ms is not None:
            return True, self.received_line, self.partial_line_since_ms
        return False, self.received_line, self.last_activity_ms
