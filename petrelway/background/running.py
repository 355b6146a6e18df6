"""The scheduler's shell: generators as tasks, run in slices on a reactor's clock as the planner says."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet import defer, interfaces

from .planner import Class, Planner

LOOK_MS = 50.0  # how often the reactor's lag is looked at


class RefusedError(Exception):
    """Too many tasks; nothing of this one was begun."""


class Background:
    """Runs tasks. A task is a generator that yields often: None to go on, or a number of ms to wait."""

    def __init__(
        self, clock: interfaces.IReactorTime, planner: Planner, meter: Callable[[], float], log
    ) -> None:
        """`meter` gives seconds of a clock that goes on within one turn (time.perf_counter)."""
        self.clock, self.planner, self.meter, self.log = clock, planner, meter, log
        self.running: dict[int, tuple[Generator, defer.Deferred]] = {}
        self.timer = None
        self.due_s = 0.0
        self.looker = None
        self.closed = False
        self.on_lag: list[Callable[[float], None]] = []

    def start(self) -> None:
        self._look_later()

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    def run(
        self,
        name: str,
        cls: Class,
        steps: Generator,
        within_ms: float = math.inf,
        rate: float = math.inf,
        burst_ms: float = math.inf,
    ) -> defer.Deferred[Any]:
        """Fires with what the generator returns, or its failure. Cancelling it closes the generator."""
        now = self.now()
        id = self.planner.add(now, name, cls, now + within_ms, rate, burst_ms)
        if id < 0 or self.closed:
            self.planner.done(id)
            return defer.fail(RefusedError(f"{name}: {len(self.running)} background tasks"))
        finished: defer.Deferred = defer.Deferred(lambda _: self._drop(id))
        self.running[id] = steps, finished
        self._soon()
        return finished

    def _drop(self, id: int) -> None:
        steps, _ = self.running.pop(id, (None, None))
        self.planner.done(id)
        if steps is not None:
            steps.close()

    def _soon(self) -> None:
        if self.closed:
            return
        wait = self.planner.wake(self.now())
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None if math.isinf(wait) else self.clock.callLater(wait / 1e3, self._turn)

    def _turn(self) -> None:
        """One slice in one turn of the reactor: requests come between any two."""
        self.timer = None
        now = self.now()
        chosen = self.planner.next(now)
        if chosen is not None:
            steps, finished = self.running[chosen.task]
            began = self.meter()
            wait: Any = None
            try:
                wait = next(steps)  # one step at the least, or a slow clock would never let it begin
                while wait is None and (self.meter() - began) * 1e3 < chosen.ms:
                    wait = next(steps)
            except StopIteration as end:
                self._over(chosen.task, began, now, finished.callback, end.value)
            except Exception as error:  # a task that raises ends; the others go on
                self.log.error(
                    "background task failed",
                    task=self.planner.tasks[chosen.task].name,
                    error=repr(error),
                    exc_info=error,
                )
                self._over(chosen.task, began, now, finished.errback, error)
            else:
                self.planner.ran(self.now(), chosen.task, (self.meter() - began) * 1e3, float(wait or 0.0))
        self._soon()

    def _over(self, id: int, began: float, now: float, fire: Callable, what: Any) -> None:
        self.planner.ran(self.now(), id, (self.meter() - began) * 1e3)
        self.planner.done(id)
        del self.running[id]
        fire(what)

    def _look_later(self) -> None:
        if not self.closed:
            self.due_s = self.clock.seconds() + LOOK_MS / 1e3
            self.looker = self.clock.callLater(LOOK_MS / 1e3, self._look)

    def _look(self) -> None:
        # danger: a clock that steps back must not pass for a reactor ahead of its time
        lag_ms = max(0.0, (self.clock.seconds() - self.due_s) * 1e3)
        self.planner.lag_seen(self.now(), lag_ms)
        for each in self.on_lag:
            each(self.planner.lag_ms)
        self._look_later()

    def close(self) -> None:
        self.closed = True
        for call in (self.timer, self.looker):
            if call is not None and call.active():
                call.cancel()
        for id in list(self.running):
            steps, finished = self.running.pop(id)
            steps.close()
            self.planner.done(id)
            finished.addErrback(lambda _: None)
            finished.cancel()
