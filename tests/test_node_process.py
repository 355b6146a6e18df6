"""The real process from `run`'s command, with scripted stand-ins on loopback: counts, order, exit code."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

from platform_side import answer, commands, configuration, event, request

ROOT = Path(__file__).parent.parent
WAIT_S = 30.0  # for what must come; no test says how fast


def listen():
    sock = socket.create_server(("127.0.0.1", 0), backlog=64)
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


class Standin:
    """Threads that accept and serve until `close`, which leaves none behind."""

    def __init__(self):
        self.sock, self.address = listen()
        self.wires, self.threads = [], []
        self._start(self._accept)

    def _start(self, run, *args):
        thread = threading.Thread(target=run, args=args)
        self.threads.append(thread)
        thread.start()

    def _accept(self):
        while True:
            try:
                wire, _ = self.sock.accept()
            except OSError:
                return
            self.wires.append(wire)
            self._start(self._run, wire)

    def _run(self, wire):
        try:
            self.serve(wire)
        except OSError:
            pass

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)
        self.threads[0].join(WAIT_S)
        for wire in self.wires:
            try:
                wire.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the other side has gone
        for thread in self.threads:
            thread.join(WAIT_S)
        for sock in (self.sock, *self.wires):
            sock.close()


class Executor(Standin):
    """Answers every request with its body turned round, orders with one copy; keeps what it was told."""

    def __init__(self):
        self.told = []
        super().__init__()

    def serve(self, wire):
        held = b""
        while data := wire.recv(65536):
            held += data
            while len(held) >= 20:
                size = 20 + int.from_bytes(held[2:4], "big") + int.from_bytes(held[4:8], "big")
                if len(held) < size:
                    break
                (command,) = commands(held[:size])
                held = held[size:]
                self.told.append(command)
                code, id, _, body = command
                if code == 10:
                    wire.sendall(answer(100, id, b"how=resident", body[::-1]))
                elif code == 14:
                    wire.sendall(answer(100, id, b"count=1"))


class Bus(Standin):
    """Says only that nothing is new; keeps the numbers that followers resumed from."""

    def __init__(self):
        self.resumed = []
        super().__init__()

    def serve(self, wire):
        number = int.from_bytes(wire.recv(8, socket.MSG_WAITALL), "big")
        self.resumed.append(number)
        while True:
            wire.sendall(event(number, 0))
            time.sleep(0.2)


class Client:
    def __init__(self, address):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self.file = self.sock.makefile("rb")

    def say(self, data):
        self.sock.sendall(data)

    def hear(self):
        line = self.file.readline()
        return json.loads(line) if line else None


def until(ready):
    end = time.monotonic() + WAIT_S
    while not ready():
        assert time.monotonic() < end
        time.sleep(0.02)


def command():
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return run if (ROOT / ".venv" / "bin" / "python").exists() else run.replace(
        ".venv/bin/python", sys.executable)


def start(path):
    env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_NAME": "n0"}
    return subprocess.Popen(["/bin/sh", "-c", command()], cwd=ROOT, env=env, stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT)


def test_a_day_of_one_process(tmp_path):
    executor, first, second = Executor(), Bus(), Bus()
    spare, address = listen()
    spare.close()
    path = tmp_path / "config.json"
    port = int(executor.address.split(":")[1])

    def write(bus):
        path.write_bytes(configuration(listen=address, bus=bus.address, executors=((1, port),)))

    write(first)
    process = start(path)
    try:
        def serving():
            try:
                client = Client(address)
            except OSError:
                return False
            client.say(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
            return client.hear()["result"]["serving"]

        until(serving)
        client = Client(address)
        for number, method in enumerate(("safe", "keyed", "once"), 1):
            client.say(request(number, method, call=f"{number:016x}", body=b"abc"))
            assert client.hear() == {"jsonrpc": "2.0", "id": number, "result": {"bytes": "Y2Jh"}}
        sent = [told for told in executor.told if told[0] == 10]
        assert [told[1] for told in sent] == [number.to_bytes(8, "big") for number in (1, 2, 3)]
        assert ["once" in told[2] for told in sent] == [False, True, False]

        for bad in (b"\x00\xff nonsense\n", b"{" * 100_000, request(1, call="zz") * 40):
            rude = Client(address)
            try:
                rude.say(bad)
                heard = [rude.hear()]
                while heard[-1] is not None:
                    heard.append(rude.hear())
            except ConnectionError:
                continue  # closed: that is an answer too
            assert heard and all("error" in h for h in heard[:-1])

        write(second)
        process.send_signal(signal.SIGHUP)
        until(lambda: second.resumed)
        assert second.resumed == [1] and first.resumed == [1]
        path.write_bytes(b"{ nothing")
        process.send_signal(signal.SIGHUP)
        client.say(request(4, call=f"{4:016x}", body=b"abc"))
        assert client.hear()["result"] == {"bytes": "Y2Jh"}

        process.send_signal(signal.SIGTERM)
        client.say(request(5, call=f"{5:016x}", body=b"abc"))
        assert client.hear()["id"] == 5
        assert client.hear() is None
        said, _ = process.communicate(timeout=WAIT_S)
        assert process.returncode == 0
        events = [json.loads(line)["event"] for line in said.splitlines()]
        assert events[0] == "front end started" and events[-1] == "front end left"
        assert events.count("configuration read again") == 1
        assert events.count("configuration can't be used: the old one holds") == 1
    finally:
        if process.poll() is None:
            process.kill()
            process.communicate()
        for standin in (executor, first, second):
            standin.close()
    assert threading.active_count() == 1


def test_a_bad_configuration_is_said_in_one_line(tmp_path):
    for data, where in ((b"{", "not JSON"), (configuration(listen=4), "listen"), (None, "No such file")):
        path = tmp_path / "config.json"
        path.unlink(missing_ok=True)
        if data is not None:
            path.write_bytes(data)
        process = start(path)
        said, _ = process.communicate(timeout=WAIT_S)
        assert process.returncode == 2
        (line,) = said.decode().splitlines()
        assert where in line and str(path) in line


def test_the_verb_loads_only_what_it_needs():
    code = (
        "import sys; from petrelway.commands import main; from click.testing import CliRunner;"
        "CliRunner().invoke(main, ['node', '--help']);"
        "import petrelway.node.service;"
        "print([m for m in ('numpy', 'scipy', 'matplotlib', 'textual', '_jsonnet', 'twisted.web', 'h11',"
        " 'jinja2', 'psutil', 'prometheus_client') if m in sys.modules])"
    )
    said = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert said.stdout.strip() == "[]"
