"""The door: clients' connections. Lines in, one final answer each out; the only part that clients see.

What is wrong is answered with an error at once. When a connection may be read and closed is decided in
`node/connection_state.py`; here its decisions are carried out on the transport.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, interfaces, protocol
from twisted.python.failure import Failure

from ..gateway.answers import Answer, Completion
from ..gateway.pending_requests import PendingAnswer
from ..platform import client_codec as lines
from ..platform.client_codec import ClientLineError
from ..platform.opaque_request import Passed
from .connection_state import OPEN_BOUND, ClientConnection, CloseReason, Phase

LINES_A_TURN = 8  # of one connection; the others come first then
LOOK_AGAIN_MS = 20.0  # what seems to say nothing is looked at twice, so long apart
SWEEP_MS = 250.0  # connections are looked over this often
ABORT_MS = 2000.0  # one that is closed and does not go: its answers are not read
LINGER_BYTES = 1 << 20  # read and dropped from a client whose connection ends for what it said
BUFFER_BYTES = 1 << 18  # answers that wait for a client that does not read
SPARE_PART = 8  # this part of the connections' bound is kept free for who comes next
SHORTAGE_CLOSES = 8  # closed at once when the system itself has no descriptor left
LINGERS = frozenset({CloseReason.UNREADABLE, CloseReason.FAULTS, CloseReason.HALF_LINE})


class Caller(protocol.Protocol):
    """One client's connection. As a push producer it hears when its client does not read."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.lines = lines.Lines()
        self.state = ClientConnection(door.now())
        self.answers: dict[int, PendingAnswer] = {}  # by number
        self.held = False  # not read from until the others had their turn
        self.again = None
        self.dropped_bytes = 0  # read after the connection's end was decided

    # -- the transport's side

    def connectionMade(self) -> None:
        getattr(self.transport, "setTcpNoDelay", lambda _: None)(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.door.came(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.state.reading:
            self._drop(len(data))
            return
        self.lines.feed(data)
        if self.again is None:
            self._read()

    def _drop(self, count: int) -> None:
        """Danger: closing with bytes unread resets the connection, and the reset may overtake the answers."""
        self.dropped_bytes += count
        if self.dropped_bytes > LINGER_BYTES and self.state.phase is Phase.CLOSING:
            self._abort()

    def _read(self) -> None:
        """A few lines; what is left waits until the others had their turn."""
        self.again = None
        for _ in range(LINES_A_TURN):
            if not self.state.reading:
                return
            try:
                line = self.lines.next()
                if line is None:
                    self._read_all()
                    return
                self._line(line)
            except ClientLineError as fault:
                self.fault(fault)
        if self.state.reading:
            self.held = True
            self.transport.pauseProducing()
            self.again = self.door.clock.callLater(0, self._read)

    def _read_all(self) -> None:
        if self.held:
            self.transport.resumeProducing()
        self.held = False
        self.leave()

    def _line(self, line: bytes) -> None:
        if not line:
            return  # no message; it counts neither as a word nor as a fault
        if (reason := self.state.line_read(self.door.now())) is not None:
            self.end(reason)
        else:
            self.door.asks.read(line, self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.state.closed()
        for answer in list(self.answers.values()):
            answer.cancel()
        if self.again is not None:
            self.again.cancel()
            self.again = None
        self.door.left(self)

    def pauseProducing(self) -> None:
        """It does not read its answers. Danger: were it not read from either, its close and its `interrupt`
        would go unheard, and further attempts begin for nobody."""
        self.state.answers_unread(self.door.now())

    def resumeProducing(self) -> None:
        self.state.answers_read()

    def stopProducing(self) -> None:
        self.state.answers_unread(self.door.now())

    # -- what the client says

    def numbered(self, number: int) -> None:
        if not self.state.used.enter(number):
            # danger: an error under this number would be a second answer to the one that had it first
            raise ClientLineError(
                None, lines.NOT_A_REQUEST, "an id that was used on this connection", last=True
            )

    def asked(
        self,
        number: int,
        passed: Passed,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        work_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float,
    ) -> None:
        door = self.door
        if len(self.state.open) >= OPEN_BOUND:
            raise ClientLineError(
                number, lines.NOT_A_REQUEST, f"over {OPEN_BOUND} requests open on one connection"
            )
        if passed.call in door.calls:
            # danger: the other one may be somebody else's, who must not notice; our own is a client's fault
            ours = door.calls[passed.call][0] is self
            raise ClientLineError(number, lines.BAD_PARAMS, "call: open already", last=ours)
        # one that reads no answers gets no further work done for it
        unread = self.state.unread_since_ms is not None
        retry_ms = door.retry_ms if unread else door.refuse(tenant)
        if retry_ms is not None:
            door.counts["nacked untaken"] += 1
            self.transport.write(lines.rejected(number, retry_ms))
            return
        answer = door.take(passed, request_class, tenant, remaining_ms, work_ms, memory_mb, lanes, load_ms)
        self.state.taken(number, passed.call)
        self.answers[number] = answer
        door.calls[passed.call] = self, number
        answer.addCallbacks(self._answered, self._unanswered, callbackArgs=(number,), errbackArgs=(number,))

    def taken_back(self, number: int | None, call: bytes | None) -> None:
        if call is not None:
            holder, number = self.door.calls.get(call, (None, None))
            if holder is not self:
                return
        if number in self.answers:
            self.door.counts["taken back"] += 1
            self.answers[number].cancel()

    def checked(self, number: int) -> None:
        self.transport.write(lines.serving(number, self.door.serving()))

    # -- answers

    def _ended(self, number: int) -> None:
        del self.answers[number]
        del self.door.calls[self.state.ended(number, self.door.now())]

    def _answered(self, answer: Answer, number: int) -> None:
        self._ended(number)
        if self.state.phase is Phase.CLOSED:
            return
        if answer.completion == Completion.SUCCEEDED:
            self.transport.write(lines.succeeded(number, answer.body))
        elif answer.completion == Completion.REJECTED:
            self.transport.write(lines.rejected(number, answer.retry_ms))
        else:
            self.transport.write(lines.failed(number))
        self._close_if_settled()
        self.leave()

    def _unanswered(self, failure: Failure, number: int) -> None:
        self._ended(number)
        if not failure.check(defer.CancelledError) and self.state.phase is not Phase.CLOSED:
            self.door.log.error("answer failed", error=failure.getErrorMessage())
            self.transport.write(lines.failed(number))
        self._close_if_settled()
        self.leave()

    def fault(self, fault: ClientLineError) -> None:
        reason = self.state.fault(fault.last)
        self.door.faulted(fault)
        self.transport.write(lines.faulted(fault))
        if reason is not None:
            self.end(reason)

    # -- the end

    def leave(self) -> None:
        """Close, if the front end leaves and nothing is owed here: no open request, no line that waits."""
        if self.door.leaving and not self.answers and self.again is None and not self.lines.whole():
            self.end(CloseReason.LEAVING)

    def half_line(self) -> bool:
        return self.again is None and self.lines.half()

    def may_make_room(self, now: float) -> bool:
        """Whether it may be closed so that another one finds room."""
        return self.state.may_make_room(now) and self.again is None and not self.lines.half()

    def read_now(self) -> None:
        """Whatever has come and was not read."""
        if read := getattr(self.transport, "doRead", None):
            read()  # an end that it tells of is told again to the reactor

    def quiet(self, now: float) -> CloseReason | None:
        """Why it should be closed for what it does not say or read."""
        return self.state.quiet(now, self.half_line())

    def end(self, reason: CloseReason) -> None:
        """Read no further request; give up what is open, and close once its answers are written."""
        if not self.state.reading:
            return
        self.door.counts[reason] += 1
        if self.held:
            self.transport.resumeProducing()  # its close is heard, the rest is dropped
        if self.state.end(reason):
            for answer in list(self.answers.values()):
                answer.abandon()
        self._close_if_settled()

    def _close_if_settled(self) -> None:
        if not self.state.may_close():
            return
        self.state.close()
        self.transport.unregisterProducer()
        if self.state.reason in LINGERS:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self.door.clock.callLater(ABORT_MS / 1e3, self._abort)

    def _abort(self) -> None:
        if self in self.door.callers:
            self.transport.abortConnection()


class Door(protocol.ServerFactory):
    """All clients' connections of one front end."""

    noisy = False

    def __init__(
        self,
        asks: lines.Asks,
        take: Callable[..., PendingAnswer],
        refuse: Callable[[int], float | None],
        serving: Callable[[], bool],
        clock: interfaces.IReactorTime,
        log,
        connections_bound: int,
        retry_ms: float = 0.0,
    ) -> None:
        """`refuse`: None to take a tenant's request, else the retry time of the reject it gets at once;
        `retry_ms`: that of a client that reads no answers."""
        self.asks, self.take, self.refuse, self.serving = asks, take, refuse, serving
        self.clock, self.log, self.connections_bound = clock, log, connections_bound
        self.connections_wanted = (
            connections_bound - connections_bound // SPARE_PART
        )  # past it some are closed
        self.room_wanted = 0
        self.retry_ms = retry_ms
        self.callers: dict[Caller, None] = {}
        self.calls: dict[bytes, tuple[Caller, int]] = {}  # ids of what is open
        self.counts: Counter[str] = Counter()
        self.leaving = False
        self.empty: defer.Deferred[None] | None = None
        self.room = None  # the call that will make room
        self.said: set[tuple[str, str]] = set()  # what was logged once
        self.timer = clock.callLater(SWEEP_MS / 1e3, self._sweep)

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    def buildProtocol(self, address) -> Caller:
        return Caller(self)

    def came(self, caller: Caller) -> None:
        self.callers[caller] = None
        if (over := len(self.callers) - self.connections_wanted) > 0:
            self._make_room(over)

    # -- room

    def has_room(self) -> bool:
        """Whether one more connection may be accepted now."""
        return len(self.callers) < self.connections_bound

    def make_room(self) -> None:
        """The system has no descriptor left for somebody who waits."""
        self._make_room(SHORTAGE_CLOSES)

    def _make_room(self, wanted: int) -> None:
        """Danger: without descriptors no client gets in and no executor is reached. In the next turn: what
        has come on the others meanwhile is read before."""
        self.counts["room wanted"] += 1
        self.say("connections over the bound", bound=self.connections_bound)
        self.room_wanted = max(self.room_wanted, wanted)
        if self.room is None:
            self.room = self.clock.callLater(0, self._close_for_room)

    def _close_for_room(self) -> None:
        """Those that go already, then those that never spoke, then those that are idle for longest."""
        self.room = None
        now = self.now()
        wanted, self.room_wanted = self.room_wanted, 0
        ending = [c for c in self.callers if c.state.phase is Phase.CLOSING]
        for caller in ending:
            if now - caller.state.since_ms > LOOK_AGAIN_MS:
                caller.transport.abortConnection()
        idle = [c for c in self.callers if c.may_make_room(now)]
        idle.sort(key=lambda c: (c.state.spoke, c.state.since_ms))
        for caller in idle[: max(0, wanted - len(ending))]:
            caller.read_now()  # danger: its first request may lie unread
            if caller.may_make_room(now):
                caller.end(CloseReason.NO_ROOM)

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        if not self.callers and self.empty is not None:
            empty, self.empty = self.empty, None
            empty.callback(None)

    def faulted(self, fault: ClientLineError) -> None:
        self.counts["lines that can't be taken"] += 1
        self.say("line that can't be taken", str(fault).partition(":")[0], reason=str(fault))

    def say(self, event: str, kind: str = "", **what) -> None:
        """Log it, once for each kind. The kinds are few: none holds a client's own words."""
        if (event, kind) not in self.said:
            self.said.add((event, kind))
            self.log.warning(event, **what)

    def _sweep(self) -> None:
        now = self.now()
        if quiet := [c for c in self.callers if c.quiet(now)]:
            self.timer = self.clock.callLater(LOOK_AGAIN_MS / 1e3, self._close_quiet, quiet)
        else:
            self.timer = self.clock.callLater(SWEEP_MS / 1e3, self._sweep)

    def _close_quiet(self, callers: list[Caller]) -> None:
        """Danger: after a stall of this process a request, or the room for an answer, lies unseen on them:
        the sockets were looked at between the two looks."""
        self.timer = self.clock.callLater(SWEEP_MS / 1e3, self._sweep)
        now = self.now()
        for c in callers:
            reason = c.quiet(now)
            if reason is CloseReason.HALF_LINE:
                c.transport.write(lines.faulted(ClientLineError(None, lines.NOT_A_REQUEST, reason)))
            if reason is not None:
                c.end(reason)

    def leave(self) -> None:
        """From now on nothing new is taken; connections without an open request are closed."""
        self.leaving = True
        for c in list(self.callers):
            c.leave()

    def all_gone(self) -> defer.Deferred[None]:
        """Fires when the last connection has ended; each does once its last answer is out, or is aborted."""
        if not self.callers:
            return defer.succeed(None)
        self.empty = self.empty or defer.Deferred()
        return self.empty

    def close(self) -> None:
        self.timer.cancel()
        if self.room is not None:
            self.room.cancel()
        for c in list(self.callers):
            c.end(CloseReason.STOPPED)
