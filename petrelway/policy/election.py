"""Raft's leader election with pre-vote: a node first asks whether it would be elected, so that a node that
was partitioned does not depose a leader that the other nodes can reach. Source: Ongaro 2014, sections 3.4 and
9.6."""

from __future__ import annotations

from . import raft_state, replication
from .log_entries import TermStarted
from .messages import RequestVote, RequestVoteResponse
from .raft_state import RaftRole, RaftState


def start_pre_vote(node: RaftState, now: float) -> None:
    """Ask the other voters whether they would vote for this node, as the election timeout has passed."""
    node.role = RaftRole.PRE_CANDIDATE
    node.votes = {node.name}
    node.leader = ""
    node.reset_election_timer(now)
    _request_votes(node, now)


def _request_votes(node: RaftState, now: float) -> None:
    if node.is_majority(node.votes):
        _handle_majority(node, now)
        return
    pre_vote = node.role is RaftRole.PRE_CANDIDATE
    for name in node.other_voters():
        request = RequestVote(
            term=node.current_term + pre_vote,
            last_index=node.last_index,
            last_term=node.term_at(node.last_index),
            pre_vote=pre_vote,
        )
        node.send(name, request)


def _handle_majority(node: RaftState, now: float) -> None:
    """Become a candidate after winning the pre-vote, or the leader after winning the vote."""
    if node.role is RaftRole.PRE_CANDIDATE:
        node.role = RaftRole.CANDIDATE
        node.current_term += 1
        node.voted_for = node.name
        node.votes = {node.name}
        node.persist(node.last_index)
        node.reset_election_timer(now)
        _request_votes(node, now)
        return
    node.role = RaftRole.LEADER
    node.leader = node.name
    node.leading_since_ms = now
    node.timer_ms = now
    node.next_index = {}
    node.match_index = {}
    node.acknowledgements = {}
    replication.append(node, now, TermStarted())


def receive_request(node: RaftState, now: float, sender: str, message: RequestVote) -> None:
    """Answer a candidate: grant one vote per term, and none to a candidate whose log is behind."""
    log_position = node.term_at(node.last_index), node.last_index
    candidate_behind = (message.last_term, message.last_index) < log_position
    if message.pre_vote:
        _answer_pre_vote(node, now, sender, message, candidate_behind)
        return
    if message.term > node.current_term:
        node.become_follower(now, message.term, "")
    same_term = message.term == node.current_term
    granted = same_term and not candidate_behind and node.voted_for in ("", sender)
    if granted and not node.voted_for:
        node.voted_for = sender
        node.persist(node.last_index)
        node.reset_election_timer(now)
    node.send(sender, RequestVoteResponse(term=node.current_term, granted=granted, pre_vote=False))


def _answer_pre_vote(
    node: RaftState, now: float, sender: str, message: RequestVote, candidate_behind: bool
) -> None:
    """Answer a pre-vote. A refusal carries this node's own term: if one node knows a later term and the other
    has more entries, they would otherwise refuse each other forever."""
    leader_heard = now - node.leader_heard_ms < raft_state.ELECTION_TIMEOUT_MS
    has_leader = node.role is RaftRole.LEADER or leader_heard
    granted = message.term > node.current_term and not candidate_behind and not has_leader
    term = message.term if granted else node.current_term
    node.send(sender, RequestVoteResponse(term=term, granted=granted, pre_vote=True))


def receive_response(node: RaftState, now: float, sender: str, message: RequestVoteResponse) -> None:
    """Count a vote, or become a follower if the response has a later term."""
    if message.term > node.current_term and not (message.pre_vote and message.granted):
        node.become_follower(now, message.term, "")
    wanted_role = RaftRole.PRE_CANDIDATE if message.pre_vote else RaftRole.CANDIDATE
    wanted_term = node.current_term
    if node.role is RaftRole.PRE_CANDIDATE:
        wanted_term += 1
    if node.role is wanted_role and message.granted and message.term == wanted_term:
        node.votes.add(sender)
        if node.is_majority(node.votes):
            _handle_majority(node, now)
