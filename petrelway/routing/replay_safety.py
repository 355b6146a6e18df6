"""Rule 2: which requests may be sent again, or rejected, after an attempt that may have run.

A request that may have run is retried or hedged only where that does no harm. Plain functions for
`rules.Gate`.
"""

from __future__ import annotations

from .state import Attempt, Request
from .types import Endpoint, Idempotency, Scope

WINDOW_MARGIN_MS = 60.0  # a keyed repeat is sent at the latest this long before its idempotency key expires


def may_replay(request: Request, endpoint: Endpoint, now: float) -> bool:
    """Return whether a request that may have run can go to this endpoint without harm."""
    request_class = request.request_class
    if request_class.idempotency is not Idempotency.KEYED:
        return request_class.idempotency is Idempotency.IDEMPOTENT
    in_flight = map(Attempt.possible_run, request.in_flight.values())
    for zone, cell, sent_ms in (*request.possible_runs, *in_flight):
        if now > sent_ms + request_class.window_ms - WINDOW_MARGIN_MS:
            return False
        scope = request_class.scope
        if scope is Scope.ZONE and zone != endpoint.zone:
            return False
        if scope is Scope.CELL and cell != endpoint.cell:
            return False
    return True


def may_reject(request: Request) -> bool:
    """Return whether the final answer may be a reject, which tells the client that a repeat does no harm."""
    idempotency = request.request_class.idempotency
    if not (request.possible_runs or request.in_flight) or idempotency is Idempotency.IDEMPOTENT:
        return True
    return idempotency is Idempotency.KEYED and request.request_class.scope is Scope.ALL
