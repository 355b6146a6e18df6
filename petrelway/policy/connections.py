"""Connections that carry policy messages between members' control ports.

Each side opens a connection when it has something to send, and uses it only for sending. Messages lost with a
connection are repeated by the sender that needs an answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..membership.port_checks import MAX_PORT_CONNECTIONS
from ..membership.service import PeerAddress
from ..wire.framing import Frames, WireError
from .messages import MAX_MESSAGE_BYTES

IDLE_TIMEOUT_S = 10.0  # a connection on which nothing is received is closed
CONNECTION_LIFETIME_S = 5.0  # a connection is replaced after this
CONNECT_TIMEOUT_S = 2.0
MAX_QUEUED_MESSAGES = 64  # queued for a connection; beyond this the oldest are dropped
RECONNECT_DELAY_S = 0.1  # after a failed connection attempt


class PolicyListenerProtocol(protocol.Protocol):
    """A connection from a peer that sends messages or probes whether this process is running."""

    timer = None

    def connectionMade(self) -> None:
        """Start reading, or abort if there are too many connections."""
        self.frames = Frames(MAX_MESSAGE_BYTES)
        self.factory.connections.add(self)
        if len(self.factory.connections) > self.factory.max_connections:
            self.transport.abortConnection()
        else:
            self.timer = self.factory.reactor.callLater(IDLE_TIMEOUT_S, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        """Pass the payloads of complete frames to the factory."""
        try:
            for payload in self.frames.feed(data):
                self.factory.on_payload(payload)
        except WireError:
            self.factory.on_dropped("too long")
            self.transport.abortConnection()
            return
        if self.timer is not None and self.timer.active():
            self.timer.reset(IDLE_TIMEOUT_S)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Remove the connection."""
        self.factory.connections.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class PolicyListenerFactory(protocol.Factory):
    """Accepts the connections of other members to this member's control port, which carry policy messages."""

    noisy = False
    protocol = PolicyListenerProtocol

    def __init__(
        self,
        reactor,
        members: int,
        on_payload: Callable[[bytes], None],
        on_dropped: Callable[[str], None],
    ) -> None:
        """`on_payload` is called with each frame's payload, `on_dropped` with the reason if one is
        dropped."""
        self.reactor = reactor
        self.on_payload = on_payload
        self.on_dropped = on_dropped
        self.connections: set[PolicyListenerProtocol] = set()
        self.max_connections = MAX_PORT_CONNECTIONS + 2 * members

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()


@implementer(interfaces.IPushProducer)
class PeerConnectionProtocol(protocol.Protocol):
    """A connection to a peer, on which the peer sends nothing."""

    def connectionMade(self) -> None:
        """Hand the transport to the factory, which sends the queued messages."""
        self.transport.registerProducer(self, True)
        self.factory.connected(self.transport)

    def pauseProducing(self) -> None:
        """Stop sending, as the send buffer is full."""
        self.factory.send_buffer_full = True

    def resumeProducing(self) -> None:
        """Allow sending again, as the send buffer has room."""
        self.factory.send_buffer_full = False

    def stopProducing(self) -> None:
        """Close the transport."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Let the factory connect again."""
        self.factory.disconnected(self.transport)


class PeerConnectionFactory(protocol.ClientFactory):
    """Sends messages to one peer."""

    noisy = False
    protocol = PeerConnectionProtocol

    def __init__(self, reactor, peer: PeerAddress) -> None:
        """Connect only when there is something to send."""
        self.reactor = reactor
        self.peer = peer
        self.queued_frames: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.transport = None
        self.connector = None
        self.lifetime_timer = None
        self.reconnect_after_s = 0.0
        self.send_buffer_full = False

    def send(self, data: bytes) -> None:
        """Send a frame now, or queue it until there is a connection. The frame is dropped if the send buffer
        is full, as frames to a peer that has stopped reading would otherwise accumulate."""
        if self.transport is not None:
            if not self.send_buffer_full:
                self.transport.write(data)
            return
        self.queued_frames.append(data)
        if self.connector is None and self.reactor.seconds() >= self.reconnect_after_s:
            self.connector = self.reactor.connectTCP(
                self.peer.address, self.peer.port, self, timeout=CONNECT_TIMEOUT_S
            )

    def connected(self, transport) -> None:
        """Send the queued frames."""
        self.transport = transport
        self.send_buffer_full = False
        transport.setTcpNoDelay(True)
        self.lifetime_timer = self.reactor.callLater(CONNECTION_LIFETIME_S, self._expire, transport)
        transport.write(b"".join(self.queued_frames))
        self.queued_frames.clear()

    def _expire(self, transport) -> None:
        """Stop using the connection after its lifetime. All messages would be lost on a connection that was
        established but no longer delivers data."""
        self.transport = None
        self.connector = None
        transport.loseConnection()
        self.lifetime_timer = self.reactor.callLater(CONNECT_TIMEOUT_S, transport.abortConnection)

    def disconnected(self, transport) -> None:
        """Remove the connection if it is the current one."""
        if transport is self.transport:
            self.transport = None
            self.connector = None
        if self.lifetime_timer is not None and self.lifetime_timer.active() and self.transport is None:
            self.lifetime_timer.cancel()

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        """Drop the queued frames; their senders repeat those that still matter."""
        self.connector = None
        self.queued_frames.clear()
        self.reconnect_after_s = self.reactor.seconds() + RECONNECT_DELAY_S

    def close(self) -> None:
        """Drop the queued frames and close the connection."""
        self.queued_frames.clear()
        if self.lifetime_timer is not None and self.lifetime_timer.active():
            self.lifetime_timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
