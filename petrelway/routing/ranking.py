"""The order in which a function considers the ready executors: by a rank that all front ends share, within a
bounded window on a hash ring.

All ready executors stand once, for all functions, on one ring. A function considers those of the arc that
follows its own point there, about WINDOW of them; only when none of them fits, the next arc, and so on. The
order is a function of the list of ready executors alone: front ends that hold the same list agree without a
message. With at most WINDOW executors ready the window is the whole fleet.

A window of a fixed count of executors takes in another one for each that leaves, which would be the
most preferred of as many functions as the one that left. An arc stays as it is; its width halves each time
the fleet doubles, for each function at another size of the fleet, so that no size moves many at once.
"""

from __future__ import annotations

from .hash_ring import HASH_BITS, HASH_MASK, RingMember

# Executors, on average over the functions; for one between a half and twice as many. A wider window makes the
# load of the most preferred executors more even, by 1 / sqrt(WINDOW); a first call costs more time, and a
# function more memory.
WINDOW = 128
MIX = 0x9E3779B97F4A7C15  # an odd number with scattered bits, for the shared rank
POINT = MIX  # what a function's salt is mixed with for its point on the ring ...
PHASE = 0xD1B54A32D192ED03  # ... and for the sizes of the fleet at which its window halves


def shared_rank(function_salt: int, executor_salt: int) -> int:
    """A draw that all front ends share without a message: loads of a function meet at one executor."""
    mixed = ((function_salt ^ executor_salt) * MIX) & HASH_MASK
    return ((mixed ^ (mixed >> 29)) * MIX) & HASH_MASK


class FunctionRank:
    """How executors rank for one function, of their salts, and which of them it considers first."""

    __slots__ = ("_salt", "point")

    def __init__(self, function_salt: int) -> None:
        self._salt = function_salt
        self.point = shared_rank(function_salt, POINT)

    def __call__(self, executor: RingMember) -> int:
        """The executor's rank for this function; the highest is the most preferred."""
        return shared_rank(self._salt, executor.salt)

    def arcs(self, executors: int) -> int:
        """Into so many arcs the ring is cut: the largest power of two that leaves WINDOW executors to each,
        or fewer by the function's phase. In whole numbers: no two machines round it differently."""
        phase = shared_rank(self._salt, PHASE)
        most = (executors * ((1 << HASH_BITS) + phase)) // (WINDOW << HASH_BITS)
        return 1 << max(0, most.bit_length() - 1)
