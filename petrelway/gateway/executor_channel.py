"""Links to executors: one TCP connection each, many attempts at a time.

A link connects as soon as the registry names its executor and again, with backoff, whenever it broke. What it
tells the host is exact: see proof.py. The clock, the connector and the chance are handed in.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..routing.types import Outcome
from ..wire import codec
from ..wire.framing import Frames, WireError
from .attempt_ledger import AttemptKey, AttemptLedger
from .backoff import Backoff
from .channel_base import BUFFER_BYTES, CLOGGED_MS, ChannelListener, QuestionKind, SocketChannelReports
from .connection_end_reasons import EndReason, failure_reason

CONNECT_TIMEOUT_MS = 250.0  # a connection that is not up by then counts as unreachable
WAITING_BOUND = 512  # attempts that wait at one link for a connection or for room
GREETING_MS = 2000.0  # an executor that accepts and says nothing for so long is no executor
RETRY_LEAST_MS, RETRY_MOST_MS = 50.0, 1000.0
LOAD_REQUESTS_BOUND = 256  # orders to load and probes out at one link


@implementer(interfaces.IPushProducer)
class ExecutorProtocol(protocol.Protocol):
    """Bytes of one connection; as a push producer it hears when the transport's buffer is full."""

    def __init__(self, link: ExecutorChannel) -> None:
        self.link = link
        self.frames = Frames()
        self.paused = False

    def connectionMade(self) -> None:
        for name, value in (("setTcpNoDelay", True), ("setTcpKeepAlive", True)):
            getattr(self.transport, name, lambda _: None)(value)
        if hasattr(self.transport, "bufferSize"):
            self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.link.came_up(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                codec.from_executor(payload, self.link)
        except WireError as fault:
            self.link.faulted(str(fault))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.link.went_down(self, reason)

    def pauseProducing(self) -> None:
        self.paused = True
        self.link.clogged()

    def resumeProducing(self) -> None:
        self.paused = False
        self.link.cleared()

    def stopProducing(self) -> None:
        self.paused = True


class ExecutorChannel(SocketChannelReports):
    """One executor's link, whatever connections it lives through."""

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
    ) -> None:
        self.executor, self.stable, self.address, self.port = executor, stable, address, port
        self.front_end, self.process = front_end, process
        self.clock, self.connect, self.listener, self.log = clock, connect, listener, log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.ledger = AttemptLedger(WAITING_BOUND)
        self.frames: dict[
            AttemptKey, Callable[[float], bytes]
        ] = {}  # of the waiting ones, by the time left in ms
        self.load_requests: dict[int, QuestionKind] = {}  # orders to load and probes handed over, by id
        self.wire: ExecutorProtocol | None = None
        self.ready = False  # the executor has said who it is
        self.closed = False
        self.reason: EndReason | None = None  # why the last connection ended, if this side ended it ...
        self.detail = ""  # ... and more of it, for the log
        self.said_reasons = set[EndReason]()
        self.attempt = None  # the connect under way
        self.timer = None  # the next connect, or the watch on a connection that says or takes nothing
        self.said_down = False
        self.started_ms = 0.0  # of the process at the other end
        self._dial()

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
        body: bytes,
    ) -> None:
        """Hand a attempt to the executor, at once or when there is a connection with room."""
        if self.closed or not self.ledger.wait(key):
            self.report_unanswered(key, Outcome.UNSENT)
            return
        if self.wire is None and self.attempt is None:
            # between two tries: danger: holding it hides the outage
            self.ledger.abandon(key, Outcome.UNSENT)
            self.report_unanswered(key, Outcome.UNREACHABLE)
            return
        self.frames[key] = lambda left_ms: codec.send(
            *key,
            mark,
            function,
            memory_mb,
            lanes,
            request_class,
            tenant,
            left_ms,
            work_ms,
            content_type,
            body,
        )
        if len(self.frames) == 1 and self._writable():
            self._hand_over(remaining_ms)

    def _writable(self) -> bool:
        return self.wire is not None and self.ready and not self.wire.paused

    def _hand_over(self, left_ms: float) -> None:
        """The one that has waited longest."""
        self.wire.transport.write(self.frames.pop(self.ledger.hand_over())(left_ms))

    def cancel_attempt(self, key: AttemptKey, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        """Nobody waits any more: what it ended as, or None if it is not out here."""
        given_up = self.ledger.abandon(key, outcome)
        if given_up is None:
            return None
        handed, ended = given_up
        self.frames.pop(key, None)
        if handed and self.wire is not None:
            self.wire.transport.write(codec.cancel_attempt(*key))
        return ended

    def order(self, id: int, function: str, replicas: int, memory_mb: float, lanes: int) -> Outcome | None:
        """An order to load; an outcome if it could not be handed over."""
        return self._ask(id, QuestionKind.LOAD, codec.order(id, function, replicas, memory_mb, lanes))

    def probe(self, id: int) -> Outcome | None:
        """A probe; an outcome if it could not be handed over."""
        return self._ask(id, QuestionKind.PROBE, codec.probe(id))

    def _ask(self, id: int, question: QuestionKind, frame: bytes) -> Outcome | None:
        if self.wire is None or not self.ready:
            return Outcome.UNREACHABLE
        if self.wire.paused or len(self.load_requests) >= LOAD_REQUESTS_BOUND:
            return Outcome.UNSENT
        self.load_requests[id] = question
        self.wire.transport.write(frame)
        return None

    def unload(self, function: str) -> None:
        if self._writable():
            self.wire.transport.write(codec.unload(function))

    def forget_load_request(self, id: int) -> bool:
        """Its time is up; False if it has ended."""
        return self.load_requests.pop(id, None) is not None

    def moved(self, address: str, port: int) -> None:
        """The registry names another place for the same executor."""
        if (address, port) != (self.address, self.port):
            self.address, self.port = address, port
            if self.wire is not None:
                self.wire.transport.abortConnection()

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        """The registry names a process started then; a link to an older one is half open and cannot answer."""
        if self.wire is not None and self.ready and self.started_ms < unix_ms - 1.0:
            self.reason = EndReason.RESTARTED
            self.wire.transport.abortConnection()

    def close(self) -> None:
        """Leave for good; what is still out ends here."""
        self.closed = True
        self._stop_timer()
        if self.attempt is not None:
            self.attempt.cancel()
        if self.wire is not None:
            self.wire.transport.unregisterProducer()  # or the transport would wait for it
            self.wire.transport.loseConnection()
        self._end_all()

    # -- the connection's side

    def _dial(self) -> None:
        self.timer = None
        if self.closed:
            return
        self.attempt = attempt = self.connect(
            self.address, self.port, lambda: ExecutorProtocol(self), CONNECT_TIMEOUT_MS
        )
        attempt.addCallbacks(lambda _: None, self._refused)

    def _refused(self, failure: Failure) -> None:
        self.attempt = None
        if not self.closed:
            self._down(failure_reason(failure))

    def came_up(self, wire: ExecutorProtocol) -> None:
        self.attempt = None
        if self.closed:
            wire.transport.abortConnection()
            return
        self.wire, self.ready = wire, False
        self.reason, self.detail = None, ""
        wire.transport.write(codec.greeting(self.front_end, self.process))
        self.timer = self.clock.callLater(GREETING_MS / 1e3, self._timed_out, EndReason.NO_WELCOME)

    def welcomed(self, executor: str, process: str, machine: str, started_ms: float) -> None:
        if executor != self.stable:  # danger: a port used anew by another executor must not be trusted
            raise WireError(
                f"{self.address}:{self.port} says it is {executor!r}, the roster says {self.stable!r}"
            )
        self._stop_timer()
        self.ready, self.started_ms = True, started_ms
        self.backoff.succeeded()
        self.log_up()
        if self.wire is not None and self.wire.paused:
            self.clogged()
        self._drain()

    def ended(
        self,
        serial: int,
        number: int,
        outcome: int,
        warmth: int,
        crowd: int,
        load: codec.Load,
        content_type: str,
        body: bytes,
    ) -> None:
        if self.ledger.ended((serial, number)):
            self.listener.attempt_ended(
                self.executor, (serial, number), Outcome(outcome), warmth, crowd, load, content_type, body
            )

    def stood(self, id: int, outcome: int, replicas: int) -> None:
        if self.load_requests.pop(id, None) is QuestionKind.LOAD:
            self.listener.load_request_answered(self.executor, id, Outcome(outcome), replicas)

    def probed(self, id: int, load: codec.Load) -> None:
        if self.load_requests.pop(id, None) is QuestionKind.PROBE:
            self.listener.probe_answered(self.executor, id, Outcome.SUCCEEDED, load)

    def faulted(self, detail: str) -> None:
        self.reason, self.detail = EndReason.UNREADABLE, detail

    def went_down(self, wire: ExecutorProtocol, reason: Failure) -> None:
        if wire is not self.wire:
            return
        self.wire, self.ready = None, False
        self._stop_timer()
        if not self.closed:
            self._down(self.reason or failure_reason(reason))

    def clogged(self) -> None:
        if self.ready and self.timer is None:
            self.timer = self.clock.callLater(CLOGGED_MS / 1e3, self._timed_out, EndReason.TAKES_NO_BYTE)

    def cleared(self) -> None:
        if self.ready:
            self._stop_timer()
        self._drain()

    def _timed_out(self, reason: EndReason) -> None:
        self.timer = None
        self.reason = reason
        if self.wire is not None:
            self.wire.transport.abortConnection()

    def _drain(self) -> None:
        self.drain(self.frames, self._writable, self._hand_over)

    def _down(self, reason: EndReason) -> None:
        self.log_down(reason, self.detail)
        self._end_all()
        self.timer = self.clock.callLater(self.backoff.failed() / 1e3, self._dial)

    def _end_all(self) -> None:
        self.frames.clear()
        for key, outcome in self.ledger.broke():
            self.report_unanswered(key, outcome)
        load_requests, self.load_requests = self.load_requests, {}
        self.report_reset(load_requests.items())

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
