"""The scheduler and the order of shedding: tables, and thousands of random task sets."""

import math
import random

import pytest
from doubles import Log, clock

from petrelway.background.planner import OVERRUN, TASKS_BOUND, Class, Planner
from petrelway.background.running import Background, RefusedError
from petrelway.daemon.shedding import BACK, FROM, Shedder, Step


def planner(now=0.0, **changes):
    told = {"share": 0.2, "slice_ms": 4.0, "burst_ms": 8.0, "lag_ms": 20.0, "longest_wait_ms": 1000.0}
    return Planner(now, **(told | changes))


def test_order_of_classes_and_deadlines():
    p = planner(share=1.0, burst_ms=1e9)
    ids = {}
    for name, cls, deadline in (
        ("idle", Class.IDLE, 10.0),
        ("late", Class.PAGE, 900.0),
        ("soon", Class.PAGE, 100.0),
        ("live", Class.LIVE, 5.0),
        ("none", Class.PAGE, math.inf),
    ):
        ids[p.add(0.0, name, cls, deadline)] = name
    order = []
    while (s := p.next(1.0)) is not None:
        order.append(ids[s.task])
        p.done(s.task)
    assert order == ["soon", "late", "none", "live", "idle"]


def test_share_shrinks_with_the_lag_and_comes_back():
    p = planner()
    table = [(0.0, 1.0), (19.0, 1.0), (40.0, 0.5), (200.0, 0.1), (10_000.0, 0.05)]
    for lag, part in table:
        for _ in range(60):
            p.lag_seen(0.0, lag)
        assert abs(p.present_share() - 0.2 * part) < 0.01, lag
    for _ in range(60):
        p.lag_seen(0.0, 0.0)
    assert p.present_share() == 0.2


def test_overruns_are_named_and_paid_back():
    p = planner()
    id = p.add(0.0, "greedy", Class.PAGE)
    p.next(0.0)
    p.ran(100.0, id, 100.0)
    assert p.worst == {"greedy": 100.0} and p.counts["overruns"] == 1
    assert p.next(100.0) is None and 300.0 < p.wake(100.0) < 600.0  # 92 ms over, at a fifth of the time
    assert 100.0 > OVERRUN * p.slice_ms


def test_a_budget_of_its_own():
    p = planner(share=1.0, burst_ms=1e9)
    id = p.add(0.0, "log", Class.KEEP, rate=0.01, burst_ms=5.0)
    used, now = 0.0, 0.0
    while now < 10_000.0:
        if (s := p.next(now)) is not None:
            used += s.ms
            now += s.ms
            p.ran(now, id, s.ms)
        else:
            now += max(0.5, p.wake(now))
    assert 80.0 <= used <= 100.0 + 5.0 + 2 * p.slice_ms


def test_too_many_tasks_are_refused():
    p = planner()
    assert all(p.add(0.0, "x", Class.IDLE) > 0 for _ in range(TASKS_BOUND))
    assert p.add(0.0, "x", Class.IDLE) == -1 and p.counts["refused"] == 1


def test_random_task_sets_keep_budgets_and_starve_nobody():
    for seed in range(1500):
        random_source = random.Random(seed)
        share, longest = random_source.choice([0.05, 0.2, 0.5]), random_source.choice([200.0, 1000.0])
        p = planner(share=share, longest_wait_ms=longest)
        now, ran, last, used, overran = 0.0, {}, {}, 0.0, 0.0
        for i in range(random_source.randint(1, 8)):
            rate = random_source.choice([math.inf, math.inf, 0.02])
            id = p.add(
                0.0,
                f"t{i}",
                random_source.choice(list(Class)),
                random_source.uniform(0, 5000.0),
                rate,
                math.inf if math.isinf(rate) else 4.0,
            )
            ran[id], last[id] = 0, 0.0
        tasks, horizon = len(ran), 6000.0
        lagging = random_source.random() < 0.5
        while now < horizon:
            if lagging and random_source.random() < 0.2:
                p.lag_seen(now, random_source.uniform(0.0, 300.0))
            s = p.next(now)
            if s is None:
                now += min(50.0, max(0.2, p.wake(now)))
                continue
            took = s.ms * random_source.choice([0.3, 1.0, 1.0, 1.5])
            overran += max(0.0, took - s.ms) if not s.forced else 0.0
            used += took
            wait = now - last[s.task]
            # one that waits its turn among the forced: at most each other one before it
            assert wait <= longest + tasks * (1.5 * p.slice_ms) + 60.0, (seed, wait)
            now += took
            last[s.task] = now
            ran[s.task] += 1
            p.ran(now, s.task, took)
        forced = p.counts["forced"] * 1.5 * p.slice_ms
        assert used <= share * horizon + p.burst_ms + overran + forced + 1.5 * p.slice_ms, (seed, used)
        assert all(ran.values()), seed
        # forced slices are few: one for each task in the longest wait
        assert p.counts["forced"] <= tasks * (horizon / longest + 1)


def test_tasks_run_in_slices_between_other_calls():
    c, log, ticks = clock(), Log(), [0.0]

    def meter():
        ticks[0] += 0.001  # each look takes a ms
        return ticks[0]

    b = Background(c, planner(c.seconds() * 1e3, share=0.5), meter, log)
    b.start()

    def count(to):
        for _ in range(to):
            yield
        return to

    def sick():
        yield
        raise ZeroDivisionError("sick")

    def waits():
        yield 200.0
        return c.seconds()

    got, between = [], []
    began = c.seconds()
    for steps in (count(50), sick(), waits()):
        b.run("t", Class.PAGE, steps).addBoth(got.append)
    gone = b.run("gone", Class.IDLE, count(10**9))
    gone.addErrback(lambda f: got.append("cancelled"))
    gone.cancel()
    for _ in range(400):
        c.advance(0.002)
        between.append(len(got))
    assert got[0] == "cancelled" and 50 in got and len(got) == 4
    assert any(getattr(g, "type", None) is ZeroDivisionError for g in got) and log.events() == [
        "background task failed"
    ]
    assert any(isinstance(g, float) and g - began >= 0.2 for g in got) and len(set(between)) > 2
    b.run("left", Class.IDLE, count(10**9)).addErrback(lambda f: got.append("closed"))
    b.close()
    assert got[-1] == "closed" and c.getDelayedCalls() == []
    failed = []
    b.run("late", Class.IDLE, count(1)).addErrback(lambda f: failed.append(f.type))
    assert failed == [RefusedError]


def test_a_clock_that_steps_back():
    c = clock()
    b = Background(c, planner(c.seconds() * 1e3), lambda: 0.0, Log())
    b.start()
    b.due_s += 3600.0  # as if the clock had gone back an hour before the look
    c.advance(0.06)
    assert b.planner.lag_ms == 0.0
    b.close()


def shedder(portions=(0.5, 0.5)):
    return Shedder(list(portions), 50.0, 1000, 1 << 20, 100, random.Random(1))


def press(s, pressure):
    s.seen(pressure * s.lag_ms, 0, 0, 0)


def test_the_order_of_what_is_given_up():
    # pressure, step; is a first try in its share, a repeat, one over its share rejected
    table = [
        (0.0, Step.ALL_WELL, False, False, False),
        (0.85, Step.SLOW_PAGES, False, False, False),
        (1.05, Step.REPEATS, False, True, False),
        (1.3, Step.OVER_SHARE, False, True, True),
        (1.6, Step.FAIR_PART, None, True, True),
        (2.5, Step.ALL, True, True, True),
    ]
    for pressure, step, fair, repeat, over in table:
        s = shedder()
        s.asked = [(200.0, 0.0), (20.0, 0.0), (220.0, 0.0)]  # the first tenant sends ten times the other's
        press(s, pressure)
        assert s.step is step
        assert bool(s.shut()) == (step is Step.ALL), pressure
        assert bool(s.ask(0.0, 0, False)) == over, pressure
        assert bool(s.ask(0.0, 1, True)) == repeat, pressure
        if fair is not None:
            assert bool(s.ask(0.0, 1, False)) == fair, pressure


def test_each_bound_counts_and_steps_do_not_flutter():
    for state in ((55.0, 0, 0, 0), (0.0, 1100, 0, 0), (0.0, 0, 1100 << 10, 0), (0.0, 0, 0, 110)):
        s = shedder()
        s.seen(*state)
        assert s.step is Step.REPEATS, state
    s = shedder()
    press(s, 1.0)
    press(s, 0.95)
    assert s.step is Step.REPEATS  # held down to the part of its bound
    press(s, BACK * FROM[Step.REPEATS] - 0.01)
    assert s.step is Step.SLOW_PAGES
    press(s, 0.0)
    assert s.step is Step.ALL_WELL


def test_a_fair_part_of_each_share():
    for pressure, least, most in ((1.55, 0.85, 0.95), (1.75, 0.45, 0.55), (1.95, 0.05, 0.15)):
        s = shedder((0.7, 0.2, 0.1))
        press(s, pressure)
        random_source, taken, asked = random.Random(2), [0, 0, 0], [0, 0, 0]
        for i in range(6000):
            tenant = random_source.choices(range(3), (0.7, 0.2, 0.1))[0]
            asked[tenant] += 1
            taken[tenant] += not s.ask(i * 0.5, tenant, False)
        for t, a in zip(taken, asked, strict=True):
            assert least - 0.12 <= t / a <= most + 0.02, (pressure, taken, asked)


def test_retry_times_are_bounded_and_spread():
    s = shedder()
    press(s, 2.0)
    waits = {round(s.ask(0.0, 0, False), 3) for _ in range(50)}
    assert len(waits) > 40 and all(400.0 < w < 1200.0 for w in waits)
    press(s, 1e6)
    assert s.ask(0.0, 0, False) == 5000.0 and s.rejected["all"] == 51


@pytest.mark.parametrize("portions", [[], [0.0, 0.0]])
def test_untold_shares(portions):
    s = shedder(portions)
    press(s, 1.3)
    assert s.ask(0.0, 0, False) == 0.0
