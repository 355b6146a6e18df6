"""Ids from outside and the small indices that stand for them at the door."""

from __future__ import annotations

from typing import Any


class IndexTable:
    """Outside ids and the small indices that stand for them; freed indices are used anew."""

    def __init__(self) -> None:
        self.index: dict[Any, int] = {}
        self.wire: dict[int, Any] = {}
        self.free: list[int] = []

    def enter(self, wire: Any) -> tuple[int, bool]:
        """The index of an id, and whether it is new."""
        if wire in self.index:
            return self.index[wire], False
        index = self.free.pop() if self.free else len(self.wire)
        self.index[wire], self.wire[index] = index, wire
        return index, True

    def leave(self, indices: list[int]) -> None:
        for index in indices:
            del self.index[self.wire.pop(index)]
            self.free.append(index)
