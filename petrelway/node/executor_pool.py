"""One executor on the platform's protocol, driven by the dispatcher: attempts, load requests, probes.

The pool reports exact outcomes: each connection keeps a ledger of what its end proves about each attempt. As
long as descriptors are available, an attempt gets a connection on which nothing else is in flight, since an
answer that can't be decoded also ends all other attempts on its connection. Only when descriptors are short
do attempts share a connection, up to the protocol's bound. `service.py` creates a pool for each endpoint;
`connection_set.py` dials and drops the connections. Times in ms.
"""

from __future__ import annotations

from collections.abc import Callable

from ..gateway.attempt_ledger import AttemptKey
from ..gateway.channel_base import QuestionKind
from ..gateway.connection_end_reasons import EndReason
from ..platform import executor_codec
from ..platform.opaque_request import OpaqueRequest
from ..routing.types import Outcome
from .connection_set import AttemptLocation, ConnectionSet
from .executor_connection import ExecutorConnectionProtocol, PendingQuestion

SILENCE_TIMEOUT_MS = 250.0  # a connection that gets no byte for so long while an answer is due is retired
QUESTION_ID_BYTES = 8


class ExecutorPool(ConnectionSet):
    """One executor's connections.

    Takes the arguments of `gateway.executor_channel.ExecutorChannel`, then its own.
    """

    # -- attempts

    def send(
        self,
        key: AttemptKey,
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
        """Send an attempt to the executor, at once or when its connection is up."""
        connection = None if self.closed else self._choose_connection(body)
        if connection is None:
            self._report_unsent(key)
            return
        self.locations[key] = AttemptLocation(connection, body.request_id, self.now())
        connection.add_attempt(key, body, remaining_ms)

    def _report_unsent(self, key: AttemptKey) -> None:
        """Report at once that an attempt was not sent, also between two dials.

        Queueing the attempt until the next dial would hide the outage.
        """
        down = not any(c.up and not c.retiring for c in self.connections)
        outcome = Outcome.UNREACHABLE if down and not self.closed else Outcome.UNSENT
        self.report_unanswered(key, outcome)

    def _choose_connection(self, request: OpaqueRequest) -> ExecutorConnectionProtocol | None:
        """Choose a connection for an attempt, or None.

        The order of preference is: the connection not in use that received a byte last, a new one, the least
        loaded one.
        """
        idle = None
        shared = None
        for connection in self.connections:
            if not self._can_take_attempt(connection, request):
                continue
            if not connection.in_use():  # also one being dialled: another dial would not complete sooner
                if idle is None or connection.idle_rank() < idle.idle_rank():
                    idle = connection
            elif shared is None or connection.shared_rank() < shared.shared_rank():
                shared = connection
        if idle is not None:
            return idle
        if shared is None and not self.budget.has_capacity():
            self._make_room_for_dial(request.request_id)
        if self._may_dial():
            connection = self._dial()
            return None if connection.dropped else connection
        return shared

    def _make_room_for_dial(self, request_id: bytes) -> None:
        """Drop a connection that only an answer to an earlier attempt of the request keeps from taking it."""
        for connection in self.connections:
            if connection.is_resting() and not connection.is_id_taken(request_id):
                self.drop(connection, EndReason.SPENT)
                return

    def _can_take_attempt(self, connection: ExecutorConnectionProtocol, request: OpaqueRequest) -> bool:
        if connection.retiring or connection.paused or not connection.can_take(request):
            return False
        return len(connection.open_attempts) < self.streams

    def cancel_attempt(self, key: AttemptKey, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        """End an attempt whose answer is no longer needed.

        Return its outcome, or None if it is not in flight here.
        """
        if key not in self.locations:
            return None
        connection, request_id, since_ms = self.locations.pop(key)
        handed_over, ended = connection.ledger.abandon(key, outcome)
        connection.waiting.pop(key, None)
        del connection.open_attempts[request_id]
        if handed_over:
            connection.abandon_id(request_id)
            if self.cancels:
                connection.transport.write(executor_codec.encode_cancel(request_id))
            self._retire_silent_connections(max(since_ms, connection.up_ms))
            connection.end_if_retired()
        return ended

    def _retire_silent_connections(self, since_ms: float) -> None:
        """Retire connections that received no byte while an answer was due.

        A machine that has vanished sends nothing, and each further attempt on such a
        connection would time out; a new dial shows whether the machine can be reached.
        """
        if self.now() - since_ms < SILENCE_TIMEOUT_MS:
            return
        for connection in list(self.connections):
            if connection.up and connection.received_ms <= since_ms:
                connection.retiring = True
                connection.end_if_retired()

    # -- load requests and probes

    def request_load(
        self, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> Outcome | None:
        """Send a load request; return an outcome if it could not be sent, else None."""

        def encode(wire_id: bytes) -> bytes:
            return executor_codec.encode_load_request(wire_id, function, replicas)

        return self._send_question(PendingQuestion(id, QuestionKind.LOAD), encode)

    def probe(self, id: int) -> Outcome | None:
        """Send a probe; return an outcome if it could not be sent, else None."""
        return self._send_question(PendingQuestion(id, QuestionKind.PROBE), executor_codec.encode_probe)

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
        while any(c.is_id_taken(wire_id) for c in self.connections):
            wire_id = self.random_source.randbytes(QUESTION_ID_BYTES)
        return wire_id

    def _choose_for_question(self) -> ExecutorConnectionProtocol | None:
        """Choose the least loaded connection that is up and may take a load request or a probe, or None."""
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
        """Stop waiting for a load request; return False if it has already ended."""
        for connection in self.connections:
            for wire_id, pending in connection.questions.items():
                if pending.id == id:
                    del connection.questions[wire_id]
                    connection.abandon_id(wire_id)
                    connection.end_if_retired()
                    return True
        return False

    def forget_probe(self, id: int) -> None:
        """Stop waiting for a probe; the connection that did not answer it is retired."""
        for connection in list(self.connections):
            for wire_id, pending in list(connection.questions.items()):
                if pending == PendingQuestion(id, QuestionKind.PROBE):
                    del connection.questions[wire_id]
                    connection.abandon_id(wire_id)
                    connection.retiring = True
                    connection.end_if_retired()

    # -- changes of the endpoint list

    def moved(self, address: str, port: int) -> None:
        """Use the executor's new endpoint from now on and drop connections to the old one."""
        if (address, port) != (self.address, self.port):
            self.address = address
            self.port = port
            self.drop_all(EndReason.MOVED)

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        """Drop connections to an older process of this executor, which can't answer any more.

        `unix_ms` is the present process's start by the endpoint list's clock, `started_ms` by the reactor's.
        """
        if started_ms:
            self.drop_all(EndReason.RESTARTED, before_ms=started_ms - 1.0)

    def remove(self) -> None:
        """Drop all connections and stop dialling: the endpoint list marks the executor as gone."""
        self.removed = True
        self.drop_all(EndReason.GONE)

    def restore(self) -> None:
        """Resume dialling: the endpoint list contains the executor again."""
        self.removed = False
