"""What background work runs when, and for how long, pure. Times in ms, the clock handed in.

All of it together gets a share of the time, which shrinks when the reactor lags; classes go in order, within
a class the earliest deadline; each task may have a budget of its own; and a task that has waited
`longest_wait_ms` gets one slice whatever the budgets say, so that nothing starves.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import IntEnum
from typing import NamedTuple

LAG_GAIN = 0.3  # weight of one look at the reactor's lag
LEAST_SHARE = 0.05  # of the share, however long the lag
TASKS_BOUND = 1000
OVERRUN = 2.0  # a slice that takes so many times what it was given is an overrun, and its task is named


class Class(IntEnum):
    """The smaller, the sooner."""

    PAGE = 0  # somebody waits for it
    LIVE = 1  # somebody looks on
    KEEP = 2  # state that should be saved
    IDLE = 3  # whenever there is time


class Slice(NamedTuple):
    """One task may run for so long."""

    task: int
    ms: float
    forced: bool  # past the budgets, for it has waited too long


class Task:
    def __init__(
        self, name: str, cls: Class, deadline_ms: float, rate: float, burst_ms: float, now: float
    ) -> None:
        self.name, self.cls, self.deadline_ms = name, cls, deadline_ms
        self.rate, self.burst_ms = rate, burst_ms  # ms of running for each ms; inf: no budget of its own
        self.credit_ms, self.credited_ms = burst_ms, now
        self.last_ms = now  # it ran, or could have run for the first time
        self.ready_ms = now  # not before
        self.used_ms = 0.0
        self.overruns = 0

    def credit(self, now: float) -> float:
        if math.isinf(self.rate):
            return math.inf
        self.credit_ms = min(self.burst_ms, self.credit_ms + self.rate * (now - self.credited_ms))
        self.credited_ms = now
        return self.credit_ms


class Planner:
    """Decides slices. Inputs update what is known, `next` is pulled.

    >>> planner = Planner(0.0, share=0.5, slice_ms=5.0, burst_ms=10.0, lag_ms=20.0, longest_wait_ms=500.0)
    >>> slow, page = planner.add(0.0, "tidy", Class.IDLE), planner.add(0.0, "page", Class.PAGE, 900.0)
    >>> planner.next(0.0).task == page
    True
    >>> planner.ran(5.0, page, 5.0); planner.done(page); planner.next(5.0).task == slow
    True
    """

    def __init__(
        self,
        now: float,
        share: float,
        slice_ms: float,
        burst_ms: float,
        lag_ms: float,
        longest_wait_ms: float,
    ) -> None:
        self.share, self.slice_ms, self.burst_ms = share, slice_ms, burst_ms
        self.lag_bound_ms, self.longest_wait_ms = lag_ms, longest_wait_ms
        self.tasks: dict[int, Task] = {}
        self.ids = 0
        self.credit_ms, self.credited_ms = burst_ms, now
        self.lag_ms = 0.0
        self.used: Counter[Class] = Counter()  # ms by class
        self.counts: Counter[str] = Counter()
        self.worst: dict[str, float] = {}  # name -> longest slice, of those that overran

    # -- inputs

    def add(
        self,
        now: float,
        name: str,
        cls: Class,
        deadline_ms: float = math.inf,
        rate: float = math.inf,
        burst_ms: float = math.inf,
    ) -> int:
        """A task that wants to run; its id, or -1 if there are too many: the caller says so."""
        if len(self.tasks) >= TASKS_BOUND:
            self.counts["refused"] += 1
            return -1
        self.ids += 1
        self.tasks[self.ids] = Task(name, cls, deadline_ms, rate, burst_ms, now)
        return self.ids

    def ran(self, now: float, task: int, took_ms: float, again_ms: float = 0.0) -> None:
        """It ran for so long and wants to go on, not before `again_ms` from now."""
        self._credit(now)
        self.credit_ms -= took_ms
        t = self.tasks.get(task)
        if t is None:
            return
        t.credit(now)
        t.credit_ms -= 0.0 if math.isinf(t.rate) else took_ms
        t.last_ms, t.ready_ms = now, now + again_ms
        t.used_ms += took_ms
        self.used[t.cls] += took_ms
        if took_ms > OVERRUN * self.slice_ms:
            t.overruns += 1
            self.counts["overruns"] += 1
            self.worst[t.name] = max(self.worst.get(t.name, 0.0), took_ms)
            if len(self.worst) > TASKS_BOUND:
                del self.worst[min(self.worst, key=self.worst.__getitem__)]

    def done(self, task: int) -> None:
        self.tasks.pop(task, None)

    def lag_seen(self, now: float, lag_ms: float) -> None:
        """How late the reactor just was."""
        self._credit(now)
        self.lag_ms += (LAG_GAIN if lag_ms < self.lag_ms else 2 * LAG_GAIN) * (lag_ms - self.lag_ms)

    # -- outputs

    def present_share(self) -> float:
        """The share of the time at this moment: all of it up to the lag's bound, then less in proportion."""
        if self.lag_ms <= self.lag_bound_ms:
            return self.share
        return self.share * max(LEAST_SHARE, self.lag_bound_ms / self.lag_ms)

    def next(self, now: float) -> Slice | None:
        """Whose turn it is, or None: nothing wants to run, or the budgets are used up."""
        self._credit(now)
        ready = [(id, t) for id, t in self.tasks.items() if t.ready_ms <= now]
        if not ready:
            return None
        id, t = min(ready, key=lambda x: (self._since(x[1]), x[0]))
        if now - self._since(t) >= self.longest_wait_ms:  # danger: else it starves in an overload
            self.counts["forced"] += 1
            return Slice(id, self.slice_ms, True)
        if self.credit_ms <= 0.0:
            return None
        ready = [(id, t) for id, t in ready if t.credit(now) > 0.0]
        if not ready:
            return None
        id, t = min(ready, key=lambda x: (x[1].cls, x[1].deadline_ms, self._since(x[1]), x[0]))
        return Slice(id, min(self.slice_ms, max(1.0, self.credit_ms), max(1.0, t.credit(now))), False)

    def wake(self, now: float) -> float:
        """When `next` may give something, from now, in ms; inf if nothing wants to run."""
        if not self.tasks:
            return math.inf
        self._credit(now)
        soonest = math.inf
        for t in self.tasks.values():
            at = max(0.0, t.ready_ms - now)
            wait = -min(0.0, self.credit_ms) / max(1e-9, self.present_share())
            if not math.isinf(t.rate):
                wait = max(wait, -min(0.0, t.credit(now)) / max(1e-9, t.rate))
            wait = min(wait + 0.1, max(0.0, self._since(t) + self.longest_wait_ms - now))
            soonest = min(soonest, max(at, wait))
        return soonest

    def _since(self, t: Task) -> float:
        return max(t.last_ms, t.ready_ms)

    def _credit(self, now: float) -> None:
        self.credit_ms = min(
            self.burst_ms, self.credit_ms + self.present_share() * max(0.0, now - self.credited_ms)
        )
        self.credited_ms = max(self.credited_ms, now)
