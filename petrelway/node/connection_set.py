"""The connections to one executor: dialling them, keeping a spare one ready, dropping them.

`executor_pool.py` builds on it and decides what is sent on which connection. All pools share one
`ConnectionBudget`. Times in ms.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import interfaces
from twisted.python.failure import Failure

from ..gateway.attempt_ledger import AttemptKey
from ..gateway.backoff import Backoff
from ..gateway.channel_base import WRITE_STALL_TIMEOUT_MS, ChannelListener, SocketChannelReports
from ..gateway.connection_end_reasons import EndReason, failure_reason
from ..sockets.read_gate import ReadGate
from .buffer_pool import DEFAULT_BUFFERS_BYTES, BufferPool
from .executor_connection import ExecutorConnectionProtocol

SWEEP_INTERVAL_MS = 250.0  # interval between two checks of the connections
# A connection that is unused for SPARE_IDLE_TIMEOUT_MS is closed, except for one, which stays open for
# IDLE_SHARE of the platform's own idle timeout.
SPARE_IDLE_TIMEOUT_MS = 10_000.0
IDLE_SHARE = 0.7
MIN_RETRY_MS = 30.0
MAX_RETRY_MS = 1000.0
# The end of a connection that was up for RESTING_AFTER_MS, with nothing in flight, is no failure. The backoff
# of spare connections keeps one from being dialled again and again in that case.
RESTING_AFTER_MS = 250.0
MIN_SPARE_RETRY_MS = 250.0
MAX_SPARE_RETRY_MS = 8000.0
GRACEFUL_REASONS = frozenset({EndReason.SPENT, EndReason.IDLE, EndReason.LEAVING, EndReason.RESTING})


class ConnectionBudget:
    """The bound on connections to executors over all pools, and the counters of what happened on them."""

    def __init__(
        self, bound: int, buffers: BufferPool | None = None, read_gate: ReadGate | None = None
    ) -> None:
        """Start with no connection; `bound` is the maximum over all pools.

        `buffers` is charged for what is buffered on them, and `read_gate` is asked before they are read.
        """
        self.bound = bound
        self.used = 0
        self.buffers = buffers if buffers is not None else BufferPool(DEFAULT_BUFFERS_BYTES)
        self.read_gate = read_gate
        self.counts: Counter[str] = Counter()
        self.last_connection_number = 0

    def has_capacity(self) -> bool:
        """Whether one more connection may be dialled."""
        return self.used < self.bound

    def next_connection_number(self) -> int:
        """Return a number that no other connection of this process has."""
        self.last_connection_number += 1
        return self.last_connection_number


class AttemptLocation(NamedTuple):
    """The connection that an attempt is on, its id there, and since when it is there."""

    connection: ExecutorConnectionProtocol
    request_id: bytes
    since_ms: float


class ConnectionSet(SocketChannelReports):
    """One executor's connections, with what is in flight on them. Takes the arguments of `ExecutorPool`."""

    def __init__(
        self,
        executor: int,
        stable: str,
        address: str,
        port: int,
        front_end: str,
        process: str,
        clock: interfaces.IReactorTime,
        connect: Callable,
        random_source: random.Random,
        listener: ChannelListener,
        log,
        budget: ConnectionBudget,
        streams: int,
        connect_ms: float,
        idle_ms: float,
        cancels: bool,
    ) -> None:
        """Start without a connection; the first sweep, in the reactor's next turn, dials.

        `cancels`: whether the deployment permits cancelling an attempt at the executor.
        """
        self.executor = executor
        self.stable = stable
        self.address = address
        self.port = port
        self.clock = clock
        self.connect = connect
        self.random_source = random_source
        self.listener = listener
        self.log = log
        self.budget = budget
        self.streams = streams
        self.connect_ms = connect_ms
        self.cancels = cancels
        self.idle_timeout_ms = IDLE_SHARE * idle_ms or math.inf
        self.backoff = Backoff(random_source, MIN_RETRY_MS, MAX_RETRY_MS)
        self.dial_not_before_ms = 0.0
        self.spare_backoff = Backoff(random_source, MIN_SPARE_RETRY_MS, MAX_SPARE_RETRY_MS)
        self.spare_not_before_ms = 0.0  # no spare connection is dialled before this time
        self.logged_reasons = set[EndReason]()
        self.connections: list[ExecutorConnectionProtocol] = []
        self.locations: dict[AttemptKey, AttemptLocation] = {}
        self.closed = False
        self.removed = False  # whether the executor is gone from the endpoint list
        self.outage_logged = False
        self.sweep_call = clock.callLater(0, self._sweep)

    def now(self) -> float:
        """Return the reactor's time in ms."""
        return self.clock.seconds() * 1e3

    # -- dialling

    def _may_dial(self) -> bool:
        if self.closed or self.removed or not self.budget.has_capacity():
            return False
        return self.now() >= self.dial_not_before_ms

    def _dial(self) -> ExecutorConnectionProtocol:
        connection = ExecutorConnectionProtocol(self, self.now())
        self.connections.append(connection)
        self.budget.used += 1
        connection.connect_attempt = self.connect(
            self.address, self.port, lambda: connection, self.connect_ms
        )
        connection.connect_attempt.addErrback(self._dial_failed, connection)
        return connection

    def _dial_failed(self, failure: Failure, connection: ExecutorConnectionProtocol) -> None:
        if not connection.dropped:
            connection.connect_attempt = None
            self.connection_lost(connection, failure_reason(failure))

    def connection_lost(self, connection: ExecutorConnectionProtocol, reason: EndReason) -> None:
        """Handle a connection that could not be established, or that the other side ended."""
        now = self.now()
        if connection.up and not any(c.up for c in self.connections if c is not connection):
            self.listener.executor_disconnected(self.executor)
        unused = not connection.open_attempts and not connection.questions
        if connection.up and unused and now - connection.up_ms >= RESTING_AFTER_MS:
            # treating this as an outage would keep requests from a healthy executor
            self.spare_not_before_ms = now + self.spare_backoff.failed()
            self.drop(connection, EndReason.RESTING)
            return
        never_answered = not connection.up or connection.received_ms <= connection.up_ms
        if never_answered:  # an executor that accepts and resets must not be dialled endlessly
            self.dial_not_before_ms = now + self.backoff.failed()
        no_other_up = not any(c.up for c in self.connections if c is not connection)
        if never_answered and no_other_up and not self.closed:
            self.log_down(reason)
        self.drop(connection, reason)

    # -- dropping

    def drop(self, connection: ExecutorConnectionProtocol, reason: EndReason) -> None:
        """End one connection with all that is in flight on it.

        Each attempt ends with the outcome that the connection's ledger proves.
        """
        if connection.dropped:
            return
        was_up = connection.up
        connection.dropped = True
        connection.up = False
        self._count_drop(connection, reason)
        connection.cancel_partial_answer_timer()
        connection.reader.clear()
        connection.account.close()
        if connection.connect_attempt is not None:
            attempt = connection.connect_attempt
            connection.connect_attempt = None
            attempt.cancel()
        if was_up:
            self._close_transport(connection, reason)
        ends = connection.ledger.end_all()
        questions = list(connection.questions.values())
        connection.open_attempts.clear()
        connection.questions.clear()
        for key, outcome in ends:
            self.locations.pop(key, None)
            self.report_unanswered(key, outcome)
        self.report_reset(questions)

    def _count_drop(self, connection: ExecutorConnectionProtocol, reason: EndReason) -> None:
        self.connections.remove(connection)
        self.budget.used -= 1
        self.budget.counts["connections ended"] += 1
        self.budget.counts[f"ended: {reason}"] += 1

    @staticmethod
    def _close_transport(connection: ExecutorConnectionProtocol, reason: EndReason) -> None:
        connection.transport.unregisterProducer()
        if reason in GRACEFUL_REASONS and not connection.open_attempts:
            connection.transport.loseConnection()
        else:
            connection.transport.abortConnection()

    def drop_all(self, reason: EndReason, before_ms: float = 0.0) -> None:
        """Drop all connections, or those established before `before_ms`, with what is in flight on them."""
        for connection in list(self.connections):
            if not before_ms or connection.up_ms < before_ms:
                self.drop(connection, reason)
        self.dial_not_before_ms = 0.0

    def close(self) -> None:
        """Close permanently; drop all connections with what is still in flight on them."""
        self.closed = True
        if self.sweep_call is not None:
            self.sweep_call.cancel()
            self.sweep_call = None
        for connection in list(self.connections):
            self.drop(connection, EndReason.LEAVING)

    # -- the sweep

    def _sweep(self) -> None:
        """Close idle connections and those whose buffer stays full; keep one connection ready."""
        self.sweep_call = self.clock.callLater(SWEEP_INTERVAL_MS / 1e3, self._sweep)
        now = self.now()
        ready = False
        for connection in sorted(self.connections, key=lambda c: -c.used_ms):  # the latest used one is kept
            if connection.open_attempts or connection.questions:
                self._drop_if_clogged(connection, now)
                continue
            timeout_ms = SPARE_IDLE_TIMEOUT_MS if ready else self.idle_timeout_ms
            if connection.up and now - connection.used_ms > timeout_ms:
                self.drop(connection, EndReason.IDLE)
            else:
                ready = True
        if not ready and now >= self.spare_not_before_ms and self._may_dial():
            self._dial()
        if self.outage_logged and any(c.up and now - c.up_ms >= SWEEP_INTERVAL_MS for c in self.connections):
            # only after a full interval: an executor that accepts and resets would be logged endlessly
            self.log_up()

    def _drop_if_clogged(self, connection: ExecutorConnectionProtocol, now: float) -> None:
        """Drop a connection whose buffer is full for too long at two successive sweeps.

        After a pause of this process there may be buffer space that it has not noticed at the first of them.
        """
        if not connection.paused or now - connection.paused_ms <= WRITE_STALL_TIMEOUT_MS:
            return
        if connection.clogged_at_last_sweep:
            self.drop(connection, EndReason.TAKES_NO_BYTE)
        connection.clogged_at_last_sweep = True
