"""Load requests of front ends that wait for their replicas. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..wire.outcomes import ExecutorOutcome
from .actions import Action, ActionKind
from .scheduler_state import SchedulerState


class LoadRequest(NamedTuple):
    """A front end asks for this many replicas. `front_end` is the connection."""

    front_end: Any
    id: int
    replicas: int
    until_ms: float


class LoadRequestTable:
    """The load requests that are not answered yet, by function."""

    def __init__(self, state: SchedulerState) -> None:
        """Begin with no requests; answers go to the shared state's actions."""
        self.state = state
        self.pending: dict[str, list[LoadRequest]] = {}

    def add(self, function: str, request: LoadRequest) -> None:
        """Keep a request until its replicas are ready, can't be, or its patience is over."""
        self.pending.setdefault(function, []).append(request)

    def answer(self, front_end: Any, id: int, outcome: int, replicas: int) -> None:
        """Tell a front end how its request ended, and how many replicas are ready."""
        self.state.actions.append(
            Action(
                ActionKind.ANSWER_LOAD_REQUEST,
                front_end=front_end,
                serial=id,
                outcome=outcome,
                number=replicas,
            )
        )

    def answer_ready(self, function: str) -> None:
        """Answer the requests of a function that are fulfilled by now."""
        ready = len(self.state.active_replicas(function))
        requests = self.pending.get(function, [])
        for request in requests:
            if request.replicas <= ready:
                self.answer(request.front_end, request.id, ExecutorOutcome.SUCCEEDED, ready)
        self._keep(function, [request for request in requests if request.replicas > ready])

    def fail(self, function: str, outcome: int) -> None:
        """Answer all requests of a function: there is going to be no replica."""
        for request in self.pending.pop(function, ()):
            self.answer(request.front_end, request.id, outcome, 0)

    def fail_all(self) -> None:
        """Answer all requests: the worker drains."""
        for function, requests in self.pending.items():
            ready = len(self.state.active_replicas(function))
            for request in requests:
                self.answer(request.front_end, request.id, ExecutorOutcome.FULL, ready)
        self.pending.clear()

    def forget(self, front_end: Any) -> None:
        """Forget the requests of a front end that is gone; what it asked for is still loaded."""
        for requests in self.pending.values():
            requests[:] = [request for request in requests if request.front_end is not front_end]

    def expire(self, now: float) -> None:
        """Answer the requests whose patience is over."""
        for function, requests in list(self.pending.items()):
            ready = len(self.state.active_replicas(function))
            for request in requests:
                if request.until_ms <= now:
                    self.answer(request.front_end, request.id, ExecutorOutcome.FULL, ready)
            self._keep(function, [request for request in requests if request.until_ms > now])

    def _keep(self, function: str, requests: list[LoadRequest]) -> None:
        if requests:
            self.pending[function] = requests
        else:
            self.pending.pop(function, None)
