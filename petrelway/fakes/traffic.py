"""What clients ask for, pure: arrivals in open loop, drawn from a day with chance handed in."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from typing import Any, NamedTuple

from .fault_script import Happening


class FunctionTruth(NamedTuple):
    name: str
    memory_mb: float
    lanes: int
    fetch_ms: float
    start_ms: float
    pace: float  # its work, times the request class's mean


class Asked(NamedTuple):
    """One request of a client, before its first try; times in ms."""

    request_class: int
    tenant: int
    function: FunctionTruth
    front: int
    work_ms: float
    io_ms: float
    hint_ms: float


def functions(day: dict[str, Any]) -> list[FunctionTruth]:
    """The day's functions, most popular first."""
    draw, random_source = day["functions"], random.Random(f"{day['day'].seed}/functions")
    found = []
    for i in range(draw.count):
        load = random_source.uniform(*draw.load_ms)
        found.append(
            FunctionTruth(
                f"model-{i}",
                random_source.uniform(*draw.memory_mb),
                random_source.choice(draw.lanes),
                load * draw.fetch_share,
                load * (1.0 - draw.fetch_share),
                math.exp(random_source.gauss(0.0, 0.3)),
            )
        )
    return found


class Traffic:
    """Arrivals of one client process out of `of`."""

    def __init__(self, day: dict[str, Any], random_source: random.Random, of: int) -> None:
        self.day, self.random_source = day, random_source
        self.traffic, self.request_classes, self.fleet = day["traffic"], day["tariffs"], day["fleet"]
        self.rate = self.traffic.rate / of / 1e3  # a ms
        self.functions = functions(day)
        weights = [1.0 / (i + 1) ** day["functions"].zipf for i in range(len(self.functions))]
        self.popular = list(itertools.accumulate(weights))
        self.shares = [
            self.traffic.shares.get(t.name, 0.0 if self.traffic.shares else 1.0) for t in self.request_classes
        ]
        self.portions = [c.portion for c in day["customers"]]
        zones = len(self.fleet.zones)
        self.fronts = [[f for f in range(self.fleet.fronts) if f % zones == h] for h in range(zones)]
        self.zones = [float(len(f)) for f in self.fronts]
        self.burst, self.scan, self.once = 1.0, 0.0, 0
        self.heavy = (1.0, 0.0, 0)  # times, share, request class
        self.moving = (0.0, 0.0, 0.0, 0)  # from, until, share, zone

    def happen(self, h: Happening, now: float) -> None:
        if h.what in ("burst", "end burst"):
            self.burst = h.size if h.what == "burst" else 1.0
        elif h.what in ("scan", "end scan"):
            self.scan = h.size if h.what == "scan" else 0.0
        elif h.what in ("heavy tail", "end heavy tail"):
            self.heavy = (
                (h.size, h.extra, h.which % len(self.request_classes))
                if h.what == "heavy tail"
                else (1.0, 0.0, 0)
            )
        elif h.what == "shift":
            self.moving = (now, now + 1000.0, h.size, h.which % len(self.zones))

    def wait(self) -> float:
        """Until the next arrival, in ms."""
        return self.random_source.expovariate(self.rate * self.burst)

    def draw(self, now: float) -> Asked:
        random_source = self.random_source
        request_class = random_source.choices(range(len(self.shares)), self.shares)[0]
        tenant = random_source.choices(range(len(self.portions)), self.portions)[0]
        if random_source.random() < self.scan:
            self.once += 1
            f = FunctionTruth(f"once-{random_source.getrandbits(40):x}", 300.0, 4, 350.0, 150.0, 1.0)
        else:
            f = self.functions[bisect.bisect_left(self.popular, random_source.random() * self.popular[-1])]
        work = self.traffic.work.get(self.request_classes[request_class].name)
        mean, cv, io = (work.mean_ms, work.cv, work.io_ms) if work else (150.0, 0.7, 0.0)
        sigma = math.sqrt(math.log(1.0 + cv * cv))
        work_ms = mean * f.pace * math.exp(random_source.gauss(-sigma * sigma / 2, sigma))
        times, share, heavy = self.heavy
        if request_class == heavy and random_source.random() < share:
            work_ms *= times
        hint = (
            work_ms * math.exp(random_source.gauss(0.0, self.traffic.hint_cv))
            if self.traffic.hint_cv < 4
            else 0.0
        )
        return Asked(request_class, tenant, f, self._front(now), work_ms, io, hint)

    def _front(self, now: float) -> int:
        begin, end, share, zone = self.moving
        if end and self.random_source.random() < share * min(1.0, max(0.0, (now - begin) / (end - begin))):
            fronts = self.fronts[zone] or [0]
        else:
            fronts = self.random_source.choices(self.fronts, self.zones)[0]
        return self.random_source.choice(fronts)
