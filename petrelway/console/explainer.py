"""Why it was decided so: reads the module's state when somebody looks, and changes nothing.

It names in words what the decisions weigh; it decides nothing, and they do not know of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..routing.latency import OUTLIER_FACTOR
from ..routing.router import FrontEnd
from ..routing.state import Executor
from ..routing.types import Stage


def executor(front_end: FrontEnd, known: Executor, now: float, name: str, zone: str) -> dict[str, Any]:
    """What is known of one executor, and why it is avoided. Times in ms."""
    usual = front_end.service_time_baselines.get(known.endpoint.machine, 0.0)
    pace = front_end.service_time_factor(known, now)
    avoided = []
    if known.endpoint.stage is not Stage.READY:
        avoided.append(f"{known.endpoint.stage.value}: nothing new is sent")
    if known.busy >= known.limit:
        avoided.append(f"at its limit: {known.busy} own triggers in flight, {known.limit:.1f} allowed")
    if usual and pace > 2.0 * usual:
        word = "ailing" if pace >= OUTLIER_FACTOR * usual else "slow"
        avoided.append(f"{word}: {pace / usual:.1f} times its kind's usual pace")
    for tenant, until in known.tenant_backoff.items():
        if until > now:
            avoided.append(f"refuses customer {tenant} for {(until - now) / 1e3:.1f} s more")
    cold = front_end.gate.is_warming_up(known, now)
    if cold:
        avoided.append(f"cold: {len(known.slow_start_sends)} sends counted against rule 4")
    return {
        "executor": name,
        "hall": zone,
        "stage": known.endpoint.stage.value,
        "pace": round(pace, 3),
        "usual pace": round(usual, 3),
        "backlog ms": round(front_end.weighted_backlog(known, now), 1),
        "in flight": len(known.in_flight),
        "busy": known.busy,
        "limit": round(known.limit, 1),
        "resume": len(known.resume),
        "orders": len(known.load_requests),
        "cold": cold,
        "avoided": avoided,
    }


def executors(
    front_end: FrontEnd, names: dict[int, str], zones: dict[int, str], now: float
) -> Iterator[dict[str, Any]]:
    for index, known in list(front_end.executors.items()):
        yield executor(
            front_end, known, now, names.get(index, str(index)), zones.get(known.endpoint.zone, "")
        )


def function(front_end: FrontEnd, index: int, name: str, names: dict[int, str], now: float) -> dict[str, Any]:
    """Where a function is believed warm, and what is known of it."""
    entry = front_end.functions[index]
    warm = [
        {"executor": names.get(i, str(i)), "seen s ago": round((now - known.resume.get(index, now)) / 1e3, 1)}
        for i, known in entry.skilled.items()
    ]
    loading = [
        names.get(i, str(i)) for i, known in front_end.executors.items() if index in known.load_requests
    ]
    return {
        "function": name,
        "warm at": warm,
        "loading at": loading,
        "waiting": len(entry.waiting),
        "lanes": entry.slots,
        "load ms": round(entry.load_ms, 1),
        "mean ms": round(entry.mean_ms, 1),
        "asked s ago": round((now - entry.last_used_ms) / 1e3, 1),
    }


def functions(
    front_end: FrontEnd, known: dict[int, str], names: dict[int, str], now: float
) -> Iterator[dict[str, Any]]:
    for index, name in list(known.items()):
        if index in front_end.functions:
            yield function(front_end, index, name, names, now)
