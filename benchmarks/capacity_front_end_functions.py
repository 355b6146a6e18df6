"""What functions cost a front end: the record of each, its ranked executors, its first call."""

from __future__ import annotations

import statistics
import tracemalloc

from capacity_front_end_rig import QUIET_MS, FrontEndRig, cpu_us, median_points, traced_bytes

from petrelway.capacity.slopes import Evidence, Slope, fit
from petrelway.routing.types import Stage

FUNCTION_SIZES = [800, 1600, 3200, 6400, 12_800, 25_600, 51_200, 102_400]
CALLED_SIZES = [400, 800, 1600, 3200, 6400, 12_800, 25_600, 51_200]
EXECUTOR_SIZES = [400, 800, 1600, 3200, 6400, 12_800, 25_600, 51_200]
NEW_A_SECOND = [5, 11, 23, 47, 94, 188]
QUICK_SIZES = [200, 400, 800, 1600]
QUICK_NEW_A_SECOND = [5, 11, 23, 47]
FEW_EXECUTORS = 100  # where functions are what grows
EXECUTORS = 400  # where functions first seen are what grows
RANKED_FUNCTIONS = 12  # called for the first time in one measurement: bounds what their ranks hold
TIDY_ROUNDS = 7
STAGE_CHANGES = 10
RANKING_CHANGES = 20  # missed by a function before its next call: so few that no rank is sorted anew
NEW_FUNCTIONS_S = 3  # simulated seconds in which functions are first seen
SERVED_MS = 0.1  # so short that all functions of a measurement are called within the least keep time


def measure_functions(quick: bool) -> list[Slope]:
    named = QUICK_SIZES if quick else FUNCTION_SIZES
    called = QUICK_SIZES if quick else CALLED_SIZES
    fleets = QUICK_SIZES if quick else EXECUTOR_SIZES
    new = QUICK_NEW_A_SECOND if quick else NEW_A_SECOND
    return [
        by_functions(
            "memory",
            "B",
            [(size, named_bytes(size)) for size in named],
            "tracemalloc; named, not called: what the first call adds is ranking_memory_by_executors",
        ),
        by_functions(
            "tidy_cpu",
            "us/s",
            [(size, tidy_us(size)) for size in called],
            "each called once and in a resume; the base holds the tidying of the executors",
        ),
        by_functions(
            "list_change_cpu",
            "us",
            median_points(named, list_change_us),
            "one executor drains or is ready again; functions named, no request held",
        ),
        by_executors(
            "ranking_memory",
            "B",
            [(size, called_bytes(size)) for size in fleets],
            "tracemalloc; what the first call of one function adds to memory_by_functions: the ranked "
            "executors, and in the base its place in a resume",
        ),
        by_executors(
            "first_call",
            "us",
            median_points(fleets, first_call_us),
            "taking, choosing, sending; the function was named before",
        ),
        by_executors(
            "next_call",
            "us",
            median_points(fleets, next_call_us),
            "the second call of the same function, beside first_call_by_executors",
        ),
        by_executors(
            "ranking_change_cpu",
            "us",
            median_points(fleets, ranking_change_us),
            "what one change of the list adds to the next call of one function whose executors are ranked",
        ),
        fit(
            "front_end.control_cpu_by_new_functions",
            "us/s",
            "function first seen a second",
            Evidence.MEASURED,
            median_points(new, new_functions_us),
            {"executors": EXECUTORS},
            "naming, and what a first call takes beyond a second one; tidying and forgetting left out",
        ),
    ]


def by_functions(quantity: str, unit: str, found: list[tuple[float, float]], note: str) -> Slope:
    name = f"front_end.{quantity}_by_functions"
    conditions = {"executors": FEW_EXECUTORS}
    return fit(name, unit, "function known", Evidence.MEASURED, found, conditions, note)


def by_executors(quantity: str, unit: str, found: list[tuple[float, float]], note: str) -> Slope:
    name = f"front_end.{quantity}_by_executors"
    conditions = {"functions": RANKED_FUNCTIONS}
    return fit(name, unit, "executor listed", Evidence.MEASURED, found, conditions, note)


def name_all(rig: FrontEndRig, functions: int) -> None:
    for function in range(functions):
        rig.name_function(function)


def call_all(rig: FrontEndRig, functions: int, took_ms: float = 1.0) -> None:
    """Each is called once and served."""
    for function in range(functions):
        rig.request(function)
        rig.serve_last(took_ms)


def named_bytes(functions: int) -> float:
    """Traced memory of so many functions that are named and not called."""
    rig = FrontEndRig(FEW_EXECUTORS)
    tracemalloc.start()
    before = traced_bytes()
    name_all(rig, functions)
    after = traced_bytes()
    tracemalloc.stop()
    assert len(rig.front_end.functions) == functions
    return after - before


def tidy_us(functions: int) -> float:
    """The median of some rounds of tidying, once a second, with so many functions called lately."""
    rig = FrontEndRig(FEW_EXECUTORS)
    name_all(rig, functions)
    call_all(rig, functions, SERVED_MS)
    rig.pass_time(QUIET_MS)
    assert len(rig.front_end.functions) == functions
    return statistics.median(cpu_us(rig.wake) for _ in range(TIDY_ROUNDS))


def list_change_us(functions: int) -> float:
    """The median of changes of the list with so many functions known."""
    rig = FrontEndRig(FEW_EXECUTORS)
    name_all(rig, functions)
    stages = [Stage.DRAINING, Stage.READY] * (STAGE_CHANGES // 2)
    return statistics.median(cpu_us(rig.change_stage, 0, stage) for stage in stages)


def called_bytes(executors: int) -> float:
    """Traced memory that one function's first call leaves once nothing of the request is left."""
    rig = FrontEndRig(executors)
    name_all(rig, RANKED_FUNCTIONS)
    rig.wake()
    tracemalloc.start()
    before = traced_bytes()
    call_all(rig, RANKED_FUNCTIONS)
    rig.pass_time(QUIET_MS)
    after = traced_bytes()
    tracemalloc.stop()
    assert not rig.front_end.requests
    return (after - before) / RANKED_FUNCTIONS


def rig_to_call(executors: int) -> FrontEndRig:
    """A rig whose tidying is just done, so that it falls into none of the calls of the next second."""
    rig = FrontEndRig(executors)
    name_all(rig, RANKED_FUNCTIONS)
    rig.wake()
    return rig


def call_each_us(rig: FrontEndRig) -> float:
    """The median over the functions of what one call of each takes until it is sent."""
    spent = []
    for function in range(RANKED_FUNCTIONS):
        spent.append(cpu_us(rig.request, function))
        rig.serve_last()
    return statistics.median(spent)


def first_call_us(executors: int) -> float:
    return call_each_us(rig_to_call(executors))


def next_call_us(executors: int) -> float:
    rig = rig_to_call(executors)
    call_all(rig, RANKED_FUNCTIONS)
    return call_each_us(rig)


def ranking_change_us(executors: int) -> float:
    """What a call takes longer after some changes of the list, for each of them."""
    rig = rig_to_call(executors)
    call_all(rig, RANKED_FUNCTIONS)
    before_us = call_each_us(rig)
    for executor in range(RANKING_CHANGES):
        rig.change_stage(executor * executors // RANKING_CHANGES, Stage.DRAINING)
    return (call_each_us(rig) - before_us) / RANKING_CHANGES


def new_functions_us(rate: int) -> float:
    """CPU a second of naming so many functions a second, and of what their first calls take beyond second
    ones."""
    rig = FrontEndRig(EXECUTORS)
    rig.wake()
    spent = 0.0
    for function in range(rate * NEW_FUNCTIONS_S):
        rig.pass_time(1000.0 / rate)  # any tidying falls here
        spent += cpu_us(rig.name_function, function)
        spent += cpu_us(rig.request, function)
        rig.serve_last(0.0)
        spent -= cpu_us(rig.request, function)
        rig.serve_last(0.0)
    return spent / NEW_FUNCTIONS_S
