"""A UDP port that stays when a call on it fails for a moment.

Danger: Twisted's own port is closed for good by an error of `recvfrom` that it does not know.
"""

from __future__ import annotations

from collections import Counter

from twisted.internet import interfaces, udp

from .listening import NOBODY_WAITS, error_name


class DatagramPort(udp.Port):
    """Counts what `recvfrom` failed with; a datagram that could not be read is lost, as any may be."""

    def __init__(self, port: int, protocol, interface: str, reactor) -> None:
        super().__init__(port, protocol, interface, reactor=reactor)
        self.counts: Counter[str] = Counter()

    def doRead(self) -> None:
        try:
            super().doRead()
        except OSError as problem:
            if problem.errno not in NOBODY_WAITS:
                self.counts[f"recvfrom {error_name(problem.errno)}"] += 1


def listen_udp(reactor, port: int, protocol, interface: str) -> interfaces.IListeningPort:
    """Receive datagrams with a `DatagramPort`; on a reactor in memory with its own kind of port.

    Raises twisted.internet.error.CannotListenError.
    """
    if not interfaces.IReactorFDSet.providedBy(reactor):
        return reactor.listenUDP(port, protocol, interface=interface)
    datagrams = DatagramPort(port, protocol, interface, reactor)
    datagrams.startListening()
    return datagrams
