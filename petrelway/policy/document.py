"""A policy: the terms that operators change, as one document, without I/O; what differs between two."""

from __future__ import annotations

import json
from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Any, Literal, NamedTuple

import msgspec

from ..settings.front import SHAPES, CapabilitySettings, Strict, between
from ..settings.reading import SettingsError, SettingsProblem, evaluate, sections

TERMS = ("tariffs", "customers", "permits", "functions")
READ_DOCUMENTS_KEPT = 4  # answers kept of `stops`: a process asks about the present document and the next one


class Adoption(Strict):
    """What becomes of a front end of which it can't be told whether it is gone or cut off. *serve on*: it
    goes on under its terms, and no change is made without it. *stop*: it stops when it has heard nothing
    for a while, and a change goes on without it after that."""

    silent: Literal["serve on", "stop"] = "serve on"


SECTIONS: dict[str, Any] = {**{name: SHAPES[name] for name in TERMS}, "adoption": Adoption}


def digest(document: str) -> str:
    """
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
    """The terms among checked sections, each default written out, in one form.

    >>> canonical({"tariffs": [], "functions": []})
    '{"adoption":{"silent":"serve on"},"customers":[],"functions":[],"permits":{"longest_retry_ms":1000.0,\
"second_copies":true,"transmissions":3,"withdraw":true},"tariffs":[]}'
    """
    some = {"customers": [], "permits": CapabilitySettings(), "adoption": Adoption(), **found}
    tree = {name: msgspec.to_builtins(some[name]) for name in SECTIONS}
    return json.dumps(tree, sort_keys=True, separators=(",", ":"))


def check(file: str, tree: dict[str, Any], settings: Mapping[str, Any]) -> dict[str, Any]:
    """The document's sections as a front end with these settings would run under them. Raises
    SettingsError."""
    found = sections(file, tree, SECTIONS, frozenset(("customers", "permits", "adoption")))
    found.setdefault("customers", [])
    found.setdefault("permits", CapabilitySettings())
    found.setdefault("adoption", Adoption())
    if faults := between({**settings, **found}):
        raise SettingsError(file, faults)
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


DECREASE_WARNINGS = {
    "outer_ms": "answers that would have been in time are broken off",
    "quoted_ms": "answers in time become late ones",
    "rate": "what this customer sends over it is no longer within its share",
    "portion": "what this customer sends over it is no longer within its share",
    "transmissions": "fewer further tries",
}
INCREASE_WARNINGS = {"rate": "cold executors may be sent more: can they carry it?"}
CHANGE_WARNINGS = {"effect": "what may run twice changes", "scope": "where a repeat is dropped changes",
           "window_ms": "how long a repeat is dropped changes"}  # fmt: skip


def differences(before: str, after: str) -> list[Difference]:
    """What differs between two documents, in their order.

    >>> one = '{"tariffs":[{"name":"quick","outer_ms":500.0}]}'
    >>> differences(one, one.replace("500", "400"))[0].where
    'tariffs[quick].outer_ms'
    >>> differences(one, '{"tariffs":[]}')[0].danger
    'triggers that name it are refused'
    """
    one, two = json.loads(before), json.loads(after)
    found: list[Difference] = []
    for section in sorted({*one, *two}):
        a, b = one.get(section, {}), two.get(section, {})
        if isinstance(a, list) or isinstance(b, list):
            found += _lists(section, a or [], b or [])
        else:
            found += _fields(section, a, b)
    return found


def _lists(section: str, one: list[dict], two: list[dict]) -> list[Difference]:
    a, b = ({each["name"]: each for each in some} for some in (one, two))
    found = []
    for name in [*a, *(n for n in b if n not in a)]:
        where = f"{section}[{name}]"
        if name not in b:
            found.append(Difference(where, "there", "dropped", "triggers that name it are refused"))
        elif name not in a:
            found.append(Difference(where, "nothing", _plain(b[name])))
        else:
            found += _fields(where, a[name], b[name])
    same = [n for n in a if n in b], [n for n in b if n in a]
    if section == "functions" and same[0] != same[1]:
        found.append(Difference(section, "one order", "another order", "the first pattern that fits decides"))
    return found


def _fields(where: str, a: dict, b: dict) -> list[Difference]:
    found = []
    for key in sorted({*a, *b}):
        if (old := a.get(key)) == (new := b.get(key)):
            continue
        danger = CHANGE_WARNINGS.get(key, "")
        if isinstance(old, (int, float)) and isinstance(new, (int, float)) and not isinstance(old, bool):
            danger = danger or (DECREASE_WARNINGS if new < old else INCREASE_WARNINGS).get(key, "")
        found.append(Difference(f"{where}.{key}", _plain(old), _plain(new), danger))
    return found


def _plain(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
