"""A store that breaks off one answer: the worker has to notice the next release of a function all the same."""

from __future__ import annotations

import contextlib
import hashlib
import json
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "parts-2"))
from standins import (  # noqa: E402
    CannotRun,
    Case,
    Registry,
    ask,
    event_bytes,
    free_port,
    package,
    play,
    served,
    start_front,
    start_worker,
    trouble,
    until,
)

RELEASE = '''
def entry(body, call):
    return b'"release %s"'
'''
RECHECK_MS = 1000.0
ALLOWED_S = 30.0  # thirty rechecks, and far more than a load takes
OUTER_MS = 4000.0


class Store:
    """The package store over HTTP: names and packages; it can break one answer on a name off in the middle."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.files: dict[str, bytes] = {}
        self.names: dict[str, dict] = {}
        self.break_next = False
        self.broken = 0
        self.asked = 0  # whole answers on names since the break
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        case.closers.append(self.server.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, name: str, file: Path) -> None:
        data = file.read_bytes()
        digest = hashlib.sha256(data).hexdigest()
        self.files[digest] = data
        self.names[name] = {"digest": digest, "size": len(data), "memory_mb": 40, "lanes": 8}

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while True:
                while b"\r\n\r\n" not in data:
                    got = sock.recv(65536)
                    if not got:
                        sock.close()
                        return
                    data += got
                head, _, data = data.partition(b"\r\n\r\n")
                if not self._answer(sock, head.split(b" ")[1].decode()):
                    return

    def _answer(self, sock: socket.socket, path: str) -> bool:
        kind, _, key = path.strip("/").partition("/")
        if kind == "names" and key in self.names:
            body = json.dumps(self.names[key]).encode()
        elif kind == "packages" and key in self.files:
            body = self.files[key]
        else:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if kind == "names" and self.break_next:
            self.break_next = False
            sock.sendall(answer[: len(answer) - len(body) // 2])
            time.sleep(0.05)
            self.case.note(f"store: breaks the answer on the name {key} off in the middle")
            self.broken += 1
            sock.close()
            return False
        sock.sendall(answer)
        self.asked += kind == "names"
        return True


def main() -> None:
    play(HERE, body)


def body(case: Case) -> list[str]:
    store = Store(case)
    store.put("price", package(case, "price", RELEASE % "1", version="1"))
    second = package(case, "price", RELEASE % "2", version="2")
    port, worker = free_port(), free_port()
    start_worker(case, "worker-0", worker, store.port, loads={"recheck_ms": RECHECK_MS})
    registry = Registry(case)
    registry.tell("worker-0", worker)
    tariff = {"name": "price", "effect": "harmless", "quoted_ms": 1000, "outer_ms": OUTER_MS}
    start_front(case, port, registry.port, tariffs=[tariff])
    until(lambda: served(port, "price", "price", b"{}"), "a first trigger is fulfilled")
    before = store.asked
    until(lambda: store.asked >= before + 2, "the worker asks the store again by itself")
    if trouble():
        store.break_next = True
        until(lambda: store.broken, "the worker asks the store again")
    else:
        case.note("store: no answer is broken off")
    time.sleep(1.0)
    store.put("price", second)
    released = time.monotonic()
    store.asked = 0
    case.note("store: the name price points at release 2 from now on; all its answers are whole")

    number, last = 0, ""
    while time.monotonic() - released < ALLOWED_S:
        number += 1
        answer = ask(port, event_bytes(port, "price", "price", b"{}", f"p{number}"), OUTER_MS / 1e3)
        found = json.loads(answer.body) if answer is not None and answer.status == 200 else str(answer or "no answer")
        if found != last:
            case.note(f"client: p{number}, {time.monotonic() - released:.1f} s after the release: {found}")
        last = found
        if found == "release 2":
            return []
        time.sleep(0.5)
    if last != "release 1":
        raise CannotRun(f"the last trigger, p{number}: {last}")
    case.note(f"client: p{number}, {time.monotonic() - released:.1f} s after the release: still {last}")
    case.note(f"store: the worker asked for a name {store.asked} times in the {ALLOWED_S:g} s after the release")
    return [f"{ALLOWED_S:g} s after release 2 the caller still gets the answer of release 1"]


if __name__ == "__main__":
    main()
