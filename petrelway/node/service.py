"""One front end on the platform: client listener, dispatcher, executor pools and discovery client.

`commands/node.py` creates it. Shutdown is implemented in `lifecycle.py`, the reload on SIGHUP in
`configuration_reload.py`. The dispatcher is that of `gateway/dispatcher.py`, here with the platform's
executor pools. Times in ms.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.application import service
from twisted.internet import defer, interfaces

from ..common.endpoint_entry import EndpointEntry
from ..daemon.shedding import Shedder
from ..gateway.dispatcher import Dispatcher
from ..gateway.function_spec import FunctionSpec
from ..gateway.outgoing_connections import connector
from ..gateway.pending_requests import PendingAnswer
from ..platform.client_codec import ClientMessageReader
from ..platform.configuration import Configuration, Endpoint
from ..platform.opaque_request import OpaqueRequest
from ..routing.types import Idempotency
from ..sockets.descriptors import available_descriptors
from ..sockets.listening import listen_tcp
from ..sockets.read_gate import ReadGate
from .address_owners import AddressOwners
from .admission import AdmissionControl, DescriptorShares, share_descriptors
from .buffer_pool import DEFAULT_BUFFERS_BYTES, BufferPool
from .client_listener import ClientListener
from .configuration_reload import ConfigurationReloader
from .connection_set import ConnectionBudget
from .discovery import DiscoveryClient
from .executor_pool import ExecutorPool
from .lifecycle import GracefulShutdown
from .memory_plan import plan_memory
from .memory_watch import BYTES_PER_MB, MemoryWatch

if TYPE_CHECKING:
    from ..membership.service import MembershipService

BACKLOG = 512  # listen backlog: connections that wait in the system's queue to be accepted
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
LOAD_INTERVAL_MS = 50.0  # interval between two measurements of the process's own lag and load
# The shedder's pressure is 1 as soon as one of these three bounds is reached.
LAG_BOUND_MS = 300.0  # lag of the process
OPEN_REQUESTS_BOUND = 4000
ASSUMED_RESTING_BYTES = 48_000_000  # of a process whose resident memory can't be read


class NodeService(service.Service):
    """The front end of one configuration."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        configuration: Configuration,
        read: Callable[[], bytes],
        log,
        connect: Callable | None = None,
        peers: bool = False,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
        retry_transient_errors: Callable[[Callable], Any] = lambda make: make(),
        library_errors: Counter[str] | None = None,
        configured_ms: float | None = None,
        resident_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        """Set up a front end that is not started yet.

        `read` returns the bytes of the configuration file and raises OSError. `peers`: join the other front
        ends, where the settings permit it. `unix_ahead_s` returns how far the wall clock has been stepped
        ahead of the reactor's. `retry_transient_errors` calls its argument, and calls it again as long as the
        system fails it with a transient error. `configured_ms`: the latest time at which the
        configuration's initial events can have been complete; the present, if not given. `resident_bytes`
        returns the resident memory of the process, 0 if that is unknown.
        """
        self.reactor = reactor
        self.configuration = configuration
        self.read = read
        self.log = log
        self.connect = connect or connector(reactor)
        self.port = None
        self.load_call = None
        self.configured_ms = self.now() if configured_ms is None else configured_ms
        self.address_owners = AddressOwners()
        self.list_expired = False  # discovery's last confirmation of the endpoint list has expired
        self.stopping = False
        self.joins_peers = peers
        self.membership: MembershipService | None = None
        self.unix_ahead_s = unix_ahead_s
        self.retry_transient_errors = retry_transient_errors
        self.resident_bytes = resident_bytes
        self.library_errors = library_errors if library_errors is not None else Counter()
        self.reloader = ConfigurationReloader(
            reactor, log, configuration, read, self._use_event_bus, lambda: self.stopping
        )

    def now(self) -> float:
        """Return the reactor's time in ms."""
        return self.reactor.seconds() * 1e3

    # -- start

    def startService(self) -> None:
        """Listen and serve.

        Raises twisted.internet.error.CannotListenError, or ProtocolError if the initial events can't be
        decoded.
        """
        configuration = self.configuration
        random_source = random.Random(f"{configuration.seed}/{configuration.name}/node")
        sockets = available_descriptors(configuration.sockets)
        shares = share_descriptors(sockets)
        self.buffers = BufferPool(DEFAULT_BUFFERS_BYTES)  # until the plan is made
        self.executor_gate = ReadGate(self.reactor, self.buffers.free_for_answers)
        self.connection_budget = ConnectionBudget(shares.executors, self.buffers, self.executor_gate)
        self.dispatcher = self._make_dispatcher(random_source)
        self.admission = self._make_admission(sockets, random_source)
        self.client_listener = self._make_client_listener(shares)
        self.discovery = self._make_discovery(random_source)
        self.discovery.start(configuration.initial_events, self.configured_ms)
        self.memory_watch = self._make_memory_watch(shares)
        self._measure_load(self.now())
        self.port = self.retry_transient_errors(self._listen)
        self.join_peers()
        super().startService()
        plan = self.memory_watch.plan
        self.log.info(
            "front end started",
            address=configuration.address,
            port=configuration.port,
            sockets=sockets,
            memory_mb=configuration.memory_mb,
            executors=len(self.dispatcher.channels),
            memory=plan._asdict(),
        )
        if plan.cut:
            self.log.warning("memory limit cuts what descriptors and pages allow", cut=plan.cut)

    def _make_memory_watch(self, shares: DescriptorShares) -> MemoryWatch:
        """Divide the memory limit, now that the first list is in place, and set the bounds that follow."""
        limit_bytes = int(self.configuration.memory_mb * BYTES_PER_MB)
        resting_bytes = self.resident_bytes() or ASSUMED_RESTING_BYTES
        plan = plan_memory(limit_bytes, resting_bytes, shares.clients, shares.executors)
        self.buffers.plan(plan.buffers_bytes)
        self.buffers.on_release = self._buffers_released
        self.connection_budget.bound = plan.executor_connections
        self.client_listener.bound_connections(plan.client_connections)
        self.client_listener.recent_ids.bound = plan.request_ids
        self.dispatcher.front_end.functions_bound = plan.functions
        self.admission.bound_buffers(plan.buffers_bytes)
        return MemoryWatch(plan, self.resident_bytes, self.buffers, self.memory_uses, self.log)

    def _buffers_released(self) -> None:
        self.executor_gate.room_given_back()
        self.client_listener.read_gate.room_given_back()

    def _make_dispatcher(self, random_source: random.Random) -> Dispatcher:
        configuration = self.configuration
        terms = configuration.terms
        return Dispatcher(
            self.reactor,
            terms.front_end(self.now(), configuration.seed),
            configuration.name,
            "",  # the platform's protocol has no process names
            terms.request_class_names,
            terms.tenant_names,
            terms.zones,
            terms.machines,
            terms.loading.load_request_timeout_ms,
            self.connect,
            random_source,
            self.log,
            make_channel=self._make_executor_pool,
            unix_ahead_s=self.unix_ahead_s,
        )

    def _make_admission(self, sockets: int, random_source: random.Random) -> AdmissionControl:
        terms = self.configuration.terms
        shedder = Shedder(
            [tenant.portion for tenant in terms.tenants],
            LAG_BOUND_MS,
            OPEN_REQUESTS_BOUND,
            DEFAULT_BUFFERS_BYTES,
            sockets,
            random_source,
        )
        return AdmissionControl(shedder, terms.capabilities.longest_retry_ms)

    def _make_client_listener(self, shares: DescriptorShares) -> ClientListener:
        terms = self.configuration.terms
        request_classes = [
            (name, request_class.deadline_ms, request_class.idempotency is Idempotency.KEYED)
            for name, request_class in zip(terms.request_class_names, terms.request_classes, strict=True)
        ]
        return ClientListener(
            ClientMessageReader(request_classes, terms.tenant_names),
            self.submit,
            self.rejection_retry_ms,
            self.is_serving,
            self.reactor,
            self.log,
            shares.clients,
            self.admission.draining_retry_ms,
            self.buffers,
        )

    def _make_discovery(self, random_source: random.Random) -> DiscoveryClient:
        terms = self.configuration.terms
        return DiscoveryClient(
            *self.configuration.event_bus,
            terms.zones,
            terms.machines,
            self.reactor,
            self.connect,
            random_source,
            self.endpoints_changed,
            self.dispatcher,
            self.log,
        )

    def _make_executor_pool(self, *arguments) -> ExecutorPool:
        terms = self.configuration.terms
        return ExecutorPool(
            *arguments,
            budget=self.connection_budget,
            streams=terms.streams,
            connect_ms=terms.connect_ms or DEFAULT_CONNECT_TIMEOUT_MS,
            idle_ms=terms.idle_ms,
            cancels=terms.capabilities.cancel_attempt,
        )

    def _listen(self) -> interfaces.IListeningPort:
        configuration = self.configuration
        return listen_tcp(
            self.reactor,
            configuration.port,
            self.client_listener,
            BACKLOG,
            configuration.address,
            self.log,
        )

    def join_peers(self) -> None:
        """Join the other front ends, if the owner asks for it and the settings permit it."""
        if self.joins_peers:
            from .peers import start_membership  # loaded on demand: few deployments permit peers

            self.membership = start_membership(self.reactor, self.configuration, self.read, self.log)

    # -- the endpoint list

    def endpoints_changed(self, entries: list[EndpointEntry], complete: bool) -> None:
        """Pass the list to the dispatcher, then remove the pools of executors that are gone.

        An executor whose address belongs to a newer one counts as gone: what listens there is the newer one.
        """
        entries = self.address_owners.listed(entries, complete)
        self.dispatcher.executors_listed(entries, complete)
        entry_of = {entry.executor: entry for entry in entries}
        for pool in self.dispatcher.channels.values():
            entry = entry_of.get(pool.stable)
            gone = entry.stage == "gone" if entry is not None else complete
            if gone:
                pool.remove()
            elif entry is not None:
                pool.restore()

    # -- requests

    def is_serving(self) -> bool:
        """Whether the endpoint list is complete, the listener is up, and decisions do not keep failing.

        Always false after SIGTERM.
        """
        if self.stopping or self.port is None or not self.discovery.has_full_list:
            return False
        return not self.dispatcher.decisions_keep_failing()

    def submit(
        self,
        request: OpaqueRequest,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        cost_ms: float,
        memory_mb: float,
        concurrency: int,
        load_ms: float,
    ) -> PendingAnswer:
        """Pass a request to the dispatcher, with the time that its client will really still wait."""
        function = FunctionSpec(request.function, memory_mb, concurrency or 1, load_ms)
        return self.dispatcher.take(
            request_class,
            tenant,
            function,
            request.request_id.hex(),
            self.admission.remaining_ms(remaining_ms),
            cost_ms,
            False,
            "",
            request,
        )

    def rejection_retry_ms(self, tenant: int) -> float | None:
        """Return None to admit a tenant's request, else the Retry-After time of its rejection, in ms."""
        return self.admission.rejection_retry_ms(self.now(), tenant, self.client_listener.draining)

    def _measure_load(self, due_ms: float) -> None:
        """Measure this process's lag and load."""
        now = self.now()
        dispatcher = self.dispatcher
        self.admission.lag_measured(now - due_ms)
        self.memory_watch.measured()
        dispatcher.check_wall_clock()
        self.discovery.reactor_turned()
        if self.port is not None:
            self._report_list_validity(now)
        connections = len(self.client_listener.connections)
        self.admission.load_measured(dispatcher.unanswered, self.buffers.used_bytes, connections)
        next_due_ms = now + LOAD_INTERVAL_MS
        self.load_call = self.reactor.callLater(LOAD_INTERVAL_MS / 1e3, self._measure_load, next_due_ms)

    def _report_list_validity(self, now: float) -> None:
        """Log once when the endpoint list's confirmation expires, and once when it is renewed."""
        leases = self.dispatcher.front_end.gate.leases
        lapsed = not leases.list_holds(now)
        if lapsed is self.list_expired or (lapsed and self.discovery.awaits_first_answer()):
            return
        self.list_expired = lapsed
        figures = {
            "confirmed_ms_ago": round(now - leases.confirmed_ms),
            "number": self.discovery.number,
            "leases": dict(sorted(leases.counts.items())),
        }
        if lapsed:
            ready = len(self.dispatcher.front_end.ready)
            self.log.warning("endpoint list lapsed", listed=ready, probes=leases.probes, **figures)
        else:
            self.log.info("endpoint list confirmed", **figures)

    # -- signals

    def reload(self) -> None:
        """Handle SIGHUP: connect to the event bus that the configuration names now; nothing else changes."""
        self.reloader.reload()

    def _use_event_bus(self, endpoint: Endpoint) -> None:
        if endpoint != self.discovery.endpoint:
            self.discovery.move(endpoint)

    @defer.inlineCallbacks
    def stopService(self):
        """Handle SIGTERM: drain, then close everything."""
        super().stopService()
        self.stopping = True
        request_classes = self.configuration.terms.request_classes
        shutdown = GracefulShutdown(
            self.reactor,
            self.log,
            self.dispatcher,
            self.client_listener,
            self.port,
            max(request_class.deadline_ms for request_class in request_classes),
        )
        yield shutdown.drain()
        self._close()
        self.log.info("front end stopped", **self.figures())

    def _close(self) -> None:
        self.discovery.close()
        self.load_call.cancel()
        self.reloader.cancel_retry()
        if self.membership is not None:
            self.membership.stopService()
        self.client_listener.close()
        self.dispatcher.close()
        self.executor_gate.close()

    def memory_uses(self) -> dict[str, int]:
        """Return what holds memory: bytes by what they are for, and numbers of objects."""
        return {
            **self.client_listener.memory_uses(),
            "requests": len(self.dispatcher.pending),
            "bodies of open requests, bytes": self.dispatcher.unanswered_bytes,
            "functions": len(self.dispatcher.known_functions),
            "executor connections": self.connection_budget.used,
            **{f"buffers, {use}, bytes": held for use, held in self.buffers.figures().items()},
        }

    def figures(self) -> dict[str, dict[str, float]]:
        """Return the counters of all parts since the start."""
        return {
            "dispatcher": dict(sorted(self.dispatcher.counts.items())),
            "clients": dict(sorted(self.client_listener.counts.items())),
            "listener": dict(sorted(getattr(self.port, "counts", {}).items())),
            "executors": dict(sorted(self.connection_budget.counts.items())),
            "discovery": dict(sorted(self.discovery.counts.items())),
            "leases": dict(sorted(self.dispatcher.front_end.gate.leases.counts.items())),
            "shed": dict(sorted(self.admission.shedder.rejected.items())),
            "libraries": dict(sorted(self.library_errors.items())),
            "configurations": dict(sorted(self.reloader.counts.items())),
            "members": self.membership.figures() if self.membership is not None else {},
            "memory": {**self.memory_watch.figures(), **self.memory_watch.counts},
            "buffers": self.buffers.figures(),
            "read gates": {
                "clients": self.client_listener.read_gate.waits,
                "executors": self.executor_gate.waits,
            },
        }
