"""The tables of a Markdown page, written from the slopes and the sizes that the page names.

    petrelway capacity --page docs/CAPACITY.md

writes them anew, with whatever slopes the file holds; what nobody measured stands there as not measured. A
table stands between two markers, and what is outside them is prose that is left as it is:

    <!-- table: ../examples/size-target.jsonnet front-end -->
    <!-- end -->

The first word is the size file, from the page's folder; the second one of TABLES.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import lru_cache
from pathlib import Path

from .entries import Role
from .model import rows
from .report import (
    Report,
    Table,
    breaking_table,
    first_lines,
    missing_table,
    report,
    role_table,
    workload_table,
)
from .size import Size, read_size
from .slopes import SlopeFile

BLOCK = re.compile(r"<!-- table: (\S+) (\S+) -->\n(.*?)<!-- end -->", re.DOTALL)
SIZES_KEPT = 16  # of one page


class PageFault(Exception):
    """The page can't be written; the text says why in one line."""


def markdown(table: Table) -> str:
    """A table in Markdown; no row is a line that says so.

    >>> print(markdown(Table(("a", "b"), (("1", "2 | 3"),))))
    | a | b |
    | --- | --- |
    | 1 | 2 \\| 3 |
    """
    if not table.lines:
        return "none"
    lines = (table.heads, tuple("---" for _ in table.heads), *table.lines)
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |" for line in lines)


def _role(role: Role) -> Callable[[Size, Report], str]:
    return lambda size, found: markdown(role_table(found.rows, role))


TABLES: dict[str, Callable[[Size, Report], str]] = {
    "workload": lambda size, found: markdown(workload_table(size)),
    "breaking": lambda size, found: markdown(breaking_table(found.rows)),
    "not-measured": lambda size, found: markdown(missing_table(found.rows)),
    "first": lambda size, found: "\n".join(f"- {line}" for line in first_lines(found)),
    "machine": lambda size, found: f"Measured on: {found.machine}.",
    **{role.value.replace(" ", "-"): _role(role) for role in Role},
}


def render(text: str, folder: Path, slopes: SlopeFile) -> str:
    """The page's text with each table written anew; size files are found from `folder`.

    Raises PageFault for a table that is not known or a page without one, SettingsFault for a bad size file.
    """
    if not BLOCK.search(text):
        raise PageFault("no table: one begins with <!-- table: SIZE NAME --> and ends with <!-- end -->")

    @lru_cache(maxsize=SIZES_KEPT)
    def worked_out(file: str) -> tuple[Size, Report]:
        size = read_size(str(folder / file))
        return size, report(slopes, rows(slopes, size))

    def block(match: re.Match[str]) -> str:
        file, name = match[1], match[2]
        if name not in TABLES:
            raise PageFault(f"no table is called {name!r}; allowed: {', '.join(TABLES)}")
        return f"<!-- table: {file} {name} -->\n{TABLES[name](*worked_out(file))}\n<!-- end -->"

    return BLOCK.sub(block, text)
