"""Shared parts of the review's cases: processes, free ports, a record, an executor list, an HTTP client.

Everything listens on 127.0.0.1. Only processes that a case started are signalled, by their id.
"""

from __future__ import annotations

import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = str(ROOT / ".venv" / "bin" / "python")
sys.path.insert(0, str(ROOT))

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


PR_SET_PDEATHSIG = 1
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_libc = ctypes.CDLL(None)


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def _end_with_the_script() -> None:
    """Have a started process killed by the system if the script itself is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _ended_by_signal(number: int, _frame) -> None:
    raise CouldNotRunError(f"ended by {signal.Signals(number).name}")


def free_ports(count: int, kinds: tuple[int, ...] = (socket.SOCK_STREAM,)) -> list[int]:
    """Return ports of 127.0.0.1, below the range for outgoing connections, that are free now."""
    found = []
    number = random.SystemRandom().randrange(12000, 30000)
    while len(found) < count:
        number = 12000 if number >= 30000 else number + 1
        try:
            for kind in kinds:
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", number))
        except OSError:
            continue
        found.append(number)
    return found


class Record:
    """What was sent, answered and run: one JSON line an event, with seconds since the start."""

    def __init__(self, file: Path) -> None:
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(file, "w", encoding="utf-8")

    def note(self, what: str, **fields) -> None:
        with self.lock:
            at = round(time.monotonic() - self.began, 3)
            self.file.write(json.dumps({"s": at, "what": what, **fields}) + "\n")
            self.file.flush()


class Rig:
    """A temporary folder and the processes that run in it; all are ended when it is left."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="petrelway-review-"))
        self.processes: list[subprocess.Popen] = []
        self.watchdog = threading.Timer(LIMIT_S, self._expired)
        self.watchdog.daemon = True

    def __enter__(self) -> Rig:
        self.watchdog.start()
        for number in ENDING_SIGNALS:
            signal.signal(number, _ended_by_signal)
        return self

    def __exit__(self, *_) -> None:
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)  # nothing breaks off what follows
        self.watchdog.cancel()
        self._end_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _expired(self) -> None:
        self.record.note("time limit of the script reached")
        self._end_all()
        shutil.rmtree(self.folder, ignore_errors=True)
        os._exit(COULD_NOT_RUN)

    def _end_all(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + 4.0
        for process in self.processes:
            try:
                process.wait(max(0.05, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def write(self, name: str, tree: dict) -> Path:
        file = self.folder / name
        file.write_text(json.dumps(tree, indent=1))
        return file

    def start(self, name: str, command: list[str], env: dict[str, str] | None = None) -> subprocess.Popen:
        """Start a program from the repository's root; its output goes to a file of the temporary folder."""
        with open(self.folder / f"{name}.out", "ab") as out:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(env or {})},
                preexec_fn=_end_with_the_script,
            )
        self.processes.append(process)
        self.record.note("started", name=name, command=" ".join(map(_short, command)))
        return process

    def petrelway(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start one of the project's programs."""
        return self.start(name, [PYTHON, "-m", "petrelway", *arguments])

    def signal(self, name: str, process: subprocess.Popen, number: signal.Signals) -> None:
        self.record.note("signal", name=name, signal=number.name)
        process.send_signal(number)


def _short(argument: str) -> str:
    return Path(argument).name if argument.startswith("/") else argument


def wait_for(what: str, check, limit_s: float = 20.0, step_s: float = 0.05):
    """Wait until `check()` gives something true, and return that."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if found := check():
            return found
        time.sleep(step_s)
    raise CouldNotRunError(f"waited {limit_s:g} s for {what}")


def accepts(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), 0.5):
            return True
    except OSError:
        return False


class LineServer:
    """A threaded TCP server on a free port; `serve(connection)` runs in a thread of its own for each."""

    def __init__(self, serve, port: int = 0) -> None:
        self.serve = serve
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        try:
            with connection:
                self.serve(connection)
        except OSError:
            pass


class ExecutorList:
    """The list of executors (docs/wire.md): a complete list to whoever asks, then changes in order."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.serial = 1
        self.entries: dict[str, object] = {}
        self.followers: list[socket.socket] = []
        self.lock = threading.Lock()
        self.server = LineServer(self._follow)
        self.port = self.server.port

    def add(
        self, name: str, port: int, hall: str, machine: str, cell: int = 0, started_ms: float = 0.0
    ) -> None:
        from petrelway.common.endpoint_entry import EndpointEntry

        self.entries[name] = EndpointEntry(
            name, "127.0.0.1", port, hall, machine, cell, "ready", 1.0, started_ms
        )

    def _follow(self, connection: socket.socket) -> None:
        from petrelway.wire import registry_codec
        from petrelway.wire.framing import Frames

        frames = Frames()
        while data := connection.recv(65536):
            for payload in frames.feed(data):
                name, _ = registry_codec.from_follower(payload)
                with self.lock:
                    connection.sendall(registry_codec.listed(self.serial, True, self.entries.values()))
                    self.followers.append(connection)
                self.record.note("listed", to=name, executors=sorted(self.entries))


def post_event(
    record: Record, port: int, front: str, event: dict[str, str], body: bytes, timeout_s: float
) -> tuple[str, bytes]:
    """Send one trigger as a CloudEvent in binary mode. Return the outcome and the body.

    The outcome is that of the header `petrelway-outcome`, else the status, else `no answer`.
    """
    headers = {"content-type": "application/json", "ce-specversion": "1.0"}
    headers.update({f"ce-{name}": value for name, value in event.items()})
    record.note("sent", to=front, id=event["id"], tariff=event["tariff"], repeat=event.get("repeat", "false"))
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request("POST", "/triggers", body, headers)
        response = connection.getresponse()
        answer = response.read()
        outcome = response.headers.get("petrelway-outcome") or str(response.status)
    except (OSError, http.client.HTTPException) as problem:
        outcome, answer = "no answer", type(problem).__name__.encode()
    finally:
        connection.close()
    record.note(
        "answered", by=front, id=event["id"], outcome=outcome, body=answer[:200].decode(errors="replace")
    )
    return outcome, answer


def run_case(file: str, play) -> int:
    """Play a case in a rig of its own; print and record the verdict."""
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", name=Path(file).resolve().parent.name, trouble=trouble)
    try:
        with Rig(record) as rig:
            verdict, text = play(rig, record, trouble)
    except Exception as problem:  # also a mistake of the script: it says nothing about the rule
        verdict, text = COULD_NOT_RUN, f"could not run: {type(problem).__name__}: {problem}"
    record.note("verdict", exit=verdict, text=text)
    print(text)
    return verdict
