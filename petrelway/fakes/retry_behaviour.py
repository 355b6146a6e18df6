"""What clients do after each end of a try, pure: whether they try again, when, and where."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

LONG_MS = 60.0  # a client waits so much longer than the day's grace before it says that nothing came
LEAST_LEFT_MS = 5.0  # with less time left no try is begun
SOON_MS = 20.0  # after a lost or refused connection


class Again(NamedTuple):
    wait_ms: float
    elsewhere: bool


class Manners:
    """Clients of one process; `fronts` front ends to choose from."""

    def __init__(self, day: dict[str, Any], fronts: int, random_source: random.Random) -> None:
        self.traffic, self.request_classes = day["traffic"], day["tariffs"]
        self.grace_ms, self.fronts, self.random_source = day["day"].grace_ms, fronts, random_source

    def left_ms(self, request_class: int, since_first_ms: float) -> float:
        """The time that a try is given; 0 if there is too little to begin one."""
        deadline_ms = self.request_classes[request_class].deadline_ms
        left = min(deadline_ms * self.traffic.try_share, deadline_ms - since_first_ms)
        return left if left > LEAST_LEFT_MS else 0.0

    def patience_ms(self, left_ms: float) -> tuple[float, bool]:
        """How long it waits for an answer, and whether it leaves for want of patience."""
        if self.random_source.random() < self.traffic.impatient:
            return left_ms * self.random_source.random(), True
        return left_ms + self.grace_ms + LONG_MS, False

    def after_answer(self, outcome: str, advised_ms: float, request_class: int, turn: int) -> Again | None:
        if outcome == "fulfilled":
            return None
        honours = advised_ms and self.random_source.random() < self.traffic.honour
        wait_ms = advised_ms if honours else self.traffic.backoff_ms
        # a broken-off one may have run: only a harmless one is tried again
        if outcome == "nacked" or self.request_classes[request_class].idempotency == "harmless":
            return self._again(turn, wait_ms, False, self.traffic.retries)
        return None

    def after_lost(self, request_class: int, turn: int) -> Again | None:
        if self.request_classes[request_class].idempotency != "harmless":
            return None
        return self._again(turn, SOON_MS, True, self.traffic.retries)

    def after_unreachable(self, turn: int) -> Again | None:
        """Nothing was taken: two more tries than the retries allow."""
        return self._again(turn, SOON_MS, True, self.traffic.retries + 2)

    def _again(self, turn: int, wait_ms: float, elsewhere: bool, most: int) -> Again | None:
        return Again(wait_ms, elsewhere) if turn < most else None

    def front(self, before: int, elsewhere: bool) -> int:
        """The front end of the next try."""
        if not elsewhere or self.fronts == 1:
            return before
        return self.random_source.choice([f for f in range(self.fronts) if f != before])
