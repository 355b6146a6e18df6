"""What knowing the other front ends costs one of them: measured, and emulated beside it where that exists."""

from __future__ import annotations

from functools import partial

from ..membership.messages import DATAGRAM_BOUND
from .entries import (
    CONTROL_BYTES,
    CONTROL_CPU,
    CONTROL_MEMORY,
    Ceiling,
    Entry,
    Limit,
    Role,
    Situation,
    Term,
    front_ends,
)

ALL_MEMBERS = "each member keeps all others"
PINGS = "one ping a second, gossip of bounded size"
SUSPICION = "suspicion, then proof by the port"
KNOCKING = "pings to members not heard yet, bounded a period"
CUT = "members held suspect until heard again"
SENT_AND_RECEIVED = 2.0
MEASURED_GROUP = "members"
MESSAGES_OF = {
    "bytes_by_members": "messages_by_members",
    "rack_bytes_by_members": "rack_messages_by_members",
}
EMULATED_GROUP = "members_emulated"
# Danger: the rig's lost rack is smaller in a small fleet, so that these costs bend: the measured line, of
# small fleets, may not be carried on to a budget. The emulated one has sizes where the rack is whole.
RACK_OF_THE_RIG = frozenset({"rack_bytes_by_members", "rack_messages_by_members"})


def _ceiling(group: str, slope: str) -> Ceiling | None:
    """Danger: bytes near the bound of a datagram grow no further, and a line through them would."""
    messages = MESSAGES_OF.get(slope)
    if messages is None:
        return None
    return Ceiling("DATAGRAM_BOUND of each message", f"{group}.{messages}", DATAGRAM_BOUND)


def _entry(
    group: str, situation: Situation, quantity: str, slope: str, unit: str, limit: Limit | None, by: str
) -> Entry:
    """An entry of the group's slope, evaluated at the number of front ends.

    Rates of bytes are measured as sent; on the mean a member receives as many, and both count.
    """
    ways = SENT_AND_RECEIVED if unit == "B/s" else 1.0
    emulated = group != MEASURED_GROUP
    return Entry(
        Role.FRONT_END,
        situation,
        f"{quantity} (emulated)" if emulated else quantity,
        unit,
        limit,
        by,
        (Term(f"{group}.{slope}", front_ends, lambda w: ways, _ceiling(group, slope)),),
        shown_unmeasured=not emulated,
    )


def group_entries(group: str) -> dict[str, Entry]:
    """The entries of one group of slopes, by the slope's name within the group."""
    entry = partial(_entry, group)
    rest, start, rack = Situation.REST, Situation.START, Situation.RACK
    zone, parted = Situation.ZONE, Situation.PARTED
    entries = (
        ("memory_by_members", rest, "memory of members", "B", CONTROL_MEMORY, ALL_MEMBERS),
        ("resident_by_members", rest, "memory of members, resident", "B", CONTROL_MEMORY, ALL_MEMBERS),
        ("cpu_by_members", rest, "CPU of membership", "us/s", CONTROL_CPU, PINGS),
        ("bytes_by_members", rest, "bytes of membership, both ways", "B/s", CONTROL_BYTES, PINGS),
        ("messages_by_members", rest, "messages of membership, sent", "messages/s", None, PINGS),
        ("join_s_by_members", start, "time until a new member is up to date", "s", None, KNOCKING),
        ("join_bytes_by_members", start, "bytes until a new member is up to date", "B", None, KNOCKING),
        ("join_cpu_by_members", start, "CPU until a new member is up to date", "us", None, KNOCKING),
        ("cpu_spreading_by_members", start, "CPU after a start of all", "us/s", CONTROL_CPU, PINGS),
        (
            "bytes_spreading_by_members",
            start,
            "bytes after a start of all, both ways",
            "B/s",
            CONTROL_BYTES,
            PINGS,
        ),
        ("rack_bytes_by_members", rack, "bytes of membership, both ways", "B/s", CONTROL_BYTES, SUSPICION),
        ("rack_cpu_by_members", rack, "CPU of membership", "us/s", CONTROL_CPU, SUSPICION),
        ("rack_messages_by_members", rack, "messages of membership, sent", "messages/s", None, SUSPICION),
        ("rack_detected_s_by_members", rack, "time until its loss is known", "s", None, SUSPICION),
        ("zone_bytes_by_members", zone, "bytes of membership, both ways", "B/s", CONTROL_BYTES, SUSPICION),
        ("zone_cpu_by_members", zone, "CPU of membership", "us/s", CONTROL_CPU, SUSPICION),
        ("parted_bytes_by_members", parted, "bytes of membership, both ways", "B/s", CONTROL_BYTES, CUT),
        ("parted_cpu_by_members", parted, "CPU of membership", "us/s", CONTROL_CPU, CUT),
        ("cpu_alone_by_members", parted, "CPU of membership, nobody heard", "us/s", CONTROL_CPU, CUT),
    )
    bends = RACK_OF_THE_RIG if group == MEASURED_GROUP else frozenset()
    return {
        slope: entry(situation, quantity, slope, unit, None if slope in bends else limit, by)
        for slope, situation, quantity, unit, limit, by in entries
    }


MEASURED = group_entries(MEASURED_GROUP)
EMULATED = group_entries(EMULATED_GROUP)
