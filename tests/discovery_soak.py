"""Soak of real front ends through outages of discovery that cross other faults; judged by the fakes' records.

One seed draws the outage and what crosses it. Some thirty seconds are played; see `FAULTS`. In some seeds
probes are forbidden; in some the front ends can't write to their own pipes while signals come in series. The
judge reads what executors and clients recorded, never the program's own words. How late this rig itself was
is measured with each run and given to the rules as slack.

Run by hand: `PYTHONPATH=tests python tests/discovery_soak.py --seeds 50`; a line a seed, exit 1 if it finds
anything.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import errno
import itertools
import json
import random
import signal
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from nodes import WAIT_S, Client, serving, settings, spare, start

from petrelway.fakes.failing_calls import FailingCalls, build
from petrelway.fakes.platform_peers import Bus, Executor, answer, configuration, request

FRONT_ENDS = 3
EXECUTORS = 8
DEADLINE_S = 0.8  # of every class, so that the kill comes early
KILL_AFTER_S = DEADLINE_S + 0.7  # after SIGTERM, as the platform's page has it at the earliest
ANSWERED_ANYWAY_S = 0.7  # requests sent later than this after SIGTERM may go unanswered at the kill
NOTIFIED_AFTER_S = 4.0  # what discovery would have told counts as notified so long after it was lost
OPEN_BOUND = 32  # requests on one connection
RULE_SLACK_S = 0.05
REFUSED = -32014
OVERDUE_S = 0.5  # an answer later than this after its time counts as none
QUIET_S = 1.0
OUTAGE_S = (6.0, 9.0)
SERVED_SHARE = 0.5  # of what is asked of front ends that nothing else happens to
PROBES_FORBIDDEN_SHARE = 0.4  # of the seeds
SIGNALS_SHARE = 0.4  # of the seeds
SIGNAL_INTERVAL_S = 0.02
FAULTS = ("drain early", "drain late", "replaced", "pause", "terminate", "reload", "queues full")


@dataclass
class Sent:
    """One request of a client."""

    call: str
    sent_s: float
    outcome: str = ""  # served, refused or failed
    answers: int = 0
    answered_s: float = 0.0


class SoakExecutor(Executor):
    """Turns work away while it drains, or while its queue is full; keeps what it ran."""

    def __init__(self, number: int, port: int = 0) -> None:
        self.number = number
        self.drained_s: float | None = None
        self.queue_full = False
        self.ran: list[str] = []
        super().__init__(work_ms=3.0, port=port)

    def drain(self) -> None:
        self.drained_s = time.monotonic()
        self.draining = True

    def commanded(self, wire: socket.socket, command: tuple) -> None:
        if command[0] == 10 and self.queue_full and not self.draining:
            wire.sendall(answer(103, command[1]))
            return
        super().commanded(wire, command)

    def requested(self, wire: socket.socket, id: bytes, body: bytes) -> None:
        self.ran.append(id.hex())
        super().requested(wire, id, body)


class SilentBus(Bus):
    """Takes connections and says nothing."""

    def serve(self, wire: socket.socket) -> None:
        while wire.recv(64):
            pass


class FrontEnd:
    """One front end's process, and the client that keeps using its open connection until the kill."""

    def __init__(
        self, number: int, path: Path, known: tuple, bus: str, grace_s: float, probes: bool, calls: bool
    ) -> None:
        """`calls`: its system calls can be made to fail, by `failing`."""
        self.number = number
        self.probes = probes
        self.failing = FailingCalls(build(path), path / f"{number}.plan") if calls else None
        self.path = path / f"{number}.json"
        self.address = spare()
        self.known = known
        self.grace_s = grace_s
        self.terminated_s: float | None = None
        self.killed_s: float | None = None
        self.paused = False
        self.exit_code: int | None = None
        self.log = b""
        self.write(bus)
        self.process = start(self.path, more=self.failing.environment() if self.failing else {})
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        """Read what it writes, so that a full pipe does not stop it."""
        while data := self.process.stdout.read1(1 << 16):
            self.log += data

    def write(self, bus: str) -> None:
        classes = {
            name: {"aimS": 0.4, "deadlineS": DEADLINE_S, **({"windowS": 8.0} if name == "keyed" else {})}
            for name in ("safe", "keyed", "once")
        }
        told = settings(
            limits={"probes": self.probes},
            classes=classes,
            invariants={"stopSendingWithinS": self.grace_s},
        )
        data = configuration(
            self.address, bus, executors=self.known, settings=told, name=f"n{self.number}", sockets=256
        )
        self.path.write_bytes(data)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def told(self) -> str:
        """Whether it serves, its exit code if it has ended, and the last that it wrote."""
        serves = serving(self.address)
        return f"{self.address}: serving {serves}, exit {self.process.poll()}, {self.log[-400:]!r}"

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.exit_code = self.process.wait(WAIT_S)
        self.reader.join(WAIT_S)
        if self.failing:
            self.failing.close()


class SoakClient:
    """Sends on one connection in open loop until told to stop, or the connection is gone."""

    def __init__(self, front_end: FrontEnd, interval_s: float, serial: itertools.count) -> None:
        self.front_end = front_end
        self.interval_s = interval_s
        self.serial = serial
        self.sent: dict[int, Sent] = {}
        self.answered = 0
        self.stopping = threading.Event()
        self.client = Client(front_end.address)
        self.threads = [threading.Thread(target=run, daemon=True) for run in (self._send, self._hear)]
        for thread in self.threads:
            thread.start()

    def _send(self) -> None:
        for number in itertools.count(1):
            if self.stopping.wait(self.interval_s):
                return
            if len(self.sent) - self.answered >= OPEN_BOUND:
                continue  # the platform's clients have no more open on a connection
            call = f"{next(self.serial):016x}"
            method = ("safe", "keyed", "once")[number % 3]
            more = {"dedupe": f"{call}{call}"} if method == "keyed" else {}
            line = request(number, method, call=call, ttl=round(DEADLINE_S * 1e3), body=b"abc", **more)
            self.sent[number] = Sent(call, time.monotonic())
            try:
                self.client.say(line)
            except OSError:
                del self.sent[number]
                return

    def _hear(self) -> None:
        while True:
            try:
                line = self.client.hear()
            except (OSError, ValueError):
                return
            if line is None:
                return
            found = self.sent.get(line.get("id"))
            if found is None:
                continue
            found.answers += 1
            self.answered += found.answers == 1
            found.answered_s = time.monotonic()
            if "result" in line:
                found.outcome = "served"
            else:
                found.outcome = (
                    "refused" if line["error"]["code"] == REFUSED else f"failed {line['error']['code']}"
                )

    def stop(self) -> None:
        self.stopping.set()
        self.threads[0].join(WAIT_S)


class Lateness(threading.Thread):
    """How late this process's own threads come to run; a rig that was late judges nothing late."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.worst_s = 0.0
        self.stopping = threading.Event()

    def run(self) -> None:
        while not self.stopping.is_set():
            due_s = time.monotonic() + 0.01
            time.sleep(0.01)
            self.worst_s = max(self.worst_s, time.monotonic() - due_s)


@dataclass
class Result:
    """What one seed showed."""

    seed: int
    plan: list[str]
    findings: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    served_share: float = 0.0
    rig_late_ms: int = 0

    def line(self) -> str:
        verdict = "FOUND " + "; ".join(self.findings) if self.findings else "kept"
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        return f"seed {self.seed}: {verdict} [{', '.join(self.plan)}] {counts}, late {self.rig_late_ms} ms"


class Soak:
    """One seed's play."""

    def __init__(self, seed: int, path: Path) -> None:
        self.random_source = random.Random(seed)
        self.path = path
        self.grace_s = self.random_source.choice((0.5, 1.0, 2.0))
        self.how = self.random_source.choice(("refused", "silent", "flapping"))
        count = self.random_source.choice((2, 3))
        self.faults = self.random_source.sample(FAULTS, count)
        self.crowd = self.random_source.random() < 0.3
        self.pause_s = self.random_source.uniform(0.5, 5.0)
        self.probes = random.Random(f"{seed}/probes").random() >= PROBES_FORBIDDEN_SHARE
        self.signals = random.Random(f"{seed}/signals").random() < SIGNALS_SHARE
        also = {"crowd": self.crowd, "probes forbidden": not self.probes, "signals": self.signals}
        self.result = Result(
            seed,
            [
                f"grace {self.grace_s}",
                self.how,
                *self.faults,
                *(name for name, plays in also.items() if plays),
            ],
        )
        self.executors = [SoakExecutor(number) for number in range(1, EXECUTORS + 1)]
        self.retired: list[SoakExecutor] = []
        self.bus = Bus()
        known = tuple((each.number, each.port) for each in self.executors)
        self.front_ends = [
            FrontEnd(number, path, known, self.bus.address, self.grace_s, self.probes, self.signals)
            for number in range(FRONT_ENDS)
        ]
        self.serial = itertools.count(1 + (seed << 32))
        self.clients: list[SoakClient] = []
        self.lost_s = 0.0
        self.lateness = Lateness()
        self.timers: list[threading.Thread] = []

    # -- the play

    def play(self) -> Result:
        try:
            self._wait_until_serving()
            self.lateness.start()
            self._start_clients()
            time.sleep(QUIET_S)
            outage_s = self.random_source.uniform(*OUTAGE_S)
            self._lose_discovery()
            if self.signals:
                self._start_thread(self._signal_in_series, time.monotonic() + outage_s)
            for fault in self.faults:
                self._later(self.random_source.uniform(0.2, outage_s - 2.0), fault)
            time.sleep(outage_s)
            for timer in self.timers:
                timer.join(WAIT_S)
            self._stop_clients()
            self._judge()
        finally:
            self._close()
        return self.result

    def _wait_until_serving(self) -> None:
        end_s = time.monotonic() + WAIT_S
        while not all(serving(each.address) for each in self.front_ends):
            if time.monotonic() > end_s:
                raise TimeoutError("; ".join(map(FrontEnd.told, self.front_ends)))
            time.sleep(0.05)

    def _start_clients(self) -> None:
        each_s = 0.02
        for front_end in self.front_ends:
            for _ in range(6 if self.crowd else 1):
                self.clients.append(SoakClient(front_end, each_s, self.serial))

    def _lose_discovery(self) -> None:
        self.lost_s = time.monotonic()
        if self.how == "silent":
            self.bus.silent = True
            return
        port = self.bus.port
        self.bus.close()
        if self.how == "flapping":
            self._start_thread(self._flap, port)

    def _flap(self, port: int) -> None:
        """It takes connections again for a while and says nothing: whoever asked counts as told."""
        time.sleep(2.0)
        self.bus = SilentBus(port)
        time.sleep(1.0)
        self.bus.close()

    def _signal_in_series(self, end_s: float) -> None:
        """No front end can write to its own pipes, and SIGHUP comes again and again."""
        for front_end in self.front_ends:
            front_end.failing.fail("write_pipe", errno.EIO)
        while time.monotonic() < end_s:
            for front_end in self.front_ends:
                if front_end.process.poll() is None:
                    front_end.signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)

    def _start_thread(self, run, *arguments) -> None:
        thread = threading.Thread(target=run, args=arguments, daemon=True)
        self.timers.append(thread)
        thread.start()

    def _later(self, delay_s: float, fault: str) -> None:
        act = getattr(self, "_" + fault.replace(" ", "_"))
        if fault == "drain early":
            delay_s = 0.2
        if fault == "drain late":
            delay_s = NOTIFIED_AFTER_S + 0.3
        self._start_thread(lambda: (time.sleep(delay_s), act()))

    def _drain_early(self) -> None:
        for executor in self.executors[:2]:
            executor.drain()

    def _drain_late(self) -> None:
        self.executors[2].drain()

    def _replaced(self) -> None:
        """Drains, goes, and is back at the same address and id, cold."""
        executor = self.executors[3]
        executor.drain()
        time.sleep(1.5)
        self.retired.append(executor)
        executor.close()
        time.sleep(0.5)
        self.executors[3] = SoakExecutor(executor.number, executor.port)

    def _pause(self) -> None:
        front_end = self.front_ends[1]
        front_end.paused = True
        front_end.signal(signal.SIGSTOP)
        time.sleep(self.pause_s)
        front_end.signal(signal.SIGCONT)

    def _terminate(self) -> None:
        """Signals in series, and the kill at the earliest."""
        front_end = self.front_ends[2]
        front_end.signal(signal.SIGHUP)
        front_end.terminated_s = time.monotonic()
        front_end.signal(signal.SIGTERM)
        time.sleep(0.1)
        if front_end.process.poll() is None:
            front_end.signal(signal.SIGHUP)
            front_end.signal(signal.SIGTERM)
        time.sleep(front_end.terminated_s + KILL_AFTER_S - time.monotonic())
        front_end.killed_s = time.monotonic()
        if front_end.process.poll() is None:
            front_end.process.kill()

    def _reload(self) -> None:
        """Discovery moves to an address where nothing listens, and again."""
        front_end = self.front_ends[0]
        for _ in range(3):
            front_end.write(spare())
            front_end.signal(signal.SIGHUP)
            time.sleep(0.2)

    def _queues_full(self) -> None:
        for executor in self.executors[4:6]:
            executor.queue_full = True
        time.sleep(1.5)
        for executor in self.executors[4:6]:
            executor.queue_full = False

    def _stop_clients(self) -> None:
        for client in self.clients:
            client.stop()
        time.sleep(DEADLINE_S + OVERDUE_S)

    def _close(self) -> None:
        self.lateness.stopping.set()
        for front_end in self.front_ends:
            if front_end.process.poll() is None:
                front_end.signal(signal.SIGCONT)
            front_end.end()
        for fake in (*self.executors, self.bus):
            fake.close()

    # -- the judge

    def _judge(self) -> None:
        self.result.rig_late_ms = round(self.lateness.worst_s * 1e3)
        self._judge_drains()
        self._judge_effects()
        self._judge_answers()
        self._judge_processes()

    def _judge_drains(self) -> None:
        for executor in (*self.executors, *self.retired):
            if executor.drained_s is None:
                continue
            notified_s = max(executor.drained_s, self.lost_s + NOTIFIED_AFTER_S)
            limit_s = notified_s + self.grace_s + RULE_SLACK_S + self.lateness.worst_s
            late = [at for at in executor.request_arrivals_s() if at > limit_s]
            self.result.counts["turned away or later"] += sum(
                at > executor.drained_s for at in executor.request_arrivals_s()
            )
            if late:
                worst_ms = round((max(late) - limit_s) * 1e3)
                self.result.findings.append(
                    f"drain: {len(late)} sends to {executor.number}, up to {worst_ms} ms late"
                )

    def _judge_effects(self) -> None:
        once = {
            sent.call for client in self.clients for number, sent in client.sent.items() if number % 3 == 2
        }
        runs = Counter(call for each in (*self.executors, *self.retired) for call in each.ran if call in once)
        twice = [call for call, count in runs.items() if count > 1]
        if twice:
            self.result.findings.append(f"effect: {len(twice)} ran twice")

    def _judge_answers(self) -> None:
        quiet = Counter()
        for client in self.clients:
            front_end = client.front_end
            for sent in list(client.sent.values()):
                if self._lost(sent, front_end):
                    self.result.counts["lost"] += 1
                if sent.answers > 1:
                    self.result.counts["answered twice"] += 1
                self.result.counts[sent.outcome or "no answer"] += 1
                if not front_end.paused and front_end.terminated_s is None:
                    quiet["all"] += 1
                    quiet["served"] += sent.outcome == "served"
        for kind in ("lost", "answered twice"):
            if self.result.counts[kind]:
                self.result.findings.append(f"{kind}: {self.result.counts[kind]}")
        self.result.served_share = quiet["served"] / max(1, quiet["all"])
        if self.result.served_share < SERVED_SHARE:
            self.result.findings.append(f"served: {self.result.served_share:.2f}")

    def _lost(self, sent: Sent, front_end: FrontEnd) -> bool:
        if front_end.terminated_s is not None and sent.sent_s > front_end.terminated_s + ANSWERED_ANYWAY_S:
            return False
        if front_end.paused:  # its answers may be late by the pause, but have to come
            return not sent.answers
        late_s = sent.answered_s - sent.sent_s - DEADLINE_S
        return not sent.answers or late_s > OVERDUE_S + self.lateness.worst_s

    def _judge_processes(self) -> None:
        for front_end in self.front_ends:
            code = front_end.process.poll()
            if front_end.terminated_s is None and code is not None:
                self.result.findings.append(f"crash: front end {front_end.number}, {code}")
            killed = code == -signal.SIGKILL and front_end.killed_s is not None
            if front_end.terminated_s is not None and code != 0 and not killed:
                self.result.findings.append(f"exit: front end {front_end.number}, {code}")


def play(seed: int) -> Result:
    with tempfile.TemporaryDirectory() as path:
        return Soak(seed, Path(path)).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--beside", type=int, default=2, help="seeds played side by side")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    found = 0
    with concurrent.futures.ProcessPoolExecutor(options.beside) as pool:
        for result in pool.map(play, range(options.seed, options.seed + options.seeds)):
            found += bool(result.findings)
            print(json.dumps(vars(result)) if options.json else result.line(), flush=True)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
