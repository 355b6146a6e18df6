"""The most frequent of many names in bounded memory, pure: space-saving (Metwally and others, 2005)."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class Heavy(NamedTuple):
    """A name, how often it came at the most, and how much of that may belong to others."""

    name: str
    count: int
    error: int


class TopNames:
    """Counts of the `room` most frequent names; one that comes more often than total / room is among them.

    The least counted gives way to a new name, which takes over its count as its error. A heap with lazy
    entries finds the least: one whose count is not the present one is renewed when it comes up.

    >>> top = TopNames(room=2)
    >>> [top.add(name) for name in "aababca"]
    [None, None, None, None, None, 'b', None]
    >>> top.top(2)[0]
    Heavy(name='a', count=4, error=0)
    """

    def __init__(self, room: int) -> None:
        self.room = room
        self.counts: dict[str, int] = {}
        self.errors: dict[str, int] = {}
        self.heap: list[tuple[int, str]] = []
        self.total = 0

    def add(self, name: str) -> str | None:
        """Count one; the name that gave way, if any."""
        self.total += 1
        if name in self.counts:
            self.counts[name] += 1
            return None
        gone, error = None, 0
        if len(self.counts) >= self.room:
            gone = self._least()
            error = self.counts.pop(gone)
            del self.errors[gone]
        self.counts[name], self.errors[name] = error + 1, error
        heapq.heappush(self.heap, (error + 1, name))
        return gone

    def _least(self) -> str:
        while True:
            count, name = self.heap[0]
            present = self.counts.get(name)
            if present == count:
                heapq.heappop(self.heap)
                return name
            if present is None:
                heapq.heappop(self.heap)
            else:
                heapq.heapreplace(self.heap, (present, name))

    def top(self, count: int) -> list[Heavy]:
        most = heapq.nlargest(count, self.counts.items(), key=lambda x: (x[1], x[0]))
        return [Heavy(name, times, self.errors[name]) for name, times in most]
