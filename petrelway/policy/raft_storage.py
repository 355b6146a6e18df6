"""A voter's file, which stores its vote and its log: an SQLite database, synced before any message that
depends on its content is sent. Format: docs/policy-file.md.
"""

from __future__ import annotations

import os
import sqlite3
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from .log_entries import LogEntry, PersistentState

APPLICATION_ID = 0x70726C77  # "prlw"
FORMAT = 1
SYNCHRONOUS_EXTRA = 3  # value of PRAGMA synchronous when EXTRA is in effect
LOCK_TIMEOUT_S = 0.5
MAX_FILES_PUT_ASIDE = 100  # unusable files that are kept, renamed, in the same folder
SCHEMA = """
CREATE TABLE head (id INTEGER PRIMARY KEY CHECK (id = 1), fleet TEXT NOT NULL, name TEXT NOT NULL,
    blank INTEGER NOT NULL, term INTEGER NOT NULL, voted TEXT NOT NULL, snap_index INTEGER NOT NULL,
    snap_term INTEGER NOT NULL, snapshot BLOB NOT NULL, digest BLOB NOT NULL) STRICT;
CREATE TABLE entry (number INTEGER PRIMARY KEY, body BLOB NOT NULL, digest BLOB NOT NULL) STRICT;
"""


class StorageError(Exception):
    """The file can't be used. The message names the file, the reason, and its new name if it was renamed."""


def updated_state(old: PersistentState, new: PersistentState, after_index: int) -> PersistentState:
    """Return the state on disk after `new`, with entries after `after_index`, is written; 0: `new` replaces
    all.

    >>> from .log_entries import TermStarted
    >>> entry = lambda term: LogEntry(term=term, what=TermStarted())
    >>> one = updated_state(PersistentState(), PersistentState(term=1, entries=(entry(1), entry(1))), 0)
    >>> two = updated_state(one, PersistentState(term=2, entries=(entry(2),)), 1)
    >>> [each.term for each in two.entries]
    [1, 2]
    """
    if not after_index:
        return new
    kept = old.entries[: after_index - old.index]
    return new._replace(snapshot=old.snapshot, entries=(*kept, *new.entries))


class RaftStorage:
    """One voter's file, kept open and locked."""

    def __init__(self, file: str, fleet: str, name: str) -> None:
        """Open or create the file.

        Raises StorageError if the file can't be used: it belongs to another fleet or member, has an unknown
        format, is damaged, or is in use. Unless it is in use, it is renamed (put aside) and never
        overwritten. The next start then begins without a file, and the node may not vote until it has asked
        the other voters."""
        self.file = Path(file)
        self.fleet = fleet
        self.name = name
        try:
            self.db = sqlite3.connect(self.file, isolation_level=None, timeout=LOCK_TIMEOUT_S)
        except sqlite3.Error as problem:
            raise StorageError(f"{file}: {problem}") from problem
        try:
            self._open()
        except _UnusableFileError as unusable:
            self.db.close()
            raise StorageError(f"{file}: {unusable}; it is put aside as {self._put_aside()}") from unusable
        except sqlite3.DatabaseError as problem:
            self.db.close()
            if "locked" in str(problem) or isinstance(problem, sqlite3.OperationalError):
                raise StorageError(f"{file}: {problem}") from problem
            aside = self._put_aside()
            raise StorageError(f"{file}: damaged ({problem}); it is put aside as {aside}") from problem

    def _open(self) -> None:
        db = self.db
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        db.execute("PRAGMA journal_mode = DELETE")
        db.execute("PRAGMA synchronous = EXTRA")
        if self._pragma("synchronous") != SYNCHRONOUS_EXTRA:
            raise StorageError(f"{self.file}: this SQLite library lacks PRAGMA synchronous = EXTRA")
        db.execute("BEGIN EXCLUSIVE")
        try:
            self._initialize_or_check()
        except BaseException:
            db.execute("ROLLBACK")
            raise
        db.execute("COMMIT")
        self.stored = self._read()

    def _pragma(self, name: str) -> Any:
        return self.db.execute(f"PRAGMA {name}").fetchone()[0]

    def _initialize_or_check(self) -> None:
        application = self._pragma("application_id")
        version = self._pragma("user_version")
        tables = self.db.execute("SELECT name FROM sqlite_master WHERE type = 'table'").fetchall()
        if not tables and not application:
            self._initialize()
            return
        if application != APPLICATION_ID:
            raise _UnusableFileError("found a file of another program; allowed: a voter's file, or no file")
        if version != FORMAT:
            raise _UnusableFileError(f"found format {version}; allowed: {FORMAT}")
        found = self._pragma("integrity_check")
        if found != "ok":
            raise _UnusableFileError(f"damaged ({found})")
        row = self.db.execute("SELECT fleet, name FROM head").fetchone()
        if row is None or tuple(row) != (self.fleet, self.name):
            found = f"that of {row[1]!r} in fleet {row[0]!r}" if row else "no head"
            raise _UnusableFileError(f"found {found}; allowed: that of {self.name!r} in fleet {self.fleet!r}")

    def _initialize(self) -> None:
        for statement in SCHEMA.split(";")[:-1]:
            self.db.execute(statement)
        self.db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        self.db.execute(f"PRAGMA user_version = {FORMAT}")
        self._write_head(PersistentState())

    def _read(self) -> PersistentState:
        """Return the stored state. Raises _UnusableFileError if a digest or an entry is wrong."""
        *values, stored_digest = self.db.execute("SELECT * FROM head").fetchone()[1:]
        if stored_digest != _head_digest(*values):
            raise _UnusableFileError("damaged (the head's digest)")
        _, _, blank, term, voted, index, index_term, snapshot = values
        entries: list[LogEntry] = []
        rows = self.db.execute("SELECT number, body, digest FROM entry ORDER BY number")
        for number, body, stored_digest in rows:
            expected_number = index + len(entries) + 1
            if number != expected_number or stored_digest != _entry_digest(number, body):
                raise _UnusableFileError(f"damaged (entry {number})")
            try:
                entries.append(msgspec.json.decode(body, type=LogEntry))
            except msgspec.MsgspecError as problem:
                raise _UnusableFileError(f"damaged (entry {number}: {problem})") from problem
        return PersistentState(bool(blank), term, voted, index, index_term, snapshot, tuple(entries))

    def persist(self, new: PersistentState, after_index: int) -> None:
        """Write `new`, whose entries follow `after_index`; the data is on disk when this returns. Raises
        sqlite3.Error if writing fails; the file then has its previous content."""
        db = self.db
        updated = updated_state(self.stored, new, after_index)
        db.execute("BEGIN IMMEDIATE")
        try:
            db.execute("DELETE FROM entry WHERE number > ?", (after_index,))
            if not after_index:
                db.execute("DELETE FROM entry")
            for number, entry in enumerate(new.entries, (after_index or new.index) + 1):
                body = msgspec.json.encode(entry)
                db.execute("INSERT INTO entry VALUES (?, ?, ?)", (number, body, _entry_digest(number, body)))
            self._write_head(updated)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise
        self.stored = updated

    def _write_head(self, state: PersistentState) -> None:
        values = (
            self.fleet,
            self.name,
            int(state.blank),
            state.term,
            state.voted,
            state.index,
            state.index_term,
            state.snapshot,
        )
        statement = "INSERT OR REPLACE INTO head VALUES (1, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
        self.db.execute(statement, (*values, _head_digest(*values)))

    def _put_aside(self) -> str:
        """Rename the file and return its new name."""
        for number in range(1, MAX_FILES_PUT_ASIDE):
            place = self.file.with_name(f"{self.file.name}.aside-{number}")
            if not place.exists():
                os.rename(self.file, place)
                return place.name
        raise StorageError(f"{self.file}: {MAX_FILES_PUT_ASIDE} files were put aside already")

    def close(self) -> None:
        """Close the file and release its lock."""
        self.db.close()


class _UnusableFileError(Exception):
    """The file is unusable. The message says what was found and what is allowed."""


def _digest(*parts: bytes) -> bytes:
    return blake2b(b"\0".join(parts), digest_size=16).digest()


def _entry_digest(number: int, body: bytes) -> bytes:
    return _digest(str(number).encode(), body)


def _head_digest(
    fleet: str, name: str, blank: int, term: int, voted: str, index: int, index_term: int, snapshot: bytes
) -> bytes:
    fields = (fleet, name, blank, term, voted, index, index_term)
    return _digest(*(str(value).encode() for value in fields), snapshot)
