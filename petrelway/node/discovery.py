"""The discovery client: follows the platform's event bus and keeps the dispatcher's endpoint list up to date.

It resumes after the last complete event. While the bus can't be reached the last list stays in use, and the
dispatcher is told by when what the list lacks counts as notified (the protocol page's clock). Created by
`service.py`. Times in ms.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from ..common.endpoint_entry import EndpointEntry
from ..gateway.backoff import Backoff
from ..platform.configuration import Endpoint
from ..platform.discovery_codec import DiscoveryEventReader, encode_resume
from ..platform.errors import ProtocolError

CONNECT_TIMEOUT_MS = 500.0
HEARTBEAT_TIMEOUT_MS = 1700.0  # the bus sends a heartbeat each second; without one for so long it is down
RECHECK_DELAY_MS = 20.0  # a bus that seems silent is checked again after so long
STABLE_AFTER_MS = 1000.0  # a connection on which events still come after this time is healthy
# What the bus would have told counts as notified so long after it fell silent, or broke off ...
NOTIFIED_AFTER_SILENCE_MS = 4000.0
NOTIFIED_AFTER_BREAK_MS = 2000.0  # ... and at once when this side asks again
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 1000.0


class ListValidity(Protocol):
    """Who is told how far the endpoint list may be relied on; the dispatcher."""

    def endpoint_list_confirmed(self, confirmed_ms: float, notified_ms: float) -> None:
        """The list was complete then; what changes later counts as notified by `notified_ms`."""

    def endpoint_list_unconfirmed(self, notified_ms: float) -> None:
        """What the list lacks counts as notified by then, if not sooner."""


class DiscoveryProtocol(protocol.Protocol):
    """One connection to the event bus, from the dial on."""

    def __init__(self, client: DiscoveryClient) -> None:
        """Take the client that dials."""
        self.client = client
        self.connected_to_bus = False
        self.abandoned = False
        self.connected_ms = 0.0
        self.reader = DiscoveryEventReader(client.zones, client.machines, client)

    def connectionMade(self) -> None:
        """Ask for the events that follow the last one."""
        self.client.connection_up(self)

    def dataReceived(self, data: bytes) -> None:
        """Read events; what can't be read ends the connection."""
        if self.abandoned:
            return
        try:
            self.reader.feed(data)
        except ProtocolError as error:
            self.client.connection_failed(self, str(error))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection."""
        self.client.connection_failed(self, reason.getErrorMessage())


class DiscoveryClient:
    """Follows the event bus; a `platform.discovery_codec.DiscoveryEventHandler`."""

    def __init__(
        self,
        address: str,
        port: int,
        zones: list[str],
        machines: list[str],
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        endpoints_changed: Callable[[list[EndpointEntry], bool], None],
        validity: ListValidity,
        log,
    ) -> None:
        """Take the bus's endpoint, and whom to tell.

        `endpoints_changed(entries, whether they are the whole list)`.
        """
        self.endpoint = Endpoint(address, port)
        self.zones = zones
        self.machines = machines
        self.clock = clock
        self.connect = connect
        self.endpoints_changed = endpoints_changed
        self.validity = validity
        self.last_turn_ms = self.now()  # of the reactor ...
        self.turn_before_ms = self.last_turn_ms  # ... and the one before it
        self.log = log
        self.backoff = Backoff(random_source, MIN_RETRY_MS, MAX_RETRY_MS)
        self.number = 0  # of the last complete event
        self.gap_after = -1  # the number after which a gap was seen
        self.has_full_list = False
        self.connection: DiscoveryProtocol | None = None
        self.connect_attempt = None
        self.retry_call = None
        self.silence_call = None
        self.outage_logged = False
        self.closed = False
        self.first_answer_due_ms = -math.inf  # until when the bus may still be silent after the start
        self.stable = True  # events came for a while: the first retry after a failure goes without delay

    def now(self) -> float:
        """Give the clock's time in ms."""
        return self.clock.seconds() * 1e3

    def loop_turned(self) -> None:
        """Note that the reactor goes round; the owner calls it at a short interval."""
        self.turn_before_ms = self.last_turn_ms
        self.last_turn_ms = self.now()

    def start(self, initial_events: Any, complete_ms: float) -> None:
        """Read the events that the configuration holds, complete as of a time, then follow.

        Raises ProtocolError if they can't be read.
        """
        if initial_events:
            DiscoveryEventReader(self.zones, self.machines, self).read_initial_events(initial_events)
        # an outage may have begun before: what was told since then counts as notified already
        self.validity.endpoint_list_confirmed(complete_ms, complete_ms)
        self.first_answer_due_ms = self.now() + HEARTBEAT_TIMEOUT_MS
        self._dial()

    def awaits_first_answer(self) -> bool:
        """Whether the bus has not answered since the start, and it is too early to call that an outage."""
        return self.now() < self.first_answer_due_ms

    # -- events (platform.discovery_codec.DiscoveryEventHandler)

    def endpoints_received(self, number: int, complete: bool, entries: list[EndpointEntry]) -> None:
        """Take an event; one that was received before is ignored. Raises ProtocolError at a gap."""
        self._activity_seen()
        if number <= self.number:
            return
        if not complete and number != self.number + 1:
            self._gap_found(f"event {number} after {self.number}: a gap")
        self.number = number
        self.has_full_list = self.has_full_list or complete
        self.endpoints_changed(entries, complete)

    def heartbeat_received(self, number: int) -> None:
        """Take a heartbeat. Raises ProtocolError if it names an event that has not come."""
        self._activity_seen()
        if self.connection is None:
            self.number = max(self.number, number)  # the end of the initial events
        elif number > self.number:
            self._gap_found(f"heartbeat after {number}, received up to {self.number}: a gap")
        elif number == self.number:
            self._list_confirmed()

    def _list_confirmed(self) -> None:
        """Nothing is missing as of this heartbeat. It may have lain in the socket through a pause of this
        process: it counts from the turn before, when the socket was read last and held nothing."""
        heard_ms = self.turn_before_ms
        self.first_answer_due_ms = -math.inf
        self.validity.endpoint_list_confirmed(heard_ms, heard_ms + NOTIFIED_AFTER_SILENCE_MS)

    def _gap_found(self, text: str) -> None:
        """Resume from the last complete event, once for each: the lost change could be a drain."""
        if self.gap_after != self.number:
            self.gap_after = self.number
            raise ProtocolError(text)

    def _activity_seen(self) -> None:
        if self.connection is None:
            return  # the initial events
        self._restart_silence_timer()
        if self.clock.seconds() * 1e3 - self.connection.connected_ms < STABLE_AFTER_MS:
            return  # a bus that sends one event and breaks would be dialled, and logged, without end
        self.stable = True
        self.backoff.succeeded()
        if self.outage_logged:
            self.log.info("event bus up", number=self.number)
            self.outage_logged = False

    # -- the connection

    def move(self, endpoint: Endpoint) -> None:
        """Resume from the same event number at another endpoint, at once."""
        self.endpoint = endpoint
        self._abandon_connection()
        self._dial()

    def _dial(self) -> None:
        self.retry_call = None
        if self.closed:
            return
        connection = DiscoveryProtocol(self)
        self.connection = connection
        self.connect_attempt = self.connect(
            self.endpoint.address, self.endpoint.port, lambda: connection, CONNECT_TIMEOUT_MS
        )
        self.connect_attempt.addErrback(self._dial_failed, connection)

    def _dial_failed(self, failure: Failure, connection: DiscoveryProtocol) -> None:
        if not connection.abandoned:
            self.connect_attempt = None
            self.connection_failed(connection, failure.getErrorMessage())

    def connection_up(self, connection: DiscoveryProtocol) -> None:
        """Resume after the last complete event."""
        if self.closed or connection.abandoned:
            connection.transport.abortConnection()
            return
        connection.connected_to_bus = True
        connection.connected_ms = self.clock.seconds() * 1e3
        self.connect_attempt = None
        connection.transport.write(encode_resume(self.number))
        self.validity.endpoint_list_unconfirmed(self.now())
        self._restart_silence_timer()

    def _restart_silence_timer(self) -> None:
        if self.silence_call is not None and self.silence_call.active():
            self.silence_call.reset(HEARTBEAT_TIMEOUT_MS / 1e3)
        else:
            delay_s = HEARTBEAT_TIMEOUT_MS / 1e3
            self.silence_call = self.clock.callLater(delay_s, self._silence_found, False)

    def _silence_found(self, rechecked: bool) -> None:
        """Check twice: after a pause of this process events may lie unread in the socket."""
        if not rechecked:
            self.silence_call = self.clock.callLater(RECHECK_DELAY_MS / 1e3, self._silence_found, True)
        elif self.connection is not None:
            self.silence_call = None
            self.connection_failed(self.connection, f"silent for {HEARTBEAT_TIMEOUT_MS:g} ms")

    def connection_failed(self, connection: DiscoveryProtocol, reason: str) -> None:
        """Dial again, at once if the connection was stable, else after a backoff."""
        if connection.abandoned or self.closed:
            return
        self._abandon_connection()
        self.first_answer_due_ms = -math.inf
        self.validity.endpoint_list_unconfirmed(self.turn_before_ms + NOTIFIED_AFTER_BREAK_MS)
        if not self.outage_logged:
            self.log.warning(
                "event bus down",
                address=self.endpoint.address,
                port=self.endpoint.port,
                reason=reason,
                number=self.number,
            )
            self.outage_logged = True
        delay_ms = 0.0 if self.stable else self.backoff.failed()
        self.stable = False
        self.retry_call = self.clock.callLater(delay_ms / 1e3, self._dial)

    def _abandon_connection(self) -> None:
        connection = self.connection
        self.connection = None
        for call in (self.retry_call, self.silence_call):
            if call is not None and call.active():
                call.cancel()
        self.retry_call = None
        self.silence_call = None
        attempt = self.connect_attempt
        self.connect_attempt = None
        if connection is not None:
            connection.abandoned = True
            if connection.connected_to_bus:
                connection.transport.abortConnection()
        if attempt is not None:
            attempt.cancel()

    def close(self) -> None:
        """Stop following for good."""
        self.closed = True
        self._abandon_connection()
