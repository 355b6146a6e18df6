"""Messages between members about the policy, as bytes in frames, without I/O. Format: docs/policy.md.

A frame is a msgpack map of one of the messages below, with its sender. The connection carries no meaning: a
message may be lost, late, duplicated or out of order, and each is understood by itself. Times are ms of the
clock of the process that the field names. Tags and field names on the wire are those of the first version.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field

from ..wire.framing import WireError, frame
from .log_entries import (
    MAX_VOTERS,
    ActivationTime,
    Document,
    LogEntry,
    MemberNames,
    MemberRows,
    Name,
    Number,
    TaggedStruct,
    Text,
)

VERSION = 1
MAX_MESSAGE_BYTES = 4 << 20
MAX_ENTRIES_PER_MESSAGE = 4  # each may have two documents
NOT_QUERIED_MS = -1.0  # `queried_ms` of a notification that answers no query
Voters = Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]

# -- between voters


class RequestVote(TaggedStruct, tag="AskVote"):
    """A candidate asks for a vote; `pre_vote`: only whether one would be granted."""

    term: Number
    last_index: Number
    last_term: Number
    pre_vote: bool = field(name="before")


class RequestVoteResponse(TaggedStruct, tag="Vote"):
    """The answer to it."""

    term: Number
    granted: bool = field(name="given")
    pre_vote: bool = field(name="before")


class AppendEntries(TaggedStruct, tag="Append"):
    """Entries after `previous_index`, where the leader has an entry of `previous_term`; with `snapshot`, all
    up to there. Without entries it is a heartbeat. `round` is given back in the answer."""

    term: Number
    previous_index: Number = field(name="index")
    previous_term: Number = field(name="index_term")
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]
    leader_commit: Number = field(name="commit")
    round: Number
    snapshot: bytes = b""


class AppendEntriesResponse(TaggedStruct, tag="Appended"):
    """`index`: the last one that surely matches; without `success`, the last one that may."""

    term: Number
    success: bool = field(name="done")
    index: Number
    round: Number
    age_ms: float  # of the follower's process


class RecoveryRequest(TaggedStruct, tag="Lost"):
    """A voter without a file of its own asks what it may have promised."""

    term: Number
    nonce: Number


class RecoveryResponse(TaggedStruct, tag="Found"):
    """The answer; `fresh`: nothing was ever promised or stored there."""

    term: Number
    nonce: Number
    fresh: bool


# -- between the leader and members


class ClockQuery(TaggedStruct, tag="Look"):
    """What does your clock say? `sent_ms` by the leader's clock."""

    term: Number
    sent_ms: float


class ClockReading(TaggedStruct, tag="Seen"):
    """The answer; `leaving`: the member admits nothing any more, and ends."""

    term: Number
    sent_ms: float
    reading_ms: float
    leaving: bool = False


class PrepareChange(TaggedStruct, tag="Prepare"):
    """Could you run under this? A member that accepts promises to admit nothing under its old policy from
    `promise_until_ms` of its own clock on, unless it hears the outcome."""

    term: Number
    index: Number  # of the proposal
    version: Number
    base: Number
    base_digest: Name
    document: Document  # empty where the member has accepted it
    token: Number
    promise_until_ms: float = field(name="by_ms")
    sent_ms: float


class PrepareResponse(TaggedStruct, tag="Ready"):
    """The answer, with the reason for a refusal."""

    term: Number
    index: Number
    accepted: bool = field(name="yes")
    why: Text
    sent_ms: float
    reading_ms: float


class PolicyQuery(TaggedStruct, tag="Ask"):
    """What holds now? `queried_ms` by the member's clock, given back in the answer."""

    queried_ms: float = field(name="asked_ms")
    version: Number
    leaving: bool = False


class PolicyNotification(TaggedStruct, tag="Told"):
    """What holds. `resolved_index`: the last proposal that ended; `activation`: when to change over, if that
    is still to come; `queried_ms` of the query, NOT_QUERIED_MS without one."""

    term: Number
    token: Number  # of the process that it is for
    state_index: Number = field(name="at")
    resolved_index: Number = field(name="settled")
    version: Number
    digest: Name
    document: Document  # empty: that of the settings, or one that the member has
    voters: Voters = field(name="keepers")
    queried_ms: float = field(name="asked_ms")
    activation: ActivationTime | None = field(default=None, name="moment")


class PolicyAcknowledgement(TaggedStruct, tag="Under"):
    """The member has heard what holds after the entry `state_index`, and runs under this version."""

    term: Number
    state_index: Number = field(name="at")
    version: Number


class LeaderRedirect(TaggedStruct, tag="Elsewhere"):
    """Ask this one; empty: nobody leads."""

    leader: Name


# -- operators, by way of a member


class ChangeRequest(TaggedStruct, tag="Propose"):
    """An operator's change, sent again until it is answered; the same `id` is the same change. `voters` in
    place of a document changes the voters."""

    id: Name
    base: Number
    document: Document
    base_document: Document
    by: Name
    at: float
    without: MemberNames = ()
    voters: Voters = field(default=(), name="keepers")
    abandon: bool = False


class ChangeProgress(TaggedStruct, tag="Progress"):
    """How a change stands; `rows`: what is known of each member."""

    id: Name
    state: Name  # "under way", "adopted", "abandoned", "refused"
    version: Number
    why: Text
    rows: MemberRows = ()


class HistoryQuery(TaggedStruct, tag="Recall"):
    """Asks a voter for the policy state with its history."""

    queried_ms: float = field(name="asked_ms")


class HistoryResponse(TaggedStruct, tag="History"):
    """The answer: the policy state as a snapshot carries it."""

    queried_ms: float = field(name="asked_ms")
    state: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)] = field(name="ledger")


MessageBody = (
    RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | RecoveryRequest
    | RecoveryResponse | ClockQuery | ClockReading | PrepareChange | PrepareResponse | PolicyQuery
    | PolicyNotification | PolicyAcknowledgement | LeaderRedirect | ChangeRequest | ChangeProgress
    | HistoryQuery | HistoryResponse
)  # fmt: skip


class MessageEnvelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its sender: fleet, name, and the token of the process."""

    version: int
    fleet: Name
    name: Name
    token: Number
    body: MessageBody


class MessageError(Exception):
    """Bytes that are no valid message; its text is one of a few reasons."""


_decoder = msgspec.msgpack.Decoder(MessageEnvelope)
_encoder = msgspec.msgpack.Encoder()


def label(message: TaggedStruct) -> str:
    """The message's name on the wire, by which messages are counted.

    >>> label(LeaderRedirect(leader=""))
    'Elsewhere'
    """
    return message.__struct_config__.tag


def encode_message(fleet: str, name: str, token: int, body: MessageBody) -> bytes:
    """The complete frame of a message. Raises MessageError where it is too long.

    >>> from ..wire.framing import Frames
    >>> data = encode_message("gateway", "front-1", 7, LeaderRedirect(leader="front-2"))
    >>> decode_message(next(Frames().feed(data))).body
    LeaderRedirect(leader='front-2')
    """
    envelope = MessageEnvelope(version=VERSION, fleet=fleet, name=name, token=token, body=body)
    try:
        return frame(_encoder.encode(envelope), MAX_MESSAGE_BYTES)
    except WireError as error:
        raise MessageError("too long") from error


def decode_message(payload: bytes) -> MessageEnvelope:
    """The message in a frame's payload. Raises MessageError."""
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as problem:
        raise MessageError("can't be read") from problem
    if envelope.version != VERSION:
        raise MessageError("version")
    return envelope
