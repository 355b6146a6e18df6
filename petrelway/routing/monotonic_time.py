"""Conversion of the host's clock to a time that never goes back, wherever times enter or leave the decisions.

Decayed sums divide by spans, and windows are compared with `now`: a time that goes back would raise an error
or open a window again that is over. A step back is compensated for here, in one place. It is not known how
long before the step the host last read its clock, but it does so at least every `gap_ms`. That much time is
assumed to have passed, so that no deadline or window lasts longer than it should. A time that is a little
older than the latest one is no step: a host may read its clock once per turn, and report an event that ended
within the turn with a later reading.
"""

from __future__ import annotations

STEP_MS = 500.0  # a time older than the latest one by more than this is a step of the host's clock


class MonotonicTime:
    """The host's time as used by the decisions, in ms; it never goes back.

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
        """Convert the present time of the host's clock to that of the decisions, and return it."""
        at = now + self._ahead_ms
        if at < self._latest_ms - STEP_MS:
            before = at
            at = self._latest_ms + self._gap_ms
            self._ahead_ms += at - before
        self._latest_ms = max(at, self._latest_ms)
        return self._latest_ms

    def latest(self) -> float:
        """Return the last present time that the decisions used."""
        return self._latest_ms

    def to_local(self, at: float) -> float:
        """Convert a time of the host's clock, before or after now, to that of the decisions."""
        return at + self._ahead_ms

    def to_host(self, at: float) -> float:
        """Convert a time of the decisions to one of the host's clock."""
        return at - self._ahead_ms
