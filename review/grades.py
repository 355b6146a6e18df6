"""Parts of the cases with stamped triggers: a package whose entry books an effect, the ledger, the programs.

The ledger is an outside system. It numbers the bookings of one id.
"""

from __future__ import annotations

import json
import re
import threading
import time

import rig as kit

# main-campus' stamped tariff: wanted within 2 s, given up after 6 s, the workers of a hall drop repeats for 4 s
TARIFF = "graded-answer"
WINDOW_MS = 4000
OUTER_MS = 6000
LANES = 8
ENTRY = """import json
import socket
import time


def run(body, call):
    told = json.loads(body)
    with socket.create_connection(("127.0.0.1", told["ledger"]), 5) as ledger:
        ledger.sendall((told["id"] + " " + __file__ + "\\n").encode())
        booked = ledger.makefile().readline().strip()  # the effect is applied once this is answered
    until = time.monotonic() + told["report_s"]
    while time.monotonic() < until:  # the work that follows: the report on what was booked
        time.sleep(0.01)
    return json.dumps({"id": told["id"], "booked": booked}).encode()
"""


class Ledger:
    """Books each effect: id -> when and at which worker."""

    def __init__(self, record: kit.Record) -> None:
        self.record = record
        self.booked: dict[str, list[tuple[float, str]]] = {}
        self.lock = threading.Lock()
        self.port = kit.LineServer(self._book).port

    def _book(self, connection) -> None:
        with connection.makefile("rw") as lines:
            id, _, file = lines.readline().strip().partition(" ")
            worker = re.search(r"images-(worker-\d+)", file)[1]
            with self.lock:
                bookings = self.booked.setdefault(id, [])
                bookings.append((time.monotonic(), worker))
                count = len(bookings)
            self.record.note("effect booked", id=id, worker=worker, count=count)
            lines.write(f"{count}\n")
            lines.flush()

    def repeated(self, ids: list[str]) -> dict[str, list[str]]:
        """Return the ids with more than one booking within the window, and after how long and where."""
        found = {}
        for id in ids:
            first_at = self.booked[id][0][0]
            within = [each for each in self.booked[id] if each[0] - first_at <= WINDOW_MS / 1e3]
            if len(within) > 1:
                found[id] = [f"{at - first_at:.3f} s at {worker}" for at, worker in within]
        return found


class Site:
    """The store of packages, some workers in one hall, and some front ends, each a process of its own."""

    def __init__(self, rig: kit.Rig, record: kit.Record, workers: int, fronts: int) -> None:
        self.rig = rig
        self.record = record
        self.ledger = Ledger(record)
        executors = kit.ExecutorList(record)
        store_port, *ports = kit.free_ports(1 + workers + fronts)
        worker_ports, self.front_ports = ports[:workers], ports[workers:]
        self._write_package()
        rig.petrelway("store", "store", "serve", str(rig.folder / "packages"), "--port", str(store_port))
        self.workers = {}
        for number, port in enumerate(worker_ports):
            name = f"worker-{number}"
            file = rig.write(f"{name}.json", self._worker_settings(name, port, store_port))
            self.workers[name] = rig.petrelway(name, "worker", "serve", str(file))
            executors.add(name, port, "a", "quad")
        kit.wait_for("store and workers", lambda: all(map(kit.accepts, [store_port, *worker_ports])))
        self.fronts = []
        for number, port in enumerate(self.front_ports):
            rig.write(f"front-{number}.json", self._front_settings(number, fronts, port, executors.port))
            self.fronts.append(self.start_front(number))
        kit.wait_for("the front ends", lambda: all(map(kit.accepts, self.front_ports)))

    def start_front(self, number: int):
        return self.rig.petrelway(f"front-{number}", "serve", str(self.rig.folder / f"front-{number}.json"))

    def _write_package(self) -> None:
        from petrelway.worker.package import build

        source = self.rig.folder / "grade"
        source.mkdir()
        (source / "model.py").write_text(ENTRY)
        manifest = {"name": "grade", "version": "1", "entry": "model:run", "memory_mb": 60, "lanes": LANES}
        (source / "manifest.json").write_text(json.dumps(manifest))
        (self.rig.folder / "packages").mkdir()
        build(source, self.rig.folder / "packages" / "grade.tar")

    def _worker_settings(self, name: str, port: int, store_port: int) -> dict:
        return {
            "worker": {"name": name, "machine": "quad"},
            "listen": {"port": port},
            "store": {"port": store_port},
            "memory": {"budget_mb": 600},
            "images": {"folder": str(self.rig.folder / f"images-{name}")},
            "stamped": [{"tariff": TARIFF, "window_ms": WINDOW_MS}],
        }

    def _front_settings(self, number: int, fronts: int, port: int, list_port: int) -> dict:
        tariff = {
            "name": TARIFF,
            "effect": "stamped",
            "scope": "hall",
            "window_ms": WINDOW_MS,
            "quoted_ms": 2000,
            "outer_ms": OUTER_MS,
        }
        return {
            "front_end": {"name": f"front-{number}", "hall": "a", "number": number, "peers": fronts},
            "listen": {"port": port},
            "roster": {"port": list_port},
            "fleet": {"halls": ["a"], "machines": ["quad"]},
            "tariffs": [tariff],
            "functions": [{"name": "grade", "memory_mb": 60, "lanes": LANES, "load_ms": 500}],
            "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 15000},
        }

    def ask(self, front: int, id: str, repeat: bool, report_s: float) -> str:
        """Send one trigger, or its repeat, and return the outcome; a client waits the outer limit."""
        event = {
            "id": id,
            "source": "/school/7",
            "type": "grade",
            "tariff": TARIFF,
            "function": "grade",
            "repeat": "true" if repeat else "false",
        }
        body = json.dumps({"id": id, "ledger": self.ledger.port, "report_s": report_s}).encode()
        port = self.front_ports[front]
        return kit.post_event(self.record, port, f"front-{front}", event, body, OUTER_MS / 1e3 + 1.0)[0]

    def warm(self, front: int, report_s: float = 0.0) -> bool:
        """Ask once, under an id of its own; return whether that was fulfilled."""
        return self.ask(front, f"first-{front}-{time.monotonic():.4f}", False, report_s) == "fulfilled"

    def wait_for_effects(self, ids: list[str]) -> None:
        kit.wait_for("all effects", lambda: all(id in self.ledger.booked for id in ids), 5.0, 0.01)
