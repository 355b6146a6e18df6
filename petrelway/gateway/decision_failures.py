"""Decisions that raise: whether they keep failing, and what is logged and repaired then. Times in ms.

A request whose decision raises fails alone. Where no decision succeeds any more, the process can do no work:
it says so in its readiness, in the log and in a metric, and figures of the routing core that can't be used
are set right.
"""

from __future__ import annotations

from collections import Counter

from ..routing.router import FrontEnd
from ..routing.types import Action, ActionKind
from .pending_requests import PendingRequest

FAILURES_MIN = 3  # fewer may lie with the requests themselves
FAILING_MS = 1000.0  # from the first failure to the last, without a decision that succeeded
# This long after the last failure it counts as ready again: only requests show whether decisions succeed.
RETRY_MS = 5000.0
REPAIR_INTERVAL_MS = 1000.0  # a look through the whole state takes time

DECIDES_A_REQUEST = frozenset((ActionKind.SEND, ActionKind.REJECT, ActionKind.FAIL))
FAILED, KEEP_FAILING, RESTORED = "decision failed", "decisions keep failing", "figures restored"  # counts


class DecisionFailures:
    """The failures since the last decision that succeeded for a request."""

    def __init__(self, front_end: FrontEnd, counts: Counter[str], log) -> None:
        """Start without failures."""
        self.front_end = front_end
        self.counts = counts
        self.log = log
        self.failures = 0
        self.first_ms = 0.0
        self.last_ms = 0.0
        self.reported = False
        self.next_repair_ms = 0.0

    def decided(self, decision: Action) -> None:
        """Note a decision that did not raise."""
        if not self.failures or decision.kind not in DECIDES_A_REQUEST:
            return
        if self.reported:
            self.log.info("decisions succeed again", failures=self.failures)
        self.failures = 0
        self.reported = False

    def failed(self, now: float, error: Exception, request: PendingRequest | None) -> None:
        """Log a decision that raised, and once that they keep failing; repair the core's figures."""
        self._log_failure(error, request)
        if not self.failures:
            self.first_ms = now
        self.failures += 1
        self.last_ms = now
        self.counts[FAILED] += 1
        if self.keep_failing(now) and not self.reported:
            self.reported = True
            self.counts[KEEP_FAILING] += 1
            failing_ms = round(now - self.first_ms)
            self.log.critical(KEEP_FAILING, failures=self.failures, failing_ms=failing_ms)
        self._repair(now)

    def keep_failing(self, now: float) -> bool:
        """Return whether no decision has succeeded for a while though requests came."""
        lasting = self.last_ms - self.first_ms >= FAILING_MS
        return self.failures >= FAILURES_MIN and lasting and now < self.last_ms + RETRY_MS

    def totals(self) -> dict[str, int]:
        """Return the counts that are not 0, by name, for the metrics."""
        return {name: self.counts[name] for name in (FAILED, KEEP_FAILING, RESTORED) if self.counts[name]}

    def _log_failure(self, error: Exception, request: PendingRequest | None) -> None:
        self.log.error(
            FAILED,
            error=repr(error),
            request=request.idempotency_key if request else "",
            function=request.function.name if request else "",
            request_class=request.request_class if request else "",
            sent=request.sent if request else 0,
            in_flight=sorted(request.in_flight) if request else [],
            exc_info=error,
        )

    def _repair(self, now: float) -> None:
        if now < self.next_repair_ms:
            return
        self.next_repair_ms = now + REPAIR_INTERVAL_MS
        restored = self.front_end.restore_figures()
        if restored:
            self.counts[RESTORED] += len(restored)
            self.log.error(RESTORED, names=sorted(set(restored)), count=len(restored))
