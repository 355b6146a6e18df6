"""Restores shared figures of the decisions that can't be used, without a restart.

The bounds of `claims` keep such figures out. Should one get in all the same, every decision that uses it
raises, and no decay brings an infinite sum back. Mixed into `router.FrontEnd`.
"""

from __future__ import annotations

import math
from typing import Any

from .concurrency import LIMIT_START
from .latency import UNKNOWN_COST_MS
from .prefetch import PREFETCH_START, UNKNOWN_LOAD_MS
from .state import FrontEndState

# attribute -> initial value; where that is not 0, only figures above 0 can be used
FRONT_END_FIGURES = {
    "demand": 0.0,
    "late_ratio": 0.0,
    "hedge_budget": 0.0,
    "mean_ms": UNKNOWN_COST_MS,
    "median_ms": UNKNOWN_COST_MS,
    "mean_cost_ms": UNKNOWN_COST_MS,
    "limit": LIMIT_START,
    "prefetch_limit": PREFETCH_START,
}
FUNCTION_FIGURES = {"demand": 0.0, "mean_ms": 0.0, "baseline_load_ms": 0.0, "load_ms": UNKNOWN_LOAD_MS}
EXECUTOR_FIGURES = {"service_time_factor": 0.0, "limit": LIMIT_START}


class FigureRepair(FrontEndState):
    """Restores figures after a decision has raised."""

    def restore_figures(self) -> list[str]:
        """Set figures that can't be used to their initial values; return their names."""
        restored = _restore(self, FRONT_END_FIGURES)
        for function in self.functions.values():
            restored += _restore(function, FUNCTION_FIGURES)
        for executor in self.executors.values():
            restored += _restore(executor, EXECUTOR_FIGURES)
            executor.adjust_load(0)  # its limit decides whether it counts as saturated
        for machine_type, baseline in list(self.service_time_baselines.items()):
            if not _is_usable(baseline, 1.0):
                del self.service_time_baselines[machine_type]
                restored.append("service_time_baseline")
        return restored


def _restore(holder: Any, figures: dict[str, float]) -> list[str]:
    restored = []
    for name, initial in figures.items():
        if not _is_usable(getattr(holder, name), initial):
            setattr(holder, name, initial)
            restored.append(name)
    return restored


def _is_usable(figure: float, initial: float) -> bool:
    return math.isfinite(figure) and (figure > 0.0 or (figure == 0.0 and initial == 0.0))
