"""Tables of text, in columns for a terminal or in Markdown."""

from __future__ import annotations

from typing import NamedTuple


class Table(NamedTuple):
    """Cells of text under their heads."""

    heads: tuple[str, ...]
    lines: tuple[tuple[str, ...], ...]


def plain(table: Table) -> str:
    """The table in columns, for a terminal."""
    lines = (table.heads, *table.lines)
    widths = [max(len(line[i]) for line in lines) for i in range(len(table.heads))]
    return "\n".join(
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=False)).rstrip() for line in lines
    )


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
