"""Measured slopes: how a cost grows with one dimension of the fleet, fitted and kept in one file.

`benchmarks/capacity.py` measures and writes the file; the model in this package reads it. Nothing here does
more I/O than to read and write that one file. A slope is never typed by hand: it is fitted from its points.
"""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path

import msgspec

SLOPES_FILE = Path(__file__).with_name("slopes.json")
LEAST_POINTS = 4  # sizes of one measurement
LINE_TOLERANCE = 0.25  # a point further from the line than this share of it ends the line


class Evidence(Enum):
    """Where the points of a slope come from."""

    MEASURED = "measured"  # the program itself: real objects, processes or sockets on this machine
    EMULATED = "emulated"  # the program's deciders in simulated time


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measurement: the size, and the cost that was seen there in the slope's unit."""

    size: float
    cost: float


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A straight line through measured points: `cost = base + slope * size`.

    `name` is `group.quantity_by_dimension`, as in `front_end.memory_by_executors`; `unit` that of the cost
    (`B`, `us`, `us/s`, `B/s`, `messages/s`, `messages`, `s`), `dimension` what is counted in words.
    `line_up_to` is the largest size up to which the points lie on the line, `knee` the first size that does
    not, or None. `conditions` names what was held fixed.
    """

    name: str
    unit: str
    dimension: str
    evidence: Evidence
    points: tuple[Point, ...]
    base: float
    slope: float
    slope_error: float
    line_up_to: float
    knee: float | None
    conditions: dict[str, float] = {}
    note: str = ""

    def cost(self, size: float) -> float:
        """The cost that the line gives at this size."""
        return self.base + self.slope * size

    def factor(self, size: float) -> float:
        """How many times beyond the largest size on the line this size lies; 1 where it was seen."""
        return max(1.0, size / self.line_up_to)


class SlopeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All slopes that were measured, by name."""

    machine: str
    slopes: dict[str, Slope]


class SlopeFileError(Exception):
    """The file of slopes can't be used, or too few points were given; the text says why in one line."""


def fit(
    name: str,
    unit: str,
    dimension: str,
    evidence: Evidence,
    points: list[tuple[float, float]],
    conditions: dict[str, float] | None = None,
    note: str = "",
) -> Slope:
    """The line through the points, by least squares of the relative residuals, and up to where it holds.

    Sizes double, so that plain least squares would go by the largest alone. While the largest point lies
    further from the line than LINE_TOLERANCE and more than three points are left, the line is fitted
    without it.
    Raises SlopeFileError for fewer than LEAST_POINTS sizes.

    >>> line = fit("a.b_by_c", "B", "c", Evidence.MEASURED, [(1, 12), (2, 14), (4, 18), (8, 26)])
    >>> round(line.base, 6), round(line.slope, 6), line.line_up_to, line.knee
    (10.0, 2.0, 8, None)
    >>> fit("a.b_by_c", "B", "c", Evidence.MEASURED, [(1, 12), (2, 14), (4, 18), (8, 99)]).knee
    8
    """
    load_requested = sorted(points)
    if len({size for size, _ in load_requested}) < LEAST_POINTS:
        raise SlopeFileError(f"{name}: {LEAST_POINTS} sizes at least are needed, {len(load_requested)} given")
    kept = list(load_requested)
    while True:
        base, slope, error = _line(kept)
        size, cost = kept[-1]
        off = abs(base + slope * size - cost) > LINE_TOLERANCE * max(abs(cost), 1e-12)
        if not off or len(kept) <= LEAST_POINTS - 1:
            break
        kept.pop()
    knee = load_requested[len(kept)][0] if len(kept) < len(load_requested) else None
    return Slope(
        name=name,
        unit=unit,
        dimension=dimension,
        evidence=evidence,
        points=tuple(Point(size, cost) for size, cost in load_requested),
        base=base,
        slope=slope,
        slope_error=error,
        line_up_to=kept[-1][0],
        knee=knee,
        conditions=conditions or {},
        note=note,
    )


def _line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Base, slope and the slope's standard error, each residual weighed by one over its cost."""
    weights = [1.0 / max(abs(cost), 1e-12) ** 2 for _, cost in points]
    total = sum(weights)
    mean_size = sum(w * size for w, (size, _) in zip(weights, points, strict=False)) / total
    mean_cost = sum(w * cost for w, (_, cost) in zip(weights, points, strict=False)) / total
    spread = sum(w * (size - mean_size) ** 2 for w, (size, _) in zip(weights, points, strict=False))
    shared = sum(
        w * (size - mean_size) * (cost - mean_cost) for w, (size, cost) in zip(weights, points, strict=False)
    )
    slope = shared / spread if spread else 0.0
    base = mean_cost - slope * mean_size
    residual = sum(
        w * (cost - base - slope * size) ** 2 for w, (size, cost) in zip(weights, points, strict=False)
    )
    freedom = max(1, len(points) - 2)
    return base, slope, math.sqrt(residual / freedom / spread) if spread else 0.0


def read_slopes(path: Path = SLOPES_FILE) -> SlopeFile:
    """The file of slopes. Raises SlopeFileError with the file's name and what is wrong with it."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SlopeFile)
    except OSError as error:
        raise SlopeFileError(f"{path.name}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise SlopeFileError(f"{path.name}: {error}") from error


def write_slopes(found: list[Slope], machine: str, path: Path = SLOPES_FILE) -> None:
    """Put these slopes into the file in place of those of the same names; the others stay."""
    slopes = dict(read_slopes(path).slopes) if path.exists() else {}
    slopes.update((slope.name, slope) for slope in found)
    whole = SlopeFile(machine=machine, slopes=dict(sorted(slopes.items())))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(whole), indent=1) + b"\n")
