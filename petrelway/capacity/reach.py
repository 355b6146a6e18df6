"""What a slope says at a size: on its line, between its points, or past the last of them; pure."""

from __future__ import annotations

from enum import Enum
from itertools import pairwise

from .slopes import Point, Slope


class Bend(Enum):
    """Where the points past the knee lie."""

    NONE = "none"  # all points lie on the line
    UP = "up"  # above it: an extrapolation is a lower bound
    DOWN = "down"  # below it: an upper bound


def cost_at(slope: Slope, size: float) -> float:
    """The cost at a size, never below 0.

    On the line up to where that holds, and past it for a slope without a knee. With a knee: between the two
    measured points round the size, and past the last point on along the last two. Danger: on along a line
    that was seen to end, a cost that grows with the square of the size would look cheap. Below the smallest
    point a line that would come to nothing, or less, before size 0 does is replaced by one through 0. A cost
    that fell with the size is held at what was seen last: carried on, scatter would become no cost at all.
    """
    smallest = smallest_seen(slope)
    if size < smallest and slope.base < 0.0:
        return max(0.0, slope.cost(smallest)) * size / smallest
    if slope.knee is None or size <= slope.line_up_to:
        held = min(size, slope.line_up_to) if slope.slope < 0.0 else size
        return max(0.0, slope.cost(held))
    beyond = [Point(slope.line_up_to, slope.cost(slope.line_up_to))]
    beyond += [point for point in slope.points if point.size > slope.line_up_to]
    low, high = next(
        ((low, high) for low, high in pairwise(beyond) if size <= high.size), (beyond[-2], beyond[-1])
    )
    steepness = (high.cost - low.cost) / (high.size - low.size)
    held = min(size, high.size) if steepness < 0.0 else size
    return max(0.0, low.cost + steepness * (held - low.size))


def smallest_seen(slope: Slope) -> float:
    """The smallest size that was measured."""
    return min(point.size for point in slope.points)


def seen_up_to(slope: Slope) -> float:
    """The largest size that a cost rests on: the end of the line, or the last point past a knee."""
    return slope.line_up_to if slope.knee is None else max(point.size for point in slope.points)


def factor(slope: Slope, size: float) -> float:
    """How many times beyond the largest size seen this one lies; 1 where it was seen."""
    return max(1.0, size / seen_up_to(slope))


def bend(slope: Slope) -> Bend:
    """Which way the last point past the knee lies."""
    if slope.knee is None:
        return Bend.NONE
    last = max(slope.points, key=lambda point: point.size)
    return Bend.UP if last.cost > slope.cost(last.size) else Bend.DOWN
