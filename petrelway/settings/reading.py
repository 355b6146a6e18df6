"""Jsonnet files to checked sections. Each section has a shape of its own; no record holds them all."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import _jsonnet
import msgspec

FILE_BOUND = 4 << 20  # bytes of one file, and of what it evaluates to


class SettingsProblem(NamedTuple):
    """One thing wrong: where, what was found, what is allowed."""

    path: str
    found: str
    allowed: str


class SettingsError(Exception):
    """All that is wrong in one file; its text has one line a fault."""

    def __init__(self, file: str, faults: list[SettingsProblem]) -> None:
        super().__init__(
            "\n".join(f"{file}: {f.path}: found {f.found}; allowed: {f.allowed}" for f in faults)
        )
        self.file, self.faults = file, faults


def evaluate(file: str | Path, overrides: Mapping[str, str] | None = None) -> dict[str, Any]:
    """The object that a Jsonnet file gives. `overrides` become external variables. Raises SettingsError."""
    name = str(file)
    try:
        if Path(file).stat().st_size > FILE_BOUND:
            raise SettingsError(
                name, [SettingsProblem("(file)", "a larger file", f"{FILE_BOUND} bytes at most")]
            )
        text = _jsonnet.evaluate_file(name, ext_vars=dict(overrides or {}), max_stack=200)
    except OSError as error:
        raise SettingsError(
            name, [SettingsProblem("(file)", error.strerror or str(error), "a file that can be read")]
        ) from error
    except RuntimeError as error:
        lines = [line.strip() for line in str(error).strip().splitlines()]
        where = lines[1].split("\t")[0] if len(lines) > 1 else "(template)"
        raise SettingsError(
            name, [SettingsProblem(where, lines[0], "a Jsonnet template that evaluates")]
        ) from error
    if len(text) > FILE_BOUND:
        raise SettingsError(
            name, [SettingsProblem("(file)", f"{len(text)} bytes evaluated", f"{FILE_BOUND} at most")]
        )
    tree = json.loads(text)
    if not isinstance(tree, dict):
        raise SettingsError(name, [SettingsProblem("(file)", type(tree).__name__, "an object of sections")])
    return tree


def sections(
    file: str, tree: dict[str, Any], shapes: Mapping[str, Any], optional: frozenset[str] = frozenset()
) -> dict[str, Any]:
    """Each section in its shape; a missing optional one is left out. Raises SettingsError with all faults."""
    faults, found = [], {}
    for name in tree:
        if name not in shapes:
            faults.append(
                SettingsProblem(name, "a section of that name", "one of " + ", ".join(sorted(shapes)))
            )
    for name, shape in shapes.items():
        if name not in tree:
            if name not in optional:
                faults.append(SettingsProblem(name, "nothing", f"a section of this shape: {_plain(shape)}"))
            continue
        try:
            found[name] = msgspec.convert(tree[name], shape)
        except msgspec.ValidationError as error:
            faults.append(_fault(name, tree[name], str(error)))
    if faults:
        raise SettingsError(file, faults)
    return found


def _fault(section: str, tree: Any, text: str) -> SettingsProblem:
    message, _, path = text.partition(" - at `$")
    path = path.rstrip("`")
    value = tree
    for step in re.findall(r"\[(\d+)\]|\.([^.\[]+)", path):
        try:
            value = value[int(step[0])] if step[0] else value[step[1]]
        except (KeyError, IndexError, TypeError):
            break
    if unknown := re.search(r"contains unknown field `(.+?)`", message):
        return SettingsProblem(
            f"{section}{path}", f"the key {unknown[1]!r}", "the keys that the operators' page lists"
        )
    if missing := re.search(r"missing required field `(.+?)`", message):
        return SettingsProblem(f"{section}{path}.{missing[1]}", "nothing", "a value: the key is required")
    allowed = message.split(", got ")[0].removeprefix("Expected ").replace("`", "")
    return SettingsProblem(f"{section}{path}", json.dumps(value)[:80], allowed)


def _plain(shape: Any) -> str:
    return getattr(shape, "__name__", str(shape).replace("petrelway.settings.", ""))
