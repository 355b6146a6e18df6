"""One client's connection as a state machine, without I/O: what is open on it, and when it may be closed.

    READING --end--> SETTLING --nothing open--> CLOSING --the connection is lost--> CLOSED

A connection is closed only when nothing is open on it. Where a fault ends it, no further request is read,
what is open is given up and gets its final answer at once, and then it closes. Times in ms.
"""

from __future__ import annotations

from enum import Enum, StrEnum

OPEN_BOUND = 32  # requests open on one connection
FAULTS_BOUND = 16  # errors of one connection, and past it it is closed
UNREAD_LINES_BOUND = 256  # read from a client that does not read its answers, and past it it is closed
SILENT_MS = 2000.0  # a connection that said nothing, or half a line, for so long is closed
IDLE_MS = 5000.0  # one without an open request; the clients' own time is shorter
UNREAD_MS = 2000.0  # one that does not read its answers
FRESH_MS = 100.0  # one so young is not closed for want of room
NUMBERS_BOUND = 1024  # request numbers of one connection that are remembered one by one


class Phase(Enum):
    READING = "reading"
    SETTLING = "settling"  # no further request is read; what is open gets its answer at once
    CLOSING = "closing"  # nothing is open; what was written goes out
    CLOSED = "closed"


class CloseReason(StrEnum):
    """Why a connection is closed by this side; counted under these names."""

    UNREADABLE = "what it said can't be told apart"
    FAULTS = "too many lines that can't be taken"
    HALF_LINE = "half a line for too long"
    SILENT = "said nothing"
    IDLE = "idle"
    ANSWERS_UNREAD = "did not read its answers"
    NO_ROOM = "no room for more connections"
    LEAVING = "the front end leaves"
    STOPPED = "the front end has stopped"


class UsedNumbers:
    """Which numbers a connection has used, in bounded memory: all up to `low`, and some above.

    >>> used = UsedNumbers(2); [used.enter(n) for n in (1, 2, 2, 9, 7, 9, 30, 8)]
    [True, True, False, True, True, False, True, True]
    >>> used.enter(3)
    False
    """

    def __init__(self, bound: int = NUMBERS_BOUND) -> None:
        self.bound = bound
        self.low = 0
        self.above = set[int]()

    def enter(self, number: int) -> bool:
        """False if it was used before, or is older than what is remembered."""
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


class ClientConnection:
    """What is known of one connection, and what may be done with it now."""

    def __init__(self, now: float) -> None:
        self.phase = Phase.READING
        self.reason: CloseReason | None = None
        self.open: dict[int, bytes] = {}  # requests without a final answer: number -> call
        self.used = UsedNumbers()
        self.faults = 0
        self.spoke = False  # a whole line was read
        self.since_ms = now  # of the last whole line or answer, or the start
        self.unread_since_ms: float | None = None  # answers are not read since then
        self.unread_lines = 0  # lines that came while answers are not read

    # -- what happens

    def line_read(self, now: float) -> CloseReason | None:
        """A whole line that is not empty; why the connection has to end for it."""
        self.since_ms = now
        self.spoke = True
        if self.unread_since_ms is not None:
            self.unread_lines += 1
            if self.unread_lines > UNREAD_LINES_BOUND:
                return CloseReason.ANSWERS_UNREAD
        return None

    def fault(self, ends: bool) -> CloseReason | None:
        """A line that can't be taken; `ends`: what follows can't be told apart."""
        self.faults += 1
        if ends:
            return CloseReason.UNREADABLE
        return CloseReason.FAULTS if self.faults >= FAULTS_BOUND else None

    def taken(self, number: int, call: bytes) -> None:
        assert self.phase is Phase.READING and number not in self.open
        self.open[number] = call

    def ended(self, number: int, now: float) -> bytes:
        """The request was answered or taken back; its call."""
        self.since_ms = now
        return self.open.pop(number)

    def answers_unread(self, now: float) -> None:
        if self.unread_since_ms is None:
            self.unread_since_ms = now
            self.unread_lines = 0

    def answers_read(self) -> None:
        self.unread_since_ms = None

    def end(self, reason: CloseReason) -> bool:
        """It is to be closed; whether what is open there has to be given up first."""
        if self.phase is not Phase.READING:
            return False
        self.reason = reason
        self.phase = Phase.SETTLING
        return bool(self.open)

    def closed(self) -> None:
        self.phase = Phase.CLOSED

    # -- what may be done

    @property
    def reading(self) -> bool:
        """Whether further requests are read."""
        return self.phase is Phase.READING

    def may_close(self) -> bool:
        return self.phase is Phase.SETTLING and not self.open

    def close(self) -> None:
        """The last answer has been written."""
        assert self.may_close(), self.reason
        self.phase = Phase.CLOSING

    def quiet(self, now: float, half_line: bool) -> CloseReason | None:
        """Why it should be closed for what it does not say or read; not for silence with a request open."""
        if not self.reading:
            return None
        if self.unread_since_ms is not None and now - self.unread_since_ms > UNREAD_MS:
            return CloseReason.ANSWERS_UNREAD
        if self.open:
            return None
        quiet_ms = now - self.since_ms
        if half_line:
            return CloseReason.HALF_LINE if quiet_ms > SILENT_MS else None
        if not self.spoke:
            return CloseReason.SILENT if quiet_ms > SILENT_MS else None
        return CloseReason.IDLE if quiet_ms > IDLE_MS else None

    def may_make_room(self, now: float) -> bool:
        """Whether it may be closed so that another one finds room."""
        return self.reading and not self.open and now - self.since_ms > FRESH_MS
