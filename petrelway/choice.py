"""The decisions of one petrelway front end.

How to call it: make a FrontEnd, tell it all that happens through its input methods (they only
update what is known), then call decide(now) until it returns None and carry each Decision out.
released() hands back the indices that may be used anew. The types are in petrelway/interface.py.
The ordinary path is `choose`; the five rules stand in Gate, which every send passes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from hashlib import blake2b

from .interface import (
    NEVER_RAN, ColdRule, Customer, Decision, Effect, Keeping, Listing, LoadRation, Outcome, Permits, Place,
    Released, Scope, Stage, Tariff, Verb, Warmth)

# Tuned values. Times in ms.
VARIANCE = 2.0  # a skilled executor without a free lane is passed over past this times the mean backlog
PACE_GAIN = 0.15  # weight of one answer in an executor's pace (latency over size); clipped at PACE_CLIP
PACE_CLIP = 4.0  # one dear trigger counts at most as this many times the present pace
UNHEARD_SIZE_MS = 200.0  # size of a trigger before any answer or hint
UNHEARD_LOAD_MS = 1000.0  # time of a load before one was seen
REPORT_LIFE_MS = 2000.0  # a report's word on others' triggers fades to nothing over this time
OVERDUE_FACTOR = 4.0  # a transmission is overdue past this times its expected time ...
OVERDUE_SLACK_MS = 60.0  # ... plus this
SECOND_SHARE = 0.05  # further transmissions earned per trigger taken: they cannot feed an overload
SECOND_SAVED = 15.0  # most of them saved up, enough to rescue what one silent executor held
AILING_OVERDUE = 3  # functions overdue at one executor, and nothing heard since they were sent: silent
AILING_ERRORS = 0.3  # share of recent answers that are errors
AILING_PACE = 5.0  # times the median pace
ERROR_GAIN = 0.2  # weight of one answer in an executor's share of errors
WELL_ERRORS = 0.12  # and below this share it is well again
TRIAL_MS = 1000.0  # an ailing executor gets one trigger each so often
FULL_REST_MS = 60.0  # an executor that answered full is left alone for this time
LOOK_AGAIN_MS = 40.0  # a held trigger is looked at again after this time
ANSWER_EARLY_MS = 6.0  # the final answer goes out this long before the client's time is up
WINDOW_EARLY_MS = 60.0  # a stamped repeat must arrive this long before its mark is forgotten
COLD_MARGIN = 0.6  # share of what rule 4 lets a front end send, for bursts and chance
RATE_SPAN_MS = 10000.0  # span over which fulfilled triggers are averaged for rule 4
RATION_EDGE_MS = 20.0  # both edges of the ration's window are read to our disadvantage
DEMAND_SPAN_MS = 3000.0  # span over which a customer's rate is averaged
ORDERS_KEPT = 2.0  # of the ration, kept back for functions with no copy anywhere
ORDERS_PER_EXECUTOR = 3  # own orders under way at one executor
ORDER_LATE = 2.5  # an order counts as lost past this times the expected load time
LIMIT_START = 12.0  # own triggers at one executor before it was seen to slow down
LIMIT_LEAST = 2.0  # never less, or it would not be seen to recover
CROWDED = 0.5  # answers slower than this share of the quoted time: the executor has too much in flight
LIMIT_GROW = 2.0  # the limit grows by this in the time of an answer
HOLD_SHARE = 0.3  # a trigger waits for a place at most this share of its quoted time
LIMIT_CUT = 0.9  # the limit is cut by this at most once in the time of an answer
OPEN_SHARE = 0.75  # no overflow while fewer of the able executors than this are open
LOADS_SHARE = 0.16  # nor while more own loads than this are under way for each of them
OVER_SHARE = 1.2  # a customer is beyond its share past this times its told rate, and its told portion
TIDY_MS = 1000.0  # forgetting is done this often
FORGET_FUNCTION_MS = 60000.0  # a function not asked for this long is forgotten


class Transmission:
    """One transmission that is out."""

    def __init__(self, number: int, executor: Executor, sent_ms: float, due_ms: float) -> None:
        self.number, self.executor = number, executor
        self.sent_ms, self.due_ms = sent_ms, due_ms
        self.busy = True  # not known to wait for a load
        self.overdue = self.withdrawn = False


class Trigger:
    """One trigger, from the taking to the end of its last transmission."""

    def __init__(self, index: int, tariff: Tariff, customer: int, function: Function, size: float,
                 now: float, remaining_ms: float) -> None:
        self.index, self.tariff, self.customer = index, tariff, customer
        self.function, self.size = function, size
        self.answer_by = now + remaining_ms - min(ANSWER_EARLY_MS, remaining_ms / 2)
        self.quoted_by = now + tariff.quoted_ms
        self.out: dict[int, Transmission] = {}
        self.sent = 0
        self.ran: list[tuple[int, int, float]] = []  # hall, cell, time of ended sends that may have run
        self.answered = False  # no answer is owed any more
        self.repeat = False  # the client asks again
        self.tried: set[int] = set()  # executors that failed it


class Skill:
    """A line of an executor's resume."""

    def __init__(self, seen_ms: float, copies: int = 1) -> None:
        self.seen_ms, self.copies = seen_ms, copies


class Executor:
    """What is known of one executor process."""

    def __init__(self, listing: Listing, now: float) -> None:
        self.listing = listing
        self.told_ms = now  # when the present stage was first told
        self.out: dict[tuple[int, int], Transmission] = {}
        self.lanes_used: dict[int, int] = {}  # function -> own transmissions out
        self.busy = 0  # those of them that do not wait for a load
        self.restart(listing)

    def restart(self, listing: Listing) -> None:
        """A new process: empty, unheard, and well until it shows otherwise."""
        self.resume: dict[int, Skill] = {}
        self.pace = 0.0  # 0: unheard
        self.others, self.report_ms, self.errors = 0.0, -math.inf, 0.0
        self.limit, self.cut_ms = LIMIT_START, -math.inf
        self.heard_ms = -math.inf
        self.ill = False  # its share of errors went past AILING_ERRORS
        self.overdue: set[int] = set()  # functions found overdue with nothing heard since they were sent
        self.full_until = self.trial_at = -math.inf
        self.cold_sends: deque[float] = deque()
        self.orders: dict[int, float] = {}  # function -> when ordered


class Function:
    """What is known of one function."""

    def __init__(self, index: int, stable: str, lanes: int, load_ms: float) -> None:
        self.index, self.stable = index, stable
        self.lanes, self.load_ms = max(1, lanes), load_ms
        self.mean_ms = self.used_ms = 0.0
        self.held: dict[int, None] = {}  # triggers that wait for a copy
        self.ranks: dict[str, int] = {}

    def rank(self, stable: str) -> int:
        """A draw that all front ends share without a word: loads of a function meet at one executor."""
        if stable not in self.ranks:
            text = f"{self.stable} {stable}".encode()
            self.ranks[stable] = int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
        return self.ranks[stable]


class Usual:
    """What a warm executor of each machine kind is seen to carry of this front end's triggers."""

    def __init__(self, start: float, customers: Iterable[Customer], peers: int) -> None:
        self.start = start
        self.told_rate = sum(c.rate for c in customers) / 1000.0 / max(1, peers)
        self.seen: dict[int, tuple[float, float]] = {}  # machine -> decayed count, time
        self.kept: dict[int, float] = {}

    def fulfilled(self, machine: int, warm: int, now: float) -> None:
        count, at = self.seen.get(machine, (0.0, now))
        self.seen[machine] = count, _ = count * math.exp((at - now) / RATE_SPAN_MS) + 1.0, now
        span = RATE_SPAN_MS * (1.0 - math.exp((self.start - now) / RATE_SPAN_MS)) + RATE_SPAN_MS / 5
        if warm:
            self.kept[machine] = count / span / warm

    def rate(self, machine: int, listed: int) -> float:
        """Triggers per ms. Danger: a restarted front end has no history; then the customers' shares,
        which the fleet can carry, are split evenly over front ends and executors, and halved."""
        return max(self.kept.get(machine, 0.0), 0.5 * self.told_rate / max(1, listed))


class Gate:
    """The five rules, at the one place that every transmission, order and final answer passes."""

    def __init__(self, permits: Permits, cold: ColdRule, ration: LoadRation, usual: Usual) -> None:
        self.permits, self.cold, self.ration, self.usual = permits, cold, ration, usual
        self.taken, self.ordered = deque[float](), deque[float]()

    def send(self, t: Trigger, e: Executor, listed: int, now: float) -> bool:
        if t.answered or now >= t.answer_by or t.sent >= self.permits.transmissions:  # rule 1
            return False
        if t.out and not self.permits.second_copies:
            return False
        if e.listing.stage is not Stage.READY:  # rule 3, without using the grace
            return False
        if (t.ran or t.out) and not self._repeat(t, e.listing, now):
            return False
        return self._warm_enough(e, listed, now)

    def _repeat(self, t: Trigger, at: Listing, now: float) -> bool:
        """Rule 2: a trigger that may have run goes out again only where that does no harm."""
        tariff = t.tariff
        if tariff.effect is not Effect.STAMPED:
            return tariff.effect is Effect.HARMLESS
        out = [(x.executor.listing.hall, x.executor.listing.cell, x.sent_ms) for x in t.out.values()]
        for hall, cell, sent_ms in t.ran + out:
            if now > sent_ms + tariff.window_ms - WINDOW_EARLY_MS:
                return False
            scope = tariff.scope
            if (scope is Scope.HALL and hall != at.hall) or (scope is Scope.CELL and cell != at.cell):
                return False
        return True

    def is_cold(self, e: Executor, now: float) -> bool:
        return now < e.listing.started_ms + self.cold.warm_ms

    def _warm_enough(self, e: Executor, listed: int, now: float) -> bool:
        """Rule 4: the sum over all front ends is unknown, but if each stays under the least present
        share of what it usually sends to a warm executor of the kind, so does the sum."""
        if not self.is_cold(e, now):
            return True
        cold = self.cold
        grown = max(0.0, now - e.listing.started_ms) / cold.warm_ms
        share = cold.start_share + (1.0 - cold.start_share) * grown
        rate = COLD_MARGIN * cold.multiple * share * self.usual.rate(e.listing.machine, listed)
        if rate <= 0.0:
            return False
        span = max(cold.span_ms, 1.0 / rate)
        recent = sum(1 for at in e.cold_sends if at > now - span)
        return recent + 1 <= rate * span + 1e-9

    def order(self, e: Executor, kept: float, now: float) -> bool:
        return e.listing.stage is Stage.READY and self.orders_left(now) >= 1.0 + kept  # rules 3, 5

    def orders_left(self, now: float) -> float:
        ration = self.ration
        if ration.window_ms <= 0.0:
            return math.inf
        while self.ordered and self.ordered[0] < now - ration.window_ms - RATION_EDGE_MS:
            self.ordered.popleft()
        while self.taken and self.taken[0] < now - ration.window_ms + RATION_EDGE_MS:
            self.taken.popleft()
        return ration.free + ration.share * len(self.taken) - len(self.ordered)

    def nack(self, t: Trigger) -> bool:
        """Rule 2: a nack says that a repeat does no harm."""
        if not (t.ran or t.out) or t.tariff.effect is Effect.HARMLESS:
            return True
        return t.tariff.effect is Effect.STAMPED and t.tariff.scope is Scope.ALL


class FrontEnd:
    """One instance: what it knows and what it decides."""

    def __init__(self, now: float, seed: int, place: Place, tariffs: list[Tariff], customers: list[Customer],
                 permits: Permits, keeping: Keeping, cold: ColdRule, ration: LoadRation) -> None:
        self.chance = random.Random(seed)
        self.place, self.customers = place, customers
        self.demand: dict[int, list[float]] = {}  # customer -> decayed count, time
        self.tariffs, self.permits, self.keeping = tariffs, permits, keeping
        self.usual = Usual(now, customers, place.peers)
        self.gate = Gate(permits, cold, ration, self.usual)
        self.executors: dict[int, Executor] = {}
        self.ready: list[Executor] = []
        self.triggers: dict[int, Trigger] = {}
        self.functions: dict[int, Function] = {}
        self.attention: deque[int] = deque()
        self.due: list[tuple[float, int]] = []  # when to look at a trigger; -1: tidy up
        self.wake_ms = math.inf
        self.wanted: deque[tuple[Executor, Function]] = deque()
        self.seconds = SECOND_SAVED
        self.mean_ms = self.mean_size = UNHEARD_SIZE_MS
        self.load_mean_ms = UNHEARD_LOAD_MS
        self.median_pace = 1.0
        self.free = Released([], [], [])
        heapq.heappush(self.due, (now + TIDY_MS, -1))

    def executors_listed(self, now: float, listings: Iterable[Listing], complete: bool) -> None:
        named = set()
        for listing in listings:
            named.add(listing.executor)
            e = self.executors.get(listing.executor)
            if e is None:
                self.executors[listing.executor] = Executor(listing, now)
                continue
            if listing.started_ms > e.listing.started_ms:
                e.restart(listing)
            if listing.stage is not e.listing.stage:
                e.told_ms = now
            e.listing = listing
        if complete:
            for index, e in self.executors.items():
                if index not in named and e.listing.stage is not Stage.GONE:
                    e.listing = e.listing._replace(stage=Stage.GONE)
                    e.told_ms = now
        self.ready = [e for e in self.executors.values() if e.listing.stage is Stage.READY]
        for f in self.functions.values():
            self.attention.extend(f.held)

    def function_named(self, now: float, function: int, stable: str, memory_mb: float, lanes: int,
                       load_ms: float) -> None:
        """Once for each index, before the function's first trigger."""
        f = self.functions[function] = Function(function, stable, lanes, load_ms)
        f.used_ms = now

    def trigger_taken(self, now: float, trigger: int, tariff: int, customer: int, function: int,
                      remaining_ms: float, work_ms: float, repeat: bool) -> None:
        f = self.functions[function]
        f.used_ms = now
        size = work_ms or f.mean_ms or self.mean_ms
        self.mean_size += 0.02 * (size - self.mean_size)
        t = Trigger(trigger, self.tariffs[tariff], customer, f, size, now, remaining_ms)
        self.triggers[trigger] = t
        self.gate.taken.append(now)
        seen = self.demand.setdefault(customer, [0.0, now])
        t.repeat = repeat
        seen[:] = seen[0] * math.exp((seen[1] - now) / DEMAND_SPAN_MS) + (not repeat), now
        self.seconds = min(SECOND_SAVED, self.seconds + SECOND_SHARE)
        self.attention.append(trigger)
        heapq.heappush(self.due, (t.answer_by, trigger))

    def transmission_ended(self, now: float, trigger: int, number: int, outcome: Outcome, took_ms: float,
                           finished: bool, warmth: Warmth, crowd: int, report: Mapping[str, float]) -> None:
        t = self.triggers.get(trigger)
        sent = t.out.pop(number, None) if t else None
        if t is None or sent is None:
            return
        e = sent.executor
        e.out.pop((trigger, number), None)
        e.busy -= sent.busy
        if not self.keeping.answers_miss:
            e.orders.pop(t.function.index, None)
        f = t.function
        e.lanes_used[f.index] -= 1
        if not e.lanes_used[f.index]:
            del e.lanes_used[f.index]
        if outcome not in NEVER_RAN:
            t.ran.append((e.listing.hall, e.listing.cell, sent.sent_ms))
        t.answered = t.answered or finished
        if sent.sent_ms >= e.listing.started_ms or not e.listing.started_ms:
            self._learn(now, t, sent, outcome, took_ms, warmth)
            self._reported(e, report, now)
        if outcome not in (Outcome.FULFILLED, Outcome.WITHDRAWN, Outcome.MISS):
            t.tried.add(e.listing.executor)
        self.attention.append(trigger)

    def _learn(self, now: float, t: Trigger, sent: Transmission, outcome: Outcome, took_ms: float,
               warmth: Warmth) -> None:
        e, f = sent.executor, t.function
        if outcome in (Outcome.FULFILLED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            e.heard_ms = now
            e.overdue.clear()
        if outcome is Outcome.FULFILLED:
            e.errors *= 1.0 - ERROR_GAIN
            skill = e.resume.setdefault(f.index, Skill(now))
            skill.seen_ms = now
            if warmth in (Warmth.FOUND, Warmth.UNTOLD):
                self._paced(e, t, took_ms, now)
            elif warmth is Warmth.BEGAN:
                self._load_seen(f, took_ms - t.size * (e.pace or self.median_pace))
        elif outcome is Outcome.MISS:
            e.resume.pop(f.index, None)
            if self.keeping.answers_miss and self.keeping.orders and warmth is not Warmth.LOAD_FAILED:
                self.wanted.append((e, f))
        elif outcome is Outcome.FULL:
            e.full_until = now + FULL_REST_MS
        elif outcome is Outcome.ERROR and warmth is not Warmth.LOAD_FAILED:
            e.errors += ERROR_GAIN * (1.0 - e.errors)  # danger: one that fails fast looks idle
        elif outcome in (Outcome.UNREACHABLE, Outcome.RESET):
            e.errors += 2 * ERROR_GAIN * (1.0 - e.errors)
        e.ill = e.errors > (WELL_ERRORS if e.ill else AILING_ERRORS)

    def _paced(self, e: Executor, t: Trigger, took_ms: float, now: float) -> None:
        f = t.function
        pace = took_ms / max(1.0, t.size)
        e.pace = e.pace or min(pace, self.median_pace * PACE_CLIP)
        gain = PACE_GAIN if e.pace < AILING_PACE * self.median_pace else 0.5  # on trial: re-read fast
        e.pace += gain * (min(pace, e.pace * PACE_CLIP) - e.pace)
        if e.pace * self.mean_size > CROWDED * t.tariff.quoted_ms:
            self._cut(e, now)
        elif e.busy + 1 >= e.limit:
            e.limit += LIMIT_GROW / e.limit
        took = min(took_ms, PACE_CLIP * (f.mean_ms or self.mean_ms))
        f.mean_ms = f.mean_ms + PACE_GAIN * (took - f.mean_ms) if f.mean_ms else took
        self.mean_ms += 0.02 * (took - self.mean_ms)
        if not self.gate.is_cold(e, now):
            kind = e.listing.machine
            warm = sum(1 for x in self.ready if x.listing.machine == kind and not self.gate.is_cold(x, now))
            self.usual.fulfilled(kind, warm, now)

    def _cut(self, e: Executor, now: float) -> None:
        """Danger: in an overload all is answered late; less in flight, and in time, is worth more."""
        if now > e.cut_ms + self.mean_ms:
            e.limit, e.cut_ms = max(LIMIT_LEAST, LIMIT_CUT * min(e.limit, e.busy + 1.0)), now

    def _load_seen(self, f: Function, took_ms: float) -> None:
        if took_ms > 0.0:
            self.load_mean_ms += 0.1 * (min(took_ms, 5 * self.load_mean_ms) - self.load_mean_ms)
            f.load_ms = f.load_ms + 0.3 * (took_ms - f.load_ms) if f.load_ms else took_ms

    def _reported(self, e: Executor, report: Mapping[str, float], now: float) -> None:
        if report:
            e.others, e.report_ms = report.get("queue", 0.0), now
            if "inflight" in report:
                e.others = max(0.0, report["inflight"] - len(e.out))

    def order_answered(self, now: float, executor: int, function: int, outcome: Outcome, copies: int,
                       took_ms: float) -> None:
        e, f = self.executors.get(executor), self.functions.get(function)
        if e is None or f is None:
            return
        e.orders.pop(function, None)
        if outcome is Outcome.FULFILLED and copies > 0:
            e.resume[function] = Skill(now, copies)
            self._load_seen(f, took_ms)
        elif outcome is Outcome.FULL:
            e.full_until = now + FULL_REST_MS
        elif outcome in (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT):
            e.errors += 2 * ERROR_GAIN * (1.0 - e.errors)
        self.attention.extend(f.held)

    def probe_answered(self, now: float, executor: int, report: Mapping[str, float]) -> None:
        if executor in self.executors:
            self._reported(self.executors[executor], report, now)

    def client_gone(self, now: float, trigger: int) -> None:
        if trigger in self.triggers:
            self.triggers[trigger].answered = True
            self.attention.append(trigger)

    def time_passed(self, now: float) -> None:
        self.wake_ms = math.inf

    def decide(self, now: float) -> Decision | None:
        """The next thing to do, or None."""
        while self.due and self.due[0][0] <= now:
            _, trigger = heapq.heappop(self.due)
            if trigger >= 0:
                self.attention.append(trigger)
            else:
                self._tidy(now)
                heapq.heappush(self.due, (now + TIDY_MS, -1))
        while self.wanted:
            decision = self._order(*self.wanted.popleft(), 1, now)
            if decision is not None:
                return decision
        while self.attention:
            t = self.triggers.get(self.attention[0])
            decision = self._for_trigger(t, now) if t is not None else None
            if decision is not None:
                return decision
            self.attention.popleft()
        if not self.due or self.due[0][0] >= self.wake_ms:
            return None
        self.wake_ms = self.due[0][0]
        return Decision(Verb.WAKE, ms=self.wake_ms)

    def released(self) -> Released:
        free, self.free = self.free, Released([], [], [])
        return free

    def _for_trigger(self, t: Trigger, now: float) -> Decision | None:
        if t.answered:
            t.function.held.pop(t.index, None)
            return self._withdraw(t)
        if now >= t.answer_by:
            return self._give_up(t)
        return self._second(t, now) if t.out else self._place(t, now)

    def _withdraw(self, t: Trigger) -> Decision | None:
        """Nobody waits for these transmissions any more: spare the executors the work."""
        for sent in t.out.values():
            if not sent.withdrawn and self.permits.withdraw:
                sent.withdrawn = True
                return Decision(Verb.WITHDRAW, t.index, number=sent.number)
        if not t.out and self.triggers.pop(t.index, None):
            self.free.triggers.append(t.index)
        return None

    def _give_up(self, t: Trigger) -> Decision:
        """Rule 1: the one final answer, at once."""
        t.answered = True
        if self.gate.nack(t):
            return Decision(Verb.NACK, t.index, ms=min(self.permits.longest_retry_ms, self.mean_ms))
        return Decision(Verb.BREAK_OFF, t.index)

    def _place(self, t: Trigger, now: float) -> Decision | None:
        f = t.function
        if t.sent >= self.permits.transmissions:
            return self._give_up(t)
        able = self._able(t, now)
        e = self.choose(f, able, now) if able else None
        spent = not able and t.ran and t.tariff.effect is not Effect.HARMLESS
        if e is None and (spent or self._hopeless(t, now)):
            return self._give_up(t)  # no place in time, or nothing may be sent again: say so now
        missing = self.keeping.answers_miss and e is not None and f.index not in e.resume
        if e is None or missing and self._loading(f, now):  # wait for the order rather than miss again
            f.held[t.index] = None
            heapq.heappush(self.due, (now + LOOK_AGAIN_MS, t.index))
            return None
        return self._send(t, e, now)

    def _hopeless(self, t: Trigger, now: float) -> bool:
        """No place: what is beyond a customer's share goes first, then what has waited too long."""
        if not self.ready:
            return False
        if t.customer < len(self.customers):
            customer, seen = self.customers[t.customer], self.demand[t.customer][0]
            rate = seen / DEMAND_SPAN_MS * 1000.0 * self.place.peers
            # both ways to look at it: front ends may differ much in size
            more = seen > OVER_SHARE * customer.portion * sum(d[0] for d in self.demand.values())
            if more and 0.0 < OVER_SHARE * customer.rate < rate:
                return True
        return t.repeat or now > t.quoted_by - (1.0 - HOLD_SHARE) * t.tariff.quoted_ms

    def _loading(self, f: Function, now: float) -> bool:
        return any(self._under_way(e, f, now) for e in self.ready)

    def _under_way(self, e: Executor, f: Function, now: float) -> bool:
        at = e.orders.get(f.index)
        return at is not None and now < at + ORDER_LATE * (f.load_ms or self.load_mean_ms)

    def _able(self, t: Trigger, now: float) -> list[Executor]:
        """Executors that the rules allow, the well ones first: one that ails takes one trigger a while."""
        out = {x.executor for x in t.out.values()}
        allowed = [e for e in self.ready if e not in out and self.gate.send(t, e, len(self.ready), now)]
        allowed = [e for e in allowed if e.listing.executor not in t.tried] or allowed
        well = [e for e in allowed if not self.ailing(e, now)]
        if t.tariff.effect is Effect.HARMLESS and not t.sent:
            for e in allowed:
                if now >= e.trial_at and self.ailing(e, now) and well:
                    return [e]
        return well or allowed

    def ailing(self, e: Executor, now: float) -> bool:
        """Told by symptoms: silence, errors, or answers far slower than the fleet's."""
        return e.ill or e.pace > AILING_PACE * self.median_pace or len(e.overdue) >= AILING_OVERDUE

    def choose(self, f: Function, able: list[Executor], now: float) -> Executor | None:
        """The design page: the skilled executor with the least weighted backlog; one is passed over only
        with no free lane by our count and past variance x mean; else overflow to an unskilled one."""
        load = {e: self.backlog(e, now) for e in self.ready}
        weight = {e: (load[e], self.chance.random()) for e in able}
        mean = sum(load.values()) / len(load)
        limit = VARIANCE * max(mean, self.mean_size * self.median_pace)
        open_to = [e for e in able if now >= e.full_until and e.busy < e.limit]
        skilled = [e for e in open_to if f.index in e.resume]
        kept = [e for e in skilled if self.free_lane(e, f) or weight[e][0] <= limit]
        if kept:
            return min(kept, key=weight.__getitem__)
        known = any(f.index in e.resume for e in able)
        # danger: in an overload every function would overflow at once, and the loads make all slower
        loads = sum(len(e.orders) for e in self.ready)
        quiet = len(open_to) >= OPEN_SHARE * len(able) and loads < LOADS_SHARE * len(able)
        if not known or (quiet and not self._loading(f, now)):
            unskilled = [e for e in open_to if f.index not in e.resume]
            calm = [e for e in unskilled if weight[e][0] <= (mean if known else limit)]
            if calm:  # the page leaves the executor of a new load open: the shared rank picks it
                return max(calm, key=lambda e: f.rank(e.listing.stable))
            if not known:
                skilled = unskilled
        return min(skilled, key=weight.__getitem__, default=None)

    def backlog(self, e: Executor, now: float) -> float:
        """In flight times the average time of a trigger, in ms; others' triggers as reported."""
        fresh = max(0.0, 1.0 - (now - e.report_ms) / REPORT_LIFE_MS)
        return (len(e.out) + e.others * fresh) * (e.pace or self.median_pace) * self.mean_size

    def free_lane(self, e: Executor, f: Function) -> bool:
        return e.lanes_used.get(f.index, 0) < f.lanes * e.resume[f.index].copies

    def _send(self, t: Trigger, e: Executor, now: float) -> Decision | None:
        f = t.function
        if not self.gate.send(t, e, len(self.ready), now):
            return None
        skilled = f.index in e.resume
        if self.ailing(e, now):
            e.trial_at = now + TRIAL_MS
        load_ms = 0.0 if skilled else f.load_ms or self.load_mean_ms
        expected = t.size * (e.pace or self.median_pace) + load_ms
        due_ms = now + OVERDUE_FACTOR * expected + OVERDUE_SLACK_MS
        sent = Transmission(t.sent, e, now, due_ms)
        t.out[t.sent] = e.out[(t.index, t.sent)] = sent
        e.lanes_used[f.index] = e.lanes_used.get(f.index, 0) + 1
        t.sent += 1
        if not self.keeping.answers_miss and not skilled:
            e.resume[f.index] = Skill(now)  # it takes the trigger and gains the skill
            e.orders[f.index] = now
        sent.busy = f.index not in e.orders
        e.busy += sent.busy
        if self.gate.is_cold(e, now):
            e.cold_sends.append(now)
        t.function.held.pop(t.index, None)
        heapq.heappush(self.due, (due_ms, t.index))
        return Decision(Verb.SEND, t.index, e.listing.executor)

    def _second(self, t: Trigger, now: float) -> Decision | None:
        """A further transmission beside one that is overdue, if the budget has one."""
        latest = None
        for sent in t.out.values():
            if now >= sent.due_ms and not sent.overdue:
                sent.overdue = True
                if sent.sent_ms >= sent.executor.heard_ms:
                    sent.executor.overdue.add(t.function.index)
                    if len(sent.executor.overdue) == AILING_OVERDUE:  # silent: look at all it holds at once
                        self.attention.extend(index for index, _ in sent.executor.out)
            silent = len(sent.executor.overdue) >= AILING_OVERDUE and sent.sent_ms >= sent.executor.heard_ms
            sent.overdue |= silent and now > sent.sent_ms + OVERDUE_SLACK_MS
            latest = sent
        if latest is None or len(t.out) > 1 or not latest.overdue or self.seconds < 1.0:
            return None
        able = self._able(t, now)
        if not self.ailing(latest.executor, now):  # only a warm copy is worth it
            able = [e for e in able if t.function.index in e.resume]
        e = self.choose(t.function, able, now) if able else None
        self.seconds -= e is not None
        return self._send(t, e, now) if e is not None else None

    def _order(self, e: Executor, f: Function, copies: int, now: float) -> Decision | None:
        kept = ORDERS_KEPT if any(f.index in x.resume for x in self.ready) else 0.0
        most = len(e.orders) >= ORDERS_PER_EXECUTOR
        if most or self._under_way(e, f, now) or not self.gate.order(e, kept, now):
            return None
        e.orders[f.index] = now
        self.gate.ordered.append(now)
        return Decision(Verb.ORDER, executor=e.listing.executor, function=f.index, number=copies)

    def _tidy(self, now: float) -> None:
        """Forget what is stale, so that memory stays bounded."""
        paces = sorted(e.pace for e in self.ready if e.pace)
        if paces:
            self.median_pace = paces[len(paces) // 2]
        for e in self.executors.values():
            idle = [i for i, s in e.resume.items()
                    if now - s.seen_ms > self.keeping.least_keep_ms and i not in e.lanes_used]
            for index in idle:
                del e.resume[index]
            e.orders = {i: at for i, at in e.orders.items() if now < at + 2 * self.keeping.order_timeout_ms}
            while e.cold_sends and now - e.cold_sends[0] > 2 * self.gate.cold.warm_ms:
                e.cold_sends.popleft()
        busy = {t.function.index for t in self.triggers.values()}
        busy.update(i for e in self.executors.values() for i in (*e.resume, *e.orders))
        gone = [i for i, e in self.executors.items() if e.listing.stage is Stage.GONE and not e.out
                and now > e.told_ms + self.keeping.order_timeout_ms]
        old = [i for i, f in self.functions.items() if i not in busy and now - f.used_ms > FORGET_FUNCTION_MS]
        for known, stale, free in ((self.executors, gone, self.free.executors),
                                   (self.functions, old, self.free.functions)):
            for index in stale:
                del known[index]
            free.extend(stale)
