"""Membership datagrams and what operators see of the members, as computed by the present code."""

from __future__ import annotations

import json
import random
import zlib
from typing import Any

from forms_policy_files import load
from structlog.testing import ReturnLogger
from twisted.internet.task import Clock

from petrelway.membership import messages
from petrelway.membership.quota_lease import QuotaLeaseHolder
from petrelway.membership.service import MembershipService, PeerAddress
from petrelway.membership.swim import MembershipStateMachine

TOPIC = "fleet_words"
CHECK_BYTES = 4
OVERLONG_BYTES = 300


def build(row: list[Any]) -> messages.Message:
    """A word of its values in the order of the datagram's head."""
    kind, fleet, sender, start, peers, view, number, about, news, version = row
    told = tuple(
        messages.MemberUpdate(member, messages.Incarnation(*its_start), messages.MemberState(state))
        for member, its_start, state in news
    )
    return messages.Message(
        messages.MessageKind(kind),
        fleet,
        sender,
        messages.Incarnation(*start),
        peers,
        view,
        number,
        about,
        told,
        version,
    )


def plain(word: messages.Message) -> list[Any]:
    """The values of a word, by position."""
    return json.loads(json.dumps(word))


def datagrams() -> list[list[Any]]:
    """Each message of the table as bytes."""
    return [[title, messages.encode(build(row))] for title, row in load(TOPIC, "messages.json")]


def resealed(body: bytes) -> bytes:
    """A datagram of this body with a right checksum."""
    return body + zlib.crc32(body).to_bytes(CHECK_BYTES, "big")


def odd_datagrams() -> list[list[Any]]:
    """Datagrams that break one rule each, or have a section that this version does not know."""
    whole = dict(datagrams())["news of every state"]
    body = whole[:-CHECK_BYTES]
    return [
        ["empty", b""],
        ["too long", bytes(OVERLONG_BYTES)],
        ["other mark", resealed(b"xx" + body[2:])],
        ["other version", resealed(body[:2] + b"\x02" + body[3:])],
        ["unknown kind", resealed(body[:3] + b"\x63" + body[4:])],
        ["unknown state", resealed(body[:-1] + b"\x09")],
        ["news cut off", resealed(body[:-1])],
        ["wrong checksum", body + b"\0\0\0\0"],
        ["section cut off", resealed(body + b"z\x05ab")],
        ["unknown section", resealed(body + b"z\x02ab")],
    ]


def outcomes() -> list[list[Any]]:
    """What reading each odd datagram gives: its values, or the reason that is counted."""
    found = []
    for title, data in odd_datagrams():
        try:
            found.append([title, data, plain(messages.decode(data))])
        except messages.MessageError as fault:
            found.append([title, data, str(fault)])
    return found


def bounds() -> list[list[Any]]:
    """The numbers and layouts that both ends of a datagram must agree about."""
    return [
        [
            messages.DATAGRAM_BOUND,
            messages.VERSION,
            messages.MAGIC,
            messages.MAX_UPDATES,
            messages.POLICY_VERSION_SECTION_TYPE,
        ],
        [
            messages.HEADER.format,
            messages.MEMBER_UPDATE.format,
            messages.POLICY_VERSION_SECTION.format,
            messages.CHECKSUM.format,
        ],
        [int(kind) for kind in messages.MessageKind],
        [int(state) for state in messages.MemberState],
    ]


def identifiers() -> list[list[Any]]:
    """The digests of names, and the digests of peers and view that a fresh member tells."""
    names = load(TOPIC, "names.json")
    me, other, third = (messages.digest(*some) for some in names[:3])
    members = MembershipStateMachine(0.0, me, 9, third, [other], random.Random(1))
    return [[some, messages.digest(*some)] for some in names] + [
        ["fresh", members.peers_digest, members.view_digest]
    ]


def page() -> list[Any]:
    """The members as operators see them, as JSON text, with one peer in each state."""
    me = PeerAddress("front-0", "127.0.0.1", 9000)
    peers = [
        PeerAddress(f"front-{int(state) + 1}", "127.0.0.1", 9001 + state) for state in messages.MemberState
    ]
    service = MembershipService(
        Clock(), me, "gateway", [me, *peers], 7, random.Random(1), ReturnLogger(), None, None
    )
    ids = [messages.digest(peer.name) for peer in peers]
    service.members = MembershipStateMachine(
        0.0, messages.digest("front-0"), 7, messages.digest("gateway"), ids, service.random_source
    )
    service.lease_holder = QuotaLeaseHolder(0.0, len(ids) + 1)
    service.lease = service.lease_holder.current(service.members, 0.0)
    for number, state in zip(ids, messages.MemberState, strict=False):
        service.members.others[number].state = state
    return [json.dumps(service.members_seen())]


FILES = {
    "datagrams.json": datagrams,
    "outcomes.json": outcomes,
    "bounds.json": bounds,
    "identifiers.json": identifiers,
    "page.json": page,
}
