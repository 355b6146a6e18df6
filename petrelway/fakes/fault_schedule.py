"""The faulty network between front ends, pure: which message passes when. Clock and chance handed in; times
in ms.

A `NetworkFault` is one fault on the ways from some members to others; those that overlap add up. The
fault-injecting proxy on sockets (fault_proxy.py) and the emulator ask the same schedule."""

from __future__ import annotations

import random
from typing import NamedTuple

RANDOM_LABEL = "straits"  # must stay as it is: with another, a seed would play other losses and delays
KINDS = ("loss", "delay", "double", "reorder", "cut", "one way", "flap")
FAULTS_BOUND = 1000  # at a time
REGISTRY, EXECUTORS = 1000, 1001  # the list service as a place, and the first executor; members count from 0


class NetworkFault(NamedTuple):
    """`size`: share of messages (loss, double, reorder) or ms (delay); `extra`: ms of jitter (delay), of the
    second copy or the late one (double, reorder), of each half of a flap. `one way` holds from `some` to
    `others` only."""

    kind: str
    some: frozenset[int]
    others: frozenset[int]
    begin_ms: float
    end_ms: float
    size: float = 1.0
    extra: float = 0.0


def fault_random_source(seed: int) -> random.Random:
    """The random source of the network faults of a day with this seed, apart from the day's other sources."""
    return random.Random(f"{seed}/{RANDOM_LABEL}")


class FaultSchedule:
    """The faults of one network.

    >>> s = FaultSchedule(random.Random(1))
    >>> s.add(NetworkFault("one way", frozenset([0]), frozenset([1]), 100.0, 200.0))
    >>> s.carry(50.0, 0, 1), s.carry(150.0, 0, 1), s.carry(150.0, 1, 0), s.carry(200.0, 0, 1)
    ([0.0], [], [0.0], [0.0])
    """

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.standing: list[NetworkFault] = []

    def add(self, fault: NetworkFault) -> None:
        """Raises ValueError for a kind that is none, or one too many."""
        if fault.kind not in KINDS:
            raise ValueError(f"found {fault.kind!r}; allowed: {', '.join(KINDS)}")
        if len(self.standing) >= FAULTS_BOUND:
            raise ValueError(f"{FAULTS_BOUND} faults at a time at most")
        self.standing.append(fault)

    def clear(self, now: float) -> None:
        """From now on nothing is in the way."""
        self.standing = [s._replace(end_ms=min(s.end_ms, now)) for s in self.standing if s.begin_ms < now]

    def over(self, now: float) -> None:
        """Forget what has ended."""
        self.standing = [s for s in self.standing if s.end_ms > now]

    def _on(self, now: float, one: int, other: int):
        for s in self.standing:
            if s.begin_ms <= now < s.end_ms:
                there = one in s.some and other in s.others
                if there or (s.kind != "one way" and other in s.some and one in s.others):
                    yield s

    def is_cut(self, now: float, one: int, other: int) -> bool:
        """Whether nothing at all passes from one to the other now."""
        for s in self._on(now, one, other):
            down = s.kind == "flap" and int((now - s.begin_ms) / max(1.0, s.extra)) % 2 == 0
            if s.kind in ("cut", "one way") or down:
                return True
        return False

    def late_ms(self, now: float, one: int, other: int) -> float:
        """How long a message that passes now takes."""
        late = 0.0
        for s in self._on(now, one, other):
            if s.kind == "delay":
                late += max(0.0, s.size + s.extra * (2.0 * self.random_source.random() - 1.0))
        return late

    def carry(self, now: float, one: int, other: int) -> list[float]:
        """In how many ms each copy of a datagram arrives; none: it is lost."""
        if self.is_cut(now, one, other):
            return []
        replicas = [self.late_ms(now, one, other)]
        for s in self._on(now, one, other):
            if s.kind == "loss":
                replicas = [c for c in replicas if self.random_source.random() >= s.size]
            elif s.kind == "double" and replicas and self.random_source.random() < s.size:
                replicas.append(replicas[0] + s.extra)
            elif s.kind == "reorder" and replicas and self.random_source.random() < s.size:
                replicas[0] += s.extra
        return replicas
