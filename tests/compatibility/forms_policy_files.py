"""Where the checked-in forms of fleet and policy stand, and how they are read and written.

Every fixture is JSON with one row a line. Bytes stand as {"hex": TEXT}.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

FORMS = Path(__file__).parent / "forms"
HEX = "hex"


def load(topic: str, name: str) -> Any:
    """A checked-in form, with bytes in place of their hex texts."""
    return with_bytes(json.loads((FORMS / topic / name).read_text()))


def save(topic: str, name: str, rows: list[Any]) -> None:
    """Check a form in, one row a line, so that a change shows in the row that it touches."""
    lines = ",\n".join(json.dumps(without_bytes(row)) for row in rows)
    (FORMS / topic / name).write_text(f"[\n{lines}\n]\n")


def with_bytes(tree: Any) -> Any:
    """The tree with each {"hex": TEXT} as bytes."""
    if isinstance(tree, list):
        return [with_bytes(item) for item in tree]
    if isinstance(tree, dict):
        if tree.keys() == {HEX}:
            return bytes.fromhex(tree[HEX])
        return {key: with_bytes(item) for key, item in tree.items()}
    return tree


def without_bytes(tree: Any) -> Any:
    """The tree as JSON can hold it: lists in place of tuples, bytes as {"hex": TEXT}."""
    if isinstance(tree, (list, tuple)):
        return [without_bytes(item) for item in tree]
    if isinstance(tree, dict):
        return {key: without_bytes(item) for key, item in tree.items()}
    if isinstance(tree, bytes):
        return {HEX: tree.hex()}
    return tree


def as_checked_in(tree: Any) -> Any:
    """What `load` would give for a tree that `save` wrote."""
    return with_bytes(json.loads(json.dumps(without_bytes(tree))))
