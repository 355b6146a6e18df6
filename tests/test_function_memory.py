"""Functions, quotas and timers of requests that are taken back, in the core."""

import random

from helpers import Host

from petrelway.routing.expiry import TIMERS_KEPT
from petrelway.routing.types import ActionKind, Outcome

BOUND = 20


def take_back(host, request):
    host.fe.client_gone(host.now, request)
    host.pull()


def room(host):
    host.fe.make_room_for_function()
    return host.fe.released().functions


def test_names_of_requests_taken_back_leave_the_functions_that_were_served():
    """Ever new names of one client were kept for a minute each; served ones must not go for them."""
    host = Host()
    host.fe.functions_bound = BOUND
    for function in range(5):
        host.teach(0, function)
    for name in range(100, 400):
        assert name < 100 + BOUND - 5 or room(host)
        take_back(host, host.take(name))
        host.now += 1.0
    assert len(host.fe.functions) <= BOUND and set(range(5)) <= set(host.fe.functions)
    assert len(host.fe.function_order) == len(host.fe.functions)


def test_a_function_in_use_is_not_forgotten():
    """Its index would be given to another one while its requests are open."""
    host = Host(misses=True)
    host.fe.functions_bound = 3
    requests = [host.take(function) for function in range(5)]
    sends = [action for action in host.pull() if action.kind is ActionKind.SEND]
    assert sends and not room(host)
    for action in sends:
        host.end(action.request, Outcome.MISS, executor=action.executor)
    loads = [action.function for action in host.pull() if action.kind is ActionKind.PREFETCH]
    for request in requests:
        host.fe.client_gone(host.now, request)
    host.pull()
    assert loads
    for _ in range(9):
        assert not set(room(host)) & set(loads)


def test_drawn_uses_keep_the_order_and_the_functions_alike():
    """An order that keeps an index which the core has freed would forget another function for it."""
    for seed in range(20):
        random_source = random.Random(seed)
        host = Host()
        host.fe.functions_bound = BOUND
        open_requests = []
        for _ in range(300):
            function = random_source.randrange(60)
            if function not in host.fe.functions:
                room(host)
            open_requests.append(host.take(function))
            for action in host.pull():
                if action.kind is ActionKind.SEND and random_source.random() < 0.5:
                    host.end(action.request, Outcome.SUCCEEDED, executor=action.executor)
            if random_source.random() < 0.6:
                take_back(host, open_requests.pop(random_source.randrange(len(open_requests))))
            host.now += random_source.choice([1.0, 500.0])
            host.pull()
            assert len(host.fe.function_order) == len(host.fe.functions)
            busy = {request.function.index for request in host.fe.requests.values()}
            for index, function in host.fe.functions.items():
                assert (function.open_requests > 0) == (index in busy)
            assert len(host.fe.functions) <= BOUND + len(busy) + len(host.fe.fleet.loads_anywhere)


def test_timers_of_requests_taken_back_do_not_pile_up():
    """Each stayed until its deadline, which a client words."""
    host = Host()
    host.fe.functions_bound = BOUND
    for _ in range(3 * TIMERS_KEPT):
        take_back(host, host.take(0, remaining=1e6))
        host.now += 0.5
    host.pull(forward=2000.0)
    assert len(host.fe.timers) <= TIMERS_KEPT + 100 and not host.fe.requests
