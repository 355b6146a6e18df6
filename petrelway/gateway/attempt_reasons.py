"""The reason of a attempt in words, read from the module's state; asked only while stories are kept."""

from __future__ import annotations

from ..routing.router import FrontEnd


def why_sent(fe: FrontEnd, request: int, executor_index: int, number: int) -> str:
    """The reason of a attempt that was decided this moment, in words."""
    t, e = fe.requests[request], fe.executors[executor_index]
    f = t.function
    beside = sum(1 for n in t.in_flight if n != number)
    if beside:
        return f"a further one beside {beside} overdue"
    again = f", again after {len(t.failed_executors) + len(t.missed_executors)} that failed or missed" if number else ""
    if f.index in e.load_requests and len(f.skilled) <= 1:
        return "nobody is believed to hold it: first by the shared rank, loads" + again
    if f.index in e.load_requests:
        return f"none of {len(f.skilled) - 1} skilled had room: it gains the skill and loads" + again
    if f.index in e.resume:
        return f"skilled, least weighted backlog of {len(f.skilled)}" + again
    return "first by the shared rank" + again
