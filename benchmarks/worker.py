"""The worker runtime: calls a second, load time, reported memory, eviction. Not for CI.

Calls: a no-op package through the worker protocol against a bare process pool that does the same. Loads:
time against the plain sum of fetch and start. Memory: reported against the system's PSS of the tree, at
rest, under load and after eviction. Eviction: 200 packages with memory for 20, zipf, hit rate against LRU
and the offline optimum on the same trace, and the time of one decision against the number of replicas.
"""

from __future__ import annotations

import argparse
import bisect
import concurrent.futures
import itertools
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import OrderedDict
from pathlib import Path

import psutil

from petrelway.wire import codec
from petrelway.wire.framing import Frames
from petrelway.worker.eviction import EvictionRanking
from petrelway.worker.package import build


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class FrontEnd:
    """A front end's side of one connection."""

    def __init__(self, port: int) -> None:
        end = time.monotonic() + 20
        while True:
            try:
                self.sock = socket.create_connection(("127.0.0.1", port), timeout=60)
                break
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.02)
        self.frames, self.done, self.load = Frames(), 0, None
        self.outcomes: list[int] = []
        self.sock.sendall(codec.greeting("bench", "p"))
        self.serial = 0

    def send(self, function: str, body: bytes = b"", memory: float = 30.0, lanes: int = 4) -> None:
        self.serial += 1
        self.sock.sendall(
            codec.send(
                self.serial, 0, str(self.serial), function, memory, lanes, "t", "c", 60000.0, 0.0, "", body
            )
        )

    def read(self) -> None:
        for payload in self.frames.feed(self.sock.recv(1 << 18)):
            codec.from_executor(payload, self)

    def wait(self, count: int) -> None:
        while self.done < count:
            self.read()

    def report(self) -> codec.LoadReport:
        self.load = None
        self.sock.sendall(codec.probe(1))
        while self.load is None:
            self.read()
        return self.load

    def welcomed(self, *_) -> None: ...

    def ended(self, serial, number, outcome, *_) -> None:
        self.done += 1
        self.outcomes.append(outcome)

    def load_request_ended(self, *_) -> None: ...

    def probed(self, id, load) -> None:
        self.load = load


class Fleet:
    """A store and a worker, as processes."""

    def __init__(self, folder: Path, budget_mb: float, fetch_ms: float) -> None:
        store, port = free_port(), free_port()
        settings = {
            "worker": {"name": "w"},
            "listen": {"port": port},
            "store": {"port": store},
            "memory": {"budget_mb": budget_mb, "measure_ms": 200},
            "loads": {"recheck_ms": 0},
            "copies": {"keep_ms": 600000, "more": False},
            "images": {"folder": str(folder / "images")},
            "calls": {"slots": 256, "queue": 100000},
            "log": {"file": str(folder / "log")},
        }
        (folder / "worker.json").write_text(json.dumps(settings))
        run = [sys.executable, "-m", "petrelway"]
        self.processes = [
            subprocess.Popen(
                [
                    *run,
                    "store",
                    "serve",
                    str(folder / "packages"),
                    "--port",
                    str(store),
                    "--fetch-ms",
                    str(fetch_ms),
                ],
                stdout=subprocess.DEVNULL,
            ),
            subprocess.Popen([*run, "worker", "serve", str(folder / "worker.json")]),
        ]
        time.sleep(1.0)
        self.front = FrontEnd(port)
        self.worker = self.processes[1]

    def close(self) -> None:
        self.front.sock.close()
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(30)


def package(folder: Path, name: str, text: str, memory: float = 30.0, lanes: int = 4) -> None:
    source = folder / "source"
    source.mkdir(exist_ok=True)
    (source / "model.py").write_text(text)
    (source / "manifest.json").write_text(
        json.dumps({"name": name, "version": "1", "entry": "model:run", "memory_mb": memory, "lanes": lanes})
    )
    build(source, folder / "packages" / f"{name}.tar")


NOOP = "def run(body, call):\n    return b'ok'\n"


def noop(body: bytes) -> bytes:
    return b"ok"


def calls(count: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for i in range(4):
            package(folder, f"noop-{i}", NOOP)
        fleet = Fleet(folder, 2000.0, 0.0)
        try:
            for i in range(4):
                fleet.front.send(f"noop-{i}")
            fleet.front.wait(4)
            began = time.perf_counter()
            for at in range(0, count, 64):  # 64 out at a time
                for i in range(64):
                    fleet.front.send(f"noop-{i % 4}")
                fleet.front.wait(4 + at + 64)
            own = count / (time.perf_counter() - began)
        finally:
            fleet.close()
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        list(pool.map(noop, [b""] * 64))
        began = time.perf_counter()
        for _ in range(0, count, 64):
            list(pool.map(noop, [b""] * 64))
        bare = count / (time.perf_counter() - began)
    print(
        f"calls: {own:.0f}/s through the worker (4 replicas, 64 out), "
        f"{bare:.0f}/s through a bare process pool of 4; "
        f"ratio {own / bare:.2f}"
    )


def loads() -> None:
    fetch_ms, start_ms = 300.0, 200.0
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for i in range(8):
            package(folder, f"slow-{i}", f"import time\ntime.sleep({start_ms / 1e3})\n" + NOOP)
        fleet = Fleet(folder, 2000.0, fetch_ms)
        try:
            took = []
            for i in range(8):
                began = time.perf_counter()
                fleet.front.send(f"slow-{i}")
                fleet.front.wait(i + 1)
                took.append((time.perf_counter() - began) * 1e3)
        finally:
            fleet.close()
    took.sort()
    print(
        f"loads: median {took[4]:.0f} ms against {fetch_ms + start_ms:.0f} ms of fetch and start; "
        f"{took[4] - fetch_ms - start_ms:.0f} ms more (process, import, checks)"
    )


def tree_mb(pid: int) -> float:
    """What the system says of the tree: PSS summed, read here, not by the worker."""
    total = 0.0
    for process in [psutil.Process(pid), *psutil.Process(pid).children(recursive=True)]:
        text = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
        total += sum(int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:")) / 1024
    return total


def memory() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for i in range(6):
            package(
                folder,
                f"fat-{i}",
                "held = bytearray(60 << 20)\nfor i in range(0, len(held), 4096):\n"
                "    held[i] = 1\nimport time\ndef run(body, call):\n    extra = bytearray(10 << 20)\n"
                "    for i in range(0, len(extra), 4096):\n        extra[i] = 1\n"
                "    time.sleep(3)\n    return b'ok'\n",
                90.0,
                1,
            )
        fleet = Fleet(folder, 2000.0, 0.0)
        worst = 0.0
        try:
            for what in ("at rest", "under load", "loaded, idle", "after eviction"):
                if what == "under load":
                    for i in range(6):
                        fleet.front.send(f"fat-{i}", memory=90.0, lanes=1)
                    time.sleep(2.0)
                elif what == "loaded, idle":
                    fleet.front.wait(6)
                elif what == "after eviction":
                    for i in range(6):
                        fleet.front.sock.sendall(codec.unload(f"fat-{i}"))
                time.sleep(1.0)
                reported, seen = fleet.front.report().used_mb, tree_mb(fleet.worker.pid)
                worst = max(worst, abs(reported - seen) / seen)
                print(
                    f"memory {what}: reported {reported:.1f} MB, the system sees {seen:.1f} MB "
                    f"({(reported - seen) / seen:+.1%})"
                )
        finally:
            fleet.close()
    print(f"memory: worst difference {worst:.1%} (aim 5%)")


def trace(count: int, packages: int, zipf: float, seed: int) -> list[int]:
    random_source = random.Random(seed)
    popular = list(itertools.accumulate(1.0 / (i + 1) ** zipf for i in range(packages)))
    return [bisect.bisect_left(popular, random_source.random() * popular[-1]) for _ in range(count)]


def hits_lru(requested: list[int], capacity: int) -> int:
    cached: OrderedDict[int, None] = OrderedDict()
    hits = 0
    for package_id in requested:
        if package_id in cached:
            hits += 1
            cached.move_to_end(package_id)
            continue
        if len(cached) >= capacity:
            cached.popitem(last=False)
        cached[package_id] = None
    return hits


def hits_optimum(requested: list[int], capacity: int) -> int:
    """Belady: what is requested latest is evicted; the best there is for packages of one size."""
    following, last = [0] * len(requested), {}
    for i in range(len(requested) - 1, -1, -1):
        following[i] = last.get(requested[i], len(requested) + 1)
        last[requested[i]] = i
    cached: dict[int, int] = {}
    hits = 0
    for i, package_id in enumerate(requested):
        if package_id in cached:
            hits += 1
        elif len(cached) >= capacity:
            latest = max(cached, key=cached.__getitem__)
            if cached[latest] > following[i]:
                del cached[latest]
            else:
                continue  # not worth keeping at all
        cached[package_id] = following[i]
    return hits


def hits_ranking(requested: list[int], capacity: int) -> int:
    ranking, cached, hits = EvictionRanking(), {}, 0
    for i, package_id in enumerate(requested):
        now = i * 20.0
        ranking.record_use(str(package_id), now)
        if package_id in cached:
            hits += 1
        elif len(cached) >= capacity:
            gone = next(iter(ranking.lowest_first()))
            ranking.record_eviction(gone)
            del cached[gone]
        cached[package_id] = None
        ranking.add_idle(package_id, str(package_id), 300.0, 700.0, now)
    return hits


def eviction() -> None:
    for zipf in (0.8, 1.0, 1.2):
        rows = {"LRU": 0.0, "ranking": 0.0, "optimum": 0.0}
        for seed in range(5):
            requested = trace(20_000, 200, zipf, seed)
            for name, of in (("LRU", hits_lru), ("ranking", hits_ranking), ("optimum", hits_optimum)):
                rows[name] += of(requested, 20) / len(requested) / 5
        print(
            f"eviction, 200 packages, memory for 20, zipf {zipf}: hit rate "
            + ", ".join(f"{name} {rate:.3f}" for name, rate in rows.items())
        )
    for replicas in (100, 1_000, 10_000):
        ranking = EvictionRanking()
        for i in range(replicas):
            ranking.record_use(str(i), 0.0)
            ranking.add_idle(i, str(i), 100.0 + i % 7, 500.0, 0.0)
        began = time.perf_counter()
        for i in range(2_000):
            gone = next(iter(ranking.lowest_first()))
            ranking.record_eviction(gone)
            ranking.add_idle(gone, str(gone), 100.0, 500.0, float(i))
        print(
            f"eviction decision at {replicas} replicas: {(time.perf_counter() - began) / 2_000 * 1e6:.1f} us"
        )


PARTS = {"calls": lambda: calls(6400), "loads": loads, "memory": memory, "eviction": eviction}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(PARTS))
    for part in parser.parse_args().parts:
        PARTS[part]()


if __name__ == "__main__":
    main()
