"""Recovery of a Raft node whose file is new or lost, so that it breaks no promise that it has forgotten.

Source: Liskov and Cowling 2012 (recovery in viewstamped replication). Without it a vote or an entry that was
given once, and forgotten, could be given again to another node.
"""

from __future__ import annotations

from .messages import RecoveryRequest, RecoveryResponse
from .raft_state import RaftRole, RaftState

RECOVERY_RETRY_MS = 400.0  # the other voters are asked again after this


def request_recovery(node: RaftState, now: float) -> None:
    """Ask the other voters what this node may have promised."""
    node.timer_ms = now + RECOVERY_RETRY_MS
    for name in node.other_voters():
        node.send(name, RecoveryRequest(term=node.current_term, nonce=node.token))


def receive_request(node: RaftState, sender: str, message: RecoveryRequest) -> None:
    """Answer a node that recovers. A recovering node answers only while it was never asked anything: later it
    could not tell whether it has lost it all."""
    fresh = node.current_term == 0 and not node.last_index
    if node.role is not RaftRole.RECOVERING or fresh:
        response = RecoveryResponse(term=node.current_term, nonce=message.nonce, fresh=fresh)
        node.send(sender, response)


def receive_response(node: RaftState, now: float, sender: str, message: RecoveryResponse) -> None:
    """Take in an answer. The node votes again once a majority beside it has named the latest term, and a
    leader of that term or of a later one has sent all that is committed; or where all voters are new."""
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
