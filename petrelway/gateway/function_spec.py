"""What executors need to know of a function to load and run it."""

from __future__ import annotations

from typing import NamedTuple


class FunctionSpec(NamedTuple):
    """A function as requests and load requests name it; `load_ms` 0: unknown."""

    name: str
    memory_mb: float
    lanes: int
    load_ms: float
