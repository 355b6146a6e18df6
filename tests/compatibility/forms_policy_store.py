"""A keeper's file as the present code writes it, after each of a row of records."""

from __future__ import annotations

import json
import sqlite3
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from forms_policy_files import FORMS, load

from petrelway.policy import log_entries, raft_storage

TOPIC = "policy_store"
FLEET, NAME = "gateway", "front-1"
PRAGMAS = ("application_id", "user_version", "encoding", "auto_vacuum", "journal_mode")
WHOLE_FILE = FORMS / TOPIC / "keeper.sqlite"  # after the last of the records


def build(row: list[Any]) -> log_entries.PersistentState:
    """A record of its values, by position."""
    *head, snapshot, entries = row
    told = msgspec.json.decode(json.dumps(entries), type=tuple[log_entries.LogEntry, ...])
    return log_entries.PersistentState(*head, snapshot.encode(), told)


def plain(kept: log_entries.PersistentState) -> list[Any]:
    """The values of a record, by position."""
    *head, snapshot, entries = kept
    return [*head, snapshot.decode(), json.loads(msgspec.json.encode(entries))]


def write_file(file: Path, records: int) -> None:
    """A new keeper's file that has been told the first records of the table."""
    keeper = raft_storage.RaftStorage(str(file), FLEET, NAME)
    for _, since, row in load(TOPIC, "records.json")[:records]:
        keeper.persist(build(row), since)
    keeper.close()


def read_file(file: Path) -> list[Any]:
    """What the code finds in a keeper's file."""
    keeper = raft_storage.RaftStorage(str(file), FLEET, NAME)
    keeper.close()
    return plain(keeper.stored)


def seen_by_sqlite(file: Path) -> list[Any]:
    """What any other program finds in the file: settings that are stored, and all tables as SQL."""
    db = sqlite3.connect(file)
    try:
        settings = [db.execute(f"PRAGMA {name}").fetchone()[0] for name in PRAGMAS]
        schema = db.execute("SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY name").fetchall()
        return [settings, schema, list(db.iterdump())]
    finally:
        db.close()


def states() -> list[list[Any]]:
    """After each record, the first being none: what SQLite sees, and what the code reads back."""
    found = []
    for records in range(len(load(TOPIC, "records.json")) + 1):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "keeper.sqlite")
            write_file(file, records)
            found.append([records, seen_by_sqlite(file), read_file(file)])
    return found


def bounds() -> list[Any]:
    """What marks a file as a keeper's, and how many may be put aside."""
    return [[raft_storage.APPLICATION_ID, raft_storage.FORMAT, raft_storage.MAX_FILES_PUT_ASIDE]]


FILES = {"states.json": states, "bounds.json": bounds}
