"""The five rules, in the one place through which every attempt, load request and final answer passes.

1. One final answer within the deadline, and no more attempts than the deployment allows.
2. A request that may have run goes out again only where that does no harm (`replay_safety`).
3. Nothing new is sent to an executor that is not ready or not known to be ready (`endpoint_lease`).
4. A new executor starts slowly (`slow_start`).
5. Load requests stay within their quota (`load_quota`).
"""

from __future__ import annotations

import random

from .endpoint_lease import EndpointLeases
from .lease_renewal import LeaseRenewal
from .load_quota import LoadQuota
from .replay_safety import may_reject, may_replay
from .slow_start import SlowStart
from .state import Executor, Request
from .types import Endpoint, LoadQuotaRule, SlowStartRule, Stage


class Gate(SlowStart, LoadQuota):
    """Decides whether the rules allow an attempt, a load request or a reject."""

    def __init__(
        self,
        slow_start_rule: SlowStartRule,
        load_quota_rule: LoadQuotaRule,
        configured_rate: float,
        own_share: float,
        random_source: random.Random,
        start: float,
        leases: EndpointLeases,
    ) -> None:
        self.leases = leases
        self.lease_renewal = LeaseRenewal(leases)
        SlowStart.__init__(self, slow_start_rule, configured_rate, own_share, random_source, start)
        LoadQuota.__init__(self, load_quota_rule)

    def allows_send(self, request: Request, executor: Executor, listed: int, now: float) -> bool:
        """Return whether this request may go to this executor now; `listed` counts the ready executors."""
        return self.leases.holds(executor, now) and self.allows_if_ready(request, executor, listed, now)

    def allows_if_ready(self, request: Request, executor: Executor, listed: int, now: float) -> bool:
        """Return whether the request may go there, provided that the executor is as ready as it is listed."""
        if request.answered or now >= request.answer_deadline_ms:  # rule 1
            return False
        if request.attempts_sent >= request.capabilities.attempts:
            return False
        if request.in_flight and not request.capabilities.hedging:
            return False
        if executor.endpoint.stage is not Stage.READY:  # rule 3
            return False
        replay = request.possible_runs or request.in_flight
        if replay and not self.allows_replay(request, executor.endpoint, now):  # rule 2
            return False
        return self._slow_start_allows(request, executor, listed, now)  # rule 4

    def allows_replay(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Return whether a request that may have run can go to this endpoint as well (rule 2)."""
        return may_replay(request, endpoint, now)

    def allows_load_request(self, executor: Executor, now: float) -> bool:
        """Return whether a load request may go to this executor now (rules 3 and 5)."""
        allowed = self._load_quota_allows(now)
        return executor.endpoint.stage is Stage.READY and allowed and self.leases.holds(executor, now)

    def allows_reject(self, request: Request) -> bool:
        """Return whether the request's final answer may be a reject (rule 2)."""
        return may_reject(request)
