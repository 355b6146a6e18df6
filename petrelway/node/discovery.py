"""The discovery client: follows the platform's event bus and keeps the dispatcher's endpoint list up to date.

After a failure it resumes with the event after the last complete one. While the bus can't be reached the last
list stays in use, and the dispatcher is informed from what time on this front end counts as notified of the
changes that the list lacks (the protocol page defines that time). Created by `service.py`. Times in ms.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from ..common.endpoint_entry import EndpointEntry
from ..gateway.backoff import Backoff
from ..platform.configuration import Endpoint
from ..platform.discovery_codec import DiscoveryEventReader, encode_resume
from ..platform.errors import ProtocolError
from ..sockets.pending_input import READS_BOUND, read_pending

CONNECT_TIMEOUT_MS = 500.0
HEARTBEAT_TIMEOUT_MS = (
    1700.0  # the bus sends a heartbeat each second; without a byte for this time it is down
)
EVENT_TIMEOUT_MS = 10_000.0  # for one event, from its first byte to its end; a whole list may be 270 KB
RECHECK_DELAY_MS = 20.0  # delay before a bus that seems silent is checked again
STABLE_AFTER_MS = 1000.0  # a connection on which events still arrive after this time is healthy
# A change that the bus could not send counts as notified this long after the last heartbeat or after the loss
# of the connection, and at once when this side connects again and asks for the missing events.
NOTIFIED_AFTER_SILENCE_MS = 4000.0
NOTIFIED_AFTER_BREAK_MS = 2000.0
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 1000.0


class TimeoutReason(StrEnum):
    """Why a connection to the bus timed out; logged and counted under these texts."""

    SILENT = f"no event or heartbeat for {HEARTBEAT_TIMEOUT_MS:g} ms"
    PARTIAL_EVENT = f"an event not complete after {EVENT_TIMEOUT_MS:g} ms"


class ListValidity(Protocol):
    """Receives reports on how far the endpoint list may be relied on; implemented by the dispatcher."""

    def endpoint_list_confirmed(self, confirmed_ms: float, notified_ms: float) -> None:
        """The list was complete at `confirmed_ms`; later changes count as notified at `notified_ms`."""

    def endpoint_list_unconfirmed(self, notified_ms: float) -> None:
        """The changes that the list lacks count as notified at `notified_ms`, if not before."""


class DiscoveryProtocol(protocol.Protocol):
    """One connection to the event bus, from the dial on."""

    def __init__(self, client: DiscoveryClient) -> None:
        """Start unconnected; `client` is the client that dials."""
        self.client = client
        self.connected_to_bus = False
        self.abandoned = False
        self.connected_ms = 0.0
        self.partial_event_since_ms: float | None = None  # first byte of the event that is not complete yet
        self.reader = DiscoveryEventReader(client.zones, client.machines, client)

    def connectionMade(self) -> None:
        """Have the client request the events that follow the last one."""
        self.client.connection_up(self)

    def dataReceived(self, data: bytes) -> None:
        """Read events; fail the connection if one can't be decoded."""
        if self.abandoned:
            return
        try:
            self.reader.feed(data)
        except ProtocolError as error:
            self.client.connection_failed(self, str(error))
            return
        if self.reader.has_partial_event() and not self.abandoned:
            self._partial_event_received()

    def _partial_event_received(self) -> None:
        """Postpone the timeout while an event is on its way, but not past the bound on one event.

        A long list on a slow connection takes longer than the time between two heartbeats, and none can come
        before its end.
        """
        now = self.client.now()
        if self.partial_event_since_ms is None:
            self.partial_event_since_ms = now
        if now - self.partial_event_since_ms <= EVENT_TIMEOUT_MS:
            self.client.restart_silence_timer()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection."""
        self.client.connection_failed(self, reason.getErrorMessage())


class DiscoveryClient:
    """Receives the event bus's events; a `platform.discovery_codec.DiscoveryEventHandler`."""

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
        """Start unconnected; `address` and `port` are the bus's.

        `endpoints_changed` receives entries and whether they are the whole list; `validity` is informed how
        far the list may be relied on.
        """
        self.endpoint = Endpoint(address, port)
        self.zones = zones
        self.machines = machines
        self.clock = clock
        self.connect = connect
        self.endpoints_changed = endpoints_changed
        self.validity = validity
        self.last_turn_ms = self.now()  # time of the last noted reactor turn
        self.previous_turn_ms = self.last_turn_ms  # time of the one before it
        self.log = log
        self.counts: Counter[str] = Counter()  # connections that timed out, by TimeoutReason
        self.backoff = Backoff(random_source, MIN_RETRY_MS, MAX_RETRY_MS)
        self.number = 0  # number of the last complete event
        self.gap_after = -1  # the number after which a gap was seen
        self.has_full_list = False
        self.connection: DiscoveryProtocol | None = None
        self.connect_attempt = None
        self.retry_call = None
        self.timeout_call = None
        self.outage_logged = False
        self.closed = False
        self.first_answer_due_ms = -math.inf  # until this time, silence since the start is no outage
        self.stable = True  # the connection was healthy: the first retry after a failure is not delayed

    def now(self) -> float:
        """Return the clock's time in ms."""
        return self.clock.seconds() * 1e3

    def reactor_turned(self) -> None:
        """Note a turn of the reactor; the owner calls this at a short interval."""
        self.previous_turn_ms = self.last_turn_ms
        self.last_turn_ms = self.now()

    def start(self, initial_events: Any, complete_ms: float) -> None:
        """Read the configuration's initial events, complete as of `complete_ms`, then connect to the bus.

        Raises ProtocolError if they can't be decoded.
        """
        if initial_events:
            DiscoveryEventReader(self.zones, self.machines, self).read_initial_events(initial_events)
        # an outage may have begun before the start: changes since `complete_ms` count as notified already
        self.validity.endpoint_list_confirmed(complete_ms, complete_ms)
        self.first_answer_due_ms = self.now() + HEARTBEAT_TIMEOUT_MS
        self._dial()

    def awaits_first_answer(self) -> bool:
        """Whether the bus has not answered since the start and it is too early to call that an outage."""
        return self.now() < self.first_answer_due_ms

    # -- events (platform.discovery_codec.DiscoveryEventHandler)

    def endpoints_received(self, number: int, complete: bool, entries: list[EndpointEntry]) -> None:
        """Handle an event; one that was received before is ignored. Raises ProtocolError at a gap."""
        self._activity_seen()
        if number <= self.number:
            return
        if not complete and number != self.number + 1:
            self._resume_after_gap(f"gap in the events: received event {number} after event {self.number}")
        self.number = number
        self.has_full_list = self.has_full_list or complete
        self.endpoints_changed(entries, complete)

    def heartbeat_received(self, number: int) -> None:
        """Handle a heartbeat. Raises ProtocolError if it names an event that was not received."""
        self._activity_seen()
        if self.connection is None:
            self.number = max(self.number, number)  # the end of the initial events
        elif number > self.number:
            self._resume_after_gap(
                f"gap in the events: heartbeat names event {number}, received events end at {self.number}"
            )
        elif number == self.number:
            self._list_confirmed()

    def _list_confirmed(self) -> None:
        """Report that no event is missing as of this heartbeat.

        The heartbeat may have been unread in the socket during a pause of this process. Its time is therefore
        taken as that of the previous reactor turn, when the socket was last read and was empty.
        """
        confirmed_ms = self.previous_turn_ms
        self.first_answer_due_ms = -math.inf
        self.validity.endpoint_list_confirmed(confirmed_ms, confirmed_ms + NOTIFIED_AFTER_SILENCE_MS)

    def _resume_after_gap(self, text: str) -> None:
        """Raise ProtocolError, so that the events after the last complete one are requested again.

        The lost change could be a drain. This is done once for each last complete event.
        """
        if self.gap_after != self.number:
            self.gap_after = self.number
            raise ProtocolError(text)

    def _activity_seen(self) -> None:
        if self.connection is None:
            return  # the initial events
        self.connection.partial_event_since_ms = None
        self.restart_silence_timer()
        if self.clock.seconds() * 1e3 - self.connection.connected_ms < STABLE_AFTER_MS:
            return  # a bus that sends one event and disconnects would be dialled, and logged, endlessly
        self.stable = True
        self.backoff.succeeded()
        if self.outage_logged:
            self.log.info("event bus up", number=self.number)
            self.outage_logged = False

    # -- the connection

    def move(self, endpoint: Endpoint) -> None:
        """Connect to another endpoint at once and resume from the same event number."""
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
        """Request the events after the last complete one."""
        if self.closed or connection.abandoned:
            connection.transport.abortConnection()
            return
        connection.connected_to_bus = True
        connection.connected_ms = self.clock.seconds() * 1e3
        self.connect_attempt = None
        connection.transport.write(encode_resume(self.number))
        self.validity.endpoint_list_unconfirmed(self.now())
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        """Wait for the next byte from now on."""
        if self.timeout_call is not None and self.timeout_call.active():
            self.timeout_call.reset(HEARTBEAT_TIMEOUT_MS / 1e3)
        else:
            delay_s = HEARTBEAT_TIMEOUT_MS / 1e3
            self.timeout_call = self.clock.callLater(delay_s, self._heartbeat_timeout, False)

    def _heartbeat_timeout(self, rechecked: bool) -> None:
        """Fail the connection at the second check.

        After a pause of this process, events may still be unread in the socket at the first check, and at the
        second too if the wait between them was interrupted; so they are read now.
        """
        if not rechecked:
            self.timeout_call = self.clock.callLater(RECHECK_DELAY_MS / 1e3, self._heartbeat_timeout, True)
        elif self.connection is not None:
            self.timeout_call = None
            self._fail_if_silent(self.connection)

    def _fail_if_silent(self, connection: DiscoveryProtocol) -> None:
        if connection.connected_to_bus:
            read_pending(connection.transport, READS_BOUND)
        if connection is not self.connection or self.timeout_call is not None:
            return  # it has ended, or bytes came
        reason = self._timeout_reason(connection)
        self.counts[reason] += 1
        self.connection_failed(connection, reason)

    def _timeout_reason(self, connection: DiscoveryProtocol) -> TimeoutReason:
        since_ms = connection.partial_event_since_ms
        if since_ms is not None and self.now() - since_ms > EVENT_TIMEOUT_MS:
            return TimeoutReason.PARTIAL_EVENT
        return TimeoutReason.SILENT

    def connection_failed(self, connection: DiscoveryProtocol, reason: str) -> None:
        """Dial again: at once if the connection was stable, else after a backoff."""
        if connection.abandoned or self.closed:
            return
        self._abandon_connection()
        self.first_answer_due_ms = -math.inf
        self.validity.endpoint_list_unconfirmed(self.previous_turn_ms + NOTIFIED_AFTER_BREAK_MS)
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
        for call in (self.retry_call, self.timeout_call):
            if call is not None and call.active():
                call.cancel()
        self.retry_call = None
        self.timeout_call = None
        attempt = self.connect_attempt
        self.connect_attempt = None
        if connection is not None:
            connection.abandoned = True
            if connection.connected_to_bus:
                connection.transport.abortConnection()
        if attempt is not None:
            attempt.cancel()

    def close(self) -> None:
        """Disconnect from the event bus permanently."""
        self.closed = True
        self._abandon_connection()
