"""Case 3: the rest of a request comes a little late after its connection has rested; the request is lost.

One front end, started as `run` of deploy/balancer.toml says, with two executors and the event bus of the project's
stand-ins (petrelway/fakes/platform_peers.py). Eight clients keep one connection each, by way of a proxy that stands for
the network: it holds back what follows the first segment of a request, as when one segment is lost and sent again.
"""

from __future__ import annotations

import base64
import json
import os
import socket
import sys
import threading
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as kit

CLIENTS = 8
REQUESTS = 5  # of each client
REST_S = 2.5  # between an answer and the next request; clients close a connection that was idle for 4 s
BODY_BYTES = 3000  # 16 KiB are allowed; the line has three segments
SEGMENT_BYTES = 1448  # of TCP over Ethernet
SENT_AGAIN_S = 0.3  # what was lost comes this much later; systems send again after 0.2 s at least
# A request that crosses a close within this time goes out again, once, on a new connection: counted from when its client
# has written its last byte, and also from when that reaches the front end.
CROSSING_S = 0.05
TTL_MS = 3000
GRACE_S = 0.55  # an answer up to half a second after its time counts, and 50 ms more on sockets


class Network:
    """Passes connections to the front end; `late` holds back what follows a request's first segment."""

    def __init__(self, address: tuple[str, int], late: bool) -> None:
        self.address = address
        self.late = late
        self.server = kit.LineServer(self._pass)

    def _pass(self, client: socket.socket) -> None:
        with socket.create_connection(self.address) as front:
            front.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._answers, args=(front, client), daemon=True).start()
            line = b""
            while data := client.recv(65536):
                line += data
                if not line.endswith(b"\n"):
                    continue
                if self.late:
                    front.sendall(line[:SEGMENT_BYTES])
                    time.sleep(SENT_AGAIN_S)
                    front.sendall(line[SEGMENT_BYTES:])
                else:
                    front.sendall(line)
                line = b""
            front.shutdown(socket.SHUT_WR)

    @staticmethod
    def _answers(front: socket.socket, client: socket.socket) -> None:
        try:
            while data := front.recv(65536):
                client.sendall(data)
            client.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class Client:
    """A client with one connection at a time and one request open on it."""

    def __init__(self, name: str, record: kit.Record, port: int) -> None:
        self.name = name
        self.record = record
        self.port = port
        self.served = 0
        self.lost: list[str] = []
        self.again = 0
        self.connection: socket.socket | None = None

    def run(self) -> None:
        """Ask, rest, and ask again on the same connection."""
        for number in range(REQUESTS):
            self._ask(number, "safe" if number % 2 else "once", True)
            time.sleep(REST_S)
        if self.connection is not None:
            self.connection.close()

    def _connect(self) -> None:
        self.connection = socket.create_connection(("127.0.0.1", self.port))
        self.answers = self.connection.makefile("rb")
        self.number = 0

    def _ask(self, request: int, name: str, may_go_again: bool) -> None:
        if self.connection is None:
            self._connect()
        self.number += 1
        params = {
            "call": os.urandom(8).hex(),
            "ttl": TTL_MS,
            "org": "acme",
            "row": "7f3a9c21e0b4d655",
            "work": 8.2,
            "extras": "memory_mb:512;lanes:8",
            "bytes": base64.b64encode(os.urandom(BODY_BYTES)).decode(),
        }
        line = json.dumps({"jsonrpc": "2.0", "id": self.number, "method": name, "params": params})
        self.record.note("sent", client=self.name, request=request, id=self.number, cls=name)
        self.connection.settimeout(TTL_MS / 1e3 + GRACE_S)
        fault = ""
        try:
            self.connection.sendall(line.encode() + b"\n")
            written = time.monotonic()
            while answer := self.answers.readline():
                message = json.loads(answer)
                said = "served" if "result" in message else message["error"]
                self.record.note("answered", client=self.name, request=request, id=message["id"], answer=said)
                if message["id"] == self.number:
                    self.served += 1
                    return
                fault = f"{message['error']['message']!r} without a number, "
            after_s = time.monotonic() - written
            fault += f"connection ended {after_s:.3f} s after the request's last byte"
        except TimeoutError:
            after_s, fault = TTL_MS / 1e3, fault + "no answer in its time"
        except OSError as problem:
            after_s = time.monotonic() - written
            fault += f"{type(problem).__name__} {after_s:.3f} s after the request's last byte"
        self.record.note("no answer", client=self.name, request=request, id=self.number, why=fault)
        self.connection.close()
        self.connection = None
        crossed = after_s <= CROSSING_S or abs(after_s - SENT_AGAIN_S) <= CROSSING_S
        if crossed and may_go_again:
            self.again += 1
            self._ask(request, name, False)
        else:
            self.lost.append(f"{name}: {fault}")


def start(rig: kit.Rig, bus: str, executors: tuple) -> tuple[str, int]:
    """Start the front end as the deploy file says and wait until it serves."""
    from petrelway.fakes.platform_peers import configuration

    (port,) = kit.free_ports(1)
    file = rig.folder / "config.json"
    file.write_bytes(configuration(f"127.0.0.1:{port}", bus, executors))
    run = tomllib.loads((kit.ROOT / "deploy" / "balancer.toml").read_text())["run"]
    env = {"RELAY_NAME": "n0", "RELAY_LISTEN": f"127.0.0.1:{port}", "RELAY_CONFIG": str(file)}
    rig.start("n0", ["/bin/sh", "-c", run], env)

    def serves() -> bool:
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as check:
                check.sendall(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
                return b'"serving":true' in check.recv(200)
        except OSError:
            return False

    kit.wait_for("the front end", serves)
    return "127.0.0.1", port


def play(rig: kit.Rig, record: kit.Record, trouble: bool) -> tuple[int, str]:
    """Return the verdict and its text."""
    from petrelway.fakes.platform_peers import Bus, Executor, event

    class SteadyBus(Bus):
        """Tells nothing new, an empty event each second as the page says."""

        def serve(self, wire: socket.socket) -> None:
            number = int.from_bytes(wire.recv(8, socket.MSG_WAITALL), "big")
            while not self.closing:
                wire.sendall(event(number, 0))
                for _ in range(50):
                    if not self.closing:
                        time.sleep(0.02)

    executors = [Executor(work_ms=5.0) for _ in range(2)]
    bus = SteadyBus()
    try:
        address = start(rig, bus.address, tuple((n, e.port) for n, e in enumerate(executors, 1)))
        network = Network(address, trouble)
        clients = [Client(f"client-{n}", record, network.server.port) for n in range(CLIENTS)]
        threads = [threading.Thread(target=client.run, daemon=True) for client in clients]
        for thread in threads:
            thread.start()
            time.sleep(0.11)  # they do not ask in step
        for thread in threads:
            thread.join()
    finally:
        for standin in (bus, *executors):
            standin.close()
    lost = [f"{client.name}, {fault}" for client in clients for fault in client.lost]
    served, again = sum(client.served for client in clients), sum(client.again for client in clients)
    counts = f"{served} served, {again} sent again, {len(lost)} lost of {CLIENTS * REQUESTS}"
    if lost:
        return kit.BROKEN, f"rule 1 broken: {counts}: {lost[:3]}"
    return kit.HELD, f"rule 1 held: {counts}"


def main() -> int:
    """Play the case."""
    return kit.run_case(__file__, play)


if __name__ == "__main__":
    sys.exit(main())
