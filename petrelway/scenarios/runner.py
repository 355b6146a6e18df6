"""Plays a day: writes the plan, starts every process on loopback, does to front ends what the script says."""

from __future__ import annotations

import json
import random
import secrets
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil
from twisted.internet import defer, error, protocol

from ..common.process_clock import process_clock
from ..fakes.fault_proxy import proxy_address
from ..fakes.fault_schedule import REGISTRY
from ..fakes.fault_script import late, other_ways
from ..fakes.scenario_processes import Plan
from .front_end_settings import front_settings
from .real_workers import write_packages, write_worker

LEAD_MS, LEAD_EACH_MS = 3000.0, 150.0  # from the plan to the day's beginning: processes start in it
PORTS = range(20_000, 32_000)  # below the range that connections draw theirs from
BLOCK = 250  # ports that one rehearsal has to itself
AGAIN_S = 0.2  # a process that is to start again is looked at this often until it has ended
QUIT_S = 12.0  # a part that has not ended so long after its time is killed


SIGNS = {"die": "KILL", "leave": "TERM", "freeze": signal.SIGSTOP, "end freeze": signal.SIGCONT}


class ProcessFailedError(Exception):
    """A process of the rehearsal ended by itself; its text says which, how, and where its words are."""


class Ports:
    """A block of ports on loopback for one rehearsal: its first one is held as long as this lives.

    Danger: two rehearsals at a time that each tried ports and let them go would draw the same ones.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Raises ProcessFailedError if all blocks are taken."""
        blocks = list(range(PORTS.start, PORTS.stop, BLOCK))
        random_source.shuffle(blocks)
        for first in blocks:
            self.held = socket.socket()
            try:
                self.held.bind(("127.0.0.1", first))
                self.held.listen(1)
            except OSError:
                self.held.close()
                continue
            self.left = iter(range(first + 1, first + BLOCK))
            return
        raise ProcessFailedError(f"no block of {BLOCK} ports is free in {PORTS.start} to {PORTS.stop}")

    def draw(self, count: int) -> list[int]:
        """The next ports of the block that nobody listens on. Raises ProcessFailedError if it has too few."""
        found: list[int] = []
        for port in self.left:
            if len(found) == count:
                break
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            found.append(port)
        if len(found) < count:
            raise ProcessFailedError(f"{count} ports asked for, {len(found)} free in a block of {BLOCK}")
        return found

    def close(self) -> None:
        self.held.close()


def write_plan(
    folder: Path, tree: dict[str, Any], posts: int, fronts: int, own: Ports, consoles: bool = False
) -> None:
    """plan.json, for all parts and for the checker."""
    folder.mkdir(parents=True, exist_ok=True)
    ports = own.draw(2 + fronts + posts)
    plan = {
        "day": tree,
        "epoch_ms": process_clock().seconds() * 1e3 + LEAD_MS + fronts * LEAD_EACH_MS,
        "ports": {
            "store": ports[0],
            "roster": ports[1],
            "fronts": ports[2 : 2 + fronts],
            "executors": ports[2 + fronts :],
        },
    }
    if consoles:
        plan["ports"]["consoles"] = own.draw(fronts)
        token = folder / "console.token"
        token.write_text(secrets.token_hex(16))
        token.chmod(0o600)
    if tree.get("fleet_troubles") or tree["fleet"].get("members") or tree["fleet"].get("keepers"):
        plan["ports"]["peers"] = own.draw(fronts)
        plan["ports"]["fault_proxy"], plan["ports"]["control"] = own.draw(2)
    (folder / "plan.json").write_text(json.dumps(plan))


def write_fronts(plan: Plan, tree: dict[str, Any], level: str) -> list[Path]:
    """Settings of each front end, as a file of its own; with a console where the plan has ports for it."""
    files = []
    for i in range(plan.day["fleet"].fronts):
        log = {"file": str(plan.folder / f"front-{i}.log"), "level": level}
        files.append(plan.folder / f"front-{i}.json")
        settings = front_settings(
            plan.day, tree, i, plan.ports["fronts"][i], plan.ports["roster"], log, peers(plan, i)
        )
        if other_ways(plan.day):
            settings["roster"] = {"port": plan.ports["fault_proxy"], "address": proxy_address(i, REGISTRY)}
        if consoles := plan.ports.get("consoles"):
            settings["console"] = {"port": consoles[i], "token_file": str(plan.folder / "console.token")}
        if keepers := plan.day["fleet"].keepers:
            names = [f"front-{n}" for n in range(keepers)]
            settings["policy"] = {"keepers": names, "file": str(plan.folder / f"front-{i}.terms")}
        files[-1].write_text(json.dumps(settings, indent=1))
    return files


def peers(plan: Plan, number: int) -> dict[str, Any] | None:
    """The peers' section of one front end: it meets each of the others behind the faulty network."""
    if not (ports := plan.ports.get("peers")):
        return None
    members = [
        {"name": f"front-{i}", "address": proxy_address(number, i), "port": plan.ports["fault_proxy"]}
        for i in range(len(ports))
        if i != number
    ]
    return {"fleet": "rehearsed", "port": ports[number], "members": members}


class QuotaShare(protocol.ProcessProtocol):
    """One process; its words go to a file."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.path = name, folder / f"{name}.err"
        self.file = open(self.path, "ab")
        self.ended: defer.Deferred[str] = defer.Deferred()
        self.wanted_dead = self.told_to_leave = False
        self.cpu_s = self.rss_mb = 0.0

    def outReceived(self, data: bytes) -> None:
        self.file.write(data)

    errReceived = outReceived

    def processEnded(self, reason) -> None:
        self.file.close()
        # one that was told to leave before it was up ends by the signal itself
        early = self.told_to_leave and getattr(reason.value, "signal", None) == signal.SIGTERM
        fine = reason.check(error.ProcessDone) or self.wanted_dead or early
        how = "" if fine else reason.getErrorMessage()
        self.ended.callback(how)

    def measure(self) -> None:
        """Remember the CPU time so far, in s, and the resident memory, in MB."""
        try:
            process = psutil.Process(self.transport.pid)
            times = process.cpu_times()
            self.cpu_s, self.rss_mb = times.user + times.system, process.memory_info().rss / 2**20
        except (psutil.Error, TypeError):
            pass


class Conductor:
    """One playing of a day."""

    def __init__(
        self,
        reactor,
        folder: Path,
        tree: dict[str, Any],
        policy: str,
        progress: Callable[[float, str], None],
        level: str = "info",
    ) -> None:
        self.reactor, self.folder, self.policy, self.progress = reactor, folder, policy, progress
        self.plan = Plan(folder)
        self.files = write_fronts(self.plan, tree, level)
        self.record = self.plan.record("conductor", reactor)
        self.fronts: dict[int, QuotaShare] = {}
        self.parts: list[QuotaShare] = []
        self.failed: list[str] = []
        self.front_cpu_s = 0.0
        self.calls: list = []
        self.workers: dict[int, QuotaShare] = {}
        self.starts = self.front_starts = 0

    def _spawn(self, name: str, *words: str) -> QuotaShare:
        part = QuotaShare(name, self.folder)
        self.reactor.spawnProcess(part, sys.executable, [sys.executable, "-m", "petrelway", *words], env=None)
        self.parts.append(part)
        part.ended.addCallback(self._ended, part)
        return part

    def _ended(self, how: str, part: QuotaShare) -> None:
        if how:
            self.failed.append(f"{part.name}: {how} (see {part.path.name})")
        if part.name.startswith("front-"):
            self.front_cpu_s += part.cpu_s
            self.record.note("front ended", fe=part.name)

    def _start_front(self, number: int) -> None:
        self.record.note("front started", fe=f"front-{number}")
        words = ["serve", str(self.files[number]), "--policy", self.policy, "--meter"]
        if "peers" in self.plan.ports:
            self.front_starts += 1
            record = self.folder / f"fleet-{number}-{self.front_starts}.jsonl"
            words += ["--record", str(record), "--epoch-ms", str(self.plan.epoch_ms)]
        self.fronts[number] = self._spawn(f"front-{number}", *words)

    @defer.inlineCallbacks
    def play(self):
        """Raises ProcessFailedError if a process ended by itself."""
        plan, day = self.plan, self.plan.day
        self._spawn("services", "standin", "services", str(self.folder))
        if day["fleet"].workers:
            self._start_workers()
        else:
            for zone in range(len(day["fleet"].zones)):
                self._spawn(f"executors-{zone}", "standin", "executors", str(self.folder), str(zone))
        if "peers" in plan.ports:
            self._spawn("fault-proxy", "standin", "fault-proxy", str(self.folder))
        for number in range(day["fleet"].fronts):
            if number not in late(day):
                self._start_front(number)
        for number in range(day["traffic"].clients):
            self._spawn(f"clients-{number}", "standin", "clients", str(self.folder), str(number))
        others = [p.ended for p in self.parts if not p.name.startswith(("front", "executor-"))]
        now = self.reactor.seconds() * 1e3
        for h in plan.script.happenings:
            if h.who == "front":
                self.calls.append(
                    self.reactor.callLater(
                        max(0.0, plan.epoch_ms + h.at_ms - now) / 1e3, self._happen, h.number, h.what
                    )
                )
        last = plan.epoch_ms + day["day"].length_s * 1e3 + max(t.deadline_ms for t in day["tariffs"])
        while (now := self.reactor.seconds() * 1e3) < last and not self.failed:
            self._tell(now)
            wait: defer.Deferred = defer.Deferred()
            self.reactor.callLater(min(1.0, max(0.01, (last - now) / 1e3)), wait.callback, None)
            yield wait
        for part in self.fronts.values():
            self._end_front(part, "TERM")
        if self.failed:
            self._kill_all()
        deadline = self.reactor.callLater(QUIT_S, self._kill_all)
        yield defer.DeferredList([p.ended for p in self.parts if p.name.startswith("front")])
        for part in self.workers.values():
            self._end_front(part, "TERM")
        yield defer.DeferredList([*others, *(p.ended for p in self.workers.values())])
        if deadline.active():
            deadline.cancel()
        for call in self.calls:
            if call.active():
                call.cancel()
        self.record.note("end", cpu_s=round(self.front_cpu_s, 3))
        self.record.close()
        if self.failed:
            raise ProcessFailedError("; ".join(self.failed))

    def _tell(self, now: float) -> None:
        for number, part in self.fronts.items():
            if part.transport.pid is not None:
                part.measure()
                self.record.note(
                    "use", fe=f"front-{number}", cpu_s=round(part.cpu_s, 3), rss_mb=round(part.rss_mb, 2)
                )
        at_s = (now - self.plan.epoch_ms) / 1e3
        under = sorted(
            {t.kind for t in self.plan.day["troubles"] if t.at_s <= at_s < t.at_s + max(1.0, t.len_s)}
        )
        self.progress(at_s, ", ".join(under))

    def _start_workers(self) -> None:
        """Real workers: what the script does to processes is done to them by signals."""
        write_packages(self.plan)
        self._spawn("packages", "standin", "packages", str(self.folder))
        for post in self.plan.script.posts:
            if post.begins_ms <= 0.0:
                self._start_worker(post.number, cold=False)
        now = self.reactor.seconds() * 1e3
        for h in self.plan.script.happenings:
            if h.who == "executor" and h.what in ("start", "die", "leave", "freeze", "end freeze"):
                self.calls.append(
                    self.reactor.callLater(
                        max(0.0, self.plan.epoch_ms + h.at_ms - now) / 1e3,
                        self._to_worker,
                        h.number,
                        h.what,
                    )
                )

    def _start_worker(self, number: int, cold: bool) -> None:
        post, fleet = self.plan.script.posts[number], self.plan.day["fleet"]
        self.starts += 1
        process = f"w{number}-{self.starts}"
        cap = fleet.kinds[post.kind].cores * post.speed
        self.record.note("up", ex=post.name, p=process, hall=post.zone, cell=post.cell, cap=cap, cold=cold)
        self.workers[number] = self._spawn(
            f"{post.name}-{self.starts}", "worker", "serve", str(write_worker(self.plan, number)),
            "--record", str(self.folder / f"{process}.jsonl"), "--epoch-ms", str(self.plan.epoch_ms),
            "--process", process,
        )  # fmt: skip

    def _to_worker(self, number: int, what: str) -> None:
        part = self.workers.get(number)
        if what == "start":
            if part is None or part.transport.pid is None:
                self._start_worker(number, cold=True)
        elif part is not None and part.transport.pid is not None:
            if what == "die":
                part.wanted_dead = True
                self.record.note("down", ex=self.plan.script.posts[number].name, why="killed")
            elif what in ("freeze", "end freeze"):  # what it reads when it goes on was sent before
                name = self.plan.script.posts[number].name
                self.record.note("deaf" if what == "freeze" else "hears", ex=name)
            part.transport.signalProcess(SIGNS[what])

    def _happen(self, number: int, what: str) -> None:
        part = self.fronts.get(number)
        if what == "start":
            if part is None or part.transport.pid is None:
                self._start_front(number)
            else:  # it still answers what it owes
                self.calls.append(self.reactor.callLater(AGAIN_S, self._happen, number, what))
            return
        self.record.note(what, fe=f"front-{number}")
        if part is None:
            return
        if what in ("kill", "leave"):
            self._end_front(part, "KILL" if what == "kill" else "TERM")
        elif part.transport.pid is not None:
            part.transport.signalProcess(signal.SIGSTOP if what == "stop" else signal.SIGCONT)

    def _end_front(self, part: QuotaShare, how: str) -> None:
        if part.transport.pid is None:
            return
        part.measure()
        part.wanted_dead, part.told_to_leave = how == "KILL", how == "TERM"
        part.transport.signalProcess(signal.SIGCONT)
        part.transport.signalProcess(how)

    def abandon(self) -> None:
        """The rehearsal itself is ended: no process of it may stay behind."""
        for part in self.parts:
            if part.transport is not None and part.transport.pid is not None:
                part.wanted_dead = True
                part.transport.signalProcess("KILL")

    def _kill_all(self) -> None:
        for part in self.parts:
            if part.transport.pid is not None:
                if not part.wanted_dead:
                    self.failed.append(f"{part.name}: had to be killed")
                part.wanted_dead = True
                part.transport.signalProcess("KILL")
