"""The entries of the policy log, and what a voter stores of it on its disk.

Class names and field names of the first version are outside forms (wire, file, snapshot): `tag` and `name`
keep them where the code uses another name.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, field

MAX_DOCUMENT_LENGTH = 256 << 10  # characters of one document
MAX_MEMBERS = 5000
MAX_VOTERS = 9
Name = Annotated[str, Meta(max_length=200)]
Text = Annotated[str, Meta(max_length=2000)]
Document = Annotated[str, Meta(max_length=MAX_DOCUMENT_LENGTH)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
MemberNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_MEMBERS)]
MemberRows = Annotated[tuple[tuple[Name, Text], ...], Meta(max_length=MAX_MEMBERS)]


class TaggedStruct(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """A message or an entry, distinguished by its tag. Fields that a later version may add are ignored."""


class ActivationTime(msgspec.Struct, frozen=True, kw_only=True):
    """When one process changes over, by its own clock: the old policy is used before `stop_ms`, the new one
    from `start_ms` on; `token` identifies the process."""

    name: Name
    token: Number
    stop_ms: float
    start_ms: float


class TermStarted(TaggedStruct, tag="Opened"):
    """A new leader's first entry, which changes nothing."""


class ChangeProposed(TaggedStruct, tag="Proposed"):
    """A change begins. `base_document` is what the fleet ran under by its own settings, sent with the first
    change."""

    id: Name
    base: Number
    document: Document
    base_document: Document
    by: Name
    at: float  # s since the epoch, for operators
    without: MemberNames = ()


class ChangeDecided(TaggedStruct, tag="Decided"):
    """The change takes hold: when, for each process that accepted it; why it goes on without the others."""

    activations: Annotated[tuple[ActivationTime, ...], Meta(max_length=MAX_MEMBERS)] = field(name="moments")
    without: MemberRows


class ChangeAbandoned(TaggedStruct, tag="Abandoned"):
    """The change ends without effect."""

    why: Text


class VotersChanged(TaggedStruct, tag="Keepers"):
    """The voters from here on."""

    names: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_VOTERS)]


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry with the term of the leader that appended it."""

    term: Number
    what: TermStarted | ChangeProposed | ChangeDecided | ChangeAbandoned | VotersChanged


class PersistentState(NamedTuple):
    """What a voter has on its disk: `blank` until it may vote; entries follow `index`, where the policy state
    stands as `snapshot`."""

    blank: bool = True
    term: int = 0
    voted: str = ""
    index: int = 0
    index_term: int = 0
    snapshot: bytes = b""
    entries: tuple[LogEntry, ...] = ()
