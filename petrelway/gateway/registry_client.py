"""Client of the endpoint registry: receives full lists, and changes with serial numbers.

While the registry can't be reached, the last list stays in force. The service creates one client per front
end; each list is passed to the dispatcher.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import defer, interfaces, protocol
from twisted.python.failure import Failure

from ..common.endpoint_entry import EndpointEntry
from ..wire import registry_codec
from ..wire.framing import Frames, WireError
from .backoff import Backoff

CONNECT_TIMEOUT_MS = 1000.0
RETRY_LEAST_MS = 100.0  # first delay before reconnecting; it doubles with each failure ...
RETRY_MOST_MS = 3000.0  # ... up to this delay


class RegistryProtocol(protocol.Protocol):
    """The Twisted protocol of one connection to the registry."""

    def __init__(self, client: RegistryClient) -> None:
        self.client = client
        self.frames = Frames()

    def connectionMade(self) -> None:
        """Hand the connection to the client."""
        self.client.connection_made(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass each list to the client; close a connection that sends anything invalid."""
        try:
            for payload in self.frames.feed(data):
                self.client.listed(*registry_codec.from_registry(payload))
        except WireError as error:
            self.client.reason = str(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection to the client."""
        self.client.connection_lost(reason)


class RegistryClient:
    """Keeps the dispatcher's list of executors as up to date as the connection to the registry allows."""

    def __init__(
        self,
        front_end: str,
        process: str,
        address: str,
        port: int,
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        on_listed: Callable[[list[EndpointEntry], bool], None],
        log,
    ) -> None:
        """Start to connect. `on_listed` gets the entries of a list, and whether the list is complete."""
        self.front_end = front_end
        self.process = process
        self.address = address
        self.port = port
        self.clock = clock
        self.connect = connect
        self.on_listed = on_listed
        self.log = log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.serial: int | None = None  # of the last list; None while a full list is due
        self.connection: RegistryProtocol | None = None
        self.reason = ""  # why this side ended the last connection
        self.outage_logged = False
        self.closed = False
        self.connecting: defer.Deferred | None = None
        self.timer: interfaces.IDelayedCall | None = None
        self._connect()

    def _connect(self) -> None:
        self.timer = None
        self.connecting = self.connect(
            self.address, self.port, lambda: RegistryProtocol(self), CONNECT_TIMEOUT_MS
        )
        self.connecting.addErrback(self._connect_failed)

    def _connect_failed(self, failure: Failure) -> None:
        self.connecting = None
        if not self.closed:
            self.connection_lost(failure)

    def connection_made(self, connection: RegistryProtocol) -> None:
        """Request the list; the registry sends a full one first."""
        if self.closed:
            connection.transport.abortConnection()
            return
        self.connection = connection
        self.serial = None
        self.reason = ""
        connection.transport.write(registry_codec.follow(self.front_end, self.process))

    def listed(self, serial: int, complete: bool, entries: list[EndpointEntry]) -> None:
        """Pass a list or a change to the dispatcher. Raise WireError if a serial is missing.

        The lost change could be an executor that drains. The old list stays in force until a full one
        arrives."""
        if not complete and (self.serial is None or serial != self.serial + 1):
            raise WireError(f"gap between serials: changes {serial} received after list {self.serial}")
        self.serial = serial
        self.backoff.succeeded()
        if self.outage_logged:
            self.log.info("registry up", serial=serial)
            self.outage_logged = False
        self.on_listed(entries, complete)

    def connection_lost(self, reason: Failure) -> None:
        """Schedule a reconnect; each outage is logged once."""
        self.connection = None
        if self.closed:
            return
        if not self.outage_logged:
            self.log.warning(
                "registry down",
                address=self.address,
                port=self.port,
                reason=self.reason or reason.getErrorMessage(),
            )
            self.outage_logged = True
        self.timer = self.clock.callLater(self.backoff.failed() / 1e3, self._connect)

    def close(self) -> None:
        """Close the connection for good."""
        self.closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.connection is not None:
            self.connection.transport.loseConnection()
        elif self.connecting is not None:
            self.connecting.cancel()
