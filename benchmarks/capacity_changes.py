"""Slopes of what changes of policy cost by the number of members, for `benchmarks/capacity.py changes`.

Emulated: the program's own policy members on an emulated network, where processors take no simulated time.
Each size plays one change, a span at rest, a burst of changes and one change with a member that vanished.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable

import msgspec

from petrelway.capacity.slopes import Evidence, Slope, fit
from petrelway.emulator.policy_traffic import REST_S, VOTERS, ObservedCouncil, SpanCost, document

SIZES = (9, 20, 40, 80, 160, 300, 600)
QUICK_SIZES = (9, 18, 36, 72)
REPEATS = 3  # of the one change: its time depends on which voter the entry asks first
SHORT_REPEATS = 9  # up to SHORT_UP_TO members, where a change takes little CPU and others' load shows in it
SHORT_UP_TO = 80
BURST = 5
REST_MEASURED_S = 20.0
DIMENSION = "member"
CONDITIONS = {"document_characters": float(len(document(1))), "voters": float(VOTERS), "one_way_ms": 0.5}
ONE_CHANGE = (
    "from the request until the operator is told the end, by a leader that made a change before; the base"
    " holds the leader's heartbeats to the other voters in that span; operators ask by way of one member"
)


class SizeCost(msgspec.Struct, frozen=True):
    """What was measured at one size."""

    change: SpanCost
    change_cpu_us: float
    in_force_s: float
    rest: SpanCost | None = None
    burst: SpanCost | None = None
    burst_in_force_s: float = 0.0
    silent: SpanCost | None = None


def measure(quick: bool) -> list[Slope]:
    """All slopes by changes; `quick`: at smaller sizes."""
    sizes = QUICK_SIZES if quick else SIZES
    costs = {size: _measure_size(size) for size in sizes}
    return [*_change_slopes(costs), *_burst_slopes(costs), *_silent_slopes(costs), *_rest_slopes(costs)]


# -- one size


def _started(size: int) -> ObservedCouncil:
    council = ObservedCouncil(size)
    council.begin()
    return council


def _measure_change(council: ObservedCouncil) -> SizeCost:
    """One change, repeated; messages and bytes are those of the first one."""
    changes: list[SpanCost] = []
    in_force_s: list[float] = []
    for _ in range(_repeats(council.size)):
        began_s = council.sim.now_s
        changes.append(_adopted(council.request_changes(1)))
        in_force_s.append(council.activation_s(council.version(), began_s))
        council.run_for(REST_S)
    return SizeCost(
        change=changes[0],
        change_cpu_us=min(change.leader_cpu_us for change in changes),
        in_force_s=statistics.median(in_force_s),
    )


def _repeats(size: int) -> int:
    return SHORT_REPEATS if size <= SHORT_UP_TO else REPEATS


def _measure_size(size: int) -> SizeCost:
    council = _started(size)
    single = _measure_change(council)
    rest = council.rest(REST_MEASURED_S)
    burst_began_s = council.sim.now_s
    burst = _adopted(council.request_changes(BURST))
    burst_in_force_s = council.activation_s(council.version(), burst_began_s)
    council.run_for(REST_S)
    council.vanish(size - 1)
    silent = council.request_changes(1)
    return msgspec.structs.replace(
        single, rest=rest, burst=burst, burst_in_force_s=burst_in_force_s, silent=silent
    )


def _adopted(cost: SpanCost) -> SpanCost:
    if set(cost.states) != {"adopted"}:
        raise SystemExit(f"changes that should have been adopted ended as {cost.states}")
    return cost


# -- slopes


def _slope(
    name: str, unit: str, costs: dict[int, SizeCost], cost: Callable[[SizeCost], float], note: str
) -> Slope:
    points = [(float(size), cost(one)) for size, one in costs.items()]
    return fit(f"changes.{name}_by_members", unit, DIMENSION, Evidence.EMULATED, points, CONDITIONS, note)


def _change_slopes(costs: dict[int, SizeCost]) -> list[Slope]:
    leader = f"sent by the leader for one change: {ONE_CHANGE}"
    received = f"received by the leader for one change: {ONE_CHANGE}"
    member = "sent and received for one change by a member that is neither voter nor entry, mean of them"
    in_force = (
        f"from the request until each member runs under it, median of {REPEATS} or more;"
        " CPU takes no time in it"
    )
    cpu = (
        "process clock around the leader's turns for one change, without sockets,"
        f" least of {REPEATS} or more; each answer of a member starts a turn that visits all members,"
        " so that beyond the knee it grows with their square and the line understates it"
    )
    return [
        _slope("leader_messages", "messages", costs, lambda c: c.change.leader.messages_sent, leader),
        _slope("leader_bytes", "B", costs, lambda c: c.change.leader.bytes_sent, leader),
        _slope(
            "leader_received_messages",
            "messages",
            costs,
            lambda c: c.change.leader.messages_received,
            received,
        ),
        _slope("leader_received_bytes", "B", costs, lambda c: c.change.leader.bytes_received, received),
        _slope("member_messages", "messages", costs, lambda c: c.change.member.messages, member),
        _slope("member_bytes", "B", costs, lambda c: c.change.member.bytes, member),
        _slope("in_force_s", "s", costs, lambda c: c.in_force_s, in_force),
        _slope("leader_cpu", "us", costs, lambda c: c.change_cpu_us, cpu),
    ]


def _burst_slopes(costs: dict[int, SizeCost]) -> list[Slope]:
    note = f"{BURST} changes asked for at once, each made from the version that the one before gives"
    return [
        _slope(
            "burst_s", "s", costs, lambda c: c.burst_in_force_s, f"{note}; until the last runs everywhere"
        ),
        _slope("burst_leader_bytes", "B", costs, lambda c: c.burst.leader.bytes_sent, f"{note}; sent"),
    ]


def _silent_slopes(costs: dict[int, SizeCost]) -> list[Slope]:
    states = sorted({state for cost in costs.values() for state in cost.silent.states})
    note = (
        "one change while one member has vanished without a refusal, silent members serve on by policy;"
        f" it was {' or '.join(states)} at every size; until the operator is told"
    )
    return [
        _slope("silent_s", "s", costs, lambda c: c.silent.duration_s, note),
        _slope(
            "silent_leader_messages",
            "messages",
            costs,
            lambda c: c.silent.leader.messages_sent,
            f"{note}; sent",
        ),
    ]


def _rest_slopes(costs: dict[int, SizeCost]) -> list[Slope]:
    note = f"sent and received over {REST_MEASURED_S:g} s without a change, {REST_S:g} s after one"
    return [
        _slope(
            "rest_leader_messages",
            "messages/s",
            costs,
            lambda c: c.rest.leader.messages / REST_MEASURED_S,
            note,
        ),
        _slope("rest_leader_bytes", "B/s", costs, lambda c: c.rest.leader.bytes / REST_MEASURED_S, note),
        _slope(
            "rest_member_messages",
            "messages/s",
            costs,
            lambda c: c.rest.member.messages / REST_MEASURED_S,
            note,
        ),
    ]
