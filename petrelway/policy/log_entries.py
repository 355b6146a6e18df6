"""The entries of the policy log, and the state that a voter stores on its disk.

Class and field names of the first version are part of the wire, file and snapshot formats. Where the code
uses another name, `tag` or `name` keeps the original one.
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
    """A message or log entry, identified by its tag. Unknown fields, as later versions may add, are
    ignored."""


class ActivationTime(msgspec.Struct, frozen=True, kw_only=True):
    """When one process switches to a new policy, by its own clock: it uses the old policy before `stop_ms`
    and the new one from `start_ms` on. `token` identifies the process."""

    name: Name
    token: Number
    stop_ms: float
    start_ms: float


class TermStarted(TaggedStruct, tag="Opened"):
    """A no-op entry, the first one that a new leader appends."""


class ChangeProposed(TaggedStruct, tag="Proposed"):
    """Starts a change. `base_document` is the policy of the fleet's settings; it is recorded as version 0
    with the first change."""

    id: Name
    base: Number
    document: Document
    base_document: Document
    by: Name
    at: float  # s since the epoch, for operators
    without: MemberNames = ()


class ChangeDecided(TaggedStruct, tag="Decided"):
    """Adopts the pending change: the activation time of each process that accepted it, and for each other
    member the reason why the change proceeds without it."""

    activations: Annotated[tuple[ActivationTime, ...], Meta(max_length=MAX_MEMBERS)] = field(name="moments")
    without: MemberRows


class ChangeAbandoned(TaggedStruct, tag="Abandoned"):
    """Ends the pending change without effect."""

    why: Text


class VotersChanged(TaggedStruct, tag="Keepers"):
    """Replaces the set of voters, valid from this entry on."""

    names: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_VOTERS)]


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A log entry and the term of the leader that appended it."""

    term: Number
    what: TermStarted | ChangeProposed | ChangeDecided | ChangeAbandoned | VotersChanged


class PersistentState(NamedTuple):
    """The state on a voter's disk. `blank` is set until the voter may vote. `snapshot` is the policy state
    after the entry at `index`, and `entries` are those that follow it."""

    blank: bool = True
    term: int = 0
    voted: str = ""
    index: int = 0
    index_term: int = 0
    snapshot: bytes = b""
    entries: tuple[LogEntry, ...] = ()
