"""Connections that carry policy messages between members' control ports.

Each side opens a connection when it has something to send, and only sends on it. What is lost with a
connection is sent again by whoever needs it.
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
CONNECTION_LIFETIME_S = 5.0  # a connection is used for so long
CONNECT_TIMEOUT_S = 2.0
MAX_WAITING_MESSAGES = 64  # that wait for a connection; more are lost, the oldest first
RECONNECT_DELAY_S = 0.1  # a peer that could not be reached is dialled again no sooner


class PolicyListenerProtocol(protocol.Protocol):
    """A connection from a peer that sends messages, or probes whether this process is there."""

    timer = None

    def connectionMade(self) -> None:
        """Begin to read, unless there are too many connections."""
        self.frames = Frames(MAX_MESSAGE_BYTES)
        self.factory.connections.add(self)
        if len(self.factory.connections) > self.factory.max_connections:
            self.transport.abortConnection()
        else:
            self.timer = self.factory.reactor.callLater(IDLE_TIMEOUT_S, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        """Pass on the payloads of complete frames."""
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
        """Forget the connection."""
        self.factory.connections.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class PolicyListenerFactory(protocol.Factory):
    """The members' control port, where the policy is changed by messages."""

    noisy = False
    protocol = PolicyListenerProtocol

    def __init__(
        self,
        reactor,
        members: int,
        on_payload: Callable[[bytes], None],
        on_dropped: Callable[[str], None],
    ) -> None:
        """`on_payload` takes each frame's payload, `on_dropped` the reason where one is dropped."""
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
    """A connection to a peer, which sends nothing back on it."""

    def connectionMade(self) -> None:
        """Let the factory send."""
        self.transport.registerProducer(self, True)
        self.factory.connected(self.transport)

    def pauseProducing(self) -> None:
        """The peer does not take what was sent."""
        self.factory.send_buffer_full = True

    def resumeProducing(self) -> None:
        """The peer takes more."""
        self.factory.send_buffer_full = False

    def stopProducing(self) -> None:
        """The transport is given up."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Let the factory dial anew."""
        self.factory.disconnected(self.transport)


class PeerConnectionFactory(protocol.ClientFactory):
    """Messages to one peer."""

    noisy = False
    protocol = PeerConnectionProtocol

    def __init__(self, reactor, peer: PeerAddress) -> None:
        """Connect when there is something to send, not before."""
        self.reactor = reactor
        self.peer = peer
        self.waiting: deque[bytes] = deque(maxlen=MAX_WAITING_MESSAGES)
        self.transport = None
        self.connector = None
        self.lifetime_timer = None
        self.reconnect_at_s = 0.0
        self.send_buffer_full = False

    def send(self, data: bytes) -> None:
        """Send a frame now or once there is a connection. With a full buffer it is lost: what a stopped peer
        does not take would pile up."""
        if self.transport is not None:
            if not self.send_buffer_full:
                self.transport.write(data)
            return
        self.waiting.append(data)
        if self.connector is None and self.reactor.seconds() >= self.reconnect_at_s:
            self.connector = self.reactor.connectTCP(
                self.peer.address, self.peer.port, self, timeout=CONNECT_TIMEOUT_S
            )

    def connected(self, transport) -> None:
        """Send what waits."""
        self.transport = transport
        self.send_buffer_full = False
        transport.setTcpNoDelay(True)
        self.lifetime_timer = self.reactor.callLater(CONNECTION_LIFETIME_S, self._expire, transport)
        transport.write(b"".join(self.waiting))
        self.waiting.clear()

    def _expire(self, transport) -> None:
        """Use the connection no longer: one that came up and on which nothing passes would swallow all that
        is sent."""
        self.transport = None
        self.connector = None
        transport.loseConnection()
        self.lifetime_timer = self.reactor.callLater(CONNECT_TIMEOUT_S, transport.abortConnection)

    def disconnected(self, transport) -> None:
        """Forget the connection, if it is the present one."""
        if transport is self.transport:
            self.transport = None
            self.connector = None
        if self.lifetime_timer is not None and self.lifetime_timer.active() and self.transport is None:
            self.lifetime_timer.cancel()

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        """Drop what waits; whoever needs it sends it again."""
        self.connector = None
        self.waiting.clear()
        self.reconnect_at_s = self.reactor.seconds() + RECONNECT_DELAY_S

    def close(self) -> None:
        """Drop what waits and the connection."""
        self.waiting.clear()
        if self.lifetime_timer is not None and self.lifetime_timer.active():
            self.lifetime_timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
