"""The policy state to which the log's entries lead, without I/O: the versions, the change under way, and how
earlier changes ended. Voters apply committed entries to it; its JSON is what a snapshot carries."""

from __future__ import annotations

import msgspec
from msgspec import field

from .document import digest
from .log_entries import (
    ActivationTime,
    ChangeAbandoned,
    ChangeDecided,
    ChangeProposed,
    LogEntry,
    VotersChanged,
)

MAX_VERSIONS = 100  # the latest ones are kept, with their documents
MAX_TOTAL_DOCUMENT_LENGTH = 1 << 20  # characters of their documents; the last two are kept at any size
MIN_VERSIONS = 2
MAX_OUTCOMES = 200  # changes whose end is remembered


class PolicyVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the policy; 0 is what the settings say."""

    number: int
    document: str
    digest: str
    base: int
    by: str
    at: float
    proposal: str
    without: tuple[tuple[str, str], ...] = ()


class ChangeOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a change ended: `version` is 0 where it was abandoned."""

    proposal: str
    index: int
    version: int
    why: str


class PendingChange(msgspec.Struct, frozen=True, kw_only=True):
    """The change under way, with the index of its entry."""

    index: int
    proposed: ChangeProposed


class PolicyState(msgspec.Struct, frozen=True, kw_only=True):
    """The state after the entry `applied_index`."""

    applied_index: int = field(default=0, name="at")
    versions: tuple[PolicyVersion, ...] = ()
    outcomes: tuple[ChangeOutcome, ...] = field(default=(), name="settled")
    last_resolved_index: int = field(default=0, name="last_settled")  # of the last proposal that ended
    pending: PendingChange | None = None
    activations: tuple[ActivationTime, ...] = field(default=(), name="moments")  # of the present version
    voters: tuple[str, ...] = field(default=(), name="keepers")

    def present(self) -> PolicyVersion | None:
        """The version that holds; None where nothing was ever decided."""
        return self.versions[-1] if self.versions else None

    @property
    def version(self) -> int:
        """The number of the version that holds."""
        return self.versions[-1].number if self.versions else 0

    def outcome(self, proposal: str) -> ChangeOutcome | None:
        """How this change ended, if it has, and is remembered."""
        return next((outcome for outcome in self.outcomes if outcome.proposal == proposal), None)


def apply(state: PolicyState, index: int, entry: LogEntry) -> PolicyState:
    """The state after the entry at `index`; what does not fit it changes nothing but `applied_index`.

    >>> a = ChangeProposed(id="a", base=0, document="{}", base_document="{}", by="", at=0.0)
    >>> one = apply(PolicyState(), 1, LogEntry(term=1, what=a))
    >>> two = apply(one, 2, LogEntry(term=1, what=ChangeDecided(activations=(), without=())))
    >>> one.version, two.version, two.pending, two.outcome("a").version
    (0, 1, None, 1)
    """
    what = entry.what
    state = msgspec.structs.replace(state, applied_index=index)
    if isinstance(what, ChangeProposed):
        return _propose(state, index, what)
    if isinstance(what, VotersChanged):
        return msgspec.structs.replace(state, voters=what.names)
    if state.pending is None:
        return state
    if isinstance(what, ChangeDecided):
        return _decide(state, what)
    if isinstance(what, ChangeAbandoned):
        return _resolve(state, version=0, why=what.why)
    return state


def _propose(state: PolicyState, index: int, proposed: ChangeProposed) -> PolicyState:
    """Also a leader that checks badly must not make two changes at a time."""
    if state.pending is not None or proposed.base != state.version:
        return state
    return msgspec.structs.replace(state, pending=PendingChange(index=index, proposed=proposed))


def _decide(state: PolicyState, decided: ChangeDecided) -> PolicyState:
    proposed = state.pending.proposed
    versions = state.versions or (_initial_version(proposed),)
    new = PolicyVersion(
        number=state.version + 1,
        document=proposed.document,
        digest=digest(proposed.document),
        base=proposed.base,
        by=proposed.by,
        at=proposed.at,
        proposal=proposed.id,
        without=decided.without,
    )
    state = msgspec.structs.replace(
        state, versions=_latest((*versions, new)), activations=decided.activations
    )
    return _resolve(state, version=new.number, why="")


def _initial_version(proposed: ChangeProposed) -> PolicyVersion:
    document = proposed.base_document
    return PolicyVersion(
        number=0, document=document, digest=digest(document), base=0, by="", at=0.0, proposal=""
    )


def _resolve(state: PolicyState, version: int, why: str) -> PolicyState:
    """The pending change ends."""
    pending = state.pending
    outcome = ChangeOutcome(proposal=pending.proposed.id, index=pending.index, version=version, why=why)
    return msgspec.structs.replace(
        state,
        pending=None,
        outcomes=(*state.outcomes, outcome)[-MAX_OUTCOMES:],
        last_resolved_index=pending.index,
    )


def _latest(versions: tuple[PolicyVersion, ...]) -> tuple[PolicyVersion, ...]:
    """The versions that are kept: with large documents the state would outgrow the message that carries it to
    a new voter."""
    versions = versions[-MAX_VERSIONS:]
    size = 0
    for kept, version in enumerate(reversed(versions)):
        size += len(version.document)
        if size > MAX_TOTAL_DOCUMENT_LENGTH and kept >= MIN_VERSIONS:
            return versions[-kept:]
    return versions


def encode_state(state: PolicyState) -> bytes:
    """The state as a snapshot carries it."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> PolicyState:
    """The state of a snapshot; the first one where there is none. Raises msgspec.MsgspecError.

    >>> decode_state(encode_state(PolicyState(applied_index=3))).applied_index
    3
    """
    return msgspec.json.decode(data, type=PolicyState) if data else PolicyState()
