"""A day's script, pure: who exists, and what happens to whom when. The same seed gives the same script.

Every stand-in process makes the same script from the same day, so nothing needs to be told while it plays.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from .fault_schedule import EXECUTORS, KINDS, REGISTRY, NetworkFault

EXECUTORS_BOUND = 250  # behind the faulty network


class Post(NamedTuple):
    """One executor of the script; a successor in a deploy is a post of its own."""

    number: int
    name: str
    zone: int
    cell: int
    kind: int
    speed: float
    begins_ms: float  # 0: runs when the day begins, warm


class Happening(NamedTuple):
    """`who` is executor, front, store, client, registry or network; `number` which of them, -1 for all."""

    at_ms: float
    who: str
    number: int
    what: str
    size: float = 0.0
    extra: float = 0.0
    which: int = 0


class Script(NamedTuple):
    posts: list[Post]
    happenings: list[Happening]


EXECUTOR_SPELLS = {
    "slow": "slow",
    "hang": "freeze",
    "fast_errors": "errors",
    "pauses": "pauses",
    "throttle": "throttle",
    "ageing": "ageing",
    "never_read": "never read",
    "half_open": "half open",
    "reset_mid_frame": "reset mid-frame",
    "one_byte": "one byte",
    "garbage": "garbage",
}
CLIENT_SPELLS = {"burst": "burst", "heavy_tail": "heavy tail", "scan": "scan", "shift": "shift"}


def write(day: dict[str, Any]) -> Script:
    """The script of a day's sections."""
    fleet, times = day["fleet"], day["day"]
    random_source = random.Random(f"{times.seed}/posts")
    posts = [_post(fleet, random_source, i, i % len(fleet.zones), 0.0) for i in range(fleet.executors)]
    happenings: list[Happening] = []
    alive = list(range(fleet.executors))
    for i, fault in enumerate(day["troubles"]):
        _script(day, fault, random.Random(f"{times.seed}/trouble {i}"), posts, alive, happenings)
    for i, fault in enumerate(day["fleet_troubles"]):
        _to_front_ends(fleet, fault, random.Random(f"{times.seed}/fleet trouble {i}"), happenings)
    happenings.sort(key=lambda h: h.at_ms)
    return Script(posts, _possible(happenings))


def network_faults(day: dict[str, Any], epoch_ms: float) -> list[NetworkFault]:
    """What a day puts between its front ends. Times in ms, counted as the epoch is."""
    every, found = frozenset(range(day["fleet"].fronts)), []
    for x in day["fleet_troubles"]:
        if x.kind in KINDS:
            some = frozenset(x.on) or every
            if x.to == "roster":
                others = frozenset([REGISTRY])
            elif x.to == "executors":
                others = frozenset(EXECUTORS + n for n in x.others or range(EXECUTORS_BOUND))
            else:
                others = frozenset(x.others) or every - frozenset(x.on) or every
            begin = epoch_ms + x.at_s * 1e3
            end = begin + x.len_s * 1e3 if x.len_s else float("inf")
            found.append(NetworkFault(x.kind, some, others, begin, end, x.size, x.extra))
    return found


def other_ways(day: dict[str, Any]) -> bool:
    """Whether the ways of front ends to list service and executors pass the faulty network too."""
    return any(x.to != "members" for x in day["fleet_troubles"])


def late(day: dict[str, Any]) -> frozenset[int]:
    """The front ends that are not there when the day begins."""
    return frozenset(n for x in day["fleet_troubles"] if x.kind == "late" for n in x.on)


def _to_front_ends(fleet, x, random_source: random.Random, add: list[Happening]) -> None:
    begins, ends = {"kill": ("kill", "start"), "stop": ("stop", "go on"), "leave": ("leave", "start")}.get(
        x.kind, ("", "")
    )
    at, end = x.at_s * 1e3, (x.at_s + x.len_s) * 1e3
    if x.kind == "late":
        add.extend(Happening(at, "front", f, "start") for f in x.on)
    elif begins:
        for f in x.on or _some(random_source, list(range(fleet.fronts)), x.part):
            add.append(Happening(at, "front", f, begins))
            if x.len_s:
                add.append(Happening(end, "front", f, ends))


def _possible(happenings: list[Happening]) -> list[Happening]:
    """Faults overlap: what would happen to an executor that has been replaced does not."""
    left: set[int] = set()
    found = []
    for h in happenings:
        if h.who == "executor" and h.number in left:
            continue
        if h.what == "leave":
            left.add(h.number)
        found.append(h)
    return found


def _post(fleet, random_source: random.Random, number: int, zone: int, begins_ms: float) -> Post:
    kind = random_source.choices(range(len(fleet.kinds)), [k.share for k in fleet.kinds])[0]
    speed = random_source.uniform(*fleet.kinds[kind].speed)
    return Post(number, f"executor-{number}", zone, number // fleet.cell_size, kind, speed, begins_ms)


def _some(random_source: random.Random, among: list[int], part: float) -> list[int]:
    return sorted(random_source.sample(among, min(len(among), max(1, round(part * len(among))))))


def _script(
    day, x, random_source: random.Random, posts: list[Post], alive: list[int], add: list[Happening]
) -> None:
    at, end = x.at_s * 1e3, (x.at_s + x.len_s) * 1e3
    fleet = day["fleet"]
    if x.kind in EXECUTOR_SPELLS:
        what = EXECUTOR_SPELLS[x.kind]
        for e in x.on or _some(random_source, alive, x.part):
            begin = at
            if what == "pauses":
                begin += random_source.random() * max(1.0, x.extra) * 1e3  # out of step
            add.append(Happening(begin, "executor", e, what, x.size, x.extra, x.which))
            add.append(Happening(end, "executor", e, f"end {what}", x.size, x.extra, x.which))
            if what == "ageing":  # it dies at the end and comes back cold
                add.append(Happening(end, "executor", e, "die"))
                add.append(Happening(end + 1000.0, "executor", e, "start"))
    elif x.kind in CLIENT_SPELLS:
        what = CLIENT_SPELLS[x.kind]
        add.append(Happening(at, "client", -1, what, x.size, x.extra, x.which))
        if what != "shift":  # a shift is for good
            add.append(Happening(end, "client", -1, f"end {what}", x.size, x.extra, x.which))
    elif x.kind == "zone_loss":
        silent = x.how == "silent"
        for post in list(posts):
            if post.zone == x.which % len(fleet.zones) and post.begins_ms <= at:
                add.append(Happening(at, "executor", post.number, "freeze" if silent else "die"))
                # what was silent for so long has been restarted by its operators
                if silent:
                    add.append(Happening(end - 1.0, "executor", post.number, "die"))
                add.append(Happening(end, "executor", post.number, "start"))
        if x.size > 0.5:
            for f in range(fleet.fronts):
                if f % len(fleet.zones) == x.which % len(fleet.zones):
                    add.append(Happening(at, "front", f, "kill"))
                    add.append(Happening(end, "front", f, "start"))
    elif x.kind == "deploy":
        olds = x.on or _some(random_source, alive, x.part)
        batch = max(1, round(x.size * len(alive)))
        rounds = [olds[i : i + batch] for i in range(0, len(olds), batch)]
        for i, some in enumerate(rounds):
            begin = at + i * (end - at) / len(rounds)
            for old in some:
                new = _post(fleet, random_source, len(posts), posts[old].zone, begin)._replace(
                    cell=posts[old].cell, kind=posts[old].kind
                )
                posts.append(new)
                alive[alive.index(old)] = new.number
                add.append(Happening(begin, "executor", new.number, "start"))
                add.append(Happening(begin, "executor", old, "drain"))
                add.append(Happening(begin + max(1.0, x.extra) * 1e3, "executor", old, "leave"))
    elif x.kind == "balancer_crash":
        for f in x.on or _some(random_source, list(range(fleet.fronts)), x.part):
            add.append(Happening(at, "front", f, "kill"))
            add.append(Happening(end, "front", f, "start"))
    elif x.kind == "balancer_stall":
        for f in x.on or _some(random_source, list(range(fleet.fronts)), x.part):
            begin = at + random_source.random() * max(0.5, x.extra) * 1e3
            while begin < end:
                add.append(Happening(begin, "front", f, "stop"))
                add.append(Happening(begin + x.size, "front", f, "go on"))
                begin += max(0.5, x.extra) * 1e3 + x.size
    elif x.kind == "origin_slow":
        add.append(Happening(at, "store", -1, "slow", x.size))
        add.append(Happening(end, "store", -1, "slow", 1.0))
    elif x.kind == "flush":
        add.append(Happening(at, "executor", -1, "flush", x.size or x.part, random_source.random()))
    elif x.kind in ("cut", "far", "loss"):
        add.append(Happening(at, "network", -1, x.kind, x.size, x.extra, x.which))
        add.append(Happening(end, "network", -1, f"end {x.kind}", x.size, x.extra, x.which))
    elif x.kind == "roster_gap":
        add.append(Happening(at, "roster", -1, "gap"))
    else:
        add.append(Happening(at, "roster", -1, "down"))
        add.append(Happening(end, "roster", -1, "up"))
