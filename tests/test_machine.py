"""The stand-in machine and store on a clock in memory: cores, lanes, loads, memory, cold start, faults."""

import random

from doubles import clock

from petrelway.fakes.executor_model import (
    AWAITED,
    BEGAN,
    ERROR,
    FOUND,
    FULL,
    LOAD_FAILED,
    MISS,
    SUCCEEDED,
    Machine,
    Marks,
    Work,
)
from petrelway.fakes.model_store import REFUSE_MS, Store


class Rig:
    def __init__(self, fetch_ms=100.0, start_ms=50.0, good=True, started=0.0, **changes):
        self.clock, self.ends, self.stood, self.notes = clock(), [], [], []
        told = {
            "cores": 2,
            "speed": 1.0,
            "slots": 8,
            "queue": 4,
            "memory_mb": 1000.0,
            "loads_at_once": 2,
            "keep_ms": 2000.0,
            "eager": False,
            "answers_miss": False,
            "error_rate": 0.0,
            "load_fail": 0.0,
            "fail_outcome": MISS,
            "images": False,
            "cold_share": 0.25,
            "warm_ms": 4000.0,
        } | changes
        self.fetched = []

        def fetch(function, done):
            self.fetched.append(function)
            self.clock.callLater(fetch_ms / 1e3, done, good)

        self.m = Machine(
            self.clock,
            random.Random(1),
            **told,
            started_ms=self.now() if started else 0.0,
            marks=Marks(1000.0),
            fetch=fetch,
            start_ms=lambda f: start_ms,
            say_ended=lambda w, o, warmth, crowd: self.ends.append((w.serial, o, warmth, self.at())),
            say_stood=lambda front, id, o, replicas: self.stood.append((id, o, replicas)),
            note=lambda what, w: self.notes.append((what, w.serial)),
        )
        self.began = self.clock.seconds()
        self.serial = 0

    def now(self):
        return self.clock.seconds() * 1e3

    def at(self):
        return round((self.clock.seconds() - self.began) * 1e3)

    def take(
        self,
        function="f",
        work=100.0,
        until=5000.0,
        memory=300.0,
        lanes=2,
        keyed=False,
        mark="",
        io=0.0,
        tenant="c",
    ):
        self.serial += 1
        self.m.take(
            Work(
                "front",
                self.serial,
                0,
                mark or str(self.serial),
                function,
                memory,
                lanes,
                tenant,
                keyed,
                work,
                io,
                self.now() + until,
            )
        )
        return self.serial

    def run(self, ms):
        for _ in range(int(ms)):
            self.clock.advance(0.001)


def test_warmth_and_shared_cores():
    rig = Rig()
    rig.take(), rig.take()
    rig.run(200)
    rig.take()
    rig.run(200)
    # fetch 100, start 50, then 100 of work on a core each
    assert rig.ends == [
        (1, SUCCEEDED, BEGAN, 250),
        (2, SUCCEEDED, AWAITED, 250),
        (3, SUCCEEDED, FOUND, 350),
    ]
    # n at once on 2 cores with 6 lanes: each ends when its share allows
    for n, expected in ((1, 100), (2, 100), (4, 200), (6, 300)):
        rig = Rig()
        rig.m.order("front", 1, "f", 1, 300.0, 6)
        rig.run(160)
        began = rig.at()
        for _ in range(n):
            rig.take(lanes=6)
        rig.run(400)
        assert all(abs(at - began - expected) <= 2 for *_, at in rig.ends) and len(rig.ends) == n


def test_queue_lanes_and_memory():
    rig = Rig(queue=2)
    for _ in range(6):
        rig.take(lanes=1)
    assert [o for _, o, *_ in rig.ends] == [FULL] * 4  # two wait for the load
    rig.run(400)
    assert [s for s, o, *_ in rig.ends if o == SUCCEEDED] == [1, 2]
    rig = Rig(memory_mb=700.0)
    rig.take("f"), rig.take("g")
    rig.run(300)
    rig.take("h")  # room is made: the one idle longest goes
    rig.run(300)
    assert sorted(rig.m.replicas) == ["g", "h"] and rig.m.used_mb == 600.0
    rig.take("big", memory=900.0)
    rig.take("bigger", memory=2000.0)
    assert rig.ends[-1][1] == FULL  # never fits
    rig.run(2600)
    assert rig.m.used_mb == 0.0 and rig.m.replicas == {}  # idle past the keep time


def test_one_more_copy_only_where_eager():
    for eager, replicas in ((True, 2), (False, 1)):
        rig = Rig(eager=eager)
        rig.take(lanes=1, work=1000.0)
        rig.run(200)
        rig.take(lanes=1, work=1000.0)
        rig.run(200)
        assert len(rig.m.replicas["f"]) == replicas


def test_orders():
    rig = Rig(answers_miss=True)
    rig.take()
    assert [o for _, o, *_ in rig.ends] == [MISS]
    rig.m.order("front", 1, "f", 2, 300.0, 2)
    rig.m.order("front", 2, "f", 0, 300.0, 2)  # only asks
    assert rig.stood == [(2, SUCCEEDED, 0)]
    rig.take()  # waits for the load
    rig.run(300)
    assert rig.stood[1:] == [(1, SUCCEEDED, 2)] and rig.ends[-1][1:3] == (SUCCEEDED, AWAITED)
    rig.m.unload("f")
    assert rig.m.replicas == {}
    for id in range(3, 12):
        rig.m.order("front", id, f"f{id}", 1, 300.0, 2)
    assert FULL in [o for _, o, _ in rig.stood]


def test_loads_that_fail():
    for says in (MISS, ERROR):
        rig = Rig(good=False, fail_outcome=says)
        rig.take(), rig.take()
        rig.m.order("front", 1, "f", 1, 300.0, 2)
        rig.run(200)
        assert [(o, w) for _, o, w, _ in rig.ends] == [(says, LOAD_FAILED)] * 2 and rig.stood == [
            (1, ERROR, 0)
        ]
        assert rig.m.used_mb == 0.0 and rig.m.loads == 0


def test_withdrawn_and_out_of_time_stop_the_work():
    rig = Rig()
    rig.m.order("front", 1, "f", 1, 300.0, 2)
    rig.run(160)
    for way in ("withdrawn", "out of time"):
        serial = rig.take(work=500.0, until=5000.0 if way == "withdrawn" else 100.0)
        rig.run(100)
        if way == "withdrawn":
            rig.m.cancel_attempt("front", serial, 0)
        rig.run(10)
        assert rig.m.in_work == 0 and rig.m.shared == 0 and rig.m.jobs == {}, way
    with_io = rig.take(io=200.0)
    rig.run(150)
    assert rig.m.in_work == 1 and rig.m.shared == 0  # it waits on another system: its slot, but no core
    rig.m.cancel_attempt("front", with_io, 0)
    rig.run(300)
    assert rig.ends == [] and rig.m.in_work == 0
    rig.take("g", until=50.0)  # its load goes on when it has left
    rig.run(300)
    assert "g" in rig.m.replicas and rig.ends == []


def test_cold_slow_frozen_and_void():
    rig = Rig(started=1.0)
    assert rig.m.capacity() == 0.25
    rig.m.order("front", 1, "f", 1, 300.0, 2)
    rig.run(160)
    rig.take()
    rig.run(1000)
    assert 300 < rig.ends[0][3] - 160 < 400  # a quarter of the pace, rising
    rig.run(4000)
    assert rig.m.capacity() == 1.0
    rig = Rig()
    rig.m.order("front", 1, "f", 1, 300.0, 2)
    rig.run(160)
    rig.m.slow(4.0)
    rig.take()
    rig.run(350)
    assert rig.ends == []
    rig.run(60)
    rig.m.slow(1.0)
    rig.m.freeze(True)
    rig.take(), rig.take(until=100.0)
    rig.run(500)
    assert len(rig.ends) == 1
    rig.m.freeze(False)
    rig.run(150)
    assert [s for s, *_ in rig.ends] == [1, 2]  # what was out of time by then is not done
    rig.m.flush(lambda f: True)
    assert rig.m.replicas == {}


def test_stamped_repeats_and_one_tenant_throttled():
    rig = Rig()
    rig.take(keyed=True, mark="m")
    rig.run(300)
    rig.take(keyed=True, mark="m")
    assert rig.notes.count(("ran", 1)) == 1 and rig.notes[-1] == ("dropped repeat", 2)
    rig.run(1100)
    rig.take(keyed=True, mark="m")  # the mark is forgotten
    rig.run(200)
    assert ("ran", 3) in rig.notes
    rig.m.throttle = ("c", 2.0, 50.0)
    for tenant in ("c", "c", "c", "other"):
        rig.take(tenant=tenant)
    rig.run(200)
    assert sorted((s, o) for s, o, *_ in rig.ends[3:]) == [(4, 0), (5, 0), (6, FULL), (7, 0)]


class StoreRig:
    def __init__(self, **changes):
        self.clock, self.done = clock(), []
        told = {"takes": 2, "limit": 5, "thrash": 0.5, "fall_multiple": 0.0, "fall_ms": 100.0}
        told["down_ms"] = 1000.0
        self.store = Store(self.clock, **(told | changes))
        self.began = self.clock.seconds()

    def fetch(self, ms=100.0):
        at = self.clock.seconds
        self.store.fetch(ms, lambda good: self.done.append((good, round((at() - self.began) * 1e3))))

    def run(self, ms):
        for _ in range(int(ms)):
            self.clock.advance(0.001)


def test_store_shares_crowds_and_refuses():
    # fetches at once; when the last is done: two at full pace, more share it and crowd each other
    for n, least, most in ((1, 99, 102), (2, 99, 102), (4, 260, 270), (5, 355, 360)):
        rig = StoreRig()
        for _ in range(n):
            rig.fetch()
        rig.run(600)
        assert [good for good, _ in rig.done] == [True] * n
        assert least <= rig.done[-1][1] <= most, (n, rig.done)
    rig = StoreRig()
    for _ in range(7):
        rig.fetch()
    rig.run(REFUSE_MS + 2)
    assert [good for good, _ in rig.done] == [False, False] and rig.store.refused == 2
    rig = StoreRig()
    rig.store.slow(4.0)
    rig.fetch()
    rig.run(390)
    assert rig.done == []
    rig.run(20)
    assert rig.done[0][0]


def test_store_collapses_when_pushed():
    rig = StoreRig(limit=50, fall_multiple=2.0)
    for _ in range(5):
        rig.fetch(5000.0)
    rig.run(90)
    rig.fetch(5000.0)
    assert rig.store.falls == 0  # not for long enough yet
    rig.run(20)
    rig.fetch(5000.0)
    assert rig.store.falls == 1 and [good for good, _ in rig.done] == [False] * 7
    rig.fetch()
    rig.run(REFUSE_MS + 2)
    assert rig.done[-1][0] is False  # it is down
    rig.run(1000)
    rig.fetch()
    rig.run(110)
    assert rig.done[-1][0] is True
