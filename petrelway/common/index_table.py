"""A mapping of external ids to small internal indices.

Requests, executors and functions get an index where they enter a process (dispatcher, simulator adapter).
"""

from __future__ import annotations

from typing import Any


class IndexTable:
    """External ids and their indices; freed indices are reused.

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
        """Return the index of an id, and whether the id is new."""
        if outside_id in self.indices:
            return self.indices[outside_id], False
        index = self.free.pop() if self.free else len(self.outside_ids)
        self.indices[outside_id] = index
        self.outside_ids[index] = outside_id
        return index, True

    def release(self, indices: list[int]) -> None:
        """Remove the ids of these indices, and free the indices for reuse."""
        for index in indices:
            del self.indices[self.outside_ids.pop(index)]
            self.free.append(index)
