"""Membership datagrams and what operators see of the members, as computed by the present code."""

from __future__ import annotations

import json
import random
import zlib
from typing import Any

from forms_policy_files import load
from structlog.testing import ReturnLogger
from twisted.internet.task import Clock

from petrelway.membership import messages as words
from petrelway.membership.quota_lease import Parts
from petrelway.membership.service import FleetService, Listed
from petrelway.membership.swim import Members

TOPIC = "fleet_words"
CHECK_BYTES = 4
OVERLONG_BYTES = 300


def build(row: list[Any]) -> words.Word:
    """A word of its values in the order of the datagram's head."""
    kind, fleet, sender, start, peers, view, number, about, news, version = row
    told = tuple(
        words.News(member, words.Start(*its_start), words.State(state)) for member, its_start, state in news
    )
    return words.Word(
        words.Kind(kind), fleet, sender, words.Start(*start), peers, view, number, about, told, version
    )


def plain(word: words.Word) -> list[Any]:
    """The values of a word, by position."""
    return json.loads(json.dumps(word))


def datagrams() -> list[list[Any]]:
    """Each message of the table as bytes."""
    return [[title, words.write(build(row))] for title, row in load(TOPIC, "messages.json")]


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
            found.append([title, data, plain(words.read(data))])
        except words.MessageError as fault:
            found.append([title, data, str(fault)])
    return found


def bounds() -> list[list[Any]]:
    """The numbers and layouts that both ends of a datagram must agree about."""
    return [
        [words.DATAGRAM_BOUND, words.VERSION, words.MARK, words.NEWS_MOST, words.TERMS_NAME],
        [words.HEAD.format, words.NEWS.format, words.TERMS.format, words.CHECK.format],
        [int(kind) for kind in words.Kind],
        [int(state) for state in words.State],
    ]


def identifiers() -> list[list[Any]]:
    """The digests of names, and the digests of peers and view that a fresh member tells."""
    names = load(TOPIC, "names.json")
    me, other, third = (words.digest(*some) for some in names[:3])
    members = Members(0.0, me, 9, third, [other], random.Random(1))
    return [[some, words.digest(*some)] for some in names] + [["fresh", members.peers, members.view]]


def page() -> list[Any]:
    """The members as operators see them, as JSON text, with one peer in each state."""
    me = Listed("front-0", "127.0.0.1", 9000)
    peers = [Listed(f"front-{int(state) + 1}", "127.0.0.1", 9001 + state) for state in words.State]
    service = FleetService(
        Clock(), me, "gateway", [me, *peers], 7, random.Random(1), ReturnLogger(), None, None
    )
    ids = [words.digest(peer.name) for peer in peers]
    service.members = Members(
        0.0, words.digest("front-0"), 7, words.digest("gateway"), ids, service.random_source
    )
    service.parts = Parts(0.0, len(ids) + 1)
    service.held = service.parts.held(service.members, 0.0)
    for number, state in zip(ids, words.State):
        service.members.others[number].state = state
    return [json.dumps(service.members_seen())]


FILES = {
    "datagrams.json": datagrams,
    "outcomes.json": outcomes,
    "bounds.json": bounds,
    "identifiers.json": identifiers,
    "page.json": page,
}
