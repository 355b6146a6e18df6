"""Policy documents: the one form, its digest, and differences as operators see them."""

from __future__ import annotations

import json
from typing import Any

from forms_policy_files import FORMS, load

from petrelway.commands.policy import read_terms
from petrelway.policy import document
from petrelway.settings.front import Fleet, FrontEndPlace
from petrelway.settings.reading import SettingsError

TOPIC = "policy_document"


def canonical_texts() -> list[str]:
    """Both documents in the one form that their digests are of."""
    return [read_terms(str(FORMS / TOPIC / name)) for name in ("before.jsonnet", "after.jsonnet")]


def documents() -> list[list[Any]]:
    """Each document with its digest and whether a silent member stops under it."""
    return [[text, document.digest(text), document.stops(text)] for text in canonical_texts()]


def differences() -> list[Any]:
    """The differences both ways, by position."""
    before, after = canonical_texts()
    return [*document.differences(before, after), *document.differences(after, before)]


def reread() -> list[Any]:
    """What a member makes of a document that comes from elsewhere: the same text, or the faults."""
    alone = {"front_end": FrontEndPlace(name="-", zone="-"), "fleet": Fleet(zones=["-"])}
    found: list[Any] = [document.canonical(document.read(text, alone)) for text in canonical_texts()]
    for title, text in load(TOPIC, "faulty.json"):
        try:
            document.read(text, alone)
        except SettingsError as fault:
            found.append([title, str(fault)])
    return found


def keys() -> list[Any]:
    """The sections, and the keys that make a difference dangerous with their warnings."""
    tables = (document.DECREASE_WARNINGS, document.INCREASE_WARNINGS, document.CHANGE_WARNINGS)
    return [list(document.SECTIONS), *(json.dumps(table, sort_keys=True) for table in tables)]


FILES = {
    "documents.json": documents,
    "differences.json": differences,
    "reread.json": reread,
    "keys.json": keys,
}
