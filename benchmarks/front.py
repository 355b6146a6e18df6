"""One front end against a bare pass-through on the same sockets: same intake, host and links, round robin,
no module.

Stand-in executors with cores to spare, clients in processes of their own. Prints throughput, latency, CPU a
request and the share of it in decisions, the two side by side, as ratios from one run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path

DAY = """
local rate = %(rate)d;
{
  day: { length_s: %(seconds)d, seed: %(seed)d, grace_ms: 2000 },
  fleet: { halls: ['a', 'b', 'c'], executors: 12, fronts: 1, warm_ms: 1000, cold_share: 1,
           keep_ms: 100000,
           kinds: [{ name: 'wide', share: 1, cores: 64, memory_mb: 100000, slots_per_core: 8,
                     queue: 5000 }] },
  functions: { count: 60, zipf: 1.0, load_ms: [20, 40], lanes: [64] },
  tariffs: [{ name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000 }],
  customers: [{ name: 'north', portion: 1, rate: rate }],
  traffic: { rate: rate, work: { status: { mean_ms: 20, cv: 0.3 } }, retries: 0, clients: 3 },
  permits: { transmissions: 3, longest_retry_ms: 500 },
  keeping: { least_keep_ms: 100000 },
  store: { takes: 1000, limit: 10000 },
  cold: { multiple: 100, span_ms: 1000, start_share: 1, warm_ms: 1000 },
  troubles: [],
}
"""


def play(policy: str, rate: int, seconds: int, seed: int) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        day = Path(folder) / "day.jsonnet"
        day.write_text(DAY % {"rate": rate, "seconds": seconds, "seed": seed})
        record = Path(folder) / "record"
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "petrelway",
                "rehearse",
                str(day),
                "--json",
                "--record",
                str(record),
                "--policy",
                policy,
            ],
            capture_output=True,
            text=True,
        )
        if done.returncode not in (0, 1):
            raise SystemExit(done.stderr)
        found = json.loads(done.stdout)
        for line in (record / "front-0.log").read_text().splitlines():
            told = json.loads(line)
            if told["event"] == "front end left":
                found["deciding_ms"] = told["deciding_ms"]
        return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=990)
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--rounds", type=int, default=2)
    asked = parser.parse_args()
    totals: dict[str, list[dict]] = {"pass-through": [], "petrelway": []}
    for seed in range(1, asked.rounds + 1):
        for policy in totals:  # in turn, so that a change of the machine meets both
            totals[policy].append(play(policy, asked.rate, asked.seconds, seed))
    rows = {}
    for policy, runs in totals.items():
        answers = sum(r["outcomes"].get("fulfilled", 0) for r in runs)
        cpu = sum(r["front_cpu_ms_per_answer"] for r in runs) / len(runs)
        rows[policy] = {
            "fulfilled_a_second": answers / len(runs) / asked.seconds,
            "p50_ms": sum(r["p50_ms"] for r in runs) / len(runs),
            "p99_ms": sum(r["p99_ms"] for r in runs) / len(runs),
            "cpu_ms": cpu,
            "in_decide": sum(r["deciding_ms"] for r in runs) / max(1e-9, cpu * answers),
            "broken_rules": sum(len(r["broken_rules"]) for r in runs),
        }
    base, own = rows["pass-through"], rows["petrelway"]
    print(
        f"one front end, 12 executors, {asked.rate} triggers/s for {asked.seconds} s, "
        f"{asked.rounds} rounds each"
    )
    for policy, row in rows.items():
        print(
            f"{policy:13} fulfilled/s {row['fulfilled_a_second']:7.1f}  p50 {row['p50_ms']:6.1f} ms  "
            f"p99 {row['p99_ms']:6.1f} ms  CPU {row['cpu_ms']:.3f} ms a trigger  "
            f"in decide {row['in_decide']:.1%}  broken rules {row['broken_rules']}"
        )
    print(
        f"throughput ratio {own['fulfilled_a_second'] / max(1e-9, base['fulfilled_a_second']):.3f}  "
        f"added p50 {own['p50_ms'] - base['p50_ms']:.1f} ms  "
        f"added p99 {own['p99_ms'] - base['p99_ms']:.1f} ms  "
        f"CPU ratio {own['cpu_ms'] / max(1e-9, base['cpu_ms']):.2f}"
    )


if __name__ == "__main__":
    main()
