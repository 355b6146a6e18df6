"""The memory of one worker as a budget, pure: copies hold what they told or what was seen; loads reserve."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

GROWTH = 1.1  # a copy may grow to so many times what it told ...
SLACK_MB = 16.0  # ... and so much more, before it counts as an over-user


class Relief(NamedTuple):
    """What must go for the budget to hold: idle copies, an over-user with its calls, the newest load."""

    idle: list[int]
    over_user: int | None
    load: int | None


class Budget:
    """Megabytes by holder. Two loads never share the same room: each reserves before it fetches.

    >>> budget = Budget(1000.0)
    >>> budget.reserve(1, 600.0), budget.reserve(2, 600.0)
    (True, False)
    >>> budget.stands(1); budget.saw(1, 650.0); budget.free_mb()
    350.0
    """

    def __init__(self, total_mb: float) -> None:
        self.total_mb = total_mb
        self.told: dict[int, float] = {}  # copies and loads
        self.seen: dict[int, float] = {}  # copies
        self.loading: dict[int, None] = {}  # in the order of their reservations
        self.own_mb = 0.0  # the worker's own process

    def held_mb(self, holder: int) -> float:
        return max(self.told[holder], self.seen.get(holder, 0.0))

    def used_mb(self) -> float:
        return self.own_mb + sum(map(self.held_mb, self.told))

    def free_mb(self) -> float:
        return self.total_mb - self.used_mb()

    def reserve(self, holder: int, mb: float) -> bool:
        """Room for a load; False if there is not enough now."""
        if mb > self.free_mb():
            return False
        self.told[holder] = mb
        self.loading[holder] = None
        return True

    def grow(self, holder: int, mb: float) -> bool:
        """The package's manifest says more than was reserved; False if that has no room."""
        more = mb - self.told[holder]
        if more > self.free_mb():
            return False
        self.told[holder] = max(mb, self.told[holder])
        return True

    def stands(self, holder: int) -> None:
        self.loading.pop(holder, None)

    def saw(self, holder: int, mb: float) -> None:
        if holder in self.told:
            self.seen[holder] = mb

    def give_back(self, holder: int) -> None:
        self.told.pop(holder, None)
        self.seen.pop(holder, None)
        self.loading.pop(holder, None)

    def room_for(self, mb: float, idle: Iterable[int]) -> list[int] | None:
        """The first idle copies, in the order given, that must go for so much; None if it can't be had."""
        going, missing = [], mb - self.free_mb()
        for holder in idle:
            if missing <= 0.0:
                break
            going.append(holder)
            missing -= self.held_mb(holder)
        return going if missing <= 0.0 else None

    def excess_mb(self, holder: int) -> float:
        """How far a copy is over what it may hold."""
        return self.seen.get(holder, 0.0) - (GROWTH * self.told[holder] + SLACK_MB)

    def relief(self, idle: Iterable[int]) -> Relief:
        """Past the budget: idle copies go first, then the worst over-user, then the newest load.

        Danger: a copy that grows past what it told takes the room that a load in flight has reserved; ending
        the load would punish the wrong one, so it goes last.
        """
        missing = self.used_mb() - self.total_mb
        going: list[int] = []
        for holder in idle:
            if missing <= 0.0:
                break
            going.append(holder)
            missing -= self.held_mb(holder)
        if missing <= 0.0:
            return Relief(going, None, None)
        over = [h for h in self.seen if h not in going and self.excess_mb(h) > 0.0]
        if over:
            return Relief(going, max(over, key=lambda h: (self.excess_mb(h), h)), None)
        return Relief(going, None, next(reversed(self.loading), None))
