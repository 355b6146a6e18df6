"""The worker's decisions without I/O: queue, lanes, loads, memory, repeats, drain; random days of them."""

import random

from petrelway.worker.call_scheduler import Desk, Do
from petrelway.worker.deduplication import Repeats
from petrelway.worker.eviction import Keeper
from petrelway.worker.load_scheduler import BACK_OFF_MOST_MS, BACK_OFF_MS, Load, Loads
from petrelway.worker.memory_budget import Budget

SUCCEEDED, ERROR, FULL, MISS = 0, 1, 2, 8
UNTOLD, FOUND, BEGAN, AWAITED, LOAD_FAILED = 0, 1, 2, 3, 4


class Rig:
    def __init__(self, **changes):
        told = {
            "budget_mb": 1000.0,
            "loads_at_once": 2,
            "line": 8,
            "slots": 8,
            "queue": 6,
            "keep_ms": 5000.0,
            "more_replicas": False,
            "answers_miss": False,
            "load_patience_ms": 4000.0,
            "stop_grace_ms": 300.0,
        }
        self.now = 1000.0
        self.desk = Desk(self.now, **(told | changes))
        self.serial, self.acts, self.ends, self.stood = 0, [], [], []

    def take(self, function="f", mb=300.0, lanes=2, keyed=0.0, mark="", remaining=3000.0, front="a"):
        self.serial += 1
        self.desk.taken(
            self.now,
            front,
            self.serial,
            0,
            mark or str(self.serial),
            function,
            mb,
            lanes,
            keyed,
            remaining,
            b"",
        )
        return self.serial

    def pull(self, ms=0.0):
        """Decisions now, and as time passes; the acts that are no answers and no wakes."""
        found, until = [], self.now + ms
        while True:
            while (act := self.desk.decide(self.now)) is not None:
                if act.do is Do.ENDED:
                    self.ends.append((act.serial, act.outcome, act.warmth))
                elif act.do is Do.STOOD:
                    self.stood.append((act.front, act.serial, act.outcome, act.number))
                elif act.do is not Do.WAKE:
                    found.append(act)
            if self.desk.wake_ms > until:
                self.now = until
                self.acts += found
                return found
            self.now = max(self.now, self.desk.wake_ms)
            self.desk.time_passed(self.now)

    def does(self, ms=0.0):
        return [(a.do, a.copy, a.function or a.call) for a in self.pull(ms)]

    def load(self, function="f", mb=300.0, lanes=2):
        """A standing copy of a function; its id."""
        self.desk.load_requested(self.now, "o", 99, function, 1, mb, lanes)
        (id,) = [a.copy for a in self.pull() if a.do is Do.LOAD]
        self.desk.load_told(self.now, id, f"digest of {function}", mb, lanes)
        self.desk.load_stood(self.now, id)
        self.pull()
        return id


def test_loads_start_by_what_can_wait_least():
    rig = Rig(loads_at_once=1, budget_mb=5000.0)
    rig.take("first", remaining=3000.0)
    assert rig.does() == [(Do.LOAD, 1, "first")]
    rig.desk.load_requested(rig.now, "o", 1, "load_requested", 1, 100.0, 1)  # its patience: 4000 ms
    rig.take("late", remaining=3500.0)
    rig.take("urgent", remaining=900.0)
    left = rig.take("left")
    rig.desk.cancelled(rig.now, "a", left, 0)
    order = []
    for _ in range(4):
        load = next(iter(rig.desk.loads.under_way))
        rig.desk.load_failed(rig.now, load, "x")
        order += [f for do, _, f in rig.does() if do is Do.LOAD]
    assert order == ["urgent", "late", "load_requested"] and rig.desk.counts["load left out"] == 1


def test_memory_is_reserved_before_the_fetch():
    rig = Rig(budget_mb=700.0)
    rig.take("f", 400.0), rig.take("g", 400.0)
    assert rig.does() == [(Do.LOAD, 1, "f")]  # the other one's room is not there
    rig.desk.load_told(rig.now, 1, "d", 800.0, 2)  # the manifest says more than there is
    assert (Do.DROP_LOAD, 1, "f") in rig.does() and rig.ends == [(1, FULL, UNTOLD)]
    assert next(iter(rig.desk.loads.under_way.values())).function == "g"
    rig.take("big", 900.0)
    rig.pull()
    assert rig.ends[-1] == (3, FULL, UNTOLD)  # never fits
    rig = Rig(budget_mb=700.0)
    busy, idle = rig.load("busy"), rig.load("idle")
    rig.take("busy")
    rig.pull()
    rig.take("new", 300.0)
    assert rig.does() == [(Do.END_REPLICA, idle, -1), (Do.LOAD, 3, "new")]
    rig.take("more", 400.0)
    assert rig.does() == [] and busy in rig.desk.replicas  # a copy at work never goes for room


def test_over_users():
    # seen MB of three copies told 200 each, and whether each works; a load of 200 is under way; what goes
    table = [
        ((190.0, 190.0, 190.0), (1, 1, 1), [], False),
        ((210.0, 190.0, 190.0), (1, 1, 1), [], False),  # within the growth that is allowed
        ((450.0, 190.0, 190.0), (1, 1, 1), [0], False),
        ((450.0, 190.0, 190.0), (1, 0, 1), [1, 0], False),  # the idle one first, then the over-user
        ((300.0, 190.0, 500.0), (1, 1, 1), [2], False),  # the worst one
        ((235.0, 235.0, 235.0), (1, 1, 1), [], True),  # nobody much: the newest load
        ((235.0, 235.0, 235.0), (0, 1, 1), [0], False),
    ]
    for seen, works, going, load_goes in table:
        rig = Rig(budget_mb=820.0)
        ids = [rig.load(f"f{i}", 200.0) for i in range(3)]
        for i, busy in enumerate(works):
            if busy:
                rig.take(f"f{i}", 200.0)
        waiting = rig.take("new", 200.0)
        rig.pull()
        rig.desk.memory_seen(rig.now, 0.0, dict(zip(ids, seen, strict=True)))
        acts = rig.pull()
        assert [ids.index(a.copy) for a in acts if a.do is Do.END_REPLICA] == going, seen
        assert any(a.do is Do.DROP_LOAD for a in acts) == load_goes
        ended = {s for s, o, _ in rig.ends if o == ERROR}
        assert len(ended) == sum(works[i] for i in going)  # its requests may have run
        assert ((waiting, FULL, UNTOLD) in rig.ends) == load_goes


def test_a_load_that_grows_while_it_starts():
    rig = Rig(budget_mb=820.0)
    modest = rig.load("modest", 200.0)
    rig.take("modest", 200.0)
    waiting = rig.take("greedy", 200.0)
    (load,) = [a.copy for a in rig.pull() if a.do is Do.LOAD]
    rig.desk.memory_seen(rig.now, 0.0, {modest: 190.0, load: 700.0})
    assert [(a.do, a.copy) for a in rig.pull()] == [(Do.DROP_LOAD, load)]
    assert rig.ends == [(waiting, FULL, UNTOLD)] and rig.desk.budget.used_mb() == 200.0


def test_failures_back_off_and_are_told_apart():
    loads = Loads(1, 10)
    waits = []
    for i in range(10):
        load = Load(i, "f", 1.0, 1, 0.0)
        loads.wish(load)
        loads.begin(load, 0.0)
        loads.failed(load, 0.0)
        waits.append(loads.barred_until("f"))
    assert waits[:3] == [BACK_OFF_MS, 2 * BACK_OFF_MS, 4 * BACK_OFF_MS] and waits[-1] == BACK_OFF_MOST_MS
    rig = Rig()
    first = rig.take()
    rig.pull()
    rig.desk.load_requested(rig.now, "o", 5, "f", 1, 300.0, 2)
    rig.desk.load_failed(rig.now, 1, "fetch cut")
    assert rig.does() == [] and rig.ends == [(first, MISS, LOAD_FAILED)] and rig.stood == [("o", 5, ERROR, 0)]
    again = rig.take()
    rig.desk.load_requested(rig.now, "o", 6, "f", 1, 300.0, 2)
    assert rig.does() == [] and rig.ends[1:] == [(again, MISS, LOAD_FAILED)] and rig.stood[1][2] == ERROR
    rig.pull(BACK_OFF_MS + 1.0)
    rig.take()
    assert rig.does() == [(Do.LOAD, 2, "f")] and rig.desk.budget.used_mb() == 300.0


def test_lanes_queue_and_more_copies():
    for more, loads in ((True, 1), (False, 0)):
        rig = Rig(more_replicas=more, queue=3)
        rig.load(lanes=2)
        serials = [rig.take() for _ in range(6)]
        acts = rig.pull()
        assert sum(a.do is Do.CALL for a in acts) == 2 and sum(a.do is Do.LOAD for a in acts) == loads
        assert [s for s, o, _ in rig.ends if o == FULL] == serials[3:]
    rig = Rig(slots=2)
    rig.load(lanes=4)
    for remaining in (3000.0, 3000.0, 3000.0):
        rig.take(remaining=remaining)
    assert sum(do is Do.CALL for do, *_ in rig.does()) == 2 and rig.desk.waits == 1
    first = next(iter(rig.desk.replicas.values())).calls
    rig.desk.call_ended(rig.now, 1, next(iter(first)), True, b"x")
    assert [do for do, *_ in rig.does()] == [Do.CALL]


def test_repeats_attach_and_inherit():
    rig = Rig()
    one = rig.take(keyed=2000.0, mark="m", front="a")
    two = rig.take(keyed=2000.0, mark="m", front="b")
    three = rig.take(keyed=2000.0, mark="m", front="c")
    rig.pull()
    rig.desk.cancelled(rig.now, "a", one, 0)  # the first leaves before it ran: the next takes its place
    rig.desk.load_stood(rig.now, 1)
    calls = [a for a in rig.pull() if a.do is Do.CALL]
    assert len(calls) == 1
    rig.desk.front_gone(rig.now, "b")  # and while it runs: it goes on for the third
    assert not any(a.do is Do.STOP_CALL for a in rig.pull())
    rig.desk.call_ended(rig.now, 1, calls[0].call, True, b"x")
    rig.pull()
    assert [(s, o) for s, o, _ in rig.ends] == [(three, SUCCEEDED)] and two not in dict.fromkeys(rig.ends)
    rig.take(keyed=2000.0, mark="m", front="d")
    rig.pull()
    assert rig.ends[-1][1:] == (SUCCEEDED, FOUND) and rig.desk.in_work == 0
    rig.pull(2100.0)
    rig.take(keyed=2000.0, mark="m", front="d")
    assert [do for do, *_ in rig.does()] == [Do.CALL]  # the mark is forgotten
    table = Repeats(marks_bound=3, bytes_bound=100)
    for i in range(6):
        table.came(str(i), "c", 0.0, 1e9)
        table.ended(str(i), True, b"x" * 30, 1.0)
    assert len(table.done) == 3 and table.bytes == 90 and table.forgotten_early == 3


def test_stops_and_their_grace():
    rig = Rig()
    rig.load()
    serial, beside = rig.take(), rig.take(remaining=9000.0)
    rig.pull()
    rig.desk.cancelled(rig.now, "a", serial, 0)
    assert [do for do, *_ in rig.does()] == [Do.STOP_CALL]
    acts = rig.pull(900.0)  # it ignores the stop
    assert [a.do for a in acts] == [Do.END_REPLICA] and "stop" in acts[0].text
    assert rig.ends == [(beside, ERROR, FOUND)] and rig.desk.in_work == 0
    rig = Rig()
    rig.load()
    rig.take(remaining=500.0)
    rig.pull()
    assert Do.STOP_CALL in [do for do, *_ in rig.does(600.0)]
    rig.desk.call_ended(rig.now, 1, 1, False, b"")
    rig.pull(1000.0)
    assert rig.ends == [] and rig.desk.replicas and rig.desk.empty()


def test_released_anew():
    rig = Rig(budget_mb=5000.0)
    id = rig.load()
    rig.take()
    rig.pull()
    rig.desk.released_anew(rig.now, "f", "another")
    rig.take()
    acts = rig.pull()
    assert [a.do for a in acts] == [Do.LOAD]  # the old copy takes nothing new
    rig.desk.call_ended(rig.now, id, 1, True, b"")
    assert [(a.do, a.copy) for a in rig.pull()] == [(Do.END_REPLICA, id)]
    rig.desk.load_told(rig.now, 2, "another", 300.0, 2)
    rig.desk.released_anew(rig.now, "f", "a third")  # and once more while it loads
    rig.desk.load_stood(rig.now, 2)
    acts = rig.pull()
    assert (Do.END_REPLICA, 2) in [(a.do, a.copy) for a in acts] and any(a.do is Do.LOAD for a in acts)


def test_drain():
    rig = Rig(loads_at_once=1)
    rig.load()
    running, loading, in_line = rig.take(), rig.take("g"), rig.take("h")
    rig.pull()
    rig.desk.drain(rig.now)
    refused = rig.take()
    rig.desk.load_requested(rig.now, "o", 7, "h", 1, 100.0, 1)
    rig.pull()
    assert (in_line, FULL, UNTOLD) in rig.ends and (refused, FULL, UNTOLD) in rig.ends
    assert rig.stood[-1][2] == FULL and not rig.desk.empty()
    rig.desk.call_ended(rig.now, 1, 1, True, b"")
    rig.desk.load_failed(rig.now, 2, "x")
    rig.pull()
    assert (running, SUCCEEDED, FOUND) in rig.ends and (loading, MISS, LOAD_FAILED) in rig.ends
    assert rig.desk.empty()


def test_keeper_prefers_what_is_dear_and_used():
    keeper = Keeper()
    for _ in range(8):
        keeper.used("hot", 0.0)
    keeper.used("cold", 0.0)
    keeper.idle(1, "hot", 100.0, 500.0, 0.0)
    keeper.idle(2, "cold", 100.0, 500.0, 0.0)
    keeper.idle(3, "cold", 800.0, 500.0, 0.0)  # as dear, but eight times the room
    assert list(keeper.least_first()) == [3, 2, 1]
    keeper.evicted(3)
    keeper.idle(4, "cold", 100.0, 500.0, 0.0)  # what falls idle later starts from the base: age counts
    assert list(keeper.least_first()) == [2, 4, 1]
    keeper.busy(2), keeper.busy(2)
    assert list(keeper.least_first()) == [4, 1]
    keeper.forget(1e9, {"hot"})
    assert set(keeper.uses) == {"hot"}


def test_budget_never_gives_the_same_room_twice():
    random_source = random.Random(2)
    budget, held = Budget(1000.0), {}
    for i in range(2000):
        if held and random_source.random() < 0.45:
            gone = random_source.choice(list(held))
            budget.give_back(gone)
            del held[gone]
        else:
            mb = random_source.uniform(10.0, 300.0)
            if budget.reserve(i, mb):
                held[i] = mb
        assert sum(held.values()) <= 1000.0 + 1e-6 and abs(budget.used_mb() - sum(held.values())) < 1e-6


def test_random_days_end_each_request_once():
    for seed in range(60):
        random_source = random.Random(seed)
        rig = Rig(
            budget_mb=900.0,
            more_replicas=random_source.random() < 0.5,
            answers_miss=random_source.random() < 0.3,
            queue=5,
            slots=4,
            line=3,
        )
        owed, calls, loads, cancelled = set(), [], [], set()
        for _ in range(250):
            what = random_source.randrange(10)
            if what <= 3:
                owed.add(
                    rig.take(
                        random_source.choice("fgh"),
                        random_source.choice([200.0, 400.0]),
                        keyed=random_source.choice([0, 500.0]),
                        mark=random_source.choice("xyz"),
                        remaining=random_source.choice([300.0, 5000.0]),
                        front=random_source.choice("ab"),
                    )
                )
            elif what == 4 and loads:
                load = loads.pop(random_source.randrange(len(loads)))
                if random_source.random() < 0.7:
                    rig.desk.load_told(rig.now, load, random_source.choice(["d1", "d2"]), 200.0, 2)
                    rig.desk.load_stood(rig.now, load)
                else:
                    rig.desk.load_failed(rig.now, load, "x")
            elif what in (5, 6) and calls:
                copy, call = calls.pop(random_source.randrange(len(calls)))
                if random_source.random() < 0.1:
                    rig.desk.replica_died(rig.now, copy, "x")
                else:
                    rig.desk.call_ended(rig.now, copy, call, random_source.random() < 0.8, b"x")
            elif what == 7 and owed:
                serial = random_source.choice(sorted(owed))
                for front in "ab":
                    rig.desk.cancelled(rig.now, front, serial, 0)
                cancelled.add(serial)
            elif what == 8:
                rig.desk.load_requested(
                    rig.now,
                    "a",
                    rig.serial,
                    random_source.choice("fgh"),
                    random_source.choice([0, 1, 2]),
                    200.0,
                    2,
                )
            elif random_source.random() < 0.3:
                rig.desk.memory_seen(
                    rig.now, 20.0, {c: random_source.uniform(50.0, 500.0) for c in rig.desk.replicas}
                )
            for act in rig.pull(random_source.choice([0.0, 20.0, 400.0])):
                if act.do is Do.CALL:
                    calls.append((act.copy, act.call))
                elif act.do is Do.LOAD:
                    loads.append(act.copy)
            desk = rig.desk
            assert (
                desk.budget.used_mb() <= 900.0 + 1e-6
                or not desk.budget.loading
                and not list(desk.keeper.least_first())
            ), seed
            assert desk.waits == sum(map(len, desk.waiting.values())) <= 5
            assert desk.in_work == sum(len(c.calls) for c in desk.replicas.values()) <= 4
            assert set(desk.budget.told) == set(desk.replicas) | set(desk.loads.under_way)
        rig.pull(6000.0)
        serials = [s for s, _, _ in rig.ends]
        assert len(serials) == len(set(serials)) and set(serials) <= owed, seed
        assert rig.desk.asks == {} and rig.desk.waits == 0, seed
