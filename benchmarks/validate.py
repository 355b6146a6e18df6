"""The same days on sockets and emulated, side by side. Not for CI: a day on sockets takes its own length."""

from __future__ import annotations

import argparse
import copy
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from petrelway.emulator.runs import run
from petrelway.settings.reading import evaluate

FIGURES = ("service", "found_share", "p50_ms", "p90_ms", "p99_ms", "store_fetches")
#        front ends, executors, requests/s, faults of the bad day
DAYS = [(1, 8, 70, False), (3, 12, 120, False), (3, 12, 120, True)]


def tree(fronts: int, executors: int, rate: float, faults: bool, seconds: float, seed: int) -> dict:
    day = copy.deepcopy(evaluate(str(Path(__file__).parent.parent / "examples" / "bad-day.jsonnet")))
    day["day"].update(length_s=seconds, seed=seed)
    day["fleet"].update(fronts=fronts, executors=executors)
    day["traffic"]["rate"] = rate
    for tenant in day["customers"]:
        tenant["rate"] = rate * tenant["portion"]
    day["troubles"] = [t for t in day["troubles"] if faults]
    for fault in day["troubles"]:
        fault["at_s"] *= seconds / 60.0
        fault["len_s"] = fault.get("len_s", 10.0) * seconds / 60.0
    return day


def on_sockets(day: dict) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "day.json"
        file.write_text(json.dumps(day))
        done = subprocess.run(
            [sys.executable, "-m", "petrelway", "rehearse", str(file), "--json"],
            capture_output=True,
            text=True,
        )
        if done.returncode not in (0, 1):
            raise SystemExit(done.stderr)
        found = json.loads(done.stdout)
        found["broken_rules"] = len(found["broken_rules"])
        return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    asked = parser.parse_args()
    for fronts, executors, rate, faults in DAYS:
        sums: dict[str, dict[str, float]] = {"sockets": {}, "emulated": {}}
        for seed in range(1, asked.seeds + 1):
            day = tree(fronts, executors, rate, faults, asked.seconds, seed)
            for name, found in (("sockets", on_sockets(day)), ("emulated", run(day, "petrelway"))):
                for figure in (*FIGURES, "broken_rules"):
                    sums[name][figure] = sums[name].get(figure, 0.0) + found[figure] / asked.seeds
        words = "with the bad day's troubles" if faults else "quiet"
        print(f"{fronts} front ends, {executors} executors, {rate}/s, {words}, {asked.seeds} seeds of "
              f"{asked.seconds:g} s", flush=True)  # fmt: skip
        for figure in (*FIGURES, "broken_rules"):
            one, other = sums["sockets"][figure], sums["emulated"][figure]
            moved = f"{other / one - 1.0:+.1%}" if one else "-"
            print(f"  {figure:14} sockets {one:8.3f}  emulated {other:8.3f}  {moved}", flush=True)


if __name__ == "__main__":
    main()
