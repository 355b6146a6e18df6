"""What a member says of its fleet, and a party of its terms, to an operator."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from doubles import Log
from twisted.internet import task

from petrelway.membership.service import MembershipService, PeerAddress

QUIET_S = 30
SEED = 5
DATAGRAM = b"nonsense"


class Sockets(task.Clock):
    """What a member asks of a reactor; nothing that it sends arrives."""

    def listenTCP(self, port: int, factory: Any, *more: Any, interface: str = "", **kw: Any) -> Any:
        return SimpleNamespace(stopListening=lambda: None)

    def listenUDP(self, port: int, datagrams: Any, interface: str = "") -> Any:
        datagrams.transport = SimpleNamespace(write=lambda data, to: None)
        return SimpleNamespace(stopListening=lambda: None)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        pass


def members_page() -> Any:
    """The members as one sees them that hears nobody."""
    reactor = Sockets()
    reactor.advance(1000.0)
    me, *others = (PeerAddress(name, f"10.0.0.{i}", 7946) for i, name in enumerate("abc", 1))
    fleet = MembershipService(reactor, me, "f", others, SEED, random.Random(1), Log(), None)
    fleet.startService()
    fleet.datagrams.datagramReceived(DATAGRAM, (others[0].address, others[0].port))
    for _ in range(QUIET_S):
        reactor.advance(1.0)
    return fleet.members_seen()
