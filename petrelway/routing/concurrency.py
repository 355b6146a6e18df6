"""Concurrency limits by additive increase and multiplicative decrease (AIMD).

There is one limit for the own requests at each executor, and one for all own requests, which holds wherever
the own requests are too few at each executor for limits there to end an overload. Mixed into
`router.FrontEnd`; fed by `latency`.
"""

from __future__ import annotations

import math

from .state import Executor, FrontEndState, Request

LIMIT_START = 12.0  # own requests at one executor before it was seen to slow down
LIMIT_LEAST = 2.0  # never less, or it would not be seen to recover
LIMIT_INCREASE = 2.0  # a limit grows by this in the time of an answer
LIMIT_DECREASE = 0.9  # a limit is cut to this share of itself, at most once in the time of an answer
SATURATED_SHARE = 0.5  # answers slower than this share of the objective: the executor has too much in flight
LATE_SHARE = 0.8  # answers slower than this share of the objective: the fleet has too much to do ...
SLOWDOWN_FACTOR = (
    2.5  # ... if slower than this times the baseline, where the cost was hinted: else it was dear
)
LATE_GAIN = 0.1  # weight of one answer in the late ratio ...
# ... past which the limit for all own requests is cut; it grows below half of it. A few slow executors are no
# congestion; and cutting and growing at once, in hundreds of front ends, never ended one.
CONGESTION_LATE_RATIO = 0.2


class ConcurrencyLimits(FrontEndState):
    """How the limits follow the answers."""

    def _adjust_executor_limit(self, executor: Executor, request: Request, now: float) -> None:
        """Move one executor's limit after an answer changed its service-time factor."""
        answer_ms = executor.service_time_factor * self.mean_cost_ms
        if answer_ms > SATURATED_SHARE * request.request_class.latency_objective_ms:
            self._decrease_limit(executor, executor.busy, now)
        elif executor.busy + 1 >= executor.limit:
            executor.adjust_load(0, executor.limit + LIMIT_INCREASE / executor.limit)

    def _adjust_own_limit(self, request: Request, took_ms: float, baseline: float, now: float) -> None:
        """Move the limit for all own requests after an answer."""
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
        """Before the first decrease each success adds one: a front end of a great fleet would otherwise crawl
        for minutes."""
        if self.limit_decreased_ms == -math.inf and self.attempts_in_flight + 1 >= self.limit / 2:
            self.limit += 1.0

    def _decrease_limit(self, holder: Executor | FrontEndState, busy: int, now: float) -> None:
        """Cut a limit. In an overload all is answered late; less in flight, and in time, is worth more."""
        if now <= holder.limit_decreased_ms + self.mean_ms:
            return
        limit = max(LIMIT_LEAST, LIMIT_DECREASE * min(holder.limit, busy + 1.0))
        holder.limit_decreased_ms = now
        if isinstance(holder, Executor):
            holder.adjust_load(0, limit)
        else:
            holder.limit = limit
