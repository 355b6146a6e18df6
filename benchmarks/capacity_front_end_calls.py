"""What calls a second cost a front end: CPU of calls, of control beside them, and memory.

A stream of calls in simulated time: chance arrivals over functions that were called before, executors that
take a fixed mean time and load a function when they first meet it, and one change of the list of executors a
second. Each input and the turn that it causes is charged to control or to calls. The check: the same arrivals
once more without control, i.e. without list changes and tidying; the whole process's CPU then differs by what
control takes. That includes what a list change makes each function's next call do, which no clock around the
control inputs sees; `front_end.ranking_change_cpu_by_executors` measures it by itself. The CPU of calls is
that of the runs without control, so that it has no part in either.
"""

from __future__ import annotations

import heapq
import random
import statistics
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from capacity_front_end_rig import DEADLINE_MS, QUIET_MS, REPEATS, FrontEndRig, cpu_us, endpoint, traced_bytes

from petrelway.capacity.slopes import Evidence, Slope, fit
from petrelway.routing.types import Action, ActionKind, Outcome, Stage, Warmth

CALLS_A_SECOND = [23.5, 47.0, 94.0, 188.0, 376.0, 752.0]  # 94: the mean at the target
QUICK_CALLS_A_SECOND = [12.0, 24.0, 48.0, 96.0]
EXECUTORS = 400
FUNCTIONS = 100
SERVICE_MS = 120.0
LOAD_MS = 600.0
TIDY_MS = 1000.0  # the module's own period, see petrelway/routing/router.py
LIST_CHANGE_MS = 1000.0  # between two changes of the list
WARM_UP_S = 5.0
MEASURED_S = 10.0
SEED = 1


class Work(Enum):
    """What CPU is spent on."""

    CONTROL = "control"
    CALLS = "calls"


@dataclass(frozen=True)
class Spent:
    """CPU of one run, us a simulated second."""

    control: float
    calls: float
    process: float  # the whole loop, with the stream's own work


def measure_calls(quick: bool) -> list[Slope]:
    rates = QUICK_CALLS_A_SECOND if quick else CALLS_A_SECOND
    rounds = [{rate: (spent(rate, True), spent(rate, False)) for rate in rates} for _ in range(REPEATS)]
    runs = {rate: [found[rate] for found in rounds] for rate in rates}
    control = [(rate, statistics.median(full.control for full, _ in runs[rate])) for rate in rates]
    calls = [(rate, statistics.median(bare.calls for _, bare in runs[rate])) for rate in rates]
    checks = []
    for rate, clocked in control:
        differences = [full.process - bare.process for full, bare in runs[rate]]
        middle, least, most = statistics.median(differences), min(differences), max(differences)
        checks.append(f"{rate:g}: {middle:.0f} ({least:.0f} to {most:.0f}) beside {clocked:.0f}")
    check = "whole process with less without control beside the clocked control, us/s, " + "; ".join(checks)
    print(check, flush=True)
    rest = traced_after(rates[0], 0.0)
    memory = [(rate, traced_after(rate, WARM_UP_S + MEASURED_S) - rest) for rate in rates]
    return [
        by_calls("call_cpu", "us/s", calls, "of known functions, no list changes meanwhile"),
        by_calls("control_cpu", "us/s", control, f"one list change and one tidying a second; {check}"),
        by_calls("memory", "B", memory, "tracemalloc; beyond the same front end before the stream"),
    ]


def by_calls(quantity: str, unit: str, found: list[tuple[float, float]], note: str) -> Slope:
    conditions = {"executors": EXECUTORS, "functions": FUNCTIONS, "service_ms": SERVICE_MS}
    name = f"front_end.{quantity}_by_calls"
    return fit(name, unit, "call a second", Evidence.MEASURED, found, conditions, note)


class CallStream:
    """Calls at a mean rate to one front end, and its executors' answers."""

    def __init__(self, rate: float, control: bool) -> None:
        self.rate, self.control = rate, control
        self.arrivals, self.executors = random.Random(SEED), random.Random(SEED)  # arrivals the same anyway
        self.rig = FrontEndRig(EXECUTORS)
        self.front_end = self.rig.front_end
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.scheduled = 0
        self.attempts: dict[int, int] = {}  # request -> attempts sent
        self.loaded: dict[tuple[int, int], float] = {}  # executor, function -> loaded from
        self.draining = -1
        self.spent_us = dict.fromkeys(Work, 0.0)
        self.call_each_once()
        self.tidy_ms = self.rig.wake_ms  # nothing of a request is left: the wake is for the tidying
        if not control:
            self.front_end._tidy = lambda now: None
        self.later(self.rig.wake_ms, self.wake)
        self.later(self.rig.now_ms, self.arrive)
        if control:
            self.later(self.rig.now_ms + LIST_CHANGE_MS, self.change_list)

    def call_each_once(self) -> None:
        """Every function is known, ranked and loaded somewhere before the stream begins."""
        for function in range(FUNCTIONS):
            self.rig.name_function(function)
            for decision in self.rig.request(function):
                self.loaded[decision.executor, function] = self.rig.now_ms
            self.rig.serve_last(SERVICE_MS)
        self.rig.pass_time(QUIET_MS)

    def later(self, at_ms: float, action: Callable, *args) -> None:
        self.scheduled += 1
        heapq.heappush(self.events, (at_ms, self.scheduled, action, args))

    def run(self, seconds: float) -> None:
        until_ms = self.rig.now_ms + 1000.0 * seconds
        while self.events[0][0] <= until_ms:
            self.rig.now_ms, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.rig.now_ms = until_ms

    def input(self, work: Work, deliver: Callable, *args) -> None:
        """One input with the turn that it causes, charged; then what it decided is carried out."""
        wake_ms = self.rig.wake_ms
        decisions: list[Action] = []

        def deliver_and_turn() -> None:
            deliver(self.rig.now_ms, *args)
            decisions.extend(self.rig.turn())

        self.spent_us[work] += cpu_us(deliver_and_turn)
        if self.rig.wake_ms != wake_ms:
            self.later(self.rig.wake_ms, self.wake)
        for decision in decisions:
            if decision.kind is ActionKind.SEND:
                self.send(decision)

    def wake(self) -> None:
        if self.rig.now_ms != self.rig.wake_ms:
            return  # another wake was asked for since
        work = Work.CALLS
        if self.rig.now_ms == self.tidy_ms:
            work = Work.CONTROL
            self.tidy_ms += TIDY_MS
        self.input(work, self.front_end.time_passed)

    def change_list(self) -> None:
        """One executor drains, or the one that drains is ready again."""
        drained = self.draining >= 0
        executor = self.draining if drained else self.executors.randrange(EXECUTORS)
        self.draining = -1 if drained else executor
        line = endpoint(executor, Stage.READY if drained else Stage.DRAINING)
        self.input(Work.CONTROL, self.front_end.executors_listed, [line], False)
        self.later(self.rig.now_ms + LIST_CHANGE_MS, self.change_list)

    def arrive(self) -> None:
        function = self.arrivals.randrange(FUNCTIONS)
        request = self.rig.requests
        self.rig.requests += 1
        self.input(Work.CALLS, self.front_end.request_taken, request, 0, 0, function, DEADLINE_MS, 0.0, False)
        self.later(self.rig.now_ms + self.arrivals.expovariate(self.rate / 1000.0), self.arrive)

    def send(self, decision: Action) -> None:
        """The executor takes the attempt, loads the function if it never did, and answers in time."""
        request, executor = decision.request, decision.executor
        number = self.attempts.get(request, 0)
        self.attempts[request] = number + 1
        function = self.front_end.requests[request].function.index
        now_ms = self.rig.now_ms
        warmth = Warmth.FOUND
        loaded_ms = self.loaded.get((executor, function))
        if loaded_ms is None:
            warmth = Warmth.BEGAN
            loaded_ms = self.loaded[executor, function] = now_ms + LOAD_MS
        elif loaded_ms > now_ms:
            warmth = Warmth.AWAITED
        took_ms = max(0.0, loaded_ms - now_ms) + SERVICE_MS * self.executors.uniform(0.5, 1.5)
        self.later(now_ms + took_ms, self.end, request, number, took_ms, warmth)

    def end(self, request: int, number: int, took_ms: float, warmth: Warmth) -> None:
        ended = self.front_end.attempt_ended
        self.input(Work.CALLS, ended, request, number, Outcome.SUCCEEDED, took_ms, True, warmth)
        for released in self.rig.released.requests:
            self.attempts.pop(released, None)


def spent(rate: float, control: bool) -> Spent:
    """CPU of a stream of calls once its functions are warm."""
    stream = CallStream(rate, control)
    stream.run(WARM_UP_S)
    stream.spent_us = dict.fromkeys(Work, 0.0)
    process_us = cpu_us(stream.run, MEASURED_S)
    found = stream.spent_us
    return Spent(found[Work.CONTROL] / MEASURED_S, found[Work.CALLS] / MEASURED_S, process_us / MEASURED_S)


def traced_after(rate: float, seconds: float) -> float:
    """Traced memory of the front end alone after a stream of so many seconds; 0: before the stream."""
    tracemalloc.start()
    stream = CallStream(rate, True)
    if seconds:
        stream.run(seconds)
    front_end = stream.front_end
    del stream
    after = traced_bytes()
    tracemalloc.stop()
    assert len(front_end.functions) == FUNCTIONS
    return after
