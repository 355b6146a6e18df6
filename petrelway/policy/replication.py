"""Raft's log replication: the leader's AppendEntries and heartbeats, the follower's response, and the commit
index. Source: Ongaro 2014, chapter 3."""

from __future__ import annotations

from . import snapshots
from .log_entries import LogEntry
from .messages import MAX_ENTRIES_PER_MESSAGE, AppendEntries, AppendEntriesResponse
from .raft_state import Acknowledgement, RaftRole, RaftState

HEARTBEAT_INTERVAL_MS = 150.0  # well below the election timeout, so that several may be lost


# -- the leader


def broadcast(node: RaftState, now: float) -> None:
    """Send entries, or a heartbeat if there are none, to every other voter."""
    node.timer_ms = now + HEARTBEAT_INTERVAL_MS
    if node.sent_round == node.round:
        node.round += 1
    node.sent_round = node.round
    for name in node.other_voters():
        send_entries(node, name)


def send_entries(node: RaftState, name: str) -> None:
    """Send one voter the entries it may lack, with the snapshot if the log no longer has all of them."""
    next_index = node.next_index.setdefault(name, node.last_index)
    snapshot = b""
    if next_index <= node.snapshot_index:
        next_index = node.snapshot_index + 1
        snapshot = snapshots.encoded_snapshot(node)
    start = next_index - node.snapshot_index - 1
    message = AppendEntries(
        term=node.current_term,
        previous_index=next_index - 1,
        previous_term=node.term_at(next_index - 1),
        entries=tuple(node.entries[start : start + MAX_ENTRIES_PER_MESSAGE]),
        leader_commit=node.commit_index,
        round=node.sent_round,
        snapshot=snapshot,
    )
    node.send(name, message)


def append(node: RaftState, now: float, what: object) -> int:
    """Append an entry to this leader's log, replicate it, and return its index."""
    node.entries.append(LogEntry(term=node.current_term, what=what))
    node.persist(node.last_index - 1)
    broadcast(node, now)
    advance_commit_index(node, now)
    return node.last_index


def receive_response(node: RaftState, now: float, sender: str, message: AppendEntriesResponse) -> None:
    """Handle a follower's response: update its next index and commit the entries that a majority has."""
    if message.term > node.current_term:
        node.become_follower(now, message.term, "")
    if node.role is not RaftRole.LEADER or message.term != node.current_term:
        return
    if message.round >= node.acknowledgements.get(sender, Acknowledgement()).round:
        node.acknowledgements[sender] = Acknowledgement(message.round, now, message.age_ms)
    if not message.success:
        node.next_index[sender] = max(1, min(node.next_index.get(sender, 1) - 1, message.index + 1))
        send_entries(node, sender)
        return
    node.match_index[sender] = max(node.match_index.get(sender, 0), message.index)
    node.next_index[sender] = max(node.next_index.get(sender, 1), node.match_index[sender] + 1)
    if node.next_index[sender] <= node.last_index:
        send_entries(node, sender)
    advance_commit_index(node, now)


def advance_commit_index(node: RaftState, now: float) -> None:
    """Commit the latest entry of the leader's own term that a majority has, and all entries before it."""
    for index in range(node.last_index, node.commit_index, -1):
        if node.term_at(index) != node.current_term:
            return
        matching = {name for name, match in node.match_index.items() if match >= index}
        if node.is_majority(matching | {node.name}):
            node.commit_index = index
            break
    snapshots.apply_committed(node)
    if node.state.voters and node.name not in node.state.voters:
        node.become_follower(now, node.current_term, "")  # it leads until its removal is committed


# -- the follower


def receive_entries(node: RaftState, now: float, sender: str, message: AppendEntries) -> None:
    """Store a leader's entries and respond with the index up to which the logs agree."""
    recovering = node.role is RaftRole.RECOVERING
    if recovering and not 0 <= node.minimum_leader_term <= message.term:
        return  # it may have acknowledged a later leader's entries and lost them: follow no earlier leader
    if message.term < node.current_term:
        _respond(node, sender, message, False, node.last_index)
        return
    _accept_leader(node, now, sender, message.term)
    if message.snapshot and message.previous_index > node.commit_index:
        snapshots.install_snapshot(node, message)
    if not _has_previous_entry(node, message):
        if message.previous_index >= node.snapshot_index:  # an earlier entry may match
            _respond(node, sender, message, False, min(node.last_index, message.previous_index - 1))
        else:  # the snapshot covers committed entries only, and those match
            _respond(node, sender, message, True, node.snapshot_index)
        return
    changed_after = _store_entries(node, message)
    matching_index = message.previous_index + len(message.entries)
    if node.role is RaftRole.RECOVERING and matching_index >= message.leader_commit:
        node.role = RaftRole.FOLLOWER  # it has every committed entry, and may vote again
        node.reset_election_timer(now)
        node.persist(0)
    elif changed_after >= 0:
        node.persist(changed_after)
    node.commit_index = max(node.commit_index, min(message.leader_commit, matching_index))
    snapshots.apply_committed(node)
    _respond(node, sender, message, True, matching_index)


def _accept_leader(node: RaftState, now: float, leader: str, term: int) -> None:
    if node.role is not RaftRole.RECOVERING:
        node.become_follower(now, term, leader)
        return
    if term > node.current_term:
        node.current_term = term
        node.voted_for = leader  # it may have voted in this term before its file was lost
    node.leader = leader
    node.leader_heard_ms = now


def _has_previous_entry(node: RaftState, message: AppendEntries) -> bool:
    if not node.snapshot_index <= message.previous_index <= node.last_index:
        return False
    return node.term_at(message.previous_index) == message.previous_term


def _store_entries(node: RaftState, message: AppendEntries) -> int:
    """Replace conflicting entries with the leader's. Return the index after which they changed, or -1."""
    changed_after = -1
    for index, entry in enumerate(message.entries, message.previous_index + 1):
        if index <= node.last_index and node.term_at(index) == entry.term:
            continue
        if changed_after < 0:
            changed_after = index - 1
        del node.entries[index - node.snapshot_index - 1 :]
        node.entries.append(entry)
    return changed_after


def _respond(node: RaftState, to: str, message: AppendEntries, success: bool, index: int) -> None:
    age_ms = 0.0
    if node.leader_heard_ms > node.started_ms:
        age_ms = node.leader_heard_ms - node.started_ms
    response = AppendEntriesResponse(
        term=node.current_term, success=success, index=index, round=message.round, age_ms=age_ms
    )
    node.send(to, response)
