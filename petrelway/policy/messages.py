"""Policy messages between members and their encoding in frames, without I/O. Format: docs/policy.md.

A frame is a msgpack map of one of the messages below, with its sender. Messages do not depend on the
connection that carries them: one may be lost, delayed, duplicated or reordered, and each can be handled by
itself. Times are in ms of the clock of the process that the field names. Tags and field names on the wire are
those of the first version.
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
MAX_ENTRIES_PER_MESSAGE = 4  # each entry may contain two documents
NOT_QUERIED_MS = -1.0  # `queried_ms` of a notification that answers no query
Voters = Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]

# -- between voters


class RequestVote(TaggedStruct, tag="AskVote"):
    """A candidate's request for a vote; with `pre_vote` it only asks whether the vote would be granted."""

    term: Number
    last_index: Number
    last_term: Number
    pre_vote: bool = field(name="before")


class RequestVoteResponse(TaggedStruct, tag="Vote"):
    """The answer to RequestVote."""

    term: Number
    granted: bool = field(name="given")
    pre_vote: bool = field(name="before")


class AppendEntries(TaggedStruct, tag="Append"):
    """The leader's entries after `previous_index`, whose own entry has `previous_term`. `snapshot`, if
    present, covers everything up to `previous_index`. Without entries the message is a heartbeat. The
    response repeats `round`."""

    term: Number
    previous_index: Number = field(name="index")
    previous_term: Number = field(name="index_term")
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]
    leader_commit: Number = field(name="commit")
    round: Number
    snapshot: bytes = b""


class AppendEntriesResponse(TaggedStruct, tag="Appended"):
    """The answer to AppendEntries. `index`: the last entry known to match; without `success`, the
    last one that may match."""

    term: Number
    success: bool = field(name="done")
    index: Number
    round: Number
    age_ms: float  # uptime of the follower's process at the leader's last message


class RecoveryRequest(TaggedStruct, tag="Lost"):
    """A request of a voter that lost its file; the answers bound what it may have voted for."""

    term: Number
    nonce: Number


class RecoveryResponse(TaggedStruct, tag="Found"):
    """The answer to RecoveryRequest; `fresh`: this voter has never voted or stored an entry."""

    term: Number
    nonce: Number
    fresh: bool


# -- between the leader and members


class ClockQuery(TaggedStruct, tag="Look"):
    """The leader's request for the reading of a member's clock; `sent_ms` is by the leader's clock."""

    term: Number
    sent_ms: float


class ClockReading(TaggedStruct, tag="Seen"):
    """The answer to ClockQuery; `leaving`: the member is shutting down and admits no more requests."""

    term: Number
    sent_ms: float
    reading_ms: float
    leaving: bool = False


class PrepareChange(TaggedStruct, tag="Prepare"):
    """The leader's question whether a member can run under a document. A member that accepts promises to
    admit no request under its old policy from `promise_until_ms` of its own clock on, unless it has received
    the outcome."""

    term: Number
    index: Number  # of the proposal in the log
    version: Number
    base: Number
    base_digest: Name
    document: Document  # empty if the member has accepted it already
    token: Number
    promise_until_ms: float = field(name="by_ms")
    sent_ms: float


class PrepareResponse(TaggedStruct, tag="Ready"):
    """The answer to PrepareChange, with the reason for a refusal."""

    term: Number
    index: Number
    accepted: bool = field(name="yes")
    why: Text
    sent_ms: float
    reading_ms: float


class PolicyQuery(TaggedStruct, tag="Ask"):
    """A member's query for the policy in force. `queried_ms` is by its own clock; the answer repeats it."""

    queried_ms: float = field(name="asked_ms")
    version: Number
    leaving: bool = False


class PolicyNotification(TaggedStruct, tag="Told"):
    """The policy in force, as the leader sends it. `resolved_index`: the last proposal that ended;
    `activation`: when the member switches to this version, if it has an activation time; `queried_ms`: that
    of the query, or NOT_QUERIED_MS without one."""

    term: Number
    token: Number  # of the receiving process
    state_index: Number = field(name="at")
    resolved_index: Number = field(name="settled")
    version: Number
    digest: Name
    document: Document  # empty: the one in the settings, or one that the member has already
    voters: Voters = field(name="keepers")
    queried_ms: float = field(name="asked_ms")
    activation: ActivationTime | None = field(default=None, name="moment")


class PolicyAcknowledgement(TaggedStruct, tag="Under"):
    """A member's confirmation that it knows the policy in force after the entry `state_index` and runs under
    `version`."""

    term: Number
    state_index: Number = field(name="at")
    version: Number


class LeaderRedirect(TaggedStruct, tag="Elsewhere"):
    """The answer of a voter that does not lead: the leader to ask, or empty if none is known."""

    leader: Name


# -- operators' requests, passed on by a member


class ChangeRequest(TaggedStruct, tag="Propose"):
    """An operator's change, sent again until it is answered; requests with the same `id` are the same change.
    With `voters` it changes the voters instead of the document."""

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
    """The progress of a change; `rows`: the status of each member, by name."""

    id: Name
    state: Name  # "under way", "adopted", "abandoned", "refused"
    version: Number
    why: Text
    rows: MemberRows = ()


class HistoryQuery(TaggedStruct, tag="Recall"):
    """A request to a voter for the policy state with its history."""

    queried_ms: float = field(name="asked_ms")


class HistoryResponse(TaggedStruct, tag="History"):
    """The answer to HistoryQuery: the policy state, encoded as in a snapshot."""

    queried_ms: float = field(name="asked_ms")
    state: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)] = field(name="ledger")


MessageBody = (
    RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | RecoveryRequest
    | RecoveryResponse | ClockQuery | ClockReading | PrepareChange | PrepareResponse | PolicyQuery
    | PolicyNotification | PolicyAcknowledgement | LeaderRedirect | ChangeRequest | ChangeProgress
    | HistoryQuery | HistoryResponse
)  # fmt: skip


class MessageEnvelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its sender: fleet, member name, and the token of the process."""

    version: int
    fleet: Name
    name: Name
    token: Number
    body: MessageBody


class MessageError(Exception):
    """The bytes are not a valid message, or a message is too long. The text is one of a fixed set of
    reasons."""


_decoder = msgspec.msgpack.Decoder(MessageEnvelope)
_encoder = msgspec.msgpack.Encoder()


def label(message: TaggedStruct) -> str:
    """Return the message's name on the wire, under which messages are counted.

    >>> label(LeaderRedirect(leader=""))
    'Elsewhere'
    """
    return message.__struct_config__.tag


def encode_message(fleet: str, name: str, token: int, body: MessageBody) -> bytes:
    """Return the complete frame of a message. Raises MessageError if it is too long.

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
    """Decode the payload of a frame. Raises MessageError if it is not a valid message of this version."""
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as problem:
        raise MessageError("can't be read") from problem
    if envelope.version != VERSION:
        raise MessageError("version")
    return envelope
