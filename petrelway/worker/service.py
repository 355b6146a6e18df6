"""The worker as a Twisted service: links of front ends, the desk's decisions carried out, memory measured."""

from __future__ import annotations

import json
import uuid
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import psutil
from twisted.application import service
from twisted.internet import defer, interfaces, protocol, threads
from twisted.python.failure import Failure
from zope.interface import implementer

from ..sockets.listening import listen_tcp
from ..wire import codec
from ..wire.framing import Frames, WireError
from .call_scheduler import Act, Desk, Do
from .package import PackageError
from .package_cache import Images
from .package_fetch import FetchError, Store
from .replica_process import ReplicaProcess

LINKS_BACKLOG = 256
LINKS_BOUND = 1024  # front ends at a time
BUFFER_BYTES = 1 << 18
CLOGGED_MS = 5000.0  # a front end that takes no byte for so long is left
GREETING_MS = 5000.0
DRAIN_SLACK_MS = 500.0


@implementer(interfaces.IPushProducer)
class FrontLink(protocol.Protocol):
    """One front end's connection."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.frames = Frames()
        self.front = self.process = ""
        self.timer = None

    def connectionMade(self) -> None:
        self.worker.links.append(self)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self.timer = self.worker.reactor.callLater(GREETING_MS / 1e3, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                codec.from_front(payload, self)
        except WireError as fault:
            self.worker.log.warning("front end's link closed", front_end=self.front, reason=str(fault))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._stop_timer()
        if self in self.worker.links:
            self.worker.links.remove(self)
        self.worker.tell(self.worker.desk.front_gone, self)

    def pauseProducing(self) -> None:
        if self.timer is None:
            self.timer = self.worker.reactor.callLater(CLOGGED_MS / 1e3, self.transport.abortConnection)

    def resumeProducing(self) -> None:
        self._stop_timer()

    def stopProducing(self) -> None:
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    # -- what the front end says

    def greeted(self, front_end: str, process: str) -> None:
        self.front, self.process = front_end, process
        self._stop_timer()
        w = self.worker
        self.transport.write(codec.welcome(w.name, w.process, w.machine, w.started_ms))

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
        w = self.worker
        if w.record is not None:
            who = {"fe": self.front, "fp": self.process, "s": serial, "n": number}
            w.note("recv", **who, m=mark, r=_try_of(body), f=request_class, fn=function)
        w.tell(
            w.desk.taken,
            self,
            serial,
            number,
            mark,
            function,
            memory_mb,
            lanes,
            w.keyed.get(request_class, 0.0),
            remaining_ms,
            body,
        )

    def cancelled(self, serial: int, number: int) -> None:
        self.worker.tell(self.worker.desk.cancelled, self, serial, number)

    def load_requested(self, id, function, replicas, memory_mb, lanes) -> None:
        w = self.worker
        w.note("order", fe=self.front, fp=self.process, fn=function, c=replicas)
        w.tell(w.desk.load_requested, self, id, function, replicas, memory_mb, lanes)

    def unloaded(self, function: str) -> None:
        self.worker.tell(self.worker.desk.unloaded, function)

    def asked(self, id: int) -> None:
        self.transport.write(codec.probed(id, self.worker.desk.report()))


class Worker(service.Service):
    """One worker process. Times in ms, memory in MB."""

    def __init__(
        self,
        reactor,
        name: str,
        machine: str,
        address: str,
        port: int,
        desk: Callable[[float], Desk],
        images: Images,
        store: Store,
        keyed: dict[str, float],
        start_timeout_ms: float,
        measure_ms: float,
        recheck_ms: float,
        log,
        record=None,
        in_thread: Callable[..., defer.Deferred] = threads.deferToThread,
        process: str = "",
    ) -> None:
        self.reactor, self.name, self.machine = reactor, name, machine
        self.address, self.port_number = address, port
        self.images, self.store, self.keyed = images, store, keyed
        self.start_timeout_ms, self.measure_ms, self.recheck_ms = start_timeout_ms, measure_ms, recheck_ms
        self.log, self.record, self.in_thread = log, record, in_thread
        self.process = process or uuid.uuid4().hex[:12]
        self.started_ms = reactor.seconds() * 1e3
        self.desk = desk(self.started_ms)
        self.links: list[FrontLink] = []
        self.replicas: dict[int, ReplicaProcess] = {}
        self.loading: dict[int, defer.Deferred] = {}
        self.counts: Counter[str] = Counter()
        self.turn = self.wake = None
        self.timers: dict[str, object] = {}
        self.closing = False
        self.emptied: defer.Deferred[None] | None = None

    def note(self, kind: str, **what) -> None:
        """What passed on this worker's sockets, for a rehearsal's checker."""
        if self.record is not None:
            self.record.note(kind, ex=self.name, p=self.process, **what)

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Raises CannotListenError."""
        super().startService()
        factory = protocol.Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: FrontLink(self) if len(self.links) < LINKS_BOUND else None
        self.port = listen_tcp(self.reactor, self.port_number, factory, LINKS_BACKLOG, self.address, self.log)
        self._later("measure", self.measure_ms, self._measure)
        self._later("recheck", self.recheck_ms, self._recheck)
        self.log.info(
            "worker started", address=self.address, port=self.port.getHost().port, process=self.process
        )

    def _later(self, name: str, ms: float, what: Callable) -> None:
        if ms > 0.0 and not self.closing:
            self.timers[name] = self.reactor.callLater(ms / 1e3, what)

    # -- the turn

    def tell(self, into: Callable, *what) -> None:
        """An input to the desk, and a turn for its decisions."""
        into(self.now(), *what)
        if self.turn is None and not self.closing:
            self.turn = self.reactor.callLater(0, self._turn)

    def _woken(self) -> None:
        self.wake = None
        self.tell(self.desk.time_passed)

    def _turn(self) -> None:
        self.turn = None
        now = self.now()
        while (act := self.desk.decide(now)) is not None:
            self._carry_out(act, now)
        if self.emptied is not None and self.desk.empty():
            emptied, self.emptied = self.emptied, None
            emptied.callback(None)

    def _carry_out(self, a: Act, now: float) -> None:
        if a.do is Do.ENDED:
            self.counts[f"ended {a.outcome}"] += 1
            self.note(
                "end", fe=a.front.front, fp=a.front.process, s=a.serial, n=a.number, o=a.outcome, w=a.warmth
            )
            if a.front.connected:
                a.front.transport.write(
                    codec.ended(
                        a.serial,
                        a.number,
                        a.outcome,
                        a.warmth,
                        a.crowd,
                        self.desk.report(),
                        "application/json",
                        a.body,
                    )
                )
        elif a.do is Do.CALL:
            if (copy := self.replicas.get(a.copy)) is not None and not copy.gone:
                copy.call(a.call, a.body)
        elif a.do is Do.STOP_CALL:
            if (copy := self.replicas.get(a.copy)) is not None:
                copy.stop_call(a.call)
        elif a.do is Do.STOOD:
            if a.front.connected:
                a.front.transport.write(codec.stood(a.serial, a.outcome, a.number))
        elif a.do is Do.LOAD:
            self.loading[a.copy] = load = self._load(a.copy, a.function)
            load.addErrback(self._load_failed, a.copy, a.function)
        elif a.do is Do.DROP_LOAD:
            if (load := self.loading.pop(a.copy, None)) is not None:
                load.cancel()
            self._end_replica(a.copy, "its load is dropped")
        elif a.do is Do.END_REPLICA:
            self._end_replica(a.copy, a.text)
        elif self.wake is None or not self.wake.active() or a.ms < self.wake_ms:
            if self.wake is not None and self.wake.active():
                self.wake.cancel()
            self.wake_ms = a.ms
            self.wake = self.reactor.callLater(max(0.0, a.ms - now) / 1e3, self._woken)

    # -- loads

    @defer.inlineCallbacks
    def _load(self, id: int, function: str):
        named = yield self.store.named(function)
        self.tell(self.desk.load_told, id, named.digest, named.memory_mb, named.lanes)
        if not self.images.has(named.digest):
            yield self.store.fetch(
                named, self.images.half, lambda half, digest: self.in_thread(self.images.keep, half, digest)
            )
        else:
            self.images.hits += 1
        folder, manifest = yield self.in_thread(self._lay, id, named.digest)
        if id not in self.loading:
            return
        if manifest.memory_mb > named.memory_mb:
            self.tell(self.desk.load_told, id, named.digest, manifest.memory_mb, manifest.lanes)
        self._spawn(id, function, folder, manifest.entry, manifest.lanes)

    def _lay(self, id: int, digest: str):
        """In a thread. Danger: a load dropped meanwhile has cleared up before these files were there."""
        laid = self.images.lay(digest, f"copy-{id}")
        if id not in self.loading:
            self.images.leave(f"copy-{id}")
        return laid

    def _spawn(self, id: int, function: str, folder: Path, entry: str, lanes: int) -> None:
        self.replicas[id] = ReplicaProcess.spawn(
            self.reactor,
            str(folder),
            entry,
            lanes,
            self.start_timeout_ms,
            lambda: self._stands(id),
            lambda call, good, body: self.tell(self.desk.call_ended, id, call, good, body),
            lambda why: self._died(id, function, why),
            self.log,
        )

    def _stands(self, id: int) -> None:
        self.loading.pop(id, None)
        self.tell(self.desk.load_stood, id)

    def _load_failed(self, failure: Failure, id: int, function: str) -> None:
        self.images.leave(f"copy-{id}")
        if failure.check(defer.CancelledError) and id not in self.loading:
            return
        self.loading.pop(id, None)
        if failure.check(FetchError):
            kind = failure.value.kind
        elif failure.check(PackageError):
            kind = "package refused"
        else:
            kind = failure.type.__name__
        self.log.warning("load failed", function=function, kind=kind, reason=failure.getErrorMessage())
        self.tell(self.desk.load_failed, id, kind)

    def _died(self, id: int, function: str, why: str) -> None:
        copy = self.replicas.pop(id)
        self.images.leave(f"copy-{id}")
        if self.loading.pop(id, None) is not None:
            self.log.warning("load failed", function=function, kind=why, reason=copy.tail())
            self.tell(self.desk.load_failed, id, why)
        else:
            if id in self.desk.replicas:
                self.log.warning("copy died", function=function, kind=why, output=copy.tail())
            self.tell(self.desk.replica_died, id, why)

    def _end_replica(self, id: int, why: str) -> None:
        if (copy := self.replicas.get(id)) is not None:
            copy.end(why)

    # -- memory and names

    def _measure(self) -> None:
        pids = {id: copy.pid for id, copy in self.replicas.items() if copy.pid}
        done = self.in_thread(measure, pids)
        done.addCallbacks(
            lambda seen: self.tell(self.desk.memory_seen, *seen),
            lambda failure: self.log.error("memory not measured", reason=failure.getErrorMessage()),
        )
        done.addBoth(lambda _: self._later("measure", self.measure_ms, self._measure))

    @defer.inlineCallbacks
    def _recheck(self):
        """Do the store's names still point where our copies came from?"""
        for function in sorted({c.function for c in self.desk.replicas.values()}):
            try:
                named = yield self.store.named(function)
            except (FetchError, defer.CancelledError, defer.TimeoutError):
                break  # an unreachable store proves nothing about a release
            self.tell(self.desk.released_anew, function, named.digest)
        self._later("recheck", self.recheck_ms, self._recheck)

    # -- the end

    @defer.inlineCallbacks
    def stopService(self):
        """Drain: nothing new, what runs is finished, then all copies end."""
        super().stopService()
        self.log.info("worker drains", in_hand=len(self.desk.asks))
        self.tell(self.desk.drain)
        if not self.desk.empty():
            self.emptied = defer.Deferred()
            longest = max((a.until_ms for a in self.desk.asks.values()), default=self.now()) - self.now()
            timer = self.reactor.callLater((max(0.0, longest) + DRAIN_SLACK_MS) / 1e3, self.emptied.cancel)
            try:
                yield self.emptied
            except defer.CancelledError:
                self.emptied = None
            if timer.active():
                timer.cancel()
        pause: defer.Deferred = defer.Deferred()
        self.reactor.callLater(0.05, pause.callback, None)  # the last answers leave
        yield pause
        self.closing = True
        yield defer.maybeDeferred(self.port.stopListening)
        for call in (self.turn, self.wake, *self.timers.values()):
            if call is not None and call.active():
                call.cancel()
        for load in list(self.loading.values()):
            load.cancel()
        for copy in list(self.replicas.values()):
            copy.end("the worker leaves")
        for link in list(self.links):
            link.transport.unregisterProducer()
            link.transport.loseConnection()
        yield self.store.close()
        while self.replicas:
            pause = defer.Deferred()
            self.reactor.callLater(0.02, pause.callback, None)
            yield pause
        self.note("down", why="left")
        self.counts["images found"] = self.images.hits
        self.counts["images spoilt"] = self.images.spoilt
        self.counts["marks forgotten early"] = self.desk.repeats.forgotten_early
        self.log.info("worker left", counts=dict(sorted((self.counts + self.desk.counts).items())))


def _try_of(body: bytes) -> int:
    """A rehearsal's clients say in the body which try of theirs it is."""
    try:
        return int(json.loads(body)["try"])
    except (ValueError, KeyError, TypeError):
        return 0


def pss_mb(process: psutil.Process) -> float:
    """The proportional set size of one process, in MB: its own pages, and its part of the shared ones."""
    return process.memory_full_info().pss / 2**20


def measure(pids: dict[int, int]) -> tuple[float, dict[int, float]]:
    """MB of this process, and of each copy with all that it forked; one that is gone counts nothing."""
    seen = {}
    for id, pid in pids.items():
        try:
            process = psutil.Process(pid)
            total = pss_mb(process)
            for child in process.children(recursive=True):
                try:
                    total += pss_mb(child)
                except psutil.Error:
                    continue
            seen[id] = total
        except psutil.Error:
            continue
    return pss_mb(psutil.Process()), seen
