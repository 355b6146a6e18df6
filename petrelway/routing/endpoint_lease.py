"""Rule 3 while discovery is unreachable: how long an executor counts as ready, and what renews that.

The endpoint list is valid for a limited term, a lease. Discovery renews it for all executors. Once it has
expired, an executor's own answer renews the lease of that executor, counted from the time at which the
answered message was sent, since the executor may have begun to drain just after. Without a recent answer the
executor is probed, if the deployment permits probes.

Held by `rules.Gate`, which calls `holds` before each send; `selection` and `router` ask which executors may
be probed. Where probes are forbidden, `lease_renewal` spreads requests instead. Times are in ms.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from .state import Executor
from .types import Outcome, Stage

LEASE_MARGIN_MS = 50.0  # a lease ends this long before the grace: bytes leave a little after the decision
MIN_TERM_MS = 25.0  # ... but lasts at least this long, or no answer could ever be used
LEASE_JITTER = 0.25  # share of the term by which front ends differ, so that they do not all probe at once
PROBE_TIMEOUT_MS = 100.0  # requests wait this long for a probe's answer, then other executors are tried
PROBE_RETRY_MS = 800.0  # an executor is probed again after half of this time at least and all of it at most
# Outcomes that prove that the executor was not draining. A draining executor refuses every request (FULL),
# but so does one with a full queue, so FULL proves nothing.
PROVES_READY = frozenset((Outcome.SUCCEEDED, Outcome.MISS))


class EndpointLeases:
    """Until when the endpoint list and each executor's own answers may be relied on."""

    def __init__(self, grace_ms: float, probes: bool, seed: int) -> None:
        """`grace_ms`: how long an executor may still be sent to after its drain counts as notified."""
        self.random_source = random.Random(f"{seed}/leases")
        term_ms = max(grace_ms - LEASE_MARGIN_MS, MIN_TERM_MS)
        self.term_ms = term_ms * (1.0 - LEASE_JITTER * self.random_source.random())
        self.probes = probes
        self.notified_ms = math.inf  # changes missing from the list count as notified by then
        self.confirmed_ms = math.inf  # when the list was last known to be complete
        self.counts: Counter[str] = Counter()
        self._answered: dict[int, Executor] = {}  # executors whose own leases may hold

    def list_confirmed(self, confirmed_ms: float, notified_ms: float) -> None:
        """Record when the list was complete; later changes count as notified by `notified_ms`."""
        self.confirmed_ms = confirmed_ms
        self.notified_ms = notified_ms

    def list_unconfirmed(self, notified_ms: float) -> None:
        """Record that changes missing from the list count as notified by `notified_ms` or sooner."""
        self.notified_ms = min(self.notified_ms, notified_ms)

    def list_holds(self, now: float) -> bool:
        """Return whether the endpoint list's own lease holds, which covers every executor."""
        return now < self.notified_ms + self.term_ms

    def holds(self, executor: Executor, now: float) -> bool:
        """Return whether requests may be sent to the executor without a probe."""
        return now < self.notified_ms + self.term_ms or self.own_lease_holds(executor, now)

    def own_lease_holds(self, executor: Executor, now: float) -> bool:
        """Return whether the executor's own answer is recent enough, whatever the endpoint list's lease."""
        return now < executor.ready_at_ms + self.term_ms

    def known(self, now: float) -> list[Executor]:
        """Return the ready executors whose own leases hold."""
        self._answered = {
            index: executor
            for index, executor in self._answered.items()
            if self.own_lease_holds(executor, now) and executor.endpoint.stage is Stage.READY
        }
        return list(self._answered.values())

    def in_doubt(self, executor: Executor, now: float) -> bool:
        """Return whether the executor refused a request after its last proof and may drain unlisted.

        Its lease goes on: a full queue refuses requests as well, and where all queues are full, ending leases
        for that would end the service. The lease ends within a term, since a refusal renews nothing. Until
        then other executors are tried first.
        """
        if now < self.notified_ms or executor.ready_at_ms >= executor.turned_away_ms:
            return False
        return now < executor.turned_away_ms + self.term_ms

    def answered(self, executor: Executor, outcome: Outcome, sent_ms: float, now: float) -> None:
        """Renew an executor's lease by its answer to a request sent at `sent_ms`."""
        if outcome in PROVES_READY:
            executor.ready_at_ms = max(executor.ready_at_ms, sent_ms)
            if now >= self.notified_ms:
                self._answered[executor.endpoint.executor] = executor
        elif outcome is Outcome.FULL:
            executor.turned_away_ms = max(executor.turned_away_ms, sent_ms)
        if not self.list_holds(now):
            self.counts[f"answered {outcome.label}"] += 1

    def may_probe(self, executor: Executor, now: float) -> bool:
        """Return whether a request may wait for a probe of this executor, whether in progress or new."""
        if not self.probes:
            return False
        under_way = executor.probe_under_way and now < executor.probe_sent_ms + PROBE_TIMEOUT_MS
        return under_way or now >= executor.probe_not_before_ms

    def probe(self, executor: Executor, now: float) -> bool:
        """Record that an executor is to be probed; return False if a probe in progress suffices."""
        if executor.probe_under_way and now < executor.probe_sent_ms + PROBE_TIMEOUT_MS:
            return False
        executor.probe_under_way = True
        executor.probe_sent_ms = now
        executor.probe_not_before_ms = now + PROBE_RETRY_MS * (0.5 + 0.5 * self.random_source.random())
        self.counts["probes"] += 1
        return True

    def probe_answered(self, executor: Executor, outcome: Outcome, sent_ms: float) -> None:
        """Record a probe's answer; `sent_ms` is when that probe was sent, which may be an earlier one."""
        if outcome is Outcome.SUCCEEDED:
            executor.ready_at_ms = max(executor.ready_at_ms, sent_ms)
        self.counts[f"probe {outcome.label}"] += 1
        if sent_ms >= executor.probe_sent_ms:
            executor.probe_under_way = False

    def started_ms(self, executor: Executor, now: float) -> float:
        """Return when the executor's process started, as far as is known.

        While restarts may be unlisted, the end of all connections to the executor may have been a restart.
        The process then counts as new, since it would come back cold (rule 4).
        """
        if now >= self.notified_ms and executor.disconnected_ms > self.confirmed_ms:
            return max(executor.endpoint.started_ms, executor.disconnected_ms)
        return executor.endpoint.started_ms

    def basis(self, executor: Executor, now: float) -> str:
        """Return why the executor counts as ready, and how old the evidence is, for logs."""
        if self.list_holds(now):
            return "discovery"
        if self.own_lease_holds(executor, now):
            return f"its answer to what was sent {now - executor.ready_at_ms:.0f} ms ago"
        return "nobody"
