"""All client connections of one front end: accepting, capacity, timeouts, and the drain.

`service.py` listens with `ClientListener` as the factory. Each connection is a
`client_connection.ClientConnectionProtocol`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, interfaces, protocol

from ..gateway.pending_requests import PendingAnswer
from ..platform import client_answers
from ..platform.client_answers import ClientLineError, ErrorCode
from ..platform.client_codec import ClientMessageReader
from ..platform.opaque_request import OpaqueRequest
from ..sockets.read_gate import ReadGate
from .buffer_pool import DEFAULT_BUFFERS_BYTES, BufferPool, Use
from .client_connection import ClientConnectionProtocol
from .connection_state import CloseReason, Phase
from .memory_relief import ClientMemoryRelief
from .recent_requests import RecentRequestIds

RECHECK_DELAY_MS = 20.0  # delay before a connection that seems timed out is checked again
SWEEP_INTERVAL_MS = 250.0  # interval between two checks of all connections for timeouts
RESERVED_DIVISOR = 8  # one eighth of the bound on connections is kept free for new ones
SHORTAGE_EVICTIONS = 8  # connections closed at once when the system itself has no descriptor left

DEFAULT_RECENT_IDS_BOUND = 8192  # in each of two generations; 1 MB

RECEIVED_SHARE = 0.3  # of the buffers, that may hold bytes which are no message yet

SubmitRequest = Callable[[OpaqueRequest, int, int, float, float, float, int, float], PendingAnswer]


class ClientListener(protocol.ServerFactory):
    """The factory of client connections, and the table of those that are open."""

    noisy = False

    def __init__(
        self,
        reader: ClientMessageReader,
        submit: SubmitRequest,
        rejection_retry_ms: Callable[[int], float | None],
        is_serving: Callable[[], bool],
        clock: interfaces.IReactorTime,
        log,
        connections_bound: int,
        busy_retry_ms: float = 0.0,
        buffers: BufferPool | None = None,
        recent_ids_bound: int = DEFAULT_RECENT_IDS_BOUND,
    ) -> None:
        """Start without connections and schedule the first sweep.

        `submit` receives the valid requests. `rejection_retry_ms` returns None to admit a tenant's request,
        else the Retry-After time of its rejection; `busy_retry_ms` is the Retry-After time where a client
        does not read its answers, or `buffers` has no room for a request.
        """
        self.reader = reader
        self.submit = submit
        self.rejection_retry_ms = rejection_retry_ms
        self.is_serving = is_serving
        self.clock = clock
        self.log = log
        self.bound_connections(connections_bound)
        self.evictions_wanted = 0
        self.busy_retry_ms = busy_retry_ms
        self.buffers = buffers if buffers is not None else BufferPool(DEFAULT_BUFFERS_BYTES)
        self.read_gate = ReadGate(clock, self._receivable_bytes)
        self.relief = ClientMemoryRelief(self)
        self.connections: dict[ClientConnectionProtocol, None] = {}
        self.open_requests: dict[bytes, tuple[ClientConnectionProtocol, int]] = {}  # by request id
        self.recent_ids = RecentRequestIds(recent_ids_bound)
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.awaits_partial_lines = True  # a drain leaves time to the lines that have begun
        self.all_closed_deferred: defer.Deferred[None] | None = None
        self.eviction_call = None
        self.logged_once: set[tuple[str, str]] = set()  # event and kind
        self.sweep_call = clock.callLater(SWEEP_INTERVAL_MS / 1e3, self._sweep)

    def bound_connections(self, bound: int) -> None:
        """Set how many connections may be open; near that, idle ones are closed."""
        self.connections_bound = bound
        self.eviction_threshold = bound - bound // RESERVED_DIVISOR

    def now(self) -> float:
        """Return the reactor's time in ms."""
        return self.clock.seconds() * 1e3

    def buildProtocol(self, address) -> ClientConnectionProtocol:
        """Create the protocol of an accepted connection."""
        return ClientConnectionProtocol(self)

    def connection_opened(self, connection: ClientConnectionProtocol) -> None:
        """Register a connection; above the eviction threshold idle ones are closed."""
        self.connections[connection] = None
        excess = len(self.connections) - self.eviction_threshold
        if excess > 0:
            self._schedule_evictions(excess)

    def connection_closed(self, connection: ClientConnectionProtocol) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection, None)
        if not self.connections and self.all_closed_deferred is not None:
            waiting = self.all_closed_deferred
            self.all_closed_deferred = None
            waiting.callback(None)

    # -- capacity (sockets.listening.BoundedFactory)

    def has_capacity(self) -> bool:
        """Whether one more connection may be accepted now."""
        return len(self.connections) < self.connections_bound

    def free_capacity(self) -> None:
        """Close idle connections: the system has no descriptor left to accept a waiting client with."""
        self._schedule_evictions(SHORTAGE_EVICTIONS)

    def _schedule_evictions(self, wanted: int) -> None:
        """Close idle connections in the reactor's next turn, after what has arrived on them was read.

        Without free descriptors no client is accepted and no executor is reached.
        """
        self.counts["evictions wanted"] += 1
        self.warn_once("connections over the bound", bound=self.connections_bound)
        self.evictions_wanted = max(self.evictions_wanted, wanted)
        if self.eviction_call is None:
            self.eviction_call = self.clock.callLater(0, self._evict)

    def _evict(self) -> None:
        """Abort connections that are closing, then close others in the order of their rank."""
        self.eviction_call = None
        now = self.now()
        wanted = self.evictions_wanted
        self.evictions_wanted = 0
        closing = [c for c in self.connections if c.state.phase is Phase.CLOSING]
        for connection in closing:
            if now - connection.state.closing_since_ms > RECHECK_DELAY_MS:
                connection.transport.abortConnection()
        idle = [c for c in self.connections if c.may_be_evicted(now)]
        idle.sort(key=lambda c: c.state.eviction_rank())
        for connection in idle[: max(0, wanted - len(closing))]:
            connection.read_pending_bytes()  # its first request may be in the socket's buffer, unread
            if connection.may_be_evicted(now):
                connection.end(CloseReason.NO_CAPACITY)

    def memory_uses(self) -> dict[str, int]:
        """Return what holds memory here: bytes by what they are for, and numbers of objects."""
        return {
            "client connections": len(self.connections),
            "closing client connections": sum(c.state.phase is Phase.CLOSING for c in self.connections),
            "request ids": len(self.recent_ids),
        }

    def _receivable_bytes(self) -> int:
        """Return how many bytes more may be read from clients now."""
        bound = int(RECEIVED_SHARE * self.buffers.bound_bytes)
        return bound - self.buffers.by_use[Use.RECEIVED]

    def read_shortage_bytes(self) -> int:
        """Return how many received bytes are to be given back while connections wait to be read."""
        if not len(self.read_gate):
            return 0
        return self.buffers.by_use[Use.RECEIVED] // 2

    def rejected_for_memory(self) -> None:
        """Count a request for which there is no memory, and log the first."""
        self.counts["rejected for memory"] += 1
        self.warn_once("requests rejected for memory", **self.buffers.figures())

    # -- log

    def line_rejected(self, error: ClientLineError) -> None:
        """Count an invalid line and log the first one of each kind."""
        self.counts["client lines rejected"] += 1
        kind = str(error).partition(":")[0]
        self.warn_once("client line rejected", kind, reason=str(error))

    def warn_once(self, event: str, kind: str = "", **fields) -> None:
        """Log an event once for each kind. There are few kinds, as none contains a client's own text."""
        if (event, kind) not in self.logged_once:
            self.logged_once.add((event, kind))
            self.log.warning(event, **fields)

    # -- timeouts

    def _sweep(self) -> None:
        now = self.now()
        if not self.has_capacity():  # clients wait; what could not be evicted at once may have stalled since
            self._schedule_evictions(len(self.connections) - self.eviction_threshold)
        suspects = [c for c in self.connections if c.timeout_reason(now)]
        if suspects:
            delay_s = RECHECK_DELAY_MS / 1e3
            self.sweep_call = self.clock.callLater(delay_s, self._close_timed_out, suspects)
        else:
            self.sweep_call = self.clock.callLater(SWEEP_INTERVAL_MS / 1e3, self._sweep)

    def _close_timed_out(self, suspects: list[ClientConnectionProtocol]) -> None:
        """Close those that are still timed out at this second check.

        After a pause of this process a request may be unread in the socket, or the client may have read
        answers and made buffer space, before the process has noticed. Between the two checks the reactor has
        read the sockets, unless the pause fell between them: a poll that a pause interrupts reports nothing.
        Each socket is therefore read once more.
        """
        self.sweep_call = self.clock.callLater(SWEEP_INTERVAL_MS / 1e3, self._sweep)
        now = self.now()
        for connection in suspects:
            if connection.timeout_reason(now) is not None:
                connection.read_pending_bytes()
            reason = connection.timeout_reason(now)
            if reason is None:
                continue
            if reason is not CloseReason.IDLE:
                self.warn_once(
                    "client connection timed out", reason, reason=reason, **connection.ages_ms(now)
                )
            if reason is CloseReason.PARTIAL_LINE:
                error = ClientLineError(None, ErrorCode.INVALID_REQUEST, reason)
                connection.transport.write(client_answers.error_line(error))
            connection.end(reason)

    # -- the end

    def drain(self) -> None:
        """Reject new requests from now on; close connections with neither an open request nor part of one."""
        self.draining = True
        self._close_drained()

    def _close_drained(self) -> None:
        for connection in list(self.connections):
            connection.close_if_drained()

    def has_partial_line(self) -> bool:
        """Whether part of a line was received on any connection."""
        return any(connection.has_partial_line() for connection in self.connections)

    def stop_awaiting_partial_lines(self) -> None:
        """Close drained connections from now on although part of a line was received on them."""
        self.awaits_partial_lines = False
        self._close_drained()

    def all_closed(self) -> defer.Deferred[None]:
        """Fire when the last connection has ended, either after its last answer was sent or by an abort."""
        if not self.connections:
            return defer.succeed(None)
        self.all_closed_deferred = self.all_closed_deferred or defer.Deferred()
        return self.all_closed_deferred

    def close(self) -> None:
        """End all connections and cancel the timers."""
        self.sweep_call.cancel()
        self.read_gate.close()
        self.relief.close()
        if self.eviction_call is not None:
            self.eviction_call.cancel()
        for connection in list(self.connections):
            connection.end(CloseReason.STOPPED)
