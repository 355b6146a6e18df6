"""Baselines to measure against, never to serve with: same rules and bookkeeping, another choice."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..routing.router import FrontEnd
from ..routing.state import Executor, Request
from ..routing.types import Action, ActionKind, Endpoint, ReleasedIndices, Stage


class RandomChoice(FrontEnd):
    """Any executor that the rules allow."""

    def choose(self, request: Request, now: float) -> Executor | None:
        fit = [executor for executor in self.ready if self._allowed(request, executor, now)]
        return self.random_source.choice(fit) if fit else None

    def _allowed(self, request: Request, executor: Executor, now: float) -> bool:
        if any(attempt.executor is executor for attempt in request.in_flight.values()):
            return False
        return self.gate.allows_send(request, executor, len(self.ready), now)


class LeastLoaded(RandomChoice):
    """The executor with the fewest own requests in flight that the rules allow."""

    def choose(self, request: Request, now: float) -> Executor | None:
        fit = [executor for executor in self.ready if self._allowed(request, executor, now)]
        return (
            min(fit, key=lambda executor: (len(executor.in_flight), self.random_source.random()))
            if fit
            else None
        )


class PassThrough:
    """No module at all, in the module's shape: round robin, one attempt. For benchmarks."""

    def __init__(self, now: float, *_: object) -> None:
        self.executors: list[int] = []
        self.turn = 0
        self.actions: deque[Action] = deque()
        self.freed = ReleasedIndices([], [], [])

    def executors_listed(self, now: float, endpoints: Iterable[Endpoint], complete: bool) -> None:
        told = {x.executor: x.stage is Stage.READY for x in endpoints}
        kept = [] if complete else [e for e in self.executors if e not in told]
        self.executors = kept + [e for e, ready in told.items() if ready]

    def function_named(self, *_: object) -> None:
        pass

    def request_taken(
        self,
        now: float,
        request: int,
        request_class: int,
        tenant: int,
        function: int,
        remaining_ms: float,
        *_: object,
    ) -> None:
        if not self.executors:
            self.actions.append(Action(ActionKind.REJECT, request))
            self.freed.requests.append(request)
            return
        self.turn = (self.turn + 1) % len(self.executors)
        self.actions.append(Action(ActionKind.SEND, request, self.executors[self.turn]))

    def attempt_ended(
        self,
        now: float,
        request: int,
        number: int,
        outcome: object,
        took_ms: float,
        finished: bool,
        *_: object,
    ) -> None:
        if not finished:
            self.actions.append(Action(ActionKind.FAIL, request))
        self.freed.requests.append(request)

    def load_request_answered(self, *_: object) -> None:
        pass

    client_gone = time_passed = quota_share_changed = load_request_answered

    def may_still_send(self, *_: object) -> bool:
        return True

    def decision_failed(self) -> int:
        return -1

    def decide(self, now: float) -> Action | None:
        return self.actions.popleft() if self.actions else None

    def released(self) -> ReleasedIndices:
        freed = self.freed
        self.freed = ReleasedIndices([], [], [])
        return freed


POLICIES = {
    "petrelway": FrontEnd,
    "random": RandomChoice,
    "least-loaded": LeastLoaded,
    "pass-through": PassThrough,
}
