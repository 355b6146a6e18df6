"""One front end as a Twisted service: wired from its sections, started and stopped as a whole."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from typing import Any

from twisted.application import service
from twisted.internet import defer, interfaces

from ..membership.service import MembershipService, PeerAddress, new_incarnation_token
from ..routing.router import FrontEnd
from ..routing.types import ColdRule, Keeping, LoadRation, Place
from ..sockets.listening import listen_tcp
from . import active_policy as terms
from .cloudevent_requests import Ask
from .dispatcher import Answer, Host
from .http_listener import Intake
from .outgoing_connections import connector
from .registry_client import Follower

BACKLOG = 512  # connections that wait in the system's queue
CLOCK_LOOK_S = 1.0  # the wall clock is looked at this often
LEAVE_SLACK_MS = 500.0  # what is owed is waited for this long past the longest outer limit


def decider(kind: Callable[..., FrontEnd], now: float, seed: int, found: dict[str, Any]) -> FrontEnd:
    """The module's instance for these sections; `kind` is FrontEnd or a baseline of its shape."""
    place, fleet, keeping = (found[s] for s in ("front_end", "fleet", "keeping"))
    cold, ration, made = found["cold"], found["ration"], terms.make(found)
    return kind(
        now,
        seed,
        Place(place.number, place.peers, fleet.zones.index(place.zone)),
        made.request_classes,
        made.tenants,
        made.capabilities,
        Keeping(
            keeping.answers_miss,
            keeping.load_requests,
            keeping.least_keep_ms,
            keeping.load_request_timeout_ms,
            keeping.idle_price,
        ),
        ColdRule(cold.multiple, cold.span_ms, cold.start_share, cold.warm_ms),
        LoadRation(ration.window_ms, ration.free, ration.share),
    )


USES_APART_MS = 20.0  # uses of the same part are noted no more often


def note_uses(front_end: FrontEnd, note: Callable[..., Any]) -> None:
    """Each use of the part in a decision, for a rehearsal's record: what was really gone by, and when."""
    inner, last = front_end.gate.share, [-1.0, 0.0]

    def share(now: float) -> float:
        found = inner(now)
        if found != last[0] or now >= last[1] + USES_APART_MS:
            last[:] = found, now
            note("use", share=found)
        return found

    front_end.gate.share = share


class FrontEndService(service.Service):
    """Intake, host, links and the registry's follower of one front end."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        found: dict[str, Any],
        log,
        kind: Callable[..., FrontEnd] = FrontEnd,
        meter: Callable[[], float] | None = None,
        process: str = "",
        note: Callable[..., Any] | None = None,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`note` writes a rehearsal's record of what the fleet's members held and used; `unix_ahead_s`: how
        far the wall clock has been stepped ahead of the reactor's."""
        self.reactor, self.found, self.log, self.kind, self.meter = reactor, found, log, kind, meter
        self.note, self.fleet, self.policy = note, None, None
        self.unix_ahead_s = unix_ahead_s
        self.clock_watch = None
        self.process = process or uuid.uuid4().hex[:12]
        self.port: interfaces.IListeningPort | None = None

    def startService(self) -> None:
        """Raises twisted.internet.error.CannotListenError if the port is taken."""
        found, place, fleet = self.found, self.found["front_end"], self.found["fleet"]
        process = self.process
        random_source = random.Random(f"{place.seed}/{place.name}/links")
        now = self.reactor.seconds() * 1e3
        self.made = terms.make(found)
        self.host = Host(
            self.reactor,
            decider(self.kind, now, place.seed, found),
            place.name,
            process,
            self.made.request_class_names,
            self.made.tenant_names,
            fleet.zones,
            fleet.machines,
            found["keeping"].load_request_timeout_ms,
            connector(self.reactor),
            random_source,
            self.log,
            self.meter,
            unix_ahead_s=self.unix_ahead_s,
        )
        if "peers" in found:
            self._join(found["peers"], place.name)
        self.intake = Intake(self.made.asks, self._take, lambda: self.host.owed, self.log)
        if self.policy is not None:
            self.intake.terms = self.policy.look
        listen = found["listen"]
        self.port = listen_tcp(self.reactor, listen.port, self.intake, BACKLOG, listen.address, self.log)
        registry = found["roster"]
        self.follower = Follower(
            place.name,
            process,
            registry.address,
            registry.port,
            self.reactor,
            connector(self.reactor),
            random_source,
            self.host.executors_listed,
            self.log,
        )
        super().startService()
        self._watch_clock()
        self.log.info(
            "front end started", address=listen.address, port=self.port.getHost().port, process=process
        )

    def _join(self, wanted, name: str) -> None:
        """Before anything else is listened on or used: whoever finds the port refusing counts on it."""
        host = self.host
        self.fleet = MembershipService(
            self.reactor,
            PeerAddress(name, wanted.address, wanted.port),
            wanted.fleet,
            [PeerAddress(m.name, m.address, m.port) for m in wanted.members],
            new_incarnation_token(),
            random.Random(f"{self.found['front_end'].seed}/{name}/members"),
            self.log,
            lambda part: host.front_end.part_told(host.now(), part),
            self.note,
        )
        if "policy" in self.found:
            self._vote(self.found["policy"])
        self.fleet.startService()
        if self.policy is not None:
            try:
                self.policy.startService()
            except Exception:
                self.fleet.stopService()
                raise
        if self.note is not None and isinstance(host.front_end, FrontEnd):
            note_uses(host.front_end, self.note)

    def _vote(self, wanted) -> None:
        """Terms that are changed by all members or by none."""
        from ..policy.document import canonical, digest
        from ..policy.policy_holder import Terms
        from ..policy.service import PolicyService

        document = canonical(self.found)
        self.policy = PolicyService(
            self.reactor, self.fleet, wanted.keepers, wanted.file,
            Terms(0, digest(document), (self.made, document)), document, self._made, self._adopted, self.log,
            self.note,
        )  # fmt: skip
        self.fleet.port_factory = self.policy.door
        self.fleet.on_policy_version = self.policy.others_run

    def _made(self, document: str) -> tuple[Any, bool]:
        """All that taking requests under this document needs. Raises ValueError."""
        from ..policy.document import read
        from ..settings.reading import SettingsError

        try:
            found = read(document, self.found)
        except SettingsError as fault:
            raise ValueError(str(fault)) from fault
        return (terms.make(found, self.made), document), found["adoption"].silent == "stop"

    def _adopted(self, told) -> None:
        """One assignment for each part, in one turn, after all that can fail has been done."""
        made = self.made = told.made[0]
        self.host.terms_told(
            made.request_classes, made.tenants, made.request_class_names, made.tenant_names, made.capabilities
        )
        self.intake.asks = made.asks

    def _watch_clock(self) -> None:
        self.host.look_at_wall_clock()
        self.clock_watch = self.reactor.callLater(CLOCK_LOOK_S, self._watch_clock)

    def _take(self, ask: Ask, content_type: str, body: bytes) -> defer.Deferred[Answer]:
        if self.policy is not None and self.note is not None:
            under = self.policy.terms
            self.note("took", fe=self.found["front_end"].name, version=under.version, digest=under.digest,
                      m=ask.mark)  # fmt: skip
        return self.host.take(
            ask.request_class,
            ask.tenant,
            ask.function,
            ask.mark,
            ask.remaining_ms,
            ask.work_ms,
            ask.repeat,
            content_type,
            body,
        )

    @defer.inlineCallbacks
    def stopService(self):
        """Stops the intake, answers what is owed, leaves. The Deferred fires when all is done."""
        super().stopService()
        owed = self.host.owed
        self.log.info("front end leaves", owed=owed)
        self.intake.leaving = True  # connections that are kept open get rejects
        yield defer.maybeDeferred(self.port.stopListening)
        if self.policy is not None:
            self.policy.leaving()
        wait = self.host.nothing_owed()
        longest = self.made.longest_ms + LEAVE_SLACK_MS
        timer = self.reactor.callLater(longest / 1e3, wait.cancel)
        try:
            yield wait
        except defer.CancelledError:
            self.log.error("answers owed past every outer limit", owed=self.host.owed)
        finally:
            if timer.active():
                timer.cancel()
        yield self._flushed()
        self.follower.close()
        if self.clock_watch is not None and self.clock_watch.active():
            self.clock_watch.cancel()
        self.host.close()
        if self.policy is not None:
            self.policy.stopService()
        if self.fleet is not None:
            yield defer.maybeDeferred(self.fleet.stopService)
        self.log.info(
            "front end left",
            answered=owed,
            counts=dict(sorted(self.host.counts.items())),
            deciding_ms=round(self.host.deciding_s * 1e3, 3),
        )

    def _flushed(self) -> defer.Deferred:
        """A turn or two for the last answers to leave their transports."""
        flushed: defer.Deferred = defer.Deferred()
        self.reactor.callLater(0.05, flushed.callback, None)
        return flushed
