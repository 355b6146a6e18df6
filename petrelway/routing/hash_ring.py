"""A hash ring of executors, and windows on it that stay sorted by rank as executors come and go.

Containers alone: how wide a window is, where it begins and how its executors rank is decided by who uses
them, `petrelway/routing/ranking.py`. Imports nothing but the standard library and does no I/O.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator
from itertools import chain
from typing import Generic, Protocol, TypeVar

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
WHOLE_RING = 1 << HASH_BITS  # its circumference

# Both bound time and memory; no order hangs on them.
CHANGES_KEPT = 128  # past about so many changes to look at each costs more than a window sorted anew
REBUILD_SHARE = 8  # a window is sorted anew when more than one in so many of its members changed


class RingMember(Protocol):
    """What the ring needs to know of an executor; neither changes while it is on the ring."""

    salt: int  # the hash of its stable name, of HASH_BITS
    stable: str  # its stable name, which no other member has


Member = TypeVar("Member", bound=RingMember)


class HashRing(Generic[Member]):
    """Members in the order of their salts, and which of them came or went lately."""

    def __init__(self) -> None:
        self.members: list[Member] = []
        self.version = 0  # changes so far
        self._salts = array("Q")  # of the members, in the same order
        self._recent: list[Member] = []  # that came or went, the latest last; at most CHANGES_KEPT

    def __len__(self) -> int:
        return len(self.members)

    def __contains__(self, member: Member) -> bool:
        place = self._place(member)
        return place < len(self.members) and self.members[place] is member

    def add(self, member: Member) -> None:
        """Put a member on the ring. Raises ValueError if it is there."""
        if member in self:
            raise ValueError(f"{member.stable} is on the ring")
        place = self._place(member)
        self.members.insert(place, member)
        self._salts.insert(place, member.salt)
        self._changed(member)

    def remove(self, member: Member) -> None:
        """Take a member off the ring. Raises ValueError if it is not there."""
        if member not in self:
            raise ValueError(f"{member.stable} is not on the ring")
        place = self._place(member)
        del self.members[place]
        del self._salts[place]
        self._changed(member)

    def index_after(self, point: int) -> int:
        """The index of the first member at or after a point; it may be one past the last."""
        return bisect_left(self._salts, point)

    def arc(self, begin: int, width: int) -> list[Member]:
        """The members from a point on, round the ring, short of the point that is `width` further."""
        first = self.index_after(begin)
        end = begin + width
        if end <= WHOLE_RING:
            return self.members[first : self.index_after(end)]
        return self.members[first:] + self.members[: self.index_after(end - WHOLE_RING)]

    def changed_since(self, version: int) -> list[Member] | None:
        """The members that came or went since a version, or None if that is too long ago."""
        behind = self.version - version
        if behind > len(self._recent):
            return None
        return self._recent[len(self._recent) - behind :]

    def _place(self, member: Member) -> int:
        """Its index, or that at which it would stand. Equal salts stand in the order of stable names."""
        place = bisect_left(self._salts, member.salt)
        while self._precedes(place, member):
            place += 1
        return place

    def _precedes(self, place: int, member: Member) -> bool:
        if place == len(self.members) or self._salts[place] != member.salt:
            return False
        return self.members[place].stable < member.stable

    def _changed(self, member: Member) -> None:
        self.version += 1
        self._recent.append(member)
        if len(self._recent) > CHANGES_KEPT:
            del self._recent[: CHANGES_KEPT // 2]


class Ranking(Protocol):
    """How members rank in one window, where the window begins and how wide it is."""

    point: int  # the window begins there

    def __call__(self, member: RingMember) -> int:
        """The rank of a member, of its salt alone; other salts have other ranks."""

    def arcs(self, members: int) -> int:
        """Into so many arcs of equal width the ring is cut, a power of two; the window is the first."""


class RingWindow(Generic[Member]):
    """All members of a ring in an order that begins with a window: the members of the arc that follows a
    point, highest rank first; then those of the next arc by rank, and so on round the ring. Keeps the window,
    and more only where `first` asked for it. Follows the changes of one ring, which is given at each call."""

    __slots__ = ("_arcs", "_rank", "_tail", "_tail_arcs", "_version", "_window")

    def __init__(self, rank: Ranking) -> None:
        self._rank = rank
        self._version = -1  # of the ring, when the window was brought up to date
        self._arcs = 1  # in the ring
        self._window: list[Member] = []  # the first arc, by rank
        self._tail: list[Member] = []  # the arcs that follow, as far as `first` needed them ...
        self._tail_arcs = 0  # ... so many

    def first(self, ring: HashRing[Member], count: int) -> list[Member]:
        """The first members of the order, at most so many."""
        self._refresh(ring)
        beyond = count - len(self._window)
        if beyond <= 0:
            return self._window[:count]
        while len(self._tail) < beyond and self._tail_arcs < self._arcs - 1:
            self._tail_arcs += 1
            self._tail += self._arc(ring, self._tail_arcs)
        return self._window + self._tail[:beyond]

    def all(self, ring: HashRing[Member]) -> Iterator[Member]:
        """All members in order, each once. The ring must not change meanwhile."""
        self._refresh(ring)
        further = (self._arc(ring, number) for number in range(self._tail_arcs + 1, self._arcs))
        return chain(self._window, self._tail, chain.from_iterable(further))

    def _arc(self, ring: HashRing[Member], number: int) -> list[Member]:
        """The members of an arc by rank. Equal ranks are equal salts, which stay in the order of the ring."""
        width = WHOLE_RING // self._arcs
        begin = (self._rank.point + number * width) & HASH_MASK
        return sorted(ring.arc(begin, width), key=self._rank, reverse=True)

    def _refresh(self, ring: HashRing[Member]) -> None:
        if self._version == ring.version:
            return
        arcs = self._rank.arcs(len(ring))
        if arcs != self._arcs or not self._follow(ring):
            self._arcs = arcs
            self._window = self._arc(ring, 0)
        self._tail = []
        self._tail_arcs = 0
        self._version = ring.version

    def _follow(self, ring: HashRing[Member]) -> bool:
        """Bring the window up to date by what came and went within it; False if it must be sorted anew."""
        changed = ring.changed_since(self._version)
        if changed is None:
            return False
        width = WHOLE_RING // self._arcs
        point = self._rank.point
        inside = [member for member in changed if (member.salt - point) & HASH_MASK < width]
        if REBUILD_SHARE * len(inside) > len(self._window):
            return False
        for member in inside:
            self._set_member(member, member in ring)
        return True

    def _set_member(self, member: Member, present: bool) -> None:
        """Put a member at its place in the window or take it out; nothing if that is so already."""
        window = self._window
        place = bisect_left(window, -self._rank(member), key=lambda other: -self._rank(other))
        while place < len(window) and self._twin_precedes(window[place], member):
            place += 1
        there = place < len(window) and window[place] is member
        if present and not there:
            window.insert(place, member)
        elif there and not present:
            del window[place]

    def _twin_precedes(self, other: Member, member: Member) -> bool:
        """Whether two members of one salt stand in this order."""
        return other.salt == member.salt and other.stable < member.stable
