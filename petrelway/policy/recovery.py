"""Recovery of a Raft node whose file is new or lost, before it may vote again.

Source: Liskov and Cowling 2012 (recovery in viewstamped replication). Without recovery, a node that lost its
file could vote a second time in a term, or accept a different entry in place of one it had acknowledged.
"""

from __future__ import annotations

from .messages import RecoveryRequest, RecoveryResponse
from .raft_state import RaftRole, RaftState

RECOVERY_RETRY_MS = 400.0  # interval between requests to the other voters


def request_recovery(node: RaftState, now: float) -> None:
    """Ask the other voters for their terms, which bound what this node may have voted for or acknowledged."""
    node.timer_ms = now + RECOVERY_RETRY_MS
    for name in node.other_voters():
        node.send(name, RecoveryRequest(term=node.current_term, nonce=node.token))


def receive_request(node: RaftState, sender: str, message: RecoveryRequest) -> None:
    """Answer a recovering node. A node that is recovering itself answers only as long as it has never
    been asked anything (term 0, no entries); later it could not tell whether it had lost earlier state."""
    fresh = node.current_term == 0 and not node.last_index
    if node.role is not RaftRole.RECOVERING or fresh:
        response = RecoveryResponse(term=node.current_term, nonce=message.nonce, fresh=fresh)
        node.send(sender, response)


def receive_response(node: RaftState, now: float, sender: str, message: RecoveryResponse) -> None:
    """Handle a recovery response. The node may vote again once as many other voters as form a majority of
    all voters have reported their terms, and a leader of the latest of these terms or of a later one has sent
    all committed entries; or as soon as all other voters have answered that they are new as well."""
    if message.nonce != node.token:
        return
    node.recovery_responses[sender] = message
    others = node.other_voters()
    responses = [node.recovery_responses[name] for name in others if name in node.recovery_responses]
    if len(responses) == len(others) and all(response.fresh for response in responses):
        node.role = RaftRole.FOLLOWER
        node.reset_election_timer(now)
        node.persist(0)
        return
    known_terms = [response.term for response in responses if not response.fresh]
    if node.minimum_leader_term < 0 and 2 * len(known_terms) > len(others) + 1:
        node.minimum_leader_term = max(known_terms)
