"""The state of one Raft node: its persistent state, its role, and the actions that it requests of its host.

Elections, replication, snapshots and recovery are functions over this state, each in its own module;
`raft.py` is the node that calls them. Times are in ms of a monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

from . import state_machine
from .log_entries import LogEntry, PersistentState, VotersChanged
from .messages import RecoveryResponse

# Shortest time without a leader before a node starts an election. The longest is twice this value.
ELECTION_TIMEOUT_MS = 800.0


class RaftRole(Enum):
    """A node's role; the values are shown to operators."""

    RECOVERING = "blank"  # its file is new: it may have given votes that it no longer knows of
    FOLLOWER = "follows"
    PRE_CANDIDATE = "asks before"
    CANDIDATE = "stands"
    LEADER = "leads"


class RaftActionKind(Enum):
    """The kind of an action that the host carries out."""

    PERSIST = "persist"  # write `persistent_state` to disk and sync before the next action
    SEND = "send"  # send `message` to `to`


class RaftAction(NamedTuple):
    """One action for the host to carry out."""

    kind: RaftActionKind
    to: str = ""
    message: Any = None
    persistent_state: PersistentState | None = None
    after_index: int = 0  # entries after this index are new; 0: all entries are new


class Acknowledgement(NamedTuple):
    """A follower's latest answer to its leader."""

    round: int = 0
    received_ms: float = 0.0
    age_ms: float = 0.0  # uptime of its process when it last received a message from the leader


class RaftState:
    """One node's log, term and role."""

    def __init__(
        self, now: float, name: str, initial_voters: tuple[str, ...], token: int, stored: PersistentState
    ) -> None:
        """`initial_voters`: the voters in the settings, valid until a log entry names others; `stored`: the
        state read from disk."""
        self.name = name
        self.initial_voters = initial_voters
        self.token = token
        self.started_ms = now
        self.current_term = stored.term
        self.voted_for = stored.voted
        # The last entry that the snapshot covers, and the policy state after it.
        self.snapshot_index = stored.index
        self.snapshot_term = stored.index_term
        self.snapshot_state = state_machine.decode_state(stored.snapshot)
        self.entries = list(stored.entries)  # entries after the snapshot
        self.state = self.snapshot_state
        self.commit_index = stored.index
        self.role = RaftRole.RECOVERING if stored.blank else RaftRole.FOLLOWER
        self.leader = ""
        self.leader_heard_ms = -math.inf
        self.votes: set[str] = set()
        # The leader's view of its followers, by name.
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.acknowledgements: dict[str, Acknowledgement] = {}
        self.round = 0
        self.sent_round = 0
        self.leading_since_ms = math.inf
        self.recovery_responses: dict[str, RecoveryResponse] = {}
        self.minimum_leader_term = -1  # a recovering node follows no leader of an earlier term; -1: unknown
        self.timeouts_drawn = 0
        self.timer_ms = now
        self.actions: deque[RaftAction] = deque()
        if self.role is not RaftRole.RECOVERING:
            self.reset_election_timer(now)

    # -- the log

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, committed or not."""
        return self.snapshot_index + len(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`, which is the snapshot's last index or a later one."""
        if index == self.snapshot_index:
            return self.snapshot_term
        return self.entries[index - self.snapshot_index - 1].term

    def entries_after(self, index: int) -> list[LogEntry]:
        """Return the entries after `index`, or all remaining entries if the snapshot covers `index`."""
        return self.entries[max(0, index - self.snapshot_index) :]

    # -- voters

    def voters(self) -> tuple[str, ...]:
        """Return the voters named by the latest entry that names any, committed or not."""
        for entry in reversed(self.entries):
            if isinstance(entry.what, VotersChanged):
                return entry.what.names
        return self.snapshot_state.voters or self.initial_voters

    def other_voters(self) -> list[str]:
        """Return all voters except this node."""
        return [name for name in self.voters() if name != self.name]

    def is_majority(self, names: Container[str]) -> bool:
        """Return whether `names` contains a majority of the voters."""
        voters = self.voters()
        return sum(voter in names for voter in voters) * 2 > len(voters)

    # -- time and role

    def reset_election_timer(self, now: float) -> None:
        """Draw a new election timeout. Nodes with equal timeouts would split the vote again and again, so
        each node seeds the draw with its own name and token."""
        self.timeouts_drawn += 1
        seed = f"{self.name}/{self.token}/{self.current_term}/{self.timeouts_drawn}"
        draw = blake2b(seed.encode(), digest_size=4).digest()
        self.timer_ms = now + ELECTION_TIMEOUT_MS * (1.0 + int.from_bytes(draw, "big") / 2**32)

    def become_follower(self, now: float, term: int, leader: str) -> None:
        """Become a follower in `term`, the current or a later one. An empty `leader`: none is known yet."""
        if term > self.current_term:
            self.current_term = term
            self.voted_for = ""
            self.persist(self.last_index)
        if self.role is not RaftRole.FOLLOWER:
            self.role = RaftRole.FOLLOWER
            self.leading_since_ms = math.inf
            self.reset_election_timer(now)
        self.leader = leader
        if leader:
            self.leader_heard_ms = now
            self.reset_election_timer(now)

    # -- actions

    def persist(self, after_index: int) -> None:
        """Request a write. Entries up to `after_index` are on disk already; 0: write everything anew."""
        snapshot = b""
        if self.snapshot_index and not after_index:
            snapshot = state_machine.encode_state(self.snapshot_state)
        stored = PersistentState(
            blank=self.role is RaftRole.RECOVERING,
            term=self.current_term,
            voted=self.voted_for,
            index=self.snapshot_index,
            index_term=self.snapshot_term,
            snapshot=snapshot,
            entries=tuple(self.entries_after(after_index)),
        )
        first = max(after_index, self.snapshot_index) if after_index else 0
        self.actions.append(RaftAction(RaftActionKind.PERSIST, persistent_state=stored, after_index=first))

    def send(self, to: str, message: Any) -> None:
        """Request that a message be sent, after all writes requested before."""
        self.actions.append(RaftAction(RaftActionKind.SEND, to, message))
