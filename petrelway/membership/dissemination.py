"""Which member updates go along with each message (SWIM's infection-style dissemination).

An update is sent a number of times that grows with the logarithm of the fleet. Where two views differ, all
entries are sent in turn besides: updates can be lost, and a fleet that was partitioned compares them all.
"""

from __future__ import annotations

import math

from .member import Member, MemberTable
from .messages import MAX_UPDATES, MemberState

TRANSMISSIONS = 3.0  # of each update, times log2 of the members


class UpdateQueue:
    """The updates that wait to be sent, by member id."""

    def __init__(self, table: MemberTable) -> None:
        """`table` holds the entries that are sent."""
        size = len(table.others) + 1
        self.table = table
        self.max_transmissions = math.ceil(TRANSMISSIONS * math.log2(size + 1))
        self.transmissions: dict[int, int] = {}  # member id -> how often its update was sent
        self._cursor = 0  # of the comparison of whole views

    def add(self, member_id: int) -> None:
        """Send this member's entry anew."""
        self.transmissions[member_id] = 0

    def pick(self, recipient: Member) -> list[int]:
        """Choose the members whose entries go to `recipient`: its own if it has something to refute, then
        those sent least, then, where the views differ, all in turn."""
        picked: dict[int, None] = {}  # a set that keeps its order
        believed_there = recipient.state in (MemberState.ALIVE, MemberState.UNKNOWN)
        if not believed_there or recipient.incarnation.number:
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
