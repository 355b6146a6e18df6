"""Rule 4: slow start of executors whose process is new.

Mixed into `rules.Gate`, which asks `_slow_start_allows` before each send. An executor that is warming up may
get only a growing share of what a warm one of its machine type usually carries.
"""

from __future__ import annotations

import math
import random

from .endpoint_lease import EndpointLeases
from .state import Executor, Request
from .types import QuotaShare, SlowStartRule

SLOW_START_MARGIN = 0.6  # share of what rule 4 allows that is used, for bursts and jitter ...
SLOW_START_JITTER = 0.6  # ... and of that, where the own share is a fraction of one request
RATE_SPAN_MS = 10000.0  # span over which succeeded requests are averaged


class SlowStart:
    """What warm executors usually carry, by machine type, and what new ones may get of it."""

    slow_start_rule: SlowStartRule
    leases: EndpointLeases

    def __init__(
        self,
        slow_start_rule: SlowStartRule,
        configured_rate: float,
        own_share: float,
        random_source: random.Random,
        start: float,
    ) -> None:
        self.slow_start_rule = slow_start_rule
        self.configured_rate = configured_rate  # of all front ends, requests a ms
        self.transition = (
            configured_rate,
            start,
        )  # the least rate configured lately, and until when it counts
        self.random_source = random_source
        self.start = start
        self.own_share = own_share  # of the fleet's quotas, where no lease says otherwise
        self.quota_share = QuotaShare(own_share, start)
        self.succeeded: dict[int, tuple[float, float]] = {}  # machine type -> decayed count, its time
        self.usual_rates: dict[int, float] = {}  # machine type -> own requests a ms at one warm executor

    def record_success(self, machine_type: int, warm_executors: int, now: float) -> None:
        """Count a request that a warm executor of this machine type completed."""
        count, at = self.succeeded.get(machine_type, (0.0, now))
        count = count * math.exp((at - now) / RATE_SPAN_MS) + 1.0
        self.succeeded[machine_type] = count, now
        span = RATE_SPAN_MS * (1.0 - math.exp((self.start - now) / RATE_SPAN_MS)) + RATE_SPAN_MS / 5
        if warm_executors:
            self.usual_rates[machine_type] = count / span / warm_executors

    def share(self, now: float) -> float:
        """This front end's share of the fleet's quotas. A lease that has run out counts no longer: a process
        that was paused, or hears nothing more, would use what others use again."""
        return self.quota_share.share if now < self.quota_share.until_ms else self.own_share

    def rate(self, now: float) -> float:
        """The configured rate of all front ends, in requests a ms."""
        least, until = self.transition
        return min(least, self.configured_rate) if now < until else self.configured_rate

    def configure_rate(self, now: float, rate: float) -> None:
        """Take a new configured rate. For a time the lesser of the old and the new one counts: front ends
        would otherwise send for both in one window."""
        rule = self.slow_start_rule
        self.transition = self.rate(now), now + max(rule.warm_ms, rule.span_ms)
        self.configured_rate = rate

    def is_warming_up(self, executor: Executor, now: float) -> bool:
        """Whether the executor's process is too new for its full share of requests."""
        return now < self.leases.started_ms(executor, now) + self.slow_start_rule.warm_ms

    def _slow_start_allows(self, request: Request, executor: Executor, listed: int, now: float) -> bool:
        """Whether rule 4 allows this send.

        The sum over all front ends is unknown, but if each stays under the least present share of what it
        usually sends to a warm executor of the machine type, so does the sum. A front end whose share is a
        fraction of one request would round up, and hundreds would in the same moment; there the request's
        jitter decides as well, and the first share starts at a random phase.
        """
        if not self.is_warming_up(executor, now):
            return True
        rule = self.slow_start_rule
        grown = max(0.0, now - self.leases.started_ms(executor, now)) / rule.warm_ms
        part = SLOW_START_MARGIN * rule.multiple * (rule.start_share + (1.0 - rule.start_share) * grown)
        # a restarted front end has no history: the tenants' rates, which the fleet can carry, are split
        # evenly over front ends and executors, and halved
        configured = 0.5 * self.share(now) * self.rate(now) / max(1, listed)
        rate = part * max(self.usual_rates.get(executor.endpoint.machine, 0.0), configured)
        if rate <= 0.0:
            return False
        span = max(rule.span_ms, 1.0 / rate)
        if span > rule.span_ms:
            span /= SLOW_START_JITTER
            if not executor.slow_start_sends:
                executor.slow_start_sends.append(now - self.random_source.random() * span)
            if request.jitter > SLOW_START_JITTER * part:
                return False
        recent = sum(1 for at in executor.slow_start_sends if at > now - span)
        return recent + 1 <= rate * span + 1e-9
