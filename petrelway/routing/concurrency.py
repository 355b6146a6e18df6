"""Concurrency limits by additive increase and multiplicative decrease (AIMD).

There is a limit for the own requests at each executor, and one for all own requests. The latter applies where
the own requests at each executor are too few for limits there to end an overload. Mixed into
`router.FrontEnd`; updated by `latency`.
"""

from __future__ import annotations

import math

from .state import Executor, FrontEndState, Request

LIMIT_START = 12.0  # own requests at one executor before any slowdown was observed
LIMIT_MIN = 2.0  # lower bound; below it a recovery would not be noticed
LIMIT_INCREASE = 2.0  # a limit grows by this in the time of one answer
LIMIT_DECREASE = 0.9  # a limit is cut to this share of itself, at most once in the time of one answer
SATURATED_SHARE = 0.5  # answers slower than this share of the objective: the executor is saturated
LATE_SHARE = 0.8  # answers slower than this share of the objective are late: the fleet is overloaded ...
SLOWDOWN_FACTOR = (
    2.5  # ... if slower than this times the baseline too, at a hinted cost; else the request was costly
)
LATE_GAIN = 0.1  # weight of one answer in the late ratio ...
# ... above which the limit for all own requests is cut; below half of it the limit grows. A few slow
# executors are no congestion. Where late answers cut the limits while the other answers grew them, in
# hundreds of front ends, congestion never ended.
CONGESTION_LATE_RATIO = 0.2


class ConcurrencyLimits(FrontEndState):
    """The adjustment of the limits by answers."""

    def _adjust_executor_limit(self, executor: Executor, request: Request, now: float) -> None:
        """Adjust one executor's limit after an answer changed its service-time factor."""
        answer_ms = executor.service_time_factor * self.mean_cost_ms
        if answer_ms > SATURATED_SHARE * request.request_class.latency_objective_ms:
            self._decrease_limit(executor, executor.busy, now)
        elif executor.busy + 1 >= executor.limit:
            executor.adjust_load(0, executor.limit + LIMIT_INCREASE / executor.limit)

    def _adjust_own_limit(self, request: Request, took_ms: float, baseline: float, now: float) -> None:
        """Adjust the limit for all own requests after an answer."""
        late_ms = LATE_SHARE * request.request_class.latency_objective_ms
        late = took_ms > max(late_ms, SLOWDOWN_FACTOR * request.hinted_cost_ms * baseline)
        self.late_ratio += LATE_GAIN * (late - self.late_ratio)
        if late and self.late_ratio > CONGESTION_LATE_RATIO:
            self._decrease_limit(self, self.attempts_in_flight, now)
        elif (
            not late
            and self.late_ratio < CONGESTION_LATE_RATIO / 2
            and self.attempts_in_flight + 1 >= self.limit
        ):
            self.limit += LIMIT_INCREASE / self.limit

    def _grow_limit_at_start(self) -> None:
        """Raise the limit by one for each success before the first decrease.

        Otherwise the limit of a front end of a large fleet would take minutes to grow.
        """
        if self.limit_decreased_ms == -math.inf and self.attempts_in_flight + 1 >= self.limit / 2:
            self.limit += 1.0

    def _decrease_limit(self, holder: Executor | FrontEndState, busy: int, now: float) -> None:
        """Cut a limit. In an overload all answers are late; fewer answers in time are worth more."""
        if now <= holder.limit_decreased_ms + self.mean_ms:
            return
        limit = max(LIMIT_MIN, LIMIT_DECREASE * min(holder.limit, busy + 1.0))
        holder.limit_decreased_ms = now
        if isinstance(holder, Executor):
            holder.adjust_load(0, limit)
        else:
            holder.limit = limit
