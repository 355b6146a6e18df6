"""One front end's decision module under the hand of the benchmark: its fleet, turns, CPU and memory.

Stands in the place of the dispatcher: inputs to `petrelway.routing.router.FrontEnd` and pulls decisions until
there is none, in simulated time. Only the module's public inputs are used.
"""

from __future__ import annotations

import gc
import math
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

from petrelway.routing.router import FrontEnd
from petrelway.routing.types import (
    Action,
    ActionKind,
    Capabilities,
    Endpoint,
    FleetPosition,
    Idempotency,
    LoadingSettings,
    LoadQuotaRule,
    Outcome,
    ReleasedIndices,
    RequestClass,
    Scope,
    SlowStartRule,
    Stage,
    Tenant,
    Warmth,
)

START_MS = 1e6  # executors listed as started at 0 are warm by then
ZONES = 6
MACHINE_KINDS = 3
CELL_EXECUTORS = 40  # a cell is a rack
TENANT_RATE = 400.0
DEADLINE_MS = 3000.0
QUIET_MS = 5000.0  # past the deadline: after so long nothing of a request is left
REPEATS = 5  # of each measurement of CPU; the median counts


def new_front_end() -> FrontEnd:
    """A front end that knows nothing yet."""
    return FrontEnd(
        START_MS,
        7,
        FleetPosition(0, 1, 0),
        [RequestClass(Idempotency.IDEMPOTENT, Scope.ALL, 4000.0, 1000.0, DEADLINE_MS, 1.0, 0.1)],
        [Tenant(1.0, TENANT_RATE)],
        Capabilities(3, True, True, False, False, 500.0),
        LoadingSettings(False, True, 30_000.0, 5000.0, 0.0),
        SlowStartRule(4.0, 1500.0, 0.2, 10_000.0),
        LoadQuotaRule(0.0, 0.0, 0.0),
    )


def endpoint(executor: int, stage: Stage = Stage.READY) -> Endpoint:
    """A line of the list: an executor that started long ago, in one of several zones and cells."""
    zone, cell = executor % ZONES, executor // CELL_EXECUTORS
    return Endpoint(
        executor, f"executor-{executor:06d}", zone, executor % MACHINE_KINDS, cell, stage, 1.0, 0.0
    )


def endpoints(count: int) -> list[Endpoint]:
    return [endpoint(executor) for executor in range(count)]


def cpu_us(action: Callable, *args) -> float:
    """Microseconds of this process's CPU that the action takes."""
    began = time.process_time_ns()
    action(*args)
    return (time.process_time_ns() - began) / 1e3


def median_points(sizes: Sequence[float], measure: Callable[..., float]) -> list[tuple[float, float]]:
    """For each size the median of REPEATS measurements. All sizes are measured in turn, so that a time in
    which others load the machine falls on all of them."""
    rounds = [[measure(size) for size in sizes] for _ in range(REPEATS)]
    return [(size, statistics.median(found)) for size, *found in zip(sizes, *rounds, strict=False)]


def traced_bytes() -> int:
    """Bytes that are allocated now and were since tracing began."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


class FrontEndRig:
    """A front end with so many executors listed, driven by hand."""

    def __init__(self, executors: int = 0) -> None:
        gc.collect()  # danger: earlier rigs are cycles; the server's thresholds let gigabytes of them stand
        self.now_ms = START_MS
        self.wake_ms = math.inf
        self.requests = 0
        self.released = ReleasedIndices([], [], [])  # by the last turn
        self.front_end = new_front_end()
        if executors:
            self.take_list(endpoints(executors), True)

    def turn(self) -> list[Action]:
        """What the module decides now; the wake that it asks for and what it releases are kept."""
        decisions = []
        while (decision := self.front_end.decide(self.now_ms)) is not None:
            if decision.kind is ActionKind.WAKE:
                self.wake_ms = decision.ms
            else:
                decisions.append(decision)
        self.released = self.front_end.released()
        return decisions

    def take_list(self, lines: list[Endpoint], complete: bool) -> None:
        self.front_end.executors_listed(self.now_ms, lines, complete)
        self.turn()

    def change_stage(self, executor: int, stage: Stage) -> None:
        self.take_list([endpoint(executor, stage)], False)

    def name_function(self, function: int) -> None:
        self.front_end.function_named(self.now_ms, function, f"function-{function:06d}", 300.0, 4, 0.0)

    def wake(self) -> None:
        """Time passes to the wake that the module asked for, and it is woken."""
        self.now_ms = self.wake_ms
        self.front_end.time_passed(self.now_ms)
        self.turn()

    def pass_time(self, span_ms: float) -> None:
        """Time passes, with every wake in it."""
        until_ms = self.now_ms + span_ms
        while self.wake_ms <= until_ms:
            self.wake()
        self.now_ms = until_ms

    def request(self, function: int) -> list[Action]:
        """Take one request for this function, with the turn that follows."""
        self.front_end.request_taken(self.now_ms, self.requests, 0, 0, function, DEADLINE_MS, 0.0, False)
        self.requests += 1
        return self.turn()

    def serve_last(self, took_ms: float = 1.0) -> None:
        """The last request's first attempt is served."""
        self.now_ms += took_ms
        self.front_end.attempt_ended(
            self.now_ms, self.requests - 1, 0, Outcome.SUCCEEDED, took_ms, True, Warmth.FOUND
        )
        self.turn()
