"""Which member updates are piggybacked on each message (SWIM's infection-style dissemination).

An update is sent a number of times that grows with the logarithm of the fleet size. Where two views differ,
all entries are also sent in turn, because updates can be lost and a fleet that was partitioned has to compare
all entries.
"""

from __future__ import annotations

import math

from .member import Member, MemberTable
from .messages import MAX_UPDATES, MemberState

TRANSMISSIONS = 3.0  # of each update, multiplied by log2 of the fleet size


class UpdateQueue:
    """The updates that wait to be sent, by member id."""

    def __init__(self, table: MemberTable) -> None:
        """Start with no updates; `table` holds the entries that are sent."""
        size = len(table.others) + 1
        self.table = table
        self.max_transmissions = math.ceil(TRANSMISSIONS * math.log2(size + 1))
        self.transmissions: dict[int, int] = {}  # member id -> how often its update was sent
        self._cursor = 0  # index in `table.ids` of the entry last sent in turn

    def add(self, member_id: int) -> None:
        """Queue this member's entry, and count its transmissions from 0."""
        self.transmissions[member_id] = 0

    def pick(self, recipient: Member) -> list[int]:
        """Choose the members whose entries are sent to `recipient`.

        These are its own entry if it has something to refute, then the least sent updates, then, where the
        views differ, all entries in turn.
        """
        picked: dict[int, None] = {}  # a set that keeps its order
        believed_alive = recipient.state in (MemberState.ALIVE, MemberState.UNKNOWN)
        if not believed_alive or recipient.incarnation.number:
            picked[recipient.id] = None
        self._pick_least_sent(picked)
        if recipient.view_digest != self.table.view_digest:
            self._pick_in_turn(picked)
        return list(picked)[:MAX_UPDATES]

    def _pick_least_sent(self, picked: dict[int, None]) -> None:
        least_sent = sorted(self.transmissions, key=self.transmissions.__getitem__)
        for id in least_sent[: MAX_UPDATES - len(picked)]:
            picked.setdefault(id)
            self.transmissions[id] += 1
            if self.transmissions[id] >= self.max_transmissions:
                del self.transmissions[id]

    def _pick_in_turn(self, picked: dict[int, None]) -> None:
        ids = self.table.ids
        for _ in range(min(len(ids), MAX_UPDATES)):
            if len(picked) >= MAX_UPDATES:
                break
            self._cursor = (self._cursor + 1) % len(ids)
            id = ids[self._cursor]
            if self.table.others[id].state is not MemberState.UNKNOWN:
                picked[id] = None
