"""The worker's call scheduler: queue, concurrency, loads, memory, deduplication, drain; random days."""

import random

from petrelway.wire.outcomes import ExecutorOutcome, ReplicaWarmth
from petrelway.worker.actions import ActionKind
from petrelway.worker.call_scheduler import CallScheduler
from petrelway.worker.load_scheduler import INITIAL_BACKOFF_MS
from petrelway.worker.request_identity import identify
from petrelway.worker.scheduler_state import Attempt, SchedulerConfig

SUCCEEDED = ExecutorOutcome.SUCCEEDED
ERROR = ExecutorOutcome.ERROR
FULL = ExecutorOutcome.FULL
MISS = ExecutorOutcome.MISS
CONFLICT = ExecutorOutcome.CONFLICT
UNKNOWN = ReplicaWarmth.UNKNOWN
WARM = ReplicaWarmth.WARM
LOAD_FAILED = ReplicaWarmth.LOAD_FAILED


class Rig:
    def __init__(self, **changes):
        defaults = {
            "memory_mb": 1000.0,
            "max_concurrent_loads": 2,
            "load_queue_bound": 8,
            "max_concurrent_calls": 8,
            "call_queue_bound": 6,
            "idle_timeout_ms": 5000.0,
            "scale_out": False,
            "answers_miss": False,
            "load_patience_ms": 4000.0,
            "stop_grace_ms": 300.0,
        }
        self.now = 1000.0
        self.scheduler = CallScheduler(self.now, SchedulerConfig(**(defaults | changes)))
        self.serial = 0
        self.actions = []
        self.answers = []
        self.load_answers = []

    def take(
        self,
        function="f",
        mb=300.0,
        concurrency=2,
        window=0.0,
        key="",
        remaining=3000.0,
        front="a",
        tenant="c",
        body=b"",
    ):
        self.serial += 1
        identity = identify(tenant, key or str(self.serial), function, "t", body) if window else None
        attempt = Attempt(
            front_end=front,
            serial=self.serial,
            number=0,
            function=function,
            memory_mb=mb,
            concurrency=concurrency,
            body=body,
            identity=identity,
            deduplication_window_ms=window,
        )
        self.scheduler.attempt_received(self.now, attempt, remaining)
        return self.serial

    def advance(self, ms=0.0):
        """Decisions now, and as time passes; the actions that are no answers and no timers."""
        found, until = [], self.now + ms
        while True:
            while (action := self.scheduler.next_action(self.now)) is not None:
                if action.kind is ActionKind.ANSWER_ATTEMPT:
                    self.answers.append((action.serial, action.outcome, action.warmth))
                elif action.kind is ActionKind.ANSWER_LOAD_REQUEST:
                    self.load_answers.append((action.front_end, action.serial, action.outcome, action.number))
                elif action.kind is not ActionKind.SET_TIMER:
                    found.append(action)
            if self.scheduler.timer_ms > until:
                self.now = until
                self.actions += found
                return found
            self.now = max(self.now, self.scheduler.timer_ms)
            self.scheduler.timer_fired(self.now)

    def advance_summary(self, ms=0.0):
        return [
            (action.kind, action.replica_id, action.function or action.call_id) for action in self.advance(ms)
        ]

    def load(self, function="f", mb=300.0, concurrency=2):
        """Load a replica of a function; its id."""
        self.scheduler.load_requested(self.now, "o", 99, function, 1, mb, concurrency)
        (id,) = [action.replica_id for action in self.advance() if action.kind is ActionKind.START_LOAD]
        self.scheduler.load_described(self.now, id, f"digest of {function}", mb, concurrency)
        self.scheduler.load_completed(self.now, id)
        self.advance()
        return id


def test_loads_start_by_earliest_deadline():
    rig = Rig(max_concurrent_loads=1, memory_mb=5000.0)
    rig.take("first", remaining=3000.0)
    assert rig.advance_summary() == [(ActionKind.START_LOAD, 1, "first")]
    rig.scheduler.load_requested(rig.now, "o", 1, "load_requested", 1, 100.0, 1)  # its patience: 4000 ms
    rig.take("late", remaining=3500.0)
    rig.take("urgent", remaining=900.0)
    left = rig.take("left")
    rig.scheduler.attempt_cancelled(rig.now, "a", left, 0)
    order = []
    for _ in range(4):
        load = next(iter(rig.scheduler.state.loads.in_progress))
        rig.scheduler.load_failed(rig.now, load, "x")
        order += [f for kind, _, f in rig.advance_summary() if kind is ActionKind.START_LOAD]
    assert order == ["urgent", "late", "load_requested"] and rig.scheduler.state.counts["load abandoned"] == 1


def test_memory_is_reserved_before_the_fetch():
    rig = Rig(memory_mb=700.0)
    rig.take("f", 400.0), rig.take("g", 400.0)
    assert rig.advance_summary() == [(ActionKind.START_LOAD, 1, "f")]  # there is no memory for the other one
    rig.scheduler.load_described(rig.now, 1, "d", 800.0, 2)  # the manifest says more than there is
    assert (ActionKind.CANCEL_LOAD, 1, "f") in rig.advance_summary() and rig.answers == [(1, FULL, UNKNOWN)]
    assert next(iter(rig.scheduler.state.loads.in_progress.values())).function == "g"
    rig.take("big", 900.0)
    rig.advance()
    assert rig.answers[-1] == (3, FULL, UNKNOWN)  # never fits
    rig = Rig(memory_mb=700.0)
    busy, idle = rig.load("busy"), rig.load("idle")
    rig.take("busy")
    rig.advance()
    rig.take("new", 300.0)
    assert rig.advance_summary() == [(ActionKind.END_REPLICA, idle, -1), (ActionKind.START_LOAD, 3, "new")]
    rig.take("more", 400.0)
    assert (
        rig.advance_summary() == [] and busy in rig.scheduler.state.replicas
    )  # a busy replica never goes for memory


def test_replicas_over_their_declared_memory():
    # measured MB of three replicas that declared 200 each, whether each is busy, which are ended, and
    # whether the load of 200 MB that is in progress is cancelled
    table = [
        ((190.0, 190.0, 190.0), (1, 1, 1), [], False),
        ((210.0, 190.0, 190.0), (1, 1, 1), [], False),  # within the growth that is allowed
        ((450.0, 190.0, 190.0), (1, 1, 1), [0], False),
        (
            (450.0, 190.0, 190.0),
            (1, 0, 1),
            [1, 0],
            False,
        ),  # the idle one first, then the replica over its limit
        ((300.0, 190.0, 500.0), (1, 1, 1), [2], False),  # the worst one
        ((235.0, 235.0, 235.0), (1, 1, 1), [], True),  # nobody much: the newest load
        ((235.0, 235.0, 235.0), (0, 1, 1), [0], False),
    ]
    for seen, works, going, load_goes in table:
        rig = Rig(memory_mb=820.0)
        ids = [rig.load(f"f{i}", 200.0) for i in range(3)]
        for i, busy in enumerate(works):
            if busy:
                rig.take(f"f{i}", 200.0)
        waiting = rig.take("new", 200.0)
        rig.advance()
        rig.scheduler.memory_measured(rig.now, 0.0, dict(zip(ids, seen, strict=True)))
        actions = rig.advance()
        assert [
            ids.index(action.replica_id) for action in actions if action.kind is ActionKind.END_REPLICA
        ] == going, seen
        assert any(action.kind is ActionKind.CANCEL_LOAD for action in actions) == load_goes
        ended = {s for s, o, _ in rig.answers if o == ERROR}
        assert len(ended) == sum(works[i] for i in going)  # its requests may have run
        assert ((waiting, FULL, UNKNOWN) in rig.answers) == load_goes


def test_a_load_that_grows_while_it_starts():
    rig = Rig(memory_mb=820.0)
    modest = rig.load("modest", 200.0)
    rig.take("modest", 200.0)
    waiting = rig.take("greedy", 200.0)
    (load,) = [action.replica_id for action in rig.advance() if action.kind is ActionKind.START_LOAD]
    rig.scheduler.memory_measured(rig.now, 0.0, {modest: 190.0, load: 700.0})
    assert [(action.kind, action.replica_id) for action in rig.advance()] == [(ActionKind.CANCEL_LOAD, load)]
    assert rig.answers == [(waiting, FULL, UNKNOWN)] and rig.scheduler.state.budget.used_mb() == 200.0


def test_failed_loads_reject_attempts_until_the_backoff_is_over():
    rig = Rig()
    first = rig.take()
    rig.advance()
    rig.scheduler.load_requested(rig.now, "o", 5, "f", 1, 300.0, 2)
    rig.scheduler.load_failed(rig.now, 1, "fetch cut")
    assert (
        rig.advance_summary() == []
        and rig.answers == [(first, MISS, LOAD_FAILED)]
        and rig.load_answers == [("o", 5, ERROR, 0)]
    )
    again = rig.take()
    rig.scheduler.load_requested(rig.now, "o", 6, "f", 1, 300.0, 2)
    assert (
        rig.advance_summary() == []
        and rig.answers[1:] == [(again, MISS, LOAD_FAILED)]
        and rig.load_answers[1][2] == ERROR
    )
    rig.advance(INITIAL_BACKOFF_MS + 1.0)
    rig.take()
    assert (
        rig.advance_summary() == [(ActionKind.START_LOAD, 2, "f")]
        and rig.scheduler.state.budget.used_mb() == 300.0
    )


def test_concurrency_queue_and_scale_out():
    for more, loads in ((True, 1), (False, 0)):
        rig = Rig(scale_out=more, call_queue_bound=3)
        rig.load(concurrency=2)
        serials = [rig.take() for _ in range(6)]
        actions = rig.advance()
        assert (
            sum(action.kind is ActionKind.START_CALL for action in actions) == 2
            and sum(action.kind is ActionKind.START_LOAD for action in actions) == loads
        )
        assert [s for s, o, _ in rig.answers if o == FULL] == serials[3:]
    rig = Rig(max_concurrent_calls=2)
    rig.load(concurrency=4)
    for remaining in (3000.0, 3000.0, 3000.0):
        rig.take(remaining=remaining)
    assert (
        sum(kind is ActionKind.START_CALL for kind, *_ in rig.advance_summary()) == 2
        and rig.scheduler.state.waiting_count == 1
    )
    first = next(iter(rig.scheduler.state.replicas.values())).calls
    rig.scheduler.call_ended(rig.now, 1, next(iter(first)), True, b"x")
    assert [kind for kind, *_ in rig.advance_summary()] == [ActionKind.START_CALL]


def test_repeats_attach_and_are_promoted():
    rig = Rig()
    one = rig.take(window=2000.0, key="m", front="a")
    two = rig.take(window=2000.0, key="m", front="b")
    three = rig.take(window=2000.0, key="m", front="c")
    rig.advance()
    rig.scheduler.attempt_cancelled(
        rig.now, "a", one, 0
    )  # the first leaves before it ran: the next takes its place
    rig.scheduler.load_completed(rig.now, 1)
    calls = [action for action in rig.advance() if action.kind is ActionKind.START_CALL]
    assert len(calls) == 1
    rig.scheduler.front_end_disconnected(rig.now, "b")  # and while it runs: it goes on for the third
    assert not any(action.kind is ActionKind.STOP_CALL for action in rig.advance())
    rig.scheduler.call_ended(rig.now, 1, calls[0].call_id, True, b"x")
    rig.advance()
    assert [(s, o) for s, o, _ in rig.answers] == [(three, SUCCEEDED)] and two not in dict.fromkeys(
        rig.answers
    )
    rig.take(window=2000.0, key="m", front="d")
    rig.advance()
    assert rig.answers[-1][1:] == (SUCCEEDED, WARM) and rig.scheduler.state.running_count == 0
    rig.advance(2100.0)
    rig.take(window=2000.0, key="m", front="d")
    assert [kind for kind, *_ in rig.advance_summary()] == [ActionKind.START_CALL]  # the key is forgotten


def test_a_key_stands_for_one_request_of_one_tenant():
    """Guard against an attempt that waits for, or gets, the answer to another request."""
    rig = Rig()
    rig.load(concurrency=4)
    first = rig.take(window=2000.0, key="m", body=b"1")
    asked = [
        rig.take(window=2000.0, key="m", body=b"2"),
        rig.take(window=2000.0, key="m", body=b"1", function="g"),
    ]
    rig.take(window=2000.0, key="m", body=b"2", tenant="other")  # its own key: it runs
    calls = [action for action in rig.advance() if action.kind is ActionKind.START_CALL]
    assert [call.body for call in calls] == [b"1", b"2"]
    assert rig.answers == [(serial, CONFLICT, UNKNOWN) for serial in asked]
    rig.scheduler.call_ended(rig.now, 1, calls[0].call_id, True, b"x")
    late = rig.take(window=2000.0, key="m", body=b"2")
    repeat = rig.take(window=2000.0, key="m", body=b"1")
    rig.advance()
    assert rig.answers[2:] == [(first, SUCCEEDED, WARM), (late, CONFLICT, UNKNOWN), (repeat, SUCCEEDED, WARM)]
    assert rig.scheduler.state.counts["key conflict"] == 3


def test_a_key_in_conflict_leaves_the_first_request_and_its_repeats_alone():
    """Guard against a conflict that frees the key, so that the first request runs again."""
    rig = Rig()
    rig.load()
    first = rig.take(window=2000.0, key="m", body=b"1")
    rig.advance()
    clash = rig.take(window=2000.0, key="m", body=b"2")
    rig.scheduler.attempt_cancelled(rig.now, "a", clash, 0)
    repeat = rig.take(window=2000.0, key="m", body=b"1", front="b")
    assert not any(action.kind is ActionKind.START_CALL for action in rig.advance())
    rig.scheduler.call_ended(rig.now, 1, next(iter(rig.scheduler.state.replicas[1].calls)), True, b"x")
    rig.advance()
    assert rig.answers == [(clash, CONFLICT, UNKNOWN), (first, SUCCEEDED, WARM), (repeat, SUCCEEDED, WARM)]


def test_stopped_calls_and_their_grace():
    rig = Rig()
    rig.load()
    serial, beside = rig.take(), rig.take(remaining=9000.0)
    rig.advance()
    rig.scheduler.attempt_cancelled(rig.now, "a", serial, 0)
    assert [kind for kind, *_ in rig.advance_summary()] == [ActionKind.STOP_CALL]
    actions = rig.advance(900.0)  # it ignores the stop
    assert [action.kind for action in actions] == [ActionKind.END_REPLICA] and "stop" in actions[0].reason
    assert rig.answers == [(beside, ERROR, WARM)] and rig.scheduler.state.running_count == 0
    rig = Rig()
    rig.load()
    rig.take(remaining=500.0)
    rig.advance()
    assert ActionKind.STOP_CALL in [kind for kind, *_ in rig.advance_summary(600.0)]
    rig.scheduler.call_ended(rig.now, 1, 1, False, b"")
    rig.advance(1000.0)
    assert rig.answers == [] and rig.scheduler.state.replicas and rig.scheduler.is_empty()


def test_new_releases():
    rig = Rig(memory_mb=5000.0)
    id = rig.load()
    rig.take()
    rig.advance()
    rig.scheduler.release_changed(rig.now, "f", "another")
    rig.take()
    actions = rig.advance()
    assert [action.kind for action in actions] == [ActionKind.START_LOAD]  # the old replica takes nothing new
    rig.scheduler.call_ended(rig.now, id, 1, True, b"")
    assert [(action.kind, action.replica_id) for action in rig.advance()] == [(ActionKind.END_REPLICA, id)]
    rig.scheduler.load_described(rig.now, 2, "another", 300.0, 2)
    rig.scheduler.release_changed(rig.now, "f", "a third")  # and once more while it loads
    rig.scheduler.load_completed(rig.now, 2)
    actions = rig.advance()
    assert (ActionKind.END_REPLICA, 2) in [(action.kind, action.replica_id) for action in actions] and any(
        action.kind is ActionKind.START_LOAD for action in actions
    )


def test_drain():
    rig = Rig(max_concurrent_loads=1)
    rig.load()
    running, loading, in_line = rig.take(), rig.take("g"), rig.take("h")
    rig.advance()
    rig.scheduler.drain(rig.now)
    refused = rig.take()
    rig.scheduler.load_requested(rig.now, "o", 7, "h", 1, 100.0, 1)
    rig.advance()
    assert (in_line, FULL, UNKNOWN) in rig.answers and (refused, FULL, UNKNOWN) in rig.answers
    assert rig.load_answers[-1][2] == FULL and not rig.scheduler.is_empty()
    rig.scheduler.call_ended(rig.now, 1, 1, True, b"")
    rig.scheduler.load_failed(rig.now, 2, "x")
    rig.advance()
    assert (running, SUCCEEDED, WARM) in rig.answers and (loading, MISS, LOAD_FAILED) in rig.answers
    assert rig.scheduler.is_empty()


def test_random_days_end_each_request_once():
    for seed in range(60):
        random_source = random.Random(seed)
        rig = Rig(
            memory_mb=900.0,
            scale_out=random_source.random() < 0.5,
            answers_miss=random_source.random() < 0.3,
            call_queue_bound=5,
            max_concurrent_calls=4,
            load_queue_bound=3,
        )
        owed, calls, loads, cancelled = set(), [], [], set()
        for _ in range(250):
            what = random_source.randrange(10)
            if what <= 3:
                owed.add(
                    rig.take(
                        random_source.choice("fgh"),
                        random_source.choice([200.0, 400.0]),
                        window=random_source.choice([0, 500.0]),
                        key=random_source.choice("xyz"),
                        remaining=random_source.choice([300.0, 5000.0]),
                        front=random_source.choice("ab"),
                    )
                )
            elif what == 4 and loads:
                load = loads.pop(random_source.randrange(len(loads)))
                if random_source.random() < 0.7:
                    rig.scheduler.load_described(rig.now, load, random_source.choice(["d1", "d2"]), 200.0, 2)
                    rig.scheduler.load_completed(rig.now, load)
                else:
                    rig.scheduler.load_failed(rig.now, load, "x")
            elif what in (5, 6) and calls:
                replica, call = calls.pop(random_source.randrange(len(calls)))
                if random_source.random() < 0.1:
                    rig.scheduler.replica_died(rig.now, replica, "x")
                else:
                    rig.scheduler.call_ended(rig.now, replica, call, random_source.random() < 0.8, b"x")
            elif what == 7 and owed:
                serial = random_source.choice(sorted(owed))
                for front in "ab":
                    rig.scheduler.attempt_cancelled(rig.now, front, serial, 0)
                cancelled.add(serial)
            elif what == 8:
                rig.scheduler.load_requested(
                    rig.now,
                    "a",
                    rig.serial,
                    random_source.choice("fgh"),
                    random_source.choice([0, 1, 2]),
                    200.0,
                    2,
                )
            elif random_source.random() < 0.3:
                rig.scheduler.memory_measured(
                    rig.now,
                    20.0,
                    {c: random_source.uniform(50.0, 500.0) for c in rig.scheduler.state.replicas},
                )
            for action in rig.advance(random_source.choice([0.0, 20.0, 400.0])):
                if action.kind is ActionKind.START_CALL:
                    calls.append((action.replica_id, action.call_id))
                elif action.kind is ActionKind.START_LOAD:
                    loads.append(action.replica_id)
            state = rig.scheduler.state
            assert state.budget.used_mb() <= 900.0 + 1e-6 or (
                not state.budget.loading and not list(state.eviction.lowest_first())
            ), seed
            assert state.waiting_count == sum(map(len, state.waiting.values())) <= 5
            assert state.running_count == sum(len(c.calls) for c in state.replicas.values()) <= 4
            assert set(state.budget.declared_mb) == set(state.replicas) | set(state.loads.in_progress)
        rig.advance(6000.0)
        serials = [s for s, _, _ in rig.answers]
        assert len(serials) == len(set(serials)) and set(serials) <= owed, seed
        assert rig.scheduler.state.attempts == {} and rig.scheduler.state.waiting_count == 0, seed
