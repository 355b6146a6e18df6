"""What a front end keeps and does as its fleet grows, by traced memory and by counts, never by time.

Memory has to lie within what petrelway/capacity/slopes.json says, so that the page made from that file and
the code agree. `benchmarks/capacity_front_end.py` measures the same at larger sizes and writes the file.
"""

import gc
import random
import statistics
import tracemalloc
from collections.abc import Callable

import pytest
from helpers import Host

from petrelway.capacity.slopes import Slope, read_slopes
from petrelway.routing.ranking import WINDOW
from petrelway.routing.types import ActionKind, Outcome, Stage

SMALL, FACTOR = 400, 8
LARGE = FACTOR * SMALL
FLAT = 1.1  # times: what does not grow with the fleet may differ by so much between the two sizes
EARLIER_RANKING_SLOPE = 8.0  # B an executor that each called function kept while it ranked the whole fleet
TOLERANCE = 1.6  # times the slope's own figure: a slope twice as steep breaks it
FEW_EXECUTORS = 100  # where functions are what grows, as in the benchmark
CALLED_FUNCTIONS = 6
RANKED_FUNCTIONS = 64  # whose ranks are counted
LIST_CHANGES = 20
DEADLINE_MS = 4000.0  # of the helper's requests
QUIET_MS = DEADLINE_MS + 2000.0
MOST_RANKS = 2 * WINDOW  # of one call: a window sorted anew; it holds WINDOW executors on average
MEAN_RANKS = 1.25 * WINDOW  # of the first calls of many functions
MEAN_RANKS_A_CHANGE = WINDOW.bit_length()  # a search in the window, if the change falls into it at all


# -- memory


def slope(name: str) -> Slope:
    return read_slopes().slopes[f"front_end.{name}"]


def traced(build: Callable[[], object]) -> int:
    """Bytes that what is built keeps."""
    tracemalloc.start()
    try:
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        growth = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert kept is not None
    return growth


def within(expected: Slope, small: int, large: int) -> bool:
    """Whether memory at SMALL and LARGE lies within the slope, and so does the growth between them."""
    growth = (large - small) / (LARGE - SMALL)
    sizes_hold = small <= TOLERANCE * expected.cost(SMALL) and large <= TOLERANCE * expected.cost(LARGE)
    return sizes_hold and growth <= TOLERANCE * expected.slope


def name_functions(host: Host, functions: int) -> None:
    for function in range(functions):
        host.fe.function_named(host.now, function, f"function-{function:06d}", 100.0, 2, 500.0)


def call_and_end(host: Host, function: int) -> None:
    request = host.take(function)
    sent = [d.executor for d in host.pull() if d.kind is ActionKind.SEND]
    assert len(sent) == 1
    host.end(request, Outcome.SUCCEEDED, executor=sent[0], took=1.0)
    host.pull()


def bytes_by_executors(executors: int) -> int:
    return traced(lambda: Host(executors=executors))


def bytes_by_functions(functions: int) -> int:
    host = Host(executors=FEW_EXECUTORS)

    def build() -> Host:
        name_functions(host, functions)
        return host

    return traced(build)


def bytes_of_a_called_function(executors: int) -> int:
    """What the first call of one function leaves, the mean of some."""
    host = Host(executors=executors)
    name_functions(host, CALLED_FUNCTIONS)
    host.pull(1000.0)

    def build() -> Host:
        for function in range(CALLED_FUNCTIONS):
            call_and_end(host, function)
        host.pull(QUIET_MS)
        host.fe.released()
        return host

    return traced(build) // CALLED_FUNCTIONS


MEASURES = {
    "memory_by_executors": bytes_by_executors,
    "memory_by_functions": bytes_by_functions,
}


@pytest.mark.parametrize("name", sorted(MEASURES))
def test_state_stays_within_its_slope(name):
    small, large = MEASURES[name](SMALL), MEASURES[name](LARGE)
    assert within(slope(name), small, large), (name, small, large)


@pytest.mark.parametrize("name", sorted(MEASURES))
def test_a_slope_twice_as_steep_breaks_the_bound(name):
    expected, measure = slope(name), MEASURES[name]

    def with_ballast(size: int) -> int:
        """The same state, and as much again for each of what grows as the slope says."""
        return measure(size) + traced(lambda: bytes(int(size * expected.slope)))

    assert not within(expected, with_ballast(SMALL), with_ballast(LARGE))


def is_flat(small: float, large: float) -> bool:
    return large <= FLAT * small


def test_a_called_function_keeps_no_more_in_a_larger_fleet():
    small, large = bytes_of_a_called_function(SMALL), bytes_of_a_called_function(LARGE)
    assert is_flat(small, large), (small, large)
    assert small <= TOLERANCE * slope("ranking_memory_by_executors").cost(SMALL)
    tenth_of_earlier_growth = EARLIER_RANKING_SLOPE / 10 * (LARGE - SMALL)
    assert not is_flat(small, large + tenth_of_earlier_growth)  # so flat that a tenth of it is found


@pytest.mark.parametrize("calls", [SMALL, LARGE])
def test_calls_that_ended_leave_nothing(calls):
    host = Host(executors=FEW_EXECUTORS)
    for _ in range(calls):
        call_and_end(host, 0)
    assert len(host.fe.timers) > calls  # the deadlines are still to come: this counts something
    host.pull(QUIET_MS)
    front_end = host.fe
    assert len(front_end.released().requests) == calls
    assert not front_end.requests and not front_end.ready_queue and not front_end.gate.taken
    assert not any(executor.in_flight for executor in front_end.executors.values())
    assert len(front_end.timers) == 1  # the tidying


# -- work


class CountedSalt(int):
    """An executor's salt that counts the ranks computed from it, wherever that code stands."""

    computed = 0

    def __rxor__(self, other: int) -> int:
        CountedSalt.computed += 1
        return int(self) ^ other

    __xor__ = __rxor__


def counted_host(executors: int) -> Host:
    host = Host(executors=executors)
    for executor in host.fe.executors.values():
        executor.salt = CountedSalt(executor.salt)
    return host


def ranks(work: Callable, *args) -> int:
    before = CountedSalt.computed
    work(*args)
    return CountedSalt.computed - before


def ranks_of_calls(host: Host) -> list[int]:
    """What the next call of each of some functions computes."""
    return [ranks(call_and_end, host, function) for function in range(RANKED_FUNCTIONS)]


@pytest.mark.parametrize("executors", [SMALL, LARGE])
def test_a_first_call_ranks_a_window_whatever_the_fleet(executors):
    host = counted_host(executors)
    first = ranks_of_calls(host)
    assert max(first) <= MOST_RANKS
    assert WINDOW / 2 < statistics.mean(first) <= MEAN_RANKS  # below half, the bound is to be tightened
    assert ranks_of_calls(host) == [0] * RANKED_FUNCTIONS  # ranked once


def ranks_after_changes(executors: int) -> list[int]:
    host = counted_host(executors)
    ranks_of_calls(host)
    for executor in random.Random(executors).sample(range(executors), LIST_CHANGES):
        host.lists({executor: Stage.DRAINING}, complete=False)
    return ranks_of_calls(host)


def test_ranks_after_list_changes_fall_with_the_fleet():
    """A change touches only the functions in whose window it falls, the fewer the larger the fleet."""
    small, large = ranks_after_changes(SMALL), ranks_after_changes(LARGE)
    assert max(*small, *large) <= MOST_RANKS
    assert 0 < statistics.mean(small) <= LIST_CHANGES * MEAN_RANKS_A_CHANGE
    assert statistics.mean(large) <= statistics.mean(small) / 2
