"""What a fleet spends to know its executors while discovery is out of reach, for each request.

Front ends are real routing cores on one simulated clock; executors are modelled: each answers after its work,
turns work away while it drains, and answers probes. Printed for each size: probes for each request before
and in the outage, most probes that one executor got within 100 ms, share served before and in the outage,
and sends later than the rule allows.

Then, where probes are forbidden, executors answering misses or loading on demand: half of them drain at the
moment at which that counts as notified, half of the rest five seconds later. Printed are misses and loads for
each request, share served, and the share of the front ends that know nobody at the end. Run as
`python benchmarks/discovery_outage.py [--without-probes]`.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import Counter, defaultdict
from typing import NamedTuple

from petrelway.routing.router import FrontEnd
from petrelway.routing.types import (
    ActionKind,
    Capabilities,
    DrainRule,
    Endpoint,
    FleetPosition,
    Idempotency,
    LoadingSettings,
    LoadQuotaRule,
    Outcome,
    RequestClass,
    Scope,
    SlowStartRule,
    Stage,
    Tenant,
    Warmth,
)

START_MS = 100_000.0  # executors that started at 0 are warm by then
LOST_MS = START_MS + 10_000.0
OUTAGE_MS = 20_000.0
NOTIFIED_AFTER_MS = 4000.0
HEARTBEAT_MS = 1000.0
WORK_MS = 20.0
ROUND_TRIP_MS = 1.0
DEADLINE_MS = 2000.0
DRAINING_SHARE = 0.1  # of the executors, half a second into the outage
WINDOW_MS = 100.0
SIZES = ((3, 15), (3, 120), (50, 15), (50, 120), (200, 15), (200, 120))
GRACES_MS = (500.0, 2000.0)
REQUESTS_PER_S = 2.0  # at each front end
LOAD_MS = 200.0
ZONES = 3
FORBIDDEN_SIZES = ((3, 15), (50, 15), (50, 120), (200, 120))
FORBIDDEN_RATES = (2.0, 10.0, 50.0)
MOST_REQUESTS_PER_S = 2500.0  # of a fleet, in one run
NEXT_DRAIN_MS = 5000.0
DRAINING_GROUPS = 2  # half of the fleet, then half of the rest


class Play(NamedTuple):
    """One run's fleet and what it is allowed."""

    front_ends: int
    executors: int
    grace_ms: float
    requests_per_s: float = REQUESTS_PER_S
    probes: bool = True
    answers_miss: bool = False
    functions: int = 40
    on_demand: bool = False  # a request loads what its executor lacks

    def drains_ms(self) -> dict[int, float]:
        """When each executor that drains begins to."""
        if self.probes:
            count = max(1, int(DRAINING_SHARE * self.executors))
            return dict.fromkeys(range(count), LOST_MS + NOTIFIED_AFTER_MS / 8)
        found = {}
        left = list(range(self.executors))
        for group in range(DRAINING_GROUPS):
            at_ms = LOST_MS + NOTIFIED_AFTER_MS + group * NEXT_DRAIN_MS
            found |= dict.fromkeys(left[::2], at_ms)
            left = left[1::2]
        return found


class Outcomes(NamedTuple):
    """What one run showed."""

    probes: list[float]  # for each request: before, in the outage
    served: list[float]
    burst: int
    late: int
    misses: list[float]
    load_requests: list[float]
    know_nobody: float  # share of the front ends, at the end


class Fleet:
    """Front ends, executors and one queue of events."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.random_source = random.Random(f"{play.front_ends}/{play.executors}/{play.grace_ms}")
        self.now = START_MS
        self.queue: list[tuple] = []
        self.order = itertools.count()
        self.drains_ms = play.drains_ms()
        self.loaded: set[tuple[int, int]] = set()  # executor, function
        self.front_ends = [self._front_end(number) for number in range(play.front_ends)]
        self.serials = itertools.count()
        self.counts: Counter[tuple[str, int]] = Counter()
        self.probes_at: defaultdict[int, list[float]] = defaultdict(list)
        self.late = 0

    def _front_end(self, number: int) -> FrontEnd:
        play = self.play
        rate = play.front_ends * play.requests_per_s
        front_end = FrontEnd(
            START_MS,
            number,
            FleetPosition(number, play.front_ends, 0),
            [RequestClass(Idempotency.IDEMPOTENT, Scope.ALL, 0.0, 500.0, DEADLINE_MS, 1.0, 0.1)],
            [Tenant(1.0, rate)],
            Capabilities(5, True, True, play.probes, False, 500.0),
            LoadingSettings(play.answers_miss, True, 30_000.0, 10_000.0, 0.0),
            SlowStartRule(4.0, 1500.0, 0.2, 10_000.0),
            LoadQuotaRule(0.0, 0.0, 0.0),
            DrainRule(play.grace_ms),
        )
        entries = [
            Endpoint(e, f"e{e}", e % ZONES, 0, 0, Stage.READY, 1.0, 0.0) for e in range(play.executors)
        ]
        front_end.executors_listed(START_MS, entries, True)
        for function in range(play.functions):
            front_end.function_named(START_MS, function, f"f{function}", 100.0, 2, LOAD_MS)
        return front_end

    def _gap_ms(self) -> float:
        return self.random_source.expovariate(self.play.requests_per_s) * 1e3

    def _at(self, delay_ms: float, run, *arguments) -> None:
        heapq.heappush(self.queue, (self.now + delay_ms, next(self.order), run, arguments))

    def run(self) -> Outcomes:
        for number, front_end in enumerate(self.front_ends):
            self._at(self.random_source.random() * HEARTBEAT_MS, self._heartbeat, front_end)
            self._at(self._gap_ms(), self._request, number)
        while self.queue and self.queue[0][0] < LOST_MS + OUTAGE_MS:
            self.now, _, run, arguments = heapq.heappop(self.queue)
            run(*arguments)
        taken = [max(1, self.counts["taken", part]) for part in (0, 1)]
        return Outcomes(
            [self.counts["probe", part] / taken[part] for part in (0, 1)],
            [self.counts["served", part] / taken[part] for part in (0, 1)],
            max((most_within(times) for times in self.probes_at.values()), default=0),
            self.late,
            [self.counts["miss", part] / taken[part] for part in (0, 1)],
            [self.counts["load", part] / taken[part] for part in (0, 1)],
            sum(map(self._knows_nobody, self.front_ends)) / len(self.front_ends),
        )

    def _knows_nobody(self, front_end: FrontEnd) -> bool:
        leases = front_end.gate.leases
        return not any(leases.holds(executor, self.now) for executor in front_end.ready)

    def _part(self) -> int:
        """0 while discovery is there, 1 once what it would tell counts as notified, 2 in between."""
        if self.now < LOST_MS:
            return 0
        return 1 if self.now >= LOST_MS + NOTIFIED_AFTER_MS else 2

    def _heartbeat(self, front_end: FrontEnd) -> None:
        if self.now < LOST_MS:
            front_end.endpoint_list_confirmed(self.now, self.now, self.now + NOTIFIED_AFTER_MS)
            self._at(HEARTBEAT_MS, self._heartbeat, front_end)

    def _request(self, number: int) -> None:
        front_end = self.front_ends[number]
        self.counts["taken", self._part()] += 1
        function = min(int(self.random_source.expovariate(0.2)), self.play.functions - 1)
        front_end.request_taken(self.now, next(self.serials), 0, 0, function, DEADLINE_MS, WORK_MS, False)
        self._decide(front_end)
        self._at(self._gap_ms(), self._request, number)

    def _decide(self, front_end: FrontEnd) -> None:
        while (action := front_end.decide(self.now)) is not None:
            if action.kind is ActionKind.WAKE:
                self._at(max(0.0, action.ms - self.now), self._wake, front_end)
            elif action.kind is ActionKind.SEND:
                self._send(front_end, action.request, action.executor)
            elif action.kind is ActionKind.PROBE:
                self._probe(front_end, action.executor)
            elif action.kind is ActionKind.PREFETCH:
                self._load(front_end, action.executor, action.function)

    def _wake(self, front_end: FrontEnd) -> None:
        front_end.time_passed(self.now)
        self._decide(front_end)

    def _drains(self, executor: int) -> bool:
        return self.now >= self.drains_ms.get(executor, self.now + 1.0)

    def _send(self, front_end: FrontEnd, request: int, executor: int) -> None:
        notified_ms = max(self.drains_ms.get(executor, 0.0), LOST_MS + NOTIFIED_AFTER_MS)
        self.late += self._drains(executor) and self.now > notified_ms + self.play.grace_ms
        number = front_end.requests[request].attempts_sent - 1
        outcome = self._outcome(executor, front_end.requests[request].function.index)
        self.counts["miss", self._part()] += outcome is Outcome.MISS
        took_ms = ROUND_TRIP_MS + (WORK_MS if outcome is Outcome.SUCCEEDED else 0.0)
        place = executor, front_end.requests[request].function.index
        if self.play.on_demand and outcome is Outcome.SUCCEEDED and place not in self.loaded:
            self.counts["load", self._part()] += 1
            self.loaded.add(place)
            took_ms += LOAD_MS
        self._at(took_ms, self._answer, front_end, request, number, outcome, took_ms)

    def _outcome(self, executor: int, function: int) -> Outcome:
        if self._drains(executor):
            return Outcome.FULL
        if self.play.answers_miss and (executor, function) not in self.loaded:
            return Outcome.MISS
        return Outcome.SUCCEEDED

    def _load(self, front_end: FrontEnd, executor: int, function: int) -> None:
        self.counts["load", self._part()] += 1
        took_ms = ROUND_TRIP_MS if (executor, function) in self.loaded else LOAD_MS
        self._at(took_ms, self._load_answer, front_end, executor, function, took_ms)

    def _load_answer(self, front_end: FrontEnd, executor: int, function: int, took_ms: float) -> None:
        self.loaded.add((executor, function))
        front_end.load_request_answered(self.now, executor, function, Outcome.SUCCEEDED, 1, took_ms)
        self._decide(front_end)

    def _answer(
        self, front_end: FrontEnd, request: int, number: int, outcome: Outcome, took_ms: float
    ) -> None:
        succeeded = outcome is Outcome.SUCCEEDED
        self.counts["served", self._part()] += succeeded
        front_end.attempt_ended(self.now, request, number, outcome, took_ms, succeeded, Warmth.FOUND)
        self._decide(front_end)

    def _probe(self, front_end: FrontEnd, executor: int) -> None:
        self.counts["probe", self._part()] += 1
        self.probes_at[executor].append(self.now)
        outcome = Outcome.ERROR if self._drains(executor) else Outcome.SUCCEEDED
        self._at(ROUND_TRIP_MS, self._probe_answer, front_end, executor, outcome)

    def _probe_answer(self, front_end: FrontEnd, executor: int, outcome: Outcome) -> None:
        front_end.probe_answered(self.now, executor, outcome, ROUND_TRIP_MS)
        self._decide(front_end)


def most_within(times: list[float]) -> int:
    """The most of these within one window."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


def pair(values: list[float]) -> str:
    """Before and in the outage."""
    return " / ".join(f"{each:.3f}" for each in values)


def with_probes() -> int:
    """Print what probes cost; return the late sends."""
    print(
        "front ends | executors | grace s | probes for each request | served | most probes in 100 ms | late"
    )
    late = 0
    for grace_ms in GRACES_MS:
        for front_ends, executors in SIZES:
            found = Fleet(Play(front_ends, executors, grace_ms)).run()
            late += found.late
            size = f"{front_ends} | {executors} | {grace_ms / 1e3:g}"
            print(
                f"{size} | {pair(found.probes)} | {pair(found.served)} | {found.burst} | {found.late}",
                flush=True,
            )
    return late


def without_probes() -> int:
    """Print what own requests keep known; return the late sends."""
    print(
        "front ends | executors | grace s | requests a second | functions | on demand | "
        "misses for each request | loads | served | know nobody at the end | late"
    )
    late = 0
    for (front_ends, executors), rate, grace_ms, functions, on_demand in itertools.product(
        FORBIDDEN_SIZES, FORBIDDEN_RATES, GRACES_MS, (1, 40), (False, True)
    ):
        if front_ends * rate > MOST_REQUESTS_PER_S:
            continue
        play = Play(front_ends, executors, grace_ms, rate, False, not on_demand, functions, on_demand)
        found = Fleet(play).run()
        late += found.late
        kind = "yes" if on_demand else "no"
        size = f"{front_ends} | {executors} | {grace_ms / 1e3:g} | {rate:g} | {functions} | {kind}"
        spent = f"{pair(found.misses)} | {pair(found.load_requests)}"
        kept = f"{pair(found.served)} | {found.know_nobody:.2f} | {found.late}"
        print(f"{size} | {spent} | {kept}", flush=True)
    return late


def main() -> None:
    print("modelled executors, real routing cores; before / in the outage, past the notified time")
    late = without_probes() if "--without-probes" in sys.argv[1:] else with_probes()
    sys.exit(1 if late else 0)


if __name__ == "__main__":
    main()
