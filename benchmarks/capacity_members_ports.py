"""Slopes of `capacity_members.py` where members also listen on ports and try those of others, as under
`petrelway serve`, for `benchmarks/capacity.py members-ports`. Each dials up to 60 ports a second after a
loss: at 128 members three processes of hollow ones stood still."""

from __future__ import annotations

from capacity_members import measure_fleets
from member_quantities import slopes_of

from petrelway.capacity.slopes import Evidence, Slope

SIZES = (8, 16, 32, 64)


def measure(quick: bool) -> list[Slope]:
    """Rest, and the loss of a rack whose ports refuse at once; small enough to be the same with `quick`."""
    points = measure_fleets(SIZES, ports=True)
    return slopes_of(points, "members", Evidence.MEASURED, "_with_ports")
