"""What `capacity_members.py` and `capacity_members_emulated.py` measure, and the lines through it."""

from __future__ import annotations

from typing import NamedTuple

from petrelway.capacity.slopes import LEAST_POINTS, Evidence, Slope, fit

RACK = 40  # members that are gone at once; a smaller fleet loses an eighth
RACK_SHARE = 8
FIRST_OF_RACK = 4  # those before it are under measurement
SETTLE_S = 6.0
SPREADING_S = 8.0
REST_S = 15.0
RACK_WINDOW_S = 20.0
DETECTION_BOUND_S = 90.0
JOIN_BOUND_S = 120.0
POLL_S = 0.1

Points = dict[str, list[tuple[float, float]]]


def rack_of(size: int) -> int:
    """How many members are gone at once."""
    return min(RACK, size // RACK_SHARE)


class Quantity(NamedTuple):
    """What a slope is of: the unit of its cost, and how it was taken."""

    unit: str
    note: str


QUANTITIES = {
    "memory": Quantity(
        "B", "traced, at one member alone that holds everybody alive, its list of peers included"
    ),
    "resident": Quantity("B", "growth of the process for the same"),
    "cpu_alone": Quantity("us/s", "one member on loopback that is cut off: no listed peer answers"),
    "cpu_spreading": Quantity(
        "us/s", "after a whole fleet's start, while news of every member is being told"
    ),
    "bytes_spreading": Quantity("B/s", "sent by one member, while news of every member is being told"),
    "cpu": Quantity(
        "us/s",
        "at rest, the news of the start told out; processes of one member each; a log that writes nothing",
    ),
    "bytes": Quantity("B/s", "sent by one member, at rest, the news of the start told out"),
    "messages": Quantity("messages/s", "sent by one member, at rest"),
    "rack_cpu": Quantity("us/s", "in the 20 s after a rack is gone at once; no ports are tried"),
    "rack_bytes": Quantity("B/s", "sent by one member, in the 20 s after a rack is gone at once"),
    "rack_messages": Quantity("messages/s", "sent by one member, in the 20 s after a rack is gone at once"),
    "rack_detected_s": Quantity("s", "until all others hold the rack failed, by silence alone"),
    "join_s": Quantity(
        "s", "from the start of a new process until it holds all that live alive and nobody unheard"
    ),
    "join_bytes": Quantity("B", "sent and received by a new process until then"),
    "join_cpu": Quantity("us", "of a new process until then, its interpreter's start left out"),
}


def slopes_of(points: Points, group: str, evidence: Evidence, ports: str = "") -> list[Slope]:
    """A line for each quantity that was reached at enough sizes; the others are named."""
    found = []
    for quantity, some in points.items():
        name = f"{group}.{quantity}{ports}_by_members"
        if len(some) < LEAST_POINTS:
            print(f"  {name}: reached at {len(some)} sizes only, {LEAST_POINTS} are needed", flush=True)
            continue
        conditions = {}
        if quantity.startswith(("rack", "join")):
            conditions = {"rack": RACK, "rack_at_most_one_in": RACK_SHARE}
        unit, note = QUANTITIES[quantity]
        found.append(fit(name, unit, "members", evidence, some, conditions, note))
    return found
