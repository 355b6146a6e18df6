"""A hash ring of executors, and windows on it that stay sorted by rank as executors come and go.

These are plain containers. Their user, `petrelway/routing/ranking.py`, decides how wide a window is, where it
begins and how its executors rank. This module imports only the standard library and does no I/O.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator
from itertools import chain
from typing import Generic, Protocol, TypeVar

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
WHOLE_RING = 1 << HASH_BITS  # the circumference of the ring

# Both bound time and memory; the order of members does not depend on them.
CHANGES_KEPT = 128  # with more changes, examining each one takes longer than sorting a window again
REBUILD_SHARE = 8  # a window is sorted again if more than one in this many of its members changed


class RingMember(Protocol):
    """What the ring needs to know about an executor; neither attribute changes while it is on the ring."""

    salt: int  # the hash of its stable name, HASH_BITS wide
    stable: str  # its stable name, unique among the members


Member = TypeVar("Member", bound=RingMember)


class HashRing(Generic[Member]):
    """Members in the order of their salts, and which of them were added or removed recently."""

    def __init__(self) -> None:
        self.members: list[Member] = []
        self.version = 0  # number of changes so far
        self._salts = array("Q")  # of the members, in the same order
        self._recent: list[Member] = []  # members added or removed, the latest last; at most CHANGES_KEPT

    def __len__(self) -> int:
        return len(self.members)

    def __contains__(self, member: Member) -> bool:
        place = self._insertion_index(member)
        return place < len(self.members) and self.members[place] is member

    def add(self, member: Member) -> None:
        """Add a member to the ring. Raises ValueError if it is already there."""
        if member in self:
            raise ValueError(f"{member.stable} is on the ring")
        place = self._insertion_index(member)
        self.members.insert(place, member)
        self._salts.insert(place, member.salt)
        self._changed(member)

    def remove(self, member: Member) -> None:
        """Remove a member from the ring. Raises ValueError if it is not there."""
        if member not in self:
            raise ValueError(f"{member.stable} is not on the ring")
        place = self._insertion_index(member)
        del self.members[place]
        del self._salts[place]
        self._changed(member)

    def index_after(self, point: int) -> int:
        """Return the index of the first member at or after a point; it may be one past the last."""
        return bisect_left(self._salts, point)

    def arc(self, begin: int, width: int) -> list[Member]:
        """Return the members from `begin` on, around the ring, up to but excluding `begin + width`."""
        first = self.index_after(begin)
        end = begin + width
        if end <= WHOLE_RING:
            return self.members[first : self.index_after(end)]
        return self.members[first:] + self.members[: self.index_after(end - WHOLE_RING)]

    def changed_since(self, version: int) -> list[Member] | None:
        """Return the members added or removed since a version, or None if that is too long ago."""
        behind = self.version - version
        if behind > len(self._recent):
            return None
        return self._recent[len(self._recent) - behind :]

    def _insertion_index(self, member: Member) -> int:
        """Return the member's index or insertion index; equal salts are ordered by stable name."""
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
    """The ranks of members in one window, where the window begins and how wide it is."""

    point: int  # the window begins there

    def __call__(self, member: RingMember) -> int:
        """Return the rank of a member, derived from its salt alone; different salts have different ranks."""

    def arcs(self, members: int) -> int:
        """Return into how many arcs of equal width the ring is divided, a power of two.

        The window is the first arc.
        """


class RingWindow(Generic[Member]):
    """All members of a ring, in an order that begins with a window.

    The window consists of the members of the arc that follows a point, highest rank first. Then come those of
    the next arc by rank, and so on around the ring. Only the window is stored, and more only where `first`
    needed it. An instance follows the changes of one ring, which is passed in each call.
    """

    __slots__ = ("_arcs", "_rank", "_tail", "_tail_arcs", "_version", "_window")

    def __init__(self, rank: Ranking) -> None:
        self._rank = rank
        self._version = -1  # of the ring, when the window was last updated
        self._arcs = 1  # number of arcs in the ring
        self._window: list[Member] = []  # the first arc, by rank
        self._tail: list[Member] = []  # the next arcs, as far as `first` needed them ...
        self._tail_arcs = 0  # ... and the number of these arcs

    def first(self, ring: HashRing[Member], count: int) -> list[Member]:
        """Return the first members of the order, at most `count`."""
        self._refresh(ring)
        beyond = count - len(self._window)
        if beyond <= 0:
            return self._window[:count]
        while len(self._tail) < beyond and self._tail_arcs < self._arcs - 1:
            self._tail_arcs += 1
            self._tail += self._arc(ring, self._tail_arcs)
        return self._window + self._tail[:beyond]

    def all(self, ring: HashRing[Member]) -> Iterator[Member]:
        """Iterate over all members in order, each once. The ring must not change meanwhile."""
        self._refresh(ring)
        further = (self._arc(ring, number) for number in range(self._tail_arcs + 1, self._arcs))
        return chain(self._window, self._tail, chain.from_iterable(further))

    def _arc(self, ring: HashRing[Member], number: int) -> list[Member]:
        """Return the members of an arc by rank.

        Equal ranks mean equal salts, which stay in the order of the ring.
        """
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
        """Update the window by the changes within it; return False if it must be sorted again."""
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
        """Insert a member into the window or remove it; do nothing if it is already so."""
        window = self._window
        place = bisect_left(window, -self._rank(member), key=lambda other: -self._rank(other))
        while place < len(window) and self._equal_salt_precedes(window[place], member):
            place += 1
        there = place < len(window) and window[place] is member
        if present and not there:
            window.insert(place, member)
        elif there and not present:
            del window[place]

    def _equal_salt_precedes(self, other: Member, member: Member) -> bool:
        """Return whether `other` comes before `member` among members with the same salt."""
        return other.salt == member.salt and other.stable < member.stable
