"""Real workers in a rehearsal: packages for the day's functions, settings for each worker."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ..fakes.scenario_processes import Plan
from ..fakes.traffic import functions
from ..worker.package import build

# what happens to processes can happen to real ones; what needs a look inside the machine model can't
PLAYED = frozenset(
    ("hang", "zone_loss", "deploy", "origin_slow", "balancer_crash", "balancer_stall")
    + ("burst", "heavy_tail", "shift")
)
ENTRY = """import json
import time

held = bytearray(%d << 20)
for at in range(0, len(held), 4096):
    held[at] = 1


def run(body, call):
    told = json.loads(body)
    time.sleep((float(told.get("work_ms", 0)) + float(told.get("io_ms", 0))) / 1e3)
    return b'{"status":"good"}'
"""
HELD_MB, REPLICA_MB = 8, 40.0  # what a copy touches, and what it tells with the interpreter round it


def unplayable(day: dict[str, Any]) -> list[str]:
    """Kinds of fault of a day that real workers can't be given."""
    return sorted({t.kind for t in day["troubles"]} - PLAYED)


def write_packages(plan: Plan) -> Path:
    """A package for each function of the day."""
    folder = plan.folder / "packages"
    source = plan.folder / "package-source"
    source.mkdir(parents=True, exist_ok=True)
    (source / "model.py").write_text(ENTRY % HELD_MB)
    for f in functions(plan.day):
        manifest = {"name": f.name, "version": "1", "entry": "model:run", "memory_mb": REPLICA_MB}
        manifest["lanes"] = f.lanes
        (source / "manifest.json").write_text(json.dumps(manifest))
        build(source, folder / f"{f.name}.tar")
    return folder


def write_worker(plan: Plan, number: int) -> Path:
    """Settings of one worker."""
    day, post = plan.day, plan.script.posts[number]
    kind = day["fleet"].kinds[post.kind]
    settings = {
        "worker": {"name": post.name, "machine": kind.name},
        "listen": {"port": plan.ports["executors"][number]},
        "store": {"port": plan.ports["store"]},
        "memory": {"budget_mb": kind.memory_mb, "measure_ms": 1000},
        "loads": {"at_once": day["fleet"].loads_at_once, "recheck_ms": 0},
        "calls": {"slots": kind.cores * kind.slots_per_core, "queue": kind.queue},
        "copies": {
            "keep_ms": day["fleet"].keep_ms,
            "more": day["fleet"].eager,
            "answers_miss": day["keeping"].answers_miss,
        },
        "images": {"folder": str(plan.folder / f"images-{post.name}"), "bound_mb": 200},
        "stamped": [
            {"tariff": t.name, "window_ms": t.window_ms} for t in day["tariffs"] if t.idempotency == "stamped"
        ],
        "log": {"file": str(plan.folder / f"{post.name}.log")},
    }
    file = plan.folder / f"{post.name}.json"
    file.write_text(json.dumps(settings, indent=1))
    return file
