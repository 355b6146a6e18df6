"""Hollow members: many front ends' membership in one process, on loopback, with nothing behind it.

A hollow member is the real service (`MembershipService`: real datagrams, the real state machine) without a
dispatcher, a
client listener or requests. Others can't tell it from a front end. `hollow_process.py` runs a group of them
as one process of a larger fleet; `benchmarks/capacity_members.py` measures with it.
"""

from __future__ import annotations

import random
import time
from typing import Any

import msgspec
from twisted.internet import defer, interfaces, protocol, task

from ..membership.messages import (
    MAX_UPDATES,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    digest,
    encode,
)
from ..membership.service import MembershipService, PeerAddress
from ..membership.swim import MembershipStateMachine
from ..routing.types import QuotaShare

MEMBERS_BOUND = 2000  # hollow members in one process: two descriptors each, of the usual few thousand
FLEET_BOUND = 60_000  # members of one fleet: one address each under 127.NETWORK.0.0/16
FLEET_NAME = "platform"  # as `petrelway node` calls the fleet that it is told of
FIRST_INCARNATION = 1  # of a process that heard of no earlier one under its name
LAG_PERIOD_S = 0.1  # how often a process looks how late its own timers are


class HollowMembersError(Exception):
    """A fleet or a group of hollow members that can't be; the text says why in one line."""


class FleetPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole fleet on loopback: member NUMBER (from 0) has an address of its own, and all have one port.

    >>> FleetPlan(size=300, network=77, port=20_000).listed(299)
    PeerAddress(name='127.77.1.44:20000', address='127.77.1.44', port=20000)
    """

    size: int
    network: int  # second byte of each address
    port: int
    seed: int = 0

    def __post_init__(self) -> None:
        if not 1 <= self.size <= FLEET_BOUND:
            raise HollowMembersError(f"a fleet of {self.size} members; allowed: 1 to {FLEET_BOUND}")

    def listed(self, number: int) -> PeerAddress:
        """The member's line of the list of peers; its address is its name, as under `petrelway node`."""
        place = number + 1  # the first address of a network may be its broadcast
        address = f"127.{self.network}.{place >> 8}.{place & 255}"
        return PeerAddress(f"{address}:{self.port}", address, self.port)

    def peers(self) -> list[PeerAddress]:
        """The list of peers, the same for each member."""
        return [self.listed(number) for number in range(self.size)]

    def token(self, number: int, process: int = 0) -> int:
        """The token of the member's nth process, known in advance so that members can be introduced."""
        return random.Random(f"{self.seed}/{number}/{process}/token").randrange(1, 1 << 32)

    def random_source(self, name: str) -> random.Random:
        """The member's own jitter, from the same recipe as a front end's."""
        return random.Random(f"{self.seed}/{name}/members")


class Traffic(msgspec.Struct):
    """What one or several members sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dials: int = 0


class CountedTransport:
    """A UDP port that counts what is written to it."""

    def __init__(self, transport: Any, traffic: Traffic) -> None:
        self._transport = transport
        self._traffic = traffic

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self._traffic.sent_messages += 1
        self._traffic.sent_bytes += len(data)
        self._transport.write(data, address)


class CountedDatagrams(protocol.DatagramProtocol):
    """Counts what arrives and hands it to the shell's own protocol."""

    noisy = False

    def __init__(self, inner: protocol.DatagramProtocol, traffic: Traffic) -> None:
        self._inner = inner
        self._traffic = traffic

    def startProtocol(self) -> None:
        self._inner.makeConnection(CountedTransport(self.transport, self._traffic))

    def stopProtocol(self) -> None:
        self._inner.doStop()

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self._traffic.received_messages += 1
        self._traffic.received_bytes += len(data)
        self._inner.datagramReceived(data, address)


class CountedReactor:
    """A reactor as the shell uses it, that counts datagrams and dials."""

    def __init__(self, reactor: Any, traffic: Traffic) -> None:
        self._reactor = reactor
        self._traffic = traffic
        self.seconds = reactor.seconds
        self.callLater = reactor.callLater
        self.listenTCP = reactor.listenTCP

    def listenUDP(self, port: int, inner: protocol.DatagramProtocol, interface: str = "") -> Any:
        return self._reactor.listenUDP(port, CountedDatagrams(inner, self._traffic), interface=interface)

    def connectTCP(self, host: str, port: int, factory: protocol.ClientFactory, timeout: float) -> Any:
        self._traffic.dials += 1
        return self._reactor.connectTCP(host, port, factory, timeout=timeout)


class SilentLog:
    """A log that keeps nothing: what a hollow process would write is nobody's."""

    def _drop(self, event: str, **what: Any) -> None:
        pass

    debug = info = warning = error = critical = _drop


def ignore_part(part: QuotaShare) -> None:
    """A front end's host would use its quota share; a hollow member has none to use."""


def hollow_member(
    reactor: interfaces.IReactorTime,
    plan: FleetPlan,
    number: int,
    ports: bool,
    process: int = 0,
    peers: list[PeerAddress] | None = None,
) -> MembershipService:
    """The shell of one member, not yet started. With `ports` it listens on its port and tries those of
    others, as under `petrelway serve`; without, datagrams alone, as under `petrelway node`. `peers` saves the
    list's memory where many members share a process."""
    me = plan.listed(number)
    return MembershipService(
        reactor,
        me,
        FLEET_NAME,
        peers if peers is not None else plan.peers(),
        plan.token(number, process),
        plan.random_source(me.name),
        SilentLog(),
        ignore_part if ports else None,
    )


def introductions(
    ids: list[int], starts: list[Incarnation], sender: int, fleet: int, peers_digest: int
) -> list[Message]:
    """The messages by which member `sender` tells that everybody is alive; `ids` and `starts` by number."""
    news = [MemberUpdate(id, start, MemberState.ALIVE) for id, start in zip(ids, starts, strict=False)]
    return [
        Message(
            MessageKind.ACK,
            fleet,
            ids[sender],
            starts[sender],
            peers_digest,
            view_digest=0,
            sequence=0,
            target=0,
            updates=tuple(news[first : first + MAX_UPDATES]),
        )
        for first in range(0, len(news), MAX_UPDATES)
    ]


def introduction_datagrams(plan: FleetPlan, sender: int) -> list[bytes]:
    """The same for the first processes of a fleet on loopback."""
    ids = [digest(plan.listed(number).name) for number in range(plan.size)]
    starts = [Incarnation(FIRST_INCARNATION, plan.token(number)) for number in range(plan.size)]
    peers_digest = digest(*map(str, sorted(ids)))
    messages = introductions(ids, starts, sender, digest(FLEET_NAME), peers_digest)
    return [encode(message) for message in messages]


def settle_view(members: MembershipStateMachine) -> None:
    """As if all news had been told, and everybody had been heard since: a fleet that starts as a whole comes
    there by itself after about a second a member."""
    members.updates.transmissions.clear()
    for member in members.others.values():
        member.view_digest = members.view_digest


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How one process of hollow members stands."""

    members: int
    cpu_s: float  # of the process since its start, by its own clock
    uptime_s: float  # since its members started
    traffic: Traffic
    pauses: int  # how often a member noticed that it had stood still
    lag_ms: float  # how late a timer was at most since the last report; 0 in a process of one member
    alive_least: int  # fewest others that one of these members holds alive
    failed_least: int
    failed_most: int
    suspected_most: int
    unheard_most: int
    untold_most: int  # most members of which news is still being told
    views: int  # different views among these members
    view: int  # the digest of one of them


class HollowGroup:
    """The hollow members of one process."""

    def __init__(
        self, reactor: Any, plan: FleetPlan, numbers: range, ports: bool = False, process: int = 0
    ) -> None:
        """Raises HollowMembersError for more members than one process may hold, or one outside the fleet."""
        if not 1 <= len(numbers) <= MEMBERS_BOUND:
            raise HollowMembersError(
                f"{len(numbers)} hollow members in a process; allowed: 1 to {MEMBERS_BOUND}"
            )
        if numbers[0] < 0 or numbers[-1] >= plan.size:
            found = f"members {numbers[0]} to {numbers[-1]} of a fleet of {plan.size}"
            raise HollowMembersError(f"{found}; allowed: 0 to {plan.size - 1}")
        self.plan = plan
        self.traffic = Traffic()
        self._reactor = reactor
        self._introduced_by: dict[int, list[bytes]] = {}  # of the two senders at most
        self._lag_s = 0.0
        self._due_s = 0.0
        self._began_s = 0.0
        self._lag_look = task.LoopingCall(self._look_at_lag)
        self._lag_look.clock = reactor
        peers = plan.peers()
        counted = CountedReactor(reactor, self.traffic)
        self.members = [hollow_member(counted, plan, n, ports, process, peers) for n in numbers]

    def start(self, introduced: bool) -> None:
        """Start all; `introduced`: each has heard that everybody is alive, so that a whole fleet's start need
        not be waited for. Raises twisted.internet.error.CannotListenError."""
        self._began_s = self._reactor.seconds()
        for member in self.members:
            member.startService()
        if introduced:
            self._introduce()
        if len(self.members) > 1:  # danger: in the process of a member under measurement it would be its CPU
            self._due_s = self._reactor.seconds() + LAG_PERIOD_S
            self._lag_look.start(LAG_PERIOD_S, now=False)

    def _introduce(self) -> None:
        if self.plan.size < 2:
            return
        for member in self.members:
            sender = 0 if member.me.name != self.plan.listed(0).name else 1
            address = self.plan.listed(sender).address, self.plan.port
            for datagram in self._introductions(sender):
                member.datagrams.datagramReceived(datagram, address)

    def _introductions(self, sender: int) -> list[bytes]:
        if sender not in self._introduced_by:
            self._introduced_by[sender] = introduction_datagrams(self.plan, sender)
        return self._introduced_by[sender]

    def settle(self) -> None:
        """As if all news had been told, and everybody had been heard since."""
        for member in self.members:
            settle_view(member.members)

    def _look_at_lag(self) -> None:
        now_s = self._reactor.seconds()
        self._lag_s = max(self._lag_s, now_s - self._due_s)
        self._due_s = now_s + LAG_PERIOD_S

    def report(self) -> Report:
        """How the members stand now; the lag starts anew."""
        lag_s, self._lag_s = self._lag_s, 0.0
        views = [member.members for member in self.members]
        return Report(
            members=len(views),
            cpu_s=time.process_time(),
            uptime_s=self._reactor.seconds() - self._began_s,
            traffic=self.traffic,
            pauses=sum(view.pauses for view in views),
            lag_ms=lag_s * 1e3,
            alive_least=min(len(view.by_state[MemberState.ALIVE]) for view in views),
            failed_least=min(len(view.by_state[MemberState.DEAD]) for view in views),
            failed_most=max(len(view.by_state[MemberState.DEAD]) for view in views),
            suspected_most=max(len(view.by_state[MemberState.SUSPECT]) for view in views),
            unheard_most=max(len(view.by_state[MemberState.UNKNOWN]) for view in views),
            untold_most=max(len(view.updates.transmissions) for view in views),
            views=len({view.view_digest for view in views}),
            view=views[0].view_digest,
        )

    def stop(self) -> defer.Deferred:
        """All leave in order."""
        if self._lag_look.running:
            self._lag_look.stop()
        return defer.gatherResults([defer.maybeDeferred(member.stopService) for member in self.members])
