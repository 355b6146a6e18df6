"""What executors listed cost a front end: memory, CPU of lists and of the periodic tidying."""

from __future__ import annotations

import gc
import itertools
import multiprocessing
import os
import random
import statistics
import tracemalloc
from pathlib import Path

from capacity_front_end_rig import (
    START_MS,
    ZONES,
    FrontEndRig,
    cpu_us,
    endpoints,
    median_points,
    new_front_end,
    traced_bytes,
)
from twisted.internet import defer, task

from petrelway.capacity.slopes import Evidence, Slope, fit
from petrelway.common.endpoint_entry import EndpointEntry
from petrelway.gateway.dispatcher import Dispatcher
from petrelway.routing.types import Stage
from petrelway.wire import codec

DIMENSION = "executor listed"
SIZES = [400, 800, 1600, 3200, 6400, 12_800, 25_600, 51_200]
QUICK_SIZES = [200, 400, 800, 1600]
STAGE_CHANGES = 100  # in one measurement of list changes
TIDY_ROUNDS = 10  # in one measurement of the tidying


def measure_fleet(quick: bool) -> list[Slope]:
    sizes = QUICK_SIZES if quick else SIZES
    resident = resident_bytes_an_executor(sizes[-1])
    return [
        slope(
            "memory",
            "B",
            [(size, module_bytes(size)) for size in sizes],
            f"tracemalloc, the module alone; resident memory: {resident:.0f} B each at {sizes[-1]}",
        ),
        slope(
            "host_memory",
            "B",
            [(size, host_bytes(size)) for size in sizes],
            "tracemalloc, host and connected links beside the module; sockets and their transports left out",
        ),
        slope(
            "whole_list_cpu", "us", median_points(sizes, whole_list_us), "every executor new to the front end"
        ),
        slope(
            "whole_list_again_cpu",
            "us",
            median_points(sizes, same_list_us),
            "every executor listed as before",
        ),
        slope(
            "list_change_cpu",
            "us",
            median_points(sizes, list_change_us),
            "one executor drains or is ready again; no function known",
        ),
        slope("tidy_cpu", "us/s", median_points(sizes, tidy_us), "no function known; one tidying a second"),
    ]


def slope(quantity: str, unit: str, found: list[tuple[float, float]], note: str) -> Slope:
    name = f"front_end.{quantity}_by_executors"
    return fit(name, unit, DIMENSION, Evidence.MEASURED, found, {"zones": ZONES}, note)


def module_bytes(executors: int) -> float:
    """Traced memory of the module with so many executors listed."""
    tracemalloc.start()
    before = traced_bytes()
    rig = FrontEndRig(executors)
    after = traced_bytes()
    tracemalloc.stop()
    assert len(rig.front_end.executors) == executors
    return after - before


def resident_bytes_an_executor(executors: int) -> float:
    """Growth of a fresh process's resident memory for each executor, without tracing."""
    with multiprocessing.get_context("spawn").Pool(1) as fresh:
        return fresh.apply(_resident_growth, (executors,)) / executors


def _resident_growth(executors: int) -> int:
    gc.collect()
    before = _resident_bytes()
    rig = FrontEndRig(executors)
    gc.collect()
    after = _resident_bytes()
    assert len(rig.front_end.executors) == executors
    return after - before


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class SilentTransport:
    """One transport for all links: takes what is written and keeps nothing."""

    def write(self, data: bytes) -> None: ...

    def registerProducer(self, producer, streaming: bool) -> None: ...


class SilentLog:
    """Takes every event and keeps nothing."""

    def info(self, event: str, **fields) -> None: ...

    debug = warning = error = critical = info


class WelcomingNetwork:
    """Connects every link at once; each executor says who it is."""

    def __init__(self) -> None:
        self.transport = SilentTransport()
        self.up = []

    def connect(self, address: str, port: int, build, timeout_ms: float) -> defer.Deferred:
        wire = build()
        self.up.append(wire)
        return defer.Deferred()

    def welcome_all(self) -> None:
        """Connections come up; afterwards the network holds none of them."""
        for wire in self.up:
            wire.makeConnection(self.transport)
            wire.dataReceived(codec.welcome(wire.link.stable, "process", "kind-0", 0.0))
        self.up.clear()


def host_bytes(executors: int) -> float:
    """Traced memory of host, links and module with so many executors listed, less that of the module."""
    clock = task.Clock()
    clock.advance(START_MS / 1e3)
    network = WelcomingNetwork()
    tracemalloc.start()
    before = traced_bytes()
    host = Dispatcher(
        clock, new_front_end(), "front", "process", ["class"], ["tenant"], [], [], 5000.0, network.connect,
        random.Random(1), SilentLog(),
    )  # fmt: skip
    host.executors_listed(
        [
            EndpointEntry(
                line.stable,
                f"127.0.{line.executor >> 8}.{line.executor & 255}",
                7000,
                f"zone-{line.zone}",
                f"kind-{line.machine}",
                line.cell,
                "ready",
                1.0,
                0.0,
            )
            for line in endpoints(executors)
        ],
        True,
    )
    network.welcome_all()
    clock.advance(0.0)
    whole = traced_bytes() - before
    tracemalloc.stop()
    assert sum(link.ready for link in host.channels.values()) == executors
    return whole - module_bytes(executors)


def whole_list_us(executors: int) -> float:
    """A first list."""
    lines = endpoints(executors)
    rig = FrontEndRig()
    return cpu_us(rig.take_list, lines, True)


def same_list_us(executors: int) -> float:
    """The same list once more, as after a reconnect to its source."""
    rig = FrontEndRig(executors)
    lines = endpoints(executors)
    return cpu_us(rig.take_list, lines, True)


def list_change_us(executors: int) -> float:
    """The mean of changes all over the list: each of some executors drains and is ready again."""
    rig = FrontEndRig(executors)
    some = random.Random(executors).sample(range(executors), STAGE_CHANGES // 2)
    changes = itertools.product(some, (Stage.DRAINING, Stage.READY))
    return sum(cpu_us(rig.change_stage, executor, stage) for executor, stage in changes) / STAGE_CHANGES


def tidy_us(executors: int) -> float:
    """The module is woken for its tidying, which comes once a second."""
    rig = FrontEndRig(executors)
    began_ms = rig.now_ms
    rounds = statistics.median(cpu_us(rig.wake) for _ in range(TIDY_ROUNDS))
    assert rig.now_ms - began_ms <= 1000.0 * TIDY_ROUNDS
    return rounds
