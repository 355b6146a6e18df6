"""A day in a world in memory: the same parts as on sockets, one seed, the same record every time."""

from __future__ import annotations

import io
import random
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import defer

from ..daemon.service import Daemon
from ..fakes.fault_script import write
from ..fakes.in_memory_network import Process, World
from ..fakes.records import UNBUFFERED, Record
from ..fakes.scenario_processes import play_clients, play_executors, play_services
from ..routing.router import FrontEnd
from ..settings.days import check_playable
from ..settings.front import check_front_end
from .front_end_settings import front_settings

LEAD_MS = 3000.0
CONSOLE_PORTS = 100


class Lines(Record):
    """A record kept in memory, under the name that its file would have."""

    def __init__(self, name: str, clock, epoch_ms: float) -> None:
        self.name, self.file = name, io.BytesIO()
        self.clock, self.epoch_ms = clock, epoch_ms
        self.encode = msgspec.json.Encoder().encode

    def close(self) -> None:
        pass

    def lines(self) -> list[dict[str, Any]]:
        found = [msgspec.json.decode(x) for x in self.file.getvalue().splitlines()]
        for line in found:
            line["_file"] = self.name
            if self.name.startswith("clients-"):
                line["_source"] = f"/gateway/{self.name.removeprefix('clients-')}"
        return found


class Quiet:
    """A log that keeps warnings and worse for the one who asks."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, dict]] = []

    def _ignore(self, event: str, **what) -> None:
        pass

    debug = info = _ignore

    def warning(self, event: str, **what) -> None:
        self.lines.append(("warning", event, what))

    def error(self, event: str, **what) -> None:
        self.lines.append(("error", event, what))

    critical = error


class MemoryPlan:
    """As `standin.parts.Plan`, without files."""

    def __init__(self, tree: dict[str, Any], epoch_ms: float) -> None:
        self.day = check_playable("(in memory)", tree)
        self.epoch_ms = epoch_ms
        self.script = write(self.day)
        fronts = self.day["fleet"].fronts
        self.ports = {
            "store": 1,
            "roster": 2,
            "fronts": list(range(10, 10 + fronts)),
            "executors": list(range(1000, 1000 + len(self.script.posts))),
        }
        self.end_ms = (
            epoch_ms
            + self.day["day"].length_s * 1e3
            + max(t.deadline_ms for t in self.day["tariffs"])
            + 2000.0
        )
        self.records: list[Lines] = []

    def record(self, name: str, reactor, *, buffer: int = UNBUFFERED) -> Lines:
        """Return a record in memory, to which every line is added at once, whatever `buffer` says."""
        self.records.append(Lines(name, reactor, self.epoch_ms))
        return self.records[-1]

    def lines(self) -> list[dict[str, Any]]:
        return sorted((x for record in self.records for x in record.lines()), key=lambda x: x["t"])


class MemoryDay:
    """One playing. `kind` is the module, a baseline, or a front end that breaks a rule on purpose."""

    def __init__(
        self,
        tree: dict[str, Any],
        kind: Callable[..., FrontEnd] = FrontEnd,
        latency_ms: float = 0.2,
        consoles: bool = False,
    ) -> None:
        self.world = World(latency_ms=latency_ms)
        self.consoles = consoles
        self.tree, self.kind, self.log = tree, kind, Quiet()
        self.plan = plan = MemoryPlan(tree, self.world.now_s * 1e3 + LEAD_MS)
        self.record = plan.record("conductor", Process(self.world, "conductor"))
        self.fronts: dict[int, tuple[Process, Daemon]] = {}
        self.starts = 0
        play_services(Process(self.world, "services"), plan)
        for zone in range(len(plan.day["fleet"].zones)):
            play_executors(Process(self.world, f"executors {zone}"), plan, zone)
        for number in range(plan.day["fleet"].fronts):
            self._start(number)
        for number in range(plan.day["traffic"].clients):
            play_clients(Process(self.world, f"clients {number}"), plan, number)
        for h in plan.script.happenings:
            if h.who == "front":
                self.world.later(
                    (plan.epoch_ms + h.at_ms) / 1e3 - self.world.now_s, self._happen, h.number, h.what
                )

    def _start(self, number: int) -> None:
        self.starts += 1
        process = Process(self.world, f"front {number}")
        ports = self.plan.ports
        settings = front_settings(self.plan.day, self.tree, number, ports["fronts"][number], ports["roster"])
        if self.consoles:
            settings["console"] = {"port": CONSOLE_PORTS + number}
        found = check_front_end("(in memory)", settings)
        service = Daemon(process, found, self.log, self.kind, process=f"p{self.starts}", spent=lambda: 0.0)
        service.startService()
        self.record.note("front started", fe=f"front-{number}")
        self.fronts[number] = process, service

    def _happen(self, number: int, what: str) -> None:
        process, _ = self.fronts[number]
        self.record.note(what, fe=f"front-{number}")
        if what == "kill":
            process.kill()
        elif what == "start":
            self._start(number)
        elif what == "stop":
            process.freeze()
        else:
            process.thaw()

    def play(self) -> list[dict[str, Any]]:
        """The record's lines, by time."""
        plan = self.plan
        last_s = (
            plan.epoch_ms + plan.day["day"].length_s * 1e3 + max(t.deadline_ms for t in plan.day["tariffs"])
        ) / 1e3
        self.world.run(last_s)
        ended = [
            defer.maybeDeferred(service.stopService)
            for process, service in self.fronts.values()
            if not process.dead
        ]
        self.world.run(plan.end_ms / 1e3 + 5.0)
        self.left = all(d.called for d in ended)
        return plan.lines()


def seeds(tree: dict[str, Any], seed: int) -> dict[str, Any]:
    """The same day with another seed."""
    return {**tree, "day": {**tree["day"], "seed": random.Random(seed).randrange(1 << 30)}}
