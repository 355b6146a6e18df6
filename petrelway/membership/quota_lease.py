"""Which share of the fleet's quota this member may use now, without I/O.

Times are in ms of a clock that never steps back.

Each of n listed members has the share 1/n. A member that has proved d others dead uses 1/(n - d). No messages
are exchanged for this, and the views need not agree: of s members that use any quota, none can have proved
more than n - s dead, so each uses at most 1/s, and all together at most 1. That holds as long as each proof
is true while it is used, so

- a proof is a refused port, not silence: the port of a member that is cut off or paused does not refuse;
- a proof holds for PROOF_MS from when the port check began, by the clock of the member that checked;
- a process that has just started uses no quota for that time plus a margin for the drift of clocks: proofs
  against an earlier process under its name, which are true until it starts, have expired by then;
- a process that was paused checks its share again in the turn in which it uses it (`routing.router.Gate`).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..routing.types import QuotaShare
from .member import PROOF_MS
from .swim import MembershipStateMachine, ViewStatus

MAX_CLOCK_DRIFT = 0.01  # two clocks' spans differ by less than 1%; those of quartz clocks by 0.01%
STARTUP_MARGIN_MS = 500.0
STARTUP_WAIT_MS = PROOF_MS * (1.0 + 2.0 * MAX_CLOCK_DRIFT) + STARTUP_MARGIN_MS  # of a new process


class QuotaLease(NamedTuple):
    """The share and its end; for operators, the reason and how many dead members' shares it includes."""

    part: QuotaShare
    reason: str
    dead: int = 0


class QuotaLeaseHolder:
    """One process's lease of the fleet's quota."""

    def __init__(self, now: float, size: int) -> None:
        """`size` is the number of listed members, this one included."""
        self.began_ms = now
        self.size = size

    def current(self, members: MembershipStateMachine, now: float) -> QuotaLease:
        """Return the lease that holds now."""
        own_share = 1.0 / self.size
        if members.yielded:
            return QuotaLease(QuotaShare(0.0, math.inf), "another process has this name")
        may_use_ms = self.began_ms + STARTUP_WAIT_MS
        if now < may_use_ms:
            return QuotaLease(QuotaShare(0.0, may_use_ms), "just started: others may stand for this name")
        status = members.view_status(now)
        if status is not ViewStatus.COMPLETE:
            return QuotaLease(QuotaShare(own_share, math.inf), f"own share: {status.value}")
        expiries = [member.refused_ms + PROOF_MS for member in members.proved_dead(now)]
        if not expiries:
            return QuotaLease(QuotaShare(own_share, math.inf), "own share")
        share = 1.0 / (self.size - len(expiries))
        return QuotaLease(QuotaShare(share, min(expiries)), "stands for dead ones too", len(expiries))
