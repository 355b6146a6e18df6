"""Days of overlapping faults between front ends, drawn from a seed."""

from __future__ import annotations

import random
from typing import Any

FIRST_S, LEAST, MOST = 7.0, 3, 6  # faults begin when parts are in use, and so many come


def draw(tree: dict[str, Any], seed: int) -> dict[str, Any]:
    """The day with that seed and three to six faults of its front ends; the last third of it is calm."""
    random_source = random.Random(f"{seed}/rain")
    size, length = tree["fleet"]["fronts"], tree["day"]["length_s"]
    faults = [_one(random_source, size, length) for _ in range(random_source.randint(LEAST, MOST))]
    fleet = {**tree["fleet"], "members": True}
    return {**tree, "day": {**tree["day"], "seed": seed}, "fleet": fleet, "fleet_troubles": faults}


def _one(random_source: random.Random, size: int, length_s: float) -> dict[str, Any]:
    kind = random_source.choice(
        (
            "kill",
            "kill",
            "stop",
            "stop",
            "leave",
            "cut",
            "one way",
            "flap",
            "loss",
            "delay",
            "double",
            "reorder",
        )
    )
    at = FIRST_S + random_source.random() * max(0.0, length_s * 2 / 3 - FIRST_S)
    some = random_source.sample(
        range(size), max(1, round(size * random_source.choice((0.08, 0.2, 0.4, 0.7))))
    )
    x: dict[str, Any] = {"kind": kind, "at_s": round(at, 2), "on": sorted(some)}
    x["len_s"] = round(min(length_s * 2 / 3 - at, random_source.choice((0.5, 1.5, 4.0, 8.0, 15.0))) + 0.1, 2)
    if kind == "kill" and random_source.random() < 0.4:
        x["len_s"] = 0.0  # for good
    if kind in ("loss", "double", "reorder"):
        x["size"] = round(random_source.uniform(0.05, 0.5), 2)
    elif kind == "delay":
        x["size"] = round(random_source.uniform(20.0, 1500.0), 1)
    if kind in ("delay", "double", "reorder"):
        x["extra"] = round(random_source.uniform(10.0, 400.0), 1)
    elif kind == "flap":
        x["extra"] = round(random_source.uniform(200.0, 3000.0), 1)
    if kind in ("loss", "delay", "double", "reorder") and random_source.random() < 0.6:
        del x["on"]  # on all ways
    return x
