"""Expiry of stale state, so that memory stays bounded.

Mixed into `router.FrontEnd`, whose decide loop calls `_expire` every EXPIRY_INTERVAL_MS.
"""

from __future__ import annotations

import heapq
from collections import Counter

from .state import FrontEndState
from .types import Stage

EXPIRY_INTERVAL_MS = 1000.0  # interval at which stale state is dropped
FORGET_TRIES = 8  # functions looked at for one to forget, of those served and of the others
EXPIRY_TIMER = -1  # used in the timers instead of a request index
TIMERS_KEPT = 16_384  # timers that may wait beside those of requests
TIMERS_PER_REQUEST = 8
FORGET_FUNCTION_MS = 60000.0  # a function not in use for this long is forgotten


class Expiry(FrontEndState):
    """Drops stale skills, load requests, executors and functions."""

    def _expire(self, now: float) -> None:
        """Drop stale state; update the counts over the fleet."""
        self.gate.expire_quota(now)
        warm = (e.endpoint.machine for e in self.ready if not self.gate.is_warming_up(e, now))
        self.warm_executors = dict(Counter(warm))
        self._expire_skills(now)
        busy = {request.function.index for request in self.requests.values()}
        for executor in self.executors.values():
            busy.update(executor.resume)
            busy.update(executor.load_requests)
        self.prefetch_wanted = {i: executor for i, executor in self.prefetch_wanted.items() if i in busy}
        # A load request that hangs must not block all loads.
        self.prefetches = {place: overdue for place, overdue in self.prefetches.items() if now < overdue}
        gone = self._gone_executors(now)
        unused = self._unused_functions(busy, now)
        for index in gone:
            executor = self.executors[index]
            self._remove_skills(executor, *map(self.functions.__getitem__, executor.resume))
            for function in tuple(executor.load_requests):
                executor.load_request_ended(function)
        for index in gone:
            del self.executors[index]
        for index in unused:
            del self.functions[index]
            self.function_order.forget(index)
        self._drop_dead_timers()
        self.freed.executors.extend(gone)
        self.freed.functions.extend(unused)

    def make_room_for_function(self) -> None:
        """Forget a function if no more may be known; call before one is named, and `released` after it.

        A function with a request or a load in progress stays, so the bound may be passed by as many as those.
        """
        if not self.functions_bound or len(self.functions) < self.functions_bound:
            return
        for index in self.function_order.oldest(FORGET_TRIES):
            if self._may_forget(index):
                self._forget_function(index)
                return
            self.function_order.used(index)  # it is in use: the next ones are looked at first from now on

    def _may_forget(self, index: int) -> bool:
        return not self.functions[index].open_requests and index not in self.fleet.loads_anywhere

    def _forget_function(self, index: int) -> None:
        function = self.functions.pop(index)
        for executor in list(function.skilled.values()):
            self._remove_skills(executor, function)
        self.prefetch_wanted.pop(index, None)
        self.function_order.forget(index)
        self.freed.functions.append(index)

    def _drop_dead_timers(self) -> None:
        """Drop the timers of released requests once they are most of all, where memory is bounded."""
        most = TIMERS_KEPT + TIMERS_PER_REQUEST * len(self.requests)
        if not self.functions_bound or len(self.timers) <= most:
            return
        self.timers = [
            (due, index) for due, index in self.timers if index in self.requests or index == EXPIRY_TIMER
        ]
        heapq.heapify(self.timers)

    def _expire_skills(self, now: float) -> None:
        for executor in self.executors.values():
            least_keep_ms = self.loading_settings.least_keep_ms
            for index in [i for i, seen_ms in executor.resume.items() if now - seen_ms > least_keep_ms]:
                self._remove_skills(executor, self.functions[index])
            sends = executor.slow_start_sends
            while sends and now - sends[0] > 2 * self.gate.slow_start_rule.warm_ms:
                sends.popleft()

    def _gone_executors(self, now: float) -> list[int]:
        """Return the executors that left so long ago that no answer from them can still arrive."""
        timeout_ms = self.loading_settings.load_request_timeout_ms
        return [
            index
            for index, executor in self.executors.items()
            if executor.endpoint.stage is Stage.GONE
            and not executor.in_flight
            and now > executor.stage_since_ms + timeout_ms
        ]

    def _unused_functions(self, busy: set[int], now: float) -> list[int]:
        return [
            index
            for index, function in self.functions.items()
            if index not in busy and now - function.last_used_ms > FORGET_FUNCTION_MS
        ]
