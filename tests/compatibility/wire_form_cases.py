"""Reads and writes the checked-in outside forms of one topic.

`forms/<topic>/written.json` has the text of each form that the code writes, by name; `inputs.json` has the
forms that only others write, by hand; `decoded.json` has the plain values that either is read as. Values are
positional, so that they hold whatever the attributes of a message are called.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any

FORMS = Path(__file__).parent / "forms"


def load(topic: str, file: str) -> dict[str, Any]:
    """The forms of one file by name; none where a topic has no such file."""
    path = FORMS / topic / file
    return json.loads(path.read_text()) if path.exists() else {}


def texts(topic: str) -> dict[str, Any]:
    """All checked-in forms of a topic by name, whoever writes them."""
    return {**load(topic, "written.json"), **load(topic, "inputs.json")}


def write(topic: str, written: dict[str, Any], decode: Callable[[str, Any], Any]) -> None:
    """Writes `written.json` and `decoded.json` of a topic from the present code."""
    _save(topic, "written.json", written)
    decoded = {name: decode(name, text) for name, text in texts(topic).items()}
    _save(topic, "decoded.json", {name: values for name, values in decoded.items() if values is not None})


def _save(topic: str, file: str, forms: dict[str, Any]) -> None:
    lines = [f"{json.dumps(name)}: {json.dumps(form)}" for name, form in forms.items()]
    (FORMS / topic / file).write_text("{\n" + ",\n".join(lines) + "\n}\n")


def plain(value: Any) -> Any:
    """A value as JSON has it: bytes as hex, enumerations as numbers (their place where they have none)."""
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, (tuple, list)):
        return [plain(each) for each in value]
    return value


class Recorder:
    """Takes any call, keeps the arguments only; what is no method is read from `real`, if there is one."""

    def __init__(self, real: Any = None) -> None:
        self.calls: list[list[Any]] = []
        self.real = real

    def __getattr__(self, name: str) -> Any:
        found = getattr(self.real, name, None)
        if found is not None and not callable(found):
            return found
        return lambda *arguments: self.calls.append(list(arguments))
