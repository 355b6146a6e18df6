"""One front end's part in the fleet's policy, without I/O: as a holder that runs under it, as a Raft voter
where the settings name it, as the coordinator of changes while it leads.

Call it so: report what happens, then call `next_action(now)` until it gives None and carry each action out in
its order, a write to the disk before the next; call again at `wake_ms(now)` at the latest.
`admitting_policy(now)` says under which policy a request may be admitted in this turn. Times are ms of a
clock that never steps back.
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

MAX_PENDING_EVENTS = 256  # events that wait to be logged
LOGGED_ROLES = (RaftRole.LEADER, RaftRole.FOLLOWER, RaftRole.RECOVERING)


class PolicyEvent(StrEnum):
    """What is logged for operators. Records carry the values, which are those of the first version."""

    VERSION = "version"
    SERVING = "serving"
    UNUSABLE = "can't run under what holds"
    SETTINGS_DIFFER = "settings differ from the others'"
    NEWER_VERSION_SEEN = "others run under a newer version"
    VOTERS_BEHIND = "keepers are behind"
    VOTING_STOPPED = "keeps no more"
    ROLE = "keeper"


class PersistState(NamedTuple):
    """Write to the disk, and sync, before the next action is carried out."""

    persistent_state: PersistentState
    after_index: int


class ObservedState(NamedTuple):
    """What is logged when it changes."""

    serving: ServingState | None = None
    version: int | None = None
    unusable_reason: str = ""
    settings_differ: bool = False
    role: RaftRole | None = None


class ReceivedHistory(NamedTuple):
    """The policy state as a voter sent it, encoded."""

    queried_ms: float
    state: bytes


class PolicyMember:
    """All that one process has to do with the policy."""

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
        """`members`: all listed, this one included; `initial_voters`: by the settings; `stored`: None where
        this one is no voter."""
        self.name = name
        self.token = token
        self.initial_voters = initial_voters
        self.members = sorted({*members, name})
        self.holder = PolicyHolder(now, name, token, initial_policy, prepare_document)
        self.raft = RaftNode(now, name, initial_voters, token, stored) if stored is not None else None
        self.coordinator: ChangeCoordinator | None = None
        self.coordinated_term = 0
        self.leader = ""  # whom to ask
        self.voters_asked = 0  # voters asked in turn, where nobody is known to lead
        self.operator_changes = OperatorChanges()
        self.received_history: ReceivedHistory | None = None
        self.newest_version_seen = 0  # the highest one that another member was heard to run under
        self.actions: deque[PersistState | SendMessage | ProbePort] = deque()
        self.events: deque[tuple[str, dict[str, Any]]] = deque(maxlen=MAX_PENDING_EVENTS)
        self.counts: Counter[str] = Counter()
        self._observed = ObservedState()

    # -- messages

    def receive(self, now: float, sender: str, token: int, message: Any) -> None:
        """Take in a message of the listed member `sender`, whose process is `token`."""
        self.counts[label(message)] += 1
        self._handle(message, now, sender, token)

    @singledispatchmethod
    def _handle(self, message: Any, now: float, sender: str, token: int) -> None:
        raise TypeError(f"no policy message: {type(message).__name__}")

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
            self.holder.queried_ms = -math.inf  # ask it at once

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
        """The end of a probe that an action asked for."""
        if self.coordinator is not None:
            self.coordinator.port_probed(name, began_ms, refused)

    def disk_failed(self) -> None:
        """What could not be persisted was never sent: this process is no voter from here on, and all actions
        are dropped."""
        self.raft = None
        self.coordinator = None
        self.actions.clear()
        self._log_event(PolicyEvent.VOTING_STOPPED)

    def request_change(self, now: float, request: ChangeRequest) -> ChangeProgress:
        """An operator's change, or the question how it stands: the same one is asked for again and again."""
        return self.operator_changes.request(now, request)

    def request_history(self, now: float) -> None:
        """Ask a voter for the history; it comes to `received_history`."""
        self.actions.append(SendMessage(self._whom_to_ask(), HistoryQuery(queried_ms=now)))

    def members_gone(self, now: float, began_ms: dict[str, float]) -> None:
        """Take in the members whose ports refused connection attempts that began then."""
        voters = self.holder.voters or self.initial_voters
        latest = sorted((began_ms[name] for name in voters if name in began_ms), reverse=True)
        if 2 * len(latest) > len(voters):
            self.holder.voters_gone(now, latest[len(voters) // 2])

    def version_seen(self, now: float, version: int) -> None:
        """Another member says that it runs under this version: is this one's over?"""
        present = self.holder.policy.version
        if version > max(self.newest_version_seen, present) and self.holder.activation is None:
            self.newest_version_seen = version
            self._log_event(PolicyEvent.NEWER_VERSION_SEEN, version=version, ours=present)
            self.actions.append(
                SendMessage(self._whom_to_ask(), PolicyQuery(queried_ms=now, version=present))
            )

    def leave(self, now: float) -> None:
        """This process admits nothing any more."""
        self.holder.leaving = True
        query = PolicyQuery(queried_ms=now, version=self.holder.policy.version, leaving=True)
        self.actions.append(SendMessage(self._whom_to_ask(), query))

    # -- what holds

    def admitting_policy(self, now: float) -> tuple[PreparedPolicy | None, float]:
        """The policy to admit a request under in this turn, or None and a time to come back (ms)."""
        return self.holder.admitting_policy(now)

    def state(self, now: float) -> ServingState:
        """The state that operators are shown."""
        return self.holder.state(now)

    # -- actions

    def next_action(self, now: float) -> PersistState | SendMessage | ProbePort | None:
        """The next action to carry out, or None. What the process sends to itself is taken in here, in its
        order among the actions: it must not overtake a write."""
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
            self._follow_leadership(now)
            if self.coordinator is not None:
                self._coordinate(now)
        query = self.holder.next_query(now)
        if query is not None:
            self.actions.append(SendMessage(self._whom_to_ask(), query))
        for request in self.operator_changes.due(now):
            self.actions.append(SendMessage(self._whom_to_ask(), request))
        self.holder.admitting_policy(now)
        self._log_changes(now)

    def _take_raft_actions(self, now: float) -> None:
        while (action := self.raft.next_action(now)) is not None:
            self.actions.append(_host_action(action))

    def _follow_leadership(self, now: float) -> None:
        """A coordinator for each term in which this process leads, and none else."""
        raft = self.raft
        if raft.role is not RaftRole.LEADER:
            self.coordinator = None
        elif self.coordinator is None or self.coordinated_term != raft.current_term:
            initial_digest = self.holder.initial_policy.digest
            self.coordinator = ChangeCoordinator(now, raft, self.members, initial_digest)
            self.coordinated_term = raft.current_term

    def _coordinate(self, now: float) -> None:
        coordinator = self.coordinator
        state_changed = self.raft.state.applied_index != coordinator.handled_state_index
        if self.raft.is_ready() and (now >= coordinator.timer_ms or state_changed):
            coordinator.turn(now)
        self.actions.extend(coordinator.actions)
        coordinator.actions.clear()
        self._take_raft_actions(now)

    def _whom_to_ask(self) -> str:
        """Whoever is known to lead, else the voters in turn. A leader that does not answer is asked once: one
        that is dead would otherwise be asked for ever."""
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
        """When to call `next_action` again at the latest."""
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
        """One event where something changed for an operator."""
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
