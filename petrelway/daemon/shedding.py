"""What a daemon gives up, in which order, before the module is asked. Pure; nothing taken is dropped.

Pressure is the worst of lag, open requests, bytes buffered and connections, each over its bound. The order:

| step | from pressure | what is given up |
| --- | --- | --- |
| 0 | - | nothing |
| 1 | 0.8 | live pages slow down |
| 2 | 1.0 | repeats of requests are rejected |
| 3 | 1.2 | requests of tenants over their share are rejected |
| 4 | 1.5 | of all others a part is rejected, the same part of each tenant's share |
| 5 | 2.0 | all are rejected |
"""

from __future__ import annotations

import math
import random
from collections import Counter
from enum import IntEnum
from typing import NamedTuple

FROM = (0.0, 0.8, 1.0, 1.2, 1.5, 2.0)  # pressure from which a step acts ...
BACK = 0.85  # ... and the part of it under which it ends: a step must not flutter
SPAN_MS = 2000.0  # over which tenants' traffic is averaged
RETRY_MS, RETRY_MOST_MS = 200.0, 5000.0
OVER = 1.1  # a tenant is over its share from so many times it


class Step(IntEnum):
    ALL_WELL = 0
    SLOW_PAGES = 1
    REPEATS = 2
    OVER_SHARE = 3
    FAIR_PART = 4
    ALL = 5


class Pressures(NamedTuple):
    """Each as a part of its bound."""

    lag: float
    open: float
    buffered: float
    connections: float


class Shedder:
    """One daemon's guard. Tenants' shares are as told; untold ones count as equal."""

    def __init__(
        self,
        portions: list[float],
        lag_ms: float,
        open_bound: int,
        buffered_bound: int,
        connections_bound: int,
        random_source: random.Random,
    ) -> None:
        self.portions = portions if sum(portions) > 0.0 else [1.0] * len(portions)
        self.lag_ms, self.open_bound = lag_ms, open_bound
        self.buffered_bound, self.connections_bound = buffered_bound, connections_bound
        self.random_source = random_source
        self.pressures = Pressures(0.0, 0.0, 0.0, 0.0)
        self.step = Step.ALL_WELL
        # decayed counts of what came, each with its time: of each tenant, and of all at the end
        self.asked = [(0.0, 0.0)] * (max(1, len(portions)) + 1)
        self.owed: list[float] = [0.0] * max(
            1, len(portions)
        )  # parts of requests that a tenant still may send
        self.rejected: Counter[str] = Counter()

    def told(self, portions: list[float]) -> None:
        """Other shares; a tenant keeps its index, and what it was seen to ask."""
        self.portions = portions if sum(portions) > 0.0 else [1.0] * len(portions)
        more = max(1, len(portions)) - len(self.owed)
        self.asked[-1:-1] = [(0.0, 0.0)] * more
        self.owed += [0.0] * more

    def seen(self, lag_ms: float, open: int, buffered: int, connections: int) -> None:
        """The daemon's own state now."""
        self.pressures = Pressures(
            lag_ms / self.lag_ms,
            open / self.open_bound,
            buffered / self.buffered_bound,
            connections / self.connections_bound,
        )
        worst = max(self.pressures)
        up = max(step for step in Step if worst >= FROM[step])
        down = max(step for step in Step if worst >= BACK * FROM[step])
        self.step = Step(min(max(self.step, up), down) if self.step > up else up)

    def shut(self) -> float:
        """While nothing is taken: the retry time in ms for all, before what they ask is read; else 0."""
        return self._reject("all") if self.step is Step.ALL else 0.0

    def ask(self, now: float, tenant: int, repeat: bool) -> float:
        """0 to take it, else the retry time in ms of the reject that it gets at once."""
        for i in (tenant, -1):  # these two alone: a settings file may list thousands of tenants
            self.asked[i] = self._faded(i, now) + 1.0, now
        if self.step < Step.REPEATS:
            return 0.0
        if self.step is Step.ALL:
            return self._reject("all")
        if repeat:
            return self._reject("repeat")
        if self.step >= Step.OVER_SHARE and self.over(tenant, now):
            return self._reject("over share")
        if self.step >= Step.FAIR_PART and not self._part(tenant):
            return self._reject("fair part")
        return 0.0

    def _faded(self, i: int, now: float) -> float:
        count, at = self.asked[i]
        return count * math.exp(min(0.0, at - now) / SPAN_MS)

    def over(self, tenant: int, now: float) -> bool:
        """Whether it sends more than its share of what comes; alone, nobody is."""
        total = self._faded(-1, now)
        share = self.portions[tenant] / sum(self.portions) if self.portions else 1.0
        return total >= 10.0 and len(self.portions) > 1 and self._faded(tenant, now) > OVER * share * total

    def _part(self, tenant: int) -> bool:
        """Of each request as much is taken as the pressure leaves; whole ones by saving up, not by luck."""
        worst = max(self.pressures)
        self.owed[tenant] += max(
            0.0, min(1.0, (FROM[Step.ALL] - worst) / (FROM[Step.ALL] - FROM[Step.FAIR_PART]))
        )
        if self.owed[tenant] >= 1.0:
            self.owed[tenant] -= 1.0
            return True
        return False

    def _reject(self, why: str) -> float:
        self.rejected[why] += 1
        worst = max(self.pressures)
        return min(RETRY_MOST_MS, RETRY_MS * worst * worst * (0.75 + 0.5 * self.random_source.random()))
