"""A policy as one document: the sections that operators change, its canonical form, what differs between two.

The command line makes and compares documents, voters keep them, and the gateway reads what holds.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Any, Literal, NamedTuple

import msgspec

from ..settings.front import SHAPES, CapabilitySettings, Strict, between
from ..settings.reading import SettingsError, SettingsProblem, evaluate, sections

POLICY_SECTIONS = ("tariffs", "customers", "permits", "functions")
READ_DOCUMENTS_KEPT = 4  # answers kept of `stops`: a process asks about the present document and the next one


class Adoption(Strict):
    """What becomes of a front end that may be gone or cut off. *serve on*: it goes on under its policy, and
    no change is made without it. *stop*: it stops when it has heard nothing for a while, and a change goes on
    without it after that."""

    silent: Literal["serve on", "stop"] = "serve on"


SECTIONS: dict[str, Any] = {**{name: SHAPES[name] for name in POLICY_SECTIONS}, "adoption": Adoption}


def digest(document: str) -> str:
    """The document's digest, by which members tell whether they have it.

    >>> digest("{}") == digest("{}") != digest("{ }"), len(digest("{}"))
    (True, 16)
    """
    return blake2b(document.encode(), digest_size=8).hexdigest()


@lru_cache(maxsize=READ_DOCUMENTS_KEPT)
def stops(document: str) -> bool:
    """Whether a front end under this document stops when it has heard nothing for long.

    A leader asks for each silent member at each answer: parsed each time, a change would cost it the square
    of the members.

    >>> stops('{"adoption":{"silent":"stop"}}'), stops("{}")
    (True, False)
    """
    return json.loads(document).get("adoption", {}).get("silent") == "stop"


def canonical(found: Mapping[str, Any]) -> str:
    """The policy among checked sections, each default written out, in one form.

    >>> canonical({"tariffs": [], "functions": []})
    '{"adoption":{"silent":"serve on"},"customers":[],"functions":[],"permits":{"longest_retry_ms":1000.0,\
"second_copies":true,"transmissions":3,"withdraw":true},"tariffs":[]}'
    """
    complete = {"customers": [], "permits": CapabilitySettings(), "adoption": Adoption(), **found}
    tree = {name: msgspec.to_builtins(complete[name]) for name in SECTIONS}
    return json.dumps(tree, sort_keys=True, separators=(",", ":"))


def check(file: str, tree: dict[str, Any], settings: Mapping[str, Any]) -> dict[str, Any]:
    """The document's sections as a front end with these settings would run under them. Raises
    SettingsError."""
    found = sections(file, tree, SECTIONS, frozenset(("customers", "permits", "adoption")))
    found.setdefault("customers", [])
    found.setdefault("permits", CapabilitySettings())
    found.setdefault("adoption", Adoption())
    if problems := between({**settings, **found}):
        raise SettingsError(file, problems)
    return found


def read(document: str, settings: Mapping[str, Any]) -> dict[str, Any]:
    """A document that came from elsewhere. Raises SettingsError."""
    try:
        tree = json.loads(document)
    except ValueError as problem:
        raise SettingsError("policy", [SettingsProblem("(document)", str(problem), "JSON")]) from problem
    if not isinstance(tree, dict):
        raise SettingsError(
            "policy", [SettingsProblem("(document)", type(tree).__name__, "an object of sections")]
        )
    return check("policy", tree, settings)


def read_file(file: str, settings: Mapping[str, Any]) -> str:
    """A Jsonnet file as a canonical document. Raises SettingsError."""
    return canonical(check(file, evaluate(file), settings))


class Difference(NamedTuple):
    """One thing that differs; `danger` says what may go wrong, where something may."""

    where: str
    before: str
    after: str
    danger: str = ""


# What may go wrong where a field becomes less, or more, or other; by its name in the document.
DECREASE_WARNINGS = {
    "outer_ms": "answers that would have been in time are broken off",
    "quoted_ms": "answers in time become late ones",
    "rate": "what this customer sends over it is no longer within its share",
    "portion": "what this customer sends over it is no longer within its share",
    "transmissions": "fewer further tries",
}
INCREASE_WARNINGS = {"rate": "cold executors may be sent more: can they carry it?"}
CHANGE_WARNINGS = {
    "effect": "what may run twice changes",
    "scope": "where a repeat is dropped changes",
    "window_ms": "how long a repeat is dropped changes",
}


def differences(before: str, after: str) -> list[Difference]:
    """What differs between two documents, in their order.

    >>> one = '{"tariffs":[{"name":"quick","outer_ms":500.0}]}'
    >>> differences(one, one.replace("500", "400"))[0].where
    'tariffs[quick].outer_ms'
    >>> differences(one, '{"tariffs":[]}')[0].danger
    'triggers that name it are refused'
    """
    tree_before = json.loads(before)
    tree_after = json.loads(after)
    found: list[Difference] = []
    for section in sorted({*tree_before, *tree_after}):
        old = tree_before.get(section, {})
        new = tree_after.get(section, {})
        if isinstance(old, list) or isinstance(new, list):
            found += _list_differences(section, old or [], new or [])
        else:
            found += _field_differences(section, old, new)
    return found


def _list_differences(section: str, before: list[dict], after: list[dict]) -> list[Difference]:
    old = {item["name"]: item for item in before}
    new = {item["name"]: item for item in after}
    found = []
    for name in [*old, *(name for name in new if name not in old)]:
        where = f"{section}[{name}]"
        if name not in new:
            found.append(Difference(where, "there", "dropped", "triggers that name it are refused"))
        elif name not in old:
            found.append(Difference(where, "nothing", _plain(new[name])))
        else:
            found += _field_differences(where, old[name], new[name])
    old_order = [name for name in old if name in new]
    new_order = [name for name in new if name in old]
    if section == "functions" and old_order != new_order:
        found.append(Difference(section, "one order", "another order", "the first pattern that fits decides"))
    return found


def _field_differences(where: str, before: dict, after: dict) -> list[Difference]:
    found = []
    for key in sorted({*before, *after}):
        old = before.get(key)
        new = after.get(key)
        if old != new:
            found.append(Difference(f"{where}.{key}", _plain(old), _plain(new), _danger(key, old, new)))
    return found


def _danger(key: str, old: Any, new: Any) -> str:
    """What may go wrong by this change of a field, or nothing."""
    if key in CHANGE_WARNINGS:
        return CHANGE_WARNINGS[key]
    if isinstance(old, bool) or not isinstance(old, (int, float)) or not isinstance(new, (int, float)):
        return ""
    return (DECREASE_WARNINGS if new < old else INCREASE_WARNINGS).get(key, "")


def _plain(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
