"""Hashes of names that processes compute by themselves and must agree about."""

from __future__ import annotations

from typing import Any, NamedTuple

from forms_policy_files import load

from petrelway.policy.log_entries import PersistentState
from petrelway.policy.raft import RaftNode
from petrelway.routing.hash_ring import HashRing, RingWindow
from petrelway.routing.ranking import FunctionRank, shared_rank
from petrelway.routing.selection import Function
from petrelway.routing.state import salt_of

TOPIC = "shared_hashes"
RING_SIZE = 600  # executors, so that the ring is cut into several arcs
FIRST_HOMES = 12
ELECTIONS = 3


class Placed(NamedTuple):
    """An executor on the ring."""

    stable: str
    salt: int


def salts() -> list[list[Any]]:
    """Names of executors and functions with their salts."""
    names = [*load(TOPIC, "executors.json"), *load(TOPIC, "functions.json")]
    return [[name, salt_of(name)] for name in names]


def ranks() -> list[list[Any]]:
    """Each function's point, and its rank of each executor."""
    executors = [Placed(name, salt_of(name)) for name in load(TOPIC, "executors.json")]
    found = []
    for name in load(TOPIC, "functions.json"):
        function = Function(0, name, 1, 0.0, 0.0)
        drawn = [shared_rank(function.salt, executor.salt) for executor in executors]
        assert drawn == [function.rank(executor) for executor in executors]
        found.append([name, function.salt, function.rank.point, drawn])
    return found


def arcs() -> list[list[Any]]:
    """Into how many arcs each function cuts the ring at each size of the fleet."""
    sizes = load(TOPIC, "sizes.json")
    return [
        [name, [FunctionRank(salt_of(name)).arcs(size) for size in sizes]]
        for name in load(TOPIC, "functions.json")
    ]


def first_homes() -> list[list[Any]]:
    """The executors that each function considers first in a larger fleet."""
    ring: HashRing[Placed] = HashRing()
    for number in range(RING_SIZE):
        name = f"executor-{number}"
        ring.add(Placed(name, salt_of(name)))
    found = []
    for name in load(TOPIC, "functions.json"):
        window: RingWindow[Placed] = RingWindow(FunctionRank(salt_of(name)))
        found.append([name, [executor.stable for executor in window.first(ring, FIRST_HOMES)]])
    return found


def election_times() -> list[list[Any]]:
    """When a keeper that hears nobody asks for votes: keepers draw different times from their names."""
    found = []
    for name, token, term in load(TOPIC, "keepers.json"):
        keeper = RaftNode(0.0, name, (name, "other-1", "other-2"), token, PersistentState(False, term))
        times = []
        for _ in range(ELECTIONS):
            times.append(keeper.timer_ms)
            while keeper.next_action(times[-1]) is not None:
                pass
        found.append([name, token, term, times])
    return found


FILES = {
    "salts.json": salts,
    "ranks.json": ranks,
    "arcs.json": arcs,
    "first_homes.json": first_homes,
    "election_times.json": election_times,
}
