"""An overload with many front ends, emulated: what is in flight, the limits, service; and answers to it.

Each answer is a change of the module by a subclass, played on the same days: an overload that comes and goes,
a steady one, and a busy day without any. Not for CI.
"""

from __future__ import annotations

import argparse
import heapq
import json
import math
import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from emulator import tree

from petrelway.emulator.day import EmulatedDay
from petrelway.invariants.checker import figures, judge
from petrelway.routing.concurrency import LIMIT_DECREASE, LIMIT_MIN
from petrelway.routing.inputs import RECHECK_INTERVAL_MS
from petrelway.routing.router import FrontEnd
from petrelway.routing.selection import SPARSE_VIEW
from petrelway.routing.types import Action, ActionKind
from petrelway.scenarios.baselines import LeastLoaded, RandomChoice
from petrelway.scenarios.report import sums

SECONDS = 20


class Gradient(FrontEnd):
    """The limit follows the gradient of the delay: usual over seen, in place of steps."""

    def _record_latency(self, executor, request, took_ms, now):
        self._seen = took_ms
        super()._record_latency(executor, request, took_ms, now)
        if now > self.limit_decreased_ms + self.mean_ms:
            ratio = max(0.5, min(1.0, 2.0 * self.median_ms / max(1.0, self.mean_ms)))
            if ratio < 1.0:
                self.limit = max(LIMIT_MIN, ratio * self.limit + math.sqrt(self.limit) * 0.5)
                self.limit_decreased_ms = now


class ChancePhase(FrontEnd):
    """Each front end cuts at times of its own: not all in the same moment."""

    def _decrease_limit(self, holder, busy, now):
        if now > holder.limit_decreased_ms + self.mean_ms:
            super()._decrease_limit(holder, busy, now)
            if holder.limit_decreased_ms == now:
                holder.limit_decreased_ms += self.random_source.random() * self.mean_ms


class DeepCut(FrontEnd):
    """Late answers cut the limit for all own requests by a factor of 0.7."""

    def _decrease_limit(self, holder, busy, now):
        if holder is self and now > self.limit_decreased_ms + self.mean_ms:
            self.limit = max(LIMIT_MIN, 0.7 * min(self.limit, busy + 1.0))
            self.limit_decreased_ms = now
        else:
            super()._decrease_limit(holder, busy, now)


class LowFloor(FrontEnd):
    """The limit for all own requests may fall under two: under one, by chance."""

    def _decrease_limit(self, holder, busy, now):
        if holder is self and now > self.limit_decreased_ms + self.mean_ms:
            self.limit = max(0.3, LIMIT_DECREASE * min(self.limit, busy + 1.0))
            self.limit_decreased_ms = now
        else:
            super()._decrease_limit(holder, busy, now)

    def _route(self, request, now):
        if (
            self.limit < 1.0
            and not request.attempts_sent
            and request.jitter > self.limit
            and self.requests_per_executor(now) < SPARSE_VIEW
        ):
            if not self._should_give_up(request, now):
                request.function.waiting[request.index] = None
                heapq.heappush(self.timers, (now + RECHECK_INTERVAL_MS, request.index))
                return None
            return self._give_up(request)
        return super()._route(request, now)


class SpreadRetry(FrontEnd):
    """Rejects at once in a jam, with retry times spread over the longest allowed."""

    def _give_up(self, request):
        d = super()._give_up(request)
        if d.kind is ActionKind.REJECT:
            longest = self.capabilities.longest_retry_ms
            return Action(
                ActionKind.REJECT, request.index, ms=longest * (0.5 + 0.5 * self.random_source.random())
            )
        return d


class ByWorth(FrontEnd):
    """In a jam what is small for its worth goes first: dear ones need more room under the limit."""

    def _route(self, request, now):
        dear = request.cost_ms > 1.5 * self.mean_cost_ms
        if (
            dear
            and not request.attempts_sent
            and self.attempts_in_flight >= 0.6 * self.limit
            and self.requests_per_executor(now) < SPARSE_VIEW
        ):
            if self._should_give_up(request, now):
                return self._give_up(request)
            request.function.waiting[request.index] = None
            heapq.heappush(self.timers, (now + RECHECK_INTERVAL_MS, request.index))
            return None
        return super()._route(request, now)


class ToldShare(FrontEnd):
    """No more own requests in flight than the told rates' share would have at the usual time."""

    def _route(self, request, now):
        share = 1.5 * self.gate.configured_rate * self.median_ms
        if (
            not request.attempts_sent
            and self.attempts_in_flight >= max(2.0, share)
            and self.requests_per_executor(now) < SPARSE_VIEW
        ):
            if self._should_give_up(request, now):
                return self._give_up(request)
            request.function.waiting[request.index] = None
            heapq.heappush(self.timers, (now + RECHECK_INTERVAL_MS, request.index))
            return None
        return super()._route(request, now)


class QuickToo(FrontEnd):
    """Cut when an answer is slow against the usual, not only when it is late."""

    def _record_latency(self, executor, request, took_ms, now):
        super()._record_latency(executor, request, took_ms, now)
        usual = self.service_time_baselines.get(executor.endpoint.machine, 1.0)
        if took_ms > max(0.4 * request.request_class.latency_objective_ms, 2.5 * request.cost_ms * usual):
            self._decrease_limit(self, self.attempts_in_flight, now)


class SlowGrowth(FrontEnd):
    """After its first cut the limit for all own requests grows by half a request in the time of an answer."""

    part = 0.25

    def _record_latency(self, executor, request, took_ms, now):
        before = self.limit
        super()._record_latency(executor, request, took_ms, now)
        if self.limit > before and self.limit_decreased_ms > -math.inf:
            self.limit = before + self.part * (self.limit - before)


class SlowerGrowth(SlowGrowth):
    """By a quarter of a request."""

    part = 0.125


class FactorGrowth(FrontEnd):
    """By a twentieth of itself."""

    def _record_latency(self, executor, request, took_ms, now):
        before = self.limit
        super()._record_latency(executor, request, took_ms, now)
        if self.limit > before and self.limit_decreased_ms > -math.inf:
            self.limit = before + 0.05


class SlowAndQuick(SlowGrowth, QuickToo):
    """Slow growth, and cuts for what is slow against the usual."""


class AlwaysLimit(FrontEnd):
    """The limit for all own requests holds in any view, not only in a sparse one."""

    def requests_per_executor(self, now):
        seen = super().requests_per_executor(now)
        return min(seen, 0.99 * SPARSE_VIEW) if self._placing else seen

    _placing = False

    def _route(self, request, now):
        self._placing = not request.attempts_sent and self.attempts_in_flight >= self.limit
        try:
            if self._placing and super().requests_per_executor(now) < LIMIT_MIN:
                return super()._route(request, now)
        finally:
            self._placing = False
        return super()._route(request, now)


class AlwaysSlow(AlwaysLimit, SlowGrowth):
    """And it grows slowly."""


class AlwaysFactor(AlwaysLimit, FactorGrowth):
    """And it grows by a factor."""


class AlwaysFactorQuick(AlwaysFactor, QuickToo):
    """And cuts for what is slow against the usual."""


class AlwaysFactorDeep(AlwaysFactor, DeepCut):
    """And cuts deeper."""


class AlwaysFactorWorth(AlwaysFactor, ByWorth):
    """And lets what is dear wait first."""


class AlwaysFactorTold(AlwaysFactor, ToldShare):
    """And never more than the told rates' share."""


class NoHedge(FrontEnd):
    """No further attempts while answers are slow."""

    def _hedge(self, request, now):
        if self.mean_ms > 2.5 * self.median_ms:
            self.hedge_budget = min(self.hedge_budget, 0.9)
        return super()._hedge(request, now)


ANSWERS = {
    "as it is": FrontEnd,
    "gradient": Gradient,
    "chance phase": ChancePhase,
    "deep cut": DeepCut,
    "low floor": LowFloor,
    "spread retries": SpreadRetry,
    "by worth": ByWorth,
    "told share": ToldShare,
    "slow is late": QuickToo,
    "no seconds": NoHedge,
    "always": AlwaysLimit,
    "always, slow": AlwaysSlow,
    "always, factor": AlwaysFactor,
    "a, f, slow is late": AlwaysFactorQuick,
    "a, f, deep cut": AlwaysFactorDeep,
    "a, f, by worth": AlwaysFactorWorth,
    "a, f, told share": AlwaysFactorTold,
    "slow growth": SlowGrowth,
    "slower growth": SlowerGrowth,
    "factor growth": FactorGrowth,
    "slow and quick": SlowAndQuick,
    "least-loaded": LeastLoaded,
    "random": RandomChoice,
}


def day(word: str, seed: int, fronts: int, executors: int) -> dict:
    capacity = executors * 7.6 / 0.25  # cores times speed over the work of a request, a second
    load = {"burst": 0.75, "steady": 1.4, "busy": 0.85}[word]
    found = tree(fronts, executors, load * capacity, SECONDS, 80)
    found["store"] = {"takes": 20 * executors, "limit": 100 * executors}
    found["day"]["seed"] = seed
    for work in found["traffic"]["work"].values():
        work["mean_ms"] = 250.0
    found["troubles"] = [{"kind": "burst", "at_s": 6, "len_s": 7, "size": 2.2}] if word == "burst" else []
    return found


AMPLIFIED = {  # load as a share of what the fleet carries, and what happens
    "busy": (0.85, []),
    "steady": (1.4, []),
    "double": (2.2, []),
    "herd": (0.85, [{"kind": "balancer_crash", "at_s": 6, "len_s": 3, "part": 0.7}]),
    "hall lost": (0.85, [{"kind": "zone_loss", "at_s": 6, "len_s": 7}]),
    "aftermath": (0.85, [{"kind": "burst", "at_s": 14, "len_s": 7, "size": 2.2 / 0.85}]),
}


def amplified(word: str, retries: int, seed: int, fronts: int, executors: int) -> dict:
    """What adds up: tries, attempts and work for each request that a client sends for the first time."""
    load, faults = AMPLIFIED[word]
    found = day("busy", seed, fronts, executors)
    found["traffic"].update(rate=load * executors * 7.6 / 0.25, retries=retries)
    found["troubles"] = faults
    found["day"]["length_s"] = 40 if word == "aftermath" else SECONDS
    played = EmulatedDay(found)
    lines = played.play()
    sum_ = sums(lines, played.day)
    return {**sum_["for_each_trigger"], "work in time": sum_["work_in_time"], "service": sum_["service"],
            "back after s": _back(lines, played.day) if word == "aftermath" else 0.0,
            "broken": len(judge(lines, figures(played.day)))}  # fmt: skip


def _back(lines: list[dict], of: dict) -> float:
    """Seconds after the burst until service by the second stays within 0.03 of what it was before it."""
    quoted = {t.name: t.latency_objective_ms for t in of["tariffs"]}
    good = {}
    for x in lines:
        if x["k"] == "answer" and x["o"] == "fulfilled":
            good.setdefault(f"{x['_source']}\n{x['id']}", x["t"])
    seconds: dict[int, list[bool]] = {}
    for x in lines:
        if x["k"] == "due":
            in_time = x["m"] in good and good[x["m"]] - x["at"] <= quoted[x["f"]]
            seconds.setdefault(int(x["at"] // 1000), []).append(in_time)
    share = {s: sum(some) / len(some) for s, some in seconds.items()}
    before = [share[s] for s in range(6, 14)]
    bad = [s for s in range(21, 40) if share[s] < sum(before) / len(before) - 0.03]
    return max(bad) + 1 - 21 if bad else 0.0


def amplification(fronts: int, executors: int, seeds: int, processes: int | None) -> None:
    runs = [(w, r, s) for w in AMPLIFIED for r in (2, 6) for s in range(1, seeds + 1)]
    with ProcessPoolExecutor(processes) as pool:
        rows = list(pool.map(amplified, *zip(*((*run, fronts, executors) for run in runs), strict=False)))
    print(f"{fronts} front ends, {executors} executors, {seeds} seeds; for each trigger first sent")
    for word in AMPLIFIED:
        for retries in (2, 6):
            some = [row for run, row in zip(runs, rows, strict=False) if run[:2] == (word, retries)]
            words = [f"{k} {sum(row[k] for row in some) / len(some):.3f}" for k in some[0]]
            print(f"{word:10} {retries} more tries: " + ", ".join(words), flush=True)


def play(name: str, word: str, seed: int, fronts: int, executors: int, series: bool = False) -> dict:
    played = EmulatedDay(day(word, seed, fronts, executors), ANSWERS[name])
    rows: list[dict] = []
    if series:

        def look() -> None:
            fes = [f.dispatcher.front_end for f in played.fronts.values()]
            rows.append({
                "t": played.sim.now_s * 1e3 - played.epoch_ms,
                "out": sum(fe.attempts_in_flight for fe in fes),
                "limit": sum(fe.limit for fe in fes),
                "held": sum(len(f.held) for fe in fes for f in fe.functions.values()),
                "queued": sum(x.machine.waits for x in played.lives.values() if x.machine),
                "loads": sum(x.machine.loads for x in played.lives.values() if x.machine),
                "view": sum(fe.requests_per_executor(played.sim.now_s * 1e3) for fe in fes) / len(fes),
            })  # fmt: skip
            played.sim.later(0.5, look)

        played.sim.later(0.2, look)
    lines = played.play()
    found = sums(lines, played.day)
    return {"answer": name, "day": word, "seed": seed, "service": found["service"],
            "worst": found["worst_10_s"], "found": found["found_share"], "p90": found["p90_ms"],
            "nacked": found["outcomes"].get("nacked", 0), "broken": len(judge(lines, figures(played.day))),
            "series": rows}  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fronts", type=int, default=60)
    parser.add_argument("--executors", type=int, default=24)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--answers", nargs="+", default=list(ANSWERS), choices=list(ANSWERS))
    parser.add_argument("--days", nargs="+", default=["burst", "steady", "busy"])
    parser.add_argument("--processes", type=int, default=os.cpu_count())
    parser.add_argument("--amplification", action="store_true", help="what adds up, as it is")
    parser.add_argument("--series", help="a JSON file for the course of the first day")
    asked = parser.parse_args()
    size = asked.fronts, asked.executors
    if asked.amplification:
        amplification(*size, asked.seeds, asked.processes)
        return
    if asked.series:
        found = play(asked.answers[0], asked.days[0], 1, *size, series=True)
        Path(asked.series).write_text(json.dumps(found))
    with ProcessPoolExecutor(asked.processes) as pool:
        runs = [(a, d, s) for d in asked.days for a in asked.answers for s in range(1, asked.seeds + 1)]
        rows = list(pool.map(play, *zip(*((*r, *size) for r in runs), strict=False)))
    print(
        f"{asked.fronts} front ends, {asked.executors} executors, {asked.seeds} seeds of {SECONDS} s; service"
    )
    for answer in asked.answers:
        words = []
        for word in asked.days:
            some = [r for r in rows if r["answer"] == answer and r["day"] == word]
            n = len(some)
            broken = sum(r["broken"] for r in some)
            words.append(
                f"{word} {sum(r['service'] for r in some) / n:.3f} (worst 10 s "
                f"{sum(r['worst'] for r in some) / n:.3f}, found {sum(r['found'] for r in some) / n:.3f}"
                + (f", BROKEN {broken})" if broken else ")")
            )
        print(f"{answer:16} " + "  ".join(words), flush=True)


if __name__ == "__main__":
    main()
