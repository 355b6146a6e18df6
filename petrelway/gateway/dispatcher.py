"""The host: the only caller of the decision module, and the one that carries out what it decides.

Inputs of one reactor turn come first, then decisions are pulled until there is none. Outside ids become
small indices here and are given back when the module releases them. A request's Deferred fires once, with an
`Answer`; cancelling it tells the module that the client is gone.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet import defer, interfaces

from ..common.endpoint_entry import EndpointEntry
from ..common.index_table import Ids
from ..common.start_times import StartTimes
from ..routing.router import FrontEnd
from ..routing.types import (
    Action,
    ActionKind,
    Capabilities,
    Endpoint,
    Outcome,
    RequestClass,
    Stage,
    Tenant,
    Warmth,
)
from ..wire import codec
from .attempt_ledger import Key
from .attempt_reasons import why_sent
from .executor_channel import Link

STAGES = {"ready": Stage.READY, "draining": Stage.DRAINING, "gone": Stage.GONE}
FAILURES_BOUND = 50  # decisions that may fail in one turn before all that is owed is broken off
AGAIN_MS = 100.0  # and then the decisions are asked again
SUCCEEDED, REJECTED, FAILED = "fulfilled", "nacked", "broken off"


class Answer(NamedTuple):
    """The one final answer of a request; `retry_ms` goes with a reject, 0 for none."""

    kind: str
    retry_ms: float = 0.0
    content_type: str = ""
    body: bytes = b""
    executor: str = ""
    warmth: Warmth = Warmth.UNTOLD


class Watch(Protocol):
    """Who looks on. Times in ms; names as outside."""

    def taken(
        self, now: float, serial: int, mark: str, request_class: str, tenant: str, function: str
    ) -> None: ...

    def decided(self, now: float, serial: int, what: str, executor: str, detail: str) -> None: ...

    def ended(self, now: float, serial: int, executor: str, zone: str, outcome: str, warmth: str) -> None: ...

    def answered(self, now: float, serial: int, kind: str) -> None: ...

    def released(self, serial: int) -> None: ...

    def changed(self, now: float, what: str, detail: str) -> None: ...


class Function(NamedTuple):
    """What executors are told of a function; `load_ms` 0: untold."""

    name: str
    memory_mb: float
    lanes: int
    load_ms: float


class Out:
    """One attempt that is out."""

    def __init__(self, executor: int, sent_ms: float) -> None:
        self.executor, self.sent_ms = executor, sent_ms
        self.timer = None


class PendingAnswer(defer.Deferred):
    """The one final answer of a request. Cancelled, it tells that the client has gone."""

    def __init__(self, gone: Callable, given_up: Callable[[], None]) -> None:
        super().__init__(gone)
        self._given_up = given_up

    def give_up(self) -> None:
        """Ask for the final answer now, whatever is out: rejected if a repeat does no harm, else broken off."""
        self._given_up()


class Taken:
    """One request, from the taking until the module releases it."""

    def __init__(
        self,
        index: int,
        serial: int,
        mark: str,
        request_class: str,
        tenant: str,
        function: Function,
        deadline_ms: float,
        work_ms: float,
        content_type: str,
        body: bytes,
    ) -> None:
        self.index, self.serial, self.mark = index, serial, mark
        self.request_class, self.tenant, self.function = request_class, tenant, function
        self.deadline_ms, self.work_ms, self.content_type, self.body = (
            deadline_ms,
            work_ms,
            content_type,
            body,
        )
        self.out: dict[int, Out] = {}
        self.sent = 0
        # None: answered, or its client has gone
        self.answer: PendingAnswer | None = PendingAnswer(self._cancelled, self._gives_up)
        self.gone: Callable[[Taken], None] | None = None
        self.given_up: Callable[[Taken], None] | None = None

    def _cancelled(self, _: defer.Deferred) -> None:
        if self.gone is not None:
            self.gone(self)

    def _gives_up(self) -> None:
        if self.given_up is not None and self.answer is not None:
            self.given_up(self)


class Host:
    """One front end's host. Times in ms of the clock handed in."""

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
        link: Callable[..., Link] = Link,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`link` makes the link to an executor, with Link's own arguments; another one in an emulation.
        `unix_ahead_s`: how far the wall clock has been stepped ahead of `clock`."""
        self.unix_ahead_s, self.starts = unix_ahead_s, StartTimes()
        self.link = link
        self.clock, self.front_end, self.name, self.process = clock, front_end, name, process
        self.request_classes, self.tenants = request_classes, tenants
        self.load_request_timeout_ms, self.connect, self.random_source, self.log = (
            load_request_timeout_ms,
            connect,
            random_source,
            log,
        )
        self.meter, self.deciding_s = meter, 0.0
        self.requests, self.executors, self.functions = Ids(), Ids(), Ids()
        self.zones, self.machines = Ids(), Ids()
        for ids, names in ((self.zones, zones), (self.machines, machines)):
            for each in names:
                ids.enter(each)
        self.taken: dict[int, Taken] = {}  # by index
        self.links: dict[int, Link] = {}
        self.known: dict[int, Function] = {}
        self.load_requests: dict[
            int, tuple[int, int, float, object]
        ] = {}  # id -> executor, function, when, timer
        self.serial = self.load_request_id = self.owed = 0
        self.held_bytes = 0  # bodies of requests without a final answer
        self.counts: Counter[str] = Counter()
        self.turn = self.wake = None
        self.turning = False
        self.turn_ms: float | None = None  # the present, while a turn goes on
        self.idle: defer.Deferred[None] | None = None
        self.watch: Watch | None = None  # hears what passes; asks nothing

    def now(self) -> float:
        """The present; within a turn its beginning: what ends in it must not be later than what it decides.
        Danger: with a present that moves on, a turn with much to look at again would never end."""
        return self.clock.seconds() * 1e3 if self.turn_ms is None else self.turn_ms

    # -- inputs

    def terms_told(
        self, request_classes: list[RequestClass], tenants: list[Tenant], names: list[str], tenant_names: list[str],
        capabilities: Capabilities,
    ) -> None:  # fmt: skip
        """From now on requests are taken under these; indices keep their names."""
        self.front_end.configuration_changed(self.now(), request_classes, tenants, capabilities)
        self.request_classes, self.tenants = names, tenant_names

    def take(
        self,
        request_class: int,
        tenant: int,
        function: Function,
        mark: str,
        remaining_ms: float,
        work_ms: float,
        repeat: bool,
        content_type: str,
        body: bytes,
    ) -> PendingAnswer:
        """Take a request; from now on it is owed one final answer, which the Deferred carries."""
        now = self.now()
        known, new = self.functions.enter(function.name)
        if new:
            self.known[known] = function
            self.front_end.function_named(
                now, known, function.name, function.memory_mb, function.lanes, function.load_ms
            )
        self.serial += 1
        index, _ = self.requests.enter(self.serial)
        t = Taken(
            index,
            self.serial,
            mark,
            self.request_classes[request_class],
            self.tenants[tenant] if self.tenants else "",
            function,
            now + remaining_ms,
            work_ms,
            content_type,
            body,
        )
        t.gone = self._client_gone
        t.given_up = self._give_up
        self.taken[index] = t
        self.owed += 1
        self.held_bytes += len(body)
        self.counts["taken"] += 1
        answer = t.answer
        if self.watch is not None:
            self.watch.taken(now, self.serial, mark, t.request_class, t.tenant, function.name)
        self.front_end.request_taken(now, index, request_class, tenant, known, remaining_ms, work_ms, repeat)
        self._soon()
        return answer

    def executors_listed(self, lines: list[EndpointEntry], complete: bool) -> None:
        """The registry's word. A link is made for each executor that it names."""
        self.look_at_wall_clock()
        now, endpoints = self.now(), []
        for line in lines:
            if line.stage == "gone" and line.executor not in self.executors.index:
                continue
            index, new = self.executors.enter(line.executor)
            started_ms = self.starts.own_ms(now, line.executor, line.started_ms)
            if self.watch is not None:
                self._note_change(now, index, line, started_ms)
            endpoints.append(
                Endpoint(
                    index,
                    line.executor,
                    self.zones.enter(line.zone)[0],
                    self.machines.enter(line.machine)[0],
                    line.cell,
                    STAGES[line.stage],
                    line.weight,
                    started_ms,
                )
            )
            if new:
                self.links[index] = self.link(
                    index,
                    line.executor,
                    line.address,
                    line.port,
                    self.name,
                    self.process,
                    self.clock,
                    self.connect,
                    self.random_source,
                    self,
                    self.log,
                )
            else:
                self.links[index].moved(line.address, line.port)
                self.links[index].restarted(line.started_ms, started_ms)
        self.front_end.executors_listed(now, endpoints, complete)
        self._soon()

    def look_at_wall_clock(self) -> None:
        """After a step of it the start times that the list told mean other moments."""
        ahead_s = self.unix_ahead_s()
        if not self.starts.unix_ahead(ahead_s * 1e3):
            return
        self.counts["wall clock stepped"] += 1
        self.log.warning("wall clock stepped", ahead_s=round(ahead_s, 3))
        now = self.now()
        for executor, started_ms in self.starts.all_own_ms().items():
            self.front_end.executor_start_corrected(now, self.executors.index[executor], started_ms)

    def _note_change(self, now: float, index: int, line: EndpointEntry, started_ms: float) -> None:
        known = self.front_end.executors.get(index)
        if known is None:
            self.watch.changed(now, "executor listed", f"{line.executor} {line.stage} in {line.zone}")
        elif known.endpoint.stage is not STAGES[line.stage]:
            self.watch.changed(now, f"executor {line.stage}", line.executor)
        elif started_ms > known.endpoint.started_ms:
            self.watch.changed(now, "executor restarted", line.executor)

    def attempt_ended(
        self,
        executor: int,
        key: Key,
        outcome: Outcome,
        warmth: int,
        crowd: int,
        load: codec.LoadReport,
        content_type: str,
        body: bytes,
    ) -> None:
        serial, number = key
        index = self.requests.index.get(serial, -1)
        t = self.taken.get(index)
        out = t.out.pop(number, None) if t is not None else None
        if t is None or out is None:
            return
        if out.timer is not None:
            out.timer.cancel()
        self.counts[outcome.label] += 1
        if outcome is Outcome.SUCCEEDED:
            self._answer(
                t, Answer(SUCCEEDED, 0.0, content_type, body, self.executors.wire[executor], Warmth(warmth))
            )
        now = self.now()
        if self.watch is not None:
            name = self.executors.wire[executor]
            zone = self.zones.wire.get(self.front_end.executors[executor].endpoint.zone, "")
            self.watch.ended(now, serial, name, zone, outcome.label, Warmth(warmth).label)
        self.front_end.attempt_ended(
            now, index, number, outcome, now - out.sent_ms, t.answer is None, Warmth(warmth)
        )
        self._soon()

    def left_ms(self, key: Key) -> float:
        """Of a attempt that waited for its connection: the client's time left, 0 if it must not go."""
        serial, number = key
        index = self.requests.index.get(serial, -1)
        t, now = self.taken.get(index), self.now()
        if t is None or t.answer is None or number not in t.out or now >= t.deadline_ms:
            return 0.0
        return t.deadline_ms - now if self.front_end.may_still_send(now, index, number) else 0.0

    def load_request_answered(self, executor: int, order: int, outcome: Outcome, replicas: int) -> None:
        if (found := self.load_requests.pop(order, None)) is None:
            return
        at, function, sent_ms, timer = found
        if timer is not None and timer.active():
            timer.cancel()
        now = self.now()
        self.counts[f"order {outcome.label}"] += 1
        self.front_end.load_request_answered(now, at, function, outcome, replicas, now - sent_ms)
        self._soon()

    def probe_answered(self, executor: int, probe: int, outcome: Outcome, load: codec.LoadReport) -> None:
        self.counts["probed"] += 1  # the module asks for none yet

    def _client_gone(self, t: Taken) -> None:
        t.answer = None
        self.counts["client gone"] += 1
        self.held_bytes -= len(t.body)
        t.body = b""
        self._owe_less()
        if self.watch is not None:
            self.watch.answered(self.now(), t.serial, "gone")
        self.front_end.client_gone(self.now(), t.index)
        self._soon()

    def _give_up(self, t: Taken) -> None:
        self.counts["given up for its connection"] += 1
        self.front_end.request_abandoned(self.now(), t.index)
        self._soon()

    # -- the turn

    def _soon(self) -> None:
        if self.turn is None and not self.turning:
            self.turn = self.clock.callLater(0, self._turn)

    def _woken(self) -> None:
        """Danger: after a stall of this process a client's leaving, or an answer, lies unread: the sockets
        are looked at once before anything is decided."""
        self.wake = None
        self.front_end.time_passed(self.now())
        self._soon()

    def _turn(self) -> None:
        """Pull decisions until there is none."""
        if self.turn is not None and self.turn.active():
            self.turn.cancel()
        self.turn, self.turning = None, True
        self.turn_ms = self.now()
        pulled = False
        try:
            self._pull(self.turn_ms)
            pulled = True
        finally:
            self.turning, self.turn_ms = False, None
            if not pulled:  # danger: no turn would ever come again, and nobody get an answer
                self.counts["turn failed"] += 1
                self._soon()
        self._release()

    def _pull(self, now: float) -> None:
        failures = 0
        while True:
            began = self.meter() if self.meter else 0.0
            try:
                decision = self.front_end.decide(now)
            except Exception as error:
                failures += 1
                if not self._decision_failed(error, failures):
                    # danger: no wake was asked for: what is left would wait for ever
                    self._wake_at(now + AGAIN_MS, now)
                    return
                continue
            finally:
                if self.meter:
                    self.deciding_s += self.meter() - began
            if decision is None:
                return
            self._carry_out(decision, now)

    def _release(self) -> None:
        """What the decisions have forgotten for good."""
        free = self.front_end.released()
        for index in free.requests:
            t = self.taken.pop(index)
            if self.watch is not None:
                self.watch.released(t.serial)
        for index in free.executors:
            self.starts.forget(self.executors.wire[index])
            self.links.pop(index).close()
        for index in free.functions:
            del self.known[index]
        self.requests.leave(free.requests)
        self.executors.leave(free.executors)
        self.functions.leave(free.functions)

    def _decision_failed(self, error: Exception, failures: int) -> bool:
        """Danger: one request that the decisions cannot digest must not take the others with it."""
        index = self.front_end.decision_failed()
        t = self.taken.get(index)
        self.counts["decision failed"] += 1
        self.log.error(
            "decision failed",
            error=repr(error),
            request=t.mark if t else "",
            function=t.function.name if t else "",
            request_class=t.request_class if t else "",
            sent=t.sent if t else 0,
            out=sorted(t.out) if t else [],
            exc_info=error,
        )
        if t is not None:
            self._answer(t, Answer(FAILED))
            for number in sorted(t.out):
                self._cancel_attempt(t, number)
        if failures < FAILURES_BOUND:
            return True
        self.log.critical("decisions fail again and again: all that is owed is broken off", failures=failures)
        for t in list(self.taken.values()):
            if t.answer is not None:
                self._answer(t, Answer(FAILED))
                self.front_end.client_gone(self.now(), t.index)
        return False

    def _carry_out(self, d: Action, now: float) -> None:
        verb = d.kind
        if self.watch is not None and d.request >= 0:
            executor, why = self.executors.wire.get(d.executor, ""), ""
            if verb is ActionKind.SEND:
                why = why_sent(self.front_end, d.request, d.executor, self.taken[d.request].sent)
            self.watch.decided(now, self.taken[d.request].serial, verb.value, executor, why)
        if verb is ActionKind.SEND:
            self._send(self.taken[d.request], d.executor, d.ms, now)
        elif verb is ActionKind.WAKE:
            self._wake_at(d.ms, now)
        elif verb is ActionKind.REJECT:
            self._answer(self.taken[d.request], Answer(REJECTED, d.ms))
        elif verb is ActionKind.FAIL:
            self._answer(self.taken[d.request], Answer(FAILED))
        elif verb is ActionKind.CANCEL:
            self._cancel_attempt(self.taken[d.request], d.number)
        elif verb is ActionKind.PREFETCH:
            self._order(d.executor, d.function, d.number, now)
        elif verb is ActionKind.UNLOAD:
            self.links[d.executor].unload(self.functions.wire[d.function])
        elif verb is ActionKind.PROBE:
            self.load_request_id += 1
            self.links[d.executor].probe(self.load_request_id)
        else:  # no way to the peers yet: counted, not silent
            self.counts[f"not carried out: {verb.value}"] += 1

    def _send(self, t: Taken, executor: int, limit_ms: float, now: float) -> None:
        number, t.sent = t.sent, t.sent + 1
        out = t.out[number] = Out(executor, now)
        remaining_ms = t.deadline_ms - now
        key, f = (t.serial, number), t.function
        if remaining_ms <= 0.0 or t.answer is None:
            self.attempt_ended(executor, key, Outcome.UNSENT, 0, 0, codec.LoadReport(), "", b"")
            return
        wait_ms = min(limit_ms, remaining_ms) if limit_ms > 0.0 else remaining_ms
        out.timer = self.clock.callLater(wait_ms / 1e3, self._time_out, t, number)
        self.links[executor].send(
            key,
            t.mark,
            f.name,
            f.memory_mb,
            f.lanes,
            t.request_class,
            t.tenant,
            remaining_ms,
            t.work_ms,
            t.content_type,
            t.body,
        )

    def _time_out(self, t: Taken, number: int) -> None:
        t.out[number].timer = None
        self._cancel_attempt(t, number, Outcome.TIMEOUT)

    def _cancel_attempt(self, t: Taken, number: int, outcome: Outcome = Outcome.CANCELLED) -> None:
        out = t.out.get(number)
        if out is None:
            return
        link = self.links.get(out.executor)
        ended = link.cancel_attempt((t.serial, number), outcome) if link is not None else None
        no_load = codec.LoadReport()
        self.attempt_ended(out.executor, (t.serial, number), ended or outcome, 0, 0, no_load, "", b"")

    def _order(self, executor: int, function: int, replicas: int, now: float) -> None:
        self.load_request_id += 1
        id, f = self.load_request_id, self.known[function]
        self.load_requests[id] = executor, function, now, None
        failed = self.links[executor].order(id, f.name, replicas, f.memory_mb, f.lanes)
        if failed is not None:
            self.load_request_answered(executor, id, failed, 0)
            return
        timer = self.clock.callLater(
            self.load_request_timeout_ms / 1e3, self._load_request_timed_out, executor, id
        )
        self.load_requests[id] = executor, function, now, timer

    def _load_request_timed_out(self, executor: int, id: int) -> None:
        if (link := self.links.get(executor)) is not None:
            link.forget_load_request(id)
        self.load_request_answered(executor, id, Outcome.TIMEOUT, 0)

    def _wake_at(self, ms: float, now: float) -> None:
        if self.wake is not None and self.wake.active():
            self.wake.cancel()
        self.wake = self.clock.callLater(max(0.0, ms - now) / 1e3, self._woken)

    def _answer(self, t: Taken, answer: Answer) -> None:
        """The one place that fires a request's Deferred."""
        deferred, t.answer = t.answer, None
        if deferred is None:
            return
        self.held_bytes -= len(t.body)
        t.body = b""  # a long wait for late outcomes must not hold it
        self.counts[answer.kind] += 1
        self._owe_less()
        if self.watch is not None:
            self.watch.answered(self.now(), t.serial, answer.kind)
        deferred.callback(answer)

    def _owe_less(self) -> None:
        self.owed -= 1
        if not self.owed and self.idle is not None:
            idle, self.idle = self.idle, None
            idle.callback(None)

    # -- the end

    def nothing_owed(self) -> defer.Deferred[None]:
        """Fires when every request taken has its final answer; the intake must have stopped before."""
        if not self.owed:
            return defer.succeed(None)
        self.idle = self.idle or defer.Deferred()
        return self.idle

    def fail_all(self) -> None:
        """What is owed past every outer limit gets its answer now."""
        for t in list(self.taken.values()):
            if t.answer is not None:
                self._answer(t, Answer(FAILED))

    def close(self) -> None:
        """Withdraw what is out, leave all executors."""
        self.fail_all()
        for call in (self.turn, self.wake, *(order[3] for order in self.load_requests.values())):
            if call is not None and call.active():
                call.cancel()
        self.turn = self.wake = None
        self.turning = True  # no further turn
        for t in list(self.taken.values()):
            for number in sorted(t.out):
                self._cancel_attempt(t, number)
        for link in list(self.links.values()):
            link.close()
