"""What one member costs by how many members are listed: for `benchmarks/capacity.py members`.

Measured: real shells on loopback, one process for each member under measurement and hollow members many to
a process; datagrams alone as under `petrelway node`. Memory, and the cost of hearing nobody, follow from the
list: they are measured in one process alone.

A size at which a member stood still during a window, or that would leave less than MEMORY_LEFT_MIB to others,
is not reached by what that window measures: that is printed, and its points are left out.
"""

from __future__ import annotations

import gc
import multiprocessing
import os
import random
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

from hollow_rig import (
    HOLLOW_PROCESSES,
    PROCESS_BYTES,
    UNDER_MEASUREMENT,
    FleetRig,
    HollowProcess,
    NotReachedError,
    Window,
    quiet_window,
    wait_for_cores,
    wait_for_memory,
)
from member_quantities import (
    DETECTION_BOUND_S,
    JOIN_BOUND_S,
    POLL_S,
    QUANTITIES,
    RACK_WINDOW_S,
    REST_S,
    SETTLE_S,
    SPREADING_S,
    Points,
    slopes_of,
)

from petrelway.capacity.slopes import Evidence, Slope
from petrelway.fakes.hollow_members import FleetPlan, HollowGroup
from petrelway.fakes.hollow_memory import informed_member, informed_member_bytes, plan_and_datagrams

FLEET_SIZES = (62, 125, 250, 500, 1000, 2000)
LIST_SIZES = (500, 1000, 2000, 4000, 8000, 17_000)
QUICK_SIZES = (16, 32, 64, 128)
FLEETS_BOUND_S = 360.0  # no fleet is begun after that, so that a run stays under twelve minutes
SETTLED_BOUND_S = 40.0
ATTEMPTS = 2  # at each size: other work on the machine may have stopped a process for a moment
MEMBER_BYTES = 900  # of memory that each of N members needs for each of N listed: for the look at free memory
MEMBER_CORES = 0.004  # that a hollow member takes: for the look at idle cores
ALONE_S = 20.0
ALONE_SETTLE_S = 6.0  # it knows that it hears nobody 5 s after its start

# -- a fleet of real shells


def fleet_at(size: int, attempt: int, ports: bool, found: dict[str, float]) -> None:
    """One fleet through its start, rest, the loss of a rack and, without ports, a new member. `found` gets
    what each of these costs as it ends. Raises NotReachedError."""
    wait_for_cores(min(HOLLOW_PROCESSES, size * MEMBER_CORES))
    wait_for_memory(size * size * MEMBER_BYTES + (HOLLOW_PROCESSES + UNDER_MEASUREMENT + 2) * PROCESS_BYTES)
    rig = FleetRig(size, attempt, ports)
    try:
        rig.begin()
        time.sleep(SETTLE_S)
        if not ports:
            spread_news(rig, found)
        rest(rig, found)
        lose_rack(rig, found)
        if not ports:
            add_member(rig, found)
    finally:
        rig.end()


def spread_news(rig: FleetRig, found: dict[str, float]) -> None:
    """Just after the start, while everybody tells of everybody."""
    cost = quiet_window(rig, SPREADING_S)
    found["cpu_spreading"] = cost.cpu_us_s
    found["bytes_spreading"] = cost.bytes_s


def rest(rig: FleetRig, found: dict[str, float]) -> None:
    """All news told."""
    rig.ask([*rig.staying(), rig.rack], "settle")
    wait_until_settled(rig)
    cost = quiet_window(rig, REST_S)
    found["cpu"] = cost.cpu_us_s
    found["bytes"] = cost.bytes_s
    found["messages"] = cost.messages_s
    found["lag"] = cost.lag_ms


def wait_until_settled(rig: FleetRig) -> None:
    """Until all hold all alive and every view agrees. Raises NotReachedError."""
    deadline_s = time.monotonic() + SETTLED_BOUND_S
    while True:
        time.sleep(SETTLE_S)
        reports = rig.ask(rig.staying())
        fewest = min(report.alive_least for report in reports)
        views = {report.view for report in reports}
        if fewest == rig.size - 1 and len(views) == 1 and max(report.views for report in reports) == 1:
            return
        if time.monotonic() > deadline_s:
            raise NotReachedError(
                f"not settled: a member holds {fewest} of {rig.size - 1} alive, or views differ"
            )


def lose_rack(rig: FleetRig, found: dict[str, float]) -> None:
    """Kill the rack; what the others spend in the window after it, and when all hold all of it failed."""
    opened = Window(rig)
    began_s = time.monotonic()
    rig.rack.kill()
    detected_s = cost = None
    while cost is None or detected_s is None:
        time.sleep(POLL_S)
        passed_s = time.monotonic() - began_s
        if cost is None and passed_s >= RACK_WINDOW_S:
            cost = opened.close()
        if detected_s is None and all_hold_failed(rig):
            detected_s = passed_s
        if passed_s > DETECTION_BOUND_S:
            raise NotReachedError(
                f"a rack of {rig.rack_size} was not detected within {DETECTION_BOUND_S:.0f} s"
            )
    if max(report.failed_most for report in rig.ask(rig.staying())) > rig.rack_size:
        raise NotReachedError("a member that lives was held failed")
    found["rack_cpu"] = cost.cpu_us_s
    found["rack_bytes"] = cost.bytes_s
    found["rack_messages"] = cost.messages_s
    found["rack_detected_s"] = detected_s


def all_hold_failed(rig: FleetRig) -> bool:
    """Whether every member that stays holds the whole rack failed. Those under measurement are asked last:
    an answer costs them CPU."""
    for processes in (rig.hollow, rig.measured):
        if min(report.failed_least for report in rig.ask(processes)) < rig.rack_size:
            return False
    return True


def add_member(rig: FleetRig, found: dict[str, float]) -> None:
    """A new process under the name of one of the rack, until it holds all that live alive, nobody unheard."""
    number = UNDER_MEASUREMENT
    rig.joiner = HollowProcess(rig.plan, range(number, number + 1), False, process=1, introduced=False)
    cpu_before_s = rig.joiner.read().cpu_s
    rig.joiner.write("go")
    living = rig.size - rig.rack_size
    while True:
        [report] = rig.ask([rig.joiner])
        if report.alive_least >= living and not report.unheard_most:
            break
        if report.uptime_s > JOIN_BOUND_S:
            raise NotReachedError(
                f"a new member knew {report.alive_least} of {living} after {JOIN_BOUND_S:.0f} s"
            )
        time.sleep(POLL_S)
    found["join_s"] = report.uptime_s
    found["join_bytes"] = report.traffic.sent_bytes + report.traffic.received_bytes
    found["join_cpu"] = (report.cpu_s - cpu_before_s) * 1e6


def measure_fleets(sizes: tuple[int, ...], ports: bool) -> Points:
    """Each size, largest last; no fleet is begun after the bound."""
    points: Points = defaultdict(list)
    deadline_s = time.monotonic() + FLEETS_BOUND_S
    for size in sizes:
        found: dict[str, float] = {}
        for attempt in range(1, ATTEMPTS + 1):
            if time.monotonic() > deadline_s:
                print(f"  {size} members on loopback, attempt {attempt} not tried: no time left", flush=True)
                break
            try:
                fleet_at(size, attempt, ports, found)
                late_ms = found["lag"]
                print(
                    f"  {size} members on loopback: timers late by {late_ms:.0f} ms at most at rest",
                    flush=True,
                )
                break
            except NotReachedError as fault:
                print(f"  {size} members on loopback, attempt {attempt} ended early: {fault}", flush=True)
        for name, cost in found.items():
            if name in QUANTITIES:
                points[name].append((size, cost))
    return points


# -- one member alone: memory, and the cost of hearing nobody


def resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory_at(size: int) -> tuple[float, float]:
    """Traced bytes of one member that holds everybody alive, and how much the process grew by the first."""
    informed_member_bytes(2)  # what is made once a process is not one member's
    plan, datagrams = plan_and_datagrams(size)
    gc.collect()
    resident = resident_bytes()
    member = informed_member(plan, datagrams)
    grown = resident_bytes() - resident
    del member
    return float(informed_member_bytes(size)), float(grown)


def alone_at(size: int) -> float:
    """us of CPU a second of one member on loopback whose listed peers never answer."""
    from twisted.internet import reactor

    random_source = random.Random(os.urandom(8))
    plan = FleetPlan(size, random_source.randrange(64, 127), random_source.randrange(20_000, 30_000))
    group = HollowGroup(reactor, plan, range(1))
    spent_s: list[float] = []
    group.start(introduced=False)
    reactor.callLater(ALONE_SETTLE_S, lambda: spent_s.append(time.process_time()))
    reactor.callLater(ALONE_SETTLE_S + ALONE_S, lambda: spent_s.append(time.process_time()))
    reactor.callLater(ALONE_SETTLE_S + ALONE_S, reactor.stop)
    reactor.run()
    return (spent_s[1] - spent_s[0]) * 1e6 / ALONE_S


def in_processes(work: Callable, sizes: tuple[int, ...], at_once: int) -> list:
    """Each size in a process of its own, so that nothing of another size is counted."""
    with multiprocessing.get_context("spawn").Pool(at_once, maxtasksperchild=1) as pool:
        return pool.map(work, sizes, chunksize=1)


def measure_alone(sizes: tuple[int, ...]) -> Points:
    wait_for_memory(2 * PROCESS_BYTES + 4 * max(sizes) * MEMBER_BYTES)
    points: Points = defaultdict(list)
    for size, (traced, grown) in zip(sizes, in_processes(memory_at, sizes, 1), strict=False):
        points["memory"].append((size, traced))
        points["resident"].append((size, grown))
    for size, cpu_us_s in zip(sizes, in_processes(alone_at, sizes, 2), strict=False):
        points["cpu_alone"].append((size, cpu_us_s))
    return points


def measure(quick: bool) -> list[Slope]:
    """All slopes by members, with datagrams alone."""
    fleets = measure_fleets(QUICK_SIZES if quick else FLEET_SIZES, ports=False)
    alone = measure_alone(QUICK_SIZES if quick else LIST_SIZES)
    return [
        *slopes_of(alone, "members", Evidence.MEASURED),
        *slopes_of(fleets, "members", Evidence.MEASURED),
    ]
