"""The connections to one executor on the platform's protocol, driven by the dispatcher.

What the pool reports is exact: each connection keeps a ledger of what its end proves. An attempt takes a
connection on which nothing else is in flight while descriptors last, since an answer that can't be read takes
with it all that shares its connection; only when descriptors are short do attempts share one, up to the
protocol's bound. `service.py` creates a pool for each endpoint. Times in ms.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import interfaces
from twisted.python.failure import Failure

from ..gateway.attempt_ledger import Key
from ..gateway.backoff import Backoff
from ..gateway.channel_base import CLOGGED_MS, LinkListener, Question, SocketLinkReports
from ..gateway.connection_end_reasons import EndReason, failure_reason
from ..platform import executor_codec
from ..platform.opaque_request import OpaqueRequest
from ..routing.types import Outcome
from .executor_connection import ExecutorConnectionProtocol, PendingQuestion

SWEEP_INTERVAL_MS = 250.0  # connections are checked this often
SILENCE_TIMEOUT_MS = (
    250.0  # an answer did not come for so long, and no other byte: the connection is distrusted
)
SPARE_IDLE_TIMEOUT_MS = 10_000.0  # a connection not used for so long is closed, but for one ...
IDLE_SHARE = 0.7  # ... which stays for this share of the platform's own idle timeout
MIN_RETRY_MS = 30.0
MAX_RETRY_MS = 1000.0
RESTING_AFTER_MS = 250.0  # one that was up for so long with nothing in flight is no failure when it ends ...
MIN_SPARE_RETRY_MS = 250.0  # ... but a spare connection is not dialled again and again
MAX_SPARE_RETRY_MS = 8000.0
QUESTION_ID_BYTES = 8
GRACEFUL_REASONS = frozenset({EndReason.SPENT, EndReason.IDLE, EndReason.LEAVING, EndReason.RESTING})


class ConnectionBudget:
    """How many connections to executors there may be, over all pools, and what happened on them."""

    def __init__(self, bound: int) -> None:
        """Take the most connections of all pools."""
        self.bound = bound
        self.used = 0
        self.counts: Counter[str] = Counter()

    def has_capacity(self) -> bool:
        """Whether one more connection may be dialled."""
        return self.used < self.bound


class AttemptLocation(NamedTuple):
    """Where an attempt is: its connection, its id there, and since when."""

    connection: ExecutorConnectionProtocol
    request_id: bytes
    since_ms: float


class ExecutorPool(SocketLinkReports):
    """One executor's connections. Takes the arguments of `gateway.executor_channel`'s link, then its own."""

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
        listener: LinkListener,
        log,
        budget: ConnectionBudget,
        streams: int,
        connect_ms: float,
        idle_ms: float,
        cancels: bool,
    ) -> None:
        """Take an endpoint.

        `cancels`: whether the deployment lets an attempt be cancelled at the executor.
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
        self.spare_not_before_ms = 0.0  # no dial ahead of need before this
        self.said_reasons = set[EndReason]()
        self.connections: list[ExecutorConnectionProtocol] = []
        self.locations: dict[Key, AttemptLocation] = {}
        self.closed = False
        self.removed = False  # from the endpoint list
        self.said_down = False
        self.sweep_call = clock.callLater(0, self._sweep)

    def now(self) -> float:
        """Give the reactor's time in ms."""
        return self.clock.seconds() * 1e3

    # -- attempts

    def send(
        self,
        key: Key,
        mark: str,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: OpaqueRequest,
    ) -> None:
        """Hand an attempt to the executor, at once or when its connection is up."""
        connection = None if self.closed else self._choose_connection(body.request_id)
        if connection is None:
            self._report_unsent(key)
            return
        self.locations[key] = AttemptLocation(connection, body.request_id, self.now())
        connection.add_attempt(key, body, remaining_ms)

    def _report_unsent(self, key: Key) -> None:
        """Report at once, also between two dials.

        An attempt that is queued meanwhile would hide the outage.
        """
        down = not any(c.up and not c.retiring for c in self.connections)
        outcome = Outcome.UNREACHABLE if down and not self.closed else Outcome.UNSENT
        self.report_unanswered(key, outcome)

    def _choose_connection(self, request_id: bytes) -> ExecutorConnectionProtocol | None:
        """Choose one with nothing in flight, the latest heard from; else a new one; else the least loaded."""
        idle = None
        shared = None
        for connection in self.connections:
            if not self._takes_attempt(connection, request_id):
                continue
            if (
                not connection.open_attempts
            ):  # also one that is being dialled: another dial would be no sooner
                if idle is None or connection.idle_rank() < idle.idle_rank():
                    idle = connection
            elif shared is None or connection.shared_rank() < shared.shared_rank():
                shared = connection
        if idle is not None:
            return idle
        if self._may_dial():
            connection = self._dial()
            return None if connection.dropped else connection
        return shared

    def _takes_attempt(self, connection: ExecutorConnectionProtocol, request_id: bytes) -> bool:
        if connection.retiring or connection.paused or connection.knows_id(request_id):
            return False
        return len(connection.open_attempts) < self.streams

    def cancel_attempt(self, key: Key, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        """End an attempt that nobody waits for; give its outcome, or None if it is not in flight here."""
        if key not in self.locations:
            return None
        connection, request_id, since_ms = self.locations.pop(key)
        handed_over, ended = connection.ledger.give_up(key, outcome)
        connection.waiting.pop(key, None)
        del connection.open_attempts[request_id]
        if handed_over:
            connection.abandon_id(request_id)
            if self.cancels:
                connection.transport.write(executor_codec.encode_cancel(request_id))
            self._distrust_silent(max(since_ms, connection.up_ms))
            connection.end_if_retired()
        return ended

    def _distrust_silent(self, since_ms: float) -> None:
        """Retire connections that were silent while an answer was due.

        A machine that vanished sends nothing, and each further attempt there would wait in vain; a new dial
        shows whether it is there.
        """
        if self.now() - since_ms < SILENCE_TIMEOUT_MS:
            return
        for connection in list(self.connections):
            if connection.up and connection.received_ms <= since_ms:
                connection.retiring = True
                connection.end_if_retired()

    # -- load requests and probes

    def order(self, id: int, function: str, replicas: int, memory_mb: float, lanes: int) -> Outcome | None:
        """Send a load request; an outcome if it could not be handed over."""

        def encode(wire_id: bytes) -> bytes:
            return executor_codec.encode_load_request(wire_id, function, replicas)

        return self._send_question(PendingQuestion(id, Question.LOAD), encode)

    def probe(self, id: int) -> Outcome | None:
        """Send a probe; an outcome if it could not be handed over."""
        return self._send_question(PendingQuestion(id, Question.PROBE), executor_codec.encode_probe)

    def _send_question(self, pending: PendingQuestion, encode: Callable[[bytes], bytes]) -> Outcome | None:
        connection = self._choose_for_question()
        if connection is None:
            return Outcome.UNSENT if any(c.up for c in self.connections) else Outcome.UNREACHABLE
        wire_id = self._unused_id()
        connection.questions[wire_id] = pending
        connection.transport.write(encode(wire_id))
        return None

    def _unused_id(self) -> bytes:
        wire_id = self.random_source.randbytes(QUESTION_ID_BYTES)
        while any(c.knows_id(wire_id) for c in self.connections):
            wire_id = self.random_source.randbytes(QUESTION_ID_BYTES)
        return wire_id

    def _choose_for_question(self) -> ExecutorConnectionProtocol | None:
        """Choose the least loaded connection that is up."""
        usable = [
            c
            for c in self.connections
            if c.up and not c.retiring and not c.paused and len(c.questions) < self.streams
        ]
        return min(usable, key=lambda c: (len(c.open_attempts), len(c.questions)), default=None)

    def unload(self, function: str) -> None:
        """Ask the executor to unload a function, if a connection is up."""
        connection = self._choose_for_question()
        if connection is not None:
            connection.transport.write(executor_codec.encode_unload(function))

    def forget_load_request(self, id: int) -> bool:
        """Stop waiting for a load request; False if it has ended."""
        for connection in self.connections:
            for wire_id, pending in connection.questions.items():
                if pending.id == id:
                    del connection.questions[wire_id]
                    connection.abandon_id(wire_id)
                    connection.end_if_retired()
                    return True
        return False

    # -- changes of the endpoint list

    def moved(self, address: str, port: int) -> None:
        """Follow the executor to another endpoint."""
        if (address, port) != (self.address, self.port):
            self.address = address
            self.port = port
            self.drop_all(EndReason.MOVED)

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        """Drop connections to a process older than this one, which can't answer.

        By the list's clock and by ours.
        """
        if started_ms:
            self.drop_all(EndReason.RESTARTED, before_ms=started_ms - 1.0)

    def drop_all(self, reason: EndReason, before_ms: float = 0.0) -> None:
        """Drop all connections, or those that came up before this time, with what is in flight on them."""
        for connection in list(self.connections):
            if not before_ms or connection.up_ms < before_ms:
                self.drop(connection, reason)
        self.dial_not_before_ms = 0.0

    def remove(self) -> None:
        """Drop all and dial no more: the endpoint list says that the executor is gone."""
        self.removed = True
        self.drop_all(EndReason.GONE)

    def restore(self) -> None:
        """Dial again: the endpoint list names the executor."""
        self.removed = False

    def close(self) -> None:
        """Close for good; what is still in flight ends here."""
        self.closed = True
        if self.sweep_call is not None:
            self.sweep_call.cancel()
            self.sweep_call = None
        for connection in list(self.connections):
            self.drop(connection, EndReason.LEAVING)

    # -- connections

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
        """Handle a connection that never came up, or that the other side ended."""
        now = self.now()
        unused = not connection.open_attempts and not connection.questions
        if connection.up and unused and now - connection.up_ms >= RESTING_AFTER_MS:
            # taken for an outage, it would keep requests from a healthy executor
            self.spare_not_before_ms = now + self.spare_backoff.failed()
            self.drop(connection, EndReason.RESTING)
            return
        never_answered = not connection.up or connection.received_ms <= connection.up_ms
        if never_answered:  # an executor that accepts and resets would be dialled without end
            self.dial_not_before_ms = now + self.backoff.failed()
        last = not any(c.up for c in self.connections if c is not connection)
        if never_answered and last and not self.closed:
            self.log_down(reason)
        self.drop(connection, reason)

    def drop(self, connection: ExecutorConnectionProtocol, reason: EndReason) -> None:
        """End one connection; all that is in flight on it ends with what that proves."""
        if connection.dropped:
            return
        was_up = connection.up
        connection.dropped = True
        connection.up = False
        self._count_drop(connection, reason)
        connection.cancel_partial_answer_timer()
        if connection.connect_attempt is not None:
            attempt = connection.connect_attempt
            connection.connect_attempt = None
            attempt.cancel()
        if was_up:
            self._close_transport(connection, reason)
        ends = connection.ledger.broke()
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

    # -- the sweep

    def _sweep(self) -> None:
        """Close idle and clogged connections; keep one ready."""
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
        if self.said_down and any(c.up and now - c.up_ms >= SWEEP_INTERVAL_MS for c in self.connections):
            # not earlier: an executor that accepts and resets would be logged without end
            self.log_up()

    def _drop_if_clogged(self, connection: ExecutorConnectionProtocol, now: float) -> None:
        """Check twice: after a pause of this process there may be buffer space that nobody has seen."""
        if not connection.paused or now - connection.paused_ms <= CLOGGED_MS:
            return
        if connection.clogged_once:
            self.drop(connection, EndReason.TAKES_NO_BYTE)
        connection.clogged_once = True
