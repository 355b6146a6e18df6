"""The reason of an attempt in words, read from the state of the decisions; only while requests are traced."""

from __future__ import annotations

from ..routing.router import FrontEnd


def why_sent(front_end: FrontEnd, request: int, executor_index: int, number: int) -> str:
    """The reason of an attempt that was decided this moment, in words."""
    sent = front_end.requests[request]
    executor = front_end.executors[executor_index]
    function = sent.function
    beside = sum(1 for other in sent.in_flight if other != number)
    if beside:
        return f"a further one beside {beside} overdue"
    again = (
        f", again after {len(sent.failed_executors) + len(sent.missed_executors)} that failed or missed"
        if number
        else ""
    )
    if function.index in executor.load_requests and len(function.skilled) <= 1:
        return "nobody is believed to hold it: first by the shared rank, loads" + again
    if function.index in executor.load_requests:
        return f"none of {len(function.skilled) - 1} skilled had room: it gains the skill and loads" + again
    if function.index in executor.resume:
        return f"skilled, least weighted backlog of {len(function.skilled)}" + again
    return "first by the shared rank" + again
