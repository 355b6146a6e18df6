"""Membership on sockets: datagrams to the peers, and a port that refuses once the process is gone.

Only I/O stands here; what is believed and what follows from it is in members.py and parts.py. The port is
listened on before anything of the fleet's is used and closed after the last use: that a refusal proves the
process gone rests on it."""

from __future__ import annotations

import math
import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.application import service
from twisted.internet import error, interfaces, protocol

from ..routing.types import Part
from ..sockets.datagrams import listen_udp
from ..sockets.listening import listen_tcp
from .messages import MEMBER_STATE_LABELS, Incarnation, MemberState, MessageError, decode, digest, encode
from .quota_lease import QuotaLease, QuotaLeaseHolder
from .swim import ActionKind, MembershipStateMachine, ViewStatus

DIAL_S = 2.0  # a try that has not ended by then says nothing
BACKLOG = 512  # connections that wait in the system's queue
MAX_PORT_CONNECTIONS = 64  # connections at the port at a time; more are closed at once
CALLER_S = 5.0  # and each is closed after this time
REASONS_BOUND = 32  # reasons for dropped datagrams that are logged


def new_incarnation_token() -> int:
    return secrets.randbelow((1 << 32) - 1) + 1


class PeerAddress(NamedTuple):
    """A line of the list of peers."""

    name: str
    address: str
    port: int


class PortCheckedProtocol(protocol.Protocol):
    """Somebody looks whether this process is there. Nothing is said."""

    def connectionMade(self) -> None:
        self.factory.callers += 1
        if self.factory.callers > MAX_PORT_CONNECTIONS:
            self.transport.abortConnection()
        else:
            self.timer = self.factory.reactor.callLater(CALLER_S, self.transport.abortConnection)

    timer = None

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.factory.callers -= 1
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class PortCheckedFactory(protocol.Factory):
    noisy, protocol = False, PortCheckedProtocol

    def __init__(self, reactor) -> None:
        self.reactor, self.callers = reactor, 0


class PortCheckFactory(protocol.ClientFactory):
    """One try of a peer's port."""

    noisy = False

    def __init__(self, done: Callable[[bool], None]) -> None:
        self.done = done

    def buildProtocol(self, address):
        made = protocol.Protocol()
        made.connectionMade = lambda: made.transport.abortConnection()
        self.done(False)
        return made

    def clientConnectionFailed(self, connector, reason) -> None:
        """Danger: silence, a reset or a missing way are no proof; only a refusal is."""
        self.done(bool(reason.check(error.ConnectionRefusedError)))


class MembershipDatagramProtocol(protocol.DatagramProtocol):
    noisy = False

    def __init__(self, came: Callable[[bytes, tuple[str, int]], None]) -> None:
        self.came = came

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self.came(data, address)


class MembershipService(service.Service):
    """One front end among its peers."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        me: PeerAddress,
        fleet: str,
        peers: list[PeerAddress],
        token: int,
        random_source: random.Random,
        log,
        told: Callable[[Part], None] | None,
        note: Callable[..., Any] | None = None,
    ) -> None:
        """`token` from the system's own chance: the same under the same name would make two processes one.
        `told` hears the part after each turn; None where no port may be listened on or tried: then nobody
        is proved dead, and every part is the own share. `note` writes a rehearsal's record."""
        self.reactor, self.me, self.fleet = reactor, me, fleet
        self.token, self.random_source = token, random_source
        self.log, self.told, self.note = log, told, note
        self.peers = {digest(p.name): p for p in peers if p.name != me.name}
        self.at = {(p.address, p.port): id for id, p in self.peers.items()}
        self.counts: Counter[str] = Counter()
        self.tcp = self.udp = self.wake = None
        self.whole: ViewStatus | None = None
        self.held: QuotaLease | None = None
        self.door: protocol.Factory | None = None  # who hears connections at the port, where words come by it
        self.versions: Callable[[int], None] = lambda version: None  # hears which terms others run under

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Raises twisted.internet.error.CannotListenError if the port is taken."""
        if self.told is not None:
            callers = self.door or PortCheckedFactory(self.reactor)
            self.tcp = listen_tcp(self.reactor, self.me.port, callers, BACKLOG, self.me.address, self.log)
        self.datagrams = MembershipDatagramProtocol(self._came)
        try:
            self.udp = listen_udp(self.reactor, self.me.port, self.datagrams, self.me.address)
        except error.CannotListenError:
            if self.tcp is not None:
                self.tcp.stopListening()
            raise
        now = self.now()
        me, fleet = digest(self.me.name), digest(self.fleet)
        self.members = MembershipStateMachine(now, me, self.token, fleet, list(self.peers), self.random_source)
        self.parts = QuotaLeaseHolder(now, len(self.peers) + 1)
        super().startService()
        self._turn()

    def _came(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.at.get(address)
        try:
            if sender is None:
                raise MessageError("no peer's address")
            word = decode(data)
        except MessageError as fault:
            self._dropped(str(fault), address)
            return
        self.members.heard(self.now(), sender, word)
        self._turn()
        if word.version:
            self.versions(word.version)

    def _dropped(self, why: str, address: tuple[str, int]) -> None:
        self.counts[why] += 1
        if self.counts[why] == 1 and len(self.counts) <= REASONS_BOUND:
            self.log.warning("datagram dropped", why=why, address="{}:{}".format(*address))

    def _woken(self) -> None:
        self.members.time_passed(self.now())
        self._turn()

    def _turn(self) -> None:
        """Pull decisions until there is none, then tell what follows."""
        now = self.now()
        while (d := self.members.decide(now)) is not None:
            if d.verb is ActionKind.SEND:
                self._send(d)
            elif d.verb is ActionKind.CHECK_PORT:
                if self.told is not None:
                    self._try(d.member, now)
            else:
                if self.wake is not None and self.wake.active():
                    self.wake.cancel()
                self.wake = self.reactor.callLater(max(0.0, d.ms - now) / 1e3, self._woken)
        held = self.parts.held(self.members, now)
        if self.told is not None:
            self.told(held.part)
        self._say(now, held)

    def _send(self, decision) -> None:
        peer = self.peers[decision.member]
        try:
            self.datagrams.transport.write(encode(decision.word), (peer.address, peer.port))
        except OSError as problem:  # no way there at this moment: as if it were lost
            self._dropped(f"not sent: {problem.strerror}", (peer.address, peer.port))

    def _try(self, member: int, began_ms: float) -> None:
        peer = self.peers[member]

        def done(refused: bool) -> None:
            if self.running:
                self.members.tried(self.now(), member, began_ms, refused)
                self._turn()

        self.reactor.connectTCP(peer.address, peer.port, PortCheckFactory(done), timeout=DIAL_S)

    # -- what is said

    def _say(self, now: float, held: QuotaLease) -> None:
        """One event a change."""
        while self.members.changes:
            member, what, why = self.members.changes.popleft()
            name = self.peers[member].name if member else self.me.name
            loud = {
                "stood still": "warning",
                "two processes": "error",
                "yielded": "error",
                "failed": "warning",
            }
            getattr(self.log, loud.get(what, "info"))(f"member {what}", member=name, why=why)
            if self.note is not None:
                self.note("held", member=name, what=what, why=why)
        whole = self.members.whole(now)
        if whole is not self.whole:
            self.log.info("fleet " + whole.value, before=self.whole.value if self.whole else "")
            if self.note is not None:
                self.note("whole", whole=whole.value)
        before, self.whole, self.held = self.held, whole, held
        if before is None or (before.part.share, before.why) != (held.part.share, held.why):
            self.log.info("part held", share=round(held.part.share, 4), why=held.why, dead=held.dead)
        if self.note is not None and (before is None or before.part != held.part):
            left = round(held.part.until_ms - now, 3) if held.part.until_ms < math.inf else None
            self.note("part", share=held.part.share, left=left, dead=held.dead)

    def figures(self) -> dict[str, int]:
        """Words told and heard, and what was dropped by reason, since the start."""
        return dict(sorted((self.members.counts + self.counts).items()))

    def members_seen(self) -> dict[str, Any]:
        """For operators; spans in s."""
        now, m = self.now(), self.members
        rows = [_row(self.me.name, "this one", now - m.began_ms, 0.0, m.start, "itself")]
        rows[0]["terms"] = m.version
        for id, peer in sorted(self.peers.items(), key=lambda item: item[1].name):
            x = m.others[id]
            heard_ms = now - x.heard_ms
            rows.append(_row(peer.name, MEMBER_STATE_LABELS[x.state], now - x.since_ms, heard_ms, x.start, x.why))
            rows[-1]["terms"] = x.version
        held, size = self.held, self.parts.size
        left_ms = held.part.until_ms - now
        return {
            "fleet": self.fleet,
            "whole": m.whole(now).value,
            "view": f"{m.view:08x}",
            "share": round(held.part.share, 4),
            "own share": round(1.0 / size, 4),
            "share until s": round(left_ms / 1e3, 1) if left_ms < math.inf else None,
            "why": held.why,
            "stands for dead": held.dead,
            "stood still": m.stalls,
            "own health": m.health,
            "alive": 1 + sum(x.state is MemberState.ALIVE for x in m.others.values()),
            "counts": self.figures(),
            "rows": rows,
        }

    # -- the end

    def leaving(self) -> None:
        """What this process held is used no more: say so, and only then let the port refuse."""
        for d in self.members.leave():
            self._send(d)

    def stopService(self):
        """After the last use of the part."""
        super().stopService()
        self.leaving()
        if self.wake is not None and self.wake.active():
            self.wake.cancel()
        self.udp.stopListening()
        return self.tcp.stopListening() if self.tcp is not None else None


def _row(name: str, state: str, since_ms: float, heard_ms: float, start: Incarnation, why: str) -> dict[str, Any]:
    return {
        "member": name,
        "state": state,
        "since s": round(since_ms / 1e3, 1),
        "heard s ago": round(heard_ms / 1e3, 1) if heard_ms < math.inf else None,
        "start": f"{start.incarnation}.{start.token:08x}",
        "known by": why,
    }
