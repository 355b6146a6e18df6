"""Which executor a request goes to: the design's ordinary path, overflow and the preferred executors."""

from helpers import Host, ask

from petrelway.routing.selection import SAMPLE_SIZE
from petrelway.routing.state import Attempt
from petrelway.routing.types import Stage


def test_the_ordinary_path_of_the_design():
    # own requests of the function and of others at 0 and 1 (both skilled), chosen: 2 and up are unskilled
    table = [
        ((0, 0), (0, 1), {0}),  # the least weighted backlog
        ((0, 0), (3, 1), {1}),
        ((0, 0), (9, 9), {0, 1}),  # a free slot by our count: not passed over, however large the backlog
        ((1, 0), (0, 0), {1}),
        ((2, 2), (7, 8), "unskilled"),  # no free slot and past variance x mean: overflow
        ((2, 2), (0, 0), {0, 1}),  # no free slot, but not past it
    ]
    for own, others, expected in table:
        host = Host(9)
        host.teach(0)
        host.teach(1)
        host.rich()
        host.fe.mean_ms = host.fe.mean_cost_ms = 100.0
        host.take(1)
        for e in range(2):
            x = host.fe.executors[e]
            f, g = host.fe.functions[0], host.fe.functions[1]
            x.in_flight = {
                (-k, 0): Attempt(0, x, f if k < own[e] else g, 0.0, 0.0) for k in range(own[e] + others[e])
            }
        host.fe.attempts_in_flight = sum(own + others)
        chosen = ask(host).endpoint.executor
        assert (chosen >= 2) if expected == "unskilled" else chosen in expected, (own, others, chosen)


def test_shared_rank():
    """Two front ends that number the executors differently load a function at the same one."""
    for name in range(3, 9):
        picks = []
        for order in (range(6), range(5, -1, -1)):
            host = Host(0)
            host.lists(dict.fromkeys(order, Stage.READY))
            picks.append(ask(host, name).endpoint.stable)
        assert picks[0] == picks[1]


def test_preferred_executors_of_a_hot_function():
    """Of hundreds of front ends each sees a hot function now and then, and all load one executor."""
    # requests of it among 40, front ends, least and most preferred ones of 20 executors
    for hot, peers, least, most in ((2, 100, 1, 1), (20, 100, 10, 60), (20, 1, 1, 3)):
        host = Host(20, peers=peers, rate=50.0)
        for k in range(40):
            host.now += 400.0
            host.take(0 if k < hot else k)
        host.fe.demand *= 1 if peers > 1 else 500
        host.fe.functions[0].demand *= 1 if peers > 1 else 500
        assert least <= host.fe.preferred_count(host.fe.functions[0], host.now) <= most, (hot, peers)


def test_overflow_needs_an_open_fleet():
    """In an overload every function overflows at once, and the loads make all slower."""
    # saturated of 8 executors, own loads under way, function's own load under way, does it overflow
    for saturated, loads, own, expected in (
        (1, 0, False, True),
        (3, 0, False, False),
        (1, 2, False, False),
        (1, 0, True, False),
    ):
        host = Host(8)
        host.teach(0)
        e = host.fe.executors
        for index in range(saturated):
            e[index].adjust_load(1, 0.5)
        for index in range(loads):
            e[7].load_requested(90 + index, host.now)
        if own:
            e[7].load_requested(0, host.now)
        host.rich()
        assert (ask(host) is not None) == expected, (saturated, loads, own)


def test_of_many_preferred_executors_the_least_of_a_sample():
    """A great fleet costs no more; and no preferred executor is left out for good."""
    host = Host(400)
    f = host.fe.functions.get(0) or host.fe.functions[host.fe.requests[host.take(0)].function.index]
    host.rich()
    for e in host.fe.ready:
        host.fe._add_skill(e, f, host.now)
    looked, real = [], host.fe._eligible
    host.fe._eligible = lambda t, e, now: looked.append(e.endpoint.executor) or real(t, e, now)
    for _ in range(300):
        before = len(looked)
        assert ask(host) is not None
        assert SAMPLE_SIZE <= len(looked) - before <= 3 * SAMPLE_SIZE
    assert len(set(looked)) == 400
