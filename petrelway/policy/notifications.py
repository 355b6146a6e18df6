"""How a leader notifies members of the policy in force: in answer to their queries, and after a change."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from .log_entries import ActivationTime
from .member_record import MemberRecord
from .messages import NOT_QUERIED_MS, PolicyNotification

if TYPE_CHECKING:
    from .change_coordinator import ChangeCoordinator


class SendMessage(NamedTuple):
    """Send a message to a member."""

    to: str
    message: Any


def answer_queries(coordinator: ChangeCoordinator, now: float) -> None:
    """Answer members' queries for the policy in force. A deposed leader would give an outdated answer, so a
    majority must have acknowledged this leader since the query. No query is answered while a decision is
    uncommitted: a member allowed to serve while a change is decided without it would serve under the old
    policy."""
    for name, member in coordinator.members.items():
        query = member.query
        if query is None or not coordinator.raft.is_confirmed(query.round) or coordinator.resolving_index:
            continue
        if _activation(coordinator, name, query.token) is None and now < coordinator.in_force_ms():
            continue
        member.query = None
        member.identify(query.token)
        member.admitted_ms = now
        has_document = query.version == coordinator.raft.state.version
        notification = _notification(coordinator, name, member, query.queried_ms, has_document)
        coordinator.actions.append(SendMessage(name, notification))


def _activation(coordinator: ChangeCoordinator, name: str, token: int) -> ActivationTime | None:
    for activation in coordinator.raft.state.activations:
        if activation.name == name and activation.token == token:
            return activation
    return None


def _notification(
    coordinator: ChangeCoordinator, name: str, member: MemberRecord, queried_ms: float, has_document: bool
) -> PolicyNotification:
    """Build a notification of the policy in force. It omits a document that the member already has: sent
    repeatedly to hundreds of members, a large one would use up the leader's network capacity."""
    state = coordinator.raft.state
    present = state.present()
    changed = present is not None and present.number > 0
    return PolicyNotification(
        term=coordinator.raft.current_term,
        token=member.token,
        state_index=state.applied_index,
        resolved_index=state.last_resolved_index,
        version=state.version,
        digest=present.digest if changed else coordinator.initial_digest,
        document=present.document if changed and not has_document else "",
        voters=coordinator.raft.voters(),
        queried_ms=queried_ms,
        activation=_activation(coordinator, name, member.token),
    )


def notify_members(coordinator: ChangeCoordinator, now: float) -> None:
    """Notify all members that have not acknowledged the policy in force."""
    for name, member in coordinator.members.items():
        if member.state_index >= coordinator.state_index or not coordinator.is_retry_due(now, member):
            continue
        if not member.token:
            coordinator.query_clock(name, member, now)
        elif _activation(coordinator, name, member.token) is not None or now >= coordinator.in_force_ms():
            member.notified_ms = now
            has_document = member.has_accepted(coordinator.resolved_index)
            notification = _notification(coordinator, name, member, NOT_QUERIED_MS, has_document)
            coordinator.actions.append(SendMessage(name, notification))
