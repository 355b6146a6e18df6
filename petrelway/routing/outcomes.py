"""Updates of an executor's and a function's state by the outcome of an attempt.

Mixed into `router.FrontEnd`, whose `attempt_ended` calls `_learn`.
"""

from __future__ import annotations

from .latency import LatencyTracking
from .prefetch import Prefetching
from .state import Attempt, Request
from .types import SAYS_NOTHING_OF_EXECUTOR, Outcome, Warmth

TENANT_LIMIT_MS = 100.0  # a FULL that took longer was caused by a tenant's limit, not by a full queue ...
TENANT_BACKOFF_MS = 8000.0  # ... and that tenant is sent elsewhere for this time


class OutcomeLearning(LatencyTracking, Prefetching):
    """Updates the state by the outcomes of attempts."""

    def _learn(
        self,
        now: float,
        request: Request,
        attempt: Attempt,
        outcome: Outcome,
        took_ms: float,
        warmth: Warmth,
    ) -> None:
        """Record the outcome of an attempt that was answered by its executor's present process."""
        executor = attempt.executor
        function = request.function
        class_index = request.class_index
        # Errors are counted per request class: an executor that fails fast always has a free slot, and if it
        # fails one class only, the answers to the others restore its service-time factor. A function that no
        # executor has ever served fails anywhere, which says nothing about this executor.
        failed = outcome is Outcome.ERROR and function.mean_ms and warmth is not Warmth.LOAD_FAILED
        if failed or (outcome is Outcome.SUCCEEDED and class_index in executor.error_rates):
            self._record_error(executor, class_index, bool(failed), now)
        if outcome is Outcome.SUCCEEDED:
            self._learn_success(now, request, attempt, took_ms, warmth)
        elif outcome is Outcome.MISS:
            self._remove_skills(executor, function)
            request.missed_executors.add(executor.endpoint.executor)
            loads = self.loading_settings.answers_miss and self.loading_settings.load_requests
            if loads and warmth is not Warmth.LOAD_FAILED:
                self.prefetch_wanted[function.index] = executor
        elif outcome is Outcome.FULL:
            # some executors refuse a single tenant, and slowly; that says nothing about other tenants
            if took_ms > TENANT_LIMIT_MS and not self._in_process_pause(now):
                executor.tenant_backoff[request.tenant] = now + TENANT_BACKOFF_MS
        elif outcome not in SAYS_NOTHING_OF_EXECUTOR and warmth is not Warmth.LOAD_FAILED:
            self._penalize(executor, now)  # an executor that fails fast would otherwise look idle

    def _learn_success(
        self, now: float, request: Request, attempt: Attempt, took_ms: float, warmth: Warmth
    ) -> None:
        executor = attempt.executor
        function = request.function
        self._add_skill(executor, function, now)
        executor.tenant_backoff.pop(request.tenant, None)
        if self._in_process_pause(now):  # a pause of this process says nothing about executors
            return
        self._grow_limit_at_start()
        if warmth in (Warmth.FOUND, Warmth.UNTOLD):
            self._record_latency(executor, request, took_ms, now)
        elif warmth is Warmth.BEGAN:
            served_ms = request.cost_ms * self.service_time_factor(executor, now)
            self._record_load(function, took_ms - served_ms)
