"""The slopes of `capacity_members.py` in simulated time, with the program's own deciders, for
`benchmarks/capacity.py members-emulated`. CPU and memory would be the emulation's own, and are left out."""

from __future__ import annotations

import multiprocessing
from collections import defaultdict

from member_quantities import (
    DETECTION_BOUND_S,
    FIRST_OF_RACK,
    JOIN_BOUND_S,
    POLL_S,
    RACK_WINDOW_S,
    REST_S,
    SETTLE_S,
    SPREADING_S,
    Points,
    rack_of,
    slopes_of,
)

from petrelway.capacity.slopes import Evidence, Slope
from petrelway.emulator.settled_membership import CountedSea, introduced_sea
from petrelway.membership.messages import MemberState

SIZES = (125, 250, 500, 1000)
QUICK_SIZES = (16, 32, 64, 128)


def emulated_at(size: int) -> dict[str, float]:
    """One fleet through its start, rest, the loss of a rack and a new member."""
    found: dict[str, float] = {}
    sea = introduced_sea(size)
    sea.sim.run(sea.sim.now_s + SETTLE_S)
    found["bytes_spreading"] = sea.rates(SPREADING_S, size)["bytes"]
    sea.settle()
    sea.sim.run(sea.sim.now_s + SETTLE_S)
    at_rest = sea.rates(REST_S, size)
    found["bytes"] = at_rest["bytes"]
    found["messages"] = at_rest["datagrams"]
    rack = range(FIRST_OF_RACK, FIRST_OF_RACK + rack_of(size))
    if lose_rack(sea, rack, found):
        add_member(sea, rack, found)
    return found


def lose_rack(sea: CountedSea, rack: range, found: dict[str, float]) -> bool:
    """The rack's members are stopped, so that nobody answers and no port refuses. False if not all of it was
    detected within the bound."""
    for number in rack:
        sea.peers[number].process.freeze()
    staying = [peer.members for number, peer in sea.peers.items() if number not in rack]
    began_s, before = sea.sim.now_s, sea.counts.copy()
    while "rack_detected_s" not in found or "rack_bytes" not in found:
        sea.sim.run(sea.sim.now_s + POLL_S)
        passed_s = sea.sim.now_s - began_s
        if passed_s > DETECTION_BOUND_S:
            return False
        if "rack_detected_s" not in found:
            if min(len(members.by_state[MemberState.DEAD]) for members in staying) >= len(rack):
                found["rack_detected_s"] = passed_s
        if "rack_bytes" not in found and passed_s >= RACK_WINDOW_S:
            living_s = len(staying) * passed_s
            found["rack_bytes"] = (sea.counts["bytes"] - before["bytes"]) / living_s
            found["rack_messages"] = (sea.counts["datagrams"] - before["datagrams"]) / living_s
    return True


def add_member(sea: CountedSea, rack: range, found: dict[str, float]) -> None:
    """A new process under a name of the rack, until it holds all that live alive and nobody unheard."""
    living = len(sea.ids) - len(rack)
    sea.kill(rack[0])
    began_s = sea.sim.now_s
    sea.watched = rack[0]
    joiner = sea.start(rack[0]).members
    while len(joiner.by_state[MemberState.ALIVE]) < living or joiner.by_state[MemberState.UNKNOWN]:
        if sea.sim.now_s > began_s + JOIN_BOUND_S:
            return
        sea.sim.run(sea.sim.now_s + POLL_S)
    found["join_s"] = sea.sim.now_s - began_s
    found["join_bytes"] = float(sea.watched_bytes)


def measure(quick: bool) -> list[Slope]:
    """All emulated slopes by members."""
    sizes = QUICK_SIZES if quick else SIZES
    points: Points = defaultdict(list)
    with multiprocessing.get_context("spawn").Pool(1, maxtasksperchild=1) as pool:
        for size, found in zip(sizes, pool.imap(emulated_at, sizes), strict=False):
            for name, cost in found.items():
                points[name].append((size, cost))
            print(f"  {size} members emulated", flush=True)
    return slopes_of(points, "members_emulated", Evidence.EMULATED)
