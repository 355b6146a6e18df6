"""What operators see of the terms at one member, as the present code tells it."""

from __future__ import annotations

import json
import random
from typing import Any

import msgspec
from forms_policy_files import load
from structlog.testing import ReturnLogger
from twisted.internet.testing import MemoryReactorClock

from petrelway.membership.service import MembershipService, PeerAddress
from petrelway.policy import log_entries, messages
from petrelway.policy.policy_holder import PreparedPolicy, ServingState
from petrelway.policy.policy_member import PolicyMember
from petrelway.policy.raft_state import RaftRole
from petrelway.policy.service import PolicyService

TOPIC = "policy_page"
MESSAGES_TOPIC = "policy_words"
NAMES = ("front-0", "front-1", "front-2", "front-3", "front-4")
TOKEN = 7
OWN = PreparedPolicy(0, "00ff", None)


def make(document: str) -> tuple[Any, bool]:
    """What the host would make of a document."""
    return (None, document), False


def ignore(*_: Any) -> None:
    """New terms are not looked at here."""


def service(keepers: tuple[str, ...]) -> PolicyService:
    """The first member's service, not yet started, on a reactor that is none."""
    reactor, listed = (
        MemoryReactorClock(),
        [PeerAddress(name, "127.0.0.1", 9000 + n) for n, name in enumerate(NAMES)],
    )
    fleet = MembershipService(
        reactor, listed[0], "gateway", listed, TOKEN, random.Random(1), ReturnLogger(), None, None
    )
    return PolicyService(reactor, fleet, list(keepers), "", OWN, "{}", make, ignore, ReturnLogger())


def keeper_page() -> dict[str, Any]:
    """Of a keeper that has just started."""
    keepers = NAMES[:3]
    found = service(keepers)
    found.member = PolicyMember(
        0.0, NAMES[0], TOKEN, list(NAMES), keepers, OWN, make, log_entries.PersistentState(False, 3)
    )
    return found.status()


def member_page() -> dict[str, Any]:
    """Of a member that keeps nothing, has heard each message of the table, and has answered."""
    found = service(NAMES[1:4])
    found.startService()
    for _, tree in load(MESSAGES_TOPIC, "messages.json"):
        said = messages.decode_message(msgspec.msgpack.encode(tree))
        found.member.receive(found.now(), said.name, said.token, said.body)
        found.pull()
    found.leave()
    return found.status()


def pages() -> list[list[Any]]:
    """Each page as JSON text."""
    return [["keeper", json.dumps(keeper_page())], ["heard all", json.dumps(member_page())]]


def states() -> list[list[str]]:
    """The words for a member's and a keeper's states."""
    return [[state.value for state in ServingState], [role.value for role in RaftRole]]


FILES = {"pages.json": pages, "states.json": states}
