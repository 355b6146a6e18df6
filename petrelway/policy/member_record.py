"""What a leader knows of one listed member: its process, its clock, its last answers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.001  # two clocks' spans differ by less than this share of them, over some seconds


class ClockSample(NamedTuple):
    """A member's clock, read between two times of the leader's."""

    sent_ms: float
    received_ms: float
    reading_ms: float


class PendingQuery(NamedTuple):
    """A member's query for what holds, with the round that has to be confirmed before the answer."""

    token: int
    queried_ms: float
    version: int
    round: int


@dataclass(slots=True)
class MemberRecord:
    """What the leader has heard of one member, itself included, since it was elected."""

    token: int = 0  # of its process; 0: not heard yet
    sample: ClockSample | None = None
    answered_index: int = 0  # the proposal that its last answer is about
    accepted: bool = False
    refusal: str = ""
    admitted_ms: float = -math.inf  # when it was last allowed to serve
    gone_ms: float = -math.inf  # its port refused a connection attempt that began then
    left: bool = False  # it said so, and so its port will refuse
    notified_ms: float = -math.inf
    probed_ms: float = -math.inf
    state_index: int = -1  # the state that it has acknowledged
    version: int = -1  # the version that it runs under
    query: PendingQuery | None = None

    def has_accepted(self, index: int) -> bool:
        """Whether it accepted the proposal at this index."""
        return self.accepted and self.answered_index == index

    def has_refused(self, index: int) -> bool:
        """Whether it refused the proposal at this index."""
        return not self.accepted and self.answered_index == index

    def identify(self, token: int) -> None:
        """Another process of this name: nothing that the earlier one said holds for it."""
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
        """Keep the sample that bounds the member's clock best."""
        if self.sample is not None:
            aged_ms = 2.0 * MAX_CLOCK_DRIFT * (now - self.sample.sent_ms)
            if now - sent_ms > self.sample.received_ms - self.sample.sent_ms + aged_ms:
                return
        self.sample = ClockSample(sent_ms, now, reading_ms)

    def clock_ahead_ms(self, now: float) -> tuple[float, float]:
        """By how much its clock is ahead of the leader's, at least and at most."""
        sent_ms, received_ms, reading_ms = self.sample
        drift_ms = MAX_CLOCK_DRIFT * (now - sent_ms)
        return reading_ms - received_ms - drift_ms, reading_ms - sent_ms + drift_ms

    def start_proposal(self) -> None:
        """Forget the answers to the proposal before."""
        self.answered_index = 0
        self.accepted = False
        self.notified_ms = -math.inf
        self.probed_ms = -math.inf
