"""The order in which a function considers the ready executors: by a rank that all front ends share, within a
bounded window on a hash ring.

One ring holds all ready executors, for all functions. A function considers the executors of the arc that
starts at its own point on the ring, about WINDOW of them; only if none of them fits, it considers the next
arc, and so on. The order depends on the list of ready executors alone: front ends with the same list agree
without exchanging messages. With at most WINDOW executors ready the window is the whole fleet.

A window of a fixed number of executors would take in another one for each that leaves, and the new one would
be the most preferred of as many functions as the one that left. An arc instead stays as it is. Its width
halves each time the fleet doubles, for each function at a different size of the fleet, so that no size moves
many functions at once.
"""

from __future__ import annotations

from .hash_ring import HASH_BITS, HASH_MASK, RingMember

# Number of executors in a window, on average over the functions; for a single function, between half and
# twice as many. A wider window makes the load of the most preferred executors more even, by 1 / sqrt(WINDOW),
# but a first call then takes more time and a function more memory.
WINDOW = 128
RANK_MULTIPLIER = 0x9E3779B97F4A7C15  # odd multiplier with scattered bits, for the shared rank
POINT_SALT = RANK_MULTIPLIER  # mixed with a function's salt for its point on the ring ...
PHASE_SALT = 0xD1B54A32D192ED03  # ... and for the fleet sizes at which its window halves


def shared_rank(function_salt: int, executor_salt: int) -> int:
    """Return a pseudo-random rank that is the same at all front ends without exchanging messages.

    Loads of a function by different front ends thus go to the same executor.
    """
    mixed = ((function_salt ^ executor_salt) * RANK_MULTIPLIER) & HASH_MASK
    return ((mixed ^ (mixed >> 29)) * RANK_MULTIPLIER) & HASH_MASK


class FunctionRank:
    """The ranks of executors for one function, derived from their salts, and the function's window."""

    __slots__ = ("_salt", "point")

    def __init__(self, function_salt: int) -> None:
        self._salt = function_salt
        self.point = shared_rank(function_salt, POINT_SALT)

    def __call__(self, executor: RingMember) -> int:
        """Return the executor's rank for this function; the highest is the most preferred."""
        return shared_rank(self._salt, executor.salt)

    def arcs(self, executors: int) -> int:
        """Return into how many arcs the ring is divided.

        This is the largest power of two that leaves WINDOW executors to each arc, or fewer according to the
        function's phase. It is computed in integers, so that no two machines round it differently.
        """
        phase = shared_rank(self._salt, PHASE_SALT)
        most = (executors * ((1 << HASH_BITS) + phase)) // (WINDOW << HASH_BITS)
        return 1 << max(0, most.bit_length() - 1)
