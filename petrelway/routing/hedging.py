"""Hedged requests: when an attempt is overdue, and whether another one may be sent beside it.

Mixed into `router.FrontEnd`, whose decide loop calls `_may_hedge` for a request with an attempt in flight.
"""

from __future__ import annotations

from .latency import LatencyTracking
from .state import Attempt, Request

OVERDUE_FACTOR = 4.0  # an attempt is overdue after this times its expected time ...
OVERDUE_SLACK_MS = 60.0  # ... plus this, or earlier if another one could then still be in time ...
OVERDUE_MIN_FACTOR = 2.0  # ... but not before this times its expected time
IN_TIME_FACTOR = 1.5  # another one is in time if sent this times its expected time before the objective
HEDGES_PER_REQUEST = 0.1  # hedges earned per request taken: they cannot add to an overload
HEDGE_BUDGET_MAX = 15.0  # maximum number of hedges saved up


def overdue_at_ms(request: Request, expected_ms: float, load_ms: float | None, now: float) -> float:
    """Return when an attempt that is sent now becomes overdue.

    `load_ms` is the time of the load that it waits for. None means that the replica is warm; the attempt then
    becomes overdue while another attempt could still be in time.
    """
    due_ms = now + OVERDUE_FACTOR * (expected_ms + (load_ms or 0.0)) + OVERDUE_SLACK_MS
    if load_ms is not None:
        return due_ms
    in_time_ms = request.latency_objective_at_ms - IN_TIME_FACTOR * expected_ms
    return min(due_ms, max(now + OVERDUE_MIN_FACTOR * expected_ms, in_time_ms))


class Hedging(LatencyTracking):
    """The overdue attempts and the budget of hedged requests."""

    def _earn_hedge(self) -> None:
        self.hedge_budget = min(HEDGE_BUDGET_MAX, self.hedge_budget + HEDGES_PER_REQUEST)

    def _may_hedge(self, request: Request, now: float) -> bool:
        """Return whether the only attempt in flight is overdue and the budget allows another one."""
        latest = self._mark_overdue(request, now)
        return len(request.in_flight) <= 1 and latest.overdue and self.hedge_budget >= 1.0

    def _mark_overdue(self, request: Request, now: float) -> Attempt:
        """Mark the attempts that are overdue, and return the latest attempt.

        Overdue attempts no longer count as in flight, since attempts that hang must not keep others from
        being sent. Their executors are penalized: one that accepts requests and answers none would look idle.
        """
        for attempt in request.in_flight.values():
            if now >= attempt.due_ms and not attempt.overdue:
                attempt.overdue = True
                self.attempts_in_flight -= 1
                if not self._in_process_pause(now):
                    self._penalize(attempt.executor, now)
        return attempt
