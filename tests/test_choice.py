"""The design's choice, the guards, and odd input."""

from helpers import START, Host, verbs

from petrelway.interface import Outcome, Stage, Verb


def test_the_page():
    # others' backlog at 0 and 1 (both skilled), own in flight there, chosen: 2 is unskilled
    table = [
        ((0, 0), (0, 1), {0}),  # the least weighted backlog
        ((6, 2), (0, 0), {1}),
        ((90, 90), (0, 0), {0, 1}),  # a free lane by our count: not passed over, however large the backlog
        ((0, 0), (1, 0), {1}),
        ((90, 95), (2, 2), {2}),  # no free lane and past variance x mean: overflow
        ((0, 0), (2, 2), {0, 1}),  # no free lane, but not past it
    ]
    for others, own, expected in table:
        host = Host(9)
        host.teach(0)
        host.teach(1)
        f = host.fe.functions[0]
        for e in range(2):
            x = host.fe.executors[e]
            x.others, x.report_ms = others[e], host.now
            x.lanes_used[0] = own[e]
            if own[e]:
                x.out = {(-k, 0): None for k in range(own[e])}
        chosen = host.fe.choose(f, host.fe.ready, host.now).listing.executor
        assert (chosen in expected) if expected != {2} else chosen >= 2, (others, own, chosen)


def test_shared_rank():
    """Two front ends that number the executors differently load a function at the same one."""
    hosts = Host(6), Host(6)
    for name in ("f3", "f4", "f5"):
        f = [h.fe for h in hosts]
        picks = []
        for fe in f:
            fe.function_named(START, 99, name, 1.0, 1, 1.0)
            picks.append(fe.choose(fe.functions[99], fe.ready[::-1] if fe is f[1] else fe.ready, START))
        assert picks[0].listing.stable == picks[1].listing.stable


def test_miss_orders_once_and_waits():
    # what the order answers -> what follows
    for outcome, copies, expected in ((Outcome.FULFILLED, 1, "SEND"), (Outcome.FULL, 0, "SEND")):
        host = Host(3, misses=True)
        t, u = host.take(), host.take()
        sends = host.pull()
        for x, d in zip((t, u), sends):
            host.end(x, Outcome.MISS, executor=d.executor)
        found = host.pull(5.0)
        assert verbs(found) == ["ORDER"]  # one for both
        host.fe.order_answered(host.now, found[0].executor, 0, outcome, copies, 400.0)
        after = host.pull()
        assert verbs(after) == [expected, expected]
        if copies:
            assert {d.executor for d in after} == {found[0].executor}


def test_ailing_gets_a_trial_now_and_then():
    """Danger: an executor that fails fast looks idle."""
    host = Host(3)
    host.teach(0)
    for _ in range(4):
        if host.fe.executors[0].ill:
            host.fe.executors[0].trial_at = host.now + 1e6
        t = host.take()
        d = host.pull()[0]
        host.end(t, Outcome.ERROR, executor=d.executor)
        if d.executor != 0:
            break
        again = host.pull()[0]
        host.end(t, Outcome.FULFILLED, number=1, executor=again.executor)
        host.fe.executors[again.executor].resume.clear()
    assert host.fe.ailing(host.fe.executors[0], host.now) and d.executor != 0
    host.fe.executors[0].trial_at = host.now
    host.take(5)
    assert host.pull(0.0)[-1].executor == 0  # the trial


def test_silent_is_rescued():
    """Danger: an executor takes triggers and answers none."""
    host = Host(3)
    for function in range(3):
        host.teach(0, function)
    for function in range(3):
        host.take(function)
    first = [d for d in host.pull() if d.verb is Verb.SEND]
    assert [d.executor for d in first] == [0, 0, 0]
    later = [d for d in host.pull(900.0) if d.verb is Verb.SEND]
    assert len(later) == 3 and all(d.executor != 0 for d in later)
    assert host.fe.ailing(host.fe.executors[0], host.now)


def test_crowded_holds_then_nacks():
    """Danger: in an overload all is answered late."""
    host = Host(2)
    for function in range(2):
        host.teach(function, function)
        host.take(function)
        host.pull()
        host.fe.executors[function].limit = 1.0
    t = host.take(0)
    assert verbs(host.pull(250.0)) == []  # held for a place
    assert verbs(host.pull(200.0)) == ["NACK"] and t not in host.fe.triggers


def test_restart_and_memory():
    host = Host(2)
    host.teach(0)
    host.lists({0: Stage.READY, 1: Stage.READY}, started={0: START + 1.0})
    assert host.fe.executors[0].resume == {}  # a new process knows nothing
    host.teach(1, 7)
    host.lists({1: Stage.READY})
    host.pull(9000.0)
    assert 7 not in host.fe.executors[1].resume  # idle past the told least keep-alive
    host.pull(70000.0)
    free = host.fe.released()
    assert free.executors == [0] and sorted(free.functions) == [0, 7] and len(free.triggers) == 2
    assert not host.fe.functions and not host.fe.triggers and list(host.fe.executors) == [1]
    host.end(1, Outcome.FULFILLED)  # late, unknown: nothing happens
    host.fe.client_gone(host.now, 1)
    host.fe.order_answered(host.now, 0, 0, Outcome.FULFILLED, 1, 1.0)
    host.fe.probe_answered(host.now, 0, {"queue": 1.0})
    assert host.pull() == []


def test_overflow_needs_an_open_fleet():
    """Danger: in an overload every function overflows at once, and the loads make all slower."""
    # crowded of 8 executors, own loads under way, function's own load under way, does it overflow
    for crowded, loads, own, expected in ((1, 0, False, True), (3, 0, False, False), (1, 2, False, False),
                                          (1, 0, True, False)):
        host = Host(8)
        host.teach(0)
        f, e = host.fe.functions[0], host.fe.executors
        for index in range(crowded):
            e[index].limit = 0.0
        for index in range(loads):
            e[7].orders[90 + index] = host.now
        if own:
            e[7].orders[0] = host.now
        chosen = host.fe.choose(f, host.fe.ready, host.now)
        assert (chosen is not None) == expected, (crowded, loads, own)


def test_who_gives_way():
    """Danger: in a jam clients ask again, and their repeats must not push out what is new."""
    # repeat, customer's first tries a second against its told rate, nacked at once
    for repeat, beyond, expected in ((False, False, []), (True, False, ["NACK"]), (False, True, ["NACK"])):
        host = Host(2, rate=20.0)
        host.teach(0)
        for e in host.fe.ready:
            e.full_until = host.now + 150.0
        host.fe.demand[0] = [200.0 if beyond else 1.0, host.now]
        host.fe.trigger_taken(host.now, 99, 0, 0, 0, 4000.0, 100.0, repeat)
        assert verbs(host.pull()) == expected, (repeat, beyond)


def test_full_is_no_illness():
    host = Host(2)
    for _ in range(20):
        t = host.take()
        host.end(t, Outcome.FULL, executor=host.pull()[0].executor)
        host.pull(70.0)
    assert not any(host.fe.ailing(e, host.now) for e in host.fe.ready)
    assert [e.limit for e in host.fe.ready] == [e.limit for e in Host(2).fe.ready]
