"""Datagrams between front ends of different versions: the checked-in bytes are read, and written the same."""

import pytest
from forms_fleet_words import FILES, TOPIC, build, plain
from forms_policy_files import as_checked_in, load

from petrelway.membership import messages

MESSAGES = dict(load(TOPIC, "messages.json"))


@pytest.mark.parametrize("title, data", load(TOPIC, "datagrams.json"))
def test_each_datagram_is_read_and_written_as_checked_in(title, data):
    assert plain(messages.decode(data)) == MESSAGES[title]
    assert messages.encode(build(MESSAGES[title])) == data


def test_every_kind_and_state_is_pinned():
    """A new one needs a row."""
    kinds = {row[0] for row in MESSAGES.values()}
    states = {news[2] for row in MESSAGES.values() for news in row[8]}
    assert kinds == set(messages.MessageKind) and states == set(messages.MemberState)


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
