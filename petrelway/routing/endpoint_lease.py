"""Rule 3 while discovery is out of reach: how long an executor counts as ready, and what renews that.

The endpoint list is a belief with a term. Discovery renews it for all executors; once it has run out, an
executor's own answer renews it for that one, from the moment at which the answered message was sent: it may
have begun to drain just after. Where no answer is at hand it is probed, if the deployment permits probes.

Held by `rules.Gate`, which asks `holds` before each send; `selection` and `router` ask what may be probed.
`lease_renewal` spreads requests where none may be.
Times in ms.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from .state import Executor
from .types import Outcome, Stage

LEASE_MARGIN_MS = 50.0  # a lease ends so long before the grace does: bytes leave a little after the decision
LEAST_TERM_MS = 25.0  # ... but holds for so long, or no answer could ever be used
LEASE_JITTER = 0.25  # share of the term by which front ends differ, so that they do not probe in one moment
PROBE_TIMEOUT_MS = 100.0  # requests wait for a probe's answer for so long, then others are tried
PROBE_RETRY_MS = 800.0  # an executor is probed again after this time at most, and half of it at least
# What proves that the executor was not draining: a draining one turns every request away (FULL). So does one
# with a full queue, so FULL proves nothing.
PROVES_READY = frozenset((Outcome.SUCCEEDED, Outcome.MISS))


class EndpointLeases:
    """Until when the endpoint list, and each executor's own word, may be relied on."""

    def __init__(self, grace_ms: float, probes: bool, seed: int) -> None:
        """`grace_ms`: how long an executor may still be sent to once its drain counts as notified."""
        self.random_source = random.Random(f"{seed}/leases")
        term_ms = max(grace_ms - LEASE_MARGIN_MS, LEAST_TERM_MS)
        self.term_ms = term_ms * (1.0 - LEASE_JITTER * self.random_source.random())
        self.probes = probes
        self.notified_ms = math.inf  # what the list does not hold yet counts as notified by then
        self.confirmed_ms = math.inf  # when the list was last known to be complete
        self.counts: Counter[str] = Counter()
        self._answered: dict[int, Executor] = {}  # whose own word may hold

    def list_confirmed(self, confirmed_ms: float, notified_ms: float) -> None:
        """Take the list as complete at a time; later changes count as notified by `notified_ms`."""
        self.confirmed_ms = confirmed_ms
        self.notified_ms = notified_ms

    def list_unconfirmed(self, notified_ms: float) -> None:
        """Changes that the list does not hold may count as notified sooner than was assumed."""
        self.notified_ms = min(self.notified_ms, notified_ms)

    def list_holds(self, now: float) -> bool:
        """Whether discovery's word suffices for every executor."""
        return now < self.notified_ms + self.term_ms

    def holds(self, executor: Executor, now: float) -> bool:
        """Whether the executor may be sent to without being asked first."""
        return now < self.notified_ms + self.term_ms or self.own_word_holds(executor, now)

    def own_word_holds(self, executor: Executor, now: float) -> bool:
        """Whether the executor's own answer suffices, with or without discovery's word."""
        return now < executor.ready_at_ms + self.term_ms

    def known(self, now: float) -> list[Executor]:
        """The ready executors whose own word holds."""
        self._answered = {
            index: executor
            for index, executor in self._answered.items()
            if self.own_word_holds(executor, now) and executor.endpoint.stage is Stage.READY
        }
        return list(self._answered.values())

    def in_doubt(self, executor: Executor, now: float) -> bool:
        """Whether the executor turned away a request after its last proof, while its drain may go unlisted.

        Its lease goes on: a full queue turns requests away as well, and where all are full, ending leases by
        it would end the service. It ends within a term, since what is turned away renews nothing. Until then
        others are tried first.
        """
        if now < self.notified_ms or executor.ready_at_ms >= executor.turned_away_ms:
            return False
        return now < executor.turned_away_ms + self.term_ms

    def answered(self, executor: Executor, outcome: Outcome, sent_ms: float, now: float) -> None:
        """Renew an executor's lease by its answer to what was sent at `sent_ms`."""
        if outcome in PROVES_READY:
            executor.ready_at_ms = max(executor.ready_at_ms, sent_ms)
            if now >= self.notified_ms:
                self._answered[executor.endpoint.executor] = executor
        elif outcome is Outcome.FULL:
            executor.turned_away_ms = max(executor.turned_away_ms, sent_ms)
        if not self.list_holds(now):
            self.counts[f"answered {outcome.label}"] += 1

    def may_probe(self, executor: Executor, now: float) -> bool:
        """Whether a request may wait for a probe of this executor, one under way or a new one."""
        if not self.probes:
            return False
        under_way = executor.probe_under_way and now < executor.probe_sent_ms + PROBE_TIMEOUT_MS
        return under_way or now >= executor.probe_not_before_ms

    def probe(self, executor: Executor, now: float) -> bool:
        """Note that an executor is to be probed; False if the probe under way serves."""
        if executor.probe_under_way and now < executor.probe_sent_ms + PROBE_TIMEOUT_MS:
            return False
        executor.probe_under_way = True
        executor.probe_sent_ms = now
        executor.probe_not_before_ms = now + PROBE_RETRY_MS * (0.5 + 0.5 * self.random_source.random())
        self.counts["probes"] += 1
        return True

    def probe_answered(self, executor: Executor, outcome: Outcome, sent_ms: float) -> None:
        """Take a probe's answer; `sent_ms` is of that very probe, which may be an earlier one."""
        if outcome is Outcome.SUCCEEDED:
            executor.ready_at_ms = max(executor.ready_at_ms, sent_ms)
        self.counts[f"probe {outcome.label}"] += 1
        if sent_ms >= executor.probe_sent_ms:
            executor.probe_under_way = False

    def started_ms(self, executor: Executor, now: float) -> float:
        """When the executor's process started, as far as is known.

        While restarts go unlisted, the end of all connections to it may have been one: it counts as new
        then, for it would come back cold (rule 4).
        """
        if now >= self.notified_ms and executor.disconnected_ms > self.confirmed_ms:
            return max(executor.endpoint.started_ms, executor.disconnected_ms)
        return executor.endpoint.started_ms

    def basis(self, executor: Executor, now: float) -> str:
        """On whose word the executor counts as ready, and how old that is, for logs."""
        if self.list_holds(now):
            return "discovery"
        if self.own_word_holds(executor, now):
            return f"its answer to what was sent {now - executor.ready_at_ms:.0f} ms ago"
        return "nobody"
