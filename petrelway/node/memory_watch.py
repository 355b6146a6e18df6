"""Compares the process's resident memory with its limit, and logs what it is used for when it comes near.

`service.py` calls `measured` each time it measures its load. Sizes in bytes, in the log in MB of 10^6 bytes,
the smaller reading of the limit.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

BYTES_PER_MB = 1_000_000
HIGH_SHARE = 0.9  # of the limit, from which memory counts as short ...
LOW_SHARE = 0.85  # ... and under which it counts as sufficient again


class MemoryWatch:
    """The resident memory at the start, now and at its peak, and whether it is near the limit."""

    def __init__(
        self,
        limit_bytes: float,
        read_bytes: Callable[[], int],
        uses: Callable[[], dict[str, int]],
        log,
    ) -> None:
        """Measure for the first time; `uses` returns what holds memory, by name, and is called rarely."""
        self.limit_bytes = limit_bytes
        self.read_bytes = read_bytes
        self.uses = uses
        self.log = log
        self.counts: Counter[str] = Counter()
        self.start_bytes = read_bytes()
        self.now_bytes = self.start_bytes
        self.peak_bytes = self.start_bytes  # of the measurements; the system may have seen more between two
        self.is_short = False

    def measured(self) -> None:
        """Measure, and log once when memory becomes short and once when it is sufficient again."""
        self.now_bytes = self.read_bytes()
        self.peak_bytes = max(self.peak_bytes, self.now_bytes)
        bound = (LOW_SHARE if self.is_short else HIGH_SHARE) * self.limit_bytes
        if (self.now_bytes > bound) is self.is_short:
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
            "limit_mb": self.limit_bytes,
            "start_mb": self.start_bytes,
            "now_mb": self.now_bytes,
            "peak_mb": self.peak_bytes,
        }
        return {name: round(size / BYTES_PER_MB, 1) for name, size in sizes.items()}
