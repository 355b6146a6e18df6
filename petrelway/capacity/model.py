"""Slopes and a size in, rows out: what each role costs, against its limit, and where it breaks; pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from . import configuration, front_end, membership, surroundings
from .entries import Entry, LimitKind, Role, Situation, Term, sum_of
from .reach import Bend, bend, cost_at, factor, seen_up_to, smallest_seen
from .size import Size
from .slopes import Evidence, Slope, SlopeFile
from .workload import READINGS, Reading, Workload, workload

LARGEST_SCALE = 64.0  # the search for the size that breaks ends at so many times the size given
SEARCH_STEP = 1.25  # and looks at sizes so many times apart, then between the two
ALIKE = 1e-9  # amounts that differ by less than this share are the same under both readings

_memory = sum_of(
    "all control memory", [*front_end.MEMORY, membership.MEASURED["memory_by_members"]], Situation.REST
)
_cpu = sum_of(
    "all control CPU",
    [*front_end.CPU, membership.MEASURED["cpu_by_members"], *front_end.DAY_CPU],
    Situation.DAY,
)
_bytes = sum_of(
    "all control bytes",
    [membership.MEASURED["bytes_by_members"], *front_end.DAY_BYTES, *configuration.MEMBER_DAY_BYTES],
    Situation.DAY,
)
ENTRIES: tuple[Entry, ...] = (
    *front_end.MEMORY,
    *front_end.CPU,
    *membership.MEASURED.values(),
    *membership.EMULATED.values(),
    *front_end.DAY_CPU,
    *front_end.DAY_BYTES,
    *configuration.MEMBER_DAY_BYTES,
    *front_end.OTHERS,
    *configuration.MEMBER_REST,
    *configuration.MEMBER_DAY,
    _memory,
    _cpu,
    _bytes,
    *surroundings.EXECUTOR,
    *surroundings.LIST_SOURCE,
    *configuration.LEADER,
    *configuration.VOTER,
)


class Basis(Enum):
    """What an amount rests on."""

    MEASURED = "measured"
    EMULATED = "emulated"
    ARITHMETIC = "arithmetic"  # it follows from the size alone
    NOT_MEASURED = "not measured"


class Ground(msgspec.Struct, frozen=True):
    """What an amount rests on, and how far beyond the largest size on the line it lies.

    `factor` is 1 where the size was seen; `seen_up_to` is the largest size seen of the slope that is
    stretched most, counted in `dimension`; `knee` the first size off its line, if any was seen, and `bend`
    which way it leaves it; `seen_from` the smallest size seen, where this one is below it.
    `missing` names the slopes that nobody measured, `held_by` the program's bounds that keep the amount below
    what the slope gives.
    """

    basis: Basis
    factor: float = 1.0
    seen_up_to: float | None = None
    dimension: str = ""
    knee: float | None = None
    bend: Bend = Bend.NONE
    seen_from: float | None = None
    missing: tuple[str, ...] = ()
    held_by: tuple[str, ...] = ()


class Row(msgspec.Struct, frozen=True):
    """One cost of one role at the size given.

    `amount` None: not measured. With `ground.missing` it is a lower bound. `mechanism` None: missing, since
    what carries it today does not keep the limit. `breaks_at` is the number of front ends, with all else in
    proportion, at which the limit is passed first; None: not within LARGEST_SCALE times the size.
    `breaks_ground` is what the amount rests on there.
    """

    role: Role
    situation: Situation
    quantity: str
    reading: Reading
    amount: float | None
    unit: str
    limit: float | None
    limit_name: str
    limit_kind: LimitKind | None
    today: str
    mechanism: str | None
    ground: Ground
    breaks_at: int | None
    breaks_ground: Ground | None
    is_sum: bool

    @property
    def breaks(self) -> bool:
        """Whether the limit is passed at the size given."""
        return self.amount is not None and self.limit is not None and self.amount > self.limit


def rows(slopes: SlopeFile, size: Size) -> list[Row]:
    """All rows at this size: one for each entry, or two where the readings of the size differ."""
    found = []
    for entry in ENTRIES:
        both = [_row(entry, slopes.slopes, size, reading) for reading in READINGS]
        if both[0].amount is None and not entry.shown_unmeasured:
            continue
        if _alike(both[0], both[1]):
            found.append(msgspec.structs.replace(both[0], reading=Reading.BOTH))
        else:
            found.extend(both)
    return found


def breaks_first(found: Sequence[Row], kind: LimitKind, reading: Reading) -> Row | None:
    """The row whose limit of this kind growth breaks first; sums don't count, their parts do.

    What passes its limit in a fleet of one front end is not broken by growth: see `over_at_any_size`.
    """
    broken = [
        row
        for row in found
        if row.breaks_at is not None
        and row.breaks_at > 1
        and not row.is_sum
        and row.limit_kind is kind
        and row.reading in (reading, Reading.BOTH)
    ]
    return min(broken, key=lambda row: row.breaks_at, default=None)


def over_at_any_size(found: Sequence[Row]) -> list[Row]:
    """The rows that pass their limit however small the fleet is."""
    return [row for row in found if row.breaks_at == 1]


def _row(entry: Entry, slopes: dict[str, Slope], size: Size, reading: Reading) -> Row:
    at = workload(size, reading)
    amount = _amount(entry, slopes, at)
    limit = entry.limit.amount(size) if entry.limit else None
    limited = amount is not None and limit is not None
    breaks_at = _breaks_at(entry, slopes, size, reading) if limited else None
    over = amount is not None and limit is not None and amount > limit
    return Row(
        role=entry.role,
        situation=entry.situation,
        quantity=entry.quantity,
        reading=reading,
        amount=amount,
        unit=entry.unit,
        limit=limit,
        limit_name=entry.limit.name if entry.limit else "",
        limit_kind=entry.limit.kind if entry.limit else None,
        today=entry.carried_by,
        mechanism=None if over else entry.carried_by,
        ground=_ground(entry, slopes, at),
        breaks_at=breaks_at,
        breaks_ground=_ground_at(entry, slopes, size, reading, breaks_at),
        is_sum=entry.is_sum,
    )


def _alike(one: Row, other: Row) -> bool:
    if one.amount is None or other.amount is None:
        return one.amount is other.amount
    return math.isclose(one.amount, other.amount, rel_tol=ALIKE)


def _amount(entry: Entry, slopes: dict[str, Slope], at: Workload) -> float | None:
    """The sum of the terms that can be worked out, or None if there is none of them."""
    parts = [_part(term, slopes, at) for term in entry.terms]
    known = [part for part in parts if part is not None]
    return sum(known) if known else None


def _part(term: Term, slopes: dict[str, Slope], at: Workload) -> float | None:
    if term.slope is None:
        return term.times(at) * term.at(at)
    slope = slopes.get(term.slope)
    if slope is None:
        return None
    size = term.at(at)
    return term.times(at) * min(cost_at(slope, size), _ceiling(term, slopes, size))


def _ceiling(term: Term, slopes: dict[str, Slope], size: float) -> float:
    """What a bound of the program holds the term's cost at; infinite where none does."""
    if term.ceiling is None or term.ceiling.slope not in slopes:
        return math.inf
    return term.ceiling.factor * cost_at(slopes[term.ceiling.slope], size)


def _held_by(entry: Entry, slopes: dict[str, Slope], at: Workload) -> tuple[str, ...]:
    """The bounds that hold a term of the entry below its own slope's cost."""
    return tuple(
        term.ceiling.name
        for term in entry.terms
        if term.ceiling
        and term.slope in slopes
        and cost_at(slopes[term.slope], term.at(at)) > _ceiling(term, slopes, term.at(at))
    )


def _ground(entry: Entry, slopes: dict[str, Slope], at: Workload) -> Ground:
    """What the entry's amount rests on; of several slopes one that bends, or is stretched most, is told."""
    missing = tuple(term.slope for term in entry.terms if term.slope and term.slope not in slopes)
    used = [(slopes[term.slope], term.at(at)) for term in entry.terms if term.slope in slopes]
    if not used:
        from_size = any(term.slope is None for term in entry.terms)
        return Ground(Basis.ARITHMETIC if from_size else Basis.NOT_MEASURED, missing=missing)
    slope, dimension_size = max(used, key=lambda pair: (bend(pair[0]) is not Bend.NONE, factor(*pair)))
    emulated = any(each.evidence is Evidence.EMULATED for each, _ in used)
    return Ground(
        basis=Basis.EMULATED if emulated else Basis.MEASURED,
        factor=factor(slope, dimension_size),
        seen_up_to=seen_up_to(slope),
        dimension=slope.dimension,
        knee=slope.knee,
        bend=bend(slope),
        seen_from=smallest_seen(slope) if dimension_size < smallest_seen(slope) else None,
        missing=missing,
        held_by=_held_by(entry, slopes, at),
    )


def _ground_at(
    entry: Entry, slopes: dict[str, Slope], size: Size, reading: Reading, count: int | None
) -> Ground | None:
    """What the entry's amount rests on in a fleet of so many front ends, all else in proportion."""
    if count is None:
        return None
    return _ground(entry, slopes, workload(size, reading, count / size.fleet.front_ends))


def _breaks_at(entry: Entry, slopes: dict[str, Slope], size: Size, reading: Reading) -> int | None:
    """The number of front ends at which the entry passes its limit, with all else in proportion."""
    limit = entry.limit.amount(size)

    def over(front_ends: int) -> bool:
        scale = front_ends / size.fleet.front_ends
        amount = _amount(entry, slopes, workload(size, reading, scale))
        return amount is not None and amount > limit

    return _first_count(over, round(LARGEST_SCALE * size.fleet.front_ends))


def _first_count(over: Callable[[int], bool], most: int) -> int | None:
    """The smallest count at which `over` holds, looked for in growing steps and then between two of them.

    >>> _first_count(lambda count: count > 1024, 100_000), _first_count(lambda count: True, 9)
    (1025, 1)
    >>> _first_count(lambda count: count > 1024, 1000) is None
    True
    """
    below, above = 0, 1
    while not over(above):
        if above >= most:
            return None
        below, above = above, min(most, math.ceil(above * SEARCH_STEP))
    while above - below > 1:
        middle = (below + above) // 2
        if over(middle):
            above = middle
        else:
            below = middle
    return above
