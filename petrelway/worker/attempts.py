"""The life of an attempt on a worker, from its arrival in the queue to its one answer. No I/O."""

from __future__ import annotations

import heapq
import math
from collections import deque

from ..wire.outcomes import ExecutorOutcome, ReplicaWarmth
from .actions import Action, ActionKind
from .scheduler_state import Attempt, SchedulerState


class AttemptTracker:
    """Opens, queues, answers and closes attempts, with those that attached to them as repeats."""

    def __init__(self, state: SchedulerState) -> None:
        """Track the attempts in the shared state."""
        self.state = state
        self.deadlines: list[tuple[float, int, Attempt]] = []
        self.opened_count = 0

    def open(self, attempt: Attempt) -> None:
        """Take an attempt in: from now on it is owed an answer until its deadline."""
        self.state.attempts[attempt.key] = attempt
        self.opened_count += 1
        heapq.heappush(self.deadlines, (attempt.deadline_ms, self.opened_count, attempt))

    def enqueue(self, attempt: Attempt) -> None:
        """Open an attempt and queue it for a concurrency slot."""
        self.open(attempt)
        self.state.waiting.setdefault(attempt.function, deque()).append(attempt)
        self.state.waiting_count += 1
        self.state.needs_placement = True

    def dequeue(self, attempt: Attempt) -> bool:
        """Take an attempt out of its queue; return False if it is not in one."""
        queue = self.state.waiting.get(attempt.function)
        if attempt.call_id >= 0 or queue is None or attempt not in queue:
            return False
        queue.remove(attempt)
        self.state.waiting_count -= 1
        if not queue:
            del self.state.waiting[attempt.function]
        return True

    def close(self, attempt: Attempt) -> None:
        """Note that nobody waits for an attempt any more."""
        attempt.closed = True
        self.state.attempts.pop(attempt.key, None)

    def answer(
        self, attempt: Attempt, outcome: int, warmth: int = ReplicaWarmth.UNKNOWN, body: bytes = b""
    ) -> None:
        """Send the front end an attempt's answer."""
        self.state.actions.append(
            Action(
                ActionKind.ANSWER_ATTEMPT,
                front_end=attempt.front_end,
                serial=attempt.serial,
                number=attempt.number,
                outcome=outcome,
                warmth=warmth,
                crowd=attempt.crowd,
                body=body,
            )
        )

    def reject(self, attempt: Attempt, outcome: int, now: float, warmth: int = ReplicaWarmth.UNKNOWN) -> None:
        """Answer an attempt that never ran, and those that attached to it."""
        self.answer(attempt, outcome, warmth)
        if attempt.identity is not None:
            for repeat in self.state.deduplication.complete(attempt.identity.key, False, b"", now):
                self.close(repeat)
                self.answer(repeat, outcome, warmth)

    def finish(self, attempt: Attempt, outcome: int, body: bytes, now: float) -> None:
        """Answer an attempt whose call ended, and those that attached to it."""
        succeeded = outcome == ExecutorOutcome.SUCCEEDED
        answer = body if succeeded else b""
        if not attempt.closed:
            self.close(attempt)
            self.answer(attempt, outcome, attempt.warmth, answer)
        if attempt.identity is not None:
            warmth = ReplicaWarmth.WARM if succeeded else ReplicaWarmth.UNKNOWN
            key = attempt.identity.key
            for repeat in self.state.deduplication.complete(key, succeeded, body, now):
                self.close(repeat)
                self.answer(repeat, outcome, warmth, answer)

    def promote_repeat(self, attempt: Attempt, now: float) -> None:
        """Queue the first repeat of a keyed attempt that was cancelled before it ran, in its place."""
        identity = attempt.identity
        if identity is None:
            return
        deduplication = self.state.deduplication
        repeats = deduplication.complete(identity.key, False, b"", now)
        if not repeats:
            return
        successor = repeats[0]
        successor.warmth = attempt.warmth
        self.state.attempts.pop(successor.key, None)
        for repeat in repeats:
            deduplication.register(identity, repeat, now, repeat.deduplication_window_ms)
        self.enqueue(successor)

    def pop_expired(self, now: float) -> Attempt | None:
        """Return an open attempt whose deadline is past, if there is one."""
        while self.deadlines and self.deadlines[0][0] <= now:
            attempt = heapq.heappop(self.deadlines)[2]
            if not attempt.closed:
                return attempt
        return None

    def next_deadline_ms(self) -> float:
        """Return the earliest deadline, infinity if there is none."""
        return self.deadlines[0][0] if self.deadlines else math.inf
