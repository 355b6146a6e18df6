"""The own incarnation: refutes suspicions of this process, and overrides other processes under its name.

The state machine (`swim.py`) passes every update about this member to `OwnIncarnation.apply`. Times are
in ms.
"""

from __future__ import annotations

import math
from collections import Counter, deque

from .dissemination import UpdateQueue
from .member import MemberEvent, MemberTable
from .messages import Incarnation, MemberState, MemberUpdate
from .suspicion import LocalHealth

INCARNATION_STEP = 4096  # a new process starts this far above an earlier one, which refuted fewer suspicions
MAX_CONFLICTING_PROCESSES = 16  # other processes under the own name that are kept track of
MAX_INCARNATION = 0xFFFFFFFF  # incarnation numbers have 32 bits on the wire


class OwnIncarnation:
    """This process's incarnation, and whether it keeps its name."""

    def __init__(
        self,
        first: Incarnation,
        table: MemberTable,
        updates: UpdateQueue,
        health: LocalHealth,
        events: deque[MemberEvent],
        counts: Counter[str],
    ) -> None:
        """Start with the incarnation `first`. The other objects are the state machine's, and are modified."""
        self.current = first
        self.table = table
        self.updates = updates
        self.health = health
        self.events = events
        self.counts = counts
        self.yielded = False  # whether another process runs under this name and keeps it
        self.overridden: dict[int, int] = {}  # token of the other process -> own number after overriding it
        self.last_refuted_ms = -math.inf

    def apply(self, update: MemberUpdate, now: float) -> None:
        """Refute a suspicion of this process, or override another process under its name."""
        if update.incarnation.token == self.current.token:
            self._refute(update, now)
        elif update.incarnation >= self.current and not self.yielded:
            self._override(update.incarnation)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        suspected = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if suspected and update.incarnation >= self.current:
            self.last_refuted_ms = now
            self.health.worsen()
            self._raise_incarnation(update.incarnation.number)

    def _override(self, other: Incarnation) -> None:
        """Raise the own incarnation far above that of another process under this name.

        Only if the other process then exceeds this incarnation, the process with the lower token yields, so
        that the name does not flap between them. The last messages of an earlier process, which is dead,
        arrive late and one by one; they must not be taken for those of a living process.
        """
        overridden = self.overridden.get(other.token)
        # a dead process can not have raised its incarnation this far, so the other one is running
        if overridden is not None and other.number > overridden:
            if not self.counts["two processes"]:
                self.events.append(MemberEvent(0, "two processes", "another process runs under this name"))
            self.counts["two processes"] += 1
            if other.token > self.current.token:
                self.yielded = True
                self.events.append(MemberEvent(0, "yielded", "the other process keeps the name"))
                return
        if overridden is not None or len(self.overridden) < MAX_CONFLICTING_PROCESSES:
            self._raise_incarnation(other.number + INCARNATION_STEP)
            self.overridden[other.token] = self.current.number

    def _raise_incarnation(self, above: int) -> None:
        before = self.current
        self.current = Incarnation(min(above + 1, MAX_INCARNATION), before.token)
        self.table.own_incarnation_changed(before, self.current)
        self.updates.add(self.table.own_id)
