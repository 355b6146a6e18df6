"""Slopes of one front end: by executors listed, functions known, functions first seen, calls a second.

Control is what a front end does for its place in the fleet, whether or not calls come: it takes in whole
lists and changes of the list of executors, it tidies up once a second, it makes a new function known and
ranks the executors for it. Members' messages are control too; `capacity_members.py` measures them.
Calls are the rest: taking a request, choosing an executor of a function that is known, sending, ending.

CPU is this process's own clock (`time.process_time_ns`) around inputs and the turns that they cause. Memory
is traced (`tracemalloc`), with one check against resident memory.
"""

from __future__ import annotations

from capacity_front_end_calls import measure_calls
from capacity_front_end_fleet import measure_fleet
from capacity_front_end_functions import measure_functions

from petrelway.capacity.slopes import Slope
from petrelway.gateway.garbage_collection import configure_collector


def measure(quick: bool) -> list[Slope]:
    configure_collector()  # the garbage collector as the serving process has it
    return [*measure_fleet(quick), *measure_functions(quick), *measure_calls(quick)]
