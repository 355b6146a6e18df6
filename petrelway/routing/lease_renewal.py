"""Which executors requests of our own keep known while discovery is out of reach and probes are forbidden.

An executor's lease (`endpoint_lease`) is renewed by its answers, so by being used. Left to the ordinary
choice, use and knowledge shrink together: all work goes to the one executor that is known, and when that one
drains nobody is known. So requests are spread: in the last term of the endpoint list over executors that have
not answered yet, one zone after the other, later over those whose leases end first. A request goes where its
function is warm, if that renews a lease as well; to others only as long as few are known, since a miss costs
a load. With fewer requests than the leases need, those that nobody renews end, and the rest hold.

Executors that load on demand prove nothing in time by a request whose function they lack. There requests are
spread a little sooner, so that several executors are warm when the list's last term begins.

Asked by `selection.Selection.choose` for a request's first attempt. Times in ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from .endpoint_lease import EndpointLeases
from .state import Executor, FunctionState

KNOWN_EXECUTORS = 16  # kept known by requests that may miss: half of them may drain three times over
RENEWAL_SHARE = 0.5  # a lease is renewed once this share of its term is over ...
LATE_RENEWAL_SHARE = 0.75  # ... by a request that may miss, once this share is over

# Where executors load on demand: so many are warm for something, or are made so ...
WARM_EXECUTORS = 8
WARMING_SPAN_MS = 2000.0  # ... from so long before discovery's silence counts; heartbeats come each second


class LeaseRenewal:
    """Says which executors a request should go to, so that they stay known."""

    def __init__(self, leases: EndpointLeases) -> None:
        self.leases = leases

    def is_needed(self, now: float) -> bool:
        """Whether requests alone tell who is ready: discovery's silence counts, and nobody may be probed."""
        return now >= self.leases.notified_ms and not self.leases.probes

    def is_warming_due(self, now: float) -> bool:
        """Whether discovery's silence counts soon, and requests alone will tell who is ready."""
        begin_ms = self.leases.notified_ms - WARMING_SPAN_MS
        return begin_ms <= now < self.leases.notified_ms and not self.leases.probes

    def to_be_warmed(self, ranked: list[Executor]) -> list[Executor]:
        """The executors that should load a function, those of the zones with the fewest warm ones first.

        `ranked`: the ready executors by the function's shared rank.
        """
        warm = Counter(executor.endpoint.zone for executor in ranked if executor.resume)
        if warm.total() >= WARM_EXECUTORS:
            return []
        empty = [executor for executor in ranked if not executor.resume]
        return sorted(empty, key=lambda executor: warm[executor.endpoint.zone])

    def due(self, function: FunctionState, now: float) -> list[Executor]:
        """The known executors whose leases end soon: first where the function is warm, oldest proof first."""
        known = self.leases.known(now)
        may_miss = len(known) <= KNOWN_EXECUTORS
        warm: list[Executor] = []
        cold: list[Executor] = []
        for executor in known:
            age_ms = now - max(executor.ready_at_ms, executor.last_sent_ms)
            if function.index in executor.resume:
                if age_ms >= RENEWAL_SHARE * self.leases.term_ms:
                    warm.append(executor)
            elif may_miss and age_ms >= LATE_RENEWAL_SHARE * self.leases.term_ms:
                cold.append(executor)
        return [*sorted(warm, key=_proved_ms), *sorted(cold, key=_proved_ms)]

    def untried(self, function: FunctionState, ranked: Iterable[Executor], now: float) -> list[Executor]:
        """Executors that only discovery's word still holds for, while too few have answered themselves.

        `ranked`: the ready executors by the function's shared rank. Those of the zones with the fewest known
        ones come first, of them those where the function is warm.
        """
        if not self.leases.list_holds(now):
            return []
        since_ms = self.leases.notified_ms  # an earlier answer's lease ends before the list's
        lasting = {
            executor.endpoint.executor: executor
            for executor in self.leases.known(now)
            if executor.ready_at_ms >= since_ms
        }
        untried: list[Executor] = []
        for executor in ranked:
            if executor.last_sent_ms < since_ms:
                untried.append(executor)
            elif executor.in_flight:  # it may answer yet
                lasting[executor.endpoint.executor] = executor
        if len(lasting) >= KNOWN_EXECUTORS:
            return []
        zones = Counter(executor.endpoint.zone for executor in lasting.values())
        return sorted(
            untried,
            key=lambda executor: (zones[executor.endpoint.zone], function.index not in executor.resume),
        )


def _proved_ms(executor: Executor) -> float:
    return executor.ready_at_ms
