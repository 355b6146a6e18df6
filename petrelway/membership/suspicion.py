"""How long a suspicion lasts, and this member's own health (Lifeguard).

A suspicion runs out sooner the more members confirm it. A member that misses answers, pauses or is suspected
itself doubts its own health, and waits longer before it suspects others. Times are in ms.
"""

from __future__ import annotations

import math

from .member import Member
from .messages import MemberState

SUSPICION_TIMEOUT_MS = 3000.0  # with enough confirmers, times log10 of the members ...
UNCONFIRMED_FACTOR = 3.0  # ... and so many times that without any
MAX_CONFIRMERS = 3  # for the shortest time-out
RECENTLY_HEARD_MS = 3000.0  # a member heard so lately is not declared dead because another says so
MAX_HEALTH_PENALTY = 8  # own time-outs grow by one for each unanswered probe, refuted suspicion and pause


class SuspicionTimeouts:
    """The time-outs of suspicions in a fleet of a given size."""

    def __init__(self, size: int) -> None:
        """`size` counts all listed members, this one included."""
        self.shortest_ms = SUSPICION_TIMEOUT_MS * max(1.0, math.log10(size))

    def deadline_ms(self, member: Member) -> float:
        """When the suspicion of this member runs out."""
        confirmed = math.log(len(member.confirmers) + 1) / math.log(MAX_CONFIRMERS + 1)
        factor = UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1.0) * confirmed
        return member.suspected_ms + self.shortest_ms * factor


class LocalHealth:
    """Lifeguard's local health multiplier: 0 for a healthy member."""

    def __init__(self) -> None:
        """Begin healthy."""
        self.penalty = 0

    def worsen(self) -> None:
        """A probe went unanswered, this process paused, or it was suspected."""
        self.penalty = min(MAX_HEALTH_PENALTY, self.penalty + 1)

    def improve(self) -> None:
        """A probe was answered."""
        self.penalty = max(0, self.penalty - 1)

    @property
    def timeout_factor(self) -> float:
        """By which the time-outs of probes are multiplied."""
        return 1.0 + self.penalty


def confirm(member: Member, confirmer: int) -> None:
    """Count another member that suspects this suspect too."""
    if member.state is MemberState.SUSPECT and len(member.confirmers) < MAX_CONFIRMERS:
        member.confirmers.add(confirmer)
