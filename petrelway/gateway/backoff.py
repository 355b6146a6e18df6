"""Delays between reconnects, without I/O. Channels, registry client and discovery each have one."""

from __future__ import annotations

import random


class Backoff:
    """Delays that double up to a bound, each with jitter so that front ends do not connect at the same
    moment.

    >>> backoff = Backoff(random.Random(1), least_ms=50.0, most_ms=400.0)
    >>> all(least <= backoff.failed() <= most for least, most in ((25, 50), (50, 100), (100, 200)))
    True
    """

    def __init__(self, random_source: random.Random, least_ms: float, most_ms: float) -> None:
        self.random_source = random_source
        self.least_ms = least_ms
        self.most_ms = most_ms
        self.next_ms = least_ms

    def failed(self) -> float:
        """Return how long to wait now, in ms: between half and all of the current delay; then double it."""
        delay_ms = self.next_ms
        self.next_ms = min(self.most_ms, 2.0 * self.next_ms)
        return delay_ms * (0.5 + 0.5 * self.random_source.random())

    def succeeded(self) -> None:
        """Reset to the shortest delay."""
        self.next_ms = self.least_ms
