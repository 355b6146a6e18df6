"""Slopes of what grows with the fleet, measured and written to the file that `petrelway capacity` reads.

    front-end       by executors listed, functions known, functions first seen a second, calls a second
    members         by members: real shells, hollow members many to a process, on loopback
    members-ports   the same where ports are listened on and tried
    members-emulated  the same in simulated time
    changes         by changes of policy: members, a burst, one member silent
    --dry           print only, write nothing
    --quick         smaller sizes, a look: nothing is written

Each group measures at four sizes or more that double at least. CPU is the process's own clock; memory is
traced or resident, as each slope's note says. Not for CI.
"""

from __future__ import annotations

import argparse
import os
import platform
from collections.abc import Callable
from importlib import import_module

from petrelway.capacity.slopes import Slope, write_slopes

GROUPS = {
    "front-end": "capacity_front_end",
    "members": "capacity_members",
    "members-ports": "capacity_members_ports",
    "members-emulated": "capacity_members_emulated",
    "changes": "capacity_changes",
}


def machine() -> str:
    """The kind of machine, for the page: cores, memory and interpreter."""
    memory_gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, CPython {platform.python_version()}"


def show(slope: Slope) -> None:
    knee = f", knee at {slope.knee:g}" if slope.knee is not None else ""
    points = "  ".join(f"{p.size:g}: {p.cost:.4g}" for p in slope.points)
    print(
        f"{slope.name}: {slope.base:.4g} + {slope.slope:.4g} (+-{slope.slope_error:.2g}) {slope.unit}"
        f" for each {slope.dimension}, {slope.evidence.value} up to {slope.line_up_to:g}{knee}\n    {points}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("groups", nargs="+", choices=sorted(GROUPS))
    parser.add_argument("--dry", action="store_true")
    parser.add_argument("--quick", action="store_true")
    asked = parser.parse_args()
    for group in asked.groups:
        measure: Callable[[bool], list[Slope]] = import_module(GROUPS[group]).measure
        found = measure(asked.quick)
        for slope in found:
            show(slope)
        if not asked.dry and not asked.quick:
            write_slopes(found, machine())


if __name__ == "__main__":
    main()
