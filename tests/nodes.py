"""The program as `run` starts it, and a client with plain sockets, for tests on loopback."""

import json
import os
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
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


def spare():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


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


def start(path, before=""):
    env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_NAME": "n0"}
    return subprocess.Popen(
        ["/bin/sh", "-c", before + command()],
        cwd=ROOT,
        env=env,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
