"""The policy document: the sections that operators change, its canonical form, and the differences between
two.

The command line creates and compares documents, voters store them, and the gateway reads the one in force.
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
READ_DOCUMENTS_KEPT = 4  # cached results of `stops`, which is called for the current document and the next


class Adoption(Strict):
    """How a front end that may be gone or partitioned is treated. *serve on*: it continues to serve under its
    policy, and no change is adopted without it. *stop*: it stops serving once it has received no answer for
    the duration of a lease, and after that a change proceeds without it."""

    silent: Literal["serve on", "stop"] = "serve on"


SECTIONS: dict[str, Any] = {**{name: SHAPES[name] for name in POLICY_SECTIONS}, "adoption": Adoption}


def digest(document: str) -> str:
    """Return the document's digest, by which members recognise a document that they already have.

    >>> digest("{}") == digest("{}") != digest("{ }"), len(digest("{}"))
    (True, 16)
    """
    return blake2b(document.encode(), digest_size=8).hexdigest()


@lru_cache(maxsize=READ_DOCUMENTS_KEPT)
def stops(document: str) -> bool:
    """Return whether a front end under this document stops when it receives no answer for the time of a
    lease.

    A leader calls this for each silent member at each answer. Parsing the document every time would make the
    cost of a change quadratic in the number of members, so results are cached.

    >>> stops('{"adoption":{"silent":"stop"}}'), stops("{}")
    (True, False)
    """
    return json.loads(document).get("adoption", {}).get("silent") == "stop"


def canonical(found: Mapping[str, Any]) -> str:
    """Return the policy in checked sections as a canonical document, with every default written out.

    >>> canonical({"tariffs": [], "functions": []})
    '{"adoption":{"silent":"serve on"},"customers":[],"functions":[],"permits":{"longest_retry_ms":1000.0,\
"second_copies":true,"transmissions":3,"withdraw":true},"tariffs":[]}'
    """
    complete = {"customers": [], "permits": CapabilitySettings(), "adoption": Adoption(), **found}
    tree = {name: msgspec.to_builtins(complete[name]) for name in SECTIONS}
    return json.dumps(tree, sort_keys=True, separators=(",", ":"))


def check(file: str, tree: dict[str, Any], settings: Mapping[str, Any]) -> dict[str, Any]:
    """Check a document against a front end's settings and return its sections with defaults added. Raises
    SettingsError."""
    found = sections(file, tree, SECTIONS, frozenset(("customers", "permits", "adoption")))
    found.setdefault("customers", [])
    found.setdefault("permits", CapabilitySettings())
    found.setdefault("adoption", Adoption())
    if problems := between({**settings, **found}):
        raise SettingsError(file, problems)
    return found


def read(document: str, settings: Mapping[str, Any]) -> dict[str, Any]:
    """Parse and check a JSON document, such as one received from another process. Raises SettingsError."""
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
    """Evaluate a Jsonnet file and return it as a canonical document. Raises SettingsError."""
    return canonical(check(file, evaluate(file), settings))


class Difference(NamedTuple):
    """One difference; `danger` is a warning of what may go wrong, or empty."""

    where: str
    before: str
    after: str
    danger: str = ""


# What may go wrong when a field's value decreases, increases or changes, by the field's name.
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
    """Return the differences between two documents, sections by name and items in document order.

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
            found.append(Difference(where, "nothing", _to_json(new[name])))
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
            found.append(Difference(f"{where}.{key}", _to_json(old), _to_json(new), _warning(key, old, new)))
    return found


def _warning(key: str, old: Any, new: Any) -> str:
    """Return what may go wrong because of this change of a field, or ""."""
    if key in CHANGE_WARNINGS:
        return CHANGE_WARNINGS[key]
    if isinstance(old, bool) or not isinstance(old, (int, float)) or not isinstance(new, (int, float)):
        return ""
    return (DECREASE_WARNINGS if new < old else INCREASE_WARNINGS).get(key, "")


def _to_json(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
