"""A hash ring of executors, and windows on it that stay sorted by rank as executors come and go.

Containers alone: how wide a window is, where it begins and how its executors rank is decided by who uses
them, `petrelway/ranking.py`. Imports nothing but the standard library and does no I/O.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Generic, Protocol, TypeVar

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
WHOLE_RING = 1 << HASH_BITS  # greater than the distance of any two points on the ring

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

    def at(self, index: int) -> Member:
        """The member at an index, counted on round the ring."""
        return self.members[index % len(self.members)]

    def arc(self, index: int, count: int) -> list[Member]:
        """So many members from an index on, round the ring; each once at most."""
        begin = index % max(1, len(self.members))
        count = min(count, len(self.members))
        past_end = begin + count - len(self.members)
        return self.members[begin : begin + count] + self.members[: max(0, past_end)]

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


class RingWindow(Generic[Member]):
    """All members of a ring in an order that begins with a window: the `size` members that follow a point,
    highest rank first; then the next `size` members by rank, and so on round the ring. Holds the window, and
    more only where `first` asked for it. Follows the changes of one ring, which is given at each call."""

    __slots__ = ("_end", "_point", "_rank", "_size", "_tail", "_version", "_window")

    def __init__(self, point: int, size: int, rank: Callable[[Member], int]) -> None:
        """`rank` goes by a member's salt alone, and other salts have other ranks."""
        self._point = point
        self._size = size
        self._rank = rank
        self._version = -1  # of the ring, when the window was brought up to date
        self._window: list[Member] = []  # by rank
        self._end = WHOLE_RING  # distance from the point to the window's last member on the ring
        self._tail: list[Member] = []  # what follows the window, as far as `first` needed it

    def first(self, ring: HashRing[Member], count: int) -> list[Member]:
        """The first members of the order, at most so many."""
        self._refresh(ring)
        beyond = count - len(self._window)
        if beyond <= 0:
            return self._window[:count]
        if len(self._tail) < beyond:
            self._extend(ring, beyond)
        return self._window + self._tail[:beyond]

    def all(self, ring: HashRing[Member]) -> Iterator[Member]:
        """All members in order, each once. The ring must not change meanwhile."""
        self._refresh(ring)
        held = len(self._window) + len(self._tail)
        return chain(self._window, self._tail, chain.from_iterable(self._chunks_after(ring, held)))

    def _extend(self, ring: HashRing[Member], beyond: int) -> None:
        """Hold so many members after the window, or all there are."""
        for chunk in self._chunks_after(ring, len(self._window) + len(self._tail)):
            self._tail += chunk
            if len(self._tail) >= beyond:
                return

    def _chunks_after(self, ring: HashRing[Member], held: int) -> Iterator[list[Member]]:
        """The next members of the ring after so many held ones, as many at a time as a window holds."""
        start = ring.index_after(self._point)
        for offset in range(held, len(ring), self._size):
            count = min(self._size, len(ring) - offset)
            yield self._sorted(ring.arc(start + offset, count))

    def _sorted(self, members: list[Member]) -> list[Member]:
        """Highest rank first. Equal ranks are equal salts, which stay in the order of the ring."""
        return sorted(members, key=self._rank, reverse=True)

    def _refresh(self, ring: HashRing[Member]) -> None:
        if self._version == ring.version:
            return
        start = ring.index_after(self._point)
        if not self._follow(ring, start):
            self._window = self._sorted(ring.arc(start, self._size))
        self._tail = []
        self._end = WHOLE_RING
        if len(ring) > self._size:
            self._end = self._distance(ring.at(start + self._size - 1))
        self._version = ring.version

    def _follow(self, ring: HashRing[Member], start: int) -> bool:
        """Bring the window up to date by what came and went within it; False if it must be sorted anew."""
        changed = ring.changed_since(self._version)
        if changed is None:
            return False
        inside = [member for member in changed if self._distance(member) <= self._end]
        if REBUILD_SHARE * len(inside) > len(self._window):
            return False
        if any(self._distance(member) == self._end for member in inside):
            return False  # the last one itself: the others no longer say where the window ended
        for member in inside:
            self._set_held(member, member in ring)
        self._resize(ring, start)
        return True

    def _resize(self, ring: HashRing[Member], start: int) -> None:
        """The window holds the first members after the point, but perhaps too many or too few of them."""
        size = min(self._size, len(ring))
        while len(self._window) < size:
            self._set_held(ring.at(start + len(self._window)), True)
        while len(self._window) > size:
            self._set_held(ring.at(start + len(self._window) - 1), False)

    def _set_held(self, member: Member, held: bool) -> None:
        """Put a member at its place in the window or take it out; nothing if that is so already."""
        window = self._window
        place = bisect_left(window, -self._rank(member), key=lambda other: -self._rank(other))
        while place < len(window) and self._twin_precedes(window[place], member):
            place += 1
        there = place < len(window) and window[place] is member
        if held and not there:
            window.insert(place, member)
        elif there and not held:
            del window[place]

    def _twin_precedes(self, other: Member, member: Member) -> bool:
        """Whether two members of one salt stand in this order."""
        return other.salt == member.salt and other.stable < member.stable

    def _distance(self, member: Member) -> int:
        """From the window's point on round the ring to a member."""
        return (member.salt - self._point) & HASH_MASK
