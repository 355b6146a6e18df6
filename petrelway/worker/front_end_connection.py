"""The connections that front ends open to a worker: messages in to the call scheduler, answers out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..common import attempt_parameter
from ..wire import codec
from ..wire.framing import Frames, WireError
from .actions import Action
from .request_identity import identify
from .scheduler_state import Attempt

if TYPE_CHECKING:
    from .service import WorkerService

SEND_BUFFER_BYTES = 1 << 18
BLOCKED_TIMEOUT_MS = 5000.0  # a front end that takes no byte for so long is disconnected
GREETING_TIMEOUT_MS = 5000.0


@implementer(interfaces.IPushProducer)
class FrontEndConnectionProtocol(protocol.Protocol):
    """One front end's connection. The codec calls it as a `codec.ExecutorListener`."""

    def __init__(self, worker: WorkerService) -> None:
        """Serve one connection of this worker."""
        self.worker = worker
        self.frames = Frames()
        self.front_end = ""
        self.process = ""
        self.refused_message = False  # which is logged once for a connection
        self.timer = None

    def connectionMade(self) -> None:
        """Wait for the greeting."""
        self.worker.connections.append(self)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = SEND_BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self._start_timer(GREETING_TIMEOUT_MS)

    def dataReceived(self, data: bytes) -> None:
        """Decode messages; close the connection at the first one that is malformed."""
        try:
            for payload in self.frames.feed(data):
                self._message_received(payload)
        except WireError as error:
            self.worker.log.warning(
                "front-end connection closed", front_end=self.front_end, reason=str(error)
            )
            self.transport.abortConnection()

    def _message_received(self, payload: bytes) -> None:
        try:
            codec.from_front(payload, self)
        except codec.UnusableMessageError as error:
            self._refuse(error)

    def _refuse(self, error: codec.UnusableMessageError) -> None:
        """Answer a message that can't be used: what is open beside it on this connection goes on."""
        self.worker.counts["unusable messages"] += 1
        if not self.refused_message:
            self.refused_message = True
            self.worker.log.warning("unusable message", front_end=self.front_end, reason=str(error))
        if error.answer:
            self.transport.write(error.answer)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Have the scheduler stop what this front end waited for."""
        self._stop_timer()
        if self in self.worker.connections:
            self.worker.connections.remove(self)
        self.worker.submit(self.worker.scheduler.front_end_disconnected, self)

    def pauseProducing(self) -> None:
        """Give a front end that takes no bytes some time."""
        if self.timer is None:
            self._start_timer(BLOCKED_TIMEOUT_MS)

    def resumeProducing(self) -> None:
        """Go on: it takes bytes again."""
        self._stop_timer()

    def stopProducing(self) -> None:
        """Stop: the transport is closed."""
        self._stop_timer()

    def _start_timer(self, timeout_ms: float) -> None:
        self.timer = self.worker.reactor.callLater(timeout_ms / 1e3, self.transport.abortConnection)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    # -- messages from the front end

    def greeted(self, front_end: str, process: str) -> None:
        """Answer the greeting."""
        self.front_end = front_end
        self.process = process
        self._stop_timer()
        worker = self.worker
        self.transport.write(codec.welcome(worker.name, worker.process, worker.machine, worker.started_ms))

    def sent(
        self,
        serial: int,
        number: int,
        idempotency_key: str,
        function: str,
        memory_mb: float,
        concurrency: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: bytes,
    ) -> None:
        """Hand an attempt to the scheduler."""
        worker = self.worker
        if worker.record is not None:
            sender = {"fe": self.front_end, "fp": self.process, "s": serial, "n": number}
            attempt_number = attempt_parameter.attempt_number(content_type)
            worker.note("recv", **sender, m=idempotency_key, r=attempt_number, f=request_class, fn=function)
        window_ms = worker.deduplication_windows_ms.get(request_class, 0.0)
        identity = None
        if window_ms > 0.0:
            identity = identify(tenant, idempotency_key, function, request_class, body)
        attempt = Attempt(
            front_end=self,
            serial=serial,
            number=number,
            function=function,
            memory_mb=memory_mb,
            concurrency=concurrency,
            body=body,
            identity=identity,
            deduplication_window_ms=window_ms,
        )
        worker.submit(worker.scheduler.attempt_received, attempt, remaining_ms)

    def cancelled(self, serial: int, number: int) -> None:
        """Have the scheduler stop an attempt."""
        self.worker.submit(self.worker.scheduler.attempt_cancelled, self, serial, number)

    def load_requested(
        self, id: int, function: str, replicas: int, memory_mb: float, concurrency: int
    ) -> None:
        """Hand a load request to the scheduler."""
        worker = self.worker
        worker.note("order", fe=self.front_end, fp=self.process, fn=function, c=replicas)
        worker.submit(worker.scheduler.load_requested, self, id, function, replicas, memory_mb, concurrency)

    def unloaded(self, function: str) -> None:
        """Have the scheduler end the idle replicas of a function."""
        self.worker.submit(self.worker.scheduler.unload_requested, function)

    def probe_received(self, id: int) -> None:
        """Answer a probe with the load report."""
        self.transport.write(codec.probed(id, self.worker.scheduler.load_report()))

    # -- answers to it

    def answer_attempt(self, action: Action) -> None:
        """Send how an attempt ended, with the load report; nothing once the connection is closed."""
        if not self.connected:
            return
        self.transport.write(
            codec.ended(
                action.serial,
                action.number,
                action.outcome,
                action.warmth,
                action.crowd,
                self.worker.scheduler.load_report(),
                "application/json",
                action.body,
            )
        )

    def answer_load_request(self, action: Action) -> None:
        """Send how a load request ended; nothing once the connection is closed."""
        if self.connected:
            self.transport.write(codec.load_request_ended(action.serial, action.outcome, action.number))
