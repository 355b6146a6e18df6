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
MARK = b"pw"
HEAD = struct.Struct(">2sBBIIIIIIIIB")
NEWS = struct.Struct(">IIIB")
CHECK = struct.Struct(">I")
TERMS = struct.Struct(">BBI")
TERMS_NAME = ord("t")
NEWS_MOST = (DATAGRAM_BOUND - HEAD.size - TERMS.size - CHECK.size) // NEWS.size


class Kind(IntEnum):
    """What a word asks or answers."""

    ASK = 1  # are you there? answered with HERE under the same number
    HERE = 2
    ASK_FOR_ME = 3  # ask the member `about`, and pass its answer on
    HERE_TOO = 4  # `about` has answered
    LEAVING = 5  # the sender leaves, and uses nothing of the fleet's any more


class State(IntEnum):
    """What a member is held for. In the order in which one outdoes another of the same start."""

    UNHEARD = 0  # listed; nobody has heard it yet
    ALIVE = 1
    SUSPECTED = 2
    FAILED = 3
    LEFT = 4


class Start(NamedTuple):
    """Which process of a member, and how often it has had to say that it is there; the later one is
    greater."""

    incarnation: int
    token: int


class News(NamedTuple):
    """What the sender holds a member for."""

    member: int
    start: Start
    state: State


class Word(NamedTuple):
    """One datagram. `peers` is a digest of the sender's list of peers, `view` one of its view."""

    kind: Kind
    fleet: int
    sender: int
    start: Start
    peers: int
    view: int
    number: int
    about: int
    news: tuple[News, ...] = ()
    version: int = 0  # of the terms that the sender runs under; a section, left out where it is 0


class MessageError(Exception):
    """Bytes that are no word of ours; its text is a reason out of a few."""


def digest(*names: str) -> int:
    """A name, or names in their order, as 32 bits, the same everywhere.

    >>> digest("front-1") == digest("front-1") != digest("front-2")
    True
    """
    return int.from_bytes(blake2b("\n".join(names).encode(), digest_size=4).digest(), "big")


def write(word: Word) -> bytes:
    """
    >>> w = Word(Kind.ASK, 1, 2, Start(3, 4), 5, 6, 7, 0, (News(8, Start(9, 10), State.FAILED),))
    >>> read(write(w)) == w, len(write(w)) <= DATAGRAM_BOUND
    (True, True)
    """
    parts = [
        HEAD.pack(
            MARK,
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
    parts += [NEWS.pack(n.member, *n.start, n.state) for n in word.news[:NEWS_MOST]]
    if word.version:
        parts.append(TERMS.pack(TERMS_NAME, 4, word.version))
    data = b"".join(parts)
    return data + CHECK.pack(zlib.crc32(data))


def read(data: bytes) -> Word:
    """Raises MessageError."""
    if not HEAD.size + CHECK.size <= len(data) <= DATAGRAM_BOUND:
        raise MessageError("length")
    body = data[: -CHECK.size]
    if data[:2] != MARK:
        raise MessageError("mark")
    if CHECK.unpack(data[-CHECK.size :])[0] != zlib.crc32(body):
        raise MessageError("check")
    _, version, kind, fleet, sender, incarnation, token, peers, view, number, about, count = HEAD.unpack_from(
        body
    )
    if version != VERSION:
        raise MessageError("version")
    if HEAD.size + count * NEWS.size > len(body):
        raise MessageError("news cut off")
    try:
        news = tuple(
            News(member, Start(i, t), State(state))
            for member, i, t, state in NEWS.iter_unpack(body[HEAD.size : HEAD.size + count * NEWS.size])
        )
        version = _sections(body[HEAD.size + count * NEWS.size :])
        start = Start(incarnation, token)
        return Word(Kind(kind), fleet, sender, start, peers, view, number, about, news, version)
    except ValueError as error:
        raise MessageError("unknown kind or state") from error


def _sections(data: bytes) -> int:
    """Sections, each `name:1 length:1` and so many bytes: that of the terms; others, of later versions, are
    passed over. Raises MessageError."""
    at = version = 0
    while at < len(data):
        if at + 2 > len(data) or at + 2 + data[at + 1] > len(data):
            raise MessageError("section cut off")
        if data[at] == TERMS_NAME and data[at + 1] == 4:
            version = int.from_bytes(data[at + 2 : at + 6], "big")
        at += 2 + data[at + 1]
    return version
