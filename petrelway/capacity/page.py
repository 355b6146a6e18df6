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
from typing import NamedTuple

from .entries import Role
from .model import rows
from .report import Report, breaking_table, first_lines, missing_table, report, role_table, slopes_table
from .size import Size, read_size
from .size_tables import call_rates_table, size_table, workload_table
from .slopes import SlopeFile
from .tables import markdown

BLOCK = re.compile(r"<!-- table: (\S+) (\S+) -->\n(.*?)<!-- end -->", re.DOTALL)
SIZES_KEPT = 16  # of one page


class PageError(Exception):
    """The page can't be written; the text says why in one line."""


class Worked(NamedTuple):
    """What a table is written from."""

    slopes: SlopeFile
    size: Size
    report: Report


def _role(role: Role) -> Callable[[Worked], str]:
    return lambda w: markdown(role_table(w.report.rows, role))


TABLES: dict[str, Callable[[Worked], str]] = {
    "size": lambda w: markdown(size_table(w.size)),
    "workload": lambda w: markdown(workload_table(w.size)),
    "call-rates": lambda w: markdown(call_rates_table(w.size)),
    "breaking": lambda w: markdown(breaking_table(w.report.rows)),
    "not-measured": lambda w: markdown(missing_table(w.report.rows)),
    "first": lambda w: "\n".join(f"- {line}" for line in first_lines(w.report)),
    "machine": lambda w: f"Measured on: {w.report.machine}.",
    "slopes": lambda w: markdown(slopes_table(w.slopes)),
    **{role.value.replace(" ", "-"): _role(role) for role in Role},
}


def render(text: str, folder: Path, slopes: SlopeFile) -> str:
    """The page's text with each table written anew; size files are found from `folder`.

    Raises PageError for a table that is not known or a page without one, SettingsError for a bad size file.
    """
    if not BLOCK.search(text):
        raise PageError("no table: one begins with <!-- table: SIZE NAME --> and ends with <!-- end -->")

    @lru_cache(maxsize=SIZES_KEPT)
    def worked_out(file: str) -> Worked:
        size = read_size(str(folder / file))
        return Worked(slopes, size, report(slopes, rows(slopes, size)))

    def block(match: re.Match[str]) -> str:
        file, name = match[1], match[2]
        if name not in TABLES:
            raise PageError(f"no table is called {name!r}; allowed: {', '.join(TABLES)}")
        return f"<!-- table: {file} {name} -->\n{TABLES[name](worked_out(file))}\n<!-- end -->"

    return BLOCK.sub(block, text)
