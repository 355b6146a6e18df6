"""A keeper's file outlives the program: one that is checked in is read, and written anew the same."""

import shutil

import pytest
from forms_policy_files import as_checked_in, load
from forms_policy_store import FILES, FLEET, TOPIC, WHOLE_FILE, read_file, seen_by_sqlite, write_file

from petrelway.policy.raft_storage import RaftStorage, StorageError

RECORDS = load(TOPIC, "records.json")


@pytest.fixture
def copied(tmp_path):
    """A copy of the checked-in file."""
    return shutil.copy(WHOLE_FILE, tmp_path / "keeper.sqlite")


def test_the_checked_in_file_is_read_to_the_last_record(copied):
    *_, last = RECORDS[-1]
    assert read_file(copied) == last


def test_the_checked_in_file_is_left_as_it_is_by_reading(copied):
    read_file(copied)
    assert copied.read_bytes() == WHOLE_FILE.read_bytes()


def test_a_file_written_anew_has_the_same_schema_and_rows(copied, tmp_path):
    new = tmp_path / "new.sqlite"
    write_file(new, len(RECORDS))
    assert seen_by_sqlite(new) == seen_by_sqlite(copied)


def test_a_file_of_another_member_is_put_aside_under_the_known_name(copied):
    with pytest.raises(StorageError, match=r"it is put aside as keeper\.sqlite\.aside-1$"):
        RaftStorage(str(copied), FLEET, "front-2")
    assert not copied.exists()
    assert copied.with_name("keeper.sqlite.aside-1").read_bytes() == WHOLE_FILE.read_bytes()


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
