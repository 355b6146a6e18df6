"""Outgoing connections: TCP with a time-out, a Deferred that can be cancelled."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer, endpoints, error, interfaces, protocol, tcp
from twisted.python.failure import Failure

from ..sockets.listening import RetryingTransport


class _Transport(RetryingTransport, tcp.Client):
    pass


class _Connector(tcp.Connector):
    def _makeTransport(self) -> _Transport:
        return _Transport(self.host, self.port, self.bindAddress, self, self.reactor)


class _Dial(protocol.ClientFactory):
    """One try. Its Deferred fires with the protocol once that is connected."""

    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build = build
        self.connector: _Connector | None = None
        self.done: defer.Deferred[protocol.Protocol] = defer.Deferred(self._cancelled)

    def buildProtocol(self, address) -> protocol.Protocol:
        made = self.build()
        connected = made.connectionMade

        def up() -> None:
            made.connectionMade = connected
            connected()
            if not self.done.called:
                self.done.callback(made)

        made.connectionMade = up
        return made

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        if not self.done.called:
            self.done.errback(reason)

    def _cancelled(self, done: defer.Deferred) -> None:
        done.errback(error.ConnectingCancelledError(None))
        if self.connector is not None:
            self.connector.stopConnecting()


def _dial(reactor, address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
    dial = _Dial(build)
    dial.connector = _Connector(address, port, dial, timeout_ms / 1e3, None, reactor)
    dial.connector.connect()
    return dial.done


def connector(reactor) -> Callable:
    """Connects to an address and a port with a time-out in ms; the Deferred can be cancelled."""

    def connect(address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
        if interfaces.IReactorFDSet.providedBy(reactor):
            return _dial(reactor, address, port, build, timeout_ms)
        endpoint = endpoints.TCP4ClientEndpoint(reactor, address, port, timeout=timeout_ms / 1e3)
        factory = protocol.Factory.forProtocol(build)
        factory.noisy = False
        return endpoint.connect(factory)

    return connect
