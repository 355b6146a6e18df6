"""Outgoing TCP connections with a timeout; the Deferred of a connect can be cancelled.

Channels to executors, the registry client and the node's discovery connect through the function that
`connector` returns.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer, endpoints, error, interfaces, protocol, tcp
from twisted.python.failure import Failure

from ..sockets.transports import RetryingTransport


class _Transport(RetryingTransport, tcp.Client):
    pass


class _Connector(tcp.Connector):
    def _makeTransport(self) -> _Transport:
        return _Transport(self.host, self.port, self.bindAddress, self, self.reactor)


class _OneConnectionFactory(protocol.ClientFactory):
    """Makes one connection. Its Deferred fires with the protocol once that is connected."""

    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build = build
        self.connector: _Connector | None = None
        self.done: defer.Deferred[protocol.Protocol] = defer.Deferred(self._cancelled)

    def buildProtocol(self, address) -> protocol.Protocol:
        """Build the protocol, which fires the Deferred once it is connected."""
        made = self.build()

        def connection_made() -> None:
            del made.connectionMade  # with an attribute of its own, it would refer to itself
            made.connectionMade()
            if not self.done.called:
                self.done.callback(made)

        made.connectionMade = connection_made
        return made

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        """Fail the Deferred after a connect that failed or timed out."""
        if not self.done.called:
            self.done.errback(reason)

    def _cancelled(self, done: defer.Deferred) -> None:
        done.errback(error.ConnectingCancelledError(None))
        if self.connector is not None:
            self.connector.stopConnecting()


def _connect_directly(reactor, address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
    factory = _OneConnectionFactory(build)
    factory.connector = _Connector(address, port, factory, timeout_ms / 1e3, None, reactor)
    factory.connector.connect()
    return factory.done


def connector(reactor) -> Callable:
    """Return a function that connects to an address and a port with a timeout in ms.

    The Deferred that it returns can be cancelled."""

    def connect(address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
        if interfaces.IReactorFDSet.providedBy(reactor):
            return _connect_directly(reactor, address, port, build, timeout_ms)
        endpoint = endpoints.TCP4ClientEndpoint(reactor, address, port, timeout=timeout_ms / 1e3)
        factory = protocol.Factory.forProtocol(build)
        factory.noisy = False
        return endpoint.connect(factory)

    return connect
