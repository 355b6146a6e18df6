"""Compares the process's resident memory with its limit, and bounds the buffers by what is left of it.

`service.py` calls `measured` each time it measures its load. What the process holds beyond its accounts, such
as memory that the allocator keeps, is taken off the buffers' bound once it is more than the plan reserves.
Near the limit the log tells what holds memory. Sizes in bytes, in the log in MB of 10^6 bytes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from .buffer_pool import BufferPool
from .memory_plan import MemoryPlan

BYTES_PER_MB = 1_000_000
# Parts of what the limit leaves beside the process at rest: in use from which memory counts as short, and
# under which it counts as sufficient again.
HIGH_SHARE = 0.8
LOW_SHARE = 0.7


class MemoryWatch:
    """The resident memory at the start, now and at its peak, and whether it is near the limit."""

    def __init__(
        self,
        plan: MemoryPlan,
        read_bytes: Callable[[], int],
        buffers: BufferPool,
        uses: Callable[[], dict[str, int]],
        log,
    ) -> None:
        """Start with the plan's figure; `uses` returns what holds memory, by name, and is called rarely."""
        self.plan = plan
        self.read_bytes = read_bytes
        self.buffers = buffers
        self.uses = uses
        self.log = log
        self.counts: Counter[str] = Counter()
        self.now_bytes = plan.resting_bytes
        self.peak_bytes = plan.resting_bytes  # of the measurements; the system may have seen more between two
        self.is_short = False

    def measured(self) -> None:
        """Measure, bound the buffers, and log once when memory becomes short or sufficient."""
        self.now_bytes = self.read_bytes()
        self.peak_bytes = max(self.peak_bytes, self.now_bytes)
        spare = max(0, self.plan.limit_bytes - self.plan.resting_bytes)
        grown = max(0, self.now_bytes - self.plan.resting_bytes)
        self.buffers.reduce_bound(grown - self.buffers.used_bytes - (spare - self.buffers.planned_bytes))
        if (grown > (LOW_SHARE if self.is_short else HIGH_SHARE) * spare) is self.is_short:
            return
        self.is_short = not self.is_short
        if self.is_short:
            self.counts["memory short"] += 1
            self.log.warning("memory short", **self.figures(), uses=self.uses())
        else:
            self.log.info("memory sufficient", **self.figures(), uses=self.uses())

    def figures(self) -> dict[str, float]:
        """Return the measured sizes in MB, for the log."""
        sizes = {
            "limit_mb": self.plan.limit_bytes,
            "start_mb": self.plan.resting_bytes,
            "now_mb": self.now_bytes,
            "peak_mb": self.peak_bytes,
        }
        return {name: round(size / BYTES_PER_MB, 1) for name, size in sizes.items()}
