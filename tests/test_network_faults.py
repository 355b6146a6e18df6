"""Scheduled network faults between members."""

import random

import pytest

from petrelway.emulator.random_membership_faults import draw
from petrelway.fakes.fault_schedule import FaultSchedule, NetworkFault

ALL = frozenset(range(4))
SIDE, REST = frozenset([0, 1]), frozenset([2, 3])
WAYS = [
    (NetworkFault("cut", SIDE, REST, 0, 100), 0, 2, []),
    (NetworkFault("cut", SIDE, REST, 0, 100), 2, 0, []),
    (NetworkFault("cut", SIDE, REST, 0, 100), 0, 1, [0.0]),
    (NetworkFault("cut", SIDE, REST, 60, 100), 0, 2, [0.0]),
    (NetworkFault("cut", SIDE, REST, 0, 50), 0, 2, [0.0]),
    (NetworkFault("one way", SIDE, REST, 0, 100), 0, 2, []),
    (NetworkFault("one way", SIDE, REST, 0, 100), 2, 0, [0.0]),
    (NetworkFault("flap", SIDE, REST, 0, 100, 1, 30), 0, 2, [0.0]),  # 50 ms: in the second half, up
    (NetworkFault("flap", SIDE, REST, 0, 100, 1, 20), 0, 2, []),
    (NetworkFault("loss", ALL, ALL, 0, 100, 1.0), 0, 2, []),
    (NetworkFault("delay", ALL, ALL, 0, 100, 700.0), 0, 2, [700.0]),
    (NetworkFault("double", ALL, ALL, 0, 100, 1.0, 9.0), 0, 2, [0.0, 9.0]),
    (NetworkFault("reorder", ALL, ALL, 0, 100, 1.0, 9.0), 0, 2, [9.0]),
]


@pytest.mark.parametrize("fault, one, other, arrives", WAYS)
def test_what_passes_at_50_ms(fault, one, other, arrives):
    faults = FaultSchedule(random.Random(1))
    faults.add(fault)
    assert faults.carry(50.0, one, other) == arrives


def test_network_faults_add_up_and_are_cleared():
    faults = FaultSchedule(random.Random(1))
    for size in (100.0, 50.0):
        faults.add(NetworkFault("delay", ALL, ALL, 0, 1000, size))
    assert faults.carry(1.0, 0, 1) == [150.0]
    faults.clear(2.0)
    assert faults.carry(3.0, 0, 1) == [0.0]
    with pytest.raises(ValueError, match="allowed"):
        faults.add(NetworkFault("fog", ALL, ALL, 0, 1))


def test_a_seed_draws_the_same_faults():
    tree = {"day": {"length_s": 40, "seed": 1}, "fleet": {"fronts": 12}}
    assert draw(tree, 4) == draw(tree, 4) != draw(tree, 5)
