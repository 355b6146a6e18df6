"""Policy messages between front ends of different versions: the checked-in bytes are read, and written the
same."""

import msgspec
import pytest
from forms_policy_files import as_checked_in, load
from forms_policy_words import (
    FILES,
    FRAME_HEADER_BYTES,
    TOPIC,
    concrete_structs,
    decoded,
    rewritten,
    structs_within,
)

from petrelway.policy import messages, state_machine

MESSAGES = dict(load(TOPIC, "messages.json"))


@pytest.mark.parametrize("title, frame", load(TOPIC, "frames.json"))
def test_each_frame_is_read_and_written_as_checked_in(title, frame):
    payload = frame[FRAME_HEADER_BYTES:]
    assert msgspec.msgpack.decode(payload) == MESSAGES[title]
    assert rewritten(payload) == frame


@pytest.mark.parametrize("title, text", load(TOPIC, "texts.json"))
def test_each_message_is_read_and_written_as_json(title, text):
    said = messages.decode_message(msgspec.msgpack.encode(MESSAGES[title]))
    assert msgspec.json.decode(text, type=type(said)) == said
    assert msgspec.json.encode(said).decode() == text


@pytest.mark.parametrize("title, text", load(TOPIC, "ledgers.json"))
def test_each_ledger_is_read_and_written_as_checked_in(title, text):
    assert msgspec.json.decode(text) == dict(load(TOPIC, "ledger.json"))[title]
    assert state_machine.encode_state(state_machine.decode_state(text.encode())).decode() == text


def test_every_struct_is_pinned_with_each_optional_field_set():
    """A new struct or field needs a row that tells it."""
    instances = [struct for value in decoded() for struct in structs_within(value)]
    assert concrete_structs() <= {type(struct) for struct in instances}
    for struct in concrete_structs():
        values = zip(
            *(msgspec.structs.astuple(one) for one in instances if type(one) is struct), strict=False
        )
        for field, told in zip(msgspec.structs.fields(struct), values, strict=False):
            assert field.required or any(value != field.default for value in told), (struct, field)


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
