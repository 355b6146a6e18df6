"""One entry of the endpoint list, as every source of such a list gives it: registry client or discovery."""

from __future__ import annotations

from typing import NamedTuple


class EndpointEntry(NamedTuple):
    """One executor process as the endpoint list names it; `started_ms` is wall-clock time, 0 for long ago."""

    executor: str
    address: str
    port: int
    zone: str
    machine: str
    cell: int
    stage: str
    weight: float
    started_ms: float
