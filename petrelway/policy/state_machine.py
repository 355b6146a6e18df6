"""What the entries of the history come to, pure: the versions, the change under way, how proposals ended."""

from __future__ import annotations

import msgspec

from .document import digest
from .messages import Abandoned, Decided, Entry, Keepers, Moment, Proposed

VERSIONS_KEPT = 100  # the latest ones, with their documents
DOCUMENTS_BOUND = 1 << 20  # characters of their documents; the present and the last one are kept whatever
SETTLED_KEPT = 200  # proposals whose end is remembered


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the terms; 0 is what the settings say."""

    number: int
    document: str
    digest: str
    base: int
    by: str
    at: float
    proposal: str
    without: tuple[tuple[str, str], ...] = ()


class Settled(msgspec.Struct, frozen=True, kw_only=True):
    """How a proposal ended: `version` 0 where it was abandoned."""

    proposal: str
    index: int
    version: int
    why: str


class Pending(msgspec.Struct, frozen=True, kw_only=True):
    index: int
    proposed: Proposed


class Ledger(msgspec.Struct, frozen=True, kw_only=True):
    """The state after the entry `at`."""

    at: int = 0
    versions: tuple[Version, ...] = ()
    settled: tuple[Settled, ...] = ()
    last_settled: int = 0  # index of the last proposal that ended
    pending: Pending | None = None
    moments: tuple[Moment, ...] = ()  # of the present version
    keepers: tuple[str, ...] = ()

    def present(self) -> Version | None:
        return self.versions[-1] if self.versions else None

    @property
    def version(self) -> int:
        return self.versions[-1].number if self.versions else 0

    def ended(self, proposal: str) -> Settled | None:
        return next((s for s in self.settled if s.proposal == proposal), None)


def apply(ledger: Ledger, index: int, entry: Entry) -> Ledger:
    """The ledger after the entry at `index`; what does not fit it changes nothing but `at`.

    >>> a = Proposed(id="a", base=0, document="{}", base_document="{}", by="", at=0.0)
    >>> one = apply(Ledger(), 1, Entry(term=1, what=a))
    >>> two = apply(one, 2, Entry(term=1, what=Decided(moments=(), without=())))
    >>> one.version, two.version, two.pending, two.ended("a").version
    (0, 1, None, 1)
    """
    what, ledger = entry.what, msgspec.structs.replace(ledger, at=index)
    pending = ledger.pending
    if isinstance(what, Proposed):
        if pending is not None or what.base != ledger.version:
            return ledger  # danger: a leader that checks badly must not make two changes at a time
        return msgspec.structs.replace(ledger, pending=Pending(index=index, proposed=what))
    if isinstance(what, Keepers):
        return msgspec.structs.replace(ledger, keepers=what.names)
    if pending is None:
        return ledger
    p = pending.proposed
    if isinstance(what, Decided):
        versions = ledger.versions or (
            Version(number=0, document=p.base_document, digest=digest(p.base_document), base=0, by="", at=0.0,
                    proposal=""),
        )  # fmt: skip
        new = Version(
            number=ledger.version + 1, document=p.document, digest=digest(p.document), base=p.base, by=p.by,
            at=p.at, proposal=p.id, without=what.without,
        )  # fmt: skip
        end = Settled(proposal=p.id, index=pending.index, version=new.number, why="")
        return msgspec.structs.replace(
            ledger, versions=_latest((*versions, new)), moments=what.moments, pending=None,
            settled=(*ledger.settled, end)[-SETTLED_KEPT:], last_settled=pending.index,
        )  # fmt: skip
    if isinstance(what, Abandoned):
        end = Settled(proposal=p.id, index=pending.index, version=0, why=what.why)
        return msgspec.structs.replace(
            ledger, pending=None, settled=(*ledger.settled, end)[-SETTLED_KEPT:], last_settled=pending.index
        )
    return ledger


def _latest(versions: tuple[Version, ...]) -> tuple[Version, ...]:
    """Danger: with large documents the state would outgrow the word that carries it to a new keeper."""
    versions, size = versions[-VERSIONS_KEPT:], 0
    for kept, version in enumerate(reversed(versions)):
        size += len(version.document)
        if size > DOCUMENTS_BOUND and kept >= 2:
            return versions[-kept:]
    return versions


def write(ledger: Ledger) -> bytes:
    return msgspec.json.encode(ledger)


def read(data: bytes) -> Ledger:
    """Raises msgspec.MsgspecError.

    >>> read(write(Ledger(at=3))).at
    3
    """
    return msgspec.json.decode(data, type=Ledger) if data else Ledger()
