"""Follows the registry: full lists and changes with serials. While it can't be reached the old list holds."""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from ..wire import registry_codec
from ..wire.framing import Frames, WireError
from .backoff import Backoff

CONNECT_TIMEOUT_MS = 1000.0
RETRY_LEAST_MS, RETRY_MOST_MS = 100.0, 3000.0


class RegistryProtocol(protocol.Protocol):
    def __init__(self, follower: RegistryClient) -> None:
        self.follower = follower
        self.frames = Frames()

    def connectionMade(self) -> None:
        self.follower.came_up(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                self.follower.listed(*registry_codec.from_registry(payload))
        except WireError as fault:
            self.follower.reason = str(fault)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.follower.went_down(reason)


class RegistryClient:
    """Keeps the host's list of executors as near to the registry's as the registry lets it."""

    def __init__(
        self,
        front_end: str,
        process: str,
        address: str,
        port: int,
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        heard: Callable[[list[registry_codec.EndpointEntry], bool], None],
        log,
    ) -> None:
        self.front_end, self.process, self.address, self.port = front_end, process, address, port
        self.clock, self.connect, self.heard, self.log = clock, connect, heard, log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.serial: int | None = None  # of the last list; None: a full one is due
        self.wire: RegistryProtocol | None = None
        self.reason, self.said_down, self.closed = "", False, False
        self.attempt = self.timer = None
        self._dial()

    def _dial(self) -> None:
        self.timer = None
        self.attempt = self.connect(
            self.address, self.port, lambda: RegistryProtocol(self), CONNECT_TIMEOUT_MS
        )
        self.attempt.addErrback(self._refused)

    def _refused(self, failure: Failure) -> None:
        self.attempt = None
        if not self.closed:
            self.went_down(failure)

    def came_up(self, wire: RegistryProtocol) -> None:
        if self.closed:
            wire.transport.abortConnection()
            return
        self.wire, self.serial, self.reason = wire, None, ""
        wire.transport.write(registry_codec.follow(self.front_end, self.process))

    def listed(self, serial: int, complete: bool, lines: list[registry_codec.EndpointEntry]) -> None:
        if not complete and (self.serial is None or serial != self.serial + 1):
            # danger: a lost change could be a drain; the old list holds until the full one is here
            raise WireError(f"changes {serial} after list {self.serial}: a gap")
        self.serial = serial
        self.backoff.succeeded()
        if self.said_down:
            self.log.info("roster up", serial=serial)
            self.said_down = False
        self.heard(lines, complete)

    def went_down(self, reason: Failure) -> None:
        self.wire = None
        if self.closed:
            return
        if not self.said_down:
            self.log.warning(
                "roster down",
                address=self.address,
                port=self.port,
                reason=self.reason or reason.getErrorMessage(),
            )
            self.said_down = True
        self.timer = self.clock.callLater(self.backoff.failed() / 1e3, self._dial)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.wire is not None:
            self.wire.transport.loseConnection()
        elif self.attempt is not None:
            self.attempt.cancel()
