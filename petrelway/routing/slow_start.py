"""Rule 4: slow start of executors whose process is new.

Mixed into `rules.Gate`, which calls `_slow_start_allows` before each send. An executor that is warming up may
receive only a growing share of the request rate usual at a warm executor of its machine type.
"""

from __future__ import annotations

import math
import random

from .endpoint_lease import EndpointLeases
from .state import Executor, Request
from .types import QuotaShare, SlowStartRule

SLOW_START_MARGIN = 0.6  # share used of what rule 4 allows, as a margin for bursts and jitter ...
SLOW_START_JITTER = 0.6  # ... and share used of that, where the own share is a fraction of one request
RATE_SPAN_MS = 10000.0  # span over which succeeded requests are averaged


class SlowStart:
    """The usual request rate of warm executors, by machine type, and the share of it for new ones."""

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
        self.configured_rate = configured_rate  # of all front ends, in requests per ms
        self.transition = (
            configured_rate,
            start,
        )  # the lowest rate configured recently, and until when it applies
        self.random_source = random_source
        self.start = start
        self.own_share = own_share  # of the fleet's quotas, while no leased share is valid
        self.quota_share = QuotaShare(own_share, start)
        self.succeeded: dict[int, tuple[float, float]] = {}  # machine type -> decayed count, when updated
        self.usual_rates: dict[int, float] = {}  # machine type -> own requests per ms at one warm executor

    def record_success(self, machine_type: int, warm_executors: int, now: float) -> None:
        """Count a request that a warm executor of this machine type completed."""
        count, at = self.succeeded.get(machine_type, (0.0, now))
        count = count * math.exp((at - now) / RATE_SPAN_MS) + 1.0
        self.succeeded[machine_type] = count, now
        span = RATE_SPAN_MS * (1.0 - math.exp((self.start - now) / RATE_SPAN_MS)) + RATE_SPAN_MS / 5
        if warm_executors:
            self.usual_rates[machine_type] = count / span / warm_executors

    def share(self, now: float) -> float:
        """Return this front end's share of the fleet's quotas.

        A leased share no longer counts after it has expired: a process that was paused, or that receives no
        more messages, would otherwise use quota that others use again.
        """
        return self.quota_share.share if now < self.quota_share.until_ms else self.own_share

    def rate(self, now: float) -> float:
        """Return the configured rate of all front ends, in requests per ms."""
        least, until = self.transition
        return min(least, self.configured_rate) if now < until else self.configured_rate

    def configure_rate(self, now: float, rate: float) -> None:
        """Set a new configured rate.

        For a time the lower of the old and the new rate applies. Otherwise front ends would send by both
        rates within one window.
        """
        rule = self.slow_start_rule
        self.transition = self.rate(now), now + max(rule.warm_ms, rule.span_ms)
        self.configured_rate = rate

    def is_warming_up(self, executor: Executor, now: float) -> bool:
        """Return whether the executor's process is too new for its full share of requests."""
        return now < self.leases.started_ms(executor, now) + self.slow_start_rule.warm_ms

    def _slow_start_allows(self, request: Request, executor: Executor, listed: int, now: float) -> bool:
        """Return whether rule 4 allows this send.

        The sum over all front ends is unknown. But if each stays under the smallest share allowed at present
        of what it usually sends to a warm executor of the machine type, so does the sum. A front end whose
        share is a fraction of one request would round it up, and hundreds of front ends would do so at the
        same moment. There the request's jitter decides as well, and the first span starts at a random phase.
        """
        if not self.is_warming_up(executor, now):
            return True
        rule = self.slow_start_rule
        grown = max(0.0, now - self.leases.started_ms(executor, now)) / rule.warm_ms
        part = SLOW_START_MARGIN * rule.multiple * (rule.start_share + (1.0 - rule.start_share) * grown)
        # A restarted front end has no history: it uses the tenants' rates, which the fleet can serve, split
        # evenly over front ends and executors, and halved.
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
