"""The emulation: its event queue against heapq on the same trace, and how long days of growing size take.

Not for CI. `--sizes small` plays the first two sizes; `full` all; `great` the last alone, which takes
many minutes and several GB.
"""

from __future__ import annotations

import argparse
import resource
import time

from wheel import Heap, Wheel

from petrelway.emulator.day import EmulatedDay
from petrelway.fakes.in_memory_network import World
from petrelway.invariants.checker import figures, judge
from petrelway.scenarios.report import sums

#        front ends, executors, requests/s, seconds, functions
SIZES = [
    (3, 12, 120, 60, 60),
    (30, 30, 300, 60, 200),
    (300, 90, 1000, 60, 400),
    (1000, 2000, 10_000, 10, 2000),
]


def tree(fronts: int, executors: int, rate: float, seconds: float, functions: int, **more) -> dict:
    """A day with a deploy and a few silent executors, at about 60% of what the fleet carries."""
    work = 0.6 * executors * 6.4 * 1000.0 / rate
    request_classes = [
        {"name": "status", "effect": "harmless", "quoted_ms": 1000, "outer_ms": 3000, "late_share": 0.2},
        {"name": "mark", "effect": "stamped", "scope": "hall", "window_ms": 4000, "quoted_ms": 1500,
         "outer_ms": 4000},
    ]  # fmt: skip
    return {
        "day": {"length_s": seconds, "seed": 1},
        "fleet": {
            "halls": ["a", "b", "c"],
            "executors": executors,
            "fronts": fronts,
            "kinds": [
                {"name": "eight", "share": 0.6, "cores": 8, "speed": [1.0, 1.4], "memory_mb": 16000},
                {"name": "four", "share": 0.4, "cores": 4, "speed": [0.8, 1.2], "memory_mb": 8000},
            ],
            "keep_ms": 12000,
            "cold_share": 0.3,
            "warm_ms": 10000,
        },
        "functions": {"count": functions, "memory_mb": [220, 580], "load_ms": [400, 1100]},
        "store": {"takes": max(10, executors), "limit": 10 * executors, "thrash": 0.2},
        "tariffs": request_classes,
        "customers": [
            {"name": "north", "portion": 0.6, "rate": 0.6 * rate},
            {"name": "south", "portion": 0.4, "rate": 0.4 * rate},
        ],
        "traffic": {
            "rate": rate,
            "shares": {"status": 0.7, "mark": 0.3},
            "work": {t["name"]: {"mean_ms": min(250.0, work), "cv": 0.7} for t in request_classes},
            "retries": 2,
            "backoff_ms": 80,
            "impatient": 0.01,
        },
        "permits": {"transmissions": 4, "longest_retry_ms": 500},
        "keeping": {"least_keep_ms": 10000, "order_timeout_ms": 10000},
        "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 15000},
        "troubles": [
            {"kind": "deploy", "at_s": 0.2 * seconds, "len_s": 0.4 * seconds, "part": 0.3, "size": 0.1,
             "extra": 3},
            {"kind": "hang", "at_s": 0.5 * seconds, "len_s": 0.1 * seconds, "part": 0.05},
        ],
        **more,
    }  # fmt: skip


SLOT_S, SLOTS = 0.001, 4096  # of the wheel


class Traced(World):
    """Remembers what is asked of its queue."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = []

    def _call(self, time, *what):
        self.asked.append((max(time, self.now_s), self.order + 1, None))
        return super()._call(time, *what)

    def run(self, until_s) -> None:
        while self.calls and self.calls[0][0] <= until_s:
            self.asked.append(until_s)
            super().run(self.calls[0][0])
        super().run(until_s)


def replay(queue, asked) -> float:
    push, pop = queue.push, queue.pop_until
    began = time.perf_counter()
    for each in asked:
        if type(each) is tuple:
            push(each)
        else:
            pop(each)
    return time.perf_counter() - began


def queues() -> None:
    for size in SIZES[:3]:
        fronts, executors, rate, seconds, functions = size
        trace = Traced()
        day = EmulatedDay(tree(fronts, executors, rate, min(seconds, 15), functions), sim=trace)
        began = time.perf_counter()
        day.play()
        whole = time.perf_counter() - began
        took = {"heapq": [], "wheel": []}
        for _ in range(5):
            took["heapq"].append(replay(Heap(), trace.asked))
            took["wheel"].append(replay(Wheel(1000.0, SLOT_S, SLOTS), trace.asked))
        heap, wheel = min(took["heapq"]), min(took["wheel"])
        print(
            f"{fronts} front ends, {rate}/s: {len(trace.asked)} calls of the queue; heapq {heap:.3f} s, "
            f"wheel {wheel:.3f} s, {wheel / heap:.2f} of it; the queue is {heap / whole:.1%} of the run",
            flush=True,
        )


def sizes(some: list) -> None:
    for size in some:
        fronts, executors, rate, seconds, functions = size
        began = time.perf_counter()
        day = EmulatedDay(tree(*size))
        made = time.perf_counter()
        lines = day.play()
        played = time.perf_counter()
        found, faults = sums(lines, day.day), judge(lines, figures(day.day))
        judged = time.perf_counter()
        print(
            f"{fronts} front ends, {executors} executors, {rate}/s for {seconds} emulated s: made in "
            f"{made - began:.1f} s, played in {played - made:.1f} s, judged in {judged - played:.1f} s; "
            f"{day.sim.played} events, {len(lines)} lines, "
            f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 2**20:.2f} GB at most; "
            f"service {found['service']:.3f} (emulated), broken rules {len(faults)}",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", choices=["small", "full", "great"], default="full")
    asked = parser.parse_args()
    if asked.sizes != "great":
        queues()
    sizes({"small": SIZES[:2], "full": SIZES, "great": SIZES[3:]}[asked.sizes])


if __name__ == "__main__":
    main()
