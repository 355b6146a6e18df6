"""Load requests ahead of a request (prefetch): which function is loaded where, and how many at a time.

Executors that answer with a miss instead of loading get load requests. The number in progress is limited by
additive increase and multiplicative decrease on the time that loads take, since all executors load from one
store. Mixed into `router.FrontEnd`.
"""

from __future__ import annotations

from .latency import CLIP_FACTOR
from .state import Executor, FrontEndState, FunctionState
from .types import Action, ActionKind, Outcome

UNKNOWN_LOAD_MS = 1000.0  # assumed time of a load before any was observed
LOAD_GAIN = 0.3  # weight of one load in its function's load time
LOAD_OVERDUE_FACTOR = 4.0  # a load request counts as in progress for this times its function's load time
PREFETCHES_PER_EXECUTOR = 3  # own load requests in progress at one executor
PREFETCH_START = 1.5  # own load requests in progress in total, before any load was observed
SLOW_LOAD_FACTOR = 1.6  # a load that took more than this times its usual time, or failed, cuts the limit ...
PREFETCH_DECREASE = 0.7  # ... to this share of itself, at most once in the time of a load
PREFETCH_INCREASE = 0.25  # the limit grows by this in the time of a load that is neither slow nor failed
ALREADY_LOADED_MS = 30.0  # a load request answered sooner than this found the function already loaded


class Prefetching(FrontEndState):
    """The wanted prefetches, those in progress, and their limit."""

    def _next_prefetch(self, now: float) -> Action | None:
        """Return the next load request that the limit and the rules allow, or None."""
        while self.prefetch_wanted and len(self.prefetches) < self.prefetch_limit:
            index = max(self.prefetch_wanted, key=self._prefetch_priority)
            executor = self.prefetch_wanted.pop(index)
            action = self._prefetch(executor, self.functions[index], now)
            if action is not None:
                return action
        return None

    def _prefetch_priority(self, index: int) -> tuple[bool, float]:
        """Return the sort key: functions that no executor has come first, then those in most demand."""
        function = self.functions[index]
        return not function.skilled, function.demand

    def _prefetch(self, executor: Executor, function: FunctionState, now: float) -> Action | None:
        if len(executor.load_requests) >= PREFETCHES_PER_EXECUTOR or function.index in executor.load_requests:
            return None
        if not self.gate.allows_load_request(executor, now):
            return None
        executor.load_requested(function.index, now)
        place = executor.endpoint.executor, function.index
        self.prefetches[place] = now + LOAD_OVERDUE_FACTOR * function.load_ms
        self.gate.load_requested.append(now)
        return Action(ActionKind.PREFETCH, executor=place[0], function=function.index, number=1)

    def _record_load(self, function: FunctionState, took_ms: float) -> None:
        """Update the function's load time."""
        took = min(max(0.0, took_ms), CLIP_FACTOR * function.load_ms)
        function.load_ms += LOAD_GAIN * (took - function.load_ms)

    def _adjust_prefetch_limit(
        self, function: FunctionState, outcome: Outcome, took_ms: float, now: float
    ) -> None:
        """Adjust the limit after a load request ended.

        Replicas lost at many executors are loaded again at the same time by all front ends, and the store
        that they share stops answering when the load far exceeds its capacity.
        """
        succeeded = outcome is Outcome.SUCCEEDED
        if succeeded and took_ms < ALREADY_LOADED_MS:
            return  # as the usual load time, this would make every load look slow
        usual = function.baseline_load_ms or took_ms
        function.baseline_load_ms = usual
        if outcome is Outcome.ERROR or (succeeded and took_ms > SLOW_LOAD_FACTOR * usual):
            if now > self.prefetch_decreased_ms + usual:
                self.prefetch_limit = max(1.0, PREFETCH_DECREASE * self.prefetch_limit)
                self.prefetch_decreased_ms = now
        elif succeeded and len(self.prefetches) + 1 >= self.prefetch_limit:
            self.prefetch_limit += PREFETCH_INCREASE / self.prefetch_limit
