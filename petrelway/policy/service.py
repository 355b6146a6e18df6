"""Terms on sockets: words to and from the members' ports, a keeper's file, the moment of a change.

Only I/O stands here; what holds and what follows from it is in party.py and what that is made of. Words go
over the members' control ports, by a connection from each side that is opened when there is something to say;
one that is lost is said again by whoever needs it.
"""

from __future__ import annotations

import sqlite3
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from twisted.application import service
from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..membership.port_checks import MAX_PORT_CONNECTIONS, PortCheckFactory
from ..membership.service import MembershipService, PeerAddress
from ..wire.framing import Frames, WireError
from . import state_machine as ledgers
from .change_coordinator import Try
from .messages import WORD_BOUND, MessageError, Progress, Propose, read, write
from .policy_holder import Serving, Terms
from .policy_member import Keep, Party
from .raft import Role
from .raft_storage import Store

IDLE_S = 10.0  # a connection on which nothing is heard is closed
LIFE_S = 5.0  # a connection is used for so long
DIAL_S = 2.0
WAITING_BOUND = 64  # words that wait for a connection; more are lost, the oldest first
AGAIN_S = 0.1  # a peer that could not be reached is dialled again no sooner
REASONS_BOUND = 32  # reasons for dropped words that are logged


class Hearing(protocol.Protocol):
    """Somebody says words, or looks whether this process is there."""

    timer = None

    def connectionMade(self) -> None:
        self.frames = Frames(WORD_BOUND)
        self.factory.hearing.add(self)
        if len(self.factory.hearing) > self.factory.bound:
            self.transport.abortConnection()
        else:
            self.timer = self.factory.reactor.callLater(IDLE_S, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                self.factory.came(payload)
        except WireError:
            self.factory.dropped("too long")
            self.transport.abortConnection()
            return
        if self.timer is not None and self.timer.active():
            self.timer.reset(IDLE_S)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.factory.hearing.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class Door(protocol.Factory):
    """The members' control port, where terms are changed by words."""

    noisy, protocol = False, Hearing

    def __init__(
        self, reactor, members: int, came: Callable[[bytes], None], dropped: Callable[[str], None]
    ) -> None:
        self.reactor, self.came, self.dropped = reactor, came, dropped
        self.hearing: set[Hearing] = set()
        self.bound = MAX_PORT_CONNECTIONS + 2 * members

    def close(self) -> None:
        for each in list(self.hearing):
            each.transport.abortConnection()


@implementer(interfaces.IPushProducer)
class Saying(protocol.Protocol):
    """A connection to a peer; it says nothing back here."""

    def connectionMade(self) -> None:
        self.transport.registerProducer(self, True)
        self.factory.up(self.transport)

    def pauseProducing(self) -> None:
        self.factory.full = True

    def resumeProducing(self) -> None:
        self.factory.full = False

    def stopProducing(self) -> None:
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.factory.down(self.transport)


class Way(protocol.ClientFactory):
    """Words to one peer."""

    noisy, protocol = False, Saying

    def __init__(self, reactor, peer: PeerAddress) -> None:
        self.reactor, self.peer = reactor, peer
        self.waiting: deque[bytes] = deque(maxlen=WAITING_BOUND)
        self.transport = self.connector = self.end = None
        self.again_s, self.full = 0.0, False

    def say(self, data: bytes) -> None:
        if self.transport is not None:
            if not self.full:  # danger: what a stopped peer does not take would pile up; it is lost instead
                self.transport.write(data)
            return
        self.waiting.append(data)
        if self.connector is None and self.reactor.seconds() >= self.again_s:
            self.connector = self.reactor.connectTCP(self.peer.address, self.peer.port, self, timeout=DIAL_S)

    def up(self, transport) -> None:
        self.transport, self.full = transport, False
        transport.setTcpNoDelay(True)
        self.end = self.reactor.callLater(LIFE_S, self._over, transport)
        transport.write(b"".join(self.waiting))
        self.waiting.clear()

    def _over(self, transport) -> None:
        """Danger: a connection that came up and on which nothing passes would swallow all that is said."""
        self.transport = self.connector = None
        transport.loseConnection()
        self.end = self.reactor.callLater(DIAL_S, transport.abortConnection)

    def down(self, transport) -> None:
        if transport is self.transport:
            self.transport = self.connector = None
        if self.end is not None and self.end.active() and self.transport is None:
            self.end.cancel()

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        self.connector = None
        self.waiting.clear()
        self.again_s = self.reactor.seconds() + AGAIN_S

    def close(self) -> None:
        self.waiting.clear()
        if self.end is not None and self.end.active():
            self.end.cancel()
        if self.connector is not None:
            self.connector.disconnect()


class PolicyService(service.Service):
    """One front end's part in the fleet's terms."""

    def __init__(
        self,
        reactor,
        fleet: MembershipService,
        keepers: list[str],
        file: str,
        own: Terms,
        document: str,
        make: Callable[[str], tuple[Any, bool]],
        adopted: Callable[[Terms], None],
        log,
        note: Callable[..., Any] | None = None,
    ) -> None:
        """`own`: version 0, what the settings say, with its `document`. `adopted` hears the terms in the turn
        in which they begin to hold. `file`: of a keeper, else empty."""
        self.reactor, self.fleet, self.names, self.file = reactor, fleet, tuple(keepers), file
        self.own, self.document, self.make, self.adopted = own, document, make, adopted
        self.log, self.note = log, note
        self.name = fleet.me.name
        self.ways = {p.name: Way(reactor, p) for p in fleet.peers.values()}
        self.door = Door(reactor, len(self.ways) + 1, self._came, self._dropped)
        self.store: Store | None = None
        self.counts: Counter[str] = Counter()
        self.terms, self.wake, self.pulling = own, None, False

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """After the control port is listened on, before anything is taken. Raises StorageError."""
        if self.name in self.names:
            self.store = Store(self.file, self.fleet.fleet, self.name)
        members = [self.name, *self.ways]
        self.party = Party(self.now(), self.name, self.fleet.token, members, self.names, self.own, self.make,
                           self.store.kept if self.store else None)  # fmt: skip
        super().startService()
        self.pull()

    # -- what is heard

    def _came(self, payload: bytes) -> None:
        try:
            said = read(payload)
            if said.fleet != self.fleet.fleet:
                raise MessageError("another fleet")
            if said.name not in self.ways:
                raise MessageError("no member's name")
        except MessageError as fault:
            self._dropped(str(fault))
            return
        if self.running:
            self.party.heard(self.now(), said.name, said.token, said.body)
            self.pull()

    def _dropped(self, why: str) -> None:
        self.counts[f"dropped: {why}"] += 1
        if self.counts[f"dropped: {why}"] == 1 and len(self.counts) <= REASONS_BOUND:
            self.log.warning("word on terms dropped", why=why)

    def others_run(self, version: int) -> None:
        """A member's datagram tells its version."""
        if self.running and version > self.terms.version:
            self.party.others_run(self.now(), version)
            self.pull()

    # -- the turn

    def pull(self) -> None:
        """Carry out decisions until there is none. Danger: what the disk has not kept must not be said."""
        if self.pulling or not self.running:
            return
        self.pulling = True
        if self.terms.stop:
            fleet = self.fleet
            proofs = {fleet.peers[m.id].name: m.refused_ms for m in fleet.members.proved_dead(self.now())}
            self.party.proved_gone(self.now(), proofs)
        try:
            while (d := self.party.decide(self.now())) is not None:
                if isinstance(d, Keep):
                    self._keep(d)
                elif isinstance(d, Try):
                    self._try(d.to)
                elif d.to in self.ways:
                    self._say(d.to, d.word)
        finally:
            self.pulling = False
        self.look()
        while self.party.said:
            what, more = self.party.said.popleft()
            loud = what in ("keeps no more", "keepers are behind", "can't run under what holds")
            (self.log.error if loud else self.log.info)(f"terms: {what}", **more)
        if self.wake is not None and self.wake.active():
            self.wake.cancel()
        wait_ms = self.party.due_ms(self.now()) - self.now()
        self.wake = self.reactor.callLater(min(max(wait_ms, 1.0), 60_000.0) / 1e3, self.pull)

    def _keep(self, d: Keep) -> None:
        try:
            self.store.keep(d.kept, d.since)
        except (sqlite3.Error, OSError) as problem:
            self.log.error("keeper's file can't be written", file=self.file, problem=str(problem))
            self.party.disk_failed(self.now())
            self.store.close()
            self.store = None

    def _say(self, to: str, word: Any) -> None:
        self.counts[f"said {type(word).__name__}"] += 1
        try:
            data = write(self.fleet.fleet, self.name, self.fleet.token, word)
        except MessageError as fault:
            self._dropped(f"not said: {fault}")
            return
        self.counts["bytes said"] += len(data)
        self.ways[to].say(data)

    def _try(self, name: str) -> None:
        peer, began_ms = self.ways.get(name), self.now()
        if peer is None:
            return

        def done(refused: bool) -> None:
            if self.running:
                self.party.tried(self.now(), name, began_ms, refused)
                self.pull()

        self.reactor.connectTCP(peer.peer.address, peer.peer.port, PortCheckFactory(done), timeout=DIAL_S)

    # -- what holds

    def look(self) -> float:
        """0 if a request may be taken in this turn, under `terms`; else a time to come back (ms)."""
        terms, retry_ms = self.party.terms(self.now())
        if terms is None:
            return max(1.0, retry_ms)
        if terms is not self.terms:
            self.terms = terms
            self.fleet.members.policy_version = terms.version
            self.adopted(terms)
        return 0.0

    # -- operators

    def wished(self, propose: Propose) -> Progress:
        progress = self.party.wished(self.now(), propose)
        self.pull()
        return progress

    def recall(self) -> None:
        self.party.recall(self.now())
        self.pull()

    def history(self) -> ledgers.Ledger | None:
        """As far as it is known here: a keeper's own, or what was last recalled."""
        if self.party.keeper is not None and self.party.keeper.role is not Role.BLANK:
            return self.party.keeper.ledger
        return ledgers.read(self.party.recalled[1]) if self.party.recalled else None

    def held(self) -> str:
        """In one line, for operators."""
        return f"version {self.terms.version}: {self.party.state(self.now()).value}"

    def seen(self) -> dict[str, Any]:
        """For operators."""
        now, a, k = self.now(), self.party.adopter, self.party.keeper
        state = self.party.state(now)
        return {
            "version": a.terms.version,
            "digest": a.terms.digest,
            "serving": state not in (Serving.ASKS, Serving.WAITS, Serving.LAPSED),
            "state": state.value,
            "why not": a.refused,
            "settings differ": a.unlike,
            "promised for": a.promise.terms.version if a.promise else None,
            "changes over in ms": round(a.change.start_ms - now, 1) if a.change else None,
            "lease s": round((a.lease_ms - now) / 1e3, 1) if a.terms.stop else None,
            "keepers": list(k.keepers() if k else a.keepers or self.names),
            "leader": k.leader if k else self.party.leader,
            "keeper": f"{k.role.value}, term {k.term}, {k.commit} of {k.last} entries" if k else "",
            "document": a.terms.made[1] if a.terms.version else self.document,
            "own document": self.document,
            "counts": dict(sorted((self.counts + self.party.counts).items())),
        }

    # -- the end

    def leaving(self) -> None:
        """This process takes nothing more."""
        self.party.leave(self.now())
        self.pull()

    def stopService(self) -> None:
        super().stopService()
        if self.wake is not None and self.wake.active():
            self.wake.cancel()
        for way in self.ways.values():
            way.close()
        self.door.close()
        if self.store is not None:
            self.store.close()
