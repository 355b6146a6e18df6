"""Which idle copy goes first, pure: greedy dual with size, cost to load again and frequency."""

from __future__ import annotations

from collections.abc import Iterator

from sortedcontainers import SortedList

USES_HALVED_MS = 60_000.0  # uses of a function count half as much after this


class Keeper:
    """Ranks idle copies by worth: a base that rises with each eviction, plus uses x cost / size.

    A copy that has long not been used keeps the base of its last use, so age counts without a clock sweep.

    >>> keeper = Keeper()
    >>> keeper.used("dear", 0.0); keeper.used("cheap", 0.0)
    >>> keeper.idle(1, "dear", 100.0, 900.0, 0.0); keeper.idle(2, "cheap", 100.0, 100.0, 0.0)
    >>> list(keeper.least_first())
    [2, 1]
    """

    def __init__(self) -> None:
        self.base = 0.0
        self.order: SortedList = SortedList()  # (worth, copy)
        self.worth: dict[int, float] = {}
        self.uses: dict[str, tuple[float, float]] = {}  # function -> uses, when last

    def used(self, function: str, now: float) -> None:
        self.uses[function] = self._uses(function, now) + 1.0, now

    def _uses(self, function: str, now: float) -> float:
        uses, at = self.uses.get(function, (0.0, now))
        return uses * 0.5 ** ((now - at) / USES_HALVED_MS)

    def idle(self, copy: int, function: str, mb: float, load_ms: float, now: float) -> None:
        """A copy has nothing to do from now on; `load_ms` is what loading it again would take."""
        self.busy(copy)
        worth = self.base + self._uses(function, now) * max(1.0, load_ms) / max(1.0, mb)
        self.worth[copy] = worth
        self.order.add((worth, copy))

    def busy(self, copy: int) -> None:
        """It works, or is gone: it is not to be chosen."""
        worth = self.worth.pop(copy, None)
        if worth is not None:
            self.order.remove((worth, copy))

    def evicted(self, copy: int) -> None:
        """It goes for room: what is idle later starts from its worth."""
        self.base = max(self.base, self.worth.get(copy, self.base))
        self.busy(copy)

    def least_first(self) -> Iterator[int]:
        return (copy for _, copy in self.order)

    def forget(self, now: float, kept: set[str]) -> None:
        """Functions hardly used any more, so that memory stays bounded."""
        for function in [f for f in self.uses if f not in kept and self._uses(f, now) < 0.05]:
            del self.uses[function]
