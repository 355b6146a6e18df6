"""What front ends say to each other about terms, as bytes in frames, without I/O. Format: docs/policy.md.

A frame is a msgpack map of one of the shapes below, with who says it; its connection is a way and no more:
a word may be lost, late, doubled or out of order, and each is understood by itself. Times are ms of the clock
of the process that the field names.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from ..wire.framing import WireError, frame

VERSION = 1
WORD_BOUND = 4 << 20  # bytes of one word
DOCUMENT_BOUND = 256 << 10  # bytes of one document
MEMBERS_BOUND = 5000
ENTRIES_MOST = 4  # entries in one word: each may have two documents
Name = Annotated[str, Meta(max_length=200)]
Text = Annotated[str, Meta(max_length=2000)]
Document = Annotated[str, Meta(max_length=DOCUMENT_BOUND)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]


class Shape(msgspec.Struct, frozen=True, tag=True, kw_only=True, forbid_unknown_fields=False):
    """Fields that a later version may add are passed over."""


class Moment(msgspec.Struct, frozen=True, kw_only=True):
    """When one process changes over, by its own clock: the old terms are used before `stop_ms`, the new ones
    from `start_ms` on; `token` names the process."""

    name: Name
    token: Number
    stop_ms: float
    start_ms: float


# -- entries of the history


class Opened(Shape):
    """A new leader's first entry."""


class Proposed(Shape):
    """A change is under way. `base_document` is what the fleet ran under by its own settings, told with the
    first change."""

    id: Name
    base: Number
    document: Document
    base_document: Document
    by: Name
    at: float  # s since the epoch, for people
    without: Annotated[tuple[Name, ...], Meta(max_length=MEMBERS_BOUND)] = ()


class Decided(Shape):
    """It takes hold; when, for each process that said yes, and why it goes on without the others."""

    moments: Annotated[tuple[Moment, ...], Meta(max_length=MEMBERS_BOUND)]
    without: Annotated[tuple[tuple[Name, Text], ...], Meta(max_length=MEMBERS_BOUND)]


class Abandoned(Shape):
    why: Text


class Keepers(Shape):
    """Who keeps the history from here on."""

    names: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=9)]


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    term: Number
    what: Opened | Proposed | Decided | Abandoned | Keepers


# -- between keepers


class AskVote(Shape):
    term: Number
    last_index: Number
    last_term: Number
    before: bool  # only asks whether a vote would be given


class Vote(Shape):
    term: Number
    given: bool
    before: bool


class Append(Shape):
    """Entries after `index`, where the leader has an entry of `index_term`; with `snapshot`, all up to there.
    No entries: only that the leader is there. `round` is answered."""

    term: Number
    index: Number
    index_term: Number
    entries: Annotated[tuple[Entry, ...], Meta(max_length=ENTRIES_MOST)]
    commit: Number
    round: Number
    snapshot: bytes = b""


class Appended(Shape):
    """`index`: the last one that is surely alike; where not `done`, the last one that may be."""

    term: Number
    done: bool
    index: Number
    round: Number
    age_ms: float  # of the keeper's process


class Lost(Shape):
    """A keeper without a file of its own asks what it may have promised."""

    term: Number
    nonce: Number


class Found(Shape):
    term: Number
    nonce: Number
    fresh: bool  # nothing was ever promised or kept there


# -- between leader and members


class Look(Shape):
    """What does your clock say? `sent_ms` by the leader's clock."""

    term: Number
    sent_ms: float


class Seen(Shape):
    term: Number
    sent_ms: float
    reading_ms: float
    leaving: bool = False  # it takes nothing any more, and ends


class Prepare(Shape):
    """Could you run under this? Whoever says yes promises to take nothing under its old terms from `by_ms` of
    its own clock on, unless it is told what became of it."""

    term: Number
    index: Number  # of the proposal
    version: Number
    base: Number
    base_digest: Name
    document: Document  # empty where the member has said yes to it
    token: Number
    by_ms: float
    sent_ms: float


class Ready(Shape):
    term: Number
    index: Number
    yes: bool
    why: Text
    sent_ms: float
    reading_ms: float


class Ask(Shape):
    """What holds now? `asked_ms` by the member's clock, given back in the answer."""

    asked_ms: float
    version: Number
    leaving: bool = False


class Told(Shape):
    """What holds. `settled`: the last proposal that came to an end; `moment`: when to change over, if that is
    still to come; `asked_ms` of the question, -1 where nobody asked."""

    term: Number
    token: Number  # of the process that it is for
    at: Number
    settled: Number
    version: Number
    digest: Name
    document: Document  # empty: that of the settings, or one that the member has
    keepers: Annotated[tuple[Name, ...], Meta(max_length=9)]
    asked_ms: float
    moment: Moment | None = None


class Under(Shape):
    """The member has heard what holds after the entry `at`, and runs under this version."""

    term: Number
    at: Number
    version: Number


class Elsewhere(Shape):
    """Ask this one; empty: nobody leads."""

    leader: Name


# -- an operator's words, by way of a member


class Propose(Shape):
    """Sent again until it is answered; the same `id` is the same change. `keepers` in place of a document
    changes who keeps the history."""

    id: Name
    base: Number
    document: Document
    base_document: Document
    by: Name
    at: float
    without: Annotated[tuple[Name, ...], Meta(max_length=MEMBERS_BOUND)] = ()
    keepers: Annotated[tuple[Name, ...], Meta(max_length=9)] = ()
    abandon: bool = False


class Progress(Shape):
    """How a proposal stands; `rows`: of each member, what is known of it."""

    id: Name
    state: Name  # "under way", "adopted", "abandoned", "refused"
    version: Number
    why: Text
    rows: Annotated[tuple[tuple[Name, Text], ...], Meta(max_length=MEMBERS_BOUND)] = ()


class Recall(Shape):
    """The history, please."""

    asked_ms: float


class History(Shape):
    asked_ms: float
    ledger: Annotated[bytes, Meta(max_length=WORD_BOUND)]


Body = (
    AskVote | Vote | Append | Appended | Lost | Found | Look | Seen | Prepare | Ready | Ask | Told | Under
    | Elsewhere | Propose | Progress | Recall | History
)  # fmt: skip


class Said(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A word with who says it: fleet, name, and the token of the process."""

    version: int
    fleet: Name
    name: Name
    token: Number
    body: Body


class MessageError(Exception):
    """Bytes that are no word of ours; its text is a reason out of a few."""


_read, _write = msgspec.msgpack.Decoder(Said), msgspec.msgpack.Encoder()


def write(fleet: str, name: str, token: int, body: Body) -> bytes:
    """A whole frame.

    >>> from ..wire.framing import Frames
    >>> data = write("gateway", "front-1", 7, Elsewhere(leader="front-2"))
    >>> read(next(Frames().feed(data))).body
    Elsewhere(leader='front-2')
    """
    said = Said(version=VERSION, fleet=fleet, name=name, token=token, body=body)
    try:
        return frame(_write.encode(said), WORD_BOUND)
    except WireError as fault:
        raise MessageError("too long") from fault


def read(payload: bytes) -> Said:
    """Raises MessageError."""
    try:
        said = _read.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as problem:
        raise MessageError("can't be read") from problem
    if said.version != VERSION:
        raise MessageError("version")
    return said


class Kept(NamedTuple):
    """What a keeper has on its disk: `blank` until it may vote; entries follow `index`, where the ledger
    stands as `snapshot`."""

    blank: bool = True
    term: int = 0
    voted: str = ""
    index: int = 0
    index_term: int = 0
    snapshot: bytes = b""
    entries: tuple[Entry, ...] = ()
