"""The program as `run` starts it, and a client with plain sockets, for tests on loopback."""

import contextlib
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from petrelway.fakes.platform_peers import SETTINGS, Bus, configuration

ROOT = Path(__file__).parent.parent
SYN_SENT = "02"
WAIT_S = 30.0  # for what must come; no test says how fast


class Client:
    def __init__(self, address, window=0):
        """`window`: bytes that the system reads ahead."""
        host, port = address.split(":")
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.settimeout(WAIT_S)
        self.sock.connect((host, int(port)))
        self.file = self.sock.makefile("rb")

    def say(self, data):
        self.sock.sendall(data)

    def hear(self):
        line = self.file.readline()
        return json.loads(line) if line else None

    def hear_or_closed(self):
        try:
            return self.hear()
        except ConnectionError:
            return None


def serving(address):
    try:
        client = Client(address)
    except OSError:
        return False
    client.say(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
    return client.hear()["result"]["serving"]


def own_host():
    """Return a loopback address of this process alone: a free port of 127.0.0.1 may be drawn by others."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return f"127.{high + 20}.{low + 1}.1"


def spare():
    """Return an address that a process can listen at later; no other test run draws it meanwhile."""
    host = own_host()
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


def until(ready):
    end = time.monotonic() + WAIT_S
    while not ready():
        assert time.monotonic() < end
        time.sleep(0.02)


def command():
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return (
        run
        if (ROOT / ".venv" / "bin" / "python").exists()
        else run.replace(".venv/bin/python", sys.executable)
    )


def start(path, before="", more=()):
    env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_NAME": "n0", **dict(more)}
    return subprocess.Popen(
        ["/bin/sh", "-c", before + command()],
        cwd=ROOT,
        env=env,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )


def settings(limits=None, classes=None, invariants=None, family=None):
    """The fakes' deployment with other limits, rules, properties, and figures of its classes by name."""
    told = copy.deepcopy(SETTINGS)
    told["limits"].update(limits or {})
    told["invariants"].update(invariants or {})
    told["familyInfo"].update(family or {})
    for each in told["classes"]:
        each.update((classes or {}).get(each["name"], {}))
    return told


class Node:
    """One front end, its bus and executors; `close` ends all, so that all that was written has arrived."""

    def __init__(
        self,
        path,
        executors,
        known=None,
        sockets=256,
        before="",
        failing=None,
        bus_up=True,
        memory_mb=192,
        address=None,
        **changes,
    ):
        """`before`: of the shell, ahead of the command; `failing`: its system calls, as FailingCalls."""
        self.executors, self.bus = executors, Bus()
        if not bus_up:
            self.bus.close()
        self.address, self.path = address or spare(), path / "config.json"
        self.config = {
            "executors": tuple((n, executors[n - 1].port) for n in known or (1,)),
            "sockets": sockets,
            "memory_mb": memory_mb,
            "settings": settings(**changes),
        }
        self.write(self.bus)
        self.said = b""
        self.process = start(self.path, before, failing.environment() if failing else {})
        until(lambda: serving(self.address))

    def write(self, bus, **changes):
        self.path.write_bytes(configuration(self.address, bus.address, **{**self.config, **changes}))

    def client(self):
        return Client(self.address)

    def signal(self, number):
        self.process.send_signal(number)

    def stopped(self):
        """Stop the process, as in a long pause."""
        self.signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")

    def dialling(self, executor):
        """Its connection to the executor is asked for and not up."""
        host, port = "0100007F", f"{executor.port:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return any(row[2] == f"{host}:{port}" and row[3] == SYN_SENT for row in rows)

    def events(self, ended=True):
        """Give what it logged; ends it."""
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            if ended:
                self.signal(signal.SIGTERM)
        said, _ = self.process.communicate(timeout=WAIT_S)
        return [json.loads(line) for line in said.splitlines()]

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.communicate()
        for standin in (self.bus, *self.executors):
            standin.close()


def node(*args, **more):
    return contextlib.closing(Node(*args, **more))


def check(client, number=1 << 40):
    """Whatever it wrote before has been read when this is answered."""
    client.say(b'{"jsonrpc":"2.0","id":%d,"method":"check"}\n' % number)
    return client.hear()["result"]
