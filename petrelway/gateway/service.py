"""One front end as a Twisted service: built from its validated settings, started and stopped as a whole.

`petrelway serve` runs it, the daemon adds a console. It owns the HTTP listener, the dispatcher, the registry
client, and the services for the shared quota and policy if the settings list peers.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from typing import Any

from twisted.application import service
from twisted.internet import defer, interfaces

from ..membership.service import MembershipService, PeerAddress, new_incarnation_token
from ..routing.router import FrontEnd
from ..sockets.listening import listen_tcp
from .active_policy import make_policy
from .answers import Answer
from .cloudevent_requests import ReceivedRequest
from .dispatcher import Dispatcher
from .http_listener import HttpListener
from .outgoing_connections import connector
from .registry_client import RegistryClient
from .routing_setup import new_routing_core, record_quota_use

BACKLOG = 512  # connections that wait in the listening socket's queue
CLOCK_CHECK_S = 1.0  # interval of the checks for steps of the wall clock
SHUTDOWN_SLACK_MS = 500.0  # shutdown waits this long past the longest deadline for unanswered requests
REJECTION_FLUSH_S = 0.05  # time for the last rejections, a few hundred bytes each, to leave their transports


class FrontEndService(service.Service):
    """Listener, dispatcher, channels and registry client of one front end."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        sections: dict[str, Any],
        log,
        kind: Callable[..., FrontEnd] = FrontEnd,
        meter: Callable[[], float] | None = None,
        process: str = "",
        note: Callable[..., Any] | None = None,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a front end that is not started.

        `sections` are the validated settings. `note` writes the record of a rehearsal: what the fleet's
        members held and used. `unix_ahead_s` returns how far the wall clock has been stepped ahead of the
        reactor's clock, in seconds."""
        self.reactor = reactor
        self.sections = sections
        self.log = log
        self.kind = kind
        self.meter = meter
        self.note = note
        self.fleet: MembershipService | None = None
        self.policy = None  # the policy service, if the settings have a section for it
        self.unix_ahead_s = unix_ahead_s
        self.clock_check: interfaces.IDelayedCall | None = None
        self.process = process or uuid.uuid4().hex[:12]
        self.port: interfaces.IListeningPort | None = None

    def startService(self) -> None:
        """Start listening and connecting.

        Raise twisted.internet.error.CannotListenError if the port is in use."""
        place = self.sections["front_end"]
        random_source = random.Random(f"{place.seed}/{place.name}/links")
        self.active_policy = make_policy(self.sections)
        self.dispatcher = self._new_dispatcher(random_source)
        if "peers" in self.sections:
            self._join(self.sections["peers"], place.name)
        self._listen()
        self.registry_client = self._new_registry_client(random_source)
        super().startService()
        self._check_clock()
        self.log.info(
            "front end started",
            address=self.sections["listen"].address,
            port=self.port.getHost().port,
            process=self.process,
        )

    def _new_dispatcher(self, random_source: random.Random) -> Dispatcher:
        place = self.sections["front_end"]
        fleet = self.sections["fleet"]
        now = self.reactor.seconds() * 1e3
        return Dispatcher(
            self.reactor,
            new_routing_core(self.kind, now, place.seed, self.sections),
            place.name,
            self.process,
            self.active_policy.request_class_names,
            self.active_policy.tenant_names,
            fleet.zones,
            fleet.machines,
            self.sections["keeping"].load_request_timeout_ms,
            connector(self.reactor),
            random_source,
            self.log,
            self.meter,
            unix_ahead_s=self.unix_ahead_s,
        )

    def _listen(self) -> None:
        self.http_listener = HttpListener(
            self.active_policy.reader, self._accept, lambda: self.dispatcher.unanswered, self.log
        )
        self.http_listener.decisions_keep_failing = self.dispatcher.decisions_keep_failing
        if self.policy is not None:
            self.http_listener.policy_retry_ms = self.policy.admission_delay_ms
        listen = self.sections["listen"]
        self.port = listen_tcp(
            self.reactor, listen.port, self.http_listener, BACKLOG, listen.address, self.log
        )

    def _new_registry_client(self, random_source: random.Random) -> RegistryClient:
        registry = self.sections["roster"]
        return RegistryClient(
            self.sections["front_end"].name,
            self.process,
            registry.address,
            registry.port,
            self.reactor,
            connector(self.reactor),
            random_source,
            self.dispatcher.executors_listed,
            self.log,
        )

    def _join(self, settings, name: str) -> None:
        """Join the peers before anything else listens.

        Anything that finds the port refusing connections relies on this order."""
        dispatcher = self.dispatcher
        self.fleet = MembershipService(
            self.reactor,
            PeerAddress(name, settings.address, settings.port),
            settings.fleet,
            [PeerAddress(member.name, member.address, member.port) for member in settings.members],
            new_incarnation_token(),
            random.Random(f"{self.sections['front_end'].seed}/{name}/members"),
            self.log,
            lambda part: dispatcher.front_end.quota_share_changed(dispatcher.now(), part),
            self.note,
        )
        if "policy" in self.sections:
            self._prepare_policy(self.sections["policy"])
        self.fleet.startService()
        if self.policy is not None:
            try:
                self.policy.startService()
            except Exception:
                self.fleet.stopService()
                raise
        if self.note is not None and isinstance(dispatcher.front_end, FrontEnd):
            record_quota_use(dispatcher.front_end, self.note)

    def _prepare_policy(self, settings) -> None:
        """Set up the policy service, by which either all members change the policy or none does."""
        from ..policy.document import canonical, digest
        from ..policy.policy_holder import PreparedPolicy
        from ..policy.service import PolicyService

        document = canonical(self.sections)
        self.policy = PolicyService(
            self.reactor,
            self.fleet,
            settings.keepers,
            settings.file,
            PreparedPolicy(0, digest(document), (self.active_policy, document)),
            document,
            self._policy_from,
            self._policy_adopted,
            self.log,
            self.note,
        )
        self.fleet.port_factory = self.policy.listener_factory
        self.fleet.on_policy_version = self.policy.version_seen

    def _policy_from(self, document: str) -> tuple[Any, bool]:
        """Build all that is needed to accept requests under this document. Raise ValueError if invalid."""
        from ..policy.document import read
        from ..settings.reading import SettingsError

        try:
            sections = read(document, self.sections)
        except SettingsError as error:
            raise ValueError(str(error)) from error
        stops_when_silent = sections["adoption"].silent == "stop"
        return (make_policy(sections, self.active_policy), document), stops_when_silent

    def _policy_adopted(self, adopted) -> None:
        """Switch to an adopted policy in one turn, after every step that can fail."""
        policy = adopted.made[0]
        self.active_policy = policy
        self.dispatcher.policy_changed(
            policy.request_classes,
            policy.tenants,
            policy.request_class_names,
            policy.tenant_names,
            policy.capabilities,
        )
        self.http_listener.reader = policy.reader

    def _check_clock(self) -> None:
        self.dispatcher.check_wall_clock()
        self.clock_check = self.reactor.callLater(CLOCK_CHECK_S, self._check_clock)

    def _accept(self, received: ReceivedRequest, content_type: str, body: bytes) -> defer.Deferred[Answer]:
        if self.policy is not None and self.note is not None:
            active = self.policy.policy
            self.note(
                "took",
                fe=self.sections["front_end"].name,
                version=active.version,
                digest=active.digest,
                m=received.idempotency_key,
            )
        return self.dispatcher.take(
            received.request_class,
            received.tenant,
            received.function,
            received.idempotency_key,
            received.remaining_ms,
            received.cost_estimate_ms,
            received.repeat,
            content_type,
            body,
        )

    @defer.inlineCallbacks
    def stopService(self):
        """Shut down gracefully: stop listening, answer open requests, close all connections.

        The returned Deferred fires when the shutdown is complete."""
        super().stopService()
        unanswered = self.dispatcher.unanswered
        until_s = self.reactor.seconds() + (self.active_policy.longest_ms + SHUTDOWN_SLACK_MS) / 1e3
        self.log.info("front end leaves", unanswered=unanswered)
        self.http_listener.draining = True  # requests on kept-alive connections are rejected from now on
        yield defer.maybeDeferred(self.port.stopListening)
        if self.policy is not None:
            self.policy.leave()
        yield self._wait_for_answers(until_s)
        yield self.http_listener.answer_flush.wait(until_s)
        yield self._wait_for_last_rejections()
        unread = self.http_listener.answer_flush.unread()
        self.registry_client.close()
        if self.clock_check is not None and self.clock_check.active():
            self.clock_check.cancel()
        self.dispatcher.close()
        if self.policy is not None:
            self.policy.stopService()
        if self.fleet is not None:
            yield defer.maybeDeferred(self.fleet.stopService)
        self.log.info(
            "front end left",
            answered=unanswered,
            unread=unread,
            counts=dict(sorted(self.dispatcher.counts.items())),
            deciding_ms=round(self.dispatcher.deciding_s * 1e3, 3),
        )

    @defer.inlineCallbacks
    def _wait_for_answers(self, until_s: float):
        """Wait until all open requests are answered, at most until SHUTDOWN_SLACK_MS past every deadline."""
        wait = self.dispatcher.all_answered()
        timer = self.reactor.callLater(max(0.0, until_s - self.reactor.seconds()), wait.cancel)
        try:
            yield wait
        except defer.CancelledError:
            self.log.error("requests unanswered past their deadline", unanswered=self.dispatcher.unanswered)
        finally:
            if timer.active():
                timer.cancel()

    def _wait_for_last_rejections(self) -> defer.Deferred:
        """Return a Deferred that fires a turn or two later: time to flush what was rejected meanwhile."""
        flushed: defer.Deferred = defer.Deferred()
        self.reactor.callLater(REJECTION_FLUSH_S, flushed.callback, None)
        return flushed
