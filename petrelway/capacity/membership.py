"""What knowing the other front ends costs one of them: measured, and emulated beside it where that exists."""

from __future__ import annotations

from functools import partial

from .entries import (
    CONTROL_BYTES,
    CONTROL_CPU,
    CONTROL_MEMORY,
    Entry,
    Limit,
    Role,
    Situation,
    front_ends,
    measured,
)

ALL_MEMBERS = "each member keeps all others"
PINGS = "one ping a second, gossip of bounded size"
SUSPICION = "suspicion, then proof by the port"
KNOCKING = "pings to members not heard yet, bounded a period"
CUT = "members held suspect until heard again"


def _entry(
    group: str, situation: Situation, quantity: str, slope: str, unit: str, limit: Limit | None, by: str
) -> Entry:
    """An entry of the group's slope, evaluated at the number of front ends."""
    emulated = group != MEASURED_GROUP
    return Entry(
        Role.FRONT_END,
        situation,
        f"{quantity} (emulated)" if emulated else quantity,
        unit,
        limit,
        by,
        measured(f"{group}.{slope}", front_ends),
        shown_unmeasured=not emulated,
    )


MEASURED_GROUP = "members"
EMULATED_GROUP = "members_emulated"


def group_entries(group: str) -> dict[str, Entry]:
    """The entries of one group of slopes, by the slope's name within the group."""
    entry = partial(_entry, group)
    rest, start, rack = Situation.REST, Situation.START, Situation.RACK
    zone, parted = Situation.ZONE, Situation.PARTED
    entries = (
        ("memory_by_members", rest, "memory of members", "B", CONTROL_MEMORY, ALL_MEMBERS),
        ("cpu_by_members", rest, "CPU of membership", "us/s", CONTROL_CPU, PINGS),
        ("bytes_by_members", rest, "bytes of membership", "B/s", CONTROL_BYTES, PINGS),
        ("messages_by_members", rest, "messages of membership", "messages/s", None, PINGS),
        ("join_s_by_members", start, "time until a new member is up to date", "s", None, KNOCKING),
        ("join_bytes_by_members", start, "bytes until a new member is up to date", "B", None, KNOCKING),
        ("rack_bytes_by_members", rack, "bytes of membership", "B/s", CONTROL_BYTES, SUSPICION),
        ("rack_cpu_by_members", rack, "CPU of membership", "us/s", CONTROL_CPU, SUSPICION),
        ("rack_detected_s_by_members", rack, "time until its loss is known", "s", None, SUSPICION),
        ("zone_bytes_by_members", zone, "bytes of membership", "B/s", CONTROL_BYTES, SUSPICION),
        ("zone_cpu_by_members", zone, "CPU of membership", "us/s", CONTROL_CPU, SUSPICION),
        ("parted_bytes_by_members", parted, "bytes of membership", "B/s", CONTROL_BYTES, CUT),
        ("parted_cpu_by_members", parted, "CPU of membership", "us/s", CONTROL_CPU, CUT),
    )
    return {
        slope: entry(situation, quantity, slope, unit, limit, by)
        for slope, situation, quantity, unit, limit, by in entries
    }


MEASURED = group_entries(MEASURED_GROUP)
EMULATED = group_entries(EMULATED_GROUP)
