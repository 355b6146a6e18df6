"""How an outside form is written down: a line for each place in a JSON value, with its type and words."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

FORMS = Path(__file__).parent / "forms"
WORD_BOUND = 80  # characters of a text that are compared
HEXADECIMAL = re.compile(r"\b(?=[0-9a-f]*\d)[0-9a-f]{8,}\b")
NUMBER = re.compile(r"\d+(\.\d+)?")
NUMBERED_NAME = re.compile(r"-\d+")


def outline(value: Any, path: str = "") -> Iterator[str]:
    """The keys, types and words of a JSON value. Numbers inside texts stand as `#`."""
    if isinstance(value, dict):
        yield f"{path}: object"
        for key, inner in value.items():
            yield from outline(inner, f"{path}.{NUMBERED_NAME.sub('-#', key)}")
    elif isinstance(value, list | tuple):
        yield f"{path}: array"
        for inner in value:
            yield from outline(inner, f"{path}[]")
    elif isinstance(value, str):
        word = NUMBER.sub("#", HEXADECIMAL.sub("#", value))[:WORD_BOUND]
        yield f"{path}: text {json.dumps(word)}"
    else:
        yield f"{path}: {'null' if value is None else type(value).__name__}"


def outline_lines(value: Any) -> list[str]:
    """The outline without repeats, in order."""
    return sorted(set(outline(value)))


def record_lines(lines: Iterable[dict[str, Any]]) -> list[str]:
    """The outline of a record: each kind of line apart, since each has keys of its own."""
    found = {form for line in lines for form in outline(line, str(line["k"]))}
    return sorted(found)


def write_form(topic: str, name: str, value: Any) -> None:
    """Check a form in, as JSON that shows its changes line by line."""
    text = json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True) + "\n"
    (FORMS / topic / f"{name}.json").write_text(text, encoding="utf-8")


def read_form(topic: str, name: str) -> Any:
    """A form as it was checked in."""
    return json.loads((FORMS / topic / f"{name}.json").read_text(encoding="utf-8"))
