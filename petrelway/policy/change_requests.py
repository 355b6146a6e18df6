"""How a leader answers operators' requests: to change the document or the voters, or to abandon a change.

Each request is repeated until its outcome is known, and a repetition may arrive late. An answer may therefore
refuse only what will be refused for good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .log_entries import ChangeProposed, VotersChanged
from .messages import ChangeProgress, ChangeRequest

if TYPE_CHECKING:
    from .change_coordinator import ChangeCoordinator

MAX_NAMES_LISTED = 20  # member names listed in one reason


def answer(coordinator: ChangeCoordinator, now: float, request: ChangeRequest) -> ChangeProgress:
    """Answer an operator's request, which is repeated until the outcome of the change is known."""
    if not coordinator.raft.is_ready():
        return _progress(coordinator, now, request, "under way", "the new leader finds out what holds")
    if request.abandon:
        return _abandon_requested(coordinator, now, request)
    if request.voters:
        return _change_voters(coordinator, now, request)
    state = coordinator.raft.state
    outcome = state.outcome(request.id)
    if outcome is not None:
        if not outcome.version:
            return _progress(coordinator, now, request, "abandoned", outcome.why)
        if now < coordinator.in_force_ms() and outcome.version == state.version:
            return _progress(coordinator, now, request, "under way", "decided; it takes hold in a moment")
        return _progress(coordinator, now, request, "adopted", "", outcome.version)
    pending = state.pending
    is_pending = pending is not None and pending.proposed.id == request.id
    if request.id in coordinator.uncommitted_proposals or is_pending:
        return _progress(coordinator, now, request, "under way", "")
    return _propose(coordinator, now, request)


def _propose(coordinator: ChangeCoordinator, now: float, request: ChangeRequest) -> ChangeProgress:
    """Propose a new change if one may begin now. A late repetition of a request must not start a change that
    was refused before, so only requests that will always be refused are refused; all others wait."""
    state = coordinator.raft.state
    if request.base < state.version:
        why = f"stale: made from version {request.base}, while version {state.version} holds"
        return _progress(coordinator, now, request, "refused", why)
    if state.pending is not None or coordinator.uncommitted_proposals:
        return _progress(coordinator, now, request, "under way", "waits for another change")
    if now < coordinator.in_force_ms() or request.base > state.version:
        return _progress(coordinator, now, request, "under way", "waits for the last change to take hold")
    unknown = [name for name in request.without if name not in coordinator.members]
    if unknown:
        why = f"no members: {', '.join(unknown[:MAX_NAMES_LISTED])}"
        return _progress(coordinator, now, request, "refused", why)
    proposed = ChangeProposed(
        id=request.id,
        base=request.base,
        document=request.document,
        base_document=request.base_document,
        by=request.by,
        at=request.at,
        without=request.without,
    )
    coordinator.uncommitted_proposals[request.id] = coordinator.raft.append(now, proposed)
    coordinator.timer_ms = now
    return _progress(coordinator, now, request, "under way", "")


def _abandon_requested(coordinator: ChangeCoordinator, now: float, request: ChangeRequest) -> ChangeProgress:
    if coordinator.raft.state.pending is None or coordinator.resolving_index:
        why = "no change is under way that could still be abandoned"
        return _progress(coordinator, now, request, "refused", why)
    coordinator.abandon_reason = f"abandoned by {request.by or 'an operator'}"
    coordinator.timer_ms = now
    return _progress(coordinator, now, request, "adopted", "it is being abandoned")


def _change_voters(coordinator: ChangeCoordinator, now: float, request: ChangeRequest) -> ChangeProgress:
    """Add or remove one voter. Changing two at once could create two majorities without a common voter."""
    present = coordinator.raft.voters()
    if coordinator.raft.is_changing_voters():
        return _progress(coordinator, now, request, "under way", "a change of the keepers is under way")
    if present == request.voters:
        return _progress(coordinator, now, request, "adopted", "")
    wanted = set(request.voters)
    if len(set(present) ^ wanted) != 1 or len(wanted) != len(request.voters):
        return _progress(coordinator, now, request, "refused", "one keeper comes or goes at a time")
    unknown = [name for name in request.voters if name not in coordinator.members]
    if unknown:
        return _progress(coordinator, now, request, "refused", f"no members: {', '.join(unknown)}")
    coordinator.raft.append(now, VotersChanged(names=request.voters))
    return _progress(coordinator, now, request, "under way", "")


def _progress(
    coordinator: ChangeCoordinator,
    now: float,
    request: ChangeRequest,
    state: str,
    why: str,
    version: int | None = None,
) -> ChangeProgress:
    """Build the answer. `version`: the version that the change became; by default the current one."""
    rows = []
    pending = coordinator.raft.state.pending
    for name, member in coordinator.members.items():
        if pending is not None and coordinator.prepared_index == pending.index:
            refusal = f"no: {member.refusal}" if member.has_refused(coordinator.prepared_index) else ""
            reason = refusal or coordinator.reason_to_proceed(now, name, member)
            rows.append((name, reason or "no answer yet"))
        elif member.version >= 0:
            rows.append((name, f"under version {member.version}"))
    shown_version = coordinator.raft.state.version if version is None else version
    return ChangeProgress(id=request.id, state=state, version=shown_version, why=why, rows=tuple(rows))
