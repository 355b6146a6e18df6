"""Case 3: the store breaks one answer off while a worker checks for new releases; the worker never checks again.

One front end (`petrelway serve`), one worker (`petrelway worker serve`), and two stores of packages (`petrelway
store serve`), one with release 1 and one with release 2 of the same function, behind a proxy. Stand-ins: the list
of executors, the client, and the proxy. The new release is published by leading the proxy to the other store.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as kit

RECHECK_MS = 5000.0  # the default of `loads.recheck_ms`
BREAKS_FOR_S = 8.0  # the store breaks one answer off within this time: at least one check falls into it
RECOVERED_S = 6.0  # from then to the new release: the store has been well for longer than an interval
CHECKS_ALLOWED = 3  # the old release may be served for this many intervals after the new one is published
ASK_EACH_S = 0.5
ENTRY = "def run(body, call):\n    return b'release %d'\n"


class StoreProxy:
    """Passes bytes to and from a store. While `breaking`, it ends a connection within the body of an answer."""

    def __init__(self, record: kit.Record, store_port: int) -> None:
        self.record = record
        self.store_port = store_port
        self.breaking = False
        self.broken = 0
        self.connections: list[socket.socket] = []
        self.port = kit.LineServer(self._serve).port

    def _serve(self, client: socket.socket) -> None:
        with socket.create_connection(("127.0.0.1", self.store_port)) as store:
            self.connections.append(client)
            threading.Thread(target=_copy, args=(client, store), daemon=True).start()
            while data := store.recv(65536):
                head_end = data.find(b"\r\n\r\n")
                if self.breaking and head_end >= 0:
                    self.breaking = False  # this one only
                    client.sendall(data[: head_end + 14])  # the head and ten bytes of the body
                    client.shutdown(socket.SHUT_RDWR)
                    self.broken += 1
                    self.record.note("store breaks an answer off")
                    return
                client.sendall(data)

    def lead_to(self, store_port: int) -> None:
        """Serve from another store from now on; the connections that rest are closed."""
        self.store_port = store_port
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def _copy(source: socket.socket, target: socket.socket) -> None:
    try:
        while data := source.recv(65536):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def write_package(rig: kit.Rig, release: int) -> str:
    """Write one release of the function; return the folder of its store."""
    from petrelway.worker.package import build

    source = rig.folder / f"status-{release}"
    source.mkdir()
    (source / "model.py").write_text(ENTRY % release)
    manifest = {"name": "status", "version": str(release), "entry": "model:run", "memory_mb": 60, "lanes": 4}
    (source / "manifest.json").write_text(json.dumps(manifest))
    folder = rig.folder / f"packages-{release}"
    folder.mkdir()
    build(source, folder / "status.tar")
    return str(folder)


def worker_settings(rig: kit.Rig, port: int, store_port: int) -> dict:
    """Return the settings of the worker; the intervals are the defaults."""
    return {
        "worker": {"name": "worker-0", "machine": "quad"},
        "listen": {"port": port},
        "store": {"port": store_port},
        "memory": {"budget_mb": 600},
        "loads": {"recheck_ms": RECHECK_MS},
        "images": {"folder": str(rig.folder / "images")},
    }


def front_settings(port: int, list_port: int) -> dict:
    """Return the settings of the front end, with a harmless tariff as that of the stations."""
    return {
        "front_end": {"name": "front-0", "hall": "a", "number": 0, "peers": 1},
        "listen": {"port": port},
        "roster": {"port": list_port},
        "fleet": {"halls": ["a"], "machines": ["quad"]},
        "tariffs": [{"name": "reading-check", "effect": "harmless", "quoted_ms": 1000, "outer_ms": 3000}],
        "functions": [{"name": "status", "memory_mb": 60, "lanes": 4, "load_ms": 500}],
        "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 15000},
    }


def play(rig: kit.Rig, record: kit.Record, trouble: bool) -> tuple[int, str]:
    """Return the verdict and its text."""
    executors = kit.ExecutorList(record)
    worker_port, front_port, *store_ports = kit.free_ports(4)
    for release, port in enumerate(store_ports, 1):
        rig.petrelway(f"store-{release}", "store", "serve", write_package(rig, release), "--port", str(port))
    kit.wait_for("the stores", lambda: all(map(kit.accepts, store_ports)))
    proxy = StoreProxy(record, store_ports[0])
    worker = rig.write("worker-0.json", worker_settings(rig, worker_port, proxy.port))
    rig.petrelway("worker-0", "worker", "serve", str(worker))
    kit.wait_for("the worker", lambda: kit.accepts(worker_port))
    executors.add("worker-0", worker_port, "a", "quad")
    front = rig.write("front-0.json", front_settings(front_port, executors.port))
    rig.petrelway("front-0", "serve", str(front))
    kit.wait_for("the front end", lambda: kit.accepts(front_port))
    asked = 0

    def ask() -> str:
        nonlocal asked
        asked += 1
        event = {
            "id": f"reading-{asked}",
            "source": "/station/4",
            "type": "reading",
            "tariff": "reading-check",
            "function": "status",
        }
        outcome, body = kit.post_event(record, front_port, "front-0", event, b"{}", 4.0)
        return body.decode() if outcome == "fulfilled" else outcome

    def ask_for(seconds: float, until: str = "") -> str:
        """Ask twice a second, as a station that is in use; return the last answer."""
        end = time.monotonic() + seconds
        answer = ""
        while time.monotonic() < end and (not until or answer != until):
            answer = ask()
            time.sleep(ASK_EACH_S)
        return answer

    kit.wait_for("a first answer", lambda: ask() == "release 1", 20.0, 0.2)
    proxy.breaking = trouble
    ask_for(BREAKS_FOR_S)
    proxy.breaking = False
    if trouble and not proxy.broken:
        raise kit.CouldNotRunError("no check of the worker fell into the time when the store broke off")
    if ask_for(RECOVERED_S) != "release 1":
        raise kit.CouldNotRunError("release 1 is not served after the store has recovered")
    proxy.lead_to(store_ports[1])
    record.note("release 2 published")
    allowed_s = CHECKS_ALLOWED * RECHECK_MS / 1e3
    published = time.monotonic()
    last = ask_for(allowed_s, "release 2")
    if last == "release 2":
        return kit.HELD, f"release 2 was served {time.monotonic() - published:.1f} s after it was published"
    last = ask_for(allowed_s, "release 2")
    after_s = time.monotonic() - published
    return kit.BROKEN, f"{last!r} was still served {after_s:.1f} s after release 2 was published"


def main() -> int:
    """Play the case."""
    return kit.run_case(__file__, play)


if __name__ == "__main__":
    sys.exit(main())
