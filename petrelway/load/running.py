"""A load in several processes, merged into one report."""

from __future__ import annotations

import multiprocessing
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from ..common.process_clock import process_clock, share_scale
from .plan import LoadPlan, read_load
from .sender import MOST_MS, Sender, histogram

LEAD_S = 1.5  # the processes start in it
QUANTILES = (50, 90, 99, 99.9)


class LoadRunError(Exception):
    """A part of the load ended without its figures; its text says why."""


def _play(file: str, number: int, port: int, epoch: float, pipe) -> None:
    """One process."""
    from ..common.process_clock import steady_reactor

    reactor = steady_reactor()
    try:
        plan = read_load(file)
        sender = Sender(
            reactor,
            port,
            plan.part(number),
            plan.attributes,
            f"/load/{number}",
            plan.how.timeout_ms,
            plan.how.open_bound,
        )
        failed: list[str] = []

        def begin() -> None:
            done = sender.start(epoch)
            done.addErrback(lambda f: failed.append(f.getErrorMessage()))
            done.addBoth(lambda _: reactor.stop())

        reactor.callWhenRunning(begin)
        reactor.run()
        if failed:
            raise LoadRunError(failed[0])
        pipe.send(part_of(sender))
    except (LoadRunError, OSError) as problem:
        pipe.send(str(problem))


def part_of(sender: Sender) -> dict[str, Any]:
    """A sender's figures as plain values."""
    return {
        "counts": dict(sender.counts),
        "by_second": [dict(c) for c in sender.by_second],
        "latency": sender.latency.encode(),
        "lateness": sender.lateness.encode(),
    }


def merged(parts: list[dict[str, Any]]) -> dict[str, Any]:
    """One report: counts, latency from when each was due and this generator's own lateness, in ms."""
    counts: Counter[str] = Counter()
    by_second: list[Counter[str]] = []
    latency, lateness = histogram(), histogram()
    for part in parts:
        counts.update(part["counts"])
        for second, some in enumerate(part["by_second"]):
            while len(by_second) <= second:
                by_second.append(Counter())
            by_second[second].update(some)
        latency.add(HdrHistogram.decode(part["latency"]))
        lateness.add(HdrHistogram.decode(part["lateness"]))
    return {
        "due": counts["due"],
        "ended": {k: v for k, v in sorted(counts.items()) if k != "due"},
        "latency_ms": quantiles(latency),
        "own_lateness_ms": quantiles(lateness),
        "by_second": [dict(sorted(c.items())) for c in by_second],
    }


def quantiles(h: HdrHistogram) -> dict[str, float]:
    if not h.get_total_count():
        return {}
    found = {f"p{q:g}": round(h.get_value_at_percentile(q) / 1000, 3) for q in QUANTILES}
    return {**found, "most": round(min(MOST_MS, h.get_max_value() / 1000), 3)}


def play(file: str, plan: LoadPlan, port: int) -> dict[str, Any]:
    """Play the load against a port of this machine. Raises LoadRunError."""
    context = multiprocessing.get_context("spawn")
    share_scale()
    epoch = process_clock().seconds() + LEAD_S
    running = []
    for number in range(plan.how.processes):
        here, there = context.Pipe(duplex=False)
        process = context.Process(target=_play, args=(file, number, port, epoch, there))
        process.start()
        there.close()
        running.append((process, here))
    parts, problems = [], []
    for process, here in running:
        try:
            found = here.recv()
            (problems if isinstance(found, str) else parts).append(found)
        except EOFError:
            problems.append("a process of the load died")
        process.join()
    if problems:
        raise LoadRunError(problems[0])
    return merged(parts)


def text(found: dict[str, Any]) -> str:
    """For a terminal."""
    ended = ", ".join(f"{k} {v}" for k, v in found["ended"].items())
    lines = [f"{found['due']} triggers due: {ended}"]
    for name, words in (("latency_ms", "latency from when due"), ("own_lateness_ms", "sent late by")):
        lines.append(f"{words}: " + ", ".join(f"{k} {v:g} ms" for k, v in found[name].items()))
    return "\n".join(lines)
