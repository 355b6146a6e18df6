"""CPU of all decisions of a request as the fleet grows, one front end, and what a change to them altered.

200 functions, 400 requests a second, one executor replaced a second, measured after a time to warm up. With
`--against REV` that commit's own module and benchmark play the same in a process of their own, in turn, and
how many of all decisions differ is printed; it has to be a commit that has `play`. Not for CI.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from petrelway.routing import router as choice
from petrelway.routing.types import (
    ActionKind,
    Capabilities,
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

FUNCTIONS, RATE, WORK_MS, LOAD_MS, WARM_UP_MS = 200, 400.0, 120.0, 600.0, 20_000.0
START_MS = 1e6  # executors listed as started at 0 are warm by then


class Drive:
    """One front end in front of executors that take a fixed time; calls of the module are timed."""

    def __init__(self, module, executors: int, seconds: float, seed: int = 1) -> None:
        self.now, self.spent, self.requests = START_MS, 0.0, 0
        self.random_source = random.Random(seed)
        self.count = executors
        self.events: list[tuple] = []
        self.order = 0
        self.first: list[int] = []  # executor of each request's first attempt
        self.sent: dict[int, int] = {}
        self.speed = [self.random_source.uniform(0.7, 1.6) for _ in range(executors)]
        self.has: list[dict[int, float]] = [{} for _ in range(executors)]
        self.fe = module.FrontEnd(
            self.now,
            7,
            FleetPosition(0, 1, 0),
            [RequestClass(Idempotency.IDEMPOTENT, Scope.ALL, 4000.0, 1000.0, 3000.0, 1.0, 0.1)],
            [Tenant(1.0, RATE)],
            Capabilities(3, True, True, False, False, 500.0),
            LoadingSettings(False, True, 30_000.0, 5000.0, 0.0),
            SlowStartRule(4.0, 1500.0, 0.2, 10_000.0),
            LoadQuotaRule(0.0, 0.0, 0.0),
        )
        self.started = [0.0] * executors
        self.call("executors_listed", self.now, [self.endpoint(e) for e in range(executors)], True)
        for f in range(FUNCTIONS):
            self.call("function_named", self.now, f, f"function-{f}", 300.0, 4, 0.0)
        self.weights = [1.0 / (f + 1) ** 1.1 for f in range(FUNCTIONS)]
        self.later(self.now, "arrive")
        self.later(self.now + 1000.0, "replace")
        self.run(START_MS + WARM_UP_MS)
        self.spent, began = 0.0, self.requests
        self.run(START_MS + WARM_UP_MS + seconds * 1000.0)
        self.us = self.spent / (self.requests - began) * 1e6

    def endpoint(self, e: int) -> Endpoint:
        return Endpoint(e, f"executor-{e}", e % 3, 0, e // 4, Stage.READY, 1.0, self.started[e])

    def later(self, at: float, what: str, *args) -> None:
        self.order += 1
        heapq.heappush(self.events, (at, self.order, what, args))

    def call(self, name: str, *args):
        began = time.perf_counter()
        found = getattr(self.fe, name)(*args)
        self.spent += time.perf_counter() - began
        return found

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.events)
            getattr(self, what)(*args)
            self.pull()

    def arrive(self) -> None:
        f = self.random_source.choices(range(FUNCTIONS), self.weights)[0]
        t = self.requests
        self.requests += 1
        self.call("request_taken", self.now, t, 0, 0, f, 3000.0, 0.0, False)
        self.later(self.now + self.random_source.expovariate(RATE / 1000.0), "arrive")

    def replace(self) -> None:
        """Some processes start anew: empty, and listed as such."""
        some = self.random_source.sample(range(self.count), 1)
        for e in some:
            self.started[e], self.has[e] = self.now, {}
        self.call("executors_listed", self.now, [self.endpoint(e) for e in some], False)
        self.later(self.now + 1000.0, "replace")

    def wake(self) -> None:
        self.call("time_passed", self.now)

    def end(self, t: int, number: int, sent_ms: float, warmth: Warmth) -> None:
        self.call("attempt_ended", self.now, t, number, Outcome.SUCCEEDED, self.now - sent_ms, True, warmth)

    def pull(self) -> None:
        while (d := self.call("decide", self.now)) is not None:
            if d.kind is ActionKind.SEND:
                t = self.fe.requests[d.request]
                number, f, e = self.sent.get(d.request, 0), t.function.index, d.executor
                self.sent[d.request] = number + 1
                if not number:
                    self.first.append(e)
                until = self.has[e].get(f)
                took = WORK_MS * self.speed[e] * self.random_source.uniform(0.5, 1.5)
                warmth = Warmth.FOUND
                if until is None or until > self.now:
                    warmth = Warmth.BEGAN if until is None else Warmth.AWAITED
                    until = self.has[e].setdefault(f, self.now + LOAD_MS)
                    took += until - self.now
                self.later(self.now + took, "end", d.request, number, self.now, warmth)
            elif d.kind is ActionKind.WAKE:
                self.later(max(d.ms, self.now), "wake")
        for t in self.call("released").requests:
            self.sent.pop(t, None)


def play(executors: int, seconds: float) -> tuple[float, list[list]]:
    """CPU of a request's decisions in us, and every decision of the play in plain values."""
    decisions: list[list] = []

    class Recorded(Drive):
        def call(self, name: str, *args):
            found = super().call(name, *args)
            if name == "decide" and found is not None:
                decisions.append([found[0].value, *map(str, found[1:])])
            return found

    drive = Recorded(choice, executors, seconds)
    return drive.us, decisions


PLAY_OF_A_TREE = """
import json, sys
sys.path[:0] = [sys.argv[1], sys.argv[1] + "/benchmarks"]
import decisions
if not hasattr(decisions, "play"):
    sys.exit("that commit's benchmark can not be played from outside: its decisions are of another form")
print(json.dumps(decisions.play(int(sys.argv[2]), float(sys.argv[3]))))
"""


def play_of_tree(tree: str, executors: int, seconds: float) -> tuple[float, list[list]]:
    """The same in a process of its own, by that tree's own benchmark and module."""
    command = [sys.executable, "-c", PLAY_OF_A_TREE, tree, str(executors), str(seconds)]
    shown = subprocess.run(command, check=True, capture_output=True, text=True)
    us, decisions = json.loads(shown.stdout)
    return us, decisions


def checked_out(revision: str, folder: str) -> str:
    """The package and its benchmarks as that commit has them, in this folder."""
    packed = subprocess.run(
        ["git", "archive", revision, "petrelway", "benchmarks"], check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", folder], check=True, input=packed.stdout)
    return folder


def main() -> None:
    """Print the cost for each size and, with `--against`, how many decisions differ."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", default="", help="a commit, HEAD for the one checked out")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--sizes", type=int, nargs="+", default=[25, 100, 400, 1600])
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trees = {"now": str(Path(__file__).parent.parent)}
        if asked.against:
            trees[asked.against] = checked_out(asked.against, folder)
        base: dict[str, float] = {}
        for size in asked.sizes:
            played = {}
            for name, tree in trees.items():
                us, played[name] = play_of_tree(tree, size, asked.seconds)
                base.setdefault(name, us)
                print(
                    f"{size:5} executors, {name}: {us:7.0f} us a request, "
                    f"{us / base[name]:5.2f} times that at {asked.sizes[0]}",
                    flush=True,
                )
            if asked.against:
                now, before = played.values()
                differ = sum(a != b for a, b in zip(now, before, strict=False)) + abs(len(now) - len(before))
                print(f"      decisions that differ: {differ} of {len(now)}", flush=True)


if __name__ == "__main__":
    main()
