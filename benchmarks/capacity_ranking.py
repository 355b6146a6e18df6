"""A function's ranked executors: the whole list against a window on the ring, both in one run.

    first-call      CPU, ranks computed and bytes of a function's first call, by executors listed
    width           windows of other widths: evenness of first homes, CPU and bytes of a first call
    day             an emulated day with many rarely called functions, more executors than a window

The whole list is a window at least as large as the fleet. The days are played in pairs of the same seed. CPU
and memory are measured on this machine, the days are emulated. Not for CI.
"""

from __future__ import annotations

import argparse
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from typing import Any, NamedTuple

from capacity_front_end_rig import DEADLINE_MS, START_MS, new_front_end
from emulator import tree

from petrelway.emulator.day import EmulatedDay
from petrelway.invariants.checker import figures, judge
from petrelway.routing import ranking
from petrelway.routing import state as choice_state
from petrelway.routing.router import FrontEnd
from petrelway.routing.selection import Function
from petrelway.routing.types import ActionKind, Endpoint, Stage
from petrelway.scenarios.report import percentile, sums

WHOLE_LIST, WINDOW = "whole list", "window"
EVERY_EXECUTOR = 1 << 40  # a window as large as any fleet
FIRST_CALL_SIZES = (400, 1600, 6400, 25_600)
FUNCTIONS = {WHOLE_LIST: 12, WINDOW: 200}  # first calls in a repeat, fewer where each takes long
REPEATS = 5  # of each measurement of CPU; the median counts
WIDTHS = (32, 64, 128, 256)
WIDTH_EXECUTORS = 2048
WIDTH_LOAD = 40  # functions for each executor
DAY_SECONDS = 20.0


WIDTH_OF = {WHOLE_LIST: EVERY_EXECUTOR, WINDOW: ranking.WINDOW}


class DaySize(NamedTuple):
    front_ends: int
    executors: int
    rate: float  # requests a second
    functions: int


DAY_SIZES = (DaySize(60, 300, 500.0, 3000), DaySize(240, 600, 1000.0, 6000))


class FirstCall(NamedTuple):
    cpu_us: float
    ranks: float
    memory_bytes: float


class DayFound(NamedTuple):
    size: DaySize
    mode: str
    seed: int
    service: float
    in_time: float  # share of the requests
    found: float  # share warm
    cold_p99_ms: float  # of what waited for a load
    p99_ms: float
    loads: int
    broken: int  # rules


@contextmanager
def window_of(width: int) -> Iterator[None]:
    """The ranking with a window of so many executors."""
    usual = ranking.WINDOW
    ranking.WINDOW = width
    try:
        yield
    finally:
        ranking.WINDOW = usual


@contextmanager
def counted_ranks() -> Iterator[list[int]]:
    """A list that gets one item for each rank computed inside."""
    usual, made = ranking.shared_rank, []

    def counting(function_salt: int, executor_salt: int) -> int:
        made.append(1)
        return usual(function_salt, executor_salt)

    ranking.shared_rank = counting
    try:
        yield made
    finally:
        ranking.shared_rank = usual


@contextmanager
def hashes_of(seed: int) -> Iterator[None]:
    """Names hash anew for each seed: else all days would measure the luck of one placement."""
    usual = choice_state.salt_of
    choice_state.salt_of = lambda stable: usual(f"{seed}/{stable}")
    try:
        yield
    finally:
        choice_state.salt_of = usual


def listed(executors: int) -> FrontEnd:
    front_end = new_front_end()
    lines = [
        Endpoint(e, f"executor-{e:08x}", e % 3, 0, e // 40, Stage.READY, 1.0, 0.0) for e in range(executors)
    ]
    front_end.executors_listed(START_MS, lines, True)
    return front_end


def call_once(front_end: FrontEnd, first: int, count: int) -> None:
    """So many functions are named and called for the first time; each call is sent somewhere."""
    for function in range(first, first + count):
        front_end.function_named(START_MS, function, f"function-{function}", 300.0, 4, 0.0)
        front_end.request_taken(START_MS, function, 0, 0, function, DEADLINE_MS, 0.0, False)
        front_end.limit = float("inf")  # of what may be out: nothing is answered here
        sent = 0
        while (decision := front_end.decide(START_MS)) is not None:
            sent += decision.kind is ActionKind.SEND
        if sent != 1:
            raise RuntimeError(f"{sent} attempts of a first call")


def first_call(width: int, executors: int) -> FirstCall:
    with window_of(width):
        front_end, called = listed(executors), 0
        count = FUNCTIONS[WHOLE_LIST if width > executors else WINDOW]
        cpu_us = []
        for _ in range(REPEATS):
            began = time.process_time()
            call_once(front_end, called, count)
            cpu_us.append((time.process_time() - began) / count * 1e6)
            called += count
        with counted_ranks() as ranks:
            call_once(front_end, called, count)
        called += count
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        call_once(front_end, called, count)
        memory_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
    return FirstCall(statistics.median(cpu_us), len(ranks) / count, memory_bytes / count)


def first_calls() -> None:
    print(f"first call of a function; the window holds {ranking.WINDOW}; medians of {REPEATS}")
    found = {mode: [first_call(width, size) for size in FIRST_CALL_SIZES] for mode, width in WIDTH_OF.items()}
    for mode, rows in found.items():
        for size, row in zip(FIRST_CALL_SIZES, rows, strict=False):
            print(
                f"{mode:10} {size:6} executors: CPU {row.cpu_us:9.1f} us, ranks computed {row.ranks:8.1f},"
                f" memory {row.memory_bytes:9.0f} B",
                flush=True,
            )
    for field in FirstCall._fields:
        slopes = {}
        for mode, rows in found.items():
            costs = [getattr(row, field) for row in rows]
            slopes[mode] = statistics.linear_regression(FIRST_CALL_SIZES, costs).slope * 1000.0
        flatter = abs(slopes[WHOLE_LIST] / slopes[WINDOW]) if slopes[WINDOW] else float("inf")
        print(
            f"{field}: for each 1,000 executors {slopes[WHOLE_LIST]:.4g} before, {slopes[WINDOW]:.4g} after:"
            f" {flatter:.4g} times flatter"
        )


def load_deviation(width: int) -> float:
    """Of the functions whose first home an executor is: relative, less what chance alone would give."""
    with window_of(width):
        front_end = listed(WIDTH_EXECUTORS)
        load = Counter(dict.fromkeys(front_end.executors, 0))
        for number in range(WIDTH_LOAD * WIDTH_EXECUTORS):
            function = Function(number, f"function-{number}", 4, 0.0, START_MS)
            load[function.ranked(front_end.fleet, 1)[0].endpoint.executor] += 1
    variance = statistics.pvariance(load.values()) - WIDTH_LOAD  # Poisson's
    return max(0.0, variance) ** 0.5 / WIDTH_LOAD


def widths() -> None:
    for width in WIDTHS:
        cost, deviation = first_call(width, WIDTH_EXECUTORS), load_deviation(width)
        print(
            f"window of {width:4}, {WIDTH_EXECUTORS} executors: first-home load deviates by {deviation:.3f},"
            f" 1 / sqrt(width) {width**-0.5:.3f}; first call {cost.cpu_us:.0f} us, {cost.memory_bytes:.0f} B",
            flush=True,
        )


def rare_calls(size: DaySize, seed: int) -> dict[str, Any]:
    """Small machines, many functions of nearly equal weight; a deploy and silent executors between."""
    found = tree(size.front_ends, size.executors, size.rate, DAY_SECONDS, size.functions)
    found["day"]["seed"] = seed
    found["functions"]["zipf"] = 0.8
    for kind, cores in zip(found["fleet"]["kinds"], (2, 1), strict=False):
        kind["cores"] = cores
    return found


def cold_starts_ms(lines: list[dict[str, Any]]) -> list[float]:
    """Time from due to served of each request that waited for a load."""
    due = {line["m"]: line["at"] for line in lines if line["k"] == "due"}
    took: dict[str, float] = {}
    for line in lines:
        if line["k"] == "answer" and line["o"] == "fulfilled" and line["w"] in ("began", "awaited"):
            mark = f"{line['_source']}\n{line['id']}"
            if mark in due:
                took.setdefault(mark, line["t"] - due[mark])
    return sorted(took.values())


def play(job: tuple[DaySize, str, int]) -> DayFound:
    size, mode, seed = job
    with window_of(WIDTH_OF[mode]), hashes_of(seed):
        played = EmulatedDay(rare_calls(size, seed))
        lines = played.play()
    found = sums(lines, played.day)
    return DayFound(
        size,
        mode,
        seed,
        found["service"],
        found["in_time"] / found["triggers"],
        found["found_share"],
        percentile(cold_starts_ms(lines), 0.99),
        found["p99_ms"],
        found["store_fetches"],
        len(judge(lines, figures(played.day))),
    )


def describe(values: list[float]) -> str:
    """Mean and standard error."""
    error = statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else float("nan")
    return f"{statistics.mean(values):.4f} +- {error:.4f}"


def days(sizes: list[DaySize], seeds: list[int], processes: int) -> None:
    jobs = [(size, mode, seed) for size in sizes for seed in seeds for mode in (WHOLE_LIST, WINDOW)]
    by: dict[tuple[DaySize, str], list[DayFound]] = {}
    with ProcessPoolExecutor(processes, max_tasks_per_child=1) as pool:
        for row in pool.map(play, jobs):
            by.setdefault((row.size, row.mode), []).append(row)
            print(
                f"{row.size.front_ends} front ends, {row.size.executors} executors, seed {row.seed},"
                f" {row.mode:10}: service {row.service:.4f}, in time {row.in_time:.4f}, found warm"
                f" {row.found:.4f}, cold-start p99 {row.cold_p99_ms:.0f} ms, p99 {row.p99_ms:.0f} ms, loads"
                f" {row.loads}, rules broken {row.broken}",
                flush=True,
            )
    for size in sizes:
        before, after = by[size, WHOLE_LIST], by[size, WINDOW]
        for field in ("service", "in_time", "found", "cold_p99_ms", "p99_ms", "loads"):
            more = [float(getattr(b, field) - getattr(a, field)) for a, b in zip(before, after, strict=False)]
            print(
                f"{size.front_ends} front ends, {size.executors} executors: {field}, window less whole list,"
                f" {describe(more)}; {len(more)} seeds"
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="+", choices=["first-call", "width", "day"])
    parser.add_argument("--sizes", type=int, nargs="+", default=[size.front_ends for size in DAY_SIZES])
    parser.add_argument("--seeds", type=int, nargs="+", default=list(range(1, 7)))
    parser.add_argument("--processes", type=int, default=2)
    asked = parser.parse_args()
    if "first-call" in asked.what:
        first_calls()
    if "width" in asked.what:
        widths()
    if "day" in asked.what:
        sizes = [size for size in DAY_SIZES if size.front_ends in asked.sizes]
        days(sizes, asked.seeds, asked.processes)


if __name__ == "__main__":
    main()
