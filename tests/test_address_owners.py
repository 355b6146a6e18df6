"""An address that several executors are listed at belongs to the process that started last."""

import itertools
import random

import pytest

from petrelway.common.endpoint_entry import EndpointEntry
from petrelway.node.address_owners import AddressOwners


def entry(executor, port=1, stage="ready", started_ms=0.0):
    return EndpointEntry(executor, "127.0.0.1", port, "east", "std", 0, stage, 1.0, started_ms)


OLD, NEW = entry("old"), entry("new", started_ms=5000.0)


def stages(owners, *entries, complete=False):
    return {each.executor: each.stage for each in owners.listed(entries, complete)}


@pytest.mark.parametrize("stage", ["ready", "draining"])
@pytest.mark.parametrize("order", list(itertools.permutations([0, 1])))
@pytest.mark.parametrize("complete", [True, False])
def test_the_old_one_named_beside_the_new_one_does_not_get_the_address_back(stage, order, complete):
    """Named last, it took the connections of the new one, which then got nothing."""
    owners = AddressOwners()
    owners.listed([OLD], True)
    both = [OLD._replace(stage=stage), NEW]
    assert stages(owners, *(both[i] for i in order), complete=complete) == {"old": "gone", "new": "ready"}


@pytest.mark.parametrize("stage", ["ready", "draining"])
def test_the_old_one_named_later_does_not_get_the_address_back(stage):
    """A late event about it removed the new one."""
    owners = AddressOwners()
    owners.listed([OLD], True)
    assert stages(owners, NEW) == {"old": "gone", "new": "ready"}
    assert stages(owners, OLD._replace(stage=stage)) == {"old": "gone", "new": "ready"}
    assert stages(owners, OLD._replace(stage="gone")) == {"old": "gone", "new": "ready"}


def test_of_equal_starts_a_ready_one_goes_before_a_draining_one_then_the_later_listed_one():
    """The list need not tell when a process started."""
    owners = AddressOwners()
    owners.listed([OLD], True)
    unknown = NEW._replace(started_ms=0.0)
    assert stages(owners, unknown) == {"old": "gone", "new": "ready"}
    assert stages(owners, unknown._replace(stage="draining")) == {"old": "ready", "new": "gone"}


def test_an_executor_comes_back_where_the_other_one_leaves_or_moves():
    """What was taken for gone because of its address must not stay so."""
    for leaves in (NEW._replace(stage="gone"), NEW._replace(port=2)):
        owners = AddressOwners()
        owners.listed([OLD, NEW], True)
        assert stages(owners, leaves)["old"] == "ready"


def test_drawn_events_leave_one_owner_at_each_address_and_nothing_else_changed():
    """Whatever the order of events, one executor is reached at an address, and no table grows."""
    for seed in range(200):
        random_source = random.Random(seed)
        owners, listed, shown = AddressOwners(), {}, {}
        for _ in range(40):
            complete = random_source.random() < 0.2
            names = random_source.sample("abcdef", random_source.randint(1, 5))
            entries = [
                entry(name, random_source.randint(1, 3), random_source.choice(["ready", "draining", "gone"]),
                      float(random_source.randint(0, 3)))
                for name in names
            ]  # fmt: skip
            if complete:
                listed.clear()
                shown.clear()
            listed.update({each.executor: each for each in entries})
            shown.update({each.executor: each for each in owners.listed(entries, complete)})
            for name, each in listed.items():
                assert shown[name]._replace(stage=each.stage) == each
                assert shown[name].stage in (each.stage, "gone")
            present = {name: each for name, each in listed.items() if each.stage != "gone"}
            for port in {each.port for each in present.values()}:
                here = [name for name, each in present.items() if each.port == port]
                owner = [name for name in here if shown[name].stage != "gone"]
                assert len(owner) == 1
                assert present[owner[0]].started_ms == max(present[name].started_ms for name in here)
            assert set(owners._entries) == set(present)
            assert sum(map(len, owners._at.values())) == len(present)
