"""The door: clients' connections. Lines in, one final answer each out; the only part that clients see.

What is wrong is answered with an error at once. A connection whose bytes can't be told apart any more, that
keeps on asking for what can't be taken, or that says nothing, is closed; its open triggers are taken back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, interfaces, protocol
from twisted.python.failure import Failure

from ..front.host import FULFILLED, NACKED, Answer
from ..platform import lines
from ..platform.lines import LineFault
from ..platform.passed import Passed

OPEN_BOUND = 32  # requests open on one connection
FAULTS_BOUND = 16  # errors of one connection, and past it it is closed
LINES_A_TURN = 8  # of one connection; the others come first then
CLOGGED_LINES = 256  # read from a client that does not read its answers, and past it it is closed
LOOK_AGAIN_MS = 20.0  # what seems to say nothing is looked at twice, so long apart
SWEEP_MS = 250.0  # connections are looked over this often
SILENT_MS = 2000.0  # a connection that said nothing, or half a line, for so long is closed
IDLE_MS = 5000.0  # one without an open request; the clients' own time is shorter
CLOGGED_MS = 2000.0  # one that does not read its answers
ABORT_MS = 2000.0  # one that is closed and does not go: its answers are not read
FRESH_MS = 100.0  # one so young is not closed for want of room while an older one can be
BUFFER_BYTES = 1 << 18  # answers that wait for a client that does not read
HALF_A_LINE = "half a line for too long"
USED_BOUND = 1024  # request numbers of one connection that are remembered one by one


class Used:
    """Which numbers a connection has used, in bounded memory: all up to `low`, and some above.

    >>> used = Used(2); [used.enter(n) for n in (1, 2, 2, 9, 7, 9, 30, 8)]
    [True, True, False, True, True, False, True, True]
    >>> used.enter(3)
    False
    """

    def __init__(self, bound: int = USED_BOUND) -> None:
        self.bound, self.low, self.above = bound, 0, set[int]()

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


class Caller(protocol.Protocol):
    """One client's connection. As a push producer it hears when its client does not read."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.lines = lines.Lines()
        self.open: dict[int, tuple[bytes, defer.Deferred[Answer]]] = {}  # by number: id, answer
        self.used = Used()
        self.faults = 0
        self.spoke = self.closing = self.clogged = self.held = False
        self.again = None
        self.since_ms = self.clogged_ms = 0.0  # of the last whole line or answer, or the start
        self.unread = 0  # lines that came while it did not read

    # -- the transport's side

    def connectionMade(self) -> None:
        self.since_ms = self.door.now()
        getattr(self.transport, "setTcpNoDelay", lambda _: None)(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.door.came(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.closing:
            self.lines.feed(data)
            if self.again is None:
                self._read()

    def _read(self) -> None:
        """A few lines; what is left waits until the others had their turn."""
        self.again = None
        door = self.door
        for _ in range(LINES_A_TURN):
            if self.closing:
                return
            try:
                line = self.lines.next()
                if line is None:
                    if self.held:
                        self.transport.resumeProducing()
                    self.held = False
                    self.leave()
                    return
                self.since_ms, self.spoke = door.now(), True
                if self.clogged:
                    self.unread += 1
                    if self.unread > CLOGGED_LINES:
                        door.counts["clients that did not read"] += 1
                        self.end()
                        return
                door.asks.read(line, self)
            except LineFault as fault:
                self.fault(fault)
        if not self.closing:
            self.held = True
            self.transport.pauseProducing()
            self.again = door.clock.callLater(0, self._read)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.closing = True
        self._take_all_back()
        if self.again is not None:
            self.again.cancel()
            self.again = None
        self.door.left(self)

    def pauseProducing(self) -> None:
        """It does not read its answers. Danger: were it not read from either, its close and its `interrupt`
        would go unheard, and further transmissions begin for nobody."""
        self.clogged, self.clogged_ms, self.unread = True, self.door.now(), 0

    def resumeProducing(self) -> None:
        self.clogged = False

    def stopProducing(self) -> None:
        self.clogged = True

    # -- what the client says

    def numbered(self, number: int) -> None:
        if not self.used.enter(number):
            # danger: an error under this number would be a second answer to the one that had it first
            raise LineFault(None, lines.NOT_A_REQUEST, "an id that was used on this connection", last=True)

    def asked(
        self,
        number: int,
        passed: Passed,
        tariff: int,
        customer: int,
        remaining_ms: float,
        work_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float,
    ) -> None:
        door = self.door
        if len(self.open) >= OPEN_BOUND:
            raise LineFault(number, lines.NOT_A_REQUEST, f"over {OPEN_BOUND} requests open on one connection")
        if passed.call in door.calls:
            # danger: the other one may be somebody else's, who must not notice; our own is a client's fault
            ours = door.calls[passed.call][0] is self
            raise LineFault(number, lines.BAD_PARAMS, "call: open already", last=ours)
        # one that reads no answers gets no further work done for it
        retry_ms = door.retry_ms if self.clogged else door.refuse(customer)
        if retry_ms is not None:
            door.counts["nacked untaken"] += 1
            self.transport.write(lines.nacked(number, retry_ms))
            return
        answer = door.take(passed, tariff, customer, remaining_ms, work_ms, memory_mb, lanes, load_ms)
        self.open[number] = passed.call, answer
        door.calls[passed.call] = self, number
        answer.addCallbacks(self._answered, self._unanswered, callbackArgs=(number,), errbackArgs=(number,))

    def taken_back(self, number: int | None, call: bytes | None) -> None:
        if call is not None:
            holder, number = self.door.calls.get(call, (None, None))
            if holder is not self:
                return
        if number in self.open:
            self.door.counts["taken back"] += 1
            self.open[number][1].cancel()

    def checked(self, number: int) -> None:
        self.transport.write(lines.serving(number, self.door.serving()))

    # -- answers

    def _ended(self, number: int) -> None:
        del self.door.calls[self.open.pop(number)[0]]
        self.since_ms = self.door.now()

    def _answered(self, answer: Answer, number: int) -> None:
        self._ended(number)
        if self.closing:
            return
        if answer.kind == FULFILLED:
            self.transport.write(lines.fulfilled(number, answer.body))
        elif answer.kind == NACKED:
            self.transport.write(lines.nacked(number, answer.retry_ms))
        else:
            self.transport.write(lines.broken_off(number))
        self.leave()

    def _unanswered(self, failure: Failure, number: int) -> None:
        self._ended(number)
        if not failure.check(defer.CancelledError) and not self.closing:
            self.door.log.error("answer failed", error=failure.getErrorMessage())
            self.transport.write(lines.broken_off(number))
        self.leave()

    def fault(self, fault: LineFault) -> None:
        self.faults += 1
        self.door.faulted(fault)
        self.transport.write(lines.faulted(fault))
        if fault.last or self.faults >= FAULTS_BOUND:
            self.end()

    # -- the end

    def leave(self) -> None:
        """Close, if the front end leaves and nothing is owed here: no open request, no line that waits."""
        if self.door.leaving and not self.open and self.again is None and not self.lines.whole():
            self.end()

    def quiet(self, now: float) -> str:
        """Why it should be closed for what it does not say or read; empty if it should not."""
        quiet_ms = now - self.since_ms
        if self.closing:
            return ""
        if self.clogged and now - self.clogged_ms > CLOGGED_MS:
            return "clients that did not read"
        if self.lines.half() and self.again is None and quiet_ms > SILENT_MS:
            return HALF_A_LINE
        if not self.open and quiet_ms > (IDLE_MS if self.spoke else SILENT_MS):
            return "idle connections closed"
        return ""

    def end(self) -> None:
        """Close once what was written is out; abort if it does not go."""
        if self.closing:
            return
        self.closing = True
        self._take_all_back()
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.door.clock.callLater(ABORT_MS / 1e3, self._abort)

    def _abort(self) -> None:
        if self in self.door.callers:
            self.transport.abortConnection()

    def _take_all_back(self) -> None:
        for _, answer in list(self.open.values()):
            answer.cancel()


class Door(protocol.ServerFactory):
    """All clients' connections of one front end."""

    noisy = False

    def __init__(
        self,
        asks: lines.Asks,
        take: Callable[..., defer.Deferred[Answer]],
        refuse: Callable[[int], float | None],
        serving: Callable[[], bool],
        clock: interfaces.IReactorTime,
        log,
        connections_bound: int,
        retry_ms: float = 0.0,
    ) -> None:
        """`refuse`: None to take a customer's trigger, else the retry time of the nack it gets at once;
        `retry_ms`: that of a client that reads no answers."""
        self.asks, self.take, self.refuse, self.serving = asks, take, refuse, serving
        self.clock, self.log, self.connections_bound = clock, log, connections_bound
        self.retry_ms = retry_ms
        self.callers: dict[Caller, None] = {}
        self.calls: dict[bytes, tuple[Caller, int]] = {}  # ids of what is open
        self.counts: Counter[str] = Counter()
        self.leaving = False
        self.empty: defer.Deferred[None] | None = None
        self.said: set[tuple[str, str]] = set()  # what was logged once
        self.timer = clock.callLater(SWEEP_MS / 1e3, self._sweep)

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    def buildProtocol(self, address) -> Caller:
        return Caller(self)

    def came(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > self.connections_bound:
            self._make_room()

    def _make_room(self) -> None:
        """Danger: without descriptors no client gets in and no executor is reached: the longest idle goes."""
        now = self.now()
        idle = [c for c in self.callers if not c.open and not c.closing]
        old = [c for c in idle if now - c.since_ms > FRESH_MS] or idle or [next(reversed(self.callers))]
        silent = [c for c in old if not c.spoke] or old
        self.counts["connections over the bound"] += 1
        self.say("connections over the bound", bound=self.connections_bound)
        min(silent, key=lambda c: c.since_ms).end()

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        if not self.callers and self.empty is not None:
            empty, self.empty = self.empty, None
            empty.callback(None)

    def faulted(self, fault: LineFault) -> None:
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
            if (why := c.quiet(now)) == HALF_A_LINE:
                c.fault(LineFault(None, lines.NOT_A_REQUEST, why, last=True))
            elif why:
                self.counts[why] += 1
                c.end()

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
        for c in list(self.callers):
            c.end()
