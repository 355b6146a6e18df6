"""Marks of stamped requests, pure: a repeat attaches to its first try or gets its answer again."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

Caller = TypeVar("Caller")
MARKS_BOUND = 50_000  # marks remembered after they ended well ...
BYTES_BOUND = 32 << 20  # ... and bytes of their answers


class Repeats(Generic[Caller]):
    """What is known of marks: running with who waits, or done with the answer, until its window is over.

    The window counts from when the first try came. An end that was not good forgets the mark: its effect did
    not happen, or no one knows, and the request class lets the front end try again.

    >>> repeats = Repeats()
    >>> repeats.came("m", "first", 0.0, 100.0), repeats.came("m", "second", 5.0, 100.0)
    (('run', b''), ('wait', b''))
    >>> repeats.ended("m", True, b"ok", 10.0), repeats.came("m", "third", 20.0, 100.0)
    (['second'], ('done', b'ok'))
    >>> repeats.came("m", "late", 120.0, 100.0)
    ('run', b'')
    """

    def __init__(self, marks_bound: int = MARKS_BOUND, bytes_bound: int = BYTES_BOUND) -> None:
        self.marks_bound, self.bytes_bound = marks_bound, bytes_bound
        self.running: dict[str, tuple[float, list[Caller]]] = {}  # mark -> until, who waits
        self.done: OrderedDict[str, tuple[float, bytes]] = OrderedDict()
        self.bytes = 0
        self.forgotten_early = 0  # for want of room: told when the worker leaves

    def came(self, mark: str, caller: Caller, now: float, window_ms: float) -> tuple[str, bytes]:
        """`run` it, `wait` for the first try's end, or `done` with the answer."""
        if mark in self.running:
            self.running[mark][1].append(caller)
            return "wait", b""
        if (found := self.done.get(mark)) is not None and now < found[0]:
            return "done", found[1]
        self._drop(mark)
        self.running[mark] = now + window_ms, []
        return "run", b""

    def left(self, mark: str, caller: Caller) -> None:
        """One that waits gave up."""
        if mark in self.running and caller in self.running[mark][1]:
            self.running[mark][1].remove(caller)

    def ended(self, mark: str, good: bool, answer: bytes, now: float) -> list[Caller]:
        """The first try ended; who waits for it."""
        until, callers = self.running.pop(mark, (0.0, []))
        if good and now < until:
            self.done[mark] = until, answer
            self.bytes += len(answer)
            while len(self.done) > self.marks_bound or self.bytes > self.bytes_bound:
                oldest, (ends, _) = next(iter(self.done.items()))
                self.forgotten_early += ends > now
                self._drop(oldest)
        return callers

    def _drop(self, mark: str) -> None:
        if (found := self.done.pop(mark, None)) is not None:
            self.bytes -= len(found[1])

    def forget(self, now: float) -> None:
        while self.done:
            mark, (until, _) = next(iter(self.done.items()))
            if until > now:
                return
            self._drop(mark)
