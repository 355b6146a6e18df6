"""Slopes of `capacity_members.py` where members also listen on ports and try those of others, as under
`petrelway serve`, for `benchmarks/capacity.py members-ports`. Each dials up to 60 ports a second after a
loss, which takes a few cores at 128 members; more would measure the machine."""

from __future__ import annotations

from capacity_members import QUICK_SIZES, measure_fleets
from member_quantities import slopes_of

from petrelway.capacity.slopes import Evidence, Slope

SIZES = (16, 32, 64, 128)


def measure(quick: bool) -> list[Slope]:
    """Rest, and the loss of a rack whose ports refuse at once."""
    points = measure_fleets(QUICK_SIZES if quick else SIZES, ports=True)
    return slopes_of(points, "members", Evidence.MEASURED, "_with_ports")
