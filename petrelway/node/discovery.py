"""Follows the event bus from the last whole event on. While it can't be reached the old list holds."""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from ..common.endpoint_entry import EndpointEntry
from ..gateway.backoff import Backoff
from ..platform.discovery_codec import Bus, resume
from ..platform.errors import ProtocolError

CONNECT_TIMEOUT_MS = 500.0
SILENCE_MS = 1700.0  # its heartbeat comes each second; without one for so long it has stopped
STEADY_MS = 1000.0  # a connection that still speaks after this time is well
RETRY_LEAST_MS, RETRY_MOST_MS = 50.0, 1000.0


class BusWire(protocol.Protocol):
    def __init__(self, follower: Follower) -> None:
        self.follower, self.up, self.lost = follower, False, False
        self.up_ms = 0.0
        self.bus = Bus(follower.zones, follower.machines, follower)

    def connectionMade(self) -> None:
        self.follower.came_up(self)

    def dataReceived(self, data: bytes) -> None:
        if self.lost:
            return
        try:
            self.bus.feed(data)
        except ProtocolError as fault:
            self.follower.broke(self, str(fault))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.follower.broke(self, reason.getErrorMessage())


class Follower:
    """Keeps the host's list of executors as near to the bus as the bus lets it."""

    def __init__(
        self,
        address: str,
        port: int,
        zones: list[str],
        machines: list[str],
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        heard: Callable[[list[EndpointEntry], bool], None],
        log,
    ) -> None:
        self.address, self.port, self.zones, self.machines = address, port, zones, machines
        self.clock, self.connect, self.heard, self.log = clock, connect, heard, log
        self.backoff = Backoff(random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.number = 0  # of the last whole event
        self.gap_at = -1  # the number after which a gap was seen
        self.whole = False  # a whole list was read
        self.wire: BusWire | None = None
        self.attempt = self.timer = self.silence = None
        self.said_down = self.closed = False
        self.steady = True  # it spoke for a while: the first try after a break goes without delay

    def start(self, known) -> None:
        """Read the events of the start, then follow. Raises ProtocolError if they can't be read."""
        if known:
            Bus(self.zones, self.machines, self).known(known)
        self._dial()

    # -- what the bus says

    def listed(self, number: int, complete: bool, lines: list[EndpointEntry]) -> None:
        self._alive()
        if number <= self.number:
            return  # told twice
        if not complete and number != self.number + 1:
            self._gap(f"event {number} after {self.number}: a gap")
        self.number, self.whole = number, self.whole or complete
        self.heard(lines, complete)

    def nothing_new(self, number: int) -> None:
        self._alive()
        if self.wire is None:
            self.number = max(self.number, number)  # the end of what was known at the start
        elif number > self.number:
            self._gap(f"nothing new after {number}, told up to {self.number}: a gap")

    def _gap(self, text: str) -> None:
        """Danger: a lost change could be a drain; ask again from the last good one, once."""
        if self.gap_at != self.number:
            self.gap_at = self.number
            raise ProtocolError(text)

    def _alive(self) -> None:
        if self.wire is None:
            return  # the events of the start
        self._watch()
        if self.clock.seconds() * 1e3 - self.wire.up_ms < STEADY_MS:
            return  # danger: one that speaks once and breaks would be dialled, and logged, without end
        self.steady = True
        self.backoff.succeeded()
        if self.said_down:
            self.log.info("event bus up", number=self.number)
            self.said_down = False

    # -- the connection

    def moved(self, address: str, port: int) -> None:
        """The configuration names another place: go on there from the same number, at once."""
        self.address, self.port = address, port
        self._let_go()
        self._dial()

    def _dial(self) -> None:
        self.timer = None
        if self.closed:
            return
        self.wire = wire = BusWire(self)
        self.attempt = self.connect(self.address, self.port, lambda: wire, CONNECT_TIMEOUT_MS)
        self.attempt.addErrback(self._refused, wire)

    def _refused(self, failure: Failure, wire: BusWire) -> None:
        if not wire.lost:
            self.attempt = None
            self.broke(wire, failure.getErrorMessage())

    def came_up(self, wire: BusWire) -> None:
        if self.closed or wire.lost:
            wire.transport.abortConnection()
            return
        wire.up, wire.up_ms, self.attempt = True, self.clock.seconds() * 1e3, None
        wire.transport.write(resume(self.number))
        self._watch()

    def _watch(self) -> None:
        if self.silence is not None and self.silence.active():
            self.silence.reset(SILENCE_MS / 1e3)
        else:
            self.silence = self.clock.callLater(SILENCE_MS / 1e3, self._silent, False)

    def _silent(self, looked: bool) -> None:
        """Danger: after a stall of this process its news may lie unread: look once more first."""
        if not looked:
            self.silence = self.clock.callLater(0.02, self._silent, True)
        elif self.wire is not None:
            self.silence = None
            self.broke(self.wire, f"silent for {SILENCE_MS:g} ms")

    def broke(self, wire: BusWire, reason: str) -> None:
        if wire.lost or self.closed:
            return
        self._let_go()
        if not self.said_down:
            self.log.warning(
                "event bus down", address=self.address, port=self.port, reason=reason, number=self.number
            )
            self.said_down = True
        delay_ms, self.steady = 0.0 if self.steady else self.backoff.failed(), False
        self.timer = self.clock.callLater(delay_ms / 1e3, self._dial)

    def _let_go(self) -> None:
        wire, self.wire = self.wire, None
        for call in (self.timer, self.silence):
            if call is not None and call.active():
                call.cancel()
        self.timer = self.silence = None
        attempt, self.attempt = self.attempt, None
        if wire is not None:
            wire.lost = True
            if wire.up:
                wire.transport.abortConnection()
        if attempt is not None:
            attempt.cancel()

    def close(self) -> None:
        self.closed = True
        self._let_go()
