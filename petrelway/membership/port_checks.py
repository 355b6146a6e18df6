"""The TCP side of membership: a port that accepts port checks, and the check of a peer's port.

Nothing is sent on these connections; a peer whose connection is refused knows that the process is gone. The
service (`service.py`) listens with `PortCheckedFactory` and connects with `PortCheckFactory`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import error, interfaces, protocol

MAX_PORT_CONNECTIONS = 64  # at a time; further ones are closed immediately
CONNECTION_TIMEOUT_S = 5.0  # after which each connection is closed


class PortCheckedProtocol(protocol.Protocol):
    """A connection of a peer that checks whether this process is running. Nothing is sent."""

    timeout = None

    def connectionMade(self) -> None:
        """Keep the connection for CONNECTION_TIMEOUT_S, or close it if there are too many."""
        self.factory.connections += 1
        if self.factory.connections > MAX_PORT_CONNECTIONS:
            self.transport.abortConnection()
            return
        self.timeout = self.factory.reactor.callLater(CONNECTION_TIMEOUT_S, self.transport.abortConnection)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Stop counting the connection, and cancel its time-out."""
        self.factory.connections -= 1
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()


class PortCheckedFactory(protocol.Factory):
    """Accepts the connections of port checks and counts those that are open."""

    noisy = False
    protocol = PortCheckedProtocol

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        """Start with no connections; `reactor` provides their time-outs."""
        self.reactor = reactor
        self.connections = 0


class PortCheckFactory(protocol.ClientFactory):
    """One check of a peer's port."""

    noisy = False

    def __init__(self, done: Callable[[bool], None]) -> None:
        """`done` is called with whether the port was refused."""
        self.done = done

    def buildProtocol(self, address: Any) -> protocol.Protocol:
        """Close the connection as soon as it is made: the process is running."""
        connection = protocol.Protocol()
        connection.connectionMade = lambda: connection.transport.abortConnection()
        self.done(False)
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report whether the port refused. A time-out, a reset or a missing route proves nothing."""
        self.done(bool(reason.check(error.ConnectionRefusedError)))
