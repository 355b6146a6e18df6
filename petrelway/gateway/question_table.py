"""The load requests and the probes that executors have not answered, each with the timer of its timeout."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from twisted.internet import interfaces


class Question(Protocol):
    """What is asked of an executor."""

    timer: interfaces.IDelayedCall | None


Asked = TypeVar("Asked", bound=Question)


class QuestionTable(Generic[Asked]):
    """Questions in flight by id. Each ends once: by its answer, its timeout, or a failure to send it."""

    def __init__(self, clock: interfaces.IReactorTime) -> None:
        """Start with no question in flight."""
        self.clock = clock
        self.in_flight: dict[int, Asked] = {}

    def __len__(self) -> int:
        """Return how many questions are in flight."""
        return len(self.in_flight)

    def add(self, id: int, question: Asked) -> None:
        """Note a question that is about to be sent."""
        self.in_flight[id] = question

    def start_timer(self, id: int, timeout_ms: float, expired: Callable[..., None], *arguments) -> None:
        """Call `expired` unless the question has ended by then."""
        self.in_flight[id].timer = self.clock.callLater(timeout_ms / 1e3, expired, *arguments)

    def end(self, id: int) -> Asked | None:
        """Take out a question and stop its timer; None if it has already ended."""
        question = self.in_flight.pop(id, None)
        if question is not None:
            self._stop_timer(question)
        return question

    def stop_timers(self) -> None:
        """Stop the timers of all questions: nobody waits for an answer any more."""
        for question in self.in_flight.values():
            self._stop_timer(question)

    @staticmethod
    def _stop_timer(question: Asked) -> None:
        if question.timer is not None and question.timer.active():
            question.timer.cancel()
