"""The sections of a worker's file."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, field

from .front import Count, Listen, LogWanted, Ms, Name, Port, Some, Strict
from .reading import SettingsError, SettingsProblem, evaluate, sections


class WorkerPlace(Strict):
    name: Name
    machine: str = ""


class ModelStore(Strict):
    port: Port
    address: Name = "127.0.0.1"
    timeout_ms: Some = 10_000.0  # of one answer of the store
    silence_ms: Some = 3_000.0  # a fetch that brings no byte for so long is broken off and goes on anew


class Memory(Strict):
    budget_mb: Annotated[float, Meta(gt=0, le=1e7)]
    measure_ms: Some = 500.0


class LoadRules(Strict):
    at_once: Annotated[int, Meta(ge=1, le=256)] = 4
    line: Count = 64  # loads that wait for their turn
    patience_ms: Some = 30_000.0  # an order waits so long for its copies
    start_timeout_ms: Some = 30_000.0
    recheck_ms: Ms = 5_000.0  # how often the store is asked whether names point elsewhere; 0 never


class CallRules(Strict):
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 64
    queue: Count = 256
    stop_grace_ms: Some = 1_000.0


class ReplicaRules(Strict):
    keep_ms: Some = 10_000.0
    more: bool = True  # another copy when all lanes are taken
    answers_miss: bool = False  # only an order loads


class ImageCache(Strict):
    folder: Name
    bound_mb: Annotated[float, Meta(gt=0, le=1e8)] = 10_000.0


class MarkWindow(Strict):
    request_class: Name = field(name="tariff")
    window_ms: Some


SHAPES: dict[str, Any] = {
    "worker": WorkerPlace,
    "listen": Listen,
    "store": ModelStore,
    "memory": Memory,
    "loads": LoadRules,
    "calls": CallRules,
    "copies": ReplicaRules,
    "images": ImageCache,
    "stamped": Annotated[list[MarkWindow], Meta(max_length=100)],
    "log": LogWanted,
}
DEFAULTS = {"loads": LoadRules, "calls": CallRules, "copies": ReplicaRules, "log": LogWanted, "stamped": list}


def read_worker(file: str) -> dict[str, Any]:
    """The sections of a worker's file, by name. Raises SettingsError."""
    found = sections(file, evaluate(file), SHAPES, frozenset(DEFAULTS))
    for name, shape in DEFAULTS.items():
        found.setdefault(name, shape())
    seen: set[str] = set()
    faults = []
    for i, mark in enumerate(found["stamped"]):
        if mark.request_class in seen:
            faults.append(
                SettingsProblem(f"stamped[{i}].tariff", repr(mark.request_class), "a tariff not named before")
            )
        seen.add(mark.request_class)
    if faults:
        raise SettingsError(file, faults)
    return found
