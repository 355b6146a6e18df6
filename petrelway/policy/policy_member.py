"""One front end's part in the fleet's policy, without I/O. It holds the policy under which it admits
requests, is a Raft voter if the settings name it as one, and coordinates changes while it leads.

Usage: report what happens, then call `next_action(now)` until it returns None and carry out the actions in
order; a write must be on disk before the next action. Call it again by `wake_ms(now)`.
`admitting_policy(now)` returns the policy under which a request may be admitted in this turn. Times are in ms
of a monotonic clock.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from enum import StrEnum
from functools import singledispatchmethod
from typing import Any, NamedTuple

import msgspec

from . import state_machine
from .change_coordinator import ChangeCoordinator, ProbePort
from .log_entries import PersistentState
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    ChangeProgress,
    ChangeRequest,
    ClockQuery,
    ClockReading,
    HistoryQuery,
    HistoryResponse,
    LeaderRedirect,
    PolicyAcknowledgement,
    PolicyNotification,
    PolicyQuery,
    PrepareChange,
    PrepareResponse,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
    label,
)
from .notifications import SendMessage
from .operator_changes import OperatorChanges
from .policy_holder import PolicyHolder, PrepareDocument, PreparedPolicy, ServingState
from .raft import RaftNode
from .raft_state import RaftAction, RaftActionKind, RaftRole

MAX_PENDING_EVENTS = 256  # events that are not logged yet; the oldest are dropped beyond this
LOGGED_ROLES = (RaftRole.LEADER, RaftRole.FOLLOWER, RaftRole.RECOVERING)


class PolicyEvent(StrEnum):
    """Events logged for operators. Log records contain the values, which date from the first version."""

    VERSION = "version"
    SERVING = "serving"
    UNUSABLE = "can't run under what holds"
    SETTINGS_DIFFER = "settings differ from the others'"
    NEWER_VERSION_SEEN = "others run under a newer version"
    VOTERS_BEHIND = "keepers are behind"
    VOTING_STOPPED = "keeps no more"
    ROLE = "keeper"


class PersistState(NamedTuple):
    """Write to disk and sync before the next action is carried out."""

    persistent_state: PersistentState
    after_index: int


class ObservedState(NamedTuple):
    """The state whose changes are logged."""

    serving: ServingState | None = None
    version: int | None = None
    unusable_reason: str = ""
    settings_differ: bool = False
    role: RaftRole | None = None


class ReceivedHistory(NamedTuple):
    """The encoded policy state that a voter sent."""

    queried_ms: float
    state: bytes


class PolicyMember:
    """One process's roles in the policy: holder, voter and coordinator."""

    def __init__(
        self,
        now: float,
        name: str,
        token: int,
        members: list[str],
        initial_voters: tuple[str, ...],
        initial_policy: PreparedPolicy,
        prepare_document: PrepareDocument,
        stored: PersistentState | None,
    ) -> None:
        """`members`: all listed members, including this one; `initial_voters`: the voters in the settings;
        `stored`: None if this member is not a voter."""
        self.name = name
        self.token = token
        self.initial_voters = initial_voters
        self.members = sorted({*members, name})
        self.holder = PolicyHolder(now, name, token, initial_policy, prepare_document)
        self.raft = RaftNode(now, name, initial_voters, token, stored) if stored is not None else None
        self.coordinator: ChangeCoordinator | None = None
        self.coordinated_term = 0
        self.leader = ""  # the last known leader, which queries are sent to
        self.voters_asked = 0  # number of queries sent to the voters in turn, as no leader was known
        self.operator_changes = OperatorChanges()
        self.received_history: ReceivedHistory | None = None
        self.newest_version_seen = 0  # the highest version that another member has reported
        self.actions: deque[PersistState | SendMessage | ProbePort] = deque()
        self.events: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_PENDING_EVENTS)
        self.counts: Counter[str] = Counter()
        self._observed = ObservedState()

    # -- messages

    def receive(self, now: float, sender: str, token: int, message: Any) -> None:
        """Handle a message from the listed member `sender`, whose process is identified by `token`."""
        self.counts[label(message)] += 1
        self._handle(message, now, sender, token)

    @singledispatchmethod
    def _handle(self, message: Any, now: float, sender: str, token: int) -> None:
        raise TypeError(f"{type(message).__name__} is not a policy message")

    @_handle.register(RequestVote)
    @_handle.register(RequestVoteResponse)
    @_handle.register(AppendEntries)
    @_handle.register(AppendEntriesResponse)
    @_handle.register(RecoveryRequest)
    @_handle.register(RecoveryResponse)
    def _handle_raft(self, message: Any, now: float, sender: str, token: int) -> None:
        if self.raft is not None and (sender in self.raft.voters() or sender in self.initial_voters):
            self.raft.receive(now, sender, message)

    @_handle.register(PolicyQuery)
    @_handle.register(ClockReading)
    @_handle.register(PrepareResponse)
    @_handle.register(PolicyAcknowledgement)
    def _handle_for_leader(self, message: Any, now: float, sender: str, token: int) -> None:
        if self.coordinator is not None:
            self.coordinator.receive(now, sender, token, message)
        elif isinstance(message, PolicyQuery) and self.raft is not None:
            self.actions.append(SendMessage(sender, LeaderRedirect(leader=self.raft.leader)))

    @_handle.register
    def _handle_clock_query(self, message: ClockQuery, now: float, sender: str, token: int) -> None:
        reading = self.holder.read_clock(now, message)
        if reading is not None:
            self._answer_leader(sender, reading)

    @_handle.register
    def _handle_prepare(self, message: PrepareChange, now: float, sender: str, token: int) -> None:
        response = self.holder.prepare(now, message)
        if response is not None:
            self._answer_leader(sender, response)

    @_handle.register
    def _handle_notification(self, message: PolicyNotification, now: float, sender: str, token: int) -> None:
        holder = self.holder
        if holder.receive_notification(now, message):
            next_policy = holder.activation.policy if holder.activation is not None else holder.policy
            acknowledgement = PolicyAcknowledgement(
                term=message.term, state_index=message.state_index, version=next_policy.version
            )
            self._answer_leader(sender, acknowledgement)
        elif message.version < holder.policy.version and message.token == self.token:
            self._log_event(PolicyEvent.VOTERS_BEHIND, theirs=message.version, ours=holder.policy.version)

    @_handle.register
    def _handle_redirect(self, message: LeaderRedirect, now: float, sender: str, token: int) -> None:
        self.leader = message.leader
        if message.leader:
            self.holder.queried_ms = -math.inf  # query it at once

    @_handle.register
    def _handle_change_request(self, message: ChangeRequest, now: float, sender: str, token: int) -> None:
        if self.coordinator is not None:
            self.actions.append(SendMessage(sender, self.coordinator.request_change(now, message)))
        elif self.raft is not None:
            self.actions.append(SendMessage(sender, LeaderRedirect(leader=self.raft.leader)))

    @_handle.register
    def _handle_progress(self, message: ChangeProgress, now: float, sender: str, token: int) -> None:
        self.operator_changes.update(message)

    @_handle.register
    def _handle_history_query(self, message: HistoryQuery, now: float, sender: str, token: int) -> None:
        if self.raft is not None:
            data = state_machine.encode_state(self.raft.state)
            response = HistoryResponse(queried_ms=message.queried_ms, state=data)
            self.actions.append(SendMessage(sender, response))

    @_handle.register
    def _handle_history(self, message: HistoryResponse, now: float, sender: str, token: int) -> None:
        try:
            state_machine.decode_state(message.state)
        except msgspec.MsgspecError:
            self.counts["history can't be read"] += 1
            return
        self.received_history = ReceivedHistory(message.queried_ms, message.state)

    def _answer_leader(self, leader: str, message: Any) -> None:
        self.leader = leader
        self.actions.append(SendMessage(leader, message))

    # -- other inputs

    def port_probed(self, name: str, began_ms: float, refused: bool) -> None:
        """Record the result of a port probe that an action requested."""
        if self.coordinator is not None:
            self.coordinator.port_probed(name, began_ms, refused)

    def disk_failed(self) -> None:
        """Stop voting after a failed write, and drop all actions, so that nothing is sent that depends on the
        unwritten state."""
        self.raft = None
        self.coordinator = None
        self.actions.clear()
        self._log_event(PolicyEvent.VOTING_STOPPED)

    def request_change(self, now: float, request: ChangeRequest) -> ChangeProgress:
        """Register an operator's change, or refresh a known one; the request is repeated to get its
        progress."""
        return self.operator_changes.request(now, request)

    def request_history(self, now: float) -> None:
        """Ask a voter for the history; the response is stored in `received_history`."""
        self.actions.append(SendMessage(self._query_target(), HistoryQuery(queried_ms=now)))

    def members_gone(self, now: float, began_ms: dict[str, float]) -> None:
        """Record members whose ports refused a connection, by the time at which each attempt began."""
        voters = self.holder.voters or self.initial_voters
        latest = sorted((began_ms[name] for name in voters if name in began_ms), reverse=True)
        if 2 * len(latest) > len(voters):
            self.holder.voters_gone(now, latest[len(voters) // 2])

    def version_seen(self, now: float, version: int) -> None:
        """Query the policy in force if another member reports a newer version than this one's."""
        present = self.holder.policy.version
        if version > max(self.newest_version_seen, present) and self.holder.activation is None:
            self.newest_version_seen = version
            self._log_event(PolicyEvent.NEWER_VERSION_SEEN, version=version, ours=present)
            self.actions.append(
                SendMessage(self._query_target(), PolicyQuery(queried_ms=now, version=present))
            )

    def leave(self, now: float) -> None:
        """Stop admitting requests for good, and notify the leader."""
        self.holder.leaving = True
        query = PolicyQuery(queried_ms=now, version=self.holder.policy.version, leaving=True)
        self.actions.append(SendMessage(self._query_target(), query))

    # -- the policy in force

    def admitting_policy(self, now: float) -> tuple[PreparedPolicy | None, float]:
        """Return the policy for requests admitted in this turn, or None and when to retry (ms from now)."""
        return self.holder.admitting_policy(now)

    def state(self, now: float) -> ServingState:
        """Return the serving state shown to operators."""
        return self.holder.state(now)

    # -- actions

    def next_action(self, now: float) -> PersistState | SendMessage | ProbePort | None:
        """Return the next action to carry out, or None. Messages of the process to itself are handled here,
        in their order among the actions, as they must not overtake a write."""
        self._turn(now)
        while self.actions:
            action = self.actions.popleft()
            if isinstance(action, SendMessage):
                if action.to == self.name:
                    self.receive(now, self.name, self.token, action.message)
                    self._turn(now)
                    continue
                if not action.to:
                    continue
            return action
        return None

    def _turn(self, now: float) -> None:
        if self.raft is not None:
            self._take_raft_actions(now)
            self._update_coordinator(now)
            if self.coordinator is not None:
                self._run_coordinator(now)
        query = self.holder.next_query(now)
        if query is not None:
            self.actions.append(SendMessage(self._query_target(), query))
        for request in self.operator_changes.due(now):
            self.actions.append(SendMessage(self._query_target(), request))
        self.holder.admitting_policy(now)
        self._log_changes(now)

    def _take_raft_actions(self, now: float) -> None:
        while (action := self.raft.next_action(now)) is not None:
            self.actions.append(_host_action(action))

    def _update_coordinator(self, now: float) -> None:
        """Keep one coordinator for each term in which this process leads, and none otherwise."""
        raft = self.raft
        if raft.role is not RaftRole.LEADER:
            self.coordinator = None
        elif self.coordinator is None or self.coordinated_term != raft.current_term:
            initial_digest = self.holder.initial_policy.digest
            self.coordinator = ChangeCoordinator(now, raft, self.members, initial_digest)
            self.coordinated_term = raft.current_term

    def _run_coordinator(self, now: float) -> None:
        coordinator = self.coordinator
        state_changed = self.raft.state.applied_index != coordinator.handled_state_index
        if self.raft.is_ready() and (now >= coordinator.timer_ms or state_changed):
            coordinator.turn(now)
        self.actions.extend(coordinator.actions)
        coordinator.actions.clear()
        self._take_raft_actions(now)

    def _query_target(self) -> str:
        """Return the known leader, else the voters in turn. The last known leader is returned only once
        unless it answers; a dead leader would otherwise be queried forever."""
        if self.raft is not None and self.raft.leader:
            return self.raft.leader
        if self.leader:
            leader = self.leader
            self.leader = ""
            return leader
        voters = self.holder.voters or self.initial_voters
        self.voters_asked += 1
        return voters[self.voters_asked % len(voters)]

    def wake_ms(self, now: float) -> float:
        """Return by when to call `next_action` again."""
        times = [self.holder.wake_ms(now), *self.operator_changes.wake_times()]
        if self.raft is not None:
            times.append(self.raft.wake_ms())
        if self.coordinator is not None:
            times.append(self.coordinator.timer_ms)
        return max(now, min(times))

    # -- events for operators

    def _log_event(self, event: PolicyEvent, **details: Any) -> None:
        self.events.append((event.value, details))

    def _log_changes(self, now: float) -> None:
        """Log an event for each change that concerns operators."""
        holder = self.holder
        role = self.raft.role if self.raft is not None else None
        before = self._observed
        after = ObservedState(
            holder.state(now), holder.policy.version, holder.unusable_reason, holder.settings_differ, role
        )
        if after == before:
            return
        self._observed = after
        if after.version != before.version:
            self._log_event(PolicyEvent.VERSION, version=after.version, digest=holder.policy.digest)
        if after.serving is not before.serving:
            self._log_event(PolicyEvent.SERVING, state=after.serving.value, version=after.version)
        if after.unusable_reason and after.unusable_reason != before.unusable_reason:
            self._log_event(PolicyEvent.UNUSABLE, why=after.unusable_reason)
        if after.settings_differ and not before.settings_differ:
            self._log_event(PolicyEvent.SETTINGS_DIFFER, digest=holder.initial_policy.digest)
        if role is not before.role and role in LOGGED_ROLES:
            self._log_event(PolicyEvent.ROLE, role=role.value, term=self.raft.current_term)


def _host_action(action: RaftAction) -> PersistState | SendMessage:
    if action.kind is RaftActionKind.PERSIST:
        return PersistState(action.persistent_state, action.after_index)
    return SendMessage(action.to, action.message)
