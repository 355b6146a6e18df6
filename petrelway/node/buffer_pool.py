"""One budget in bytes for all that clients and executors make this process buffer, without I/O.

Bounds on a line, on the requests of a connection and on the number of connections each hold alone; their
product is far over any memory limit. So every buffer is charged here before or when it grows: received bytes
that are no message yet, open requests with their bodies, answers that clients have not read, frames that
executors have not read, parts of executors' answers. `memory_plan.py` gives the bound.

Fairness: a holder may use at most the part HOLDER_SHARE of what is free at the moment (dynamic thresholds, as
in switches with shared memory). So the heaviest meet their bound first, however many they are, and a
newcomer with a small request finds some of the pool free.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

DEFAULT_BUFFERS_BYTES = 8 << 20  # where no memory limit is given
REQUESTS_SHARE = 0.6  # of the bound, that open requests may use; answers and frames need the rest
HOLDER_SHARE = 0.5  # of the free bytes that one holder may use beside them
EXECUTORS_SHARE = 0.8  # of the bound, from which executors are not read
# Of the bound: from where holders that do not move on are closed, before requests are refused for them ...
HIGH_SHARE = 0.5
RELIEVED_SHARE = 0.4  # ... until so much of it is in use
LEAST_BOUND_SHARE = 0.25  # of the planned bound that stays, whatever the process holds besides


class Use(IntEnum):
    """What a charge is for; the index of its sum."""

    RECEIVED = 0
    REQUESTS = 1
    ANSWERS = 2
    NUMBERS = 3
    FRAMES = 4
    PARTIAL_ANSWERS = 5


class BufferPool:
    """The bytes in use by all holders, and the bound on them.

    >>> pool = BufferPool(1000)
    >>> first, second = pool.account(), pool.account()
    >>> first.fits(300), first.fits(301), first.set(Use.REQUESTS, 300), second.fits(150), pool.used_bytes
    (True, False, None, True, 300)
    >>> first.close(), pool.used_bytes
    (None, 0)
    """

    def __init__(self, bound_bytes: int) -> None:
        """Start empty."""
        self.planned_bytes = bound_bytes
        self.bound_bytes = bound_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.by_use = [0] * len(Use)
        self.on_release: Callable[[], None] = _ignore  # called each time bytes are given back

    def plan(self, bound_bytes: int) -> None:
        """Set the planned bound."""
        self.planned_bytes = bound_bytes
        self.bound_bytes = bound_bytes

    def account(self) -> BufferAccount:
        """Open the account of one holder, such as a connection."""
        return BufferAccount(self)

    def free_for_requests(self) -> int:
        """Return how many bytes further requests may use."""
        return max(0, int(REQUESTS_SHARE * self.bound_bytes) - self.used_bytes)

    def free_for_answers(self) -> int:
        """Return how many bytes further reads of executors may use: more than requests, which they end."""
        return max(0, int(EXECUTORS_SHARE * self.bound_bytes) - self.used_bytes)

    def is_high(self) -> bool:
        """Whether holders that do not move on are to be closed."""
        return self.used_bytes >= HIGH_SHARE * self.bound_bytes

    def excess_bytes(self) -> int:
        """Return how many bytes have to be given back until the pool counts as relieved."""
        return max(0, self.used_bytes - int(RELIEVED_SHARE * self.bound_bytes))

    def reduce_bound(self, bytes_: int) -> None:
        """Bound the pool by so many bytes less than planned: the process holds them besides."""
        least = int(LEAST_BOUND_SHARE * self.planned_bytes)
        self.bound_bytes = max(least, self.planned_bytes - max(0, bytes_))

    def figures(self) -> dict[str, int]:
        """Return what is in use, by use, for the log; bytes."""
        return {
            "bound": self.bound_bytes,
            "used": self.used_bytes,
            "peak": self.peak_bytes,
            **{use.name.lower(): self.by_use[use] for use in Use if self.by_use[use]},
        }


class BufferAccount:
    """What one holder has in the pool, by use."""

    __slots__ = ("_held", "held_bytes", "pool")

    def __init__(self, pool: BufferPool) -> None:
        """Start with nothing; `BufferPool.account` opens accounts."""
        self.pool = pool
        self.held_bytes = 0
        self._held = [0] * len(Use)

    def held(self, use: Use) -> int:
        """Return how many bytes are held for one use."""
        return self._held[use]

    def fits(self, more: int) -> bool:
        """Whether this holder may hold so many bytes more for requests."""
        return self.held_bytes + more <= HOLDER_SHARE * (self.pool.free_for_requests() + self.held_bytes)

    def set(self, use: Use, bytes_: int) -> None:
        """Hold so many bytes for a use from now on."""
        by = bytes_ - self._held[use]
        if not by:
            return
        self._held[use] = bytes_
        self.held_bytes += by
        pool = self.pool
        pool.by_use[use] += by
        pool.used_bytes += by
        if by < 0:
            pool.on_release()
        elif pool.used_bytes > pool.peak_bytes:
            pool.peak_bytes = pool.used_bytes

    def add(self, use: Use, more: int) -> None:
        """Hold so many bytes more for a use, or fewer if negative."""
        self.set(use, self.held(use) + more)

    def close(self) -> None:
        """Give all back; further charges are not expected."""
        for use in Use:
            self.set(use, 0)


def _ignore() -> None:
    pass
