"""Outgoing connections: TCP with a time-out, a Deferred that can be cancelled."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer, endpoints, protocol


def connector(reactor) -> Callable:
    """Connects to an address and a port with a time-out in ms; the Deferred can be cancelled."""

    def connect(address: str, port: int, build: Callable, timeout_ms: float) -> defer.Deferred:
        endpoint = endpoints.TCP4ClientEndpoint(reactor, address, port, timeout=timeout_ms / 1e3)
        factory = protocol.Factory.forProtocol(build)
        factory.noisy = False
        return endpoint.connect(factory)

    return connect
