"""Links to executors on the platform's protocol: a pool of connections each, driven by the host.

What a link tells the host is exact: each connection keeps its own ledger of what a broken link proves
(gateway/attempt_ledger.py). A attempt takes a connection on which nothing else is out, while there is room for
one, since an answer that can't be read takes all with it that shares its connection; only when descriptors
are short do attempts share one, up to the protocol's bound.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from ..gateway.attempt_ledger import AttemptKey, AttemptLedger
from ..gateway.backoff import Backoff
from ..gateway.channel_base import (
    BUFFER_BYTES,
    CLOGGED_MS,
    NO_LOAD,
    ChannelListener,
    QuestionKind,
    SocketChannelReports,
)
from ..gateway.connection_end_reasons import EndReason, failure_reason
from ..platform import executor_codec as frames
from ..platform.errors import ProtocolError
from ..platform.opaque_request import Passed
from ..routing.types import Outcome, Warmth

SWEEP_MS = 250.0  # connections are looked over this often
HALF_MS = 300.0  # an answer that has begun and not ended for so long ends its connection
SILENT_MS = 250.0  # waited for in vain for so long with no byte heard: the connection is not trusted
GIVEN_UP_BOUND = 64  # ids given up on one connection; past it the connection takes nothing new
SPARE_IDLE_MS = 10_000.0  # a connection not used for so long is closed, but for one ...
IDLE_SHARE = 0.7  # ... which stays for this share of the platform's idle time
RETRY_LEAST_MS, RETRY_MOST_MS = 30.0, 1000.0
RESTING_MS = 250.0  # one that has been up for so long with nothing out is no failure when it ends ...
SPARE_LEAST_MS, SPARE_MOST_MS = 250.0, 8000.0  # ... but a spare is not dialled again and again
QUIET_ENDS = frozenset({EndReason.SPENT, EndReason.IDLE, EndReason.LEAVING, EndReason.RESTING})


class Room:
    """How many connections to executors there may be, over all links."""

    def __init__(self, bound: int) -> None:
        self.bound, self.used = bound, 0
        self.counts: Counter[str] = Counter()

    def left(self) -> bool:
        return self.used < self.bound


class Wire(protocol.Protocol):
    """One connection, from the dial on. As a push producer it hears when its buffer is full."""

    def __init__(self, link: PlatformLink, now: float) -> None:
        self.link = link
        self.ledger = AttemptLedger(link.streams)
        self.frames = frames.Frames(self)
        self.waiting: dict[AttemptKey, Passed] = {}  # not handed over
        self.open: dict[bytes, AttemptKey] = {}  # ids of what is out here
        self.asked: dict[bytes, tuple[int, QuestionKind]] = {}  # out here, by the id on the wire
        self.given_up: dict[bytes, None] = {}  # ids that must not be used here again
        self.up = self.paused = self.spent = self.lost = False  # spent: takes nothing new
        self.looked = False  # found clogged once
        self.attempt = self.half = None
        self.up_ms = self.heard_ms = self.used_ms = self.paused_ms = now

    # -- the transport's side

    def connectionMade(self) -> None:
        if self.lost:
            self.transport.abortConnection()
            return
        getattr(self.transport, "setTcpNoDelay", lambda _: None)(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.up, self.attempt = True, None
        self.up_ms = self.heard_ms = self.used_ms = self.link.now()
        self.link.not_before_ms = 0.0
        self.drain()

    def dataReceived(self, data: bytes) -> None:
        if self.lost:
            return
        link = self.link
        self.heard_ms = link.now()
        link.backoff.succeeded()
        try:
            self.frames.feed(data)
        except ProtocolError:
            link.room.counts["answers that can't be read"] += 1
            link.drop(self, EndReason.UNREADABLE)
            return
        if self.lost:
            return
        if self.half is not None:
            self.half.cancel()
            self.half = None
        if self.frames.half():
            self.half = link.clock.callLater(HALF_MS / 1e3, self._half_over, False)
        self.tidy()

    def _half_over(self, looked: bool) -> None:
        """Danger: after a stall of this process the rest may lie unread: look once more first."""
        self.half = None
        if not looked:
            self.half = self.link.clock.callLater(0.02, self._half_over, True)
            return
        self.link.room.counts["half an answer"] += 1
        self.link.drop(self, EndReason.HALF_ANSWER)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if not self.lost:
            self.link.went_down(self, failure_reason(reason))

    def pauseProducing(self) -> None:
        self.paused, self.paused_ms = True, self.link.now()

    def resumeProducing(self) -> None:
        self.paused = self.looked = False
        self.drain()

    def stopProducing(self) -> None:
        self.paused = True

    # -- what the executor says

    def answered(
        self, id: bytes, outcome: Outcome, warmth: Warmth, crowd: int, replicas: int, body: bytes
    ) -> None:
        link = self.link
        if (key := self.open.get(id)) is not None and self.ledger.ended(key):
            del self.open[id], link.where[key]
            self.used_ms = self.heard_ms
            link.listener.attempt_ended(link.executor, key, outcome, warmth, crowd, NO_LOAD, "", body)
        elif (asked := self.asked.pop(id, None)) is not None and asked[1] is QuestionKind.LOAD:
            link.listener.load_request_answered(link.executor, asked[0], outcome, replicas)
        else:  # danger: a late word on one attempt must never end another
            link.room.counts["late answers" if id in self.given_up else "answers to no question"] += 1

    def probed(self, id: bytes, well: bool) -> None:
        if (asked := self.asked.pop(id, None)) is not None:
            outcome = Outcome.SUCCEEDED if well else Outcome.ERROR
            self.link.listener.probe_answered(self.link.executor, asked[0], outcome, NO_LOAD)

    # -- the link's side

    def rank(self) -> tuple[bool, int, float]:
        """The least is the best for one more attempt, of those with nothing out."""
        return not self.up, len(self.asked), -self.heard_ms

    def knows(self, id: bytes) -> bool:
        return id in self.open or id in self.given_up or id in self.asked

    def take(self, key: AttemptKey, id: bytes, passed: Passed, remaining_ms: float) -> None:
        self.ledger.wait(key)
        self.waiting[key], self.open[id] = passed, key
        if self.up and not self.paused and len(self.waiting) == 1:
            self._hand_over(remaining_ms)

    def _hand_over(self, remaining_ms: float) -> None:
        """The one that has waited longest."""
        key = self.ledger.hand_over()
        self.used_ms = self.link.now()
        self.transport.write(frames.send(self.waiting.pop(key), remaining_ms))

    def abandon(self, id: bytes) -> None:
        """Danger: a late word on it would be taken for one on a later attempt under the same id."""
        self.given_up[id] = None
        self.spent = self.spent or len(self.given_up) >= GIVEN_UP_BOUND

    def tidy(self) -> None:
        """One that takes nothing new goes with the last that is out on it."""
        if self.spent and not self.open and not self.asked:
            self.link.drop(self, EndReason.SPENT)

    def drain(self) -> None:
        """What has waited goes out if it still may."""
        expired = self.link.send_waiting(self.waiting, self._writable, self._hand_over)
        if expired:
            self.link.room.counts["waited in vain"] += expired

    def _writable(self) -> bool:
        return self.up and not self.paused and not self.lost


class PlatformLink(SocketChannelReports):
    """One executor's link. Takes the arguments of gateway.executor_channel.ExecutorChannel, then its own."""

    def __init__(
        self,
        executor: int,
        stable: str,
        address: str,
        port: int,
        front_end: str,
        process: str,
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        listener: ChannelListener,
        log,
        room: Room,
        streams: int,
        connect_ms: float,
        idle_ms: float,
        cancels: bool,
    ) -> None:
        """`withdraws`: whether the deployment lets a attempt be given up."""
        self.executor, self.stable, self.address, self.port = executor, stable, address, port
        self.clock, self.connect, self.random_source = clock, connect, random_source
        self.listener, self.log = listener, log
        self.room, self.streams, self.connect_ms, self.cancels = room, streams, connect_ms, cancels
        self.idle_ms = IDLE_SHARE * idle_ms or math.inf
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.not_before_ms = 0.0  # no dial before this
        self.spare_backoff = Backoff(random_source, SPARE_LEAST_MS, SPARE_MOST_MS)
        self.spare_not_before_ms = 0.0  # none ahead of need before this
        self.logged_reasons = set[EndReason]()
        self.wires: list[Wire] = []
        self.where: dict[AttemptKey, tuple[Wire, bytes, float]] = {}  # the id there, and since when
        self.closed = self.left = self.outage_logged = False
        self.timer = clock.callLater(0, self._sweep)

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    # -- the host's side

    def send(
        self,
        key: AttemptKey,
        mark: str,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: Passed,
    ) -> None:
        """Hand a attempt to the executor, at once or when its connection is up."""
        id = body.call
        wire = None if self.closed else self._pick(id)
        if wire is None:
            # between two tries: danger: holding it hides the outage
            down = not any(w.up and not w.spent for w in self.wires)
            outcome = Outcome.UNREACHABLE if down and not self.closed else Outcome.UNSENT
            self.report_unanswered(key, outcome)
            return
        self.where[key] = wire, id, self.now()
        wire.take(key, id, body, remaining_ms)

    def _pick(self, id: bytes) -> Wire | None:
        """A connection with nothing out, the one heard last; else a new one; else the emptiest."""
        idle = shared = None
        for w in self.wires:
            if w.spent or w.paused or w.knows(id) or len(w.open) >= self.streams:
                continue
            if not w.open:  # also one that is being dialled: a further dial would be no sooner
                if idle is None or w.rank() < idle.rank():
                    idle = w
            elif shared is None or (not w.up, len(w.open)) < (not shared.up, len(shared.open)):
                shared = w
        if idle is not None:
            return idle
        if self._may_dial():
            wire = self._dial()
            return None if wire.lost else wire
        return shared

    def cancel_attempt(self, key: AttemptKey, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        """Nobody waits any more: what it ended as, or None if it is not out here."""
        if key not in self.where:
            return None
        wire, id, since_ms = self.where.pop(key)
        handed, ended = wire.ledger.abandon(key, outcome)
        wire.waiting.pop(key, None)
        del wire.open[id]
        if handed:
            wire.abandon(id)
            if self.cancels:
                wire.transport.write(frames.cancel_attempt(id))
            self._doubt(max(since_ms, wire.up_ms))
            wire.tidy()
        return ended

    def _doubt(self, since_ms: float) -> None:
        """Danger: a machine that vanished says nothing: each further attempt would wait in vain.
        What was silent while an answer was due takes nothing new; a fresh dial shows what is true."""
        if self.now() - since_ms < SILENT_MS:
            return
        for w in list(self.wires):
            if w.up and w.heard_ms <= since_ms:
                w.spent = True
                w.tidy()

    def request_load(
        self, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> Outcome | None:
        """An order to load; an outcome if it could not be handed over."""
        return self._ask(id, QuestionKind.LOAD, lambda own: frames.order(own, function, replicas))

    def probe(self, id: int) -> Outcome | None:
        """A probe; an outcome if it could not be handed over."""
        return self._ask(id, QuestionKind.PROBE, frames.probe)

    def _ask(self, id: int, question: QuestionKind, frame: Callable[[bytes], bytes]) -> Outcome | None:
        wire = self._ready()
        if wire is None:
            return Outcome.UNSENT if any(w.up for w in self.wires) else Outcome.UNREACHABLE
        own = self.random_source.randbytes(8)
        while any(w.knows(own) for w in self.wires):
            own = self.random_source.randbytes(8)
        wire.asked[own] = id, question
        wire.transport.write(frame(own))
        return None

    def _ready(self) -> Wire | None:
        """The connection for what is no attempt: the emptiest."""
        usable = [
            w for w in self.wires if w.up and not w.spent and not w.paused and len(w.asked) < self.streams
        ]
        return min(usable, key=lambda w: (len(w.open), len(w.asked)), default=None)

    def unload(self, function: str) -> None:
        if (wire := self._ready()) is not None:
            wire.transport.write(frames.unload(function))

    def forget_load_request(self, id: int) -> bool:
        """Its time is up; False if it has ended."""
        for wire in self.wires:
            for own, (asked, _) in wire.asked.items():
                if asked == id:
                    del wire.asked[own]
                    wire.abandon(own)
                    wire.tidy()
                    return True
        return False

    def moved(self, address: str, port: int) -> None:
        """The list names another place for the same executor."""
        if (address, port) != (self.address, self.port):
            self.address, self.port = address, port
            self.cut(EndReason.MOVED)

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        """The list names a process started then, by the list's clock and by ours; a connection to an older
        one cannot answer."""
        if started_ms:
            self.cut(EndReason.RESTARTED, before_ms=started_ms - 1.0)

    def cut(self, reason: EndReason, before_ms: float = 0.0) -> None:
        """End all connections, or those that came up before this time, with what is out on them."""
        for wire in list(self.wires):
            if not before_ms or wire.up_ms < before_ms:
                self.drop(wire, reason)
        self.not_before_ms = 0.0

    def leave(self) -> None:
        """The list says that it has gone: end all, and dial no more until it says otherwise (`left`)."""
        self.left = True
        self.cut(EndReason.GONE)

    def close(self) -> None:
        """Leave for good; what is still out ends here."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for wire in list(self.wires):
            self.drop(wire, EndReason.LEAVING)

    # -- the connections' side

    def _may_dial(self) -> bool:
        return not self.closed and not self.left and self.room.left() and self.now() >= self.not_before_ms

    def _dial(self) -> Wire:
        wire = Wire(self, self.now())
        self.wires.append(wire)
        self.room.used += 1
        wire.attempt = self.connect(self.address, self.port, lambda: wire, self.connect_ms)
        wire.attempt.addErrback(self._refused, wire)
        return wire

    def _refused(self, failure: Failure, wire: Wire) -> None:
        if not wire.lost:
            wire.attempt = None
            self.went_down(wire, failure_reason(failure))

    def went_down(self, wire: Wire, reason: EndReason) -> None:
        """It never came up, or the other side ended it."""
        now = self.now()
        if wire.up and not wire.open and not wire.asked and now - wire.up_ms >= RESTING_MS:
            # danger: taken for an outage, it would keep requests from an executor that is well
            self.spare_not_before_ms = now + self.spare_backoff.failed()
            self.drop(wire, EndReason.RESTING)
            return
        fresh = not wire.up or wire.heard_ms <= wire.up_ms
        if fresh:  # danger: one that accepts and resets would be dialled without end
            self.not_before_ms = now + self.backoff.failed()
        alone = not any(w.up for w in self.wires if w is not wire)
        if fresh and alone and not self.closed:
            self.log_down(reason)
        self.drop(wire, reason)

    def drop(self, wire: Wire, reason: EndReason) -> None:
        """The end of one connection; all that is out on it ends with what that proves."""
        if wire.lost:
            return
        wire.lost, was_up, wire.up = True, wire.up, False
        self.wires.remove(wire)
        self.room.used -= 1
        self.room.counts["connections ended"] += 1
        self.room.counts[f"ended: {reason}"] += 1
        if wire.half is not None:
            wire.half.cancel()
            wire.half = None
        if wire.attempt is not None:
            attempt, wire.attempt = wire.attempt, None
            attempt.cancel()
        if was_up:
            wire.transport.unregisterProducer()
            quietly = reason in QUIET_ENDS and not wire.open
            (wire.transport.loseConnection if quietly else wire.transport.abortConnection)()
        ends, asked = wire.ledger.end_all(), list(wire.asked.values())
        wire.open.clear()
        wire.asked.clear()
        for key, outcome in ends:
            self.where.pop(key, None)
            self.report_unanswered(key, outcome)
        self.report_reset(asked)

    def _sweep(self) -> None:
        """Close what is idle or clogged; keep one connection ready."""
        self.timer = self.clock.callLater(SWEEP_MS / 1e3, self._sweep)
        now, ready = self.now(), False
        for wire in sorted(self.wires, key=lambda w: -w.used_ms):  # the one used last is kept
            if wire.open or wire.asked:
                if wire.paused and now - wire.paused_ms > CLOGGED_MS:
                    # danger: after a stall of this process there may be room unseen: look once more first
                    if wire.looked:
                        self.drop(wire, EndReason.TAKES_NO_BYTE)
                    wire.looked = True
            elif wire.up and now - wire.used_ms > (SPARE_IDLE_MS if ready else self.idle_ms):
                self.drop(wire, EndReason.IDLE)
            else:
                ready = True
        if not ready and now >= self.spare_not_before_ms and self._may_dial():
            self._dial()
        if self.outage_logged and any(w.up and now - w.up_ms >= SWEEP_MS for w in self.wires):
            # not before: one that accepts and resets would say so without end
            self.log_up()
