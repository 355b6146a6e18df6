"""Deduplication of keyed requests: a repeat attaches to the first attempt or gets its answer. No I/O.

A repeat is the same request again: the same key of the same tenant, and the same fingerprint.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from .request_identity import RequestIdentity, TenantKey

Caller = TypeVar("Caller")
ENTRIES_BOUND = 50_000  # completed entries that are remembered ...
BYTES_BOUND = 32 << 20  # ... and bytes of their answers


class Admission(Enum):
    """What an attempt with an idempotency key is to do."""

    RUN = "run"
    WAIT = "wait"  # for the end of the first attempt
    ANSWERED = "answered"  # with the answer of the first attempt
    CONFLICT = "conflict"  # its key stands for another request: it neither runs nor gets that one's answer


class RunningEntry(NamedTuple, Generic[Caller]):
    """The first attempt with a key runs; further ones wait for it."""

    until_ms: float
    fingerprint: bytes
    waiting: list[Caller]


class CompletedEntry(NamedTuple):
    """The answer of a key's first attempt, until its deduplication window is over."""

    until_ms: float
    fingerprint: bytes
    answer: bytes


class DeduplicationTable(Generic[Caller]):
    """Entries by a tenant's idempotency key: running with who waits, or completed with the answer.

    The window counts from when the first attempt came. An end that was no success forgets the key: its effect
    did not happen, or no one knows, and the request class lets the front end try again.

    >>> table = DeduplicationTable()
    >>> key = TenantKey("north", "k")
    >>> asked, other = RequestIdentity(key, b"one body"), RequestIdentity(key, b"another body")
    >>> table.register(asked, "first", 0.0, 100.0)[0], table.register(asked, "second", 5.0, 100.0)[0]
    (<Admission.RUN: 'run'>, <Admission.WAIT: 'wait'>)
    >>> table.complete(key, True, b"ok", 10.0), table.register(asked, "third", 20.0, 100.0)
    (['second'], (<Admission.ANSWERED: 'answered'>, b'ok'))
    >>> table.register(other, "someone", 20.0, 100.0)
    (<Admission.CONFLICT: 'conflict'>, b'')
    >>> table.register(other, "late", 120.0, 100.0)
    (<Admission.RUN: 'run'>, b'')
    """

    def __init__(self, entries_bound: int = ENTRIES_BOUND, bytes_bound: int = BYTES_BOUND) -> None:
        """Remember at most so many completed entries, and bytes of their answers."""
        self.entries_bound = entries_bound
        self.bytes_bound = bytes_bound
        self.running: dict[TenantKey, RunningEntry[Caller]] = {}
        self.completed: OrderedDict[TenantKey, CompletedEntry] = OrderedDict()
        self.answer_bytes = 0
        self.evicted_early = 0  # for want of memory, before the window was over: logged when the worker stops

    def register(
        self, identity: RequestIdentity, caller: Caller, now: float, window_ms: float
    ) -> tuple[Admission, bytes]:
        """Register an attempt: say whether it runs, waits, is answered, and with what, or is in conflict."""
        key = identity.key
        if (running := self.running.get(key)) is not None:
            if running.fingerprint != identity.fingerprint:
                return Admission.CONFLICT, b""
            running.waiting.append(caller)
            return Admission.WAIT, b""
        if (completed := self.completed.get(key)) is not None and now < completed.until_ms:
            if completed.fingerprint != identity.fingerprint:
                return Admission.CONFLICT, b""
            return Admission.ANSWERED, completed.answer
        self._discard(key)
        self.running[key] = RunningEntry(now + window_ms, identity.fingerprint, [])
        return Admission.RUN, b""

    def is_awaited(self, key: TenantKey) -> bool:
        """Say whether any attempt waits for the first one with this key."""
        return key in self.running and bool(self.running[key].waiting)

    def detach(self, key: TenantKey, caller: Caller) -> None:
        """Remove an attempt that no longer waits."""
        if key in self.running and caller in self.running[key].waiting:
            self.running[key].waiting.remove(caller)

    def complete(self, key: TenantKey, succeeded: bool, answer: bytes, now: float) -> list[Caller]:
        """Record the end of the first attempt; return those that wait for it."""
        entry = self.running.pop(key, None)
        if entry is None:
            return []
        if succeeded and now < entry.until_ms:
            self.completed[key] = CompletedEntry(entry.until_ms, entry.fingerprint, answer)
            self.answer_bytes += len(answer)
            self._evict_over_bounds(now)
        return entry.waiting

    def _evict_over_bounds(self, now: float) -> None:
        while len(self.completed) > self.entries_bound or self.answer_bytes > self.bytes_bound:
            oldest, entry = next(iter(self.completed.items()))
            self.evicted_early += entry.until_ms > now
            self._discard(oldest)

    def _discard(self, key: TenantKey) -> None:
        if (entry := self.completed.pop(key, None)) is not None:
            self.answer_bytes -= len(entry.answer)

    def expire(self, now: float) -> None:
        """Forget the oldest entries whose window is over."""
        while self.completed:
            key, entry = next(iter(self.completed.items()))
            if entry.until_ms > now:
                return
            self._discard(key)
