"""The worker as a Twisted service: it listens for front ends and carries the call scheduler's actions out.

Front-end connections and the replica host submit events; each turn of the reactor then takes the scheduler's
actions one by one. Memory is measured and the store's releases are checked at intervals.
"""

from __future__ import annotations

import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from twisted.application import service
from twisted.internet import defer, protocol, threads

from ..sockets.answer_flush import AnswerFlush
from ..sockets.listening import listen_tcp
from .actions import Action, ActionKind
from .call_scheduler import CallScheduler
from .front_end_connection import BLOCKED_TIMEOUT_MS, FrontEndConnectionProtocol
from .memory_measurement import measure
from .package_cache import PackageCache
from .package_fetch import FetchError, PackageStoreClient
from .replica_host import ReplicaHost
from .scheduler_state import SchedulerConfig

LINKS_BACKLOG = 256
LINKS_BOUND = 1024  # front ends at a time
DRAIN_SLACK_MS = 500.0  # after the last deadline, for answers that are on their way
LAST_ANSWERS_S = 0.05  # for the last answers to be written before connections are closed
REPLICAS_ENDED_POLL_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerConfig:
    """Who a worker is, where it listens, and its intervals. Times in ms; an interval of 0 means never."""

    name: str
    machine: str
    address: str
    port: int
    deduplication_windows_ms: dict[str, float]  # by request class
    start_timeout_ms: float  # of a replica's process
    measure_interval_ms: float
    release_check_interval_ms: float
    process: str = ""  # its identity; drawn if empty


class WorkerService(service.Service):
    """One worker process. Times in ms, memory in MB."""

    def __init__(
        self,
        reactor,
        config: WorkerConfig,
        scheduler_config: SchedulerConfig,
        cache: PackageCache,
        store: PackageStoreClient,
        log,
        record=None,
        in_thread: Callable[..., defer.Deferred] = threads.deferToThread,
    ) -> None:
        """Prepare a worker that is not yet listening."""
        self.reactor = reactor
        self.config = config
        self.name = config.name
        self.machine = config.machine
        self.process = config.process or uuid.uuid4().hex[:12]
        self.deduplication_windows_ms = config.deduplication_windows_ms
        self.cache = cache
        self.store = store
        self.log = log
        self.record = record
        self.in_thread = in_thread
        self.started_ms = reactor.seconds() * 1e3
        self.scheduler = CallScheduler(self.started_ms, scheduler_config)
        self.host = ReplicaHost(
            reactor, self.scheduler, cache, store, config.start_timeout_ms, self.submit, in_thread, log
        )
        self.connections: list[FrontEndConnectionProtocol] = []
        self.counts: Counter[str] = Counter()
        self.turn = None
        self.wake_up = None
        self.wake_up_ms = 0.0
        self.turn_started_ms = self.started_ms
        self.interval_timers: dict[str, object] = {}
        self.closing = False
        self.drained: defer.Deferred[None] | None = None
        self.handlers: dict[ActionKind, Callable[[Action], None]] = {
            ActionKind.START_LOAD: lambda action: self.host.start_load(action.replica_id, action.function),
            ActionKind.CANCEL_LOAD: lambda action: self.host.cancel_load(action.replica_id),
            ActionKind.START_CALL: lambda action: self.host.start_call(
                action.replica_id, action.call_id, action.body
            ),
            ActionKind.STOP_CALL: lambda action: self.host.stop_call(action.replica_id, action.call_id),
            ActionKind.END_REPLICA: lambda action: self.host.end_replica(action.replica_id, action.reason),
            ActionKind.ANSWER_ATTEMPT: self._answer_attempt,
            ActionKind.ANSWER_LOAD_REQUEST: lambda action: action.front_end.answer_load_request(action),
            ActionKind.SET_TIMER: self._set_wake_up,
        }

    def note(self, kind: str, **fields) -> None:
        """Record what passed on this worker's sockets, for a scenario's checker."""
        if self.record is not None:
            self.record.note(kind, ex=self.name, p=self.process, **fields)

    def now(self) -> float:
        """Return the reactor's time in ms."""
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Listen for front ends. Raises CannotListenError."""
        super().startService()
        factory = protocol.Factory()
        factory.noisy = False
        factory.buildProtocol = self._build_connection
        self.port = listen_tcp(
            self.reactor, self.config.port, factory, LINKS_BACKLOG, self.config.address, self.log
        )
        self._schedule("measure", self.config.measure_interval_ms, self._measure_memory)
        self._schedule("release check", self.config.release_check_interval_ms, self._check_releases)
        self.log.info(
            "worker started",
            address=self.config.address,
            port=self.port.getHost().port,
            process=self.process,
        )

    def _build_connection(self, _address) -> FrontEndConnectionProtocol | None:
        if len(self.connections) >= LINKS_BOUND:
            return None
        return FrontEndConnectionProtocol(self)

    def _schedule(self, name: str, interval_ms: float, function: Callable) -> None:
        if interval_ms > 0.0 and not self.closing:
            self.interval_timers[name] = self.reactor.callLater(interval_ms / 1e3, function)

    # -- events in, actions out

    def submit(self, event: Callable, *arguments) -> None:
        """Hand an event to the scheduler, and take its actions in the reactor's next turn."""
        event(self.now(), *arguments)
        if self.turn is None and not self.closing:
            self.turn = self.reactor.callLater(0, self._take_actions)

    def _take_actions(self) -> None:
        self.turn = None
        now = self.now()
        self.turn_started_ms = now
        while (action := self.scheduler.next_action(now)) is not None:
            self.handlers[action.kind](action)
        if self.drained is not None and self.scheduler.is_empty():
            drained = self.drained
            self.drained = None
            drained.callback(None)

    def _answer_attempt(self, action: Action) -> None:
        front_end = action.front_end
        outcome = int(action.outcome)
        self.counts[f"ended {outcome}"] += 1
        self.note(
            "end",
            fe=front_end.front_end,
            fp=front_end.process,
            s=action.serial,
            n=action.number,
            o=outcome,
            w=int(action.warmth),
        )
        front_end.answer_attempt(action)

    def _set_wake_up(self, action: Action) -> None:
        is_set = self.wake_up is not None and self.wake_up.active()
        if is_set and action.at_ms >= self.wake_up_ms:
            return
        if is_set:
            self.wake_up.cancel()
        self.wake_up_ms = action.at_ms
        delay_ms = max(0.0, action.at_ms - self.turn_started_ms)
        self.wake_up = self.reactor.callLater(delay_ms / 1e3, self._wake_up)

    def _wake_up(self) -> None:
        self.wake_up = None
        self.submit(self.scheduler.timer_fired)

    # -- intervals

    def _measure_memory(self) -> None:
        measured = self.in_thread(measure, self.host.pids())
        measured.addCallbacks(
            lambda result: self.submit(self.scheduler.memory_measured, *result),
            lambda failure: self.log.error("memory measurement failed", reason=failure.getErrorMessage()),
        )
        measured.addBoth(
            lambda _: self._schedule("measure", self.config.measure_interval_ms, self._measure_memory)
        )

    @defer.inlineCallbacks
    def _check_releases(self):
        """Ask whether the store's names still point at the packages of the replicas."""
        for function in sorted({replica.function for replica in self.scheduler.state.replicas.values()}):
            try:
                package = yield self.store.resolve(function)
            except (FetchError, defer.CancelledError, defer.TimeoutError):
                break  # an unreachable store proves nothing about a release
            self.submit(self.scheduler.release_changed, function, package.digest)
        self._schedule("release check", self.config.release_check_interval_ms, self._check_releases)

    # -- graceful shutdown

    @defer.inlineCallbacks
    def stopService(self):
        """Drain: start nothing new, finish what runs, then end all replicas."""
        super().stopService()
        self.log.info("worker draining", in_hand=len(self.scheduler.state.attempts))
        self.submit(self.scheduler.drain)
        yield self._wait_until_drained()
        yield self._pause(LAST_ANSWERS_S)
        unread = yield self._wait_for_flush()
        self.closing = True
        yield defer.maybeDeferred(self.port.stopListening)
        self._cancel_timers()
        self.host.cancel_all_loads()
        self.host.end_all_replicas("worker stopped")
        for connection in list(self.connections):
            connection.transport.unregisterProducer()
            connection.transport.loseConnection()
        yield self.store.close()
        while self.host.replicas:
            yield self._pause(REPLICAS_ENDED_POLL_S)
        self.note("down", why="left")
        self.counts["front ends that did not read"] = unread
        self._log_counts()

    @defer.inlineCallbacks
    def _wait_for_flush(self):
        """Wait until the front ends have received their last answers; return how many have not.

        A front end has as long as it has while it takes no bytes and the worker runs."""
        flush = AnswerFlush(self.reactor)
        until_s = self.reactor.seconds() + BLOCKED_TIMEOUT_MS / 1e3
        for connection in self.connections:
            flush.answered(connection.transport, until_s)
        yield flush.wait(until_s)
        return flush.unread()

    @defer.inlineCallbacks
    def _wait_until_drained(self):
        """Wait until nothing runs, but not past the last deadline."""
        if self.scheduler.is_empty():
            return
        self.drained = defer.Deferred()
        now = self.now()
        attempts = self.scheduler.state.attempts.values()
        longest_ms = max((attempt.deadline_ms for attempt in attempts), default=now) - now
        timeout_s = (max(0.0, longest_ms) + DRAIN_SLACK_MS) / 1e3
        timer = self.reactor.callLater(timeout_s, self.drained.cancel)
        try:
            yield self.drained
        except defer.CancelledError:
            self.drained = None
        if timer.active():
            timer.cancel()

    def _pause(self, seconds: float) -> defer.Deferred[None]:
        pause: defer.Deferred[None] = defer.Deferred()
        self.reactor.callLater(seconds, pause.callback, None)
        return pause

    def _cancel_timers(self) -> None:
        for timer in (self.turn, self.wake_up, *self.interval_timers.values()):
            if timer is not None and timer.active():
                timer.cancel()

    def _log_counts(self) -> None:
        state = self.scheduler.state
        self.counts["package cache hits"] = self.cache.hits
        self.counts["corrupt packages"] = self.cache.corrupt
        self.counts["idempotency keys evicted early"] = state.deduplication.evicted_early
        self.log.info("worker stopped", counts=dict(sorted((self.counts + state.counts).items())))
