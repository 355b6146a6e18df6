"""Event queues for simulated time: a plain heap, and a wheel of sorted slots made for a day's events.

The wheel lost against heapq (benchmarks/emulator.py), so the emulation uses heapq; this is what was tried.

Both give entries back by time, ties in the order of their numbers. An entry is (time, number, call).
"""

from __future__ import annotations

import heapq
from bisect import insort
from typing import Any, NamedTuple


class Entry(NamedTuple):
    time: float
    number: int
    call: Any


class Heap:
    """heapq, for comparison."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, Any]] = []

    def push(self, entry: tuple[float, int, Any]) -> None:
        heapq.heappush(self.entries, entry)

    def pop_until(self, until: float) -> tuple[float, int, Any] | None:
        """The next entry, if its time is not past `until`."""
        if not self.entries or self.entries[0][0] > until:
            return None
        return heapq.heappop(self.entries)

    def __len__(self) -> int:
        return len(self.entries)


class Wheel:
    """Slots of `width` each for the near future, a heap for what lies beyond them.

    A push into a slot that has not begun is one append; a slot is sorted once, when its time begins, which
    costs less for each entry than sifting a heap. What comes into the slot that plays is put in its place.

    >>> wheel = Wheel(0.0, width=1.0, slots=4)
    >>> for entry in ((2.5, 1, "c"), (0.2, 2, "a"), (90.0, 3, "d"), (0.2, 4, "b")): wheel.push(entry)
    >>> [wheel.pop_until(100.0)[2] for _ in range(4)], wheel.pop_until(100.0), len(wheel)
    (['a', 'b', 'c', 'd'], None, 0)
    """

    def __init__(self, start: float, width: float, slots: int) -> None:
        self.width, self.count = width, slots
        self.turn = int(start // width)  # the slot that plays
        self.slots: list[list] = [[] for _ in range(slots)]
        self.playing: list = []  # sorted, latest first: the next one is at the end
        self.beyond: list[tuple[float, int, Any]] = []
        self.near = 0  # entries in the slots that have not begun

    def push(self, entry: tuple[float, int, Any]) -> None:
        turn = int(entry[0] // self.width)
        if turn <= self.turn:  # also what should have been earlier: it comes next
            insort(self.playing, entry, key=_backwards)
        elif turn < self.turn + self.count:
            self.slots[turn % self.count].append(entry)
            self.near += 1
        else:
            heapq.heappush(self.beyond, entry)

    def pop_until(self, until: float) -> tuple[float, int, Any] | None:
        """The next entry, if its time is not past `until`."""
        playing = self.playing
        if not playing:
            if not self._begin_next(until):
                return None
            playing = self.playing
        if playing[-1][0] > until:
            return None
        return playing.pop()

    def _begin_next(self, until: float) -> bool:
        """Go on to the next slot that holds something, not past `until`; whether there is one."""
        while not self.playing:
            if not self.near:
                if not self.beyond or self.beyond[0][0] > until:
                    return False
                self.turn = int(self.beyond[0][0] // self.width)  # nothing between: leap
            else:
                if (self.turn + 1) * self.width > until:
                    return False
                self.turn += 1
            slot = self.slots[self.turn % self.count]
            self.near -= len(slot)
            self.playing, self.slots[self.turn % self.count] = slot, []
            last = self.turn + self.count  # one slot more is near now
            beyond = self.beyond
            while beyond and int(beyond[0][0] // self.width) < last:
                entry = heapq.heappop(beyond)
                turn = int(entry[0] // self.width)
                if turn <= self.turn:
                    self.playing.append(entry)
                else:
                    self.slots[turn % self.count].append(entry)
                    self.near += 1
            self.playing.sort(reverse=True)
        return True

    def __len__(self) -> int:
        return len(self.playing) + self.near + len(self.beyond)


def _backwards(entry: tuple[float, int, Any]) -> tuple[float, int]:
    return -entry[0], -entry[1]
