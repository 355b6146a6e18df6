"""Which part of the fleet's rations this member may use now, pure; times in ms of a clock that never steps
back.

Each of n listed members has the share 1/n. One that has proved d others dead uses 1/(n - d). Nobody is asked
and no views have to agree: of s members that use anything, none can have proved more than n - s dead, so that
each uses 1/s at most, and all together 1. That holds as long as a proof is true while it is used, so

- a proof is a refused port, not silence: who is cut off, or stands still, refuses nothing;
- it holds for PROOF_MS from when the try began, by the clock of who tried;
- a process that has just started uses nothing for that time and what clocks may differ: proofs against an
  earlier process of its name, which are true until it starts, have run out by then;
- a process that stood still asks again in the turn in which it uses something (`choice.Gate`).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..routing.types import Part
from .swim import PROOF_MS, MembershipStateMachine, ViewStatus

DRIFT = 0.01  # two clocks' spans differ by less than this share of them; quartz differs by a ten-thousandth
STARTUP_WAIT_MS = PROOF_MS * (1.0 + 2.0 * DRIFT) + 500.0  # of a process that has just started


class QuotaLease(NamedTuple):
    """The part, and for operators why it is so and for how many dead ones it stands."""

    part: Part
    why: str
    dead: int = 0


class QuotaLeaseHolder:
    """One process's part."""

    def __init__(self, now: float, size: int) -> None:
        """`size`: how many members are listed, this one included."""
        self.began_ms, self.size = now, size

    def held(self, members: MembershipStateMachine, now: float) -> QuotaLease:
        """The part now."""
        own = 1.0 / self.size
        if members.yielded:
            return QuotaLease(Part(0.0, math.inf), "another process has this name")
        if now < self.began_ms + STARTUP_WAIT_MS:
            return QuotaLease(Part(0.0, self.began_ms + STARTUP_WAIT_MS), "just started: others may stand for this name")
        whole = members.whole(now)
        if whole is not ViewStatus.COMPLETE:
            return QuotaLease(Part(own, math.inf), f"own share: {whole.value}")
        dead = [m.refused_ms + PROOF_MS for m in members.proved(now)]
        if not dead:
            return QuotaLease(Part(own, math.inf), "own share")
        return QuotaLease(Part(1.0 / (self.size - len(dead)), min(dead)), "stands for dead ones too", len(dead))
