"""The TCP side of membership: a port that accepts port checks, and the check of a peer's port.

The port says nothing; a peer that finds it refused knows that the process is gone. The service (`service.py`)
listens with `PortCheckedFactory` and connects with `PortCheckFactory`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import error, interfaces, protocol

MAX_PORT_CONNECTIONS = 64  # at a time; more are closed at once
CONNECTION_TIMEOUT_S = 5.0  # after which each connection is closed


class PortCheckedProtocol(protocol.Protocol):
    """A connection of a peer that checks whether this process is there. Nothing is sent."""

    timeout = None

    def connectionMade(self) -> None:
        """Accept the connection for a while, or close it if there are too many."""
        self.factory.connections += 1
        if self.factory.connections > MAX_PORT_CONNECTIONS:
            self.transport.abortConnection()
            return
        self.timeout = self.factory.reactor.callLater(CONNECTION_TIMEOUT_S, self.transport.abortConnection)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Give the connection's place back."""
        self.factory.connections -= 1
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()


class PortCheckedFactory(protocol.Factory):
    """Counts the connections of port checks."""

    noisy = False
    protocol = PortCheckedProtocol

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        """`reactor` times the connections."""
        self.reactor = reactor
        self.connections = 0


class PortCheckFactory(protocol.ClientFactory):
    """One check of a peer's port."""

    noisy = False

    def __init__(self, done: Callable[[bool], None]) -> None:
        """`done` is called with whether the port was refused."""
        self.done = done

    def buildProtocol(self, address: Any) -> protocol.Protocol:
        """Close the connection as soon as it is made: the process is there."""
        made = protocol.Protocol()
        made.connectionMade = lambda: made.transport.abortConnection()
        self.done(False)
        return made

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report a refusal. Silence, a reset or a missing route prove nothing."""
        self.done(bool(reason.check(error.ConnectionRefusedError)))
