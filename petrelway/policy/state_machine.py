"""The replicated state machine of the policy, without I/O: the versions, the change under way, and the
outcomes of earlier changes. Voters apply committed entries to it; a snapshot contains it as JSON."""

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

MAX_VERSIONS = 100  # retained versions, with their documents; older ones are dropped
MAX_TOTAL_DOCUMENT_LENGTH = 1 << 20  # characters of the retained documents; the last two are kept at any size
MIN_VERSIONS = 2
MAX_OUTCOMES = 200  # retained outcomes of changes


class PolicyVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the policy; version 0 is the policy of the settings."""

    number: int
    document: str
    digest: str
    base: int
    by: str
    at: float
    proposal: str
    without: tuple[tuple[str, str], ...] = ()


class ChangeOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a change; `version` is 0 if it was abandoned."""

    proposal: str
    index: int
    version: int
    why: str


class PendingChange(msgspec.Struct, frozen=True, kw_only=True):
    """The change under way and the index of its log entry."""

    index: int
    proposed: ChangeProposed


class PolicyState(msgspec.Struct, frozen=True, kw_only=True):
    """The policy state after the entry at `applied_index`."""

    applied_index: int = field(default=0, name="at")
    versions: tuple[PolicyVersion, ...] = ()
    outcomes: tuple[ChangeOutcome, ...] = field(default=(), name="settled")
    last_resolved_index: int = field(default=0, name="last_settled")  # index of the last proposal that ended
    pending: PendingChange | None = None
    activations: tuple[ActivationTime, ...] = field(default=(), name="moments")  # of the current version
    voters: tuple[str, ...] = field(default=(), name="keepers")

    def present(self) -> PolicyVersion | None:
        """Return the current version, or None if no change was ever decided."""
        return self.versions[-1] if self.versions else None

    @property
    def version(self) -> int:
        """Return the number of the current version."""
        return self.versions[-1].number if self.versions else 0

    def outcome(self, proposal: str) -> ChangeOutcome | None:
        """Return the outcome of this change, or None if it has not ended or its outcome is no longer
        retained."""
        return next((outcome for outcome in self.outcomes if outcome.proposal == proposal), None)


def apply(state: PolicyState, index: int, entry: LogEntry) -> PolicyState:
    """Return the state after the entry at `index`. An entry that does not apply changes only `applied_index`.

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
    """Start a change, unless one is pending or its base is outdated: a faulty leader must not start two at
    once."""
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
        state, versions=_retained_versions((*versions, new)), activations=decided.activations
    )
    return _resolve(state, version=new.number, why="")


def _initial_version(proposed: ChangeProposed) -> PolicyVersion:
    document = proposed.base_document
    return PolicyVersion(
        number=0, document=document, digest=digest(document), base=0, by="", at=0.0, proposal=""
    )


def _resolve(state: PolicyState, version: int, why: str) -> PolicyState:
    """End the pending change with this outcome."""
    pending = state.pending
    outcome = ChangeOutcome(proposal=pending.proposed.id, index=pending.index, version=version, why=why)
    return msgspec.structs.replace(
        state,
        pending=None,
        outcomes=(*state.outcomes, outcome)[-MAX_OUTCOMES:],
        last_resolved_index=pending.index,
    )


def _retained_versions(versions: tuple[PolicyVersion, ...]) -> tuple[PolicyVersion, ...]:
    """Return the versions to retain. Without the limit on size, large documents would make the state exceed
    the message that carries it to a new voter."""
    versions = versions[-MAX_VERSIONS:]
    size = 0
    for kept, version in enumerate(reversed(versions)):
        size += len(version.document)
        if size > MAX_TOTAL_DOCUMENT_LENGTH and kept >= MIN_VERSIONS:
            return versions[-kept:]
    return versions


def encode_state(state: PolicyState) -> bytes:
    """Encode the state as it is stored in a snapshot."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> PolicyState:
    """Decode the state of a snapshot; empty data gives the initial state. Raises msgspec.MsgspecError.

    >>> decode_state(encode_state(PolicyState(applied_index=3))).applied_index
    3
    """
    return msgspec.json.decode(data, type=PolicyState) if data else PolicyState()
