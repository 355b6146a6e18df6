"""The rig of `capacity_members.py`: a fleet of real shells in a handful of processes on loopback, and windows
over which all that they spend is counted."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
from pathlib import Path

import msgspec
from member_quantities import FIRST_OF_RACK, rack_of

from petrelway.fakes.hollow_members import FleetPlan, Report

UNDER_MEASUREMENT = FIRST_OF_RACK  # members with a process each; their CPU is averaged
HOLLOW_PROCESSES = 3
PROCESS_BYTES = 60 << 20
MEMORY_LEFT_MIB = 4096  # stays available to others on the machine
MEMORY_WAIT_S = 180.0
IDLE_LOOK_S = 2.0
IDLE_WAIT_S = 60.0
IDLE_FIELD = 4  # of the line `cpu` in /proc/stat
WINDOWS_TRIED = 3  # at rest: other work on the machine may stop a process for a moment


class NotReachedError(Exception):
    """This size can't be measured here; the text says why in one line."""


def available_mib() -> float:
    """Memory that can be had without swapping."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) / 1024
    raise NotReachedError("the system does not tell its available memory")


def wait_for_memory(needed_bytes: float) -> None:
    """Until so much can be taken and MEMORY_LEFT_MIB stay. Raises NotReachedError."""
    deadline_s = time.monotonic() + MEMORY_WAIT_S
    needed_mib = needed_bytes / 2**20
    while available_mib() - needed_mib < MEMORY_LEFT_MIB:
        if time.monotonic() > deadline_s:
            raise NotReachedError(
                f"{needed_mib:.0f} MiB needed, {available_mib():.0f} available, {MEMORY_LEFT_MIB} stay"
            )
        time.sleep(1.0)


def idle_cores() -> float:
    """How many cores had nothing to do, over IDLE_LOOK_S."""
    before = idle_ticks()
    time.sleep(IDLE_LOOK_S)
    return (idle_ticks() - before) / os.sysconf("SC_CLK_TCK") / IDLE_LOOK_S


def idle_ticks() -> int:
    """Ticks of all cores without work since the machine's start."""
    first, *_ = Path("/proc/stat").read_text().splitlines()
    return int(first.split()[IDLE_FIELD])


def wait_for_cores(needed: float) -> None:
    """Until other work leaves so many cores, or IDLE_WAIT_S are over: then the windows show what follows."""
    deadline_s = time.monotonic() + IDLE_WAIT_S
    while idle_cores() < needed and time.monotonic() < deadline_s:
        pass


class HollowProcess:
    """One process of hollow members, seen from the benchmark."""

    def __init__(
        self, plan: FleetPlan, numbers: range, ports: bool, process: int = 0, introduced: bool = True
    ) -> None:
        self.numbers = numbers
        command = [sys.executable, "-m", "petrelway", "standin", "hollow"]
        command += [str(plan.size), str(numbers[0]), str(len(numbers))]
        command += ["--network", str(plan.network), "--port", str(plan.port), "--seed", str(plan.seed)]
        command += ["--process", str(process), "--introduced" if introduced else "--unheard"]
        command.append("--ports" if ports else "--datagrams")
        self._child = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def read(self) -> Report:
        """The next report. Raises NotReachedError if the process has ended."""
        line = self._child.stdout.readline()
        if not line:
            raise NotReachedError(f"a process of hollow members ended with {self._child.wait()}")
        return msgspec.json.decode(line, type=Report)

    def write(self, command: str) -> None:
        """Ask without waiting for the report."""
        self._child.stdin.write(command.encode() + b"\n")
        self._child.stdin.flush()

    def kill(self) -> None:
        """At once, as if its machine were gone."""
        self._child.kill()
        self._child.wait()
        self._child.stdin.close()
        self._child.stdout.close()


class FleetRig:
    """A fleet in a handful of processes: members under measurement, a rack, and hollow ones."""

    def __init__(self, size: int, attempt: int, ports: bool) -> None:
        random_source = random.Random(os.urandom(8))
        self.plan = FleetPlan(
            size, random_source.randrange(64, 127), random_source.randrange(20_000, 30_000), attempt
        )
        self.size, self.rack_size = size, rack_of(size)
        first = FIRST_OF_RACK + self.rack_size
        bounds = [first + (size - first) * part // HOLLOW_PROCESSES for part in range(HOLLOW_PROCESSES + 1)]
        groups = [range(a, b) for a, b in zip(bounds, bounds[1:], strict=False)]
        singles = [range(number, number + 1) for number in range(FIRST_OF_RACK)]
        self.measured = [HollowProcess(self.plan, numbers, ports) for numbers in singles]
        self.hollow = [HollowProcess(self.plan, numbers, ports) for numbers in groups]
        self.rack = HollowProcess(self.plan, range(FIRST_OF_RACK, first), ports)
        self.joiner: HollowProcess | None = None

    def begin(self) -> None:
        """Wait until every process has bound and introduced its members, then let all go together."""
        every = [*self.measured, *self.hollow, self.rack]
        for process in every:
            process.read()
        for process in every:
            process.write("go")

    def staying(self) -> list[HollowProcess]:
        """The processes that live through the loss of the rack."""
        return [*self.measured, *self.hollow]

    def ask(self, processes: list[HollowProcess], command: str = "report") -> list[Report]:
        """Ask all, then read all."""
        for process in processes:
            process.write(command)
        return [process.read() for process in processes]

    def end(self) -> None:
        """Kill every process of this fleet, by its own handle."""
        for process in [*self.measured, *self.hollow, self.rack, self.joiner]:
            if process is not None:
                process.kill()


class WindowCost(msgspec.Struct, frozen=True):
    """What one member did a second, and how late timers were."""

    cpu_us_s: float
    bytes_s: float
    messages_s: float
    lag_ms: float


class Window:
    """What all members that stay did between two moments."""

    def __init__(self, rig: FleetRig) -> None:
        self._rig = rig
        self._before = rig.ask(rig.staying())
        self._began_s = time.monotonic()

    def close(self) -> WindowCost:
        """Raises NotReachedError if a member stood still meanwhile."""
        after = self._rig.ask(self._rig.staying())
        span_s = time.monotonic() - self._began_s
        pauses = sum(a.pauses - b.pauses for a, b in zip(after, self._before, strict=False))
        lag_ms = max(report.lag_ms for report in after)
        if pauses:
            raise NotReachedError(
                f"members stood still {pauses} times in {span_s:.0f} s, lag {lag_ms:.0f} ms"
            )
        members = sum(report.members for report in after)
        single = range(len(self._rig.measured))
        cpu_s = sum(after[i].cpu_s - self._before[i].cpu_s for i in single) / len(single)
        sent = [
            a.traffic.sent_bytes - b.traffic.sent_bytes for a, b in zip(after, self._before, strict=False)
        ]
        messages = [
            a.traffic.sent_messages - b.traffic.sent_messages
            for a, b in zip(after, self._before, strict=False)
        ]
        return WindowCost(
            cpu_us_s=cpu_s * 1e6 / span_s,
            bytes_s=sum(sent) / members / span_s,
            messages_s=sum(messages) / members / span_s,
            lag_ms=lag_ms,
        )


def quiet_window(rig: FleetRig, span_s: float) -> WindowCost:
    """A window in which nobody stood still, out of WINDOWS_TRIED in a row. Raises NotReachedError."""
    for tried in range(1, WINDOWS_TRIED + 1):
        opened = Window(rig)
        time.sleep(span_s)
        try:
            return opened.close()
        except NotReachedError:
            if tried == WINDOWS_TRIED:
                raise
    raise AssertionError("WINDOWS_TRIED is at least 1")
