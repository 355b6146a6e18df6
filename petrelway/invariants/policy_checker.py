"""Judges the record of a fleet whose terms were changed: everywhere or nowhere. Imports nothing of it.

Lines: `took` (fe, version, digest, t): a request taken; `change` (id, base, state, version): how a proposal
ended, as its operator was told; `vouched` (fe, t): an operator said that it is gone; `history` (rows of
number, base, digest, proposal): what the keepers say at the end.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

APART_MS = 50.0  # two front ends may differ by this in when they change over


class Violation(NamedTuple):
    statement: str
    who: str
    what: str


def judge(lines: Iterable[Mapping[str, Any]], apart_ms: float = APART_MS) -> list[Violation]:
    """What is broken. A front end that an operator vouched for is not judged from then on.

    >>> a = {"k": "took", "fe": "a", "version": 0, "digest": "x", "t": 100.0}
    >>> history = {"k": "history", "rows": [[0, 0, "x", ""], [1, 0, "y", "p"]]}
    >>> b = {**a, "fe": "b", "version": 1, "digest": "y", "t": 40.0}
    >>> [x.statement for x in judge([a, b, history])], judge([a, {**b, "t": 60.0}, history])
    (['apart'], [])
    """
    lines = list(lines)
    vouched: dict[str, float] = {}
    for x in lines:
        if x["k"] == "vouched":
            vouched[x["fe"]] = min(x["t"], vouched.get(x["fe"], x["t"]))
    takes = [x for x in lines if x["k"] == "took" and x["t"] < vouched.get(x["fe"], float("inf"))]
    return [*_apart(takes, apart_ms), *_history(lines, takes)]


def _apart(takes: list[Mapping[str, Any]], apart_ms: float) -> Iterable[Violation]:
    """No request is taken under a version once one was taken under a later one, but for `apart_ms`."""
    first: dict[int, Mapping[str, Any]] = {}
    last: dict[int, Mapping[str, Any]] = {}
    for x in takes:
        v = x["version"]
        if v not in first or x["t"] < first[v]["t"]:
            first[v] = x
        if v not in last or x["t"] > last[v]["t"]:
            last[v] = x
    versions = sorted(first)
    for i, old in enumerate(versions):
        for new in versions[i + 1 :]:
            over = last[old]["t"] - first[new]["t"]
            if over > apart_ms:
                yield Violation(
                    "apart", last[old]["fe"],
                    f"took a trigger under version {old} {over:.0f} ms after {first[new]['fe']} took one"
                    f" under version {new}",
                )  # fmt: skip


def _history(lines: list[Mapping[str, Any]], takes: list[Mapping[str, Any]]) -> Iterable[Violation]:
    histories = [x["rows"] for x in lines if x["k"] == "history"]
    if not histories:
        yield Violation("kept", "", "no history was told at the end")
        return
    rows = histories[-1]
    digests = {row[0]: row[2] for row in rows}
    numbers = [row[0] for row in rows]
    if numbers != list(range(numbers[0] if numbers else 0, (numbers[0] if numbers else 0) + len(numbers))):
        yield Violation("kept", "", f"versions in the history: {numbers}")
    for number, base, _, _ in rows[1:]:
        if base != number - 1:
            yield Violation("kept", "", f"version {number} was made from version {base}")
    said: dict[tuple[int, str], str] = {}
    for x in takes:
        said.setdefault((x["version"], x["digest"]), x["fe"])
    for (version, digest), fe in said.items():
        if version and numbers and version < numbers[0]:
            continue  # older than what is kept
        if (version or digests) and digests.get(version) != digest:
            yield Violation("nowhere", fe, f"took triggers under version {version} ({digest}), "
                            "which was never adopted")  # fmt: skip
    by = {row[3]: row for row in rows if row[3]}
    for x in lines:
        if x["k"] == "change" and x["state"] == "adopted":
            row = by.get(x["id"])
            if row is None or (row[0], row[1]) != (x["version"], x["base"]):
                yield Violation("kept", "", f"change {x['id']} was said to be adopted, and the history has"
                                         f" {row}")  # fmt: skip
        elif x["k"] == "change" and x["state"] in ("abandoned", "refused") and x["id"] in by:
            yield Violation("nowhere", "", f"change {x['id']} was said to be {x['state']}, and is version"
                                        f" {by[x['id']][0]}")  # fmt: skip
