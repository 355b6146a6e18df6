"""Channels to executors: one TCP connection each, which carries many attempts at a time.

A channel connects as soon as the registry names its executor, and reconnects with backoff whenever the
connection breaks. The outcome that it reports to the dispatcher for each attempt is exact: see
attempt_ledger.py. The clock, the connector and the random source are parameters.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import defer, interfaces
from twisted.python.failure import Failure

from ..routing.types import Outcome
from ..wire import codec
from ..wire.framing import WireError
from .attempt_ledger import AttemptKey, AttemptLedger
from .backoff import Backoff
from .channel_base import WRITE_STALL_TIMEOUT_MS, ChannelListener, QuestionKind, SocketChannelReports
from .connection_end_reasons import EndReason, failure_reason
from .executor_protocol import ExecutorProtocol

CONNECT_TIMEOUT_MS = 250.0  # an executor to which no connection is made by then is unreachable
WAITING_BOUND = 512  # attempts that may wait in one channel for a connection or for buffer space
# An endpoint that accepts the connection but sends no welcome for this long is not an executor.
GREETING_TIMEOUT_MS = 2000.0
RETRY_LEAST_MS = 50.0  # first delay before reconnecting; it doubles with each failure ...
RETRY_MOST_MS = 1000.0  # ... up to this delay
MAX_QUESTIONS_IN_FLIGHT = 256  # load requests and probes in flight on one channel


class ExecutorChannel(SocketChannelReports):
    """The channel to one executor, across all its successive connections."""

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
        self.executor = executor
        self.stable = stable
        self.address = address
        self.port = port
        self.front_end = front_end
        self.process = process
        self.clock = clock
        self.connect = connect
        self.listener = listener
        self.log = log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.ledger = AttemptLedger(WAITING_BOUND)
        # For each waiting attempt, a function that builds its frame from the time left in ms.
        self.frames: dict[AttemptKey, Callable[[float], bytes]] = {}
        self.load_requests: dict[int, QuestionKind] = {}  # load requests and probes in flight, by id
        self.connection: ExecutorProtocol | None = None
        self.ready = False  # the executor has sent its welcome
        self.closed = False
        self.reason: EndReason | None = None  # why the last connection ended, if this side ended it ...
        self.detail = ""  # ... and details of it, for the log
        self.logged_reasons = set[EndReason]()
        self.outage_logged = False
        self.connecting: defer.Deferred | None = None
        # The next connect, the timeout of the welcome, or that of a connection that accepts no bytes.
        self.timer: interfaces.IDelayedCall | None = None
        self.started_ms = 0.0  # start time of the executor process, Unix time
        self._connect()

    # -- called by the dispatcher

    def send(
        self,
        key: AttemptKey,
        idempotency_key: str,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        cost_estimate_ms: float,
        content_type: str,
        body: bytes,
    ) -> None:
        """Send an attempt to the executor, at once or when a connection has space in its buffer."""
        if self.closed or not self.ledger.wait(key):
            self.report_unanswered(key, Outcome.UNSENT)
            return
        if self.connection is None and self.connecting is None:
            # Between two connects: an attempt that waited here would hide the outage.
            self.ledger.abandon(key, Outcome.UNSENT)
            self.report_unanswered(key, Outcome.UNREACHABLE)
            return
        self.frames[key] = lambda left_ms: codec.send(
            *key,
            idempotency_key,
            function,
            memory_mb,
            lanes,
            request_class,
            tenant,
            left_ms,
            cost_estimate_ms,
            content_type,
            body,
        )
        if len(self.frames) == 1 and self._writable():
            self._hand_over(remaining_ms)

    def _writable(self) -> bool:
        return self.connection is not None and self.ready and not self.connection.paused

    def _hand_over(self, left_ms: float) -> None:
        """Write the attempt that has waited longest."""
        self.connection.transport.write(self.frames.pop(self.ledger.hand_over())(left_ms))

    def cancel_attempt(self, key: AttemptKey, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        """Cancel an attempt; return the outcome that it ended with, or None if it is not in flight here."""
        abandoned = self.ledger.abandon(key, outcome)
        if abandoned is None:
            return None
        handed_over, ended = abandoned
        self.frames.pop(key, None)
        if handed_over and self.connection is not None:
            self.connection.transport.write(codec.cancel_attempt(*key))
        return ended

    def request_load(
        self, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> Outcome | None:
        """Send a load request; return an outcome if it could not be handed over, else None."""
        return self._hand_over_question(
            id, QuestionKind.LOAD, codec.request_load(id, function, replicas, memory_mb, lanes)
        )

    def probe(self, id: int) -> Outcome | None:
        """Send a health check; return an outcome if it could not be handed over, else None."""
        return self._hand_over_question(id, QuestionKind.PROBE, codec.probe(id))

    def _hand_over_question(self, id: int, kind: QuestionKind, frame: bytes) -> Outcome | None:
        if self.connection is None or not self.ready:
            return Outcome.UNREACHABLE
        if self.connection.paused or len(self.load_requests) >= MAX_QUESTIONS_IN_FLIGHT:
            return Outcome.UNSENT
        self.load_requests[id] = kind
        self.connection.transport.write(frame)
        return None

    def unload(self, function: str) -> None:
        """Ask the executor to unload the idle replicas of a function; this is a hint that may be lost."""
        if self._writable():
            self.connection.transport.write(codec.unload(function))

    def forget_load_request(self, id: int) -> bool:
        """Drop a load request that timed out; return False if it has already ended."""
        return self.load_requests.pop(id, None) is not None

    def forget_probe(self, id: int) -> None:
        """Drop a health check that timed out."""
        self.load_requests.pop(id, None)

    def moved(self, address: str, port: int) -> None:
        """Reconnect if the registry lists the executor at another address."""
        if (address, port) != (self.address, self.port):
            self.address = address
            self.port = port
            if self.connection is not None:
                self.connection.transport.abortConnection()

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        """Reconnect if the registry lists a later process than the connected one.

        The connection to the older process is half open. `unix_ms`: the listed start, Unix time."""
        if self.connection is not None and self.ready and self.started_ms < unix_ms - 1.0:
            self.reason = EndReason.RESTARTED
            self.connection.transport.abortConnection()

    def close(self) -> None:
        """Close the channel for good; everything still in flight ends."""
        self.closed = True
        self._stop_timer()
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.transport.unregisterProducer()  # else the transport would wait for the producer
            self.connection.transport.loseConnection()
        self._end_attempts()

    # -- called by the connection and the codec

    def _connect(self) -> None:
        self.timer = None
        if self.closed:
            return
        self.connecting = connecting = self.connect(
            self.address, self.port, lambda: ExecutorProtocol(self), CONNECT_TIMEOUT_MS
        )
        connecting.addCallbacks(lambda _: None, self._connect_failed)

    def _connect_failed(self, failure: Failure) -> None:
        self.connecting = None
        if not self.closed:
            self._outage(failure_reason(failure))

    def connection_made(self, connection: ExecutorProtocol) -> None:
        """Send the greeting; the executor has to answer with its welcome."""
        self.connecting = None
        if self.closed:
            connection.transport.abortConnection()
            return
        self.connection = connection
        self.ready = False
        self.reason = None
        self.detail = ""
        connection.transport.write(codec.greeting(self.front_end, self.process))
        self.timer = self.clock.callLater(GREETING_TIMEOUT_MS / 1e3, self._timed_out, EndReason.NO_WELCOME)

    def welcomed(self, executor: str, process: str, machine: str, started_ms: float) -> None:
        """Accept the executor's welcome and send what has waited. Raise WireError for a wrong executor."""
        if executor != self.stable:  # another executor may listen on this port now
            raise WireError(
                f"{self.address}:{self.port}: found executor {executor!r}; the registry lists {self.stable!r}"
            )
        self._stop_timer()
        self.ready = True
        self.started_ms = started_ms
        self.backoff.succeeded()
        self.log_up()
        if self.connection is not None and self.connection.paused:
            self.writing_paused()
        self._send_waiting()

    def ended(
        self,
        serial: int,
        number: int,
        outcome: int,
        warmth: int,
        crowd: int,
        load: codec.LoadReport,
        content_type: str,
        body: bytes,
    ) -> None:
        """Report the end of an attempt to the listener; ignore an attempt that has already ended."""
        if self.ledger.ended((serial, number)):
            self.listener.attempt_ended(
                self.executor, (serial, number), Outcome(outcome), warmth, crowd, load, content_type, body
            )

    def load_request_ended(self, id: int, outcome: int, replicas: int) -> None:
        """Report the executor's answer to a load request to the listener."""
        if self.load_requests.pop(id, None) is QuestionKind.LOAD:
            self.listener.load_request_answered(self.executor, id, Outcome(outcome), replicas)

    def probed(self, id: int, load: codec.LoadReport) -> None:
        """Report the executor's answer to a health check to the listener."""
        if self.load_requests.pop(id, None) is QuestionKind.PROBE:
            self.listener.probe_answered(self.executor, id, Outcome.SUCCEEDED, load)

    def protocol_failed(self, detail: str) -> None:
        """Note why the connection is about to be closed."""
        self.reason = EndReason.UNREADABLE
        self.detail = detail

    def connection_lost(self, connection: ExecutorProtocol, reason: Failure) -> None:
        """End everything in flight and schedule a reconnect."""
        if connection is not self.connection:
            return
        self.connection = None
        self.ready = False
        self._stop_timer()
        if not self.closed:
            self._outage(self.reason or failure_reason(reason))

    def writing_paused(self) -> None:
        """Start the timeout after which a connection that accepts no bytes is closed."""
        if self.ready and self.timer is None:
            self.timer = self.clock.callLater(
                WRITE_STALL_TIMEOUT_MS / 1e3, self._timed_out, EndReason.TAKES_NO_BYTE
            )

    def writing_resumed(self) -> None:
        """Write the attempts that have waited for buffer space."""
        if self.ready:
            self._stop_timer()
        self._send_waiting()

    def _timed_out(self, reason: EndReason) -> None:
        self.timer = None
        self.reason = reason
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def _send_waiting(self) -> None:
        self.send_waiting(self.frames, self._writable, self._hand_over)

    def _outage(self, reason: EndReason) -> None:
        self.log_down(reason, self.detail)
        self._end_attempts()
        self.timer = self.clock.callLater(self.backoff.failed() / 1e3, self._connect)

    def _end_attempts(self) -> None:
        self.frames.clear()
        for key, outcome in self.ledger.end_all():
            self.report_unanswered(key, outcome)
        questions = self.load_requests
        self.load_requests = {}
        self.report_reset(questions.items())

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
