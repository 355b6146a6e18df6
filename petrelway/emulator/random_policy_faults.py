"""Drawn faults of front ends that change their terms: whole plays from a seed, judged."""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import NamedTuple

from ..fakes.fault_schedule import FaultSchedule, NetworkFault, fault_random_source
from ..fakes.in_memory_network import World
from ..invariants.policy_checker import Violation, judge
from .policy_simulation import Council

STEP_S = 0.25
QUIET_S = 40.0  # after the last fault: by then a change has to go through
KILLS = (
    "kill",
    "kill keeper",
    "die at a sync",
    "stop",
    "stop keeper",
    "network fault",
    "network fault",
    "all keepers",
)
KINDS = ("loss", "delay", "double", "reorder", "cut", "one way", "flap")


class Played(NamedTuple):
    seed: int
    breaches: list[Violation]
    adopted: int
    ended: int
    states: Counter[str]
    back: bool  # a change went through after the last fault
    turned_away: float  # share of the requests


def document(number: int, random_source: random.Random) -> str:
    found = {"n": number}
    if random_source.random() < 0.15:
        found["unfit"] = 1
    if random_source.random() < 0.35:
        found["adoption"] = {"silent": "stop"}
    return json.dumps(found)


class Storm:
    """One play: requests and changes all the while, faults for `length_s`, then quiet."""

    def __init__(
        self,
        seed: int,
        size: int = 9,
        keepers: int = 3,
        length_s: float = 60.0,
        every_s: float = 0.1,
        hard: float = 1.0,
    ) -> None:
        """`hard`: how often faults begin, against twice in three seconds."""
        self.random_source = random.Random(f"{seed}/storm")
        self.council = Council(World(), FaultSchedule(fault_random_source(seed)), size, keepers, seed,
                               every_s=every_s)  # fmt: skip
        self.seed, self.length_s, self.hard = seed, length_s, hard
        self.later: list[tuple[float, str, int]] = []
        self.wishes: dict[str, tuple[int, str, int]] = {}  # id -> base, document, by way of whom
        self.ended: Counter[str] = Counter()
        self.made = 0

    def play(self) -> Played:
        council, random_source = self.council, self.random_source
        for number in range(council.size):
            if number < council.keepers or random_source.random() < 0.9:
                council.start(number)
            else:
                self.later.append((council.sim.now_s + random_source.uniform(0, 20), "start", number))
        council.sim.run(council.sim.now_s + 3.0)
        end = council.sim.now_s + self.length_s
        while council.sim.now_s < end:
            self._step(True)
        self._quiet()
        back = None
        for number in range(30):  # stale until it is made from what holds
            back = council.change(f"last-{number}", self._holds(), json.dumps({"n": "last"}), most_s=40.0)
            if back is None or back.state == "adopted":
                break
        council.sim.run(council.sim.now_s + 2.0)
        council.history()
        counts = council.counts
        return Played(
            self.seed, judge(council.lines), self.ended["adopted"], sum(self.ended.values()), self.ended,
            back is not None and back.state == "adopted",
            counts["turned away"] / max(1, counts["taken"] + counts["turned away"]),
        )  # fmt: skip

    def _holds(self) -> int:
        leader = self.council.leader()
        return self.council.ones[leader].party.raft.state.version if leader is not None else 0

    def _step(self, troubled: bool) -> None:
        council, random_source, now = self.council, self.random_source, self.council.sim.now_s
        for each in [x for x in self.later if x[0] <= now]:
            self.later.remove(each)
            self._happen(*each[1:])
        if troubled and random_source.random() < self.hard * STEP_S / 1.5:
            self._fault(now)
        if len(self.wishes) < 2 and random_source.random() < STEP_S / 4.0:
            self.made += 1
            base = self._holds() if random_source.random() < 0.9 else max(0, self._holds() - 1)
            alive = sorted(council.ones)
            if alive:
                self.wishes[f"p{self.made}"] = (
                    base,
                    document(self.made, random_source),
                    random_source.choice(alive),
                )
        for id, (base, text, by) in list(self.wishes.items()):
            progress = council.wish(by, id, base, text)
            if progress is None:  # it was killed with the operator's word: by way of another one
                alive = sorted(council.ones)
                if alive:
                    self.wishes[id] = base, text, random_source.choice(alive)
            elif progress.state != "under way":
                council.note("change", id=id, base=base, state=progress.state, version=progress.version)
                self.ended[progress.state] += 1
                del self.wishes[id]
        council.sim.run(now + STEP_S)

    def _happen(self, what: str, number: int) -> None:
        council = self.council
        if what == "start":
            council.start(number)
        elif what == "go on" and number in council.ones:
            council.ones[number].process.thaw()

    def _fault(self, now: float) -> None:
        council, random_source = self.council, self.random_source
        kind = random_source.choice(KILLS)
        keeps = "keeper" in kind or kind == "die at a sync"
        number = random_source.randrange(council.keepers if keeps else council.size)
        back = now + random_source.choice((0.3, 1.0, 3.0, 8.0, 20.0))
        if kind in ("kill", "kill keeper"):
            council.kill(number)
            self.later.append((back, "start", number))
        elif kind == "die at a sync":
            council.dying[number] = random_source.randrange(1, 4)
            self.later.append((back + 2.0, "start", number))
        elif kind == "all keepers" and random_source.random() < 0.3:
            for each in range(council.keepers):
                council.kill(each)
                self.later.append((back + random_source.random(), "start", each))
        elif kind in ("stop", "stop keeper") and number in council.ones:
            council.ones[number].process.freeze()
            self.later.append((back, "go on", number))
        elif kind == "network fault":
            self._network_fault(now, back)

    def _network_fault(self, now: float, back: float) -> None:
        council, random_source = self.council, self.random_source
        kind, every = random_source.choice(KINDS), frozenset(range(council.size))
        some = frozenset(random_source.sample(sorted(every), random_source.randrange(1, council.size)))
        size, extra = 1.0, 0.0
        if kind in ("loss", "double", "reorder"):
            some, size, extra = (
                every,
                random_source.uniform(0.05, 0.4),
                random_source.choice((50.0, 500.0, 5000.0)),
            )
        elif kind == "delay":
            size = random_source.choice((20.0, 200.0, 1000.0, 4000.0))
            extra = size / 2
        elif kind == "flap":
            extra = random_source.choice((200.0, 1000.0, 3000.0))
        council.faults.over(now * 1e3)
        council.faults.add(
            NetworkFault(kind, some, every - some or every, now * 1e3, back * 1e3, size, extra)
        )

    def _quiet(self) -> None:
        """All faults are over, all are there again."""
        council = self.council
        council.faults.clear(council.now())
        council.dying.clear()
        for number in range(council.size):
            if number in council.ones:
                council.ones[number].process.thaw()
            council.start(number)
        self.later.clear()
        end = council.sim.now_s + QUIET_S
        while council.sim.now_s < end and self.wishes:
            self._step(False)
        self.wishes.clear()
        council.sim.run(council.sim.now_s + 2.0)


def play(seed: int, size: int = 9, keepers: int = 3, length_s: float = 60.0, hard: float = 1.0) -> Played:
    return Storm(seed, size, keepers, length_s, hard=hard).play()
