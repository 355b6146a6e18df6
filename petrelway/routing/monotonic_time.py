"""Guards the decisions against a host whose clock goes back: where time enters them, and leaves them.

Decayed sums divide by spans, and windows are compared with `now`: a time that goes back would raise, or open
a window again that is over. A step back is taken out here, once. How long before it the host looked last is
not known, but it looks at least each `gap_ms`: so much is taken to have passed, so that no deadline or window
is kept for longer than it is. A time that is a little older than the latest is no step: a host may read its
clock once for a turn, and hand in what ended within the turn with a later reading.
"""

from __future__ import annotations

STEP_MS = 500.0  # a time so much older than the latest is a step of the host's clock


class MonotonicTime:
    """The host's time as the decisions see it, in ms: never earlier than what they saw before.

    >>> clock = MonotonicTime(100.0, gap_ms=10.0)
    >>> clock.enter(1150.0), clock.enter(1140.0), clock.enter(1160.0)
    (1150.0, 1150.0, 1160.0)
    >>> clock.enter(50.0), clock.enter(70.0), clock.to_host(1200.0)
    (1170.0, 1190.0, 80.0)
    """

    __slots__ = ("_ahead_ms", "_gap_ms", "_latest_ms")

    def __init__(self, now: float, gap_ms: float) -> None:
        self._gap_ms = gap_ms
        self._latest_ms = now
        self._ahead_ms = 0.0

    def enter(self, now: float) -> float:
        """The present, from the host's clock."""
        at = now + self._ahead_ms
        if at < self._latest_ms - STEP_MS:
            before = at
            at = self._latest_ms + self._gap_ms
            self._ahead_ms += at - before
        self._latest_ms = max(at, self._latest_ms)
        return self._latest_ms

    def latest(self) -> float:
        """The present as the decisions saw it last."""
        return self._latest_ms

    def to_local(self, at: float) -> float:
        """A time before or after now, from the host's clock."""
        return at + self._ahead_ms

    def to_host(self, at: float) -> float:
        """A time, for the host's clock."""
        return at - self._ahead_ms
