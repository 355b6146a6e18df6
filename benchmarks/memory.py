"""Resident memory of one front end while executors and functions come and go: flat, or it leaks.

Plays a day of rolling deploys with one-off functions on sockets and prints the memory by the minute, and the
growth from the second minute to the last. Ten minutes by default: not for CI. `--minutes`; `--viewers`: so
many look on at its console all the time, ten of them a byte a second, and pages are asked in turn.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from console import look_on

DAY = """
local minutes = %d;
{
  day: { length_s: 60 * minutes, seed: 3, grace_ms: 500 },
  fleet: { halls: ['a', 'b'], executors: 8, fronts: 1, warm_ms: 3000, cold_share: 0.5, keep_ms: 6000,
           kinds: [{ name: 'quad', share: 1, cores: 4, speed: [1, 1.4], memory_mb: 8000 }] },
  functions: { count: 60, load_ms: [100, 200] },
  tariffs: [{ name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000 }],
  customers: [{ name: 'north', portion: 1, rate: 150 }],
  traffic: { rate: 150, work: { status: { mean_ms: 30, cv: 0.4 } }, impatient: 0.01 },
  keeping: { least_keep_ms: 6000, order_timeout_ms: 5000 },
  cold: { multiple: 10, span_ms: 1500, start_share: 0.4, warm_ms: 4000 },
  store: { takes: 60, limit: 500 },
  troubles: [{ kind: 'scan', at_s: 0, len_s: 60 * minutes, size: 0.15 }]
    + [{ kind: 'deploy', at_s: 20 + 60 * i, len_s: 30, part: 1, size: 0.25, extra: 2 }
       for i in std.range(0, minutes - 1)],
}
"""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=int, default=10)
    parser.add_argument("--viewers", type=int, default=0)
    asked = parser.parse_args()
    minutes = asked.minutes
    with tempfile.TemporaryDirectory() as folder:
        day, record = Path(folder) / "day.jsonnet", Path(folder) / "record"
        day.write_text(DAY % minutes)
        words = ["rehearse", str(day), "--json", "--record", str(record)]
        process = subprocess.Popen(
            [sys.executable, "-m", "petrelway", *words, *(["--consoles"] if asked.viewers else [])],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)  # fmt: skip
        if asked.viewers:
            while not (record / "front-0.json").exists():
                time.sleep(0.05)
            time.sleep(0.2)
            port = json.loads((record / "front-0.json").read_text())["console"]["port"]
            times, live = asyncio.run(look_on(port, 60.0 * minutes - 5.0, asked.viewers))
            print(
                f"{asked.viewers} viewers: {live} live updates; {len(times)} pages, worst {times[-1]:.0f} ms"
            )
        out, err = process.communicate()
        if process.returncode not in (0, 1):
            raise SystemExit(err)
        found = json.loads(out)
        used: dict[int, list[float]] = {}
        for text in (record / "conductor.jsonl").read_text().splitlines():
            line = json.loads(text)
            if line["k"] == "use" and line["t"] >= 0:
                used.setdefault(int(line["t"] // 60_000), []).append(line["rss_mb"])
    marks = [max(used[m]) for m in sorted(used) if m < minutes]
    print(f"{minutes} minutes, {found['triggers']} triggers, 8 executors replaced a minute, 15% one-offs")
    print("resident MB by the minute: " + " ".join(f"{m:.1f}" for m in marks))
    if len(marks) > 2:
        print(f"minute 2 to {len(marks)}: {marks[-1] - marks[1]:+.1f} MB ({marks[-1] / marks[1]:.3f} times)")
    print(f"broken rules {len(found['broken_rules'])}, service {found['service']:.3f}")


if __name__ == "__main__":
    main()
