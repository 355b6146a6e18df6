"""Membership on sockets: datagrams to the peers, and a port that refuses once the process is gone.

The service carries out the actions of the state machine (`swim.py`) and reports the quota lease
(`quota_lease.py`) to the front end. It listens on its port before any of the fleet's quota is used and closes
it after the last use; only for that reason does a refusal prove that the process is gone.
"""

from __future__ import annotations

import math
import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.application import service
from twisted.internet import error, interfaces, protocol

from ..routing.types import QuotaShare
from ..sockets.datagrams import listen_udp
from ..sockets.listening import listen_tcp
from .messages import MessageError, decode, digest, encode
from .port_checks import PortCheckedFactory, PortCheckFactory
from .quota_lease import QuotaLease, QuotaLeaseHolder
from .report import members_report
from .swim import Action, ActionKind, MemberEvent, MembershipStateMachine, ViewStatus

PORT_CHECK_TIMEOUT_S = 2.0  # a check that has not ended by then proves nothing
LISTEN_BACKLOG = 512  # connections that may wait in the system's queue
MAX_LOGGED_REASONS = 32  # distinct reasons for dropped datagrams that are logged
LOG_LEVELS = {"stood still": "warning", "two processes": "error", "yielded": "error", "failed": "warning"}


def new_incarnation_token() -> int:
    """Return a random token for a new process, never 0."""
    return secrets.randbelow((1 << 32) - 1) + 1


class PeerAddress(NamedTuple):
    """An entry of the list of peers."""

    name: str
    address: str
    port: int


class MembershipDatagramProtocol(protocol.DatagramProtocol):
    """Passes each received datagram to a callback."""

    noisy = False

    def __init__(self, received: Callable[[bytes, tuple[str, int]], None]) -> None:
        """`received` is called with each datagram and its sender's address."""
        self.received = received

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        """Pass on the datagram with its sender's address."""
        self.received(data, address)


class MembershipService(service.Service):
    """The membership of one front end: its sockets, timers, logs and reports."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        me: PeerAddress,
        fleet: str,
        peers: list[PeerAddress],
        token: int,
        random_source: random.Random,
        log,
        on_quota: Callable[[QuotaShare], None] | None,
        record: Callable[..., Any] | None = None,
    ) -> None:
        """Prepare the service; `startService` opens its sockets.

        `token` comes from the system's own random source: two processes under the same name with the same
        token would be taken for one. `on_quota` is called with the share after each turn; it is None where no
        port may be listened on or checked: then no member is proved dead, and the share stays 1/n. `record`
        writes a line of a scenario's record.
        """
        self.reactor = reactor
        self.me = me
        self.fleet = fleet
        self.token = token
        self.random_source = random_source
        self.log = log
        self.on_quota = on_quota
        self.record = record
        self.peers = {digest(peer.name): peer for peer in peers if peer.name != me.name}
        self.ids_by_address = {(peer.address, peer.port): id for id, peer in self.peers.items()}
        self.counts: Counter[str] = Counter()
        self.tcp_port = None
        self.udp_port = None
        self.wake_timer = None
        self.view_status: ViewStatus | None = None
        self.lease: QuotaLease | None = None
        self.port_factory: protocol.Factory | None = (
            None  # replaces PortCheckedFactory where the policy module uses the port
        )
        self.on_policy_version: Callable[[int], None] = lambda version: (
            None
        )  # called with the policy version that another member runs under

    def now(self) -> float:
        """Return the reactor's time in ms."""
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Listen and start. Raises twisted.internet.error.CannotListenError if the port is taken."""
        if self.on_quota is not None:
            factory = self.port_factory or PortCheckedFactory(self.reactor)
            self.tcp_port = listen_tcp(
                self.reactor, self.me.port, factory, LISTEN_BACKLOG, self.me.address, self.log
            )
        self.datagrams = MembershipDatagramProtocol(self._received)
        try:
            self.udp_port = listen_udp(self.reactor, self.me.port, self.datagrams, self.me.address)
        except error.CannotListenError:
            if self.tcp_port is not None:
                self.tcp_port.stopListening()
            raise
        now = self.now()
        self.members = MembershipStateMachine(
            now, digest(self.me.name), self.token, digest(self.fleet), list(self.peers), self.random_source
        )
        self.lease_holder = QuotaLeaseHolder(now, len(self.peers) + 1)
        super().startService()
        self._take_turn()

    def stopService(self):
        """Leave the fleet; called after the last use of the quota."""
        super().stopService()
        self.announce_leave()
        if self.wake_timer is not None and self.wake_timer.active():
            self.wake_timer.cancel()
        self.udp_port.stopListening()
        return self.tcp_port.stopListening() if self.tcp_port is not None else None

    def announce_leave(self) -> None:
        """Announce that this process no longer uses its quota; only after that may the port refuse."""
        for action in self.members.leave():
            self._send(action)

    # -- datagrams and timers

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.ids_by_address.get(address)
        try:
            if sender is None:
                raise MessageError("no peer's address")
            message = decode(data)
        except MessageError as fault:
            self._count_dropped(str(fault), address)
            return
        self.members.receive(self.now(), sender, message)
        self._take_turn()
        if message.policy_version:
            self.on_policy_version(message.policy_version)

    def _count_dropped(self, why: str, address: tuple[str, int]) -> None:
        self.counts[why] += 1
        if self.counts[why] == 1 and len(self.counts) <= MAX_LOGGED_REASONS:
            self.log.warning("datagram dropped", why=why, address="{}:{}".format(*address))

    def _on_wake_up(self) -> None:
        self.members.wake_up()
        self._take_turn()

    def _take_turn(self) -> None:
        """Carry out all pending actions, then report the quota, events, the view status and the lease."""
        now = self.now()
        while (action := self.members.decide(now)) is not None:
            if action.kind is ActionKind.SEND:
                self._send(action)
            elif action.kind is ActionKind.CHECK_PORT:
                if self.on_quota is not None:
                    self._check_port(action.member, now)
            else:
                self._wake_at(action.at_ms, now)
        lease = self.lease_holder.current(self.members, now)
        if self.on_quota is not None:
            self.on_quota(lease.part)
        self._report_events()
        self._report_view_status(now)
        self._report_lease(now, lease)

    def _wake_at(self, at_ms: float, now: float) -> None:
        if self.wake_timer is not None and self.wake_timer.active():
            self.wake_timer.cancel()
        self.wake_timer = self.reactor.callLater(max(0.0, at_ms - now) / 1e3, self._on_wake_up)

    def _send(self, action: Action) -> None:
        peer = self.peers[action.member]
        try:
            self.datagrams.transport.write(encode(action.message), (peer.address, peer.port))
        except OSError as problem:  # e.g. no route at this moment; treated like a lost datagram
            self._count_dropped(f"not sent: {problem.strerror}", (peer.address, peer.port))

    def _check_port(self, member: int, began_ms: float) -> None:
        peer = self.peers[member]

        def done(refused: bool) -> None:
            if self.running:
                self.members.port_checked(self.now(), member, began_ms, refused)
                self._take_turn()

        self.reactor.connectTCP(peer.address, peer.port, PortCheckFactory(done), timeout=PORT_CHECK_TIMEOUT_S)

    # -- logs, records and reports

    def _report_events(self) -> None:
        while self.members.events:
            self._report_event(self.members.events.popleft())

    def _report_event(self, event: MemberEvent) -> None:
        name = self.peers[event.member].name if event.member else self.me.name
        write_log = getattr(self.log, LOG_LEVELS.get(event.what, "info"))
        write_log(f"member {event.what}", member=name, why=event.why)
        if self.record is not None:
            self.record("held", member=name, what=event.what, why=event.why)

    def _report_view_status(self, now: float) -> None:
        status = self.members.view_status(now)
        if status is not self.view_status:
            before = self.view_status.value if self.view_status else ""
            self.log.info("fleet " + status.value, before=before)
            if self.record is not None:
                self.record("whole", whole=status.value)
        self.view_status = status

    def _report_lease(self, now: float, lease: QuotaLease) -> None:
        before = self.lease
        self.lease = lease
        part = lease.part
        if before is None or (before.part.share, before.reason) != (part.share, lease.reason):
            self.log.info("quota lease", share=round(part.share, 4), why=lease.reason, dead=lease.dead)
        if self.record is not None and (before is None or before.part != part):
            left_ms = round(part.until_ms - now, 3) if part.until_ms < math.inf else None
            self.record("part", share=part.share, left=left_ms, dead=lease.dead)

    def figures(self) -> dict[str, int]:
        """Return counts since the start: messages sent and received, and datagrams dropped by reason."""
        return dict(sorted((self.members.counts + self.counts).items()))

    def members_seen(self) -> dict[str, Any]:
        """Return the members page for operators; spans are in seconds."""
        return members_report(
            self.now(),
            self.me.name,
            self.fleet,
            self.peers,
            self.members,
            self.lease,
            self.lease_holder.size,
            self.figures(),
        )
