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


def executor(fe: FrontEnd, e: Executor, now: float, name: str, zone: str) -> dict[str, Any]:
    """What is known of one executor, and why it is avoided. Times in ms."""
    usual = fe.service_time_baselines.get(e.endpoint.machine, 0.0)
    pace = fe.service_time_factor(e, now)
    avoided = []
    if e.endpoint.stage is not Stage.READY:
        avoided.append(f"{e.endpoint.stage.value}: nothing new is sent")
    if e.busy >= e.limit:
        avoided.append(f"at its limit: {e.busy} own triggers in flight, {e.limit:.1f} allowed")
    if usual and pace > 2.0 * usual:
        word = "ailing" if pace >= OUTLIER_FACTOR * usual else "slow"
        avoided.append(f"{word}: {pace / usual:.1f} times its kind's usual pace")
    for tenant, until in e.tenant_backoff.items():
        if until > now:
            avoided.append(f"refuses customer {tenant} for {(until - now) / 1e3:.1f} s more")
    cold = fe.gate.is_warming_up(e, now)
    if cold:
        avoided.append(f"cold: {len(e.slow_start_sends)} sends counted against rule 4")
    return {
        "executor": name,
        "hall": zone,
        "stage": e.endpoint.stage.value,
        "pace": round(pace, 3),
        "usual pace": round(usual, 3),
        "backlog ms": round(fe.weighted_backlog(e, now), 1),
        "in flight": len(e.in_flight),
        "busy": e.busy,
        "limit": round(e.limit, 1),
        "resume": len(e.resume),
        "orders": len(e.load_requests),
        "cold": cold,
        "avoided": avoided,
    }


def executors(
    fe: FrontEnd, names: dict[int, str], zones: dict[int, str], now: float
) -> Iterator[dict[str, Any]]:
    for index, e in list(fe.executors.items()):
        yield executor(fe, e, now, names.get(index, str(index)), zones.get(e.endpoint.zone, ""))


def function(fe: FrontEnd, index: int, name: str, names: dict[int, str], now: float) -> dict[str, Any]:
    """Where a function is believed warm, and what is known of it."""
    f = fe.functions[index]
    warm = [
        {"executor": names.get(i, str(i)), "seen s ago": round((now - e.resume.get(index, now)) / 1e3, 1)}
        for i, e in f.skilled.items()
    ]
    loading = [names.get(i, str(i)) for i, e in fe.executors.items() if index in e.load_requests]
    return {
        "function": name,
        "warm at": warm,
        "loading at": loading,
        "waiting": len(f.waiting),
        "lanes": f.slots,
        "load ms": round(f.load_ms, 1),
        "mean ms": round(f.mean_ms, 1),
        "asked s ago": round((now - f.last_used_ms) / 1e3, 1),
    }


def functions(
    fe: FrontEnd, known: dict[int, str], names: dict[int, str], now: float
) -> Iterator[dict[str, Any]]:
    for index, name in list(known.items()):
        if index in fe.functions:
            yield function(fe, index, name, names, now)
