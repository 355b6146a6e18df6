"""One consensus member of the policy log, without I/O: Raft with pre-vote, snapshots, and one change of the
voters at a time (Ongaro 2014); a node that lost its file recovers first (`recovery.py`).

Call it so: report what happens (`receive`, `append`, `begin_confirmation`), then call `next_action(now)`
until it gives None and carry each action out in its order; what is to be persisted must be on the disk before
the next one. Times are ms of a clock that never steps back.
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

LEADER_CONTACT_TIMEOUTS = 2  # a leader that no majority answers for so many election timeouts steps down


class RaftNode(RaftState):
    """One voter's log and its part in choosing a leader."""

    # -- queries

    def is_changing_voters(self) -> bool:
        """Whether an entry that names the voters is not committed yet."""
        uncommitted = self.entries[self.commit_index - self.snapshot_index :]
        return any(isinstance(entry.what, VotersChanged) for entry in uncommitted)

    def is_ready(self) -> bool:
        """Whether it leads with a committed entry of its term: all that was ever committed is applied."""
        if self.role is not RaftRole.LEADER or self.commit_index == 0:
            return False
        return self.term_at(self.commit_index) == self.current_term

    def is_confirmed(self, round_number: int) -> bool:
        """Whether a majority has heard this leader since that round began."""
        confirming = {name for name, ack in self.acknowledgements.items() if ack.round >= round_number}
        return self.is_ready() and self.is_majority(confirming | {self.name})

    def majority_is_older_than(self, now: float, age_ms: float) -> bool:
        """Whether a majority, heard within an election timeout, has run for so long without a restart."""
        older = {
            name
            for name, ack in self.acknowledgements.items()
            if now - ack.received_ms < raft_state.ELECTION_TIMEOUT_MS and ack.age_ms >= age_ms
        }
        if now - self.started_ms >= age_ms:
            older.add(self.name)
        return self.is_majority(older)

    def wake_ms(self) -> float:
        """When to call `next_action` again at the latest."""
        return self.timer_ms

    # -- inputs

    def append(self, now: float, what: Any) -> int:
        """Append an entry to this leader's log; its index."""
        return replication.append(self, now, what)

    def begin_confirmation(self) -> int:
        """A round that begins now; `is_confirmed` tells when a majority has answered it."""
        if self.sent_round == self.round:  # one that has begun counts for all that ask in this turn
            self.round += 1
        return self.round

    def receive(self, now: float, sender: str, message: Any) -> None:
        """Take in a message of another voter."""
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
        """The next action to carry out, or None."""
        if not self.actions:
            self._check_timers(now)
        return self.actions.popleft() if self.actions else None

    def _check_timers(self, now: float) -> None:
        if self.role is RaftRole.LEADER:
            if now >= self.timer_ms or self.sent_round < self.round:
                self._lead(now)
        elif now < self.timer_ms:
            return
        elif self.role is RaftRole.RECOVERING:
            recovery.request_recovery(self, now)
        elif self.name in self.voters():
            election.start_pre_vote(self, now)
        else:
            self.reset_election_timer(now)

    def _lead(self, now: float) -> None:
        """Send heartbeats, or step down where no majority answers: there may be a later leader."""
        contact_ms = LEADER_CONTACT_TIMEOUTS * raft_state.ELECTION_TIMEOUT_MS
        near = {name for name, ack in self.acknowledgements.items() if now - ack.received_ms < contact_ms}
        if now - self.leading_since_ms > contact_ms and not self.is_majority(near | {self.name}):
            self.become_follower(now, self.current_term, "")
        else:
            replication.broadcast(self, now)
