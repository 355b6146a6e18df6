"""Hunts for days on which a rule is broken or service is worst, and cuts a find down. Pure but for `play`.

Own search rather than hypothesis: one try takes seconds and is played on all cores, the draw is of a dozen
numbers whose ranges we know, and cutting down must keep the same violation, not any failure.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from ..settings.days import KINDS

MOST_FAULTS = 5
SIZES: dict[str, tuple[float, float, float]] = {  # kind -> low and high size, and extra
    "slow": (2, 12, 0),
    "fast_errors": (0.1, 1, 0),
    "pauses": (100, 900, 1),
    "burst": (1.5, 4, 0),
    "heavy_tail": (4, 20, 0.04),
    "zone_loss": (0, 1, 0),
    "deploy": (0.1, 0.5, 2),
    "balancer_stall": (200, 1500, 1.5),
    "origin_slow": (2, 12, 0),
    "flush": (0.2, 1, 0),
    "scan": (0.05, 0.4, 0),
    "shift": (0.3, 1, 0),
    "throttle": (0.1, 0.5, 0.2),
    "ageing": (3, 12, 0),
    "reset_mid_frame": (0.02, 0.3, 0),
    "garbage": (0.02, 0.3, 0),
    "far": (5, 150, 0),
    "loss": (0.005, 0.2, 0),
}


class Find(NamedTuple):
    """A day's tree, the rules that it breaks and its service."""

    tree: dict[str, Any]
    rules: frozenset[int]
    service: float

    def worse(self, than: Find) -> bool:
        return (len(self.rules), -self.service) > (len(than.rules), -than.service)


def drawn(base: dict[str, Any], random_source: random.Random, kinds: list[str]) -> dict[str, Any]:
    """The base day with another seed and up to five faults of the kinds, any overlap."""
    tree = copy.deepcopy(base)
    length = tree["day"]["length_s"]
    tree["day"]["seed"] = random_source.randrange(1, 1 << 20)
    tree["troubles"] = []
    for _ in range(random_source.randint(1, MOST_FAULTS)):
        kind = random_source.choice(kinds)
        low, high, extra = SIZES.get(kind, (1.0, 1.0, 0.0))
        fault = {
            "kind": kind,
            "at_s": round(length * random_source.uniform(0.1, 0.7), 2),
            "len_s": round(length * random_source.uniform(0.05, 0.4), 2),
            "part": round(random_source.uniform(0.05, 0.7), 2),
            "size": round(random_source.uniform(low, high), 3),
            "which": random_source.randrange(4),
        }
        if extra:
            fault["extra"] = extra
        if kind == "zone_loss" and random_source.random() < 0.5:
            fault["how"] = "silent"
        tree["troubles"].append(fault)
    return tree


def simpler(tree: dict[str, Any], smaller: bool) -> Iterator[dict[str, Any]]:
    """Days with less in them, the greatest cuts first. `smaller`: also smaller fleets, less traffic.

    Danger: a smaller fleet under the same traffic is served worse for a reason that is not the find's.
    """
    faults = tree["troubles"]
    for i in range(len(faults)):
        yield {**tree, "troubles": faults[:i] + faults[i + 1 :]}
    fleet = tree["fleet"]
    for name, least in (("fronts", 1), ("executors", len(fleet["halls"]))):
        if smaller and fleet.get(name, 3) > least:
            yield {**tree, "fleet": {**fleet, name: max(least, fleet.get(name, 3) // 2)}}
    length = tree["day"]["length_s"]
    last = max((t["at_s"] + t.get("len_s", 10.0) for t in faults), default=0.0)
    if last + 1.0 < 0.9 * length:
        yield {**tree, "day": {**tree["day"], "length_s": round(last + 1.0, 2)}}
    for i, fault in enumerate(faults):
        for name in ("len_s", "part"):
            value = fault.get(name, 0.0)
            if value > 0.2:
                less = {**fault, name: round(value / 2, 3)}
                yield {**tree, "troubles": [*faults[:i], less, *faults[i + 1 :]]}
    if smaller and tree["traffic"]["rate"] > 20:
        yield {**tree, "traffic": {**tree["traffic"], "rate": tree["traffic"]["rate"] / 2}}


def cut_down(
    find: Find, play: Callable[[dict[str, Any]], Find], tries: int, slack: float = 0.05
) -> tuple[Find, int]:
    """The smallest day found that still breaks one of the same rules, or, where none is broken, is served no
    better than the find by more than `slack`. Plays at most `tries` days; how many it played goes along."""
    played = 0
    again = True
    while again and played < tries:
        again = False
        for tree in simpler(find.tree, bool(find.rules)):
            if played >= tries:
                break
            played += 1
            other = play(tree)
            keeps = other.rules & find.rules if find.rules else other.service <= find.service + slack
            if keeps:
                find = (
                    other._replace(rules=other.rules)
                    if find.rules
                    else other._replace(service=max(other.service, find.service))
                )
                again = True
                break
    return find, played


def all_kinds() -> list[str]:
    return list(KINDS)
