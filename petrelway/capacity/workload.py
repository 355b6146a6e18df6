"""A size worked out: what the model's costs go by, for one reading of the size and at one scale; pure."""

from __future__ import annotations

from enum import Enum
from functools import lru_cache
from typing import NamedTuple

from ..routing.expiry import FORGET_FUNCTION_MS
from .rates import power_law, seen_by_one, share_of_calls_repeated, share_of_functions_below
from .size import Size

DAY_S = 86_400.0
FORGET_S = FORGET_FUNCTION_MS / 1e3
ONCE_A_MINUTE = 1.0 / 60.0
LIST_CHANGES_A_FAILURE = 2  # gone, and ready once it is back
LIST_CHANGES_A_RESTART = 3  # draining, gone, ready
KEPT_WORKLOADS = 1024  # the search for the size that breaks asks for the same scales again and again


class Reading(Enum):
    """How the operators' instances of functions are read: what an executor in the list is."""

    HOSTED = "hosted"  # one executor for each machine hosts the instances of functions there
    PROCESSES = "processes"  # each instance is an executor process of its own
    BOTH = "either"  # of a figure that does not depend on it


READINGS = (Reading.HOSTED, Reading.PROCESSES)


class Workload(NamedTuple):
    """What there is of each at one scale; rates a second, of the whole fleet where nothing else is said."""

    front_ends: float
    zones: float
    regions: float
    executors: float  # entries in the list
    executors_a_machine: float
    rack_machines: float
    functions: float
    calls: float
    calls_a_front_end: float
    functions_known: float  # at one front end at a time
    new_functions: float  # a second, at one front end
    functions_below_once_a_minute: float  # share
    calls_repeated: float  # share of calls whose function the same front end saw served within the keep time
    list_changes: float  # a second, on an ordinary day
    machines_changed: float  # a day
    configuration_changes: float  # a second
    policy_voters: float


@lru_cache(maxsize=KEPT_WORKLOADS)
def workload(size: Size, reading: Reading, scale: float = 1.0) -> Workload:
    """The size with front ends, instances, functions, calls and changes all `scale` times as many.

    Zones, regions, racks, voters and the instances on a machine stay as they are, and so does the mix of
    functions: with ranks and cut scaled alike, the same share of them is called so or so often.
    """
    executors_a_machine = size.instances.instances_a_machine if reading is Reading.PROCESSES else 1
    machines = size.instances.count / size.instances.instances_a_machine * scale
    front_ends = size.fleet.front_ends * scale
    calls = size.calls.a_second * scale
    functions = size.functions
    bands = power_law(functions.count * scale, functions.exponent, functions.cut * scale, calls)
    seen = seen_by_one(bands, front_ends, FORGET_S)
    day = size.day
    entries_changed = (
        day.machines_failed * LIST_CHANGES_A_FAILURE + day.machines_restarted * LIST_CHANGES_A_RESTART
    ) * executors_a_machine
    return Workload(
        front_ends=front_ends,
        zones=size.fleet.zones,
        regions=size.fleet.regions,
        executors=machines * executors_a_machine,
        executors_a_machine=executors_a_machine,
        rack_machines=size.fleet.rack_machines,
        functions=functions.count * scale,
        calls=calls,
        calls_a_front_end=calls / front_ends,
        functions_known=seen.functions_known,
        new_functions=seen.new_functions_a_second,
        functions_below_once_a_minute=share_of_functions_below(bands, ONCE_A_MINUTE),
        calls_repeated=share_of_calls_repeated(bands, front_ends, functions.keep_s),
        list_changes=entries_changed * scale / DAY_S,
        machines_changed=(day.machines_failed + day.machines_restarted) * scale,
        configuration_changes=day.configuration_changes * scale / DAY_S,
        policy_voters=size.fleet.policy_voters,
    )
