"""A whole deployment of `serve` on loopback: store, registry, workers, front ends, and clients over HTTP."""

import contextlib
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

from petrelway.common.endpoint_entry import EndpointEntry
from petrelway.wire import registry_codec
from petrelway.wire.framing import Frames
from petrelway.worker.package import build

ROOT = Path(__file__).parent.parent
WAIT_S = 30.0  # for what must come; no test says how fast
FUNCTION = "statement"
REQUEST_CLASS = "stamped"
DEADLINE_MS = 8000.0
WINDOW_MS = 20_000.0
PORTS = (10_000, 20_000)  # below the system's own, and below those of rehearsals
SMALL_WINDOW_BYTES = 1 << 15
PACKAGE_BYTES = 6 << 20  # more than the system holds for a connection whose other side reads slowly
# The answer says what this very body asked for, and counts how often the function ran in its process.
ENTRY = """
import json, time

runs = 0

def entry(body, call):
    global runs
    runs += 1
    asked = json.loads(body)
    time.sleep(asked.get("work_s", 0.0))
    filling = "x" * asked.get("answer_bytes", 0)
    return json.dumps({"account": asked["account"], "runs": runs, "filling": filling}).encode()
"""


class Reply(NamedTuple):
    """What a client received: status, headers by lower-case name, body."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def account(self):
        return json.loads(self.body)["account"]


def until(ready, what):
    end = time.monotonic() + WAIT_S
    while not (found := ready()):
        assert time.monotonic() < end, what
        time.sleep(0.02)
    return found


def narrow_connection(port):
    """Connect with a small receive window, so that most of an answer waits at its sender."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    sock.settimeout(WAIT_S)
    sock.connect(("127.0.0.1", port))
    return sock


def read_slowly(sock, bytes_per_s):
    """Read until the other side closes, at most so fast; the bytes."""
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := sock.recv(1 << 14):
            data += part
            time.sleep(len(part) / bytes_per_s)
    return bytes(data)


def body_of(response):
    """The body of an HTTP response that is all that was read, and the length that its head told."""
    head, _, body = response.partition(b"\r\n\r\n")
    told = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return body, int(told[0].partition(b":")[2])


def free_port():
    """Return a port that a process can listen at later: outside the range from which the system draws."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def accepts(port):
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), timeout=1.0):
        return True
    return False


class Registry:
    """Sends each follower the whole list, then changes with serials one after the other."""

    def __init__(self):
        self.entries, self.followers = {}, []
        self.serial = 1
        self.lock = threading.Lock()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        self.connections, self.threads = [], []
        self._in_thread(self._accept)

    def _in_thread(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.connections.append(sock)
                self._in_thread(self._follow, sock)

    def _follow(self, sock):
        frames = Frames()
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                for _ in frames.feed(data):
                    with self.lock:
                        sock.sendall(registry_codec.listed(self.serial, True, list(self.entries.values())))
                        self.followers.append(sock)

    def tell(self, name, port, stage="ready"):
        entry = EndpointEntry(name, "127.0.0.1", port, "a", "box", 0, stage, 1.0, 0.0)
        with self.lock:
            self.serial += 1
            self.entries[name] = entry
            for sock in self.followers:
                with contextlib.suppress(OSError):
                    sock.sendall(registry_codec.listed(self.serial, False, [entry]))

    def close(self):
        """End all threads: a close alone would not wake what waits for a socket."""
        for sock in (self.server, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in list(self.threads):
            thread.join(WAIT_S)
        for sock in (self.server, *self.connections):
            sock.close()


class Deployment:
    """One store, one registry, and the workers and front ends that a test starts."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self.fronts = {}  # port by name
        self.worker_ports = {}
        self.registry = Registry()
        self.store_port = free_port()
        self._build_package()
        self._start("store", "store", "serve", str(folder / "packages"), "--port", str(self.store_port))
        until(lambda: accepts(self.store_port), "the store listens")

    def _build_package(self):
        source = self.folder / "source"
        source.mkdir()
        manifest = {"name": FUNCTION, "version": "1", "entry": "main:entry", "memory_mb": 40, "lanes": 8}
        (source / "manifest.json").write_text(json.dumps(manifest))
        (source / "main.py").write_text(ENTRY)
        (source / "filling").write_bytes(os.urandom(PACKAGE_BYTES))
        (self.folder / "packages").mkdir()
        self.package = self.folder / "packages" / f"{FUNCTION}.tar"
        build(source, self.package)

    def _start(self, name, *words):
        with open(self.folder / f"{name}.err", "ab") as err:
            process = subprocess.Popen(
                [sys.executable, "-m", "petrelway", *words], cwd=ROOT, stdout=err, stderr=err
            )
        self.processes.append(process)
        return process

    def start_worker(self, name="worker-0"):
        port = self.worker_ports[name] = free_port()
        file = self.folder / f"{name}.json"
        settings = {
            "worker": {"name": name, "machine": "box"},
            "listen": {"port": port},
            "store": {"port": self.store_port},
            "memory": {"budget_mb": 2000},
            "images": {"folder": str(self.folder / f"images-{name}")},
            "stamped": [{"tariff": REQUEST_CLASS, "window_ms": WINDOW_MS}],
            "log": {"file": str(self.folder / f"{name}.log")},
        }
        file.write_text(json.dumps(settings))
        process = self._start(name, "worker", "serve", str(file))
        until(lambda: accepts(port), f"{name} listens")
        self.registry.tell(name, port)
        return process

    def start_front_end(self, name="front-0", deadline_ms=DEADLINE_MS):
        port = self.fronts[name] = free_port()
        file = self.folder / f"{name}.json"
        request_class = {
            "name": REQUEST_CLASS,
            "effect": "stamped",
            "scope": "all",
            "window_ms": WINDOW_MS,
            "quoted_ms": deadline_ms,
            "outer_ms": deadline_ms,
        }
        settings = {
            "front_end": {"name": name, "hall": "a"},
            "listen": {"port": port},
            "roster": {"port": self.registry.port},
            "fleet": {"halls": ["a"], "machines": ["box"]},
            "tariffs": [request_class],
            "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 1500},
            "functions": [{"name": "*", "memory_mb": 40, "lanes": 8, "load_ms": 300}],
            "customers": [
                {"name": "north", "portion": 0.6, "rate": 600},
                {"name": "south", "portion": 0.4, "rate": 400},
            ],
            "log": {"file": str(self.folder / f"{name}.log")},
        }
        file.write_text(json.dumps(settings))
        process = self._start(name, "serve", str(file))
        until(lambda: accepts(port), f"{name} listens")
        until(lambda: self.post({"account": "warm"}, id=f"warm-{time.monotonic_ns()}").status == 200, "warm")
        return process

    def post(self, asked, id, source="/s", customer="north", front="front-0", **attributes):
        """Send one trigger on a connection of its own; header values are sent as they are."""
        headers = {
            "ce-specversion": "1.0",
            "ce-id": id,
            "ce-source": source,
            "ce-type": "trigger",
            "ce-tariff": REQUEST_CLASS,
            "ce-customer": customer,
            "ce-function": FUNCTION,
            "content-type": "application/json",
            **{f"ce-{name}": value for name, value in attributes.items()},
        }
        connection = http.client.HTTPConnection("127.0.0.1", self.fronts[front], timeout=WAIT_S)
        with contextlib.closing(connection):
            connection.request("POST", "/triggers", json.dumps(asked).encode(), headers)
            response = connection.getresponse()
            found = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, found, response.read())

    def slow_client(self, asked, id, front="front-0"):
        """Send one trigger through a socket with a small receive window; the caller reads its answer."""
        sock = narrow_connection(self.fronts[front])
        body = json.dumps(asked).encode()
        head = (
            "POST /triggers HTTP/1.1\r\nHost: x\r\nce-specversion: 1.0\r\nce-source: /s\r\nce-type: x\r\n"
            f"ce-id: {id}\r\nce-tariff: {REQUEST_CLASS}\r\nce-customer: north\r\nce-function: {FUNCTION}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        return sock

    def at_once(self, *calls, apart_s=0.3):
        """Call `post` with each of these arguments in threads, so long after each other; the replies."""
        replies = [None] * len(calls)

        def one(place, words):
            replies[place] = self.post(**words)

        threads = [threading.Thread(target=one, args=(place, words)) for place, words in enumerate(calls)]
        for thread in threads:
            thread.start()
            time.sleep(apart_s)
        for thread in threads:
            thread.join()
        return replies

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.registry.close()
