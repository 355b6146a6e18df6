"""The order in which a function considers the ready executors: by a rank that all front ends share, within a
bounded window on a hash ring.

All ready executors stand once, for all functions, on one ring. A function considers the WINDOW executors
that follow its own point there; only when none of them fits, the next WINDOW, and so on. The order is a
function of the list of ready executors alone: front ends that hold the same list agree without a message.
With at most WINDOW executors ready the window is the whole fleet.
"""

from __future__ import annotations

from .hash_ring import HASH_MASK, RingMember, RingWindow

# Executors. A wider window makes the load of first homes more even, by 1 / sqrt(WINDOW); each first call
# costs more time and each function more memory.
WINDOW = 128
MIX = 0x9E3779B97F4A7C15  # an odd number with scattered bits, for the shared rank


def shared_rank(function_salt: int, executor_salt: int) -> int:
    """A draw that all front ends share without a word: loads of a function meet at one executor."""
    mixed = ((function_salt ^ executor_salt) * MIX) & HASH_MASK
    return ((mixed ^ (mixed >> 29)) * MIX) & HASH_MASK


def ring_point(function_salt: int) -> int:
    """Where a function's window begins: mixed once more, so that it says nothing of the ranks there."""
    return shared_rank(function_salt, MIX)


class FunctionRank:
    """How executors rank for one function, of their salts."""

    __slots__ = ("function_salt",)

    def __init__(self, function_salt: int) -> None:
        self.function_salt = function_salt

    def __call__(self, executor: RingMember) -> int:
        return shared_rank(self.function_salt, executor.salt)


def function_order(rank: FunctionRank) -> RingWindow:
    """The ready executors in one function's order, first its first home."""
    return RingWindow(ring_point(rank.function_salt), WINDOW, rank)
