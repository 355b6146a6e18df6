"""Membership messages as datagrams of 256 bytes at most, without I/O. Format: docs/fleet.md.

Numbers are unsigned and big-endian. A datagram is a header, member updates, sections that a later version may
add (a reader skips those that it does not know), and a CRC-32 of everything before it. The state machine
(`swim.py`) builds and receives `Message`; the service (`service.py`) calls `encode` and `decode`.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

DATAGRAM_BOUND = 256  # bytes; the platform voids a run that sends a longer one
VERSION = 1
MAGIC = b"pw"
HEADER = struct.Struct(">2sBBIIIIIIIIB")
MEMBER_UPDATE = struct.Struct(">IIIB")
CHECKSUM = struct.Struct(">I")
POLICY_VERSION_SECTION = struct.Struct(">BBI")
POLICY_VERSION_SECTION_TYPE = ord("t")
POLICY_VERSION_BYTES = 4
SECTION_HEADER_BYTES = 2  # type and length
MAX_UPDATES = (
    DATAGRAM_BOUND - HEADER.size - POLICY_VERSION_SECTION.size - CHECKSUM.size
) // MEMBER_UPDATE.size


class MessageKind(IntEnum):
    """What a message asks or answers; the numbers are part of the wire format."""

    PING = 1  # answered with ACK under the same sequence number
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to ping the member `target` and to relay its answer
    INDIRECT_ACK = 4  # `target` has answered
    LEAVE = 5  # the sender leaves, and no longer uses any of the fleet's quota


class MemberState(IntEnum):
    """A member's state; of two states of the same incarnation the greater overrides.

    The numbers are part of the wire format.
    """

    UNKNOWN = 0  # listed, but no message from it has reached any member yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


# Shown to operators, on the members page and in policy reports, and stored in records; so these words stay.
MEMBER_STATE_LABELS = {
    MemberState.UNKNOWN: "unheard",
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "failed",
    MemberState.LEFT: "left",
}


class Incarnation(NamedTuple):
    """Which process of a member, and how often it has refuted a suspicion; a later one compares greater."""

    number: int
    token: int


class MemberUpdate(NamedTuple):
    """The state that the sender believes a member to be in."""

    member: int
    incarnation: Incarnation
    state: MemberState


class Message(NamedTuple):
    """One datagram. `peers_digest` is a digest of the sender's list of peers, `view_digest` of its view."""

    kind: MessageKind
    fleet: int
    sender: int
    incarnation: Incarnation
    peers_digest: int
    view_digest: int
    sequence: int
    target: int
    updates: tuple[MemberUpdate, ...] = ()
    policy_version: int = 0  # the version the sender runs under; sent as a section, left out if 0


class MessageError(Exception):
    """Bytes that are not a membership message; the text is one of a few fixed reasons, which are counted."""


def digest(*names: str) -> int:
    """Hash a name, or names in their order, to 32 bits, the same in every process.

    >>> digest("front-1") == digest("front-1") != digest("front-2")
    True
    """
    return int.from_bytes(blake2b("\n".join(names).encode(), digest_size=4).digest(), "big")


def encode(message: Message) -> bytes:
    """Encode a message as a datagram; updates beyond `MAX_UPDATES` are left out.

    >>> update = MemberUpdate(8, Incarnation(9, 10), MemberState.DEAD)
    >>> message = Message(MessageKind.PING, 1, 2, Incarnation(3, 4), 5, 6, 7, 0, (update,))
    >>> decode(encode(message)) == message, len(encode(message)) <= DATAGRAM_BOUND
    (True, True)
    """
    parts = [
        HEADER.pack(
            MAGIC,
            VERSION,
            message.kind,
            message.fleet,
            message.sender,
            *message.incarnation,
            message.peers_digest,
            message.view_digest,
            message.sequence,
            message.target,
            len(message.updates),
        )
    ]
    for update in message.updates[:MAX_UPDATES]:
        parts.append(MEMBER_UPDATE.pack(update.member, *update.incarnation, update.state))
    if message.policy_version:
        section = POLICY_VERSION_SECTION.pack(
            POLICY_VERSION_SECTION_TYPE, POLICY_VERSION_BYTES, message.policy_version
        )
        parts.append(section)
    data = b"".join(parts)
    return data + CHECKSUM.pack(zlib.crc32(data))


def decode(data: bytes) -> Message:
    """Decode a datagram. Raises MessageError."""
    body = _checked_body(data)
    (_, version, kind, fleet, sender, number, token, peers_digest, view_digest, sequence, target, count) = (
        HEADER.unpack_from(body)
    )
    if version != VERSION:
        raise MessageError("version")
    updates_end = HEADER.size + count * MEMBER_UPDATE.size
    if updates_end > len(body):
        raise MessageError("news cut off")
    try:
        updates = _decode_updates(body[HEADER.size : updates_end])
        policy_version = _policy_version(body[updates_end:])
        return Message(
            MessageKind(kind),
            fleet,
            sender,
            Incarnation(number, token),
            peers_digest,
            view_digest,
            sequence,
            target,
            updates,
            policy_version,
        )
    except ValueError as error:
        raise MessageError("unknown kind or state") from error


def _checked_body(data: bytes) -> bytes:
    """Check length, magic bytes and checksum, and return the datagram without its checksum.

    Raises MessageError.
    """
    if not HEADER.size + CHECKSUM.size <= len(data) <= DATAGRAM_BOUND:
        raise MessageError("length")
    body = data[: -CHECKSUM.size]
    if data[: len(MAGIC)] != MAGIC:
        raise MessageError("mark")
    if CHECKSUM.unpack(data[-CHECKSUM.size :])[0] != zlib.crc32(body):
        raise MessageError("check")
    return body


def _decode_updates(data: bytes) -> tuple[MemberUpdate, ...]:
    """Decode member updates. Raises ValueError for an unknown state."""
    return tuple(
        MemberUpdate(member, Incarnation(number, token), MemberState(state))
        for member, number, token, state in MEMBER_UPDATE.iter_unpack(data)
    )


def _policy_version(data: bytes) -> int:
    """Return the policy version from the sections, or 0; sections of later versions are skipped.

    A section is `type:1 length:1` and that many bytes. Raises MessageError.
    """
    position = 0
    version = 0
    while position < len(data):
        value = position + SECTION_HEADER_BYTES
        if value > len(data) or value + data[position + 1] > len(data):
            raise MessageError("section cut off")
        length = data[position + 1]
        if data[position] == POLICY_VERSION_SECTION_TYPE and length == POLICY_VERSION_BYTES:
            version = int.from_bytes(data[value : value + length], "big")
        position = value + length
    return version
