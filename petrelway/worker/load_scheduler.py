"""Which load starts next and which waits, pure: earliest deadline first, back-off after failures."""

from __future__ import annotations

import math

BACK_OFF_MS, BACK_OFF_MOST_MS = 500.0, 30_000.0
FORGET_MS = 120_000.0


class Load:
    """One load of one function, from the wish to the copy."""

    def __init__(self, id: int, function: str, mb: float, lanes: int, wished_ms: float) -> None:
        self.id, self.function, self.mb, self.lanes = id, function, mb, lanes
        self.wished_ms = wished_ms
        self.began_ms = -1.0  # -1: waits for its turn
        self.ordered_until = -math.inf  # an order's patience: counts as a waiting request until then
        self.digest = ""

    def __repr__(self) -> str:
        return f"Load({self.id}, {self.function!r})"


class Loads:
    """The loads of one worker: some under way, some in line."""

    def __init__(self, at_once: int, line_bound: int) -> None:
        self.at_once, self.line_bound = at_once, line_bound
        self.line: dict[int, Load] = {}
        self.under_way: dict[int, Load] = {}
        self.of: dict[str, dict[int, Load]] = {}
        self.failures: dict[str, tuple[int, float, float]] = {}  # function -> how many, not before, when last

    def count(self, function: str) -> int:
        return len(self.of.get(function, ()))

    def barred_until(self, function: str) -> float:
        """No load of it before this: it failed lately."""
        return self.failures.get(function, (0, -math.inf, 0.0))[1]

    def wish(self, load: Load) -> bool:
        """Put one in line; False if the line is full."""
        if len(self.line) >= self.line_bound:
            return False
        self.line[load.id] = load
        self.of.setdefault(load.function, {})[load.id] = load
        return True

    def next(self, deadlines: dict[str, float], now: float) -> tuple[Load | None, list[Load]]:
        """The load whose turn it is, and those that nothing waits for any more (they leave the line).

        `deadlines` has for each function the earliest time by which a waiting request must be answered.
        """
        idle = [x for x in self.line.values() if x.function not in deadlines and x.ordered_until < now]
        for load in idle:
            self.over(load)
        if len(self.under_way) >= self.at_once or not self.line:
            return None, idle
        return min(self.line.values(), key=lambda x: (self._deadline(x, deadlines), x.id)), idle

    def _deadline(self, load: Load, deadlines: dict[str, float]) -> float:
        until = load.ordered_until if load.ordered_until > -math.inf else math.inf
        return min(until, deadlines.get(load.function, math.inf))

    def begin(self, load: Load, now: float) -> None:
        del self.line[load.id]
        self.under_way[load.id] = load
        load.began_ms = now

    def over(self, load: Load) -> None:
        self.line.pop(load.id, None)
        self.under_way.pop(load.id, None)
        mine = self.of.get(load.function)
        if mine is not None:
            mine.pop(load.id, None)
            if not mine:
                del self.of[load.function]

    def failed(self, load: Load, now: float) -> None:
        """Danger: a package that can't load would be fetched again by each request that asks for it."""
        self.over(load)
        times = self.failures.get(load.function, (0, 0.0, 0.0))[0]
        wait = min(BACK_OFF_MOST_MS, BACK_OFF_MS * 2.0**times)
        self.failures[load.function] = times + 1, now + wait, now

    def stood(self, load: Load) -> None:
        self.over(load)
        self.failures.pop(load.function, None)

    def pardon(self, function: str) -> None:
        """It was released anew: the old failures say nothing."""
        self.failures.pop(function, None)

    def forget(self, now: float) -> None:
        for function in [f for f, (_, _, last) in self.failures.items() if now - last > FORGET_MS]:
            del self.failures[function]
