"""One Raft node of the policy log, without I/O: Raft with pre-vote, snapshots, and single-server membership
changes (Ongaro 2014). A node that lost its file recovers first (`recovery.py`).

Usage: report what happens (`receive`, `append`, `begin_confirmation`), then call `next_action(now)` until it
returns None and carry out the actions in order. A PERSIST action must be on disk before the next action is
carried out. Times are in ms of a monotonic clock.
"""

from __future__ import annotations

from typing import Any

from . import election, raft_state, recovery, replication
from .log_entries import VotersChanged
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
)
from .raft_state import RaftAction, RaftRole, RaftState

LEADER_CONTACT_TIMEOUTS = 2  # a leader steps down after this many election timeouts without a majority


class RaftNode(RaftState):
    """One voter: its log, and its part in leader elections."""

    # -- queries

    def is_changing_voters(self) -> bool:
        """Return whether a change of the voters is still uncommitted."""
        uncommitted = self.entries[self.commit_index - self.snapshot_index :]
        return any(isinstance(entry.what, VotersChanged) for entry in uncommitted)

    def is_ready(self) -> bool:
        """Return whether this node leads and has committed an entry of its own term. From then on its applied
        state includes every entry that was ever committed."""
        if self.role is not RaftRole.LEADER or self.commit_index == 0:
            return False
        return self.term_at(self.commit_index) == self.current_term

    def is_confirmed(self, round_number: int) -> bool:
        """Return whether a majority has answered this leader in that round or a later one."""
        confirming = {name for name, ack in self.acknowledgements.items() if ack.round >= round_number}
        return self.is_ready() and self.is_majority(confirming | {self.name})

    def majority_is_older_than(self, now: float, age_ms: float) -> bool:
        """Return whether a majority has run for `age_ms` or longer without a restart. Only voters that
        answered within the last election timeout count."""
        older = {
            name
            for name, ack in self.acknowledgements.items()
            if now - ack.received_ms < raft_state.ELECTION_TIMEOUT_MS and ack.age_ms >= age_ms
        }
        if now - self.started_ms >= age_ms:
            older.add(self.name)
        return self.is_majority(older)

    def wake_ms(self) -> float:
        """Return by when to call `next_action` again."""
        return self.timer_ms

    # -- inputs

    def append(self, now: float, what: Any) -> int:
        """Append an entry to this leader's log and return its index."""
        return replication.append(self, now, what)

    def begin_confirmation(self) -> int:
        """Begin a confirmation round and return its number; `is_confirmed` tells whether a majority has
        answered it."""
        if self.sent_round == self.round:  # callers share a round that is not sent yet
            self.round += 1
        return self.round

    def receive(self, now: float, sender: str, message: Any) -> None:
        """Handle a message from another voter."""
        if isinstance(message, RecoveryRequest):
            recovery.receive_request(self, sender, message)
        elif isinstance(message, AppendEntries):
            replication.receive_entries(self, now, sender, message)
        elif self.role is RaftRole.RECOVERING:
            if isinstance(message, RecoveryResponse):
                recovery.receive_response(self, now, sender, message)
        elif isinstance(message, RequestVote):
            election.receive_request(self, now, sender, message)
        elif isinstance(message, RequestVoteResponse):
            election.receive_response(self, now, sender, message)
        elif isinstance(message, AppendEntriesResponse):
            replication.receive_response(self, now, sender, message)

    # -- actions

    def next_action(self, now: float) -> RaftAction | None:
        """Return the next action to carry out, or None."""
        if not self.actions:
            self._check_timers(now)
        return self.actions.popleft() if self.actions else None

    def _check_timers(self, now: float) -> None:
        if self.role is RaftRole.LEADER:
            if now >= self.timer_ms or self.sent_round < self.round:
                self._heartbeat_or_step_down(now)
        elif now < self.timer_ms:
            return
        elif self.role is RaftRole.RECOVERING:
            recovery.request_recovery(self, now)
        elif self.name in self.voters():
            election.start_pre_vote(self, now)
        else:
            self.reset_election_timer(now)

    def _heartbeat_or_step_down(self, now: float) -> None:
        """Send heartbeats, or step down if no majority answers: there may be a newer leader."""
        contact_ms = LEADER_CONTACT_TIMEOUTS * raft_state.ELECTION_TIMEOUT_MS
        answered = {name for name, ack in self.acknowledgements.items() if now - ack.received_ms < contact_ms}
        if now - self.leading_since_ms > contact_ms and not self.is_majority(answered | {self.name}):
            self.become_follower(now, self.current_term, "")
        else:
            replication.broadcast(self, now)
