"""One entry of the endpoint list; both the registry client and discovery deliver entries of this type."""

from __future__ import annotations

from typing import NamedTuple


class EndpointEntry(NamedTuple):
    """One executor process in the endpoint list; `started_ms` is wall-clock time, 0 for long ago."""

    executor: str
    address: str
    port: int
    zone: str
    machine: str
    cell: int
    stage: str
    weight: float
    started_ms: float
