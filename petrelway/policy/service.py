"""The policy's I/O: messages to and from the members' control ports, a voter's file, and the clock.

This module contains only I/O. All decisions are made in `policy_member.py` and the modules that it uses.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.application import service

from ..membership.port_checks import PortCheckFactory
from ..membership.service import MembershipService
from . import state_machine
from .change_coordinator import ProbePort
from .connections import CONNECT_TIMEOUT_S, PeerConnectionFactory, PolicyListenerFactory
from .messages import (
    ChangeProgress,
    ChangeRequest,
    MessageError,
    decode_message,
    encode_message,
    label,
)
from .policy_holder import PrepareDocument, PreparedPolicy, not_serving
from .policy_member import PersistState, PolicyEvent, PolicyMember
from .raft_state import RaftRole
from .raft_storage import RaftStorage

MAX_LOGGED_REASONS = 32  # distinct reasons for dropped messages that are logged
MIN_WAIT_MS = 1.0
MAX_WAIT_MS = 60_000.0
ERROR_EVENTS = frozenset((PolicyEvent.VOTING_STOPPED, PolicyEvent.VOTERS_BEHIND, PolicyEvent.UNUSABLE))


class PolicyService(service.Service):
    """Runs one front end's part in the fleet's policy."""

    def __init__(
        self,
        reactor,
        fleet: MembershipService,
        initial_voters: list[str],
        file: str,
        initial_policy: PreparedPolicy,
        document: str,
        prepare_document: PrepareDocument,
        on_adopted: Callable[[PreparedPolicy], None],
        log,
        note: Callable[..., Any] | None = None,
    ) -> None:
        """`initial_policy`: version 0, the policy of the settings, with its `document`. `on_adopted` is
        called with a policy in the turn in which it takes effect. `file`: a voter's file; empty for other
        members."""
        self.reactor = reactor
        self.fleet = fleet
        self.initial_voters = tuple(initial_voters)
        self.file = file
        self.initial_policy = initial_policy
        self.document = document
        self.prepare_document = prepare_document
        self.on_adopted = on_adopted
        self.log = log
        self.note = note
        self.name = fleet.me.name
        self.connections = {peer.name: PeerConnectionFactory(reactor, peer) for peer in fleet.peers.values()}
        self.listener_factory = PolicyListenerFactory(
            reactor, len(self.connections) + 1, self._receive, self._dropped
        )
        self.storage: RaftStorage | None = None
        self.counts: Counter[str] = Counter()
        self.policy = initial_policy
        self.timer = None
        self.processing_actions = False

    def now(self) -> float:
        """Return the current time in ms."""
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Start the service, after the control port listens and before any request is admitted. Raises
        StorageError."""
        if self.name in self.initial_voters:
            self.storage = RaftStorage(self.file, self.fleet.fleet, self.name)
        self.member = PolicyMember(
            self.now(),
            self.name,
            self.fleet.token,
            [self.name, *self.connections],
            self.initial_voters,
            self.initial_policy,
            self.prepare_document,
            self.storage.stored if self.storage else None,
        )
        super().startService()
        self.pull()

    # -- messages

    def _receive(self, payload: bytes) -> None:
        try:
            envelope = decode_message(payload)
            if envelope.fleet != self.fleet.fleet:
                raise MessageError("another fleet")
            if envelope.name not in self.connections:
                raise MessageError("no member's name")
        except MessageError as error:
            self._dropped(str(error))
            return
        if self.running:
            self.member.receive(self.now(), envelope.name, envelope.token, envelope.body)
            self.pull()

    def _dropped(self, reason: str) -> None:
        counted_as = f"dropped: {reason}"
        self.counts[counted_as] += 1
        if self.counts[counted_as] == 1 and len(self.counts) <= MAX_LOGGED_REASONS:
            self.log.warning("policy message dropped", why=reason)

    def version_seen(self, version: int) -> None:
        """Handle the version that a member reported in a datagram."""
        if self.running and version > self.policy.version:
            self.member.version_seen(self.now(), version)
            self.pull()

    # -- the turn

    def pull(self) -> None:
        """Carry out all actions in order. State must be on disk before a message that depends on it is
        sent."""
        if self.processing_actions or not self.running:
            return
        self.processing_actions = True
        if self.policy.stop:
            self._report_members_gone()
        try:
            while (action := self.member.next_action(self.now())) is not None:
                if isinstance(action, PersistState):
                    self._persist(action)
                elif isinstance(action, ProbePort):
                    self._probe(action.to)
                elif action.to in self.connections:
                    self._send(action.to, action.message)
        finally:
            self.processing_actions = False
        self.admission_delay_ms()
        self._log_events()
        self._schedule_next_turn()

    def _report_members_gone(self) -> None:
        proved_dead = self.fleet.members.proved_dead(self.now())
        began_ms = {self.fleet.peers[member.id].name: member.refused_ms for member in proved_dead}
        self.member.members_gone(self.now(), began_ms)

    def _log_events(self) -> None:
        while self.member.events:
            what, details = self.member.events.popleft()
            log = self.log.error if what in ERROR_EVENTS else self.log.info
            log(f"policy: {what}", **details)

    def _schedule_next_turn(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        wait_ms = self.member.wake_ms(self.now()) - self.now()
        self.timer = self.reactor.callLater(min(max(wait_ms, MIN_WAIT_MS), MAX_WAIT_MS) / 1e3, self.pull)

    def _persist(self, action: PersistState) -> None:
        try:
            self.storage.persist(action.persistent_state, action.after_index)
        except (sqlite3.Error, OSError) as problem:
            self.log.error("voter's file can't be written", file=self.file, problem=str(problem))
            self.member.disk_failed()
            self.storage.close()
            self.storage = None

    def _send(self, to: str, message: Any) -> None:
        self.counts[f"said {label(message)}"] += 1
        try:
            data = encode_message(self.fleet.fleet, self.name, self.fleet.token, message)
        except MessageError as error:
            self._dropped(f"not said: {error}")
            return
        self.counts["bytes said"] += len(data)
        self.connections[to].send(data)

    def _probe(self, name: str) -> None:
        connection = self.connections.get(name)
        began_ms = self.now()
        if connection is None:
            return

        def done(refused: bool) -> None:
            if self.running:
                self.member.port_probed(name, began_ms, refused)
                self.pull()

        peer = connection.peer
        self.reactor.connectTCP(peer.address, peer.port, PortCheckFactory(done), timeout=CONNECT_TIMEOUT_S)

    # -- the policy in force

    def admission_delay_ms(self) -> float:
        """Return 0 if a request may be admitted in this turn under `policy`, else when to retry (ms from
        now)."""
        policy, retry_ms = self.member.admitting_policy(self.now())
        if policy is None:
            return max(MIN_WAIT_MS, retry_ms)
        if policy is not self.policy:
            self.policy = policy
            self.fleet.members.policy_version = policy.version
            self.on_adopted(policy)
        return 0.0

    # -- operators

    def request_change(self, request: ChangeRequest) -> ChangeProgress:
        """Register an operator's change, or refresh a known one; return its progress."""
        progress = self.member.request_change(self.now(), request)
        self.pull()
        return progress

    def request_history(self) -> None:
        """Ask a voter for the history, which `history` then returns."""
        self.member.request_history(self.now())
        self.pull()

    def history(self) -> state_machine.PolicyState | None:
        """Return the policy state known here: a voter's own, or the one last received; None if there is
        none."""
        raft = self.member.raft
        if raft is not None and raft.role is not RaftRole.RECOVERING:
            return raft.state
        received = self.member.received_history
        return state_machine.decode_state(received.state) if received else None

    def summary(self) -> str:
        """Return the policy in force as one line for operators."""
        return f"version {self.policy.version}: {self.member.state(self.now()).value}"

    def status(self) -> dict[str, Any]:
        """Return the policy status for operators, under the console's keys."""
        now = self.now()
        holder = self.member.holder
        raft = self.member.raft
        policy = holder.policy
        state = self.member.state(now)
        activation = holder.activation
        lease_s = round((holder.lease_until_ms - now) / 1e3, 1) if policy.stop else None
        voter = ""
        if raft is not None:
            entries = f"{raft.commit_index} of {raft.last_index} entries"
            voter = f"{raft.role.value}, term {raft.current_term}, {entries}"
        return {
            "version": policy.version,
            "digest": policy.digest,
            "serving": not not_serving(state),
            "state": state.value,
            "why not": holder.unusable_reason,
            "settings differ": holder.settings_differ,
            "promised for": holder.promise.policy.version if holder.promise else None,
            "changes over in ms": round(activation.start_ms - now, 1) if activation else None,
            "lease s": lease_s,
            "keepers": list(raft.voters() if raft else holder.voters or self.initial_voters),
            "leader": raft.leader if raft else self.member.leader,
            "keeper": voter,
            "document": policy.made[1] if policy.version else self.document,
            "own document": self.document,
            "counts": dict(sorted((self.counts + self.member.counts).items())),
        }

    # -- shutdown

    def leave(self) -> None:
        """Stop admitting requests for good, and notify the leader."""
        self.member.leave(self.now())
        self.pull()

    def stopService(self) -> None:
        """Close the connections and the file."""
        super().stopService()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for connection in self.connections.values():
            connection.close()
        self.listener_factory.close()
        if self.storage is not None:
            self.storage.close()
