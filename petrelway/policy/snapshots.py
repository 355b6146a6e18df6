"""Snapshots of the policy state: how a Raft node applies committed entries, compacts its log, and installs a
leader's snapshot."""

from __future__ import annotations

from . import state_machine
from .messages import AppendEntries
from .raft_state import RaftState

SNAPSHOT_THRESHOLD_ENTRIES = 64  # the log is compacted once this many applied entries follow the snapshot


def apply_committed(node: RaftState) -> None:
    """Apply committed entries to the policy state, and compact the log once it is long enough."""
    while node.state.applied_index < node.commit_index:
        index = node.state.applied_index + 1
        entry = node.entries[index - node.snapshot_index - 1]
        node.state = state_machine.apply(node.state, index, entry)
    if node.state.applied_index - node.snapshot_index >= SNAPSHOT_THRESHOLD_ENTRIES:
        _compact(node)


def _compact(node: RaftState) -> None:
    applied_index = node.state.applied_index
    node.snapshot_term = node.term_at(applied_index)
    del node.entries[: applied_index - node.snapshot_index]
    node.snapshot_index = applied_index
    node.snapshot_state = node.state
    node.persist(0)


def install_snapshot(node: RaftState, message: AppendEntries) -> None:
    """Replace the whole log with the leader's snapshot."""
    node.snapshot_state = state_machine.decode_state(message.snapshot)
    node.state = node.snapshot_state
    node.snapshot_index = message.previous_index
    node.snapshot_term = message.previous_term
    node.commit_index = message.previous_index
    node.entries = []
    node.persist(0)


def encoded_snapshot(node: RaftState) -> bytes:
    """Return the snapshot as a leader sends it, or b"" if nothing has been compacted."""
    return state_machine.encode_state(node.snapshot_state) if node.snapshot_index else b""
