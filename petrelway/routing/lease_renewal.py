"""Spread requests to renew executors' leases while discovery is unreachable and probes are forbidden.

An executor's lease (`endpoint_lease`) is renewed by its answers, so only an executor in use keeps its lease.
The ordinary selection would send all work to ever fewer known executors, in the end to a single one, and when
that one drains no executor would be known. Requests are therefore spread: in the last term of the endpoint
list over executors that have not answered yet, one zone after the other; later over the executors whose
leases end first. A request goes to an executor where its function is warm, if that renews a lease as well. It
goes to another one only while few executors are known, since a miss costs a load. With fewer requests than
the leases need, some leases end without renewal and the others hold.

Executors that load on demand do not prove their readiness in time by a request whose function they lack.
There requests are spread a little sooner, so that several executors are warm when the list's last term
begins.

Used by `selection.Selection.choose` for a request's first attempt. Times are in ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from .endpoint_lease import EndpointLeases
from .state import Executor, FunctionState

KNOWN_EXECUTORS = 16  # number kept known by requests that may miss; half of them may drain three times over
RENEWAL_SHARE = 0.5  # a lease is renewed once this share of its term has passed ...
LATE_RENEWAL_SHARE = 0.75  # ... or, by a request that may miss, once this share has passed

# Where executors load on demand: at least this many are kept warm, each for some function ...
WARM_EXECUTORS = 8
WARMING_SPAN_MS = 2000.0  # ... from this long before the last term; heartbeats arrive every second


class LeaseRenewal:
    """Decides which executors a request should go to, so that their leases are renewed."""

    def __init__(self, leases: EndpointLeases) -> None:
        self.leases = leases

    def is_needed(self, now: float) -> bool:
        """Return whether only requests show who is ready: the list's last term has begun, without probes."""
        return now >= self.leases.notified_ms and not self.leases.probes

    def is_warming_due(self, now: float) -> bool:
        """Return whether the list's last term begins soon, in which only requests will show who is ready."""
        begin_ms = self.leases.notified_ms - WARMING_SPAN_MS
        return begin_ms <= now < self.leases.notified_ms and not self.leases.probes

    def to_be_warmed(self, ranked: list[Executor]) -> list[Executor]:
        """Return the executors that should load a function, zones with the fewest warm executors first.

        `ranked`: the ready executors by the function's shared rank.
        """
        warm = Counter(executor.endpoint.zone for executor in ranked if executor.resume)
        if warm.total() >= WARM_EXECUTORS:
            return []
        empty = [executor for executor in ranked if not executor.resume]
        return sorted(empty, key=lambda executor: warm[executor.endpoint.zone])

    def due(self, function: FunctionState, now: float) -> list[Executor]:
        """Return the known executors whose leases end soon.

        Those where the function is warm come first; within each group, those with the oldest proof.
        """
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
        """Return the executors that have not been tried in the list's last term, while too few have answered.

        These count as ready by the endpoint list alone. `ranked`: the ready executors by the function's
        shared rank. Executors of the zones with the fewest known ones come first, within a zone those where
        the function is warm.
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
            elif executor.in_flight:  # it may still answer
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
