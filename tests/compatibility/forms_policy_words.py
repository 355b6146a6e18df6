"""Policy messages and the state that a snapshot carries, as the present code reads and writes them.

Objects are built by decoding plain trees, so that nothing here names a field.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import msgspec
from forms_policy_files import load
from msgspec import inspect

from petrelway.policy import log_entries, messages, state_machine

TOPIC = "policy_words"
FRAME_HEADER_BYTES = 4
MODULES = (log_entries, messages, state_machine)


def plain_messages() -> list[list[Any]]:
    """Titles and messages as trees of outside keys."""
    return load(TOPIC, "messages.json")


def rewritten(payload: bytes) -> bytes:
    """The frame that the code writes for the message that it reads in a payload."""
    said = messages.decode_message(payload)
    return messages.encode_message(said.fleet, said.name, said.token, said.body)


def frames() -> list[list[Any]]:
    """Each message of the table as a whole frame."""
    return [[title, rewritten(msgspec.msgpack.encode(tree))] for title, tree in plain_messages()]


def texts() -> list[list[Any]]:
    """Each message as JSON: the console takes and gives some of them so."""
    found = []
    for title, tree in plain_messages():
        said = messages.decode_message(msgspec.msgpack.encode(tree))
        found.append([title, msgspec.json.encode(said).decode()])
    return found


def ledgers() -> list[list[Any]]:
    """Each ledger of the table as the bytes of a snapshot."""
    return [
        [title, state_machine.encode_state(state_machine.decode_state(json.dumps(tree).encode())).decode()]
        for title, tree in load(TOPIC, "ledger.json")
    ]


def decoded() -> list[Any]:
    """The objects that all fixtures are read as."""
    found: list[Any] = [messages.decode_message(msgspec.msgpack.encode(tree)) for _, tree in plain_messages()]
    found += [state_machine.decode_state(text.encode()) for _, text in ledgers()]
    return found


def structs_within(value: Any) -> Iterator[msgspec.Struct]:
    """The struct and all that it holds."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = msgspec.structs.astuple(value)
    if isinstance(value, tuple):
        for item in value:
            yield from structs_within(item)


def concrete_structs() -> set[type]:
    """The structs of the modules, but for those that others derive from."""
    found = {
        thing
        for module in MODULES
        for thing in vars(module).values()
        if isinstance(thing, type) and issubclass(thing, msgspec.Struct)
    }
    return {struct for struct in found if not struct.__subclasses__()}


def described(told: inspect.Type) -> Any:
    """A type as both ends see it: tags, keys, what may be left out, bounds."""
    if isinstance(told, inspect.Metadata):
        return described(told.type)
    if isinstance(told, inspect.StructType):
        fields = [
            [field.encode_name, field.required, repr(field.default), described(field.type)]
            for field in told.fields
        ]
        return [
            "struct", told.tag_field, told.tag, told.array_like, told.forbid_unknown_fields, fields
        ]  # fmt: skip
    if isinstance(told, inspect.UnionType):
        return ["union", sorted((described(kind) for kind in told.types), key=json.dumps)]
    if isinstance(told, inspect.VarTupleType):
        return ["list", told.min_length, told.max_length, described(told.item_type)]
    if isinstance(told, inspect.TupleType):
        return ["row", [described(kind) for kind in told.item_types]]
    if isinstance(told, (inspect.StrType, inspect.BytesType)):
        return [type(told).__name__, told.min_length, told.max_length]
    if isinstance(told, (inspect.IntType, inspect.FloatType)):
        return [type(told).__name__, told.ge, told.gt, told.le, told.lt]
    return type(told).__name__


def shapes() -> list[Any]:
    """Every struct as both ends see it, in an order that does not hang on names of the code."""
    rows = [described(inspect.type_info(struct)) for struct in concrete_structs()]
    return sorted(rows, key=json.dumps)


def bounds() -> list[Any]:
    """The numbers that both ends must agree about."""
    return [
        [
            messages.VERSION,
            messages.MAX_MESSAGE_BYTES,
            log_entries.MAX_DOCUMENT_LENGTH,
            log_entries.MAX_MEMBERS,
            messages.MAX_ENTRIES_PER_MESSAGE,
        ],
        [state_machine.MAX_VERSIONS, state_machine.MAX_TOTAL_DOCUMENT_LENGTH, state_machine.MAX_OUTCOMES],
    ]


FILES = {
    "frames.json": frames,
    "texts.json": texts,
    "ledgers.json": ledgers,
    "shapes.json": shapes,
    "bounds.json": bounds,
}
