"""Load requests ahead of a request (prefetch): which function is loaded where, and how many at a time.

Executors that answer a miss in place of loading get load requests. Their number under way is limited by
additive increase and multiplicative decrease on the time that loads take, since all executors load from one
store. Mixed into `router.FrontEnd`.
"""

from __future__ import annotations

from .latency import CLIP_FACTOR
from .state import Executor, FrontEndState, FunctionState
from .types import Action, ActionKind, Outcome

UNKNOWN_LOAD_MS = 1000.0  # time of a load before one was seen
LOAD_GAIN = 0.3  # weight of one load in its function's load time
LOAD_OVERDUE_FACTOR = 4.0  # a load request counts as under way for this times its function's load time
PREFETCHES_PER_EXECUTOR = 3  # own load requests under way at one executor
PREFETCH_START = 1.5  # own load requests under way in all, before any load was seen
SLOW_LOAD_FACTOR = 1.6  # a load that took more than this times its usual time, or failed, cuts the limit ...
PREFETCH_DECREASE = 0.7  # ... to this share, at most once in the time of a load
PREFETCH_INCREASE = 0.25  # it grows by this in the time of a good load
ALREADY_LOADED_MS = 30.0  # a load request answered sooner found the function loaded there


class Prefetching(FrontEndState):
    """What is to be loaded, what is under way, and the limit for it."""

    def _next_prefetch(self, now: float) -> Action | None:
        """The next load request that the limit and the rules allow, or None."""
        while self.prefetch_wanted and len(self.prefetches) < self.prefetch_limit:
            index = max(self.prefetch_wanted, key=self._prefetch_priority)
            executor = self.prefetch_wanted.pop(index)
            action = self._prefetch(executor, self.functions[index], now)
            if action is not None:
                return action
        return None

    def _prefetch_priority(self, index: int) -> tuple[bool, float]:
        """What nobody has comes first, then what is in most demand."""
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
        """Move the function's load time."""
        took = min(max(0.0, took_ms), CLIP_FACTOR * function.load_ms)
        function.load_ms += LOAD_GAIN * (took - function.load_ms)

    def _adjust_prefetch_limit(
        self, function: FunctionState, outcome: Outcome, took_ms: float, now: float
    ) -> None:
        """Move the limit after a load request ended. Replicas lost in many places are loaded anew at once by
        all front ends, and the one store that they share stops when pushed far over what it can give."""
        succeeded = outcome is Outcome.SUCCEEDED
        if succeeded and took_ms < ALREADY_LOADED_MS:
            return  # taken for the usual time, it would make each load look slow
        usual = function.baseline_load_ms or took_ms
        function.baseline_load_ms = usual
        if outcome is Outcome.ERROR or (succeeded and took_ms > SLOW_LOAD_FACTOR * usual):
            if now > self.prefetch_decreased_ms + usual:
                self.prefetch_limit = max(1.0, PREFETCH_DECREASE * self.prefetch_limit)
                self.prefetch_decreased_ms = now
        elif succeeded and len(self.prefetches) + 1 >= self.prefetch_limit:
            self.prefetch_limit += PREFETCH_INCREASE / self.prefetch_limit
