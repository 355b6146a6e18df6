"""Text that explains why an attempt was sent, derived from the state of the routing core.

The dispatcher requests it only while an observer is attached; the console shows the text.
"""

from __future__ import annotations

from ..routing.router import FrontEnd
from ..routing.state import Executor, Request


def send_reason(front_end: FrontEnd, request_index: int, executor_index: int, number: int) -> str:
    """Return the reason for an attempt that has just been decided."""
    request = front_end.requests[request_index]
    executor = front_end.executors[executor_index]
    return _choice_reason(front_end, request, executor, number) + _lease_reason(front_end, executor)


def _lease_reason(front_end: FrontEnd, executor: Executor) -> str:
    """Return what the executor's readiness rests on if the endpoint list's lease has expired, else ""."""
    leases = front_end.gate.leases
    now = front_end.clock.latest()
    return "" if leases.list_holds(now) else f", ready by {leases.basis(executor, now)}"


def _choice_reason(front_end: FrontEnd, request: Request, executor: Executor, number: int) -> str:
    function = request.function
    others_in_flight = sum(1 for other in request.in_flight if other != number)
    if others_in_flight:
        return f"a further one beside {others_in_flight} overdue"
    suffix = (
        f", again after {len(request.failed_executors) + len(request.missed_executors)} that failed or missed"
        if number
        else ""
    )
    if function.index in executor.load_requests and len(function.skilled) <= 1:
        return "nobody is believed to hold it: first by the shared rank, loads" + suffix
    if function.index in executor.load_requests:
        return f"none of {len(function.skilled) - 1} skilled had room: it gains the skill and loads" + suffix
    if function.index in executor.resume:
        return f"skilled, least weighted backlog of {len(function.skilled)}" + suffix
    return "first by the shared rank" + suffix
