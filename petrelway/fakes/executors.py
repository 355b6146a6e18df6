"""Stand-in executors on sockets: machines behind the worker protocol, with faults of process and socket."""

from __future__ import annotations

import json
from collections import deque

from twisted.internet import protocol

from ..common import attempt_parameter
from ..wire import codec
from ..wire.framing import Frames, WireError
from .executor_model import Work
from .process_lifecycle import Life

CONNECTIONS_BOUND = 512


class WorkerServer(protocol.Protocol):
    """One front end's connection."""

    sent_ms = 0.0  # sockets don't tell

    def __init__(self, executor: Executor) -> None:
        self.executor = executor
        self.frames = Frames()
        self.front = self.process = ""
        self.trickle: deque[bytes] = deque()

    def connectionMade(self) -> None:
        self.executor.wires.append(self)
        if self.executor.never_read:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                codec.from_front(payload, self)
        except WireError as fault:
            self.executor.record.note(
                "bad frame", ex=self.executor.post.name, fe=self.front, reason=str(fault)
            )
            self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        if self in self.executor.wires:
            self.executor.wires.remove(self)
        if self.executor.machine is not None:
            self.executor.machine.front_lost(self)

    # -- what a front end says

    def greeted(self, front_end: str, process: str) -> None:
        self.front, self.process = front_end, process
        e = self.executor
        self.say(codec.welcome(e.post.name, e.process, e.kind.name, e.started_ms))

    def sent(
        self,
        serial,
        number,
        mark,
        function,
        memory_mb,
        lanes,
        request_class,
        tenant,
        remaining_ms,
        work_ms,
        content_type,
        body,
    ) -> None:
        try:
            truth = json.loads(body) if body else {}
            real_ms, io_ms = float(truth.get("work_ms", work_ms)), float(truth.get("io_ms", 0.0))
        except (ValueError, TypeError, AttributeError):
            real_ms, io_ms = work_ms, 0.0
        turn = attempt_parameter.attempt_number(content_type)
        self.executor.receive(
            self,
            serial,
            number,
            mark,
            turn,
            function,
            memory_mb,
            lanes,
            request_class,
            tenant,
            remaining_ms,
            real_ms,
            io_ms,
        )

    def cancelled(self, serial: int, number: int) -> None:
        if self.executor.machine is not None:
            self.executor.machine.cancel_attempt(self, serial, number)

    def load_requested(self, id, function, replicas, memory_mb, lanes) -> None:
        self.executor.load_requested(self, id, function, replicas, memory_mb, lanes)

    def unloaded(self, function: str) -> None:
        if self.executor.machine is not None:
            self.executor.machine.unload(function)

    def probe_received(self, id: int) -> None:
        e = self.executor
        e.record.note("probe", ex=e.post.name, fe=self.front)
        if e.machine is not None and not e.machine.frozen:
            self.say(codec.probed(id, codec.LoadReport(*e.machine.load())))

    # -- what it hears, with the socket's faults

    def say_ended(self, work: Work, outcome: int, warmth: int, crowd: int) -> None:
        m = self.executor.machine
        load = codec.LoadReport(*m.load()) if m is not None else codec.LoadReport()
        body = b'{"status":"good"}' if outcome == 0 else b""
        self.say(
            codec.ended(work.serial, work.number, outcome, warmth, crowd, load, "application/json", body)
        )

    def say_stood(self, id: int, outcome: int, replicas: int) -> None:
        self.say(codec.load_request_ended(id, outcome, replicas))

    def abort(self) -> None:
        self.transport.abortConnection()

    def read_on(self, on: bool) -> None:
        (self.transport.resumeProducing if on else self.transport.pauseProducing)()

    def say(self, frame: bytes) -> None:
        e = self.executor
        if not self.connected or e.half_open:
            return
        if e.garbage and e.random_source.random() < e.garbage:
            self.transport.write(e.random_source.randbytes(40))
            return
        if e.reset and e.random_source.random() < e.reset:
            self.transport.write(frame[: len(frame) // 2])
            self.executor.clock.callLater(0.002, self.transport.abortConnection)
            return
        if e.one_byte or self.trickle:
            idle = not self.trickle
            self.trickle.extend(frame[i : i + 1] for i in range(len(frame)))
            if idle:
                self._drip()
            return
        self.transport.write(frame)

    def _drip(self) -> None:
        """One byte at a time, some in each turn of the reactor."""
        for _ in range(8):
            if not self.trickle or not self.connected:
                return
            self.transport.write(self.trickle.popleft())
        if self.trickle:
            self.executor.clock.callLater(0.0005, self._drip)


class Executor(Life, protocol.Factory):
    """One post of the script on sockets: listens while its process lives."""

    noisy = False

    def __init__(self, reactor, post, port: int, day, epoch_ms, record, store, functions, marks) -> None:
        super().__init__(reactor, post, day, epoch_ms, record, store, functions, marks)
        self.reactor, self.port = reactor, port
        self.listening = None

    def buildProtocol(self, address):
        return WorkerServer(self) if len(self.wires) < CONNECTIONS_BOUND else None

    def listen(self) -> None:
        self.listening = self.reactor.listenTCP(self.port, self, backlog=256, interface="127.0.0.1")

    def unlisten(self) -> None:
        self.listening.stopListening()
