"""The state of one Raft node: what it must not forget, its role, and the actions that it asks its host for.

Elections, replication, snapshots and recovery (modules of their own) are functions over this state; `raft.py`
is the node that calls them. Times are ms of a clock that never steps back.
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

# The shortest time without a leader after which a node starts an election; the longest is twice as long.
ELECTION_TIMEOUT_MS = 800.0


class RaftRole(Enum):
    """The part that a node plays; the values are shown to operators."""

    RECOVERING = "blank"  # its file is new: it may have promised what it does not remember
    FOLLOWER = "follows"
    PRE_CANDIDATE = "asks before"
    CANDIDATE = "stands"
    LEADER = "leads"


class RaftActionKind(Enum):
    """What the host is to do."""

    PERSIST = "persist"  # write `persistent_state` to the disk, and sync, before anything that follows
    SEND = "send"  # send `message` to `to`


class RaftAction(NamedTuple):
    """One thing that the host is to carry out."""

    kind: RaftActionKind
    to: str = ""
    message: Any = None
    persistent_state: PersistentState | None = None
    after_index: int = 0  # entries after this index are new; 0: all are


class Acknowledgement(NamedTuple):
    """The last answer of a follower to its leader."""

    round: int = 0
    received_ms: float = 0.0
    age_ms: float = 0.0  # how long its process had run when it last heard the leader


class RaftState:
    """One node's log, term and role."""

    def __init__(
        self, now: float, name: str, initial_voters: tuple[str, ...], token: int, stored: PersistentState
    ) -> None:
        """`initial_voters`: by the settings, until the log names others; `stored`: as the disk has it."""
        self.name = name
        self.initial_voters = initial_voters
        self.token = token
        self.started_ms = now
        self.current_term = stored.term
        self.voted_for = stored.voted
        # The last entry that the snapshot covers, and the policy state there.
        self.snapshot_index = stored.index
        self.snapshot_term = stored.index_term
        self.snapshot_state = state_machine.decode_state(stored.snapshot)
        self.entries = list(stored.entries)  # those after the snapshot
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
        self.minimum_leader_term = -1  # a recovering node follows no earlier leader; -1: not known yet
        self.timeouts_drawn = 0
        self.timer_ms = now
        self.actions: deque[RaftAction] = deque()
        if self.role is not RaftRole.RECOVERING:
            self.reset_election_timer(now)

    # -- the log

    @property
    def last_index(self) -> int:
        """The index of the last entry, committed or not."""
        return self.snapshot_index + len(self.entries)

    def term_at(self, index: int) -> int:
        """The term of the entry at an index that the snapshot ends with or that comes after it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        return self.entries[index - self.snapshot_index - 1].term

    def entries_after(self, index: int) -> list[LogEntry]:
        """The entries after an index; all that are left where the snapshot covers it."""
        return self.entries[max(0, index - self.snapshot_index) :]

    # -- voters

    def voters(self) -> tuple[str, ...]:
        """The voters by the latest entry that names them, committed or not."""
        for entry in reversed(self.entries):
            if isinstance(entry.what, VotersChanged):
                return entry.what.names
        return self.snapshot_state.voters or self.initial_voters

    def other_voters(self) -> list[str]:
        """The voters but for this node."""
        return [name for name in self.voters() if name != self.name]

    def is_majority(self, names: Container[str]) -> bool:
        """Whether these names hold a majority of the voters."""
        voters = self.voters()
        return sum(voter in names for voter in voters) * 2 > len(voters)

    # -- time and role

    def reset_election_timer(self, now: float) -> None:
        """Draw a new election timeout. Nodes that waited equally long would split the vote again and again,
        so each draws from its own name and token."""
        self.timeouts_drawn += 1
        seed = f"{self.name}/{self.token}/{self.current_term}/{self.timeouts_drawn}"
        draw = blake2b(seed.encode(), digest_size=4).digest()
        self.timer_ms = now + ELECTION_TIMEOUT_MS * (1.0 + int.from_bytes(draw, "big") / 2**32)

    def become_follower(self, now: float, term: int, leader: str) -> None:
        """Follow `leader`, or nobody yet where that is empty, in this term or a later one."""
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
        """Ask for a write: entries up to `after_index` are on the disk already; 0: write all anew."""
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
        """Ask for a message to be sent, after all writes that were asked for before."""
        self.actions.append(RaftAction(RaftActionKind.SEND, to, message))
