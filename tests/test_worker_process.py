"""A worker process with real replicas, against a store with faults: each hard case is caused."""

import json
import os
import signal
import socket
import subprocess
import sys
import textwrap
import threading
import time
from pathlib import Path

import psutil
import pytest
from twisted.internet import reactor

from petrelway.fakes.package_store import Shelf, site
from petrelway.wire import codec
from petrelway.wire.framing import Frames
from petrelway.wire.outcomes import ExecutorOutcome, ReplicaWarmth
from petrelway.worker.package import build

ROOT = Path(__file__).parent.parent
WAIT_S = 30.0
SUCCEEDED = ExecutorOutcome.SUCCEEDED
ERROR = ExecutorOutcome.ERROR
FULL = ExecutorOutcome.FULL
MISS = ExecutorOutcome.MISS
CONFLICT = ExecutorOutcome.CONFLICT
WARM = ReplicaWarmth.WARM
STARTED_LOAD = ReplicaWarmth.STARTED_LOAD
UNKNOWN = ReplicaWarmth.UNKNOWN
LOAD_FAILED = ReplicaWarmth.LOAD_FAILED
ENTRY = """
    import os, sys, time
    def run(body, call):
        what, _, rest = body.decode().partition(' ')
        if what == 'sleep':
            time.sleep(float(rest))
        elif what == 'busy':  # in python: it can be stopped
            end = time.monotonic() + float(rest)
            while time.monotonic() < end:
                time.sleep(0.01)
        elif what == 'deaf':  # ignores the stop
            end = time.monotonic() + float(rest)
            while time.monotonic() < end:
                try:
                    while time.monotonic() < end:
                        time.sleep(0.01)
                except BaseException:
                    pass
        elif what == 'raise':
            raise ValueError(rest)
        elif what == 'exit':
            os._exit(0)
        elif what == 'flood':
            for _ in range(100):
                sys.stdout.write('x' * 1_000_000)
            sys.stdout.flush()
        elif what == 'fork':
            pid = os.fork()
            if not pid:
                time.sleep(600)
                os._exit(0)
            return str(pid).encode()
        elif what == 'grow':
            globals()['held'] = bytearray(os.urandom(1) * (int(rest) << 20))
        elif what == 'huge':
            return b'x' * 2_000_000
        elif what == 'text':
            return 'no bytes'
        return VERSION + b' ' + str(os.getpid()).encode()
"""


@pytest.fixture(scope="module")
def loop():
    """The reactor of the store, in a thread of its own."""
    thread = threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join(WAIT_S)


def until(what, message):
    end = time.monotonic() + WAIT_S
    while not (found := what()):
        assert time.monotonic() < end, message
        time.sleep(0.02)
    return found


class Rig:
    def __init__(self, tmp_path, **changes):
        self.tmp, self.packages = tmp_path, tmp_path / "packages"
        self.shelf = Shelf(reactor, takes=4, limit=50, fetch_ms=0.0)
        ready = []
        reactor.callFromThread(
            lambda: ready.append(reactor.listenTCP(0, site(self.shelf, reactor), interface="127.0.0.1"))
        )
        until(lambda: ready, "no store")
        self.listening = ready[0]
        sock = socket.create_server(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        sock.close()
        settings = {
            "worker": {"name": "e0"},
            "listen": {"port": self.port},
            "store": {"port": self.listening.getHost().port, "silence_ms": 500},
            "memory": {"budget_mb": 400, "measure_ms": 100},
            "loads": {"at_once": 2, "start_timeout_ms": 2000, "recheck_ms": 200},
            "calls": {"stop_grace_ms": 300},
            "copies": {"keep_ms": 60000},
            "images": {"folder": str(tmp_path / "images"), "bound_mb": 50},
            "stamped": [{"tariff": "marked", "window_ms": 60000}],
            "log": {"file": str(tmp_path / "log")},
        }
        for section, change in changes.items():
            settings[section] = {**settings[section], **change}
        (tmp_path / "worker.jsonnet").write_text(json.dumps(settings))
        self.connections = []
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "petrelway", "worker", "serve", str(self.tmp / "worker.jsonnet")],
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )
        self.front = self.connect()

    def connect(self):
        connection = FrontEnd(self.port)
        self.connections.append(connection)
        return connection

    def package(self, name="f", version="1", entry=ENTRY, memory=60, lanes=2, before="", blob=b""):
        folder = self.tmp / f"{name}-{version}"
        folder.mkdir()
        (folder / "model.py").write_text(f"VERSION = b'{version}'\n{before}\n" + textwrap.dedent(entry))
        (folder / "manifest.json").write_text(
            json.dumps(
                {
                    "name": name,
                    "version": version,
                    "entry": "model:run",
                    "memory_mb": memory,
                    "lanes": lanes,
                }
            )
        )
        (folder / "blob").write_bytes(blob)
        file = self.packages / f"{name}-{version}.tar"
        build(folder, file)
        self.shelf.put(file)
        return file

    def children(self):
        try:
            return psutil.Process(self.process.pid).children(recursive=True)
        except psutil.Error:
            return []

    def log(self):
        return [json.loads(x) for x in (self.tmp / "log").read_text().splitlines()]

    def close(self):
        for connection in self.connections:
            connection.sock.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        done = threading.Event()
        reactor.callFromThread(lambda: self.listening.stopListening().addBoth(lambda _: done.set()))
        done.wait(WAIT_S)


class FrontEnd:
    """A front end's side, with a plain socket."""

    def __init__(self, port):
        end = time.monotonic() + WAIT_S
        while True:
            try:
                self.sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)
                break
            except OSError:
                assert time.monotonic() < end
                time.sleep(0.02)
        self.frames, self.heard, self.serial = Frames(), [], 0
        self.sock.sendall(codec.greeting("front", "p"))
        self.welcome = self.hear("welcomed")

    def __getattr__(self, name):
        if name in ("welcomed", "ended", "load_request_ended", "probed"):
            return lambda *args: self.heard.append((name, *args))
        raise AttributeError(name)

    def hear(self, kind, id=None):
        while True:
            for i, said in enumerate(self.heard):
                if said[0] == kind and id in (None, said[1]):
                    return self.heard.pop(i)
            data = self.sock.recv(65536)
            assert data, "the worker closed the connection"
            for payload in self.frames.feed(data):
                codec.from_executor(payload, self)

    def send(self, body="", function="f", request_class="plain", mark="", left=30000.0, memory=60.0, lanes=2):
        self.serial += 1
        self.sock.sendall(
            codec.send(
                self.serial,
                0,
                mark or str(self.serial),
                function,
                memory,
                lanes,
                request_class,
                "c",
                left,
                0.0,
                "",
                body.encode(),
            )
        )
        return self.serial

    def end(self, serial):
        """Outcome, warmth, body."""
        _, _, _, outcome, warmth, _, _, _, body = self.hear("ended", serial)
        return outcome, warmth, body

    def ask(self, *args, **kw):
        return self.end(self.send(*args, **kw))

    def request_load(self, id, function="f", replicas=1, memory=60.0):
        self.sock.sendall(codec.request_load(id, function, replicas, memory, 2))

    def report(self):
        self.sock.sendall(codec.probe(1))
        return self.hear("probed")[2]


@pytest.fixture
def rig(tmp_path, loop, request):
    made = Rig(tmp_path, **getattr(request, "param", {}))
    yield made
    made.close()


def test_load_call_and_drain(rig):
    rig.package()
    assert rig.front.welcome[1] == "e0" and rig.front.welcome[4] > 0
    outcome, warmth, body = rig.front.ask()
    assert (outcome, warmth, body[:2]) == (SUCCEEDED, STARTED_LOAD, b"1 ")
    assert rig.front.ask()[:2] == (SUCCEEDED, WARM) and rig.shelf.counts["fetches"] == 1
    running = rig.front.send("sleep 1")
    until(lambda: rig.front.report().in_hand == 1, "not running")
    rig.process.send_signal(signal.SIGTERM)
    until(lambda: any(x["event"] == "worker draining" for x in rig.log()), "no drain")
    assert rig.front.ask()[0] == FULL  # nothing new
    assert rig.front.end(running)[0] == SUCCEEDED  # what runs is finished
    assert rig.process.wait(WAIT_S) == 0
    assert not (rig.tmp / "images" / "run" / "copy-1").exists()


def test_a_kill_leaves_no_child_and_no_partial_file(rig):
    rig.package()
    pid = int(rig.front.ask("fork")[2])
    assert psutil.pid_exists(pid)
    replicas = rig.children()
    assert len(replicas) >= 2
    rig.shelf.fetch_ms = 60000.0
    rig.package("slow")
    rig.front.send(function="slow")
    until(lambda: list((rig.tmp / "images").glob(".half-*")), "no fetch under way")
    until(lambda: rig.shelf.counts["fetches"] == 2, "no fetch has come")  # the file stands before it is sent
    rig.process.kill()
    rig.process.wait()

    def gone(p):
        return not p.is_running() or p.status() == psutil.STATUS_ZOMBIE

    until(lambda: all(gone(p) for p in replicas), "a child is left")
    rig.shelf.fetch_ms = 0.0
    rig.start()  # the next process removes the partial file and keeps the complete one
    assert rig.front.ask()[0] == SUCCEEDED and rig.shelf.counts["fetches"] == 2
    assert not list((rig.tmp / "images").glob(".half-*"))


@pytest.mark.parametrize(
    "how", ["wrong bytes", "cut for good", "raises", "hangs", "dies", "no entry", "no name"]
)
def test_loads_that_fail_halfway(rig, how):
    before = {
        "raises": "raise RuntimeError('no')",
        "hangs": "import time; time.sleep(600)",
        "dies": "import os; os._exit(3)",
    }.get(how, "")
    rig.package("bad", entry="run = 7" if how == "no entry" else ENTRY, before=before)
    rig.package("good")
    if how == "wrong bytes":
        rig.shelf.break_with("wrong bytes", 1)
    elif how == "cut for good":
        rig.shelf.break_with("cut", 10, 0, "bad")
    elif how == "no name":
        del rig.shelf.names["bad"]
    waiting = [rig.front.send(function="bad") for _ in range(3)]
    rig.front.request_load(9, "bad")
    good = rig.front.send(function="good")
    assert [rig.front.end(s)[:2] for s in waiting] == [(MISS, LOAD_FAILED)] * 3  # they never ran
    assert rig.front.hear("load_request_ended", 9)[2] == ERROR
    assert rig.front.end(good)[0] == SUCCEEDED  # the rest goes on
    assert rig.front.ask(function="bad")[:2] == (MISS, LOAD_FAILED)  # backs off: no fetch for it
    until(lambda: rig.front.report().loads == 0 and len(rig.children()) == 1, "something is left of it")
    assert not list((rig.tmp / "images").glob(".half-*"))
    assert [p.name for p in (rig.tmp / "images" / "run").iterdir()] == ["copy-2"]
    if how == "wrong bytes":  # never a wrong status: refused, and loaded well once the store is well
        until(lambda: rig.front.ask(function="bad")[0] == SUCCEEDED, "does not come back")


def test_broken_fetches_go_on_where_they_were(rig):
    rig.package(blob=os.urandom(300_000))
    rig.shelf.break_with("cut", 2, 100_000)
    assert rig.front.ask()[0] == SUCCEEDED and rig.shelf.counts["resumed"] == 2
    for fault in ("stall", "reset"):
        rig.package(fault, blob=os.urandom(300_000))
        rig.shelf.break_with(fault, 1, 100_000)
        assert rig.front.ask(function=fault)[0] == SUCCEEDED and rig.shelf.faults_left == 0


def test_calls_that_go_wrong(rig):
    rig.package()
    pid = int(rig.front.ask()[2].split()[1])
    for body in ("raise no", "huge", "text"):
        assert rig.front.ask(body)[0] == ERROR
    assert int(rig.front.ask("flood")[2].split()[1]) == pid  # 100 MB of output cost nothing but a line
    assert [x["event"] for x in rig.log()].count("replica output truncated") == 1
    beside = rig.front.send("sleep 60")
    until(lambda: rig.front.report().in_hand == 1, "not running")
    assert rig.front.ask("exit")[0] == ERROR and rig.front.end(beside)[0] == ERROR  # they may have run
    outcome, warmth, body = rig.front.ask()
    assert (outcome, warmth) == (SUCCEEDED, STARTED_LOAD) and int(body.split()[1]) != pid


def test_stops(rig):
    rig.package()
    pid = int(rig.front.ask()[2].split()[1])
    stopped = rig.front.send("busy 600")
    until(lambda: rig.front.report().in_hand == 1, "not running")
    rig.front.sock.sendall(codec.cancel_attempt(stopped, 0))
    until(lambda: rig.front.report().in_hand == 0, "it does not stop")
    rig.front.send("busy 600", left=200.0)  # and out of time
    until(lambda: rig.front.report().in_hand == 0, "it does not stop")
    assert int(rig.front.ask()[2].split()[1]) == pid  # the replica lives on
    deaf = rig.front.send("deaf 600")
    until(lambda: rig.front.report().in_hand == 1, "not running")
    rig.front.sock.sendall(codec.cancel_attempt(deaf, 0))
    until(lambda: rig.front.report().in_hand == 0, "a replica that ignores the stop is not killed")
    assert int(rig.front.ask()[2].split()[1]) != pid


def test_one_load_for_five_front_ends(rig):
    rig.package()
    fronts = [rig.connect() for _ in range(5)]
    rig.shelf.fetch_ms = 300.0
    for i, front in enumerate(fronts):
        front.request_load(i, replicas=2)
    assert [front.hear("load_request_ended", i)[2:] for i, front in enumerate(fronts)] == [(SUCCEEDED, 2)] * 5
    assert rig.shelf.counts["fetches"] == 1 and len(rig.children()) == 2


def test_repeats_with_an_idempotency_key(rig):
    rig.package(lanes=4)
    other = rig.connect()
    first = rig.front.send("sleep 0.5", request_class="marked", mark="m")
    second = other.send("sleep 0.5", request_class="marked", mark="m")
    one, two = rig.front.end(first), other.end(second)
    assert one[0] == two[0] == SUCCEEDED and one[2] == two[2]  # attached: ran once
    # another body under the key is no repeat: it neither runs nor gets the answer
    assert other.ask("raise no", request_class="marked", mark="m") == (CONFLICT, UNKNOWN, b"")
    assert other.ask("sleep 0.5", request_class="marked", mark="m") == (SUCCEEDED, WARM, one[2])
    assert rig.front.ask("raise no", request_class="marked", mark="other")[0] == ERROR
    assert rig.front.ask("", request_class="marked", mark="other")[0] == SUCCEEDED  # it had not happened


def test_new_release_while_calls_run(rig):
    rig.package()
    running = rig.front.send("sleep 1")
    until(lambda: rig.front.report().in_hand == 1, "not running")
    rig.package(version="2")
    until(lambda: rig.front.ask()[2][:1] == b"2", "the new release does not come")
    assert rig.front.end(running)[2][:1] == b"1"  # it ended where it began
    until(lambda: len(rig.children()) == 1, "the old replica stays")


@pytest.mark.parametrize("rig", [{"memory": {"budget_mb": 220, "measure_ms": 50}}], indirect=True)
def test_a_replica_that_grows_past_what_it_declared_while_another_loads(rig):
    rig.package("greedy", memory=50)
    rig.package("modest", memory=50)
    rig.package("next", memory=60)
    assert rig.front.ask(function="greedy", memory=50.0)[0] == SUCCEEDED
    modest = rig.front.send("sleep 3", function="modest", memory=50.0)
    beside = rig.front.send("sleep 60", function="greedy", memory=50.0)
    until(lambda: rig.front.report().in_hand == 2, "not running")
    rig.shelf.fetch_ms = 1500.0
    loading = rig.front.send(function="next", memory=60.0)
    grown = rig.front.ask("grow 200", function="greedy", memory=50.0)
    if grown[0] == SUCCEEDED:  # its own answer may be quicker than the look at its memory
        assert rig.front.end(beside)[0] == ERROR
    else:
        assert grown[0] == ERROR and rig.front.end(beside)[0] == ERROR
    assert rig.front.end(loading)[0] == SUCCEEDED and rig.front.end(modest)[0] == SUCCEEDED
    assert rig.process.poll() is None


def test_store_down_with_many_loads_waiting(rig):
    for i in range(50):
        rig.package(f"f{i}", memory=30)
    reactor.callFromThread(rig.shelf.break_with, "down", 0, 10_000.0)
    until(rig.shelf.down, "not down")
    sent = [rig.front.send(function=f"f{i}", memory=30.0) for i in range(50)]  # all wait at once
    first = [rig.front.end(serial) for serial in sent]
    assert {outcome for outcome, *_ in first} <= {MISS, SUCCEEDED} and first[0][0] == MISS
    for i in range(50):
        until(lambda i=i: rig.front.ask(function=f"f{i}", memory=30.0)[0] == SUCCEEDED, "does not come back")


def test_reported_memory_is_what_the_system_sees(rig):
    """The benchmark has the figure; here it must be of the right size and come back after eviction."""
    rig.package("fat", before="held = bytearray(b'x' * (80 << 20))", memory=110)
    rig.front.ask(function="fat", memory=110.0)
    tree = [psutil.Process(rig.process.pid), *rig.children()]
    seen = sum(p.memory_full_info().pss for p in tree) / 2**20
    assert seen > 100

    def near():  # a look may have met the start, which holds the bytes twice
        report = rig.front.report()
        return report if abs(report.used_mb - seen) < 0.1 * seen else None

    full = until(near, "the report does not come near")
    rig.front.sock.sendall(codec.unload("fat"))
    until(lambda: rig.front.report().used_mb < full.used_mb - 70, "memory does not come back")
