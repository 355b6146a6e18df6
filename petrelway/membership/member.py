"""What one member knows of each listed peer, and the table of peers by state.

The state machine (`swim.py`) owns one table; a member's state is changed only by `MemberTable.move`, which
keeps the groups by state and the digest of the view consistent. Times are in ms of a clock that never
steps back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import MEMBER_UPDATE, Incarnation, MemberState, digest

FINAL_PINGS = 2  # sent after a suspicion's time-out before the member is declared dead
PROOF_MS = 5000.0  # how long a refused port proves that no process uses the quota of its name
NEVER_HEARD = Incarnation(0, 0)


@dataclass(eq=False)
class Member:
    """What is known of one listed peer."""

    id: int
    since_ms: float  # when its present state began
    suspected_ms: float  # when its suspicion began
    incarnation: Incarnation = NEVER_HEARD
    state: MemberState = MemberState.UNKNOWN
    heard_ms: float = -math.inf
    refused_ms: float = -math.inf  # when the last refused port check began
    checked_ms: float = -math.inf  # when its port was last checked
    confirmers: set[int] = field(default_factory=set)  # ids of other members that suspect it too
    pinged_ms: float = math.inf  # when this member first pinged it since the suspicion began
    final_pings_left: int = FINAL_PINGS
    view_digest: int = 0  # from its last message
    policy_version: int = 0  # from its last message
    reason: str = ""  # for operators: why it is in this state

    def begin_suspicion(self, now: float) -> None:
        """Begin or restart the suspicion, with no confirmers and no ping sent since."""
        self.suspected_ms = now
        self.confirmers = set()
        self.pinged_ms = math.inf
        self.final_pings_left = FINAL_PINGS


class MemberEvent(NamedTuple):
    """A change that is logged for operators; `member` is 0 for this member itself."""

    member: int
    what: str
    why: str


class MemberTable:
    """All peers of one member, by id and by state, with a digest of the whole view."""

    def __init__(self, now: float, own_id: int, own_incarnation: Incarnation, peers: list[int]) -> None:
        """Start with each of `peers` (ids of the other members) unknown."""
        self.own_id = own_id
        self.others = {id: Member(id, now, now) for id in sorted(peers)}
        self.ids = list(self.others)
        # groups by state: scanning a thousand members ten times a second would cost more than their messages
        self.by_state: dict[MemberState, dict[int, Member]] = {state: {} for state in MemberState}
        self.by_state[MemberState.UNKNOWN].update(self.others)
        self.view_digest = 0
        for member in self.others.values():
            self.view_digest ^= entry_digest(member.id, member.incarnation, member.state)
        self.view_digest ^= entry_digest(own_id, own_incarnation, MemberState.ALIVE)

    def move(self, member: Member, incarnation: Incarnation, state: MemberState) -> None:
        """Change a member's incarnation, state or both."""
        before = entry_digest(member.id, member.incarnation, member.state)
        self.view_digest ^= before ^ entry_digest(member.id, incarnation, state)
        del self.by_state[member.state][member.id]
        self.by_state[state][member.id] = member
        member.incarnation = incarnation
        member.state = state

    def own_incarnation_changed(self, before: Incarnation, after: Incarnation) -> None:
        """Update the view's digest for a new own incarnation."""
        self.view_digest ^= entry_digest(self.own_id, before, MemberState.ALIVE)
        self.view_digest ^= entry_digest(self.own_id, after, MemberState.ALIVE)

    def proved_dead(self, now: float) -> list[Member]:
        """List the members whose quota is certain not to be used by any process now."""
        states = (MemberState.DEAD, MemberState.LEFT)
        return [
            member
            for state in states
            for member in self.by_state[state].values()
            if is_proved_dead(member, now)
        ]

    def all_proved_dead(self, now: float) -> bool:
        """Return whether every peer is dead or has left, each with a proof that still holds."""
        dead_or_left = len(self.by_state[MemberState.DEAD]) + len(self.by_state[MemberState.LEFT])
        return dead_or_left == len(self.others) and len(self.proved_dead(now)) == dead_or_left


def is_proved_dead(member: Member, now: float) -> bool:
    """Return whether it is certain that no process uses this member's quota now."""
    return now < member.refused_ms + PROOF_MS


def entry_digest(id: int, incarnation: Incarnation, state: MemberState) -> int:
    """Hash one entry of a view; a view's digest is the XOR of its entries' digests."""
    return digest(MEMBER_UPDATE.pack(id, *incarnation, state).hex())
