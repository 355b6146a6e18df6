"""The model's rows and slopes as tables of text, for the terminal and for the page."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from .amounts import amount_text, figures
from .entries import LimitKind, Role
from .model import LARGEST_SCALE, Basis, Ground, Row, breaks_first, over_at_any_size
from .reach import Bend
from .size import Size
from .size_tables import READING_TEXT, workload_table
from .slopes import Slope, SlopeFile
from .tables import Table, plain
from .workload import READINGS, Reading

ROW_HEAD = (
    "situation",
    "quantity",
    "instances are",
    "amount",
    "limit",
    "carried by",
    "evidence",
    "breaks at",
)
FIRST_TEXT = {LimitKind.BUDGET: "breaks first", LimitKind.BOUND: "first bound of the program"}
NOTHING_BREAKS = f"nothing within {LARGEST_SCALE:g} times this size"


class FirstBreak(msgspec.Struct, frozen=True):
    """The row that passes its limit at the smallest fleet, of one kind of limit and under one reading."""

    kind: LimitKind
    reading: Reading
    row: Row | None


class Report(msgspec.Struct, frozen=True):
    """What the command prints: all rows, and what breaks first."""

    machine: str
    rows: list[Row]
    over_at_any_size: list[Row]
    first: list[FirstBreak]


def report(slopes: SlopeFile, found: list[Row]) -> Report:
    """The rows with what breaks first, the operators' budgets before the program's own bounds."""
    first = [
        FirstBreak(kind, reading, breaks_first(found, kind, reading))
        for kind in LimitKind
        for reading in READINGS
    ]
    return Report(slopes.machine, found, over_at_any_size(found), first)


def role_table(found: Sequence[Row], role: Role) -> Table:
    """The rows of one role."""
    return Table(ROW_HEAD, tuple(_cells(row) for row in found if row.role is role))


def breaking_table(found: Sequence[Row]) -> Table:
    """The rows that pass their limit somewhere, the smallest fleet first; sums left out."""
    broken = [row for row in found if row.breaks_at is not None and not row.is_sum]
    load_requested = sorted(broken, key=lambda row: row.breaks_at)
    heads = ("front ends", "role", "situation", "quantity", "instances are", "limit", "evidence there")
    return Table(heads, tuple(_breaking_cells(row) for row in load_requested))


def missing_table(found: Sequence[Row]) -> Table:
    """The rows that nobody measured, and the slopes that lack."""
    lacking = [row for row in found if row.ground.missing]
    heads = ("role", "situation", "quantity", "slopes that lack")
    lines = dict.fromkeys(_missing_cells(row) for row in lacking)  # both readings lack the same
    return Table(heads, tuple(lines))


def slopes_table(slopes: SlopeFile) -> Table:
    """All slopes that were measured, also those that no row uses."""
    heads = ("slope", "unit", "base", "for each", "slope and its error", "line up to", "leaves it at", "how")
    return Table(heads, tuple(_slope_cells(slope) for slope in slopes.slopes.values()))


def _slope_cells(slope: Slope) -> tuple[str, ...]:
    conditions = [f"{name} {value:g}" for name, value in slope.conditions.items()]
    return (
        slope.name,
        slope.unit,
        f"{slope.base:.4g}",
        slope.dimension,
        f"{slope.slope:.4g} ± {slope.slope_error:.2g}",
        f"{slope.line_up_to:,.0f}",
        "-" if slope.knee is None else f"{slope.knee:,.0f}",
        "; ".join(part for part in (slope.evidence.value, ", ".join(conditions), slope.note) if part),
    )


def evidence_text(ground: Ground) -> str:
    """What an amount rests on, in words.

    >>> evidence_text(Ground(Basis.MEASURED, 4.0, 25_000.0, "executor"))
    'extrapolated 4 times, measured to 25,000 (by executor)'
    """
    parts = [ground.basis.value]
    if ground.seen_up_to is not None:
        parts[0] += f" to {ground.seen_up_to:,.0f} (by {ground.dimension})"
    if ground.factor > 1.0:
        parts[0] = f"extrapolated {figures(ground.factor)} times, {parts[0]}"
    if ground.seen_from is not None:
        parts.append(f"below {ground.seen_from:,.0f}, the smallest seen")
    if ground.bend is not Bend.NONE:
        parts.append(f"bends {ground.bend.value} at {ground.knee:,.0f}")
    parts += [f"held at {name}" for name in ground.held_by]
    if ground.missing and ground.basis is not Basis.NOT_MEASURED:
        parts.append(f"without {len(ground.missing)} that nobody measured")
    return "; ".join(parts)


def first_lines(found: Report) -> list[str]:
    """What is over its limit at any size, then what breaks first, by kind of limit and by reading."""
    lines = [f"over its limit at any size: {_over_text(row)}" for row in found.over_at_any_size]
    return lines + [
        f"{FIRST_TEXT[first.kind]}, instances {READING_TEXT[first.reading]}: {_first_text(first.row)}"
        for first in found.first
    ]


def _first_text(row: Row | None) -> str:
    if row is None:
        return NOTHING_BREAKS
    limit = f"{row.limit_name} of {amount_text(row.limit, row.unit)}"
    return (
        f"{_place(row)}: passes {limit} at {row.breaks_at:,} front ends ({evidence_text(row.breaks_ground)})"
    )


def _over_text(row: Row) -> str:
    return f"{_place(row)}: {_amount_text(row)}, limit {_limit_text(row)} ({evidence_text(row.ground)})"


def _place(row: Row) -> str:
    return f"{row.role.value}, {row.situation.value}, {row.quantity}"


def _amount_text(row: Row) -> str:
    """The amount, and which side of it the true one lies on where that is known."""
    amount = amount_text(row.amount, row.unit)
    if row.amount is None:
        return amount
    bends_up = row.ground.bend is Bend.UP and row.ground.factor > 1.0
    bends_down = row.ground.bend is Bend.DOWN and row.ground.factor > 1.0
    if bends_down and not row.ground.missing:
        return f"at most {amount}"
    return f"at least {amount}" if bends_up or row.ground.missing else amount


def _cells(row: Row) -> tuple[str, ...]:
    return (
        row.situation.value,
        row.quantity,
        row.reading.value,
        _amount_text(row),
        _limit_text(row),
        _carried_text(row),
        evidence_text(row.ground),
        _breaks_text(row),
    )


def _limit_text(row: Row) -> str:
    return "-" if row.limit is None else f"{amount_text(row.limit, row.unit)} ({row.limit_name})"


def _carried_text(row: Row) -> str:
    return f"missing (today: {row.today})" if row.mechanism is None else row.mechanism


def _breaks_text(row: Row) -> str:
    if row.breaks_at == 1:
        return "at any size"
    if row.breaks_at is not None:
        return f"{row.breaks_at:,}"
    return "-" if row.limit is None or row.amount is None else f"over {LARGEST_SCALE:g} times"


def _breaking_cells(row: Row) -> tuple[str, ...]:
    return (
        _breaks_text(row),
        row.role.value,
        row.situation.value,
        row.quantity,
        row.reading.value,
        _limit_text(row),
        evidence_text(row.breaks_ground),
    )


def _missing_cells(row: Row) -> tuple[str, ...]:
    return (row.role.value, row.situation.value, row.quantity, ", ".join(row.ground.missing))


def text(size: Size, found: Report) -> str:
    """The whole report, for a terminal."""
    parts = [plain(workload_table(size))]
    for role in Role:
        parts.append(f"{role.value}\n{plain(role_table(found.rows, role))}")
    parts.append("\n".join(first_lines(found)))
    return "\n\n".join(parts)
