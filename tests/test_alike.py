"""One table of cases on the wire, against the stand-in executor and the worker runtime: no drifting apart."""

import pytest
from doubles import Log, Pipe, clock, lost
from twisted.internet import defer

from petrelway.fakes.executor_model import Marks
from petrelway.fakes.executors import Executor, WorkerServer
from petrelway.fakes.fault_script import write
from petrelway.settings.days import check_day
from petrelway.wire import codec
from petrelway.wire.framing import Frames
from petrelway.worker.front_end_connection import FrontEndConnectionProtocol
from petrelway.worker.scheduler_state import SchedulerConfig
from petrelway.worker.service import WorkerConfig, WorkerService

SUCCEEDED, ERROR, FULL, MISS = 0, 1, 2, 8
WARM, STARTED_LOAD, AWAITED_LOAD, LOAD_FAILED = 1, 2, 3, 4
LOAD_S, WORK_S = 0.5, 0.1


class StandIn:
    """The stand-in's protocol and machine on a clock in memory."""

    def __init__(self, misses):
        self.clock, self.good = clock(), True
        day = check_day(
            "x",
            {
                "day": {"length_s": 10},
                "fleet": {
                    "halls": ["a"],
                    "executors": 1,
                    "kinds": [{"name": "quad", "share": 1, "cores": 8, "memory_mb": 700, "queue": 3}],
                    "eager": False,
                    "loads_at_once": 2,
                    "keep_ms": 3000,
                },
                "functions": {"count": 1},
                "traffic": {"rate": 1},
                "customers": [{"name": "c", "portion": 1}],
                "tariffs": [{"name": "plain", "effect": "harmless", "quoted_ms": 1, "outer_ms": 1}],
                "keeping": {"answers_miss": misses},
                "cold": {"multiple": 4, "span_ms": 1, "start_share": 0.2, "warm_ms": 10000},
            },
        )
        self.executor = Executor(self.clock, write(day).posts[0], 1, day, 0.0, self, self, {}, Marks(1.0))
        self.clock.listenTCP = lambda *a, **k: None
        self.executor.start(cold=False)

    def note(self, *args, **kw):
        pass

    def fetch(self, function, ms, done):
        self.clock.callLater(LOAD_S - 0.2, done, self.good)

    def link(self):
        return WorkerServer(self.executor)


class Runtime:
    """The runtime's protocol and call scheduler, with loads and calls played by the clock."""

    def __init__(self, misses):
        self.clock, self.good = clock(), True
        self.worker = WorkerService(
            self.clock,
            WorkerConfig(
                name="executor-0",
                machine="quad",
                address="127.0.0.1",
                port=0,
                deduplication_windows_ms={},
                start_timeout_ms=1000.0,
                measure_interval_ms=0.0,
                release_check_interval_ms=0.0,
                process="q",
            ),
            SchedulerConfig(
                memory_mb=700.0,
                max_concurrent_loads=2,
                load_queue_bound=8,
                max_concurrent_calls=32,
                call_queue_bound=3,
                idle_timeout_ms=3000.0,
                scale_out=False,
                answers_miss=misses,
                load_patience_ms=9000.0,
                stop_grace_ms=500.0,
            ),
            cache=self,
            store=None,
            log=Log(),
        )
        self.worker.host._load = self._load

    def remove_unpacked(self, name):
        pass

    def _load(self, replica_id, function):
        worker = self.worker
        worker.host.replicas[replica_id] = FakeReplica(self, replica_id)
        scheduler = worker.scheduler
        ended = (
            (scheduler.load_completed, replica_id)
            if self.good
            else (scheduler.load_failed, replica_id, "fetch")
        )
        self.clock.callLater(LOAD_S, worker.submit, *ended)
        return defer.Deferred()

    def link(self):
        return FrontEndConnectionProtocol(self.worker)


class FakeReplica:
    exited = False

    def __init__(self, rig, replica_id):
        self.rig, self.replica_id, self.pid = rig, replica_id, 0

    def call(self, call_id, body):
        worker = self.rig.worker
        self.rig.clock.callLater(
            WORK_S, worker.submit, worker.scheduler.call_ended, self.replica_id, call_id, True, b""
        )

    def stop_call(self, call_id):
        worker = self.rig.worker
        worker.submit(worker.scheduler.call_ended, self.replica_id, call_id, False, b"")

    def end(self, why):
        self.exited = True


class Front:
    """What a front end says to either, and hears."""

    def __init__(self, other):
        self.other, self.wire, self.pipe = other, other.link(), Pipe()
        self.frames = Frames()
        self.wire.makeConnection(self.pipe)
        self.say(codec.greeting("front", "p"))

    def say(self, data):
        self.wire.dataReceived(data)
        return self

    def send(self, serial, function="f", left=5000.0, mb=300.0, number=0):
        return self.say(
            codec.send(
                serial,
                number,
                f"m{serial}",
                function,
                mb,
                2,
                "plain",
                "c",
                left,
                WORK_S * 1e3,
                "",
                b'{"work_ms": 100}',
            )
        )

    def order(self, id, replicas=1, function="f", mb=300.0):
        return self.say(codec.request_load(id, function, replicas, mb, 2))

    def run(self, seconds):
        for _ in range(int(seconds * 200)):
            self.other.clock.advance(0.005)
        return self

    def pull(self):
        side = Side()
        for payload in self.frames.feed(self.pipe.take()):
            codec.from_executor(payload, side)
        return side.heard


class Side:
    def __init__(self):
        self.heard = []

    def welcomed(self, executor, process, machine, started_ms):
        self.heard.append(("welcome", executor, machine))

    def ended(self, serial, number, outcome, warmth, crowd, load, content_type, body):
        self.heard.append((serial, outcome, warmth))

    def load_request_ended(self, id, outcome, replicas):
        self.heard.append(("load request ended", id, outcome, replicas))

    def probed(self, id, load):
        self.heard.append(("probed", id, load.queue, load.in_hand, load.loads))


HELLO = [("welcome", "executor-0", "quad")]
CASES = {
    "a load begun, awaited, found": (
        False,
        lambda f: f.send(1).send(2).run(1.0).send(3).run(0.3),
        [*HELLO, (1, 0, STARTED_LOAD), (2, 0, AWAITED_LOAD), (3, 0, WARM)],
    ),
    "miss, order, found": (
        True,
        lambda f: f.send(1).run(0.1).order(7).run(1.0).send(2).run(0.3),
        [*HELLO, (1, MISS, 0), ("load request ended", 7, 0, 1), (2, 0, WARM)],
    ),
    "awaited behind an order": (
        True,
        lambda f: f.order(7).send(1).run(1.0),
        [*HELLO, ("load request ended", 7, 0, 1), (1, 0, AWAITED_LOAD)],
    ),
    "asking": (
        True,
        lambda f: f.order(7, 0).run(0.1).order(8).run(1.0).order(9, 0).run(0.1),
        [
            *HELLO,
            ("load request ended", 7, 0, 0),
            ("load request ended", 8, 0, 1),
            ("load request ended", 9, 0, 1),
        ],
    ),
    "a load that fails": (
        False,
        lambda f: (setattr(f.other, "good", False), f.send(1).send(2).order(7).run(1.0))[1],
        [*HELLO, (1, MISS, LOAD_FAILED), (2, MISS, LOAD_FAILED), ("load request ended", 7, ERROR, 0)],
    ),
    "a queue that is full": (
        False,
        lambda f: [f.send(i) for i in range(1, 6)][0].run(1.5),
        [
            *HELLO,
            (4, FULL, 0),
            (5, FULL, 0),
            (1, 0, STARTED_LOAD),
            (2, 0, AWAITED_LOAD),
            (3, 0, AWAITED_LOAD),
        ],
    ),
    "no room ever": (
        False,
        lambda f: f.send(1, mb=900.0).order(7, mb=900.0).run(0.3),
        [*HELLO, (1, FULL, 0), ("load request ended", 7, FULL, 0)],
    ),
    "withdrawn while it waits": (False, lambda f: f.send(1).say(codec.cancel_attempt(1, 0)).run(1.5), HELLO),
    "withdrawn while it runs": (
        False,
        lambda f: f.send(1).run(0.55).say(codec.cancel_attempt(1, 0)).run(1.0),
        HELLO,
    ),
    "out of time": (False, lambda f: f.send(1, left=200.0).run(1.0), HELLO),
    "unloaded": (
        True,
        lambda f: f.order(7).run(1.0).say(codec.unload("f")).run(0.1).send(1).run(0.2),
        [*HELLO, ("load request ended", 7, 0, 1), (1, MISS, 0)],
    ),
    "idle past its time": (
        True,
        lambda f: f.order(7).run(5.0).send(1).run(0.2),
        [*HELLO, ("load request ended", 7, 0, 1), (1, MISS, 0)],
    ),
    "probed": (
        False,
        lambda f: f.send(1).run(0.1).say(codec.probe(3)).run(1.0),
        [*HELLO, ("probed", 3, 1, 1, 1), (1, 0, STARTED_LOAD)],
    ),
    "garbage": (False, lambda f: f.say(b"\x00\x00\x00\x02\xff\xff").run(0.1), HELLO),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("kind", [StandIn, Runtime])
def test_alike(kind, case):
    misses, play, expected = CASES[case]
    front = Front(kind(misses))
    play(front)
    heard = front.pull()
    assert sorted(map(str, heard)) == sorted(map(str, expected))
    assert front.pipe.aborted == (case == "garbage")
    front.wire.connectionLost(lost())
    front.run(0.5)
    assert front.pull() == []
