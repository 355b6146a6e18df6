"""One emulated run as one row of figures."""

from __future__ import annotations

import hashlib
import subprocess
import time
from collections import Counter
from pathlib import Path
from typing import Any

from .. import routing
from ..invariants.checker import figures, judge
from ..scenarios.baselines import POLICIES
from ..scenarios.report import sums
from .day import EmulatedDay

FIGURES = (
    "triggers", "service", "worst_10_s", "worst_customer", "in_time", "late", "unserved", "p50_ms", "p90_ms",
    "p99_ms", "found_share", "store_fetches")  # fmt: skip


def run(tree: dict[str, Any], policy: str) -> dict[str, float]:
    """Play the day and judge it. Times in ms but for `took_s`, which is this machine's."""
    began = time.perf_counter()
    played = EmulatedDay(tree, POLICIES[policy])
    lines = played.play()
    found = sums(lines, played.day)
    row = {name: float(found[name]) for name in FIGURES}
    outcomes = Counter(found["outcomes"])
    row.update({"fulfilled": outcomes["fulfilled"], "nacked": outcomes["nacked"]})
    row.update({"broken_off": outcomes["broken off"], "lost": outcomes["lost"] + outcomes["unanswered"]})
    faults = judge(lines, figures(played.day))
    row["broken_rules"] = len(faults)
    row["first_broken"] = min((f.rule for f in faults), default=0)
    row["took_s"] = time.perf_counter() - began
    return {name: float(value) for name, value in row.items()}


def judged(tree: dict[str, Any], policy: str) -> tuple[frozenset[int], float]:
    """The rules that a day breaks, and its service."""
    played = EmulatedDay(tree, POLICIES[policy])
    lines = played.play()
    faults = judge(lines, figures(played.day))
    return frozenset(f.rule for f in faults), float(sums(lines, played.day)["service"])


def made_by() -> dict[str, str]:
    """The commit, empty where there is none, and the decisions' own text."""
    modules = sorted(Path(routing.__file__).parent.glob("*.py"))
    text = b"".join(module.read_bytes() for module in modules)
    try:
        done = subprocess.run(
            ["git", "rev-parse", "HEAD"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=10,
        )
        commit = done.stdout.strip() if done.returncode == 0 else ""
    except (OSError, subprocess.TimeoutExpired):
        commit = ""
    return {"commit": commit, "decisions": hashlib.sha256(text).hexdigest()[:12]}
