"""Connections to executors and the event bus: TCP with a time-out, a Deferred that can be cancelled."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer, protocol


class _Dial(protocol.ClientFactory):
    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build, self.connector = build, None
        self.done: defer.Deferred = defer.Deferred(lambda _: self.connector.disconnect())

    def buildProtocol(self, address) -> protocol.Protocol:
        return self.build()

    def clientConnectionFailed(self, connector, reason) -> None:
        if not self.done.called:
            self.done.errback(reason)


def dialler(reactor) -> Callable[[str, int, Callable, float], defer.Deferred]:
    """Connects to an address and a port within so many ms; a failure comes as an errback.

    The protocol's own `connectionMade` says that it is up; the Deferred only carries what fails.
    """

    def connect(address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
        dial = _Dial(build)
        dial.connector = reactor.connectTCP(address, port, dial, timeout=timeout_ms / 1e3)
        return dial.done

    return connect
