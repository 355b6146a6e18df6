"""The members page that operators read; its keys and values are a public format and stay as they are."""

from __future__ import annotations

import math
from typing import Any

from .messages import MEMBER_STATE_LABELS, Incarnation, MemberState
from .quota_lease import QuotaLease
from .swim import MembershipStateMachine


def members_report(
    now: float,
    own_name: str,
    fleet: str,
    peers: dict[int, Any],
    members: MembershipStateMachine,
    lease: QuotaLease,
    size: int,
    counts: dict[str, int],
) -> dict[str, Any]:
    """Describe the fleet from one member's view. `peers` are addresses by id; spans are in seconds."""
    left_ms = lease.part.until_ms - now
    return {
        "fleet": fleet,
        "whole": members.view_status(now).value,
        "view": f"{members.view_digest:08x}",
        "share": round(lease.part.share, 4),
        "own share": round(1.0 / size, 4),
        "share until s": round(left_ms / 1e3, 1) if left_ms < math.inf else None,
        "why": lease.reason,
        "stands for dead": lease.dead,
        "stood still": members.pauses,
        "own health": members.health.penalty,
        "alive": 1 + sum(member.state is MemberState.ALIVE for member in members.others.values()),
        "counts": counts,
        "rows": _rows(now, own_name, peers, members),
    }


def _rows(
    now: float, own_name: str, peers: dict[int, Any], members: MembershipStateMachine
) -> list[dict[str, Any]]:
    rows = [_row(own_name, "this one", now - members.began_ms, 0.0, members.incarnation, "itself")]
    rows[0]["terms"] = members.policy_version
    for id, peer in sorted(peers.items(), key=lambda item: item[1].name):
        member = members.others[id]
        row = _row(
            peer.name,
            MEMBER_STATE_LABELS[member.state],
            now - member.since_ms,
            now - member.heard_ms,
            member.incarnation,
            member.reason,
        )
        row["terms"] = member.policy_version
        rows.append(row)
    return rows


def _row(
    name: str, state: str, since_ms: float, heard_ms: float, incarnation: Incarnation, reason: str
) -> dict[str, Any]:
    return {
        "member": name,
        "state": state,
        "since s": round(since_ms / 1e3, 1),
        "heard s ago": round(heard_ms / 1e3, 1) if heard_ms < math.inf else None,
        "start": f"{incarnation.number}.{incarnation.token:08x}",
        "known by": reason,
    }
