"""Bounds on figures that a host passes on, where they enter state that all requests share. Pure; times in ms.

The cost and the load time of a request are claims of its client; answer times are measured. A claim counts
for its own request up to that request's deadline. In the sums and means over all requests it counts only as a
multiple of what was measured. So no claim makes the others wait or turns a sum infinite, whatever the host
lets through, and an answer that disproves a claim is not taken for a fast executor.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .state import Request

LONGEST_MS = 1e9  # 11 days; sums and products of such times stay finite
SHORTEST_COST_MS = 1e-3  # costs are divisors
LONGEST_LOAD_MS = 600_000.0  # of a claimed load time, where load requests have no timeout
HIGHEST_RATE = 1e9  # of one tenant, in requests per second
# In sums and means over all requests a claimed cost counts as at most this many times the mean answer time;
# the costs of one function's requests hardly ever differ that much.
CLAIM_FACTOR = 16.0
# An answer within this part of the time that its claimed cost takes at a usual executor disproves the claim:
# executors differ less in speed, and honest hints less in their error.
DISPROVED_SHARE = 0.1


def bounded(figure: float, highest: float) -> float:
    """Return a figure within 0 and `highest`; what is no number counts as 0.

    >>> bounded(5.0, 9.0), bounded(math.inf, 9.0), bounded(-1.0, 9.0), bounded(math.nan, 9.0)
    (5.0, 9.0, 0.0, 0.0)
    """
    return 0.0 if math.isnan(figure) else min(max(figure, 0.0), highest)


def duration(ms: float) -> float:
    """Return a time span within 0 and LONGEST_MS."""
    return bounded(ms, LONGEST_MS)


def hinted_cost(claimed_ms: float, deadline_ms: float) -> float:
    """Return the cost that a request's hint stands for: at most its deadline; 0 without a usable hint.

    >>> hinted_cost(30.0, 4000.0), hinted_cost(1e300, 4000.0), hinted_cost(5e-324, 4000.0)
    (30.0, 4000.0, 0.001)
    >>> hinted_cost(0.0, 4000.0), hinted_cost(-3.0, 4000.0), hinted_cost(math.nan, 4000.0)
    (0.0, 0.0, 0.0)
    """
    claimed_ms = bounded(claimed_ms, duration(deadline_ms))
    return max(claimed_ms, SHORTEST_COST_MS) if claimed_ms > 0.0 else 0.0


def shared_cost(cost_ms: float, measured_ms: float) -> float:
    """Return what a request's cost counts for in sums and means over all requests.

    `measured_ms`: the mean time of answers, of the function or of all, whichever is longer.
    """
    return min(cost_ms, CLAIM_FACTOR * measured_ms)


def answered_cost(request: Request, took_ms: float, baseline: float, mean_ms: float) -> float:
    """Return the cost by which an answer measures its executor: the measured mean for a disproved claim.

    `baseline`: the usual ratio of an answer's time to its cost at executors of that type; `mean_ms`: of all
    answer times, for a function without one.
    """
    if not request.hinted_cost_ms or took_ms >= DISPROVED_SHARE * baseline * request.cost_ms:
        return request.cost_ms
    return min(request.cost_ms, request.function.mean_ms or mean_ms)
