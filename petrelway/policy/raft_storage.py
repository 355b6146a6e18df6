"""A keeper's file: SQLite, synced before anything is said. Its format is specified in docs/policy-file.md."""

from __future__ import annotations

import os
import sqlite3
from hashlib import blake2b
from pathlib import Path

import msgspec

from .messages import Entry, Kept

APPLICATION_ID = 0x70726C77  # "prlw"
FORMAT = 1
ASIDE_BOUND = 100  # files put aside beside it
SCHEMA = """
CREATE TABLE head (id INTEGER PRIMARY KEY CHECK (id = 1), fleet TEXT NOT NULL, name TEXT NOT NULL,
    blank INTEGER NOT NULL, term INTEGER NOT NULL, voted TEXT NOT NULL, snap_index INTEGER NOT NULL,
    snap_term INTEGER NOT NULL, snapshot BLOB NOT NULL, digest BLOB NOT NULL) STRICT;
CREATE TABLE entry (number INTEGER PRIMARY KEY, body BLOB NOT NULL, digest BLOB NOT NULL) STRICT;
"""


class StorageError(Exception):
    """The file can't be used; its text says which, why, and where it is now."""


def after(old: Kept, new: Kept, since: int) -> Kept:
    """What is on the disk once `new` is kept, whose entries follow `since`; 0: it is all there is.

    >>> e = lambda term: Entry(term=term, what=Opened())
    >>> from .messages import Opened
    >>> one = after(Kept(), Kept(term=1, entries=(e(1), e(1))), 0)
    >>> [x.term for x in after(one, Kept(term=2, entries=(e(2),)), 1).entries]
    [1, 2]
    """
    if not since:
        return new
    return new._replace(snapshot=old.snapshot, entries=(*old.entries[: since - old.index], *new.entries))


class Store:
    """One keeper's file, held open and locked."""

    def __init__(self, file: str, fleet: str, name: str) -> None:
        """Opens or makes it. Raises StorageError where it can't be used as it is: another fleet's or member's,
        of a version that this program does not know, damaged, in use. It is put aside then, but for the last,
        and never written over: whoever starts again starts without a file, and may not vote until it has
        asked the other keepers."""
        self.file, self.fleet, self.name = Path(file), fleet, name
        try:
            self.db = sqlite3.connect(self.file, isolation_level=None, timeout=0.5)
        except sqlite3.Error as problem:
            raise StorageError(f"{file}: {problem}") from problem
        try:
            self._check()
        except _Unfit as unfit:
            self.db.close()
            raise StorageError(f"{file}: {unfit}; it is put aside as {self._aside()}") from unfit
        except sqlite3.DatabaseError as problem:
            self.db.close()
            if "locked" in str(problem) or isinstance(problem, sqlite3.OperationalError):
                raise StorageError(f"{file}: {problem}") from problem
            raise StorageError(
                f"{file}: damaged ({problem}); it is put aside as {self._aside()}"
            ) from problem

    def _check(self) -> None:
        db = self.db
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        db.execute("PRAGMA journal_mode = DELETE")
        db.execute("PRAGMA synchronous = EXTRA")
        if db.execute("PRAGMA synchronous").fetchone()[0] != 3:
            raise StorageError(f"{self.file}: this SQLite does not sync what it keeps")
        db.execute("BEGIN EXCLUSIVE")
        try:
            self._check_inside()
        except BaseException:
            db.execute("ROLLBACK")
            raise
        db.execute("COMMIT")
        self.kept = self._read()

    def _check_inside(self) -> None:
        db = self.db
        application = db.execute("PRAGMA application_id").fetchone()[0]
        version = db.execute("PRAGMA user_version").fetchone()[0]
        tables = [row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        if not tables and not application:
            for statement in SCHEMA.split(";")[:-1]:
                db.execute(statement)
            db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
            db.execute(f"PRAGMA user_version = {FORMAT}")
            self._write_head(Kept())
            return
        if application != APPLICATION_ID:
            raise _Unfit("found a file of another program; allowed: a keeper's file, or none")
        if version != FORMAT:
            raise _Unfit(f"found format {version}; allowed: {FORMAT}")
        if (found := db.execute("PRAGMA integrity_check").fetchone()[0]) != "ok":
            raise _Unfit(f"damaged ({found})")
        row = db.execute("SELECT fleet, name FROM head").fetchone()
        if row is None or tuple(row) != (self.fleet, self.name):
            found = f"that of {row[1]!r} in fleet {row[0]!r}" if row else "no head"
            raise _Unfit(f"found {found}; allowed: that of {self.name!r} in fleet {self.fleet!r}")

    def _read(self) -> Kept:
        fleet, name, blank, term, voted, index, index_term, snapshot, told = self.db.execute(
            "SELECT * FROM head"
        ).fetchone()[1:]
        if told != _head_digest(fleet, name, blank, term, voted, index, index_term, snapshot):
            raise _Unfit("damaged (the head's digest)")
        entries = []
        for number, body, told in self.db.execute("SELECT number, body, digest FROM entry ORDER BY number"):
            if number != index + len(entries) + 1 or told != _digest(str(number).encode(), body):
                raise _Unfit(f"damaged (entry {number})")
            try:
                entries.append(msgspec.json.decode(body, type=Entry))
            except msgspec.MsgspecError as problem:
                raise _Unfit(f"damaged (entry {number}: {problem})") from problem
        return Kept(bool(blank), term, voted, index, index_term, snapshot, tuple(entries))

    def keep(self, kept: Kept, since: int) -> None:
        """Returns when it is on the disk. Raises sqlite3.Error where it could not be kept; the file has then
        what it had before."""
        db = self.db
        db.execute("BEGIN IMMEDIATE")
        try:
            db.execute("DELETE FROM entry WHERE number > ?", (since,))
            if not since:
                db.execute("DELETE FROM entry")
            first = since or kept.index
            for number, entry in enumerate(kept.entries, first + 1):
                body = msgspec.json.encode(entry)
                digest = _digest(str(number).encode(), body)
                db.execute("INSERT INTO entry VALUES (?, ?, ?)", (number, body, digest))
            self._write_head(after(self.kept, kept, since))
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise
        self.kept = after(self.kept, kept, since)

    def _write_head(self, k: Kept) -> None:
        values = (self.fleet, self.name, int(k.blank), k.term, k.voted, k.index, k.index_term, k.snapshot)
        self.db.execute("INSERT OR REPLACE INTO head VALUES (1, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                        (*values, _head_digest(*values)))  # fmt: skip

    def _aside(self) -> str:
        for number in range(1, ASIDE_BOUND):
            place = self.file.with_name(f"{self.file.name}.aside-{number}")
            if not place.exists():
                os.rename(self.file, place)
                return place.name
        raise StorageError(f"{self.file}: {ASIDE_BOUND} files were put aside already")

    def close(self) -> None:
        self.db.close()


class _Unfit(Exception):
    """What was found, and what is allowed."""


def _digest(*parts: bytes) -> bytes:
    return blake2b(b"\0".join(parts), digest_size=16).digest()


def _head_digest(fleet, name, blank, term, voted, index, index_term, snapshot) -> bytes:
    return _digest(*(str(x).encode() for x in (fleet, name, blank, term, voted, index, index_term)), snapshot)
