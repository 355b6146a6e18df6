"""How long a suspicion lasts, and the local health multiplier (Lifeguard).

A suspicion times out sooner the more members confirm it. A member that misses answers, was paused or is
suspected itself raises its health penalty, and then waits longer before it suspects others. Times are in ms.
"""

from __future__ import annotations

import math

from .member import Member
from .messages import MemberState

SUSPICION_TIMEOUT_MS = 3000.0  # with MAX_CONFIRMERS confirmers; multiplied by log10 of the fleet size
UNCONFIRMED_FACTOR = 3.0  # how many times longer the time-out is without any confirmer
MAX_CONFIRMERS = 3  # more of them do not shorten the time-out further
RECENTLY_HEARD_MS = 3000.0  # a member heard within this time is suspected, not dead, when reported dead
MAX_HEALTH_PENALTY = 8  # each unanswered probe, refuted suspicion or pause adds 1 to the own factor


class SuspicionTimeouts:
    """The time-outs of suspicions in a fleet of a given size."""

    def __init__(self, size: int) -> None:
        """`size` counts all listed members, this one included."""
        self.shortest_ms = SUSPICION_TIMEOUT_MS * max(1.0, math.log10(size))

    def deadline_ms(self, member: Member) -> float:
        """Return when the suspicion of this member times out."""
        confirmed_share = math.log(len(member.confirmers) + 1) / math.log(MAX_CONFIRMERS + 1)
        factor = UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1.0) * confirmed_share
        return member.suspected_ms + self.shortest_ms * factor


class LocalHealth:
    """Lifeguard's local health multiplier: 0 for a healthy member."""

    def __init__(self) -> None:
        """Start healthy."""
        self.penalty = 0

    def worsen(self) -> None:
        """Raise the penalty: a probe went unanswered, this process was paused, or it was suspected."""
        self.penalty = min(MAX_HEALTH_PENALTY, self.penalty + 1)

    def improve(self) -> None:
        """Lower the penalty: a probe was answered."""
        self.penalty = max(0, self.penalty - 1)

    @property
    def timeout_factor(self) -> float:
        """The factor by which the time-outs of probes are multiplied."""
        return 1.0 + self.penalty


def confirm(member: Member, confirmer: int) -> None:
    """Count another member that also suspects this suspect, up to MAX_CONFIRMERS."""
    if member.state is MemberState.SUSPECT and len(member.confirmers) < MAX_CONFIRMERS:
        member.confirmers.add(confirmer)
