"""Stand-ins and process control that the cases 6 to 10 share. Everything listens on 127.0.0.1, on free ports.

Stand-ins: the endpoint registry, a package store, a TCP proxy, clients over HTTP. The program itself is started
with the interpreter and the module of `run` in deploy/balancer.toml.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PYTHON = ROOT / ".venv" / "bin" / "python"
sys.path.insert(0, str(ROOT))

from petrelway.common.endpoint_entry import EndpointEntry  # noqa: E402
from petrelway.wire import registry_codec  # noqa: E402
from petrelway.wire.framing import Frames  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 112  # of a case, without its clean-up


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def until(ready, what: str, seconds: float = 25.0):
    end = time.monotonic() + seconds
    while True:
        found = ready()
        if found:
            return found
        if time.monotonic() > end:
            raise CannotRun(f"not within {seconds:g} s: {what}")
        time.sleep(0.02)


class Record:
    """record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def note(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self.file.flush()


class Case:
    """One play: its temporary folder, the processes that it started, its record."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temp = Path(tempfile.mkdtemp(prefix="petrelway-case-"))
        self.processes: list[subprocess.Popen] = []
        self.closers: list = []

    def note(self, text: str) -> None:
        self.record.note(text.replace(str(self.temp), "TMP").replace(str(ROOT), "."))

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start the program as the deploy file does: `.venv/bin/python -m petrelway ...` from the root."""
        log = open(self.temp / f"{name}.log", "ab")
        process = subprocess.Popen(
            [".venv/bin/python", "-m", "petrelway", *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        log.close()
        self.processes.append(process)
        self.note(f"started {name}: {' '.join(arguments)} (process {len(self.processes)})")
        return process

    def log(self, name: str) -> str:
        return (self.temp / f"{name}.log").read_text(errors="replace")

    def write(self, name: str, tree: dict) -> str:
        path = self.temp / name
        path.write_text(json.dumps(tree, indent=1))
        return str(path)

    def close(self, keep_logs: bool) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
        end = time.monotonic() + 8.0
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, end - time.monotonic()))
            if process.poll() is None:
                process.kill()
                process.wait()
        for close in self.closers:
            with contextlib.suppress(OSError):
                close()
        if keep_logs:
            for log in sorted(self.temp.glob("*.log")):
                for line in log.read_text(errors="replace").splitlines()[-12:]:
                    self.note(f"log of {log.stem}: {line[:400]}")
        shutil.rmtree(self.temp, ignore_errors=True)


def play(folder: Path, body) -> None:
    """Run a case's body, which returns the rule's breaks; exit 1 with any, 0 without, 2 if it can't run."""
    case = Case(folder)
    code = NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _ended)
    signal.alarm(LONGEST_S)
    try:
        breaks = body(case)
        signal.alarm(0)
        for each in breaks:
            case.note(f"BROKEN: {each}")
        code = BROKEN if breaks else HELD
        case.note("the rule was broken" if breaks else "the rule held")
    except CannotRun as problem:
        case.note(f"the case could not run: {problem}")
    except Exception as problem:  # noqa: BLE001
        case.note(f"the case could not run: {problem!r}")
    finally:
        case.close(keep_logs=True)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code], (folder / "record.txt").name)
    sys.exit(code)


def _ended(number: int, frame) -> None:
    for each in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(each, signal.SIG_IGN)
    raise CannotRun(f"ended by {signal.Signals(number).name}")


# -- the endpoint registry


class Registry:
    """Tells the whole list to each follower, then changes with serials one after the other."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.entries: dict[str, EndpointEntry] = {}
        self.serial = 1
        self.lock = threading.Lock()
        self.followers: list[socket.socket] = []
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        case.closers.append(self.server.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        frames = Frames()
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                for _ in frames.feed(data):
                    with self.lock:
                        sock.sendall(registry_codec.listed(self.serial, True, list(self.entries.values())))
                        if sock not in self.followers:
                            self.followers.append(sock)
        with self.lock:
            if sock in self.followers:
                self.followers.remove(sock)
        sock.close()

    def tell(self, name: str, port: int, stage: str = "ready", cell: int = 0, started_ms: float = 0.0) -> None:
        entry = EndpointEntry(name, "127.0.0.1", port, "a", "box", cell, stage, 1.0, started_ms)
        with self.lock:
            self.serial += 1
            if stage == "gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
            for sock in list(self.followers):
                with contextlib.suppress(OSError):
                    sock.sendall(registry_codec.listed(self.serial, False, [entry]))
        self.case.note(f"registry tells: {name} {stage}")


# -- a proxy


class Proxy:
    """Passes bytes both ways. `reset()` ends all open connections with a reset, `mute()` leaves them open and
    passes nothing on them any more. New ones pass again."""

    def __init__(self, case: Case, target_port: int) -> None:
        self.target_port = target_port
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.muted: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        case.closers.append(self.server.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            try:
                out = socket.create_connection(("127.0.0.1", self.target_port), timeout=1.0)
            except OSError:
                reset_socket(sock)
                continue
            out.settimeout(None)
            for each in (sock, out):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.append((sock, out))
            for a, b in ((sock, out), (out, sock)):
                threading.Thread(target=self._pump, args=(a, b), daemon=True).start()

    def _pump(self, a: socket.socket, b: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := a.recv(65536):
                if a not in self.muted:
                    b.sendall(data)
        if a in self.muted:
            return
        with contextlib.suppress(OSError):
            b.shutdown(socket.SHUT_WR)

    def mute(self) -> int:
        with self.lock:
            pairs, self.pairs = self.pairs, []
            self.muted.update(sock for pair in pairs for sock in pair)
        return len(pairs)

    def reset(self) -> int:
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    # the pump's recv holds the file; a shutdown wakes it, the linger makes the close a reset
                reset_socket(sock)
        return len(pairs)


def reset_socket(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):
        os.close(sock.detach())


# -- packages


def package(case: Case, name: str, source: str, version: str = "1", lanes: int = 8, folder: str = "packages") -> Path:
    """Build a package with the project's own command; its entry is `main:entry`."""
    place = case.temp / f"source-{name}-{version}"
    place.mkdir()
    manifest = {"name": name, "version": version, "entry": "main:entry", "memory_mb": 40, "lanes": lanes}
    (place / "manifest.json").write_text(json.dumps(manifest))
    (place / "main.py").write_text(source)
    target = case.temp / folder / f"{name}-{version}.tar"
    target.parent.mkdir(exist_ok=True)
    done = subprocess.run(
        [".venv/bin/python", "-m", "petrelway", "package", "build", str(place), "-o", str(target)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise CannotRun(f"package build: {done.stderr.strip()}")
    return target


def start_store(case: Case, folder: str = "packages") -> int:
    port = free_port()
    case.start("store", "store", "serve", str(case.temp / folder), "--port", str(port))
    until(lambda: accepts(port), "the store listens")
    return port


def accepts(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1.0).close()
    except OSError:
        return False
    return True


# -- worker and front end


def worker_settings(case: Case, name: str, port: int, store_port: int, **sections) -> dict:
    return {
        "worker": {"name": name, "machine": "box"},
        "listen": {"port": port},
        "store": {"port": store_port},
        "memory": {"budget_mb": 2000},
        "images": {"folder": str(case.temp / f"images-{name}")},
        **sections,
    }


def start_worker(case: Case, name: str, port: int, store_port: int, **sections) -> subprocess.Popen:
    path = case.write(f"{name}.json", worker_settings(case, name, port, store_port, **sections))
    process = case.start(name, "worker", "serve", path)
    until(lambda: process.poll() is not None or accepts(port), f"{name} listens")
    if process.poll() is not None:
        raise CannotRun(f"{name} ended: {case.log(name)[-400:]}")
    return process


def front_settings(port: int, registry_port: int, **sections) -> dict:
    return {
        "front_end": {"name": "front-0", "hall": "a"},
        "listen": {"port": port},
        "roster": {"port": registry_port},
        "fleet": {"halls": ["a"], "machines": ["box"]},
        "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 15000},
        "functions": [{"name": "*", "memory_mb": 40, "lanes": 8, "load_ms": 300}],
        "customers": [{"name": "north", "portion": 0.6, "rate": 60}, {"name": "south", "portion": 0.4, "rate": 40}],
        **sections,
    }


def start_front(case: Case, port: int, registry_port: int, name: str = "front-0", **sections) -> subprocess.Popen:
    path = case.write(f"{name}.json", front_settings(port, registry_port, **sections))
    process = case.start(name, "serve", path)
    until(lambda: process.poll() is not None or accepts(port), f"{name} listens")
    if process.poll() is not None:
        raise CannotRun(f"{name} ended: {case.log(name)[-400:]}")
    return process


# -- clients


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool) -> None:
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    @property
    def outcome(self) -> str:
        return self.headers.get("petrelway-outcome", "")

    def __str__(self) -> str:
        return f"{self.status} {self.outcome or '-'} {len(self.body)} bytes{'' if self.whole else ', NOT WHOLE'}"


def event_bytes(port: int, tariff: str, function: str, body: bytes, id: str, **attributes: str) -> bytes:
    """One POST with a CloudEvent in binary mode."""
    attributes = {
        "specversion": "1.0",
        "id": id,
        "source": "/review",
        "type": "trigger",
        "tariff": tariff,
        "customer": "north",
        "function": function,
        **attributes,
    }
    lines = [f"ce-{name}: {value}" for name, value in attributes.items()]
    head = "\r\n".join(
        [
            "POST /triggers HTTP/1.1",
            f"Host: 127.0.0.1:{port}",
            *lines,
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
    )
    return head.encode() + b"\r\n\r\n" + body


def read_answer(sock: socket.socket, limit_s: float, rest: bytearray | None = None) -> Answer | None:
    """Read one response; None if the connection ends or the time is up before its head is complete."""
    data = rest if rest is not None else bytearray()
    end = time.monotonic() + limit_s

    def more() -> bool:
        left = end - time.monotonic()
        if left <= 0.0:
            return False
        sock.settimeout(left)
        try:
            got = sock.recv(65536)
        except OSError:
            return False
        data.extend(got)
        return bool(got)

    while b"\r\n\r\n" not in data:
        if not more():
            return None
    head, _, _ = bytes(data).partition(b"\r\n\r\n")
    del data[: len(head) + 4]
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines}
    length = int(headers.get("content-length", "0"))
    whole = True
    while len(data) < length:
        if not more():
            whole = False
            break
    body = bytes(data[:length])
    del data[:length]
    return Answer(int(first.split()[1]), headers, body, whole)


def ask(port: int, request: bytes, limit_s: float) -> Answer | None:
    """Send one request on its own connection and read its answer."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=2.0) as sock:
            sock.sendall(request)
            return read_answer(sock, limit_s)
    except OSError:
        return None


def served(port: int, tariff: str, function: str, body: bytes) -> bool:
    """Whether the deployment answers a first trigger: warms the function up."""
    answer = ask(port, event_bytes(port, tariff, function, body, f"warm-{time.monotonic_ns()}"), 6.0)
    return answer is not None and answer.status == 200
