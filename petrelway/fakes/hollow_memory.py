"""How many bytes one member takes that is listed with many and holds them all alive; no socket is opened."""

from __future__ import annotations

import gc
import tracemalloc
from typing import Any

from twisted.internet import protocol, task

from ..membership.messages import MemberState
from ..membership.service import MembershipService
from .hollow_members import FleetPlan, hollow_member, introduction_datagrams

ANY_NETWORK, ANY_PORT = 77, 20_000  # nothing is bound there


class SocketlessReactor:
    """A clock whose sockets lead nowhere."""

    def __init__(self) -> None:
        clock = task.Clock()
        self.seconds = clock.seconds
        self.callLater = clock.callLater

    def listenTCP(self, port: int, factory: protocol.Factory, *more: Any, **named: Any) -> None:
        return None

    def listenUDP(self, port: int, datagrams: protocol.DatagramProtocol, interface: str = "") -> None:
        datagrams.makeConnection(self)

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        pass


def informed_member(plan: FleetPlan, datagrams: list[bytes]) -> MembershipService:
    """Member 0, which has heard by these datagrams of member 1 that everybody is alive."""
    member = hollow_member(SocketlessReactor(), plan, 0, ports=True)
    member.startService()
    sender = plan.listed(1)
    for datagram in datagrams:
        member.datagrams.datagramReceived(datagram, (sender.address, sender.port))
    if len(member.members.by_state[MemberState.ALIVE]) != plan.size - 1:
        raise AssertionError("the datagrams did not tell of everybody")
    return member


def plan_and_datagrams(size: int) -> tuple[FleetPlan, list[bytes]]:
    """A fleet of this size, and what member 1 says of everybody."""
    plan = FleetPlan(size, ANY_NETWORK, ANY_PORT)
    return plan, introduction_datagrams(plan, sender=1)


def informed_member_bytes(size: int) -> int:
    """Traced bytes of one such member, its list of peers included."""
    plan, datagrams = plan_and_datagrams(size)
    informed_member(plan, datagrams)  # what is made once a process is not one member's
    gc.collect()
    tracemalloc.start()
    try:
        member = informed_member(plan, datagrams)
        gc.collect()
        traced, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del member
    return traced
