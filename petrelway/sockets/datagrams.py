"""A UDP port that stays open when a system call on it fails transiently; used by membership.

Twisted's own port is closed for good by an error of `recvfrom` that it does not know.
"""

from __future__ import annotations

from collections import Counter

from twisted.internet import interfaces, udp

from .listening import error_name
from .transports import NOTHING_READY


class DatagramPort(udp.Port):
    """A UDP port that counts errors of `recvfrom`.

    A datagram that could not be read is lost, as any datagram may be.
    """

    def __init__(self, port: int, protocol, interface: str, reactor) -> None:
        """Create the port; the arguments are those of `twisted.internet.udp.Port`."""
        super().__init__(port, protocol, interface, reactor=reactor)
        self.counts: Counter[str] = Counter()

    def doRead(self) -> None:
        """Read datagrams; an error ends only this read."""
        try:
            super().doRead()
        except OSError as error:
            if error.errno not in NOTHING_READY:
                self.counts[f"recvfrom {error_name(error.errno)}"] += 1


def listen_udp(reactor, port: int, protocol, interface: str) -> interfaces.IListeningPort:
    """Receive datagrams with a `DatagramPort`, or, on an in-memory reactor, with that reactor's own port.

    Raises twisted.internet.error.CannotListenError.
    """
    if not interfaces.IReactorFDSet.providedBy(reactor):
        return reactor.listenUDP(port, protocol, interface=interface)
    datagram_port = DatagramPort(port, protocol, interface, reactor)
    datagram_port.startListening()
    return datagram_port
