"""Reads a day's record: JSON lines of several processes, as one stream in order of time."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

LINE_BOUND = 1 << 16  # bytes of one line


class RecordError(Exception):
    """A record that can't be judged: which file, which line, what is wrong."""


def read(folder: str | Path) -> Iterator[dict[str, Any]]:
    """All lines by time; each has its file's name as `_file`, and a client's its source as `_source`.

    A last line that is cut off is left out: its process was killed while writing it. Raises RecordError.
    """
    lines: list[dict[str, Any]] = []
    paths = sorted(Path(folder).glob("*.jsonl"))
    if not paths:
        raise RecordError(f"{Path(folder).name}: no records (*.jsonl) in this folder")
    for path in paths:
        name = path.name.removesuffix(".jsonl")
        raw = path.read_bytes().split(b"\n")
        for number, text in enumerate(raw, 1):
            if not text or number == len(raw):
                continue
            try:
                if len(text) > LINE_BOUND:
                    raise ValueError(f"{len(text)} bytes")
                line = json.loads(text)
                line["t"] = float(line["t"])
                line["k"] = str(line["k"])
            except (ValueError, KeyError, TypeError) as error:
                raise RecordError(
                    f"{path.name}, line {number}: found {error!r}; allowed: an object with t and k, "
                    f"{LINE_BOUND} bytes at most"
                ) from error
            line["_file"] = name
            if name.startswith("clients-"):
                line["_source"] = f"/gateway/{name.removeprefix('clients-')}"
            lines.append(line)
    lines.sort(key=lambda line: line["t"])
    return iter(lines)
