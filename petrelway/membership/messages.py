"""A word between members as a datagram of 256 bytes at most, without I/O. Format: docs/fleet.md.

Numbers are unsigned and big-endian. A datagram is a head, news of members, sections that a later version may
add (a reader passes over those that it does not know), and a CRC-32 of all before it.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

DATAGRAM_BOUND = 256  # bytes; the platform voids a run for more
VERSION = 1
MAGIC = b"pw"
HEADER = struct.Struct(">2sBBIIIIIIIIB")
MEMBER_UPDATE = struct.Struct(">IIIB")
CHECKSUM = struct.Struct(">I")
POLICY_VERSION_SECTION = struct.Struct(">BBI")
POLICY_VERSION_SECTION_TYPE = ord("t")
MAX_UPDATES = (DATAGRAM_BOUND - HEADER.size - POLICY_VERSION_SECTION.size - CHECKSUM.size) // MEMBER_UPDATE.size


class MessageKind(IntEnum):
    """What a word asks or answers."""

    PING = 1  # are you there? answered with HERE under the same number
    ACK = 2
    PING_REQUEST = 3  # ask the member `about`, and pass its answer on
    INDIRECT_ACK = 4  # `about` has answered
    LEAVE = 5  # the sender leaves, and uses nothing of the fleet's any more


class MemberState(IntEnum):
    """What a member is held for. In the order in which one outdoes another of the same start."""

    UNKNOWN = 0  # listed; nobody has heard it yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


# What operators, the members page, records and policy reports read: these words are an outside form.
MEMBER_STATE_LABELS = {
    MemberState.UNKNOWN: "unheard",
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "failed",
    MemberState.LEFT: "left",
}


class Incarnation(NamedTuple):
    """Which process of a member, and how often it has had to say that it is there; the later one is
    greater."""

    incarnation: int
    token: int


class MemberUpdate(NamedTuple):
    """What the sender holds a member for."""

    member: int
    start: Incarnation
    state: MemberState


class Message(NamedTuple):
    """One datagram. `peers` is a digest of the sender's list of peers, `view` one of its view."""

    kind: MessageKind
    fleet: int
    sender: int
    start: Incarnation
    peers: int
    view: int
    number: int
    about: int
    news: tuple[MemberUpdate, ...] = ()
    version: int = 0  # of the terms that the sender runs under; a section, left out where it is 0


class MessageError(Exception):
    """Bytes that are no word of ours; its text is a reason out of a few."""


def digest(*names: str) -> int:
    """A name, or names in their order, as 32 bits, the same everywhere.

    >>> digest("front-1") == digest("front-1") != digest("front-2")
    True
    """
    return int.from_bytes(blake2b("\n".join(names).encode(), digest_size=4).digest(), "big")


def encode(word: Message) -> bytes:
    """
    >>> w = Word(Kind.ASK, 1, 2, Start(3, 4), 5, 6, 7, 0, (News(8, Start(9, 10), State.FAILED),))
    >>> decode(encode(w)) == w, len(encode(w)) <= DATAGRAM_BOUND
    (True, True)
    """
    parts = [
        HEADER.pack(
            MAGIC,
            VERSION,
            word.kind,
            word.fleet,
            word.sender,
            *word.start,
            word.peers,
            word.view,
            word.number,
            word.about,
            len(word.news),
        )
    ]
    parts += [MEMBER_UPDATE.pack(n.member, *n.start, n.state) for n in word.news[:MAX_UPDATES]]
    if word.version:
        parts.append(POLICY_VERSION_SECTION.pack(POLICY_VERSION_SECTION_TYPE, 4, word.version))
    data = b"".join(parts)
    return data + CHECKSUM.pack(zlib.crc32(data))


def decode(data: bytes) -> Message:
    """Raises MessageError."""
    if not HEADER.size + CHECKSUM.size <= len(data) <= DATAGRAM_BOUND:
        raise MessageError("length")
    body = data[: -CHECKSUM.size]
    if data[:2] != MAGIC:
        raise MessageError("mark")
    if CHECKSUM.unpack(data[-CHECKSUM.size :])[0] != zlib.crc32(body):
        raise MessageError("check")
    _, version, kind, fleet, sender, incarnation, token, peers, view, number, about, count = HEADER.unpack_from(
        body
    )
    if version != VERSION:
        raise MessageError("version")
    if HEADER.size + count * MEMBER_UPDATE.size > len(body):
        raise MessageError("news cut off")
    try:
        news = tuple(
            MemberUpdate(member, Incarnation(i, t), MemberState(state))
            for member, i, t, state in MEMBER_UPDATE.iter_unpack(body[HEADER.size : HEADER.size + count * MEMBER_UPDATE.size])
        )
        version = _sections(body[HEADER.size + count * MEMBER_UPDATE.size :])
        start = Incarnation(incarnation, token)
        return Message(MessageKind(kind), fleet, sender, start, peers, view, number, about, news, version)
    except ValueError as error:
        raise MessageError("unknown kind or state") from error


def _sections(data: bytes) -> int:
    """Sections, each `name:1 length:1` and so many bytes: that of the terms; others, of later versions, are
    passed over. Raises MessageError."""
    at = version = 0
    while at < len(data):
        if at + 2 > len(data) or at + 2 + data[at + 1] > len(data):
            raise MessageError("section cut off")
        if data[at] == POLICY_VERSION_SECTION_TYPE and data[at + 1] == 4:
            version = int.from_bytes(data[at + 2 : at + 6], "big")
        at += 2 + data[at + 1]
    return version
