"""One front end on the platform: door, host, links and bus follower wired together, and its signals.

The host is the one of gateway/dispatcher.py; it is handed the platform's link. Times in ms.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.application import service
from twisted.internet import defer, interfaces

from ..common.endpoint_entry import EndpointEntry
from ..daemon.shedding import Shedder
from ..gateway.dispatcher import Function, Host, PendingAnswer
from ..gateway.outgoing_connections import connector
from ..membership.service import MembershipService, PeerAddress, new_incarnation_token
from ..platform.client_codec import Asks
from ..platform.configuration import Told, read_peers, read_told
from ..platform.errors import ProtocolError
from ..platform.opaque_request import Passed
from ..routing.types import Idempotency
from ..sockets.descriptors import descriptors
from ..sockets.listening import Listener, listen_tcp
from .client_listener import ABORT_MS, Door
from .discovery import Follower
from .executor_pool import PlatformLink, Room

RELOAD_TRIES, RELOAD_AGAIN_MS = 50, 100.0  # a configuration that can't be read for a moment
BACKLOG = 512  # connections that wait in the system's queue
OPEN_MS = 700.0  # after SIGTERM clients still come for so long
LEAVE_SLACK_MS = 100.0  # what is owed is waited for this long past the longest outer limit
FLUSH_MS = ABORT_MS + 250.0  # at most so long for the last answers to leave their transports
WRITE_ROOM_MS = 5.0  # of a client's time, kept for the answer's way out
CLIENTS_SHARE = 0.45  # of the descriptors; clients themselves hold at most a third
OWN_DESCRIPTORS = 24  # the listener, the bus, standard streams, the reactor, and room to accept
PULSE_MS = 50.0  # the process's own lag is looked at this often
LAG_GAIN = 0.3
LAG_BOUND_MS, OPEN_BOUND, BUFFERED_BOUND = 300.0, 4000, 8 << 20  # pressure 1 for the shedder
LEAVING_RETRY_MS = 200.0  # told to those turned away in leaving, or for not reading their answers


def named(told: Told) -> tuple:
    """What a configuration can't change while the front end runs: whose it is, and all names."""
    terms = told.terms
    return (
        told.name,
        told.address,
        told.port,
        terms.request_class_names,
        terms.tenant_names,
        terms.zones,
        terms.machines,
    )


class NodeService(service.Service):
    """The front end of one configuration."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        told: Told,
        read: Callable[[], bytes],
        log,
        connect: Callable | None = None,
        peers: bool = False,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
        patiently: Callable[[Callable], Any] = lambda make: make(),
        library_errors: Counter[str] | None = None,
    ) -> None:
        """`read` gives the configuration's bytes anew, at SIGHUP; raises OSError. `peers`: know the other
        front ends, where the settings permit words to them. `unix_ahead_s`: how far the wall clock has been
        stepped ahead of the reactor's; `patiently` tries again what the system fails for a moment."""
        self.reactor, self.told, self.read, self.log = reactor, told, read, log
        self.connect = connect or connector(reactor)
        self.lag_ms = 0.0
        self.counts: Counter[str] = Counter()  # of configurations
        self.refused = ""  # why the last one was refused
        self.port = self.pulse = self.reading = None
        self.stopping = False
        self.wants_peers, self.fleet = peers, None
        self.unix_ahead_s, self.patiently = unix_ahead_s, patiently
        self.library_errors = library_errors if library_errors is not None else Counter()

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Raises twisted.internet.error.CannotListenError, or ProtocolError if `known` can't be read."""
        told, terms = self.told, self.told.terms
        random_source = random.Random(f"{told.seed}/{told.name}/node")
        sockets = descriptors(told.sockets)
        # danger: under few descriptors the share is less than the third that clients may hold
        clients = max(int(CLIENTS_SHARE * (sockets - OWN_DESCRIPTORS)), sockets // 3 + 1)
        self.room = Room(sockets - OWN_DESCRIPTORS - clients)
        self.host = Host(
            self.reactor,
            terms.front_end(self.now(), told.seed),
            told.name,
            "",  # the protocol names no process
            terms.request_class_names,
            terms.tenant_names,
            terms.zones,
            terms.machines,
            terms.keeping.load_request_timeout_ms,
            self.connect,
            random_source,
            self.log,
            link=self._link,
            unix_ahead_s=self.unix_ahead_s,
        )
        portions = [c.portion for c in terms.tenants]
        self.shedder = Shedder(portions, LAG_BOUND_MS, OPEN_BOUND, BUFFERED_BOUND, sockets, random_source)
        request_classes = [
            (name, t.deadline_ms, t.idempotency is Idempotency.KEYED)
            for name, t in zip(terms.request_class_names, terms.request_classes)
        ]
        self.door = Door(
            Asks(request_classes, terms.tenant_names),
            self.take,
            self.refuse,
            self.serving,
            self.reactor,
            self.log,
            clients,
            min(LEAVING_RETRY_MS, terms.capabilities.longest_retry_ms),
        )
        self.follower = Follower(
            *told.bus,
            terms.zones,
            terms.machines,
            self.reactor,
            self.connect,
            random_source,
            self.listed,
            self.log,
        )
        self.follower.start(told.known)
        self._beat(self.now())
        self.port = self.patiently(
            lambda: listen_tcp(self.reactor, told.port, self.door, BACKLOG, told.address, self.log)
        )
        self.meet()
        super().startService()
        self.log.info(
            "front end started",
            address=told.address,
            port=told.port,
            sockets=sockets,
            memory_mb=told.memory_mb,
            executors=len(self.host.links),
        )

    def meet(self) -> None:
        """Know the other front ends, if that is wanted and permitted. Datagrams alone lead to them here, so
        that nobody can be proved gone: members are seen, parts stay the own share."""
        if not self.wants_peers or (found := read_peers(self.read())) is None:
            return
        listen, peers, number = found
        names = ["{}:{}".format(*peer) for peer in peers]
        listed = [PeerAddress(name, *peer) for name, peer in zip(names, peers)]
        me = PeerAddress(names[number], *listen)
        random_source = random.Random(f"{self.told.seed}/{self.told.name}/members")
        self.fleet = MembershipService(
            self.reactor, me, "platform", listed, new_incarnation_token(), random_source, self.log, None
        )
        self.fleet.startService()

    def _link(self, *args) -> PlatformLink:
        terms = self.told.terms
        return PlatformLink(
            *args,
            room=self.room,
            streams=terms.streams,
            connect_ms=terms.connect_ms or 1e3,
            idle_ms=terms.idle_ms,
            cancels=terms.capabilities.cancel_attempt,
        )

    # -- the list of executors

    def listed(self, lines: list[EndpointEntry], complete: bool) -> None:
        host = self.host
        host.executors_listed(lines, complete)
        named = {line.executor: line for line in lines}
        at = {(line.address, line.port): line.executor for line in lines if line.stage != "gone"}
        for link in host.links.values():
            line = named.get(link.stable)
            gone = line.stage == "gone" if line is not None else complete
            # danger: a new executor at the same address would be taken for the one that has gone
            taken = at.get((link.address, link.port), link.stable) != link.stable
            if gone or taken:
                link.leave()
            elif line is not None:
                link.left = False

    # -- the door's side

    def serving(self) -> bool:
        return self.follower.whole and self.port is not None and not self.stopping

    def take(
        self,
        passed: Passed,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        work_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float,
    ) -> PendingAnswer:
        """Danger: the client's time runs from its last byte; what lay unread here is gone already."""
        remaining_ms = max(1.0, remaining_ms - self.lag_ms - WRITE_ROOM_MS)
        function = Function(passed.function, memory_mb, lanes or 1, load_ms)
        return self.host.take(
            request_class, tenant, function, passed.call.hex(), remaining_ms, work_ms, False, "", passed
        )

    def refuse(self, tenant: int) -> float | None:
        if self.door.leaving:
            retry_ms = LEAVING_RETRY_MS
        elif (retry_ms := self.shedder.ask(self.now(), tenant, False)) <= 0.0:
            return None
        return min(retry_ms, self.told.terms.capabilities.longest_retry_ms)

    def _beat(self, due_ms: float) -> None:
        now = self.now()
        self.lag_ms += LAG_GAIN * (max(0.0, now - due_ms) - self.lag_ms)
        self.host.look_at_wall_clock()
        self.shedder.seen(self.lag_ms, self.host.owed, self.host.held_bytes, len(self.door.callers))
        self.pulse = self.reactor.callLater(PULSE_MS / 1e3, self._beat, now + PULSE_MS)

    # -- signals

    def reload(self) -> None:
        """SIGHUP: follow the event bus where the configuration now says; nothing else is touched.

        Danger: a file that can't be read for a moment would leave the front end with a bus that has gone.

        Danger: one of another deployment would lead to another tenant's executors, in places and kinds that
        mean something else here: nothing of it is used, its bus neither.
        """
        if self.reading is not None and self.reading.active():
            self.reading.cancel()
        self._read_again(RELOAD_TRIES)

    def _read_again(self, tries: int) -> None:
        try:
            told = read_told(self.read())
            if named(told) != named(self.told):
                raise ProtocolError("another front end's, or other classes, tenants, zones or kinds")
        except OSError as problem:
            self.counts["unreadable"] += 1
            self._refused(str(problem))
            if tries > 1 and not self.stopping:
                self.reading = self.reactor.callLater(RELOAD_AGAIN_MS / 1e3, self._read_again, tries - 1)
            return
        except ProtocolError as fault:
            self.counts["refused"] += 1
            self._refused(str(fault))
            return
        if self.stopping:
            return
        self.counts["read again"] += 1
        self.refused = ""
        self.log.info("configuration read again", bus="{}:{}".format(*told.bus))
        if told.terms != self.told.terms and not self.counts["other settings"]:
            self.log.warning("other settings hold from the next start on")
        self.counts["other settings"] += told.terms != self.told.terms
        if told.bus != (self.follower.address, self.follower.port):
            self.follower.moved(*told.bus)

    def _refused(self, reason: str) -> None:
        if reason != self.refused:  # once for each reason in a row
            self.refused = reason
            self.log.error("configuration can't be used: the old one holds", reason=reason)

    @defer.inlineCallbacks
    def stopService(self):
        """SIGTERM: serve on for a moment, then answer what is owed and leave."""
        super().stopService()
        self.stopping = True
        host = self.host
        self.log.info("front end leaves", owed=host.owed)
        yield self._pause(OPEN_MS)
        # danger: after a stall clients still wait to be accepted, and their requests to be read: the sockets
        # are looked at twice before the listener closes
        if isinstance(self.port, Listener):
            yield self.port.nobody_waits()
        yield self._pause(0.0)
        yield self._pause(0.0)
        yield defer.maybeDeferred(self.port.stopListening)
        self.door.leave()
        longest_ms = max(t.deadline_ms for t in self.told.terms.request_classes) + LEAVE_SLACK_MS
        if not (yield self._in_time(host.nothing_owed(), longest_ms)):
            self.log.error("answers owed past every outer limit", owed=host.owed)
            host.fail_all()
        # danger: what still lies in a transport when the process ends never reaches its client
        if not (yield self._in_time(self.door.all_gone(), FLUSH_MS)):
            self.log.error("connections stay past their last answer", open=len(self.door.callers))
        self.follower.close()
        self.pulse.cancel()
        if self.reading is not None and self.reading.active():
            self.reading.cancel()
        if self.fleet is not None:
            self.fleet.stopService()
        self.door.close()
        host.close()
        self.log.info("front end left", **self.figures())

    def figures(self) -> dict[str, dict[str, int]]:
        """What was counted since the start."""
        return {
            "host": dict(sorted(self.host.counts.items())),
            "door": dict(sorted(self.door.counts.items())),
            "listener": dict(sorted(getattr(self.port, "counts", {}).items())),
            "links": dict(sorted(self.room.counts.items())),
            "shed": dict(sorted(self.shedder.rejected.items())),
            "libraries": dict(sorted(self.library_errors.items())),
            "configurations": dict(sorted(self.counts.items())),
            "members": self.fleet.figures() if self.fleet is not None else {},
        }

    @defer.inlineCallbacks
    def _in_time(self, wait: defer.Deferred, ms: float):
        """Whether it fired within this time."""
        timer = self.reactor.callLater(ms / 1e3, wait.cancel)
        try:
            yield wait
        except defer.CancelledError:
            return False
        finally:
            if timer.active():
                timer.cancel()
        return True

    def _pause(self, ms: float) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self.reactor.callLater(ms / 1e3, done.callback, None)
        return done
