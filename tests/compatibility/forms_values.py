"""What the pinned forms share: where the fixtures lie, and how types and values become plain JSON.

Class names and Python names never enter a fixture, so that a rename inside the program leaves them alone.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

FORMS = Path(__file__).parent / "forms"
ROOT = Path(__file__).parents[2]


def read_form(name: str) -> Any:
    """A fixture's content."""
    return json.loads((FORMS / name).read_text("utf-8"))


def write_form(name: str, value: Any) -> None:
    """Write a fixture, the keys in the order of the value."""
    path = FORMS / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n", "utf-8")


def as_json(value: Any) -> Any:
    """A value as it looks after it was written as JSON and read again, under its encoded names."""
    return json.loads(json.dumps(msgspec.to_builtins(value)))


def type_form(shape: Any) -> Any:
    """The JSON form of a type: keys, bounds, choices, whether required, and defaults."""
    return as_json(_node_form(inspect.type_info(shape)))


def _node_form(node: Any) -> Any:
    if isinstance(node, inspect.Metadata):
        return _node_form(node.type)
    if isinstance(node, inspect.StructType):
        keys = {field.encode_name: _field_form(field) for field in node.fields}
        return {"kind": "object", "unknown keys refused": node.forbid_unknown_fields, "keys": keys}
    if isinstance(node, inspect.EnumType):
        return {"kind": "choice", "values": [member.value for member in node.cls]}
    if isinstance(node, inspect.Type):
        told = {name: _node_form(value) for name, value in msgspec.structs.asdict(node).items()}
        bounds = {name: value for name, value in told.items() if value is not None}
        return {"kind": type(node).__name__, **bounds}
    if isinstance(node, tuple):
        return [_node_form(part) for part in node]
    return node


def _field_form(field: inspect.Field) -> dict[str, Any]:
    form: dict[str, Any] = {"required": field.required, "type": _node_form(field.type)}
    if field.default is not msgspec.NODEFAULT:
        form["default"] = msgspec.to_builtins(field.default)
    elif field.default_factory is not msgspec.NODEFAULT:
        form["default"] = msgspec.to_builtins(field.default_factory())
    return form


def key_tree(value: Any) -> Any:
    """The keys of a JSON value without its figures; the elements of a list are taken together."""
    if isinstance(value, dict):
        return {key: key_tree(part) for key, part in sorted(value.items())}
    if isinstance(value, list):
        together: dict[str, Any] = {}
        for part in value:
            if isinstance(part, dict):
                together.update(key_tree(part))
        return [dict(sorted(together.items()))] if together else []
    return None
