"""Creates the routing core from a front end's validated settings, and records its use of the quota."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..routing.router import FrontEnd
from ..routing.types import FleetPosition, LoadingSettings, LoadQuotaRule, SlowStartRule
from .active_policy import make_policy

QUOTA_USE_INTERVAL_MS = 20.0  # minimum time between two records of an unchanged quota


def new_routing_core(
    kind: Callable[..., FrontEnd], now: float, seed: int, sections: dict[str, Any]
) -> FrontEnd:
    """Create the routing core for these sections; `kind` is FrontEnd or a baseline with its interface."""
    place = sections["front_end"]
    keeping = sections["keeping"]
    cold = sections["cold"]
    ration = sections["ration"]
    policy = make_policy(sections)
    return kind(
        now,
        seed,
        FleetPosition(place.number, place.peers, sections["fleet"].zones.index(place.zone)),
        policy.request_classes,
        policy.tenants,
        policy.capabilities,
        LoadingSettings(
            keeping.answers_miss,
            keeping.load_requests,
            keeping.least_keep_ms,
            keeping.load_request_timeout_ms,
            keeping.idle_price,
        ),
        SlowStartRule(cold.multiple, cold.span_ms, cold.start_share, cold.warm_ms),
        LoadQuotaRule(ration.window_ms, ration.free, ration.share),
    )


def record_quota_use(front_end: FrontEnd, note: Callable[..., Any]) -> None:
    """Record each use of the quota in a decision: the share that was actually used, and when."""
    inner = front_end.gate.share
    last_share = -1.0
    last_ms = 0.0

    def share(now: float) -> float:
        nonlocal last_share, last_ms
        found = inner(now)
        if found != last_share or now >= last_ms + QUOTA_USE_INTERVAL_MS:
            last_share = found
            last_ms = now
            note("use", share=found)
        return found

    front_end.gate.share = share
