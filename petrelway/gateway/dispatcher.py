"""The dispatcher: the only caller of the routing core, and the component that carries out its decisions.

In each reactor turn the inputs are processed first; then decisions are pulled until there are none left.
External ids are mapped to small indices here; the indices are freed when the core releases them. The Deferred
of a request fires once, with an `Answer`; cancelling it reports that the client has disconnected.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, interfaces

from ..common.endpoint_entry import EndpointEntry
from ..common.index_table import IndexTable
from ..routing.router import FrontEnd
from ..routing.types import (
    Action,
    ActionKind,
    Capabilities,
    Outcome,
    RequestClass,
    Tenant,
    Warmth,
)
from ..wire import codec
from .answers import Answer, Completion
from .attempt_ledger import AttemptKey
from .attempt_reasons import send_reason
from .decision_failures import DecisionFailures
from .executor_channel import ExecutorChannel
from .executor_directory import ExecutorDirectory
from .function_spec import FunctionSpec
from .observers import RequestObserver
from .pending_requests import (
    AttemptInFlight,
    LoadRequestInFlight,
    PendingAnswer,
    PendingRequest,
    ProbeInFlight,
)
from .question_table import QuestionTable
from .reactor_turns import ReactorTurns

# decisions that may fail in one turn before every unanswered request fails
MAX_DECISION_FAILURES_PER_TURN = 50
PROBE_TIMEOUT_MS = 1000.0  # a probe unanswered for this long has failed, and its connection is distrusted
# A turn that took this long was interrupted by a pause of the process; its decisions are checked again.
INTERRUPTED_TURN_MS = 20.0
DECISION_RETRY_MS = 100.0  # delay until decisions are pulled again after too many failed in one turn


class Dispatcher:
    """Manages the requests, executors and decisions of one front end. Times are in ms of the given clock."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        front_end: FrontEnd,
        name: str,
        process: str,
        request_classes: list[str],
        tenants: list[str],
        zones: list[str],
        machines: list[str],
        load_request_timeout_ms: float,
        connect: Callable,
        random_source: random.Random,
        log,
        meter: Callable[[], float] | None = None,
        make_channel: Callable[..., ExecutorChannel] = ExecutorChannel,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a dispatcher without executors.

        `make_channel` creates the channel to an executor and takes the arguments of ExecutorChannel; an
        emulation passes another factory. `unix_ahead_s` returns how far the wall clock has been stepped ahead
        of `clock`, in seconds."""
        self.clock = clock
        self.front_end = front_end
        self.name = name
        self.process = process
        self.request_classes = request_classes
        self.tenants = tenants
        self.load_request_timeout_ms = load_request_timeout_ms
        self.connect = connect
        self.random_source = random_source
        self.log = log
        self.meter = meter
        self.make_channel = make_channel
        self.deciding_s = 0.0
        self.requests = IndexTable()
        self.functions = IndexTable()
        self.pending: dict[int, PendingRequest] = {}  # by the request's index
        self.known_functions: dict[int, FunctionSpec] = {}  # by the function's index
        # by the id that is sent to executors, or passed to channels
        self.load_requests: QuestionTable[LoadRequestInFlight] = QuestionTable(clock)
        self.probes: QuestionTable[ProbeInFlight] = QuestionTable(clock)
        self.serial = 0
        self.load_request_id = 0
        self.unanswered = 0
        self.unanswered_bytes = 0  # size of the bodies of requests without a final answer
        self.counts: Counter[str] = Counter()
        self.directory = ExecutorDirectory(
            front_end, zones, machines, self._open_channel, unix_ahead_s, self.counts, log
        )
        self.executors = self.directory.executors
        self.zones = self.directory.zones
        self.channels = self.directory.channels
        self.turns = ReactorTurns(clock, self._pull_decisions, self._release, self._time_passed, self.counts)
        self.decision_failures = DecisionFailures(front_end, self.counts, log)
        self.idle: defer.Deferred[None] | None = None
        self.observer: RequestObserver | None = None
        self.decision_handlers: dict[ActionKind, Callable[[Action, float], None]] = {
            ActionKind.SEND: self._carry_out_send,
            ActionKind.WAKE: self._carry_out_wake,
            ActionKind.REJECT: self._carry_out_reject,
            ActionKind.FAIL: self._carry_out_fail,
            ActionKind.CANCEL: self._carry_out_cancel,
            ActionKind.PREFETCH: self._carry_out_prefetch,
            ActionKind.UNLOAD: self._carry_out_unload,
            ActionKind.PROBE: self._carry_out_probe,
        }

    def decisions_keep_failing(self) -> bool:
        """Return whether no decision has succeeded for a while though requests came."""
        return self.decision_failures.keep_failing(self.now())

    def now(self) -> float:
        """Return the current time in ms; within a turn, the time at which the turn began."""
        return self.turns.now()

    # -- inputs

    def policy_changed(
        self,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        request_class_names: list[str],
        tenant_names: list[str],
        capabilities: Capabilities,
    ) -> None:
        """Accept requests under a new policy from now on; each index keeps its name."""
        self.front_end.configuration_changed(self.now(), request_classes, tenants, capabilities)
        self.request_classes = request_class_names
        self.tenants = tenant_names

    def take(
        self,
        request_class: int,
        tenant: int,
        function: FunctionSpec,
        idempotency_key: str,
        remaining_ms: float,
        cost_estimate_ms: float,
        repeat: bool,
        content_type: str,
        body: bytes,
    ) -> PendingAnswer:
        """Accept a request; the returned Deferred fires with its one final answer."""
        now = self.now()
        function_index = self._function_index(function, now)
        self.serial += 1
        index, _ = self.requests.add(self.serial)
        request = PendingRequest(
            index,
            self.serial,
            idempotency_key,
            self.request_classes[request_class],
            self.tenants[tenant] if self.tenants else "",
            function,
            now + remaining_ms,
            cost_estimate_ms,
            content_type,
            body,
            self._client_left,
            self._abandon,
        )
        self.pending[index] = request
        self.unanswered += 1
        self.unanswered_bytes += len(body)
        self.counts["taken"] += 1
        answer = request.answer
        if self.observer is not None:
            self.observer.taken(
                now, self.serial, idempotency_key, request.request_class, request.tenant, function.name
            )
        self.front_end.request_taken(
            now, index, request_class, tenant, function_index, remaining_ms, cost_estimate_ms, repeat
        )
        self.turns.schedule()
        return answer

    def _function_index(self, function: FunctionSpec, now: float) -> int:
        """Return the index of a function; a new function is announced to the routing core first."""
        if function.name not in self.functions.indices:
            self.front_end.make_room_for_function()
            self._release()
        index, new = self.functions.add(function.name)
        if new:
            self.known_functions[index] = function
            self.front_end.function_named(
                now, index, function.name, function.memory_mb, function.lanes, function.load_ms
            )
        return index

    def executors_listed(self, entries: list[EndpointEntry], complete: bool) -> None:
        """Apply an endpoint list of the registry; each executor that it names gets a channel."""
        self.check_wall_clock()
        now = self.now()
        endpoints = self.directory.listed(entries, now, self.observer)
        self.front_end.executors_listed(now, endpoints, complete)
        self.turns.schedule()

    def endpoint_list_confirmed(self, confirmed_ms: float, notified_ms: float) -> None:
        """Note that the endpoint list was complete at `confirmed_ms`.

        Later changes count as notified by `notified_ms`."""
        self.front_end.endpoint_list_confirmed(self.now(), confirmed_ms, notified_ms)

    def endpoint_list_unconfirmed(self, notified_ms: float) -> None:
        """Note that the endpoint list is no longer confirmed.

        What the list lacks counts as notified by `notified_ms`, if not sooner."""
        self.front_end.endpoint_list_unconfirmed(self.now(), notified_ms)

    def _open_channel(self, index: int, entry: EndpointEntry) -> ExecutorChannel:
        return self.make_channel(
            index,
            entry.executor,
            entry.address,
            entry.port,
            self.name,
            self.process,
            self.clock,
            self.connect,
            self.random_source,
            self,
            self.log,
        )

    def check_wall_clock(self) -> None:
        """After a step of the wall clock, convert the listed start times to this process's clock again."""
        self.directory.check_wall_clock(self.now())

    def attempt_ended(
        self,
        executor: int,
        key: AttemptKey,
        outcome: Outcome,
        warmth: int,
        crowd: int,
        load: codec.LoadReport,
        content_type: str,
        body: bytes,
    ) -> None:
        """Record the outcome of an attempt; ignore an attempt that has already ended."""
        serial, number = key
        request = self._request(serial)
        attempt = request.in_flight.pop(number, None) if request is not None else None
        if request is None or attempt is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counts[outcome.label] += 1
        if outcome is Outcome.SUCCEEDED:
            executor_name = self.executors.outside_ids[executor]
            answer = Answer(Completion.SUCCEEDED, 0.0, content_type, body, executor_name, Warmth(warmth))
            self._answer(request, answer)
        elif outcome is Outcome.CONFLICT:
            self._answer(request, Answer(Completion.CONFLICT))
        now = self.now()
        if self.observer is not None:
            name = self.executors.outside_ids[executor]
            zone = self.zones.outside_ids.get(self.front_end.executors[executor].endpoint.zone, "")
            self.observer.ended(now, serial, name, zone, outcome.label, Warmth(warmth).label)
        took_ms = now - attempt.sent_ms
        self.front_end.attempt_ended(
            now, request.index, number, outcome, took_ms, request.answer is None, Warmth(warmth)
        )
        self.turns.schedule()

    def _request(self, serial: int) -> PendingRequest | None:
        return self.pending.get(self.requests.indices.get(serial, -1))

    def left_ms(self, key: AttemptKey) -> float:
        """Return the time in ms that the client still allows an attempt that waited for its connection.

        Return 0 if the attempt must not be sent any more."""
        serial, number = key
        request = self._request(serial)
        now = self.now()
        if request is None or request.answer is None or number not in request.in_flight:
            return 0.0
        if now >= request.deadline_ms or self._client_has_left(request):
            return 0.0
        return request.deadline_ms - now if self.front_end.may_still_send(now, request.index, number) else 0.0

    def load_request_answered(
        self, executor: int, load_request_id: int, outcome: Outcome, replicas: int
    ) -> None:
        """Record the outcome of a load request; ignore one that has already ended."""
        load_request = self.load_requests.end(load_request_id)
        if load_request is None:
            return
        now = self.now()
        self.counts[f"order {outcome.label}"] += 1
        self.front_end.load_request_answered(
            now, load_request.executor, load_request.function, outcome, replicas, now - load_request.sent_ms
        )
        self.turns.schedule()

    def probe_answered(self, executor: int, probe: int, outcome: Outcome, load: codec.LoadReport) -> None:
        """Record the outcome of a health check; ignore one that has already ended."""
        probe_in_flight = self.probes.end(probe)
        if probe_in_flight is None:
            return
        self.counts["probed"] += 1
        now = self.now()
        self.front_end.probe_answered(now, executor, outcome, now - probe_in_flight.sent_ms)
        self.turns.schedule()

    def executor_disconnected(self, executor: int) -> None:
        """Note that the executor closed the last connection to it."""
        self.front_end.executor_disconnected(self.now(), executor)

    def _client_left(self, request: PendingRequest) -> None:
        self._forget_answer(request)
        self.counts["client gone"] += 1
        self._count_answered()
        if self.observer is not None:
            self.observer.answered(self.now(), request.serial, "gone")
        self.front_end.client_gone(self.now(), request.index)
        self.turns.schedule()

    def _client_has_left(self, request: PendingRequest) -> bool:
        """Return whether the client has left, also if its close is not read yet; the request ends then."""
        if request.answer is not None and request.answer.client_has_left():
            request.answer.cancel()
        return request.answer is None

    def _forget_answer(self, request: PendingRequest) -> PendingAnswer | None:
        """Detach and return the Deferred of a request that needs no answer any more.

        The body is freed as well, since late outcomes of its attempts may take long to arrive."""
        answer = request.answer
        request.answer = None
        self.unanswered_bytes -= len(request.body)
        request.body = b""
        return answer

    def _abandon(self, request: PendingRequest) -> None:
        self.counts["given up for its connection"] += 1
        self.front_end.request_abandoned(self.now(), request.index)
        self.turns.schedule()

    # -- the turn

    def _time_passed(self) -> None:
        self.front_end.time_passed(self.now())

    def _pull_decisions(self, now: float) -> None:
        failures = 0
        while True:
            began = self.meter() if self.meter else 0.0
            try:
                decision = self.front_end.decide(now)
            except Exception as error:
                failures += 1
                if not self._decision_failed(error, failures):
                    # The core has asked for no wake-up; without this one the rest would wait forever.
                    self.turns.wake_at(now + DECISION_RETRY_MS, now)
                    return
                continue
            finally:
                if self.meter:
                    self.deciding_s += self.meter() - began
            if decision is None:
                return
            self.decision_failures.decided(decision)
            self._carry_out(decision, now)

    def _release(self) -> None:
        """Free the indices of everything that the routing core has released."""
        free = self.front_end.released()
        for index in free.requests:
            request = self.pending.pop(index)
            if self.observer is not None:
                self.observer.released(request.serial)
        self.directory.release(free.executors)
        for index in free.functions:
            del self.known_functions[index]
        self.requests.release(free.requests)
        self.functions.release(free.functions)

    def _decision_failed(self, error: Exception, failures: int) -> bool:
        """Fail the request that the routing core cannot decide, so that the other requests go on.

        Return False once too many decisions have failed in this turn; every unanswered request has been
        failed then."""
        request = self.pending.get(self.front_end.decision_failed())
        self.decision_failures.failed(self.now(), error, request)
        if request is not None:
            self._answer(request, Answer(Completion.FAILED))
            for number in sorted(request.in_flight):
                self._cancel_attempt(request, number)
        if failures < MAX_DECISION_FAILURES_PER_TURN:
            return True
        self.log.critical("decisions fail again and again: all unanswered requests fail", failures=failures)
        for other in list(self.pending.values()):
            if other.answer is not None:
                self._answer(other, Answer(Completion.FAILED))
                self.front_end.client_gone(self.now(), other.index)
        return False

    # -- decisions

    def _carry_out(self, decision: Action, now: float) -> None:
        if self.observer is not None and decision.request >= 0:
            self._report_decision(decision, now)
        handler = self.decision_handlers.get(decision.kind)
        if handler is None:  # messages to peers are not implemented yet; they are counted
            self.counts[f"not carried out: {decision.kind.value}"] += 1
            return
        handler(decision, now)

    def _report_decision(self, decision: Action, now: float) -> None:
        executor = self.executors.outside_ids.get(decision.executor, "")
        request = self.pending[decision.request]
        reason = ""
        if decision.kind is ActionKind.SEND:
            reason = send_reason(self.front_end, decision.request, decision.executor, request.sent)
        self.observer.decided(now, request.serial, decision.kind.value, executor, reason)

    def _carry_out_send(self, decision: Action, now: float) -> None:
        self._send(self.pending[decision.request], decision.executor, decision.ms, now)

    def _carry_out_wake(self, decision: Action, now: float) -> None:
        self.turns.wake_at(decision.ms, now)

    def _carry_out_reject(self, decision: Action, now: float) -> None:
        self._answer(self.pending[decision.request], Answer(Completion.REJECTED, decision.ms))

    def _carry_out_fail(self, decision: Action, now: float) -> None:
        self._answer(self.pending[decision.request], Answer(Completion.FAILED))

    def _carry_out_cancel(self, decision: Action, now: float) -> None:
        self._cancel_attempt(self.pending[decision.request], decision.number)

    def _carry_out_prefetch(self, decision: Action, now: float) -> None:
        self._request_load(decision.executor, decision.function, decision.number, now)

    def _carry_out_unload(self, decision: Action, now: float) -> None:
        self.channels[decision.executor].unload(self.functions.outside_ids[decision.function])

    def _carry_out_probe(self, decision: Action, now: float) -> None:
        self.load_request_id += 1
        probe = self.load_request_id
        executor = decision.executor
        self.probes.add(probe, ProbeInFlight(executor, now))
        failed = self.channels[executor].probe(probe)
        if failed is not None:
            self.probe_answered(executor, probe, failed, codec.LoadReport())
            return
        self.probes.start_timer(probe, PROBE_TIMEOUT_MS, self._probe_timed_out, executor, probe)

    def _probe_timed_out(self, executor: int, probe: int) -> None:
        channel = self.channels.get(executor)
        if channel is not None:
            channel.forget_probe(probe)
        self.probe_answered(executor, probe, Outcome.TIMEOUT, codec.LoadReport())

    def _send(self, request: PendingRequest, executor: int, limit_ms: float, now: float) -> None:
        number = request.sent
        request.sent += 1
        attempt = request.in_flight[number] = AttemptInFlight(executor, now)
        remaining_ms = request.deadline_ms - now
        key = (request.serial, number)
        if remaining_ms <= 0.0 or request.answer is None:
            self.attempt_ended(executor, key, Outcome.UNSENT, 0, 0, codec.LoadReport(), "", b"")
            return
        if not self._still_allowed(request, number, now):
            self.attempt_ended(executor, key, Outcome.UNSENT, 0, 0, codec.LoadReport(), "", b"")
            return
        request.answer.was_sent = True
        wait_ms = min(limit_ms, remaining_ms) if limit_ms > 0.0 else remaining_ms
        attempt.timer = self.clock.callLater(wait_ms / 1e3, self._attempt_timed_out, request, number)
        function = request.function
        self.channels[executor].send(
            key,
            request.idempotency_key,
            function.name,
            function.memory_mb,
            function.lanes,
            request.request_class,
            request.tenant,
            remaining_ms,
            request.cost_estimate_ms,
            request.content_type,
            request.body,
        )

    def _still_allowed(self, request: PendingRequest, number: int, now: float) -> bool:
        """Return whether an attempt may still be sent after a pause of the process within this turn.

        What was decided before the pause may no longer be valid."""
        clock_ms = self.clock.seconds() * 1e3
        if clock_ms - now < INTERRUPTED_TURN_MS:
            return True
        if self._client_has_left(request):
            return False
        return self.front_end.may_still_send(clock_ms, request.index, number)

    def _attempt_timed_out(self, request: PendingRequest, number: int) -> None:
        request.in_flight[number].timer = None
        self._cancel_attempt(request, number, Outcome.TIMEOUT)

    def _cancel_attempt(
        self, request: PendingRequest, number: int, outcome: Outcome = Outcome.CANCELLED
    ) -> None:
        attempt = request.in_flight.get(number)
        if attempt is None:
            return
        key = (request.serial, number)
        channel = self.channels.get(attempt.executor)
        ended = channel.cancel_attempt(key, outcome) if channel is not None else None
        self.attempt_ended(attempt.executor, key, ended or outcome, 0, 0, codec.LoadReport(), "", b"")

    def _request_load(self, executor: int, function_index: int, replicas: int, now: float) -> None:
        self.load_request_id += 1
        load_request_id = self.load_request_id
        function = self.known_functions[function_index]
        self.load_requests.add(load_request_id, LoadRequestInFlight(executor, function_index, now))
        failed = self.channels[executor].request_load(
            load_request_id, function.name, replicas, function.memory_mb, function.lanes
        )
        if failed is not None:
            self.load_request_answered(executor, load_request_id, failed, 0)
            return
        self.load_requests.start_timer(
            load_request_id,
            self.load_request_timeout_ms,
            self._load_request_timed_out,
            executor,
            load_request_id,
        )

    def _load_request_timed_out(self, executor: int, load_request_id: int) -> None:
        channel = self.channels.get(executor)
        if channel is not None:
            channel.forget_load_request(load_request_id)
        self.load_request_answered(executor, load_request_id, Outcome.TIMEOUT, 0)

    def _answer(self, request: PendingRequest, answer: Answer) -> None:
        """Fire the Deferred of a request unless it has fired; the only place that fires it."""
        if request.answer is None:
            return
        deferred = self._forget_answer(request)
        self.counts[answer.completion.value] += 1
        self._count_answered()
        if self.observer is not None:
            self.observer.answered(self.now(), request.serial, answer.completion.value)
        deferred.callback(answer)

    def _count_answered(self) -> None:
        self.unanswered -= 1
        if not self.unanswered and self.idle is not None:
            idle = self.idle
            self.idle = None
            idle.callback(None)

    # -- shutdown

    def all_answered(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when every request has its final answer.

        The listener must have stopped before."""
        if not self.unanswered:
            return defer.succeed(None)
        self.idle = self.idle or defer.Deferred()
        return self.idle

    def fail_all(self) -> None:
        """Fail every unanswered request; at the end of a shutdown these are past their deadlines."""
        for request in list(self.pending.values()):
            if request.answer is not None:
                self._answer(request, Answer(Completion.FAILED))

    def close(self) -> None:
        """Fail unanswered requests, cancel everything in flight and close all channels."""
        self.fail_all()
        self.turns.stop()
        self.load_requests.stop_timers()
        self.probes.stop_timers()
        for request in list(self.pending.values()):
            for number in sorted(request.in_flight):
                self._cancel_attempt(request, number)
        for channel in list(self.channels.values()):
            channel.close()
