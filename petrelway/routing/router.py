"""The decisions of one petrelway front end.

How to call it: make a FrontEnd, tell it all that happens through its input methods (they only
update what is known), then call decide(now) until it returns None and carry each Decision out.
released() hands back the indices that may be used anew. The types that a host sees are in
petrelway/routing/types.py, those of what is remembered in petrelway/routing/state.py.
The ordinary path is `choose`; the order of a function's executors is that of petrelway/routing/ranking.py; the five
rules stand in Gate, which every send passes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable

from .hash_ring import RingWindow
from .monotonic_time import ForwardClock
from .ranking import WINDOW, FunctionRank
from .state import Attempt, Deadlines, Executor, Fleet, FrontEndState, FunctionState, Request
from .types import (
    NEVER_RAN,
    Capabilities,
    ColdRule,
    Decision,
    Endpoint,
    Idempotency,
    Keeping,
    LoadRation,
    Outcome,
    Part,
    Place,
    Released,
    RequestClass,
    Scope,
    Stage,
    Tenant,
    Verb,
    Warmth,
)

# Tuned values. Times in ms.
VARIANCE = 2.0  # a skilled executor without a free lane is passed over past this times the mean backlog
PACE_GAIN = 0.15  # weight of one answer in an executor's pace (latency over size); clipped at PACE_CLIP
PACE_SPAN_MS = 30000.0  # and more if the present pace is old against this
KIND_RISE, KIND_FALL = 0.003, 0.01  # an answer moves its kind's usual pace by this: a low quantile
PACE_CLIP = 4.0  # one dear request counts at most as this many times the present pace
UNHEARD_SIZE_MS = 200.0  # size of a request before any answer or hint
UNHEARD_LOAD_MS = 1000.0  # time of a load before one was seen
LOAD_GAIN = 0.3  # weight of one load in its function's load time
OVERDUE_FACTOR = 4.0  # a attempt is overdue past this times its expected time ...
OVERDUE_SLACK_MS = 60.0  # ... plus this, or while another one could still be in time ...
OVERDUE_LEAST = 2.0  # ... but not before this times its expected time
SECOND_SHARE = 0.1  # further attempts earned per request taken: they cannot feed an overload
SECOND_SAVED = 15.0  # most of them saved up
FAILED = 1.7  # a failure makes a pace this many times slower
AILING_PACE = 8.0  # times its kind's usual pace: as slow as any evidence makes an executor
ERRORS, ERRORS_GAIN = 0.3, 0.15  # past this share of errors it gets no request of that request class ...
ERRORS_SPAN_MS = 5000.0  # ... until the share has faded
REFUSED_MS = 100.0  # a full that took longer than this was no full queue, but a limit for this tenant ...
REFUSED_REST_MS = 8000.0  # ... which is respected for this time
LOOK_AGAIN_MS = 40.0  # a held request is looked at again after this time
ANSWER_EARLY_MS = 6.0  # the final answer goes out this long before the client's time is up
WINDOW_EARLY_MS = 60.0  # a stamped repeat must arrive this long before its mark is forgotten
COLD_MARGIN = 0.6  # share of what rule 4 lets a front end send, for bursts and chance ...
COLD_LUCK = 0.6  # ... and of that, where its own share is a fraction of one request
RATE_SPAN_MS = 10000.0  # span over which succeeded requests are averaged for rule 4
RATION_EDGE_MS = 20.0  # both edges of the ration's window are read to our disadvantage
ASKED_SPAN_MS = 40000.0  # span over which a function's share of the requests is averaged
ASKED_PRIOR = 10.0  # requests of other functions assumed before any came
SPREAD = 3.0  # homes of a function, times its share of the fleet
MANY = 12  # of more homes than twice this a chance part is looked at: the least of it is as good
LANES_FILLED = 0.5  # of a function's lanes at its homes
OWN_VIEW = 8.0  # weight of own requests in flight for each executor against what the shared rank presumes
SPARSE = 0.25  # own requests in flight for each executor: with fewer, our own counts tell nothing
LOAD_REQUESTS_PER_EXECUTOR = 3  # own orders under way at one executor
LOADS_START = 1.5  # own orders under way in all, before any load was seen ...
LOADS_SLOW = 1.6  # ... cut when a load took more than this times its usual time, or failed ...
LOADS_CUT = 0.7  # ... by this, at most once in the time of a load ...
LOADS_GROW = 0.25  # ... and grows by this in the time of a good one
STOOD_MS = 30.0  # an order answered sooner found the copy there
LIMIT_START = 12.0  # own requests at one executor before it was seen to slow down
LIMIT_LEAST = 2.0  # never less, or it would not be seen to recover
CROWDED = 0.5  # answers slower than this share of the quoted time: the executor has too much in flight
LIMIT_GROW = 2.0  # the limit grows by this in the time of an answer
LATE_GAIN = 0.1  # weight of one answer in the share of late ones ...
JAM = 0.2  # ... past which the limit for all own requests is cut; it grows below half of it. Danger: a few
# slow executors are no jam; and cut and growth at once, of hundreds of front ends, never ended one
HOLD_SHARE = 0.3  # a request waits for a place at most this share of its quoted time ...
PATIENCE = 0.5  # ... and for a load or an executor at all this share of the client's, or the quoted time
LIMIT_CUT = 0.9  # the limit is cut by this at most once in the time of an answer
LATE = 0.8  # answers slower than this share of the quoted time: the fleet has too much to do ...
SLOWED = 2.5  # ... if slower than this times the usual, where the work was told: else it was a dear request
CLOSED_SHARE = 0.25  # no overflow while more of the executors than this are crowded
LOADS_SHARE = 0.16  # nor while more own loads than this are under way for each of them
STALL_MS = 100.0  # a wake that comes this late: the front end itself stood still
TIDY_MS = 1000.0  # forgetting is done this often
FORGET_FUNCTION_MS = 60000.0  # a function not asked for this long is forgotten


class Function(FunctionState):
    """What is known of one function, and how the executors rank for it."""

    def __init__(self, index: int, stable: str, lanes: int, load_ms: float, now: float) -> None:
        super().__init__(index, stable, lanes, load_ms or UNHEARD_LOAD_MS, load_ms, now)
        self.rank = FunctionRank(self.salt)
        self.order: RingWindow[Executor] = RingWindow(self.rank)

    def ranked(self, fleet: Fleet, count: int = WINDOW) -> list[Executor]:
        """The first of the ready ones by rank, from the function's first home on."""
        return self.order.first(fleet.ring, count)


class Gate:
    """The five rules, at the one place that every attempt, order and final answer passes."""

    def __init__(
        self,
        cold: ColdRule,
        ration: LoadRation,
        told_rate: float,
        own: float,
        random_source: random.Random,
        start: float,
    ) -> None:
        self.cold, self.ration, self.told_rate = cold, ration, told_rate  # the rate: of all front ends, a ms
        self.strict, self.random_source, self.start = (
            (told_rate, start),
            random_source,
            start,
        )  # the least rate told lately
        self.own, self.part = own, Part(own, start)  # shares of the fleet's rations: what is told has an end
        self.seen: dict[int, tuple[float, float]] = {}  # machine kind -> decayed count of succeeded, time
        self.usual: dict[int, float] = {}  # what a warm one of the kind carries of our requests, a ms
        self.taken, self.load_requested = deque[float](), deque[float]()

    def send(self, t: Request, e: Executor, listed: int, now: float) -> bool:
        if t.answered or now >= t.answer_deadline_ms or t.sent >= t.capabilities.attempts:  # rule 1
            return False
        if t.out and not t.capabilities.hedging:
            return False
        if e.endpoint.stage is not Stage.READY:  # rule 3, without using the grace
            return False
        if (t.ran or t.out) and not self._repeat(t, e.endpoint, now):
            return False
        return self._warm_enough(t, e, listed, now)

    def _repeat(self, t: Request, at: Endpoint, now: float) -> bool:
        """Rule 2: a request that may have run goes out again only where that does no harm."""
        request_class = t.request_class
        if request_class.idempotency is not Idempotency.KEYED:
            return request_class.idempotency is Idempotency.IDEMPOTENT
        for zone, cell, sent_ms in (*t.ran, *map(Attempt.run, t.out.values())):
            if now > sent_ms + request_class.window_ms - WINDOW_EARLY_MS:
                return False
            scope = request_class.scope
            if (scope is Scope.ZONE and zone != at.zone) or (scope is Scope.CELL and cell != at.cell):
                return False
        return True

    def carried(self, kind: int, warm: int, now: float) -> None:
        count, at = self.seen.get(kind, (0.0, now))
        self.seen[kind] = count, _ = count * math.exp((at - now) / RATE_SPAN_MS) + 1.0, now
        span = RATE_SPAN_MS * (1.0 - math.exp((self.start - now) / RATE_SPAN_MS)) + RATE_SPAN_MS / 5
        if warm:
            self.usual[kind] = count / span / warm

    def share(self, now: float) -> float:
        """Danger: whoever stood still, or hears nothing more, would use what others use again."""
        return self.part.share if now < self.part.until_ms else self.own

    def rate(self, now: float) -> float:
        least, until = self.strict
        return min(least, self.told_rate) if now < until else self.told_rate

    def rate_told(self, now: float, rate: float) -> None:
        """Danger: right after a change front ends would send for the old and the new rate in one window."""
        self.strict = self.rate(now), now + max(self.cold.warm_ms, self.cold.span_ms)
        self.told_rate = rate

    def is_cold(self, e: Executor, now: float) -> bool:
        return now < e.endpoint.started_ms + self.cold.warm_ms

    def _warm_enough(self, t: Request, e: Executor, listed: int, now: float) -> bool:
        """Rule 4: the sum over all front ends is unknown, but if each stays under the least present
        share of what it usually sends to a warm executor of the kind, so does the sum. Danger: a
        front end whose share is a fraction of one request rounds up, and hundreds do so in the same
        moment; there a request's luck decides as well, and the first share starts at a chance phase."""
        if not self.is_cold(e, now):
            return True
        cold = self.cold
        grown = max(0.0, now - e.endpoint.started_ms) / cold.warm_ms
        part = COLD_MARGIN * cold.multiple * (cold.start_share + (1.0 - cold.start_share) * grown)
        # danger: a restarted front end has no history; then the tenants' shares, which the fleet can
        # carry, are split evenly over front ends and executors, and halved
        told = 0.5 * self.share(now) * self.rate(now) / max(1, listed)
        rate = part * max(self.usual.get(e.endpoint.machine, 0.0), told)
        if rate <= 0.0:
            return False
        span = max(cold.span_ms, 1.0 / rate)
        if span > cold.span_ms:
            span /= COLD_LUCK
            if not e.cold_sends:
                e.cold_sends.append(now - self.random_source.random() * span)
            if t.jitter > COLD_LUCK * part:
                return False
        recent = sum(1 for at in e.cold_sends if at > now - span)
        return recent + 1 <= rate * span + 1e-9

    def order(self, e: Executor, now: float) -> bool:
        ration = self.ration
        self.forget(now)
        left = ration.free + ration.share * len(self.taken) - len(self.load_requested)
        ready = e.endpoint.stage is Stage.READY  # rule 3
        return ready and (ration.window_ms <= 0.0 or left >= 1.0)  # rule 5

    def forget(self, now: float) -> None:
        """Danger: where orders are rare or not rationed, the times of all requests would be kept for ever."""
        window_ms = self.ration.window_ms
        while self.load_requested and self.load_requested[0] < now - window_ms - RATION_EDGE_MS:
            self.load_requested.popleft()
        while self.taken and self.taken[0] < now - window_ms + RATION_EDGE_MS:
            self.taken.popleft()

    def reject(self, t: Request) -> bool:
        """Rule 2: a reject says that a repeat does no harm."""
        if not (t.ran or t.out) or t.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return t.request_class.idempotency is Idempotency.KEYED and t.request_class.scope is Scope.ALL


class FrontEnd(FrontEndState):
    """One instance: what it knows and what it decides."""

    def __init__(
        self,
        now: float,
        seed: int,
        place: Place,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        capabilities: Capabilities,
        keeping: Keeping,
        cold: ColdRule,
        ration: LoadRation,
    ) -> None:
        super().__init__(now)
        self.clock = ForwardClock(now, TIDY_MS)
        self.random_source = random.Random(seed)
        self.request_classes, self.capabilities, self.keeping = request_classes, capabilities, keeping
        self.gate = Gate(
            cold,
            ration,
            sum(c.rate for c in tenants) / 1000.0,
            1.0 / max(1, place.peers),
            self.random_source,
            now,
        )
        self.loads, self.loads_cut_ms = LOADS_START, -math.inf
        self.seconds = SECOND_SAVED
        self.limit, self.cut_ms = LIMIT_START, -math.inf  # for all own requests, in all but a rich view
        self.mean_ms = self.mean_size = self.quick_ms = UNHEARD_SIZE_MS
        heapq.heappush(self.due, (now + TIDY_MS * self.random_source.random(), -1))

    def executors_listed(self, now: float, endpoints: Iterable[Endpoint], complete: bool) -> None:
        now = self.clock.enter(now)
        named = set()
        for told in endpoints:
            endpoint = told._replace(started_ms=self._started(told.started_ms))
            named.add(endpoint.executor)
            e = self.executors.get(endpoint.executor)
            if e is None:
                e = self.executors[endpoint.executor] = Executor(endpoint, now, self.fleet, LIMIT_START)
            elif endpoint.started_ms > e.endpoint.started_ms:
                self._unskilled(e, *map(self.functions.__getitem__, e.resume))
                e.restart(LIMIT_START)
            e.list(endpoint, now)
        if complete:
            for index, e in self.executors.items():
                if index not in named and e.endpoint.stage is not Stage.GONE:
                    e.list(e.endpoint._replace(stage=Stage.GONE), now)
        for f in self.functions.values():
            self.attention.extend(f.held)

    def function_named(
        self, now: float, function: int, stable: str, memory_mb: float, lanes: int, load_ms: float
    ) -> None:
        """Once for each index, before the function's first request."""
        now = self.clock.enter(now)
        self.functions[function] = Function(function, stable, lanes, load_ms, now)

    def request_taken(
        self,
        now: float,
        request: int,
        request_class: int,
        tenant: int,
        function: int,
        remaining_ms: float,
        work_ms: float,
        repeat: bool,
    ) -> None:
        now = self.clock.enter(now)
        f = self.functions[function]
        size = work_ms or f.mean_ms or self.mean_ms
        self.mean_size += 0.02 * (size - self.mean_size)
        self.asked = self.asked * math.exp((self.asked_ms - now) / ASKED_SPAN_MS) + size
        f.asked = f.asked * math.exp((f.used_ms - now) / ASKED_SPAN_MS) + size
        self.asked_ms = f.used_ms = now
        terms, jitter = self.request_classes[request_class], self.random_source.random()
        deadlines = Deadlines(
            answer_deadline_ms=now + remaining_ms - min(ANSWER_EARLY_MS, remaining_ms / 2),
            latency_objective_at_ms=now + terms.latency_objective_ms,
            patient_until=max(now + terms.latency_objective_ms, now + PATIENCE * remaining_ms)
            - LOOK_AGAIN_MS,
        )
        t = Request(
            request, request_class, terms, self.capabilities, tenant, f, size, now, deadlines, repeat, jitter
        )
        self.requests[request], t.work_ms = t, work_ms
        self.gate.taken.append(now)
        self.seconds = min(SECOND_SAVED, self.seconds + SECOND_SHARE)
        self.attention.append(request)
        heapq.heappush(self.due, (t.answer_deadline_ms, request))

    def attempt_ended(
        self,
        now: float,
        request: int,
        number: int,
        outcome: Outcome,
        took_ms: float,
        finished: bool,
        warmth: Warmth,
    ) -> None:
        now = self.clock.enter(now)
        t = self.requests.get(request)
        sent = t.out.pop(number, None) if t else None
        if t is None or sent is None:
            return
        e, f = sent.executor, t.function
        del e.out[request, number]
        self.out -= not sent.overdue
        e.weigh(-sent.busy)
        if not self.keeping.answers_miss:
            e.loaded(f.index)
        if outcome not in NEVER_RAN:
            t.ran.append(sent.run())
        t.answered = t.answered or finished
        if sent.sent_ms >= e.endpoint.started_ms or not e.endpoint.started_ms:
            self._learn(now, t, sent, outcome, took_ms, warmth)
        if outcome not in (Outcome.SUCCEEDED, Outcome.CANCELLED, Outcome.MISS):
            t.tried.add(e.endpoint.executor)
        self.attention.append(request)

    def _learn(
        self, now: float, t: Request, sent: Attempt, outcome: Outcome, took_ms: float, warmth: Warmth
    ) -> None:
        e, f = sent.executor, t.function
        # danger: one that fails fast always has a free lane, and may fail one request class only: the answers to the
        # others heal its pace. What nobody ever served fails anywhere, and says nothing of it
        failed = outcome is Outcome.ERROR and f.mean_ms and warmth is not Warmth.LOAD_FAILED
        if failed or outcome is Outcome.SUCCEEDED and t.kind in e.errors:
            share = self._errors(e, t.kind, now)
            e.errors[t.kind] = share + ERRORS_GAIN * (bool(failed) - share), now
        if outcome is Outcome.SUCCEEDED:
            self._skilled(e, f, now)
            e.refused.pop(t.tenant, None)
            if self._untimely(now):  # danger: the time of an own stall proves nothing against executors
                return
            if self.cut_ms == -math.inf and self.out + 1 >= self.limit / 2:
                self.limit += 1.0  # danger: one front end of a great fleet would crawl for minutes
            if warmth in (Warmth.FOUND, Warmth.UNTOLD):
                self._paced(e, t, took_ms, now)
            elif warmth is Warmth.BEGAN:
                self._load_seen(f, took_ms - t.size * self.pace(e, now))
        elif outcome is Outcome.MISS:
            self._unskilled(e, f)
            t.missed.add(e.endpoint.executor)
            if self.keeping.answers_miss and self.keeping.load_requests and warmth is not Warmth.LOAD_FAILED:
                self.wanted[f.index] = e
        elif outcome is Outcome.FULL:
            # danger: some refuse one tenant only, and slowly; that says nothing of the rest
            if took_ms > REFUSED_MS and not self._untimely(now):
                e.refused[t.tenant] = now + REFUSED_REST_MS
        elif outcome not in (Outcome.CANCELLED, Outcome.UNSENT) and warmth is not Warmth.LOAD_FAILED:
            self._doubted(e, now)  # danger: one that fails fast looks idle

    def _doubted(self, e: Executor, now: float) -> None:
        """Evidence against an executor, whatever the cause: silence, errors, no connection. It counts as
        a slow answer; one piece proves little, since a load or a dear request looks the same."""
        most = FAILED * AILING_PACE * self.kind_pace.get(e.endpoint.machine, 1.0)
        e.pace, e.paced_ms = min(FAILED * self.pace(e, now), most), now

    def _untimely(self, now: float) -> bool:
        if now > self.wake_ms + STALL_MS:
            self.stall_ms = now
        return self.stall_ms == now

    def _paced(self, e: Executor, t: Request, took_ms: float, now: float) -> None:
        f = t.function
        pace, kind = took_ms / max(1.0, t.size), e.endpoint.machine
        usual = self.kind_pace.setdefault(kind, pace)
        self.kind_pace[kind] = usual * (1.0 + (KIND_RISE if pace > usual else -KIND_FALL))
        e.pace, e.paced_ms = self.pace(e, now) if e.pace else min(pace, PACE_CLIP * usual), now
        gain = PACE_GAIN if e.pace < AILING_PACE * usual else 0.5  # re-read fast
        # danger: a short request's time is mostly not its work; a plain mean of ratios calls all crowded
        weight = min(PACE_CLIP, t.size / self.mean_size)
        e.pace += min(1.0, gain * weight) * (min(pace, e.pace * PACE_CLIP) - e.pace)
        if e.pace * self.mean_size > CROWDED * t.request_class.latency_objective_ms:
            self._cut(e, e.busy, now)
        elif e.busy + 1 >= e.limit:
            e.weigh(0, e.limit + LIMIT_GROW / e.limit)
        late = took_ms > max(LATE * t.request_class.latency_objective_ms, SLOWED * t.work_ms * usual)
        self.late += LATE_GAIN * (late - self.late)
        if late and self.late > JAM:
            self._cut(self, self.out, now)
        elif not late and self.late < JAM / 2 and self.out + 1 >= self.limit:
            self.limit += LIMIT_GROW / self.limit
        took = min(took_ms, PACE_CLIP * (f.mean_ms or self.mean_ms))
        f.mean_ms = f.mean_ms + PACE_GAIN * (took - f.mean_ms) if f.mean_ms else took
        self.mean_ms += 0.02 * (took - self.mean_ms)
        self.quick_ms *= 1.0 + (KIND_RISE if took_ms > self.quick_ms else -KIND_RISE)
        if not self.gate.is_cold(e, now):
            self.gate.carried(kind, self.warm.get(kind, 0), now)

    def _cut(self, holder: Executor | FrontEnd, busy: int, now: float) -> None:
        """Danger: in an overload all is answered late; less in flight, and in time, is worth more."""
        if now > holder.cut_ms + self.mean_ms:
            limit, holder.cut_ms = max(LIMIT_LEAST, LIMIT_CUT * min(holder.limit, busy + 1.0)), now
            if isinstance(holder, Executor):
                holder.weigh(0, limit)
            else:
                holder.limit = limit

    def _load_seen(self, f: Function, took_ms: float) -> None:
        f.load_ms += LOAD_GAIN * (min(max(0.0, took_ms), PACE_CLIP * f.load_ms) - f.load_ms)

    def load_request_answered(
        self, now: float, executor: int, function: int, outcome: Outcome, replicas: int, took_ms: float
    ) -> None:
        now = self.clock.enter(now)
        self.under_way.pop((executor, function), None)
        e, f = self.executors.get(executor), self.functions.get(function)
        if e is None or f is None:
            return
        e.loaded(function)
        self._store_seen(f, outcome, took_ms, now)
        if outcome is Outcome.SUCCEEDED and replicas > 0:
            self._skilled(e, f, now)
            self._load_seen(f, took_ms)
        self.attention.extend(f.held)

    def _store_seen(self, f: Function, outcome: Outcome, took_ms: float, now: float) -> None:
        """Danger: copies lost in many places are loaded anew at once by all front ends, and the one store
        that they share stops when pushed far over what it can give: then nothing loads for seconds."""
        if outcome is Outcome.SUCCEEDED and took_ms < STOOD_MS:
            return  # danger: a copy stood; taken for the usual time, it makes each load look slow
        usual = f.usual_load_ms = f.usual_load_ms or took_ms
        if outcome is Outcome.ERROR or outcome is Outcome.SUCCEEDED and took_ms > LOADS_SLOW * usual:
            if now > self.loads_cut_ms + usual:
                self.loads, self.loads_cut_ms = max(1.0, LOADS_CUT * self.loads), now
        elif outcome is Outcome.SUCCEEDED and len(self.under_way) + 1 >= self.loads:
            self.loads += LOADS_GROW / self.loads

    def client_gone(self, now: float, request: int) -> None:
        self.clock.enter(now)
        if t := self.requests.get(request):
            t.answered = True
            if t.taken_ms in self.gate.taken:  # danger: hundreds taken back at once would earn orders to load
                self.gate.taken.remove(t.taken_ms)
            self.attention.append(request)

    def request_given_up(self, now: float, request: int) -> None:
        """Its connection ends: the one final answer is due now."""
        now = self.clock.enter(now)
        if t := self.requests.get(request):
            t.answer_deadline_ms = min(t.answer_deadline_ms, now)
            self.attention.append(request)

    def terms_told(
        self,
        now: float,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        capabilities: Capabilities,
    ) -> None:
        """What is taken from now on goes by these; a request keeps the terms that it was taken under."""
        self.request_classes, self.capabilities = request_classes, capabilities
        self.gate.rate_told(self.clock.enter(now), sum(c.rate for c in tenants) / 1000.0)

    def part_told(self, now: float, part: Part) -> None:
        self.clock.enter(now)
        self.gate.part = Part(part.share, self.clock.place(part.until_ms))

    def start_told(self, now: float, executor: int, started_ms: float) -> None:
        """The same process of an executor started at another time than was told before."""
        self.clock.enter(now)
        if e := self.executors.get(executor):
            e.endpoint = e.endpoint._replace(started_ms=self._started(started_ms))

    def _started(self, started_ms: float) -> float:
        return self.clock.place(started_ms) if started_ms else 0.0

    def may_go(self, now: float, request: int, number: int) -> bool:
        """Whether what has waited for its connection may still go out, after all that has changed since."""
        now = self.clock.enter(now)
        t = self.requests.get(request)
        if t is None or number not in t.out:
            return False
        sent, t.sent = t.out.pop(number), t.sent - 1
        spent = sent.executor.cold_sends
        if counted := sent.sent_ms in spent:
            spent[spent.index(sent.sent_ms)] = -math.inf  # in its place, so that no phase is drawn anew
        may = self.gate.send(t, sent.executor, len(self.ready), now)
        t.out[number], t.sent = sent, t.sent + 1
        if counted:
            spent.remove(-math.inf)
            spent.extend([now] * may)
        return may

    def time_passed(self, now: float) -> None:
        self._untimely(self.clock.enter(now))
        self.wake_ms = math.inf

    def decide(self, now: float) -> Decision | None:
        """The next thing to do, or None."""
        now = self.clock.enter(now)
        while self.due and self.due[0][0] <= now:
            _, request = heapq.heappop(self.due)
            if request >= 0:
                self.attention.append(request)
            else:
                self._tidy(now)
                heapq.heappush(self.due, (now + TIDY_MS, -1))
        while self.wanted and len(self.under_way) < self.loads:
            # what nobody has comes first, then what is asked for most
            wanted = max(self.wanted, key=lambda i: (not self.functions[i].skilled, self.functions[i].asked))
            decision = self._order(self.wanted.pop(wanted), self.functions[wanted], now)
            if decision is not None:
                return decision
        while self.attention:
            self.at = self.attention[0]
            t = self.requests.get(self.at)
            decision = self._for_request(t, now) if t is not None else None
            self.at = -1
            if decision is not None:
                return decision
            self.attention.popleft()
        if not self.due or self.due[0][0] >= self.wake_ms:
            return None
        self.wake_ms = self.due[0][0]
        return Decision(Verb.WAKE, ms=self.clock.leave(self.wake_ms))

    def failed(self) -> int:
        """After decide raised: the request it was at, for which no more is decided but to withdraw; or -1.
        Danger: it would raise again at the same one for ever, and all others would go unanswered."""
        index, self.at = self.at, -1
        t = self.requests.get(index)
        if t is None:
            return -1
        self.attention.popleft()
        t.answered = True
        t.function.held.pop(index, None)
        if not t.out:
            self.attention.append(index)
        return index

    def released(self) -> Released:
        free, self.free = self.free, Released([], [], [])
        return free

    def _for_request(self, t: Request, now: float) -> Decision | None:
        if t.answered:
            return self._cancel_attempt(t)
        if now >= t.answer_deadline_ms or not t.out and t.sent >= t.capabilities.attempts:
            return self._give_up(t)
        return self._second(t, now) if t.out else self._place(t, now)

    def _cancel_attempt(self, t: Request) -> Decision | None:
        """Nobody waits for these attempts any more: spare the executors the work."""
        t.function.held.pop(t.index, None)
        for sent in t.out.values():
            if not sent.cancelled and t.capabilities.cancel_attempt:
                sent.cancelled = True
                return Decision(Verb.CANCEL, t.index, number=sent.number)
        if not t.out and self.requests.pop(t.index, None):
            self.free.requests.append(t.index)
        return None

    def _give_up(self, t: Request) -> Decision:
        """Rule 1: the one final answer, at once."""
        t.answered = True
        if self.gate.reject(t):
            return Decision(Verb.REJECT, t.index, ms=min(t.capabilities.longest_retry_ms, self.mean_ms))
        return Decision(Verb.FAIL, t.index)

    def _place(self, t: Request, now: float) -> Decision | None:
        f = t.function
        # danger: with few own requests at each executor no limit there can hold an overload off
        shut = not t.sent and self.out >= self.limit and self.view(now) < LIMIT_LEAST
        e = None if shut else self.choose(t, now)
        spent = e is None and t.ran and t.request_class.idempotency is not Idempotency.IDEMPOTENT
        if e is None and (spent or self._hopeless(t, now)):
            return self._give_up(t)  # no place in time, or nothing may be sent again: say so now
        if e is not None and self.keeping.answers_miss and f.index not in e.resume:
            if (
                f.index in e.load_requests
                or t.missed
                and (f.index in self.fleet.loading or f.index in self.wanted)
            ):
                e = None  # wait for the order rather than miss again
        if e is None:
            f.held[t.index] = None
            heapq.heappush(self.due, (now + LOOK_AGAIN_MS, t.index))
            return None
        return self._send(t, e, now)

    def _hopeless(self, t: Request, now: float) -> bool:
        """No place: a client's repeat and what can't be in time give way, then what has waited too long.
        Danger: a load that hangs, or a list that stays empty, would hold a request to its outer limit."""
        if not self.ready or t.function.index in self.fleet.loading:
            return now > t.patient_until
        late = now > t.latency_objective_at_ms - (1.0 - HOLD_SHARE) * t.request_class.latency_objective_ms
        least = min(self.kind_pace.values(), default=1.0)
        return t.repeat or late or t.size * least > LATE * t.request_class.latency_objective_ms

    def _fit(self, t: Request, e: Executor, now: float) -> bool:
        """Whether the rules allow it, and nothing speaks against this executor for this request."""
        index, known = e.endpoint.executor, t.function.index in e.resume
        if e.busy >= e.limit or now < e.refused.get(t.tenant, now) or index in t.tried:
            return False
        if t.kind in e.errors and self._errors(e, t.kind, now) > ERRORS:
            return False
        if index in t.missed and not known or any(x.executor is e for x in t.out.values()):
            return False
        return self.gate.send(t, e, len(self.ready), now)

    def _errors(self, e: Executor, request_class: int, now: float) -> float:
        """The share of errors in its answers to this request class; it fades, so that it is tried again."""
        share, at = e.errors.get(request_class, (0.0, now))
        return share * math.exp((at - now) / ERRORS_SPAN_MS)

    def view(self, now: float) -> float:
        """Own requests in flight for each executor, if all were as quick as the quicker half. Danger: in a
        jam what is in flight grows, the view looks rich, and the limit that would end the jam is off."""
        span = ASKED_SPAN_MS * (1.0 - math.exp((self.start - now - TIDY_MS) / ASKED_SPAN_MS))
        return self.asked / self.mean_size * self.quick_ms / span / max(1, len(self.ready))

    def homes(self, f: Function, now: float) -> int:
        """How many executors by the shared rank count as skilled unseen: the function's share of the fleet
        or of its lanes, where own requests are too few to tell. Danger: each guess too many costs a load."""
        share = (f.asked - math.sqrt(f.asked * self.mean_size)) / (self.asked + ASKED_PRIOR * self.mean_size)
        lanes = self.gate.told_rate * self.mean_ms / (LANES_FILLED * f.lanes)
        seen = 1.0 + OWN_VIEW * self.view(now)
        return max(not f.skilled, int(share * max(SPREAD * len(self.ready), lanes) / seen))

    def choose(self, t: Request, now: float) -> Executor | None:
        """The design page: the skilled executor with the least weighted backlog; one is passed over only
        with no free lane by our count and past variance x mean; else overflow to an unskilled one."""
        f = t.function
        some = [*f.skilled.values(), *f.ranked(self.fleet, self.homes(f, now))]
        step = len(some) // MANY
        homes = dict.fromkeys(some[int(self.random_source.random() * step) :: step] if step > 1 else some)
        skilled = [e for e in homes if self._fit(t, e, now)]
        mean = self.out / max(1, len(self.ready)) * self.mean_ms
        limit = VARIANCE * max(mean, self.mean_ms)
        sparse = self.view(now) < SPARSE  # danger: then our counts of what is in flight tell nothing
        kept = [
            e
            for e in skilled
            if not sparse
            and sum(x.function is f for x in e.out.values()) < f.lanes
            or self.backlog(e, now) + sparse * self.pace(e, now) * self.mean_size <= limit
        ]
        if kept:
            return min(kept, key=lambda e: (self._expected(e, t, now), self.random_source.random()))
        # danger: in an overload every function would overflow at once, and the loads make all slower
        n = len(self.ready)
        closed = self.fleet.crowded > CLOSED_SHARE * n
        loads = self.fleet.load_requests >= LOADS_SHARE * n or f.index in self.fleet.loading
        if not f.skilled or not closed and not loads:
            for e in f.order.all(
                self.fleet.ring
            ):  # the page leaves the executor of a new load open: the shared rank picks it
                calm = self.backlog(e, now) <= (mean if f.skilled else limit)
                if e not in homes and calm and self._fit(t, e, now):
                    return e
        return min(
            skilled, key=lambda e: (self._expected(e, t, now), self.random_source.random()), default=None
        )

    def _expected(self, e: Executor, t: Request, now: float) -> float:
        """The weighted backlog with this request, and the load that it would wait for."""
        load_ms = t.function.load_ms if t.function.index in e.load_requests else 0.0
        return self.backlog(e, now) + self.pace(e, now) * t.size + load_ms

    def pace(self, e: Executor, now: float) -> float:
        """What was seen fades to the machine kind's pace, which an unheard executor takes."""
        usual = self.kind_pace.get(e.endpoint.machine, 1.0)
        return usual + (e.pace - usual) * math.exp((e.paced_ms - now) / PACE_SPAN_MS) if e.pace else usual

    def backlog(self, e: Executor, now: float) -> float:
        """In flight times the average time of a request, in ms."""
        return len(e.out) * self.pace(e, now) * self.mean_size

    def _send(self, t: Request, e: Executor, now: float) -> Decision | None:
        f = t.function
        if not self.gate.send(t, e, len(self.ready), now):  # whatever chose it
            return None
        skilled = f.index in e.resume and f.index not in e.load_requests
        load_ms = 0.0 if skilled else f.load_ms
        expected = t.size * self.pace(e, now)
        due_ms = now + OVERDUE_FACTOR * (expected + load_ms) + OVERDUE_SLACK_MS
        if skilled:  # while another one could still be in time
            due_ms = min(
                due_ms, max(now + OVERDUE_LEAST * expected, t.latency_objective_at_ms - 1.5 * expected)
            )
        # danger: a stamped one that waits for a load may end as never run, and still binds what is beside it
        t.ran.extend(map(Attempt.run, t.out.values()))
        sent = Attempt(t.sent, e, f, now, due_ms)
        t.out[t.sent] = e.out[(t.index, t.sent)] = sent
        self.out += 1
        t.sent += 1
        if not self.keeping.answers_miss and f.index not in e.resume:
            self._skilled(e, f, now)  # it takes the request and gains the skill
            e.load_requested(f.index, now)
        sent.busy = f.index not in e.load_requests
        e.weigh(sent.busy)
        if self.gate.is_cold(e, now):
            e.cold_sends.append(now)
        t.function.held.pop(t.index, None)
        heapq.heappush(self.due, (due_ms, t.index))
        return Decision(Verb.SEND, t.index, e.endpoint.executor)

    def _second(self, t: Request, now: float) -> Decision | None:
        """A further attempt beside one that is overdue, if the budget has one."""
        for latest in t.out.values():
            if now >= latest.due_ms and not latest.overdue:
                latest.overdue = True
                self.out -= 1  # written off: what hangs must not keep the rest from being sent
                if not self._untimely(now):  # danger: it takes requests and answers none
                    self._doubted(latest.executor, now)
        if len(t.out) > 1 or not latest.overdue or self.seconds < 1.0:
            return None
        e = self.choose(t, now)
        if e is None or t.function.index not in e.resume:  # only a warm copy is worth it
            return None
        self.seconds -= 1.0
        return self._send(t, e, now)

    def _order(self, e: Executor, f: Function, now: float) -> Decision | None:
        if (
            len(e.load_requests) >= LOAD_REQUESTS_PER_EXECUTOR
            or f.index in e.load_requests
            or not self.gate.order(e, now)
        ):
            return None
        e.load_requested(f.index, now)
        self.under_way[e.endpoint.executor, f.index] = now + OVERDUE_FACTOR * f.load_ms
        self.gate.load_requested.append(now)
        return Decision(Verb.PREFETCH, executor=e.endpoint.executor, function=f.index, number=1)

    def _tidy(self, now: float) -> None:
        """Forget what is stale, so that memory stays bounded; renew what is counted over the fleet."""
        self.gate.forget(now)
        self.warm = dict(Counter(e.endpoint.machine for e in self.ready if not self.gate.is_cold(e, now)))
        for e in self.executors.values():
            for index in [i for i, at in e.resume.items() if now - at > self.keeping.least_keep_ms]:
                self._unskilled(e, self.functions[index])
            while e.cold_sends and now - e.cold_sends[0] > 2 * self.gate.cold.warm_ms:
                e.cold_sends.popleft()
        busy = {t.function.index for t in self.requests.values()}
        busy.update(i for e in self.executors.values() for i in (*e.resume, *e.load_requests))
        self.wanted = {i: e for i, e in self.wanted.items() if i in busy}
        # danger: one that hangs must not stop all loads
        self.under_way = {order: overdue for order, overdue in self.under_way.items() if now < overdue}
        gone = [
            i
            for i, e in self.executors.items()
            if e.endpoint.stage is Stage.GONE
            and not e.out
            and now > e.told_ms + self.keeping.load_request_timeout_ms
        ]
        old = [i for i, f in self.functions.items() if i not in busy and now - f.used_ms > FORGET_FUNCTION_MS]
        for e in map(self.executors.__getitem__, gone):
            self._unskilled(e, *map(self.functions.__getitem__, e.resume))
        for known, stale, free in (
            (self.executors, gone, self.free.executors),
            (self.functions, old, self.free.functions),
        ):
            for index in stale:
                del known[index]
            free.extend(stale)
