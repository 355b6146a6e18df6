"""One client connection as a state machine, without I/O: its open requests, and when it may be closed.

    READING --end--> SETTLING --no open request--> CLOSING --the connection is lost--> CLOSED

A connection is closed only when no request is open on it. Where an error ends it, no further request is read,
the open ones get their final answer at once, and then it closes. Driven by `client_connection.py`. Times in
ms.
"""

from __future__ import annotations

from enum import Enum, StrEnum

OPEN_REQUESTS_BOUND = 32  # on one connection
ERRORS_BOUND = 16  # of one connection; at this many it is closed
UNREAD_LINES_BOUND = 256  # from a client that does not read its answers; past it the connection is closed
SILENCE_TIMEOUT_MS = 2000.0  # a connection without a line, or with a partial one, for so long is closed
IDLE_TIMEOUT_MS = 5000.0  # one without an open request; the clients' own timeout is shorter
UNREAD_TIMEOUT_MS = 2000.0  # one that does not read its answers
EVICTION_MIN_AGE_MS = 100.0  # one active so recently is not closed to free capacity
REMEMBERED_NUMBERS_BOUND = 1024  # request numbers of one connection that are remembered one by one


class Phase(Enum):
    """Where a connection stands on its way to the close."""

    READING = "reading"
    SETTLING = "settling"  # no further request is read; open requests get their answer at once
    CLOSING = "closing"  # no request is open; what was written is flushed
    CLOSED = "closed"


class CloseReason(StrEnum):
    """Why this side closes a connection; counted under these names."""

    UNREADABLE = "unreadable input"
    TOO_MANY_ERRORS = "too many rejected lines"
    PARTIAL_LINE = "half a line for too long"  # clients get this text too, so it stays as it is
    SILENT = "no line received"
    IDLE = "idle"
    ANSWERS_UNREAD = "answers not read"
    NO_CAPACITY = "no capacity for more connections"
    DRAINING = "front end draining"
    STOPPED = "front end stopped"


class UsedNumbers:
    """The request numbers that a connection has used, in bounded memory: all up to `low`, and some above.

    >>> used = UsedNumbers(2); [used.add(n) for n in (1, 2, 2, 9, 7, 9, 30, 8)]
    [True, True, False, True, True, False, True, True]
    >>> used.add(3)
    False
    """

    def __init__(self, bound: int = REMEMBERED_NUMBERS_BOUND) -> None:
        """Take how many numbers above `low` are remembered."""
        self.bound = bound
        self.low = 0
        self.above = set[int]()

    def add(self, number: int) -> bool:
        """Remember a number; False if it was used before, or is older than what is remembered."""
        if number <= self.low or number in self.above:
            return False
        self.above.add(number)
        while self.low + 1 in self.above:
            self.low += 1
            self.above.remove(self.low)
        if len(self.above) > self.bound:
            self.low = min(self.above)
            self.above.remove(self.low)
        return True


class ClientConnectionState:
    """What is known of one connection, and what may be done with it now."""

    def __init__(self, now: float) -> None:
        """Start in the phase READING."""
        self.phase = Phase.READING
        self.reason: CloseReason | None = None
        self.open_requests: dict[int, bytes] = {}  # without a final answer: number -> request id
        self.used_numbers = UsedNumbers()
        self.errors = 0
        self.received_line = False  # a complete line that is not empty
        self.last_activity_ms = now  # the last complete line or answer, or the start
        self.unread_since_ms: float | None = None  # since when answers are not read
        self.unread_lines = 0  # lines received while answers are not read

    # -- events

    def line_received(self, now: float) -> CloseReason | None:
        """Note a complete line that is not empty; give the reason if the connection has to end for it."""
        self.last_activity_ms = now
        self.received_line = True
        if self.unread_since_ms is not None:
            self.unread_lines += 1
            if self.unread_lines > UNREAD_LINES_BOUND:
                return CloseReason.ANSWERS_UNREAD
        return None

    def error_found(self, ends_connection: bool) -> CloseReason | None:
        """Note a rejected line; `ends_connection`: what follows could not be told apart."""
        self.errors += 1
        if ends_connection:
            return CloseReason.UNREADABLE
        return CloseReason.TOO_MANY_ERRORS if self.errors >= ERRORS_BOUND else None

    def request_opened(self, number: int, request_id: bytes) -> None:
        """Note an admitted request."""
        assert self.phase is Phase.READING and number not in self.open_requests
        self.open_requests[number] = request_id

    def request_ended(self, number: int, now: float) -> bytes:
        """Note that a request was answered or cancelled; give its id."""
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

    def end(self, reason: CloseReason) -> bool:
        """Begin to close; whether open requests have to be given up first."""
        if self.phase is not Phase.READING:
            return False
        self.reason = reason
        self.phase = Phase.SETTLING
        return bool(self.open_requests)

    def close(self) -> None:
        """Note that the last answer has been written."""
        assert self.may_close(), self.reason
        self.phase = Phase.CLOSING

    def connection_lost(self) -> None:
        """Note the end of the connection."""
        self.phase = Phase.CLOSED

    # -- questions

    @property
    def reading(self) -> bool:
        """Whether further requests are read."""
        return self.phase is Phase.READING

    def may_close(self) -> bool:
        """Whether the connection is to be closed and no request is open on it."""
        return self.phase is Phase.SETTLING and not self.open_requests

    def timeout_reason(self, now: float, has_partial_line: bool) -> CloseReason | None:
        """Give the timeout that has passed; silence is no reason while a request is open."""
        if not self.reading:
            return None
        if self.unread_since_ms is not None and now - self.unread_since_ms > UNREAD_TIMEOUT_MS:
            return CloseReason.ANSWERS_UNREAD
        if self.open_requests:
            return None
        silence_ms = now - self.last_activity_ms
        if has_partial_line:
            return CloseReason.PARTIAL_LINE if silence_ms > SILENCE_TIMEOUT_MS else None
        if not self.received_line:
            return CloseReason.SILENT if silence_ms > SILENCE_TIMEOUT_MS else None
        return CloseReason.IDLE if silence_ms > IDLE_TIMEOUT_MS else None

    def may_be_evicted(self, now: float) -> bool:
        """Whether it may be closed so that another connection finds capacity."""
        if not self.reading or self.open_requests:
            return False
        return now - self.last_activity_ms > EVICTION_MIN_AGE_MS
