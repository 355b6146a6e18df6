"""What a recorded day came to, from the clients' and the store's records alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from ..invariants.records import read


def percentile(values: list[float], share: float) -> float:
    """Of sorted values; 0 for none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def report(folder: str | Path, day: dict[str, Any]) -> dict[str, Any]:
    """`sums` of the record in a folder."""
    return sums(read(folder), day)


def sums(lines: Iterable[dict[str, Any]], day: dict[str, Any]) -> dict[str, Any]:
    """Service within the quoted time and what it is made of. Times in ms, shares from 0 to 1."""
    request_classes = {t.name: t for t in day["tariffs"]}
    first: dict[str, dict] = {}
    good: dict[str, float] = {}
    outcomes: Counter[str] = Counter()
    warmth: Counter[str] = Counter()
    fetches, cpu_s = 0, 0.0
    passed: Counter[str] = Counter()  # words that reached executors, by kind
    ran: Counter[str] = Counter()  # marks that were worked on, each time
    for line in lines:
        kind = line["k"]
        if kind == "due":
            first[line["m"]] = line
        elif kind == "answer":
            outcomes[line["o"] or f"refused {line['st']}"] += 1
            key = f"{line['_source']}\n{line['id']}"
            if line["o"] == "fulfilled" and key not in good:
                good[key] = line["t"]
                warmth[line["w"]] += 1
        elif kind in ("lost", "unanswered", "unreachable", "gone"):
            outcomes[kind] += 1
        elif kind == "fetch":
            fetches += 1
        elif kind == "ran":
            ran[line["m"]] += 1
        elif kind in ("recv", "order", "probe"):
            passed["second" if kind == "recv" and line["n"] else kind] += 1
        elif kind == "end" and line.get("_file") == "conductor":
            cpu_s = line["cpu_s"]
    earned = asked = useful_ms = 0.0
    in_time = late = 0
    took = []
    windows: dict[int, list[float]] = {}
    by_tenant: dict[str, list[float]] = {}
    for mark, line in first.items():
        t = request_classes[line["f"]]
        worth = t.worth * line["w"]
        got = 0.0
        if mark in good:
            ms = good[mark] - line["at"]  # from when it was due: no coordinated omission
            took.append(ms)
            if ms <= t.latency_objective_ms:
                got, in_time = worth, in_time + 1
                useful_ms += line["w"] if ran[mark] else 0.0
            elif ms <= t.deadline_ms:
                got, late = worth * t.late_share, late + 1
        asked += worth
        earned += got
        for table, key in ((windows, int(line["at"] // 10_000)), (by_tenant, line["c"])):
            pair = table.setdefault(key, [0.0, 0.0])
            pair[0] += got
            pair[1] += worth
    took.sort()
    work_ms = sum(first[mark]["w"] * times for mark, times in ran.items() if mark in first)
    answers = sum(outcomes[o] for o in ("fulfilled", "nacked", "broken off"))
    loads = warmth["began"] + warmth["awaited"]
    return {
        "triggers": len(first),
        "service": earned / asked if asked else 0.0,
        "worst_10_s": min((a / b for a, b in windows.values() if b), default=0.0),
        "worst_customer": min((a / b for a, b in by_tenant.values() if b), default=0.0),
        "in_time": in_time,
        "late": late,
        "unserved": len(first) - in_time - late,
        "p50_ms": round(percentile(took, 0.5), 1),
        "p90_ms": round(percentile(took, 0.9), 1),
        "p99_ms": round(percentile(took, 0.99), 1),
        "found_share": warmth["found"] / max(1, warmth["found"] + loads),
        "outcomes": dict(sorted(outcomes.items())),
        "store_fetches": fetches,
        "for_each_trigger": {
            "tries": _each(sum(outcomes.values()), first),
            "transmissions": _each(passed["recv"] + passed["second"], first),
            "second": _each(passed["second"], first),
            "ran": _each(sum(ran.values()), first),
            "orders": _each(passed["order"], first),
            "probes": _each(passed["probe"], first),
        },
        "work_in_time": round(useful_ms / work_ms, 4) if work_ms else 0.0,
        "front_cpu_ms_per_answer": round(1e3 * cpu_s / max(1, answers), 3),
    }


def _each(count: int, first: dict) -> float:
    """For each request that a client sent for the first time."""
    return round(count / max(1, len(first)), 3)


def told_of_fleet(breaches: list | None) -> list[str]:
    """What is said of the front ends as a fleet; nothing where they don't know each other."""
    if breaches is None:
        return []
    if not breaches:
        return ["fleet: parts, ends, views: all kept"]
    said = [f"  {b.statement} at {b.at_ms / 1e3:.3f} s, {b.who}: {b.what}" for b in breaches[:20]]
    return [f"FLEET'S STATEMENTS BROKEN: {len(breaches)}", *said]


def text(found: dict[str, Any], faults: list, breaches: list | None = None) -> str:
    """For a terminal."""
    lines = [
        f"triggers {found['triggers']}: {found['in_time']} in time, {found['late']} late, "
        f"{found['unserved']} unserved",
        f"service within the quoted time {found['service']:.3f}; worst 10 s {found['worst_10_s']:.3f}; "
        f"worst customer {found['worst_customer']:.3f}",
        f"latency p50 {found['p50_ms']:.0f} ms, p99 {found['p99_ms']:.0f} ms; "
        f"copy found by {found['found_share']:.1%} of the fulfilled; {found['store_fetches']} store fetches",
        "answers to tries: " + ", ".join(f"{k} {v}" for k, v in found["outcomes"].items()),
        "for each trigger: "
        + ", ".join(f"{v} {k}" for k, v in found["for_each_trigger"].items())
        + f"; {found['work_in_time']:.1%} of the executors' work was answered in time",
        f"front ends' CPU {found['front_cpu_ms_per_answer']:.2f} ms an answer",
    ]
    if faults:
        lines.append(f"RULES BROKEN: {len(faults)}")
        lines += [f"  rule {f.rule} at {f.at_ms / 1e3:.3f} s, {f.request}: {f.what}" for f in faults[:20]]
    else:
        lines.append("rules: all five kept")
    lines += told_of_fleet(breaches)
    return "\n".join(lines)


def as_json(found: dict[str, Any], faults: list, breaches: list | None = None) -> str:
    said = {**found, "broken_rules": [f.as_json() for f in faults]}
    if breaches is not None:
        said["broken_statements"] = [b.as_json() for b in breaches]
    return msgspec.json.encode(said).decode()
