"""Follows the endpoint registry: full lists and changes with serials.

While the registry can't be reached the last list stays in force. The service makes one client for a front
end; the dispatcher hears each list.
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
RETRY_LEAST_MS = 100.0  # between two connects, doubling ...
RETRY_MOST_MS = 3000.0  # ... up to this


class RegistryProtocol(protocol.Protocol):
    """The bytes of one connection to the registry."""

    def __init__(self, client: RegistryClient) -> None:
        self.client = client
        self.frames = Frames()

    def connectionMade(self) -> None:
        """Hand the connection to the client."""
        self.client.connection_made(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass each list on; close a connection that says anything else."""
        try:
            for payload in self.frames.feed(data):
                self.client.listed(*registry_codec.from_registry(payload))
        except WireError as error:
            self.client.reason = str(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Tell the client."""
        self.client.connection_lost(reason)


class RegistryClient:
    """Keeps the dispatcher's list of executors as near to the registry's as the registry lets it."""

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
        """`on_listed` gets the entries of a list, and whether the list is complete."""
        self.front_end = front_end
        self.process = process
        self.address = address
        self.port = port
        self.clock = clock
        self.connect = connect
        self.on_listed = on_listed
        self.log = log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.serial: int | None = None  # of the last list; None: a full one is due
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
        """Ask for the list; a full one comes first."""
        if self.closed:
            connection.transport.abortConnection()
            return
        self.connection = connection
        self.serial = None
        self.reason = ""
        connection.transport.write(registry_codec.follow(self.front_end, self.process))

    def listed(self, serial: int, complete: bool, entries: list[EndpointEntry]) -> None:
        """Pass a list on. Raise WireError at a gap between serials.

        A lost change could be an executor that drains; the old list stays in force until the full one is
        here."""
        if not complete and (self.serial is None or serial != self.serial + 1):
            raise WireError(f"changes {serial} after list {self.serial}: a gap")
        self.serial = serial
        self.backoff.succeeded()
        if self.outage_logged:
            self.log.info("registry up", serial=serial)
            self.outage_logged = False
        self.on_listed(entries, complete)

    def connection_lost(self, reason: Failure) -> None:
        """Connect again later; an outage is logged once."""
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
        """Leave for good."""
        self.closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.connection is not None:
            self.connection.transport.loseConnection()
        elif self.connecting is not None:
            self.connecting.cancel()
