"""The properties of a function that executors need to load and run it."""

from __future__ import annotations

from typing import NamedTuple


class FunctionSpec(NamedTuple):
    """A function as described in requests and load requests; `load_ms` is 0 if unknown."""

    name: str
    memory_mb: float
    lanes: int
    load_ms: float
