"""Results of emulated runs: one column a figure, in a file of numpy arrays that says what made them."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import numpy as np

FORMAT = 1
META = "_meta"
ROWS_BOUND = 1_000_000


class ResultsFileError(Exception):
    """A file that can't be read as results: which, what was found, what is allowed."""


class Results:
    """Rows with the same columns: text or numbers. `meta` says what made them."""

    def __init__(self, meta: dict[str, Any]) -> None:
        self.meta = meta
        self.columns: dict[str, list] = {}
        self.count = 0

    def add(self, row: dict[str, str | float]) -> None:
        """Raises ValueError if its columns are not those of the rows before, or for one row too many."""
        if self.count >= ROWS_BOUND:
            raise ValueError(f"found more than {ROWS_BOUND} rows; allowed: {ROWS_BOUND} at most")
        if self.count and set(row) != set(self.columns):
            raise ValueError(f"found columns {sorted(row)}; allowed: {sorted(self.columns)}")
        for name, value in row.items():
            self.columns.setdefault(name, []).append(value)
        self.count += 1

    def rows(self) -> list[dict[str, Any]]:
        return [{name: values[i] for name, values in self.columns.items()} for i in range(self.count)]

    def names(self, prefix: str) -> list[str]:
        """Columns with the prefix, without it, in their order."""
        return [name.removeprefix(prefix) for name in self.columns if name.startswith(prefix)]

    def save(self, path: Path) -> None:
        """Whole or not at all: written beside it, flushed, renamed."""
        beside = path.with_name(path.name + ".new")
        arrays = {
            name: np.array(values, dtype=str if isinstance(values[0], str) else float)
            for name, values in self.columns.items()
        }
        with open(beside, "wb") as file:
            np.savez_compressed(
                file, **{META: np.array(json.dumps({"format": FORMAT, **self.meta}))}, **arrays
            )
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)


def load(path: Path) -> Results:
    """Raises ResultsFileError."""
    try:
        with np.load(path, allow_pickle=False) as file:
            meta = json.loads(str(file[META]))
            if meta.pop("format") != FORMAT:
                raise ResultsFileError(f"{path.name}: found another format; allowed: {FORMAT}")
            found = Results(meta)
            arrays = {name: file[name] for name in file.files if name != META}
    except ResultsFileError:
        raise
    except Exception as error:  # danger: damaged bytes make zip and numpy raise whatever they meet
        raise ResultsFileError(
            f"{path.name}: found {error!r}; allowed: results of `petrelway experiment`"
        ) from error
    lengths = {len(a) if a.ndim == 1 else -1 for a in arrays.values()}
    if len(lengths) > 1 or -1 in lengths:
        raise ResultsFileError(f"{path.name}: found columns of {sorted(lengths)} rows; allowed: one length")
    found.columns = {name: a.tolist() for name, a in arrays.items()}
    found.count = lengths.pop() if lengths else 0
    return found
