"""Ids from outside and the small indices that stand for them inside.

Where requests, executors and functions enter a process (dispatcher, simulator adapter) they get an index
here.
"""

from __future__ import annotations

from typing import Any


class IndexTable:
    """Outside ids and their indices; freed indices are used anew.

    >>> table = IndexTable()
    >>> table.add("a"), table.add("b"), table.add("a")
    ((0, True), (1, True), (0, False))
    >>> table.release([0]); table.add("c")
    (0, True)
    """

    def __init__(self) -> None:
        self.indices: dict[Any, int] = {}  # by outside id
        self.outside_ids: dict[int, Any] = {}  # by index
        self.free: list[int] = []

    def add(self, outside_id: Any) -> tuple[int, bool]:
        """Return the index of an id, and whether it is new."""
        if outside_id in self.indices:
            return self.indices[outside_id], False
        index = self.free.pop() if self.free else len(self.outside_ids)
        self.indices[outside_id] = index
        self.outside_ids[index] = outside_id
        return index, True

    def release(self, indices: list[int]) -> None:
        """Forget the ids of these indices."""
        for index in indices:
            del self.indices[self.outside_ids.pop(index)]
            self.free.append(index)
