"""The leader's record of one listed member: its process, its clock, and its latest answers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.001  # relative; bounds how far two clocks drift apart over some seconds


class ClockSample(NamedTuple):
    """A reading of a member's clock, taken between two times of the leader's clock."""

    sent_ms: float
    received_ms: float
    reading_ms: float


class PendingQuery(NamedTuple):
    """A member's query for the policy in force, with the round to be confirmed before it is answered."""

    token: int
    queried_ms: float
    version: int
    round: int


@dataclass(slots=True)
class MemberRecord:
    """What one member, possibly the leader itself, has reported since the leader was elected."""

    token: int = 0  # of its process; 0: nothing received yet
    sample: ClockSample | None = None
    answered_index: int = 0  # the proposal that its latest answer refers to
    accepted: bool = False
    refusal: str = ""
    admitted_ms: float = -math.inf  # when it was last permitted to serve
    gone_ms: float = -math.inf  # when the latest attempt began that its port refused, or it reported leaving
    left: bool = False  # it reported that it is leaving, after which its port refuses connections
    notified_ms: float = -math.inf
    probed_ms: float = -math.inf
    state_index: int = -1  # index of the state that it has acknowledged
    version: int = -1  # the version that it runs under
    query: PendingQuery | None = None

    def has_accepted(self, index: int) -> bool:
        """Return whether the member accepted the proposal at this index."""
        return self.accepted and self.answered_index == index

    def has_refused(self, index: int) -> bool:
        """Return whether the member refused the proposal at this index."""
        return not self.accepted and self.answered_index == index

    def identify(self, token: int) -> None:
        """Reset the record if another process has this name now, as earlier answers do not apply to it."""
        if token == self.token:
            return
        self.token = token
        self.sample = None
        self.answered_index = 0
        self.accepted = False
        self.left = False
        self.state_index = -1
        self.version = -1

    def add_sample(self, now: float, sent_ms: float, reading_ms: float) -> None:
        """Store the sample unless the current one, widened by drift, bounds the member's clock more
        closely."""
        if self.sample is not None:
            aged_ms = 2.0 * MAX_CLOCK_DRIFT * (now - self.sample.sent_ms)
            if now - sent_ms > self.sample.received_ms - self.sample.sent_ms + aged_ms:
                return
        self.sample = ClockSample(sent_ms, now, reading_ms)

    def clock_ahead_ms(self, now: float) -> tuple[float, float]:
        """Return the least and most (ms) by which its clock can be ahead of the leader's."""
        sent_ms, received_ms, reading_ms = self.sample
        drift_ms = MAX_CLOCK_DRIFT * (now - sent_ms)
        return reading_ms - received_ms - drift_ms, reading_ms - sent_ms + drift_ms

    def start_proposal(self) -> None:
        """Discard the answers to the previous proposal."""
        self.answered_index = 0
        self.accepted = False
        self.notified_ms = -math.inf
        self.probed_ms = -math.inf
