"""The leader's side of a policy change, without I/O: prepare all members, decide on one activation time, and
notify the members; and which members block the change.

Each newly elected leader creates a new coordinator, which knows of members only what they have sent it since.
Times are in ms of the leader's clock unless a name says otherwise. docs/policy.md explains why each rule is
needed.
"""

from __future__ import annotations

import math
from collections import deque
from functools import singledispatchmethod
from typing import Any, NamedTuple

from . import change_requests, notifications
from .change_requests import MAX_NAMES_LISTED
from .document import digest, stops
from .log_entries import ActivationTime, ChangeAbandoned, ChangeDecided
from .member_record import MAX_CLOCK_DRIFT, MemberRecord, PendingQuery
from .messages import (
    ChangeProgress,
    ChangeRequest,
    ClockQuery,
    ClockReading,
    PolicyAcknowledgement,
    PolicyQuery,
    PrepareChange,
    PrepareResponse,
)
from .notifications import SendMessage
from .policy_holder import LEASE_MS, MAX_REASON_LENGTH, activation_time_of
from .raft import RaftNode

PROMISE_MS = 3000.0  # duration of a promise, within which it is renewed three times
RETRY_INTERVAL_MS = 300.0  # an unanswered message is sent again after this
PROBE_INTERVALS = 3.0  # a silent member's port is probed after this many retry intervals
TICK_INTERVAL_MS = 100.0  # interval between turns while a change is under way
ACTIVATION_MARGIN_MS = 200.0  # time from the end of the last promise to the activation of the change
CHANGE_TIMEOUT_MS = 15_000.0  # a change that a member has not answered by then is abandoned
NOTIFICATION_PERIOD_MS = 20_000.0  # members that do not acknowledge are notified for this long
MAX_ACTIVATION_SPREAD_MS = 50.0  # members switch to a new policy within this time of each other
LEASE_EXPIRED_AFTER_MS = LEASE_MS * (1.0 + 2.0 * 0.01) + 500.0  # since the request; the lease is over by then
MAX_REFUSALS_LISTED = 10


class ProbePort(NamedTuple):
    """Connect to the member's port and report whether the connection was refused."""

    to: str


class ChangeCoordinator:
    """Coordinates the policy changes during one term of one leader."""

    def __init__(self, now: float, raft: RaftNode, members: list[str], initial_digest: str) -> None:
        """`members`: all listed members; `initial_digest`: digest of the policy in this process's
        settings."""
        self.raft = raft
        self.initial_digest = initial_digest
        self.members = {name: MemberRecord() for name in members}
        self.started_ms = now
        self.notifying_since_ms = now
        # The state that members are notified of.
        self.state_index = -1
        self.resolved_index = -1
        # From this time on, whatever an earlier leader decided is in force.
        self.in_force_from_ms = now + PROMISE_MS + 2 * ACTIVATION_MARGIN_MS
        self.prepared_index = 0  # index of the proposal that is being prepared, and since when
        self.prepared_since_ms = now
        self.resolving_index = 0  # index of the entry that ends the change, while it is uncommitted; else 0
        self.uncommitted_proposals: dict[str, int] = {}
        self.abandon_reason = ""  # set once an operator has asked to abandon the change
        self.timer_ms = now
        self.handled_state_index = -1  # applied index of the policy state at the last turn
        self.actions: deque[SendMessage | ProbePort] = deque()

    # -- messages of members

    def receive(self, now: float, sender: str, token: int, message: Any) -> None:
        """Handle a message from a member's process."""
        member = self.members.get(sender)
        if member is None:
            return
        if isinstance(message, PolicyQuery):
            handled = self._handle_query(now, sender, member, token, message)
        else:
            handled = message.term == self.raft.current_term and self._handle(message, now, member, token)
        if handled:
            self.timer_ms = now

    def _handle_query(
        self, now: float, sender: str, member: MemberRecord, token: int, message: PolicyQuery
    ) -> bool:
        if message.leaving:  # possibly from an earlier process, delayed: check by a clock query
            self.actions.append(SendMessage(sender, self._clock_query(now)))
            return False
        confirmation = self.raft.begin_confirmation()
        member.query = PendingQuery(token, message.queried_ms, message.version, confirmation)
        return True

    @singledispatchmethod
    def _handle(self, message: Any, now: float, member: MemberRecord, token: int) -> bool:
        """Handle a message by its type; return whether a turn is due."""
        raise TypeError(f"{type(message).__name__} is not a message that a member sends to its leader")

    @_handle.register
    def _(self, message: PolicyAcknowledgement, now: float, member: MemberRecord, token: int) -> bool:
        if token == member.token:
            member.state_index = message.state_index
            member.version = message.version
        return True

    @_handle.register
    def _(self, message: ClockReading, now: float, member: MemberRecord, token: int) -> bool:
        if message.sent_ms < member.admitted_ms:
            return False  # a late answer of an earlier process of the name
        if message.leaving:
            member.gone_ms = max(member.gone_ms, message.sent_ms)
            member.left = True
            return False
        member.identify(token)
        member.add_sample(now, message.sent_ms, message.reading_ms)
        return True

    @_handle.register
    def _(self, message: PrepareResponse, now: float, member: MemberRecord, token: int) -> bool:
        if message.sent_ms < member.admitted_ms:
            return False  # a late answer of an earlier process of the name
        if token == member.token:
            member.add_sample(now, message.sent_ms, message.reading_ms)
            member.answered_index = message.index
            member.accepted = message.accepted
            member.refusal = message.why
        return True

    def port_probed(self, name: str, began_ms: float, refused: bool) -> None:
        """Record the result of a port probe. A refused connection proves that the process is gone, and a
        process that starts there queries the leader before it serves. An attempt that began before this
        leader was elected, or before the member was allowed to serve, proves nothing: `reason_to_proceed`
        compares the times."""
        member = self.members.get(name)
        if member is not None and refused:
            member.gone_ms = max(member.gone_ms, began_ms)

    # -- the turn

    def turn(self, now: float) -> None:
        """Append all actions that are due now to `actions`."""
        if not self.raft.is_ready():
            self.timer_ms = now + TICK_INTERVAL_MS
            return
        state = self.raft.state
        self.handled_state_index = state.applied_index
        if state.last_resolved_index != self.resolved_index or (state.version and self.state_index < 0):
            self.resolved_index = state.last_resolved_index
            self.state_index = state.applied_index
            self.notifying_since_ms = now
        if self.resolving_index <= self.raft.commit_index:
            self.resolving_index = 0
        self.uncommitted_proposals = {
            id: index for id, index in self.uncommitted_proposals.items() if index > self.raft.commit_index
        }
        notifications.answer_queries(self, now)
        self.timer_ms = self._advance_or_notify(now)
        if any(member.query for member in self.members.values()):
            self.timer_ms = min(self.timer_ms, now + TICK_INTERVAL_MS)

    def _advance_or_notify(self, now: float) -> float:
        """Continue the change under way, or notify members of its outcome; return when to run the next
        turn."""
        if self.raft.state.pending is not None:
            self._advance_change(now)
            return now + TICK_INTERVAL_MS
        if now < self.notifying_since_ms + NOTIFICATION_PERIOD_MS:
            notifications.notify_members(self, now)
            return now + TICK_INTERVAL_MS
        return math.inf

    # -- the policy in force

    def in_force_ms(self) -> float:
        """Return when the current version is in force everywhere; -inf if no change was ever decided."""
        return self.in_force_from_ms if self.raft.state.activations else -math.inf

    def is_retry_due(self, now: float, member: MemberRecord) -> bool:
        """Return whether an unanswered message to the member is due to be sent again."""
        return now >= member.notified_ms + RETRY_INTERVAL_MS

    def query_clock(self, name: str, member: MemberRecord, now: float) -> None:
        """Ask a member for the reading of its clock."""
        member.notified_ms = now
        self.actions.append(SendMessage(name, self._clock_query(now)))

    def _clock_query(self, now: float) -> ClockQuery:
        return ClockQuery(term=self.raft.current_term, sent_ms=now)

    # -- a change

    def _advance_change(self, now: float) -> None:
        pending = self.raft.state.pending
        if self.resolving_index:
            return
        if self.prepared_index != pending.index:
            self._start_preparing(now, pending.index)
        for name, member in self.members.items():
            self._prepare(now, name, member)
        refusals = [
            f"{name}: {member.refusal}"
            for name, member in self.members.items()
            if member.has_refused(pending.index) and name not in pending.proposed.without
        ]
        silent = [
            name for name, member in self.members.items() if not self.reason_to_proceed(now, name, member)
        ]
        if self.abandon_reason:
            self._abandon(now, self.abandon_reason)
        elif refusals:
            self._abandon(now, "; ".join(refusals[:MAX_REFUSALS_LISTED]))
        elif not silent:
            self._decide(now)
        elif now >= self.prepared_since_ms + CHANGE_TIMEOUT_MS:
            self._abandon(now, _silent_reason(silent))

    def _start_preparing(self, now: float, index: int) -> None:
        self.prepared_index = index
        self.prepared_since_ms = now
        self.abandon_reason = ""
        for member in self.members.values():
            member.start_proposal()

    def _prepare(self, now: float, name: str, member: MemberRecord) -> None:
        """Ask a member to promise, or to renew its promise, and probe its port if it is silent."""
        accepted = member.has_accepted(self.prepared_index)
        if now < member.notified_ms + (PROMISE_MS / 3.0 if accepted else RETRY_INTERVAL_MS):
            return
        if member.sample is None:
            self.query_clock(name, member, now)
        else:
            member.notified_ms = now
            self.actions.append(SendMessage(name, self._prepare_message(now, member)))
        probe_due = now >= member.probed_ms + PROBE_INTERVALS * RETRY_INTERVAL_MS
        if not accepted and probe_due and now > self.prepared_since_ms + RETRY_INTERVAL_MS:
            member.probed_ms = now
            self.actions.append(ProbePort(name))

    def _prepare_message(self, now: float, member: MemberRecord) -> PrepareChange:
        state = self.raft.state
        pending = state.pending
        proposed = pending.proposed
        base = state.present()
        least_ahead_ms, _ = member.clock_ahead_ms(now)
        return PrepareChange(
            term=self.raft.current_term,
            index=pending.index,
            version=state.version + 1,
            base=proposed.base,
            base_digest=base.digest if base else digest(proposed.base_document),
            document="" if member.has_accepted(pending.index) else proposed.document,
            token=member.token,
            promise_until_ms=now + PROMISE_MS * (1.0 - MAX_CLOCK_DRIFT) + least_ahead_ms,
            sent_ms=now,
        )

    def reason_to_proceed(self, now: float, name: str, member: MemberRecord) -> str:
        """Return why this member does not block the change, or "" if it does. The reason remains valid until
        the member is allowed to serve again."""
        if member.has_accepted(self.prepared_index) and member.sample is not None:
            return "yes"
        known_since_ms = max(self.started_ms, member.admitted_ms)
        if member.gone_ms >= known_since_ms:
            return "left" if member.left else "gone: its port refuses"
        if name in self.raft.state.pending.proposed.without:
            return "the operator vouches for it"
        expired = now >= known_since_ms + LEASE_EXPIRED_AFTER_MS
        if (
            self._requires_lease()
            and expired
            and self.raft.majority_is_older_than(now, LEASE_EXPIRED_AFTER_MS)
        ):
            return "silent: what it held on a lease has run out"
        return ""

    def _requires_lease(self) -> bool:
        """Return whether the current policy is only valid while a member holds a lease."""
        present = self.raft.state.present()
        return present is not None and stops(present.document)

    def _decide(self, now: float) -> None:
        """Decide on an activation time after the end of every promise that was ever given. This leader asked
        for no promise that lasts longer than PROMISE_MS from now, and a member that accepted has followed no
        earlier leader since."""
        at_ms = now + PROMISE_MS + ACTIVATION_MARGIN_MS
        activations = []
        without = []
        for name, member in self.members.items():
            reason = self.reason_to_proceed(now, name, member)
            if reason == "yes":
                activations.append(_member_activation(now, name, member, at_ms))
            else:
                without.append((name, reason))
        decided = ChangeDecided(activations=tuple(activations), without=tuple(without))
        self.resolving_index = self.raft.append(now, decided)
        self.in_force_from_ms = at_ms + ACTIVATION_MARGIN_MS

    def _abandon(self, now: float, reason: str) -> None:
        self.resolving_index = self.raft.append(now, ChangeAbandoned(why=reason[:MAX_REASON_LENGTH]))

    # -- operators

    def request_change(self, now: float, request: ChangeRequest) -> ChangeProgress:
        """Answer an operator's request, which is repeated until the outcome of the change is known."""
        return change_requests.answer(self, now, request)


def _member_activation(now: float, name: str, member: MemberRecord, at_ms: float) -> ActivationTime:
    least_ms, most_ms = member.clock_ahead_ms(now)
    drift_ms = MAX_CLOCK_DRIFT * (at_ms - now)
    return activation_time_of(
        name, member.token, at_ms, least_ms - drift_ms, most_ms + drift_ms, MAX_ACTIVATION_SPREAD_MS
    )


def _silent_reason(silent: list[str]) -> str:
    shown = ", ".join(silent[:MAX_NAMES_LISTED])
    more = len(silent) - MAX_NAMES_LISTED
    return f"silent: {shown} and {more} more" if more > 0 else f"silent: {shown}"
