"""What one member says of its terms: the policy page, an operator's wish and its progress, two documents."""

from __future__ import annotations

import json
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
from doubles import Log
from forms_common import read_form
from forms_members_page import SEED, Sockets

from petrelway.console import pages
from petrelway.daemon.shedding import Step
from petrelway.membership.messages import MEMBER_STATE_LABELS, MemberState
from petrelway.membership.service import MembershipService, PeerAddress
from petrelway.membership.swim import ViewStatus
from petrelway.policy.document import canonical, check, differences, digest
from petrelway.policy.log_entries import PersistentState
from petrelway.policy.messages import ChangeRequest
from petrelway.policy.policy_holder import PreparedPolicy, ServingState
from petrelway.policy.raft_state import RaftRole
from petrelway.policy.raft_storage import RaftStorage
from petrelway.policy.service import PolicyService
from petrelway.settings.front import Fleet, FrontEndPlace

TOPIC = "policy_change"
TURNS, TURN_S = 100, 0.1


class PolicyMember:
    """A fleet of one, which keeps the history itself."""

    def __init__(self, folder: Path) -> None:
        self.reactor, log = Sockets(), Log()
        self.reactor.advance(1000.0)
        me = PeerAddress("a", "10.0.0.1", 7946)
        fleet = MembershipService(self.reactor, me, "f", [], SEED, random.Random(1), log, None)
        fleet.startService()
        own = document("terms")
        may_vote(folder / "kept")
        self.policy = PolicyService(
            self.reactor, fleet, ["a"], str(folder / "kept"), PreparedPolicy(0, digest(own), own), own,
            lambda text: (("made", text), False), lambda terms: None, log,
        )  # fmt: skip
        self.policy.startService()
        self.turn()

    def turn(self) -> None:
        """Let what is under way come to its end."""
        for _ in range(TURNS):
            self.reactor.advance(TURN_S)

    def wish(self, name: str) -> Any:
        """The answer to a wish that is checked in, as an operator's JSON; its documents are the two terms."""
        documents = {"document": document("changed_terms"), "base_document": document("terms")}
        wish = msgspec.json.decode(json.dumps({**read_form(TOPIC, name), **documents}), type=ChangeRequest)
        return json.loads(msgspec.json.encode(self.policy.request_change(wish)))

    def page(self, **asked: str) -> Any:
        """The policy page."""
        steps = pages.policy(SimpleNamespace(policy=self.policy), asked)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value


def may_vote(file: Path) -> None:
    """A keeper's file that lets it vote at once: a new one would have to ask other keepers first."""
    store = RaftStorage(str(file), "f", "a")
    store.persist(PersistentState(False), 0)
    store.close()


def document(name: str) -> str:
    """The terms that are checked in under this name, as a canonical document."""
    alone = {"front_end": FrontEndPlace(name="-", zone="-"), "fleet": Fleet(zones=["-"])}
    return canonical(check(name, read_form(TOPIC, name), alone))


def policy_answers(folder: Path) -> dict[str, Any]:
    """All that is said while a change is wished for and adopted and another one is refused."""
    member = PolicyMember(folder)
    found = {"before": member.page(), "wished": member.wish("wish")}
    member.turn()
    found["adopted"] = member.wish("wish")
    member.wish("stale_wish")
    member.turn()
    found["refused"] = member.wish("stale_wish")
    found["after"] = member.page(history="1", document="1")
    return found


def document_differences() -> list[dict[str, str]]:
    """As `petrelway policy plan --json` and `diff --json` print them."""
    return [d._asdict() for d in differences(document("terms"), document("changed_terms"))]


def state_words() -> dict[str, list[str]]:
    """The words for states that pages tell, each in the form in which they tell it."""
    return {
        "a member's state": [MEMBER_STATE_LABELS[state] for state in MemberState],
        "the fleet's view": [whole.value for whole in ViewStatus],
        "what a daemon gives up": [step.name.lower().replace("_", " ") for step in Step],
        "how terms hold": [serving.value for serving in ServingState],
        "a keeper's role": [role.value for role in RaftRole],
    }
