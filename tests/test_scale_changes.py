"""What a change of policy costs by the number of members, by counts: an ordinary member's share does not
grow, and the leader's grows no steeper than the measured slope. Two sizes, a factor of 8 apart."""

import json
from types import SimpleNamespace

import pytest

from petrelway.capacity.slopes import read_slopes
from petrelway.emulator.policy_traffic import REST_S, ObservedCouncil
from petrelway.policy import document

SMALL, LARGE = 9, 72
STEEPER = 1.6  # times the measured slope that may be seen; twice as steep is found
REST_MEASURED_S = 20.0
BYTES_TOLERANCE = 1.01  # longer names, and numbers that need a byte more


class RepeatingCouncil(ObservedCouncil):
    """A leader that says everything to members twice: its slope is twice as steep."""

    def tell(self, one, to, data):
        super().tell(one, to, data)
        if one.number == self.leader():
            super().tell(one, to, data)


class Costs:
    """One change, a span at rest and a change with a vanished member, at one size."""

    def __init__(self, size):
        council = ObservedCouncil(size)
        council.begin()
        self.change = council.request_changes(1)
        council.run_for(REST_S)
        self.rest = council.rest(REST_MEASURED_S)
        council.vanish(size - 1)
        self.silent = council.request_changes(1)


@pytest.fixture(scope="module")
def small():
    return Costs(SMALL)


@pytest.fixture(scope="module")
def large():
    return Costs(LARGE)


def growth(small_cost, large_cost):
    """By how much the cost grows for each member."""
    return (large_cost - small_cost) / (LARGE - SMALL)


def allowed(name):
    """The steepest growth that may be seen of a quantity, from the file of measured slopes."""
    slope = read_slopes().slopes[f"changes.{name}_by_members"].slope
    assert slope > 0.0
    return STEEPER * slope


def test_the_changes_ended_as_the_counts_assume(small, large):
    for costs in (small, large):
        assert costs.change.states == ("adopted",)
        assert costs.silent.states == ("abandoned",)


def test_messages_of_a_change_at_an_ordinary_member_do_not_grow(small, large):
    assert small.change.most_member_messages > 0
    assert large.change.most_member_messages <= small.change.most_member_messages
    assert large.change.member.bytes <= BYTES_TOLERANCE * small.change.member.bytes


def test_messages_with_a_vanished_member_do_not_grow_at_an_ordinary_one(small, large):
    assert large.silent.most_member_messages <= small.silent.most_member_messages


def test_the_leader_of_a_change_grows_no_steeper_than_measured(small, large):
    sent, sent_before = large.change.leader, small.change.leader
    assert growth(sent_before.messages_sent, sent.messages_sent) <= allowed("leader_messages")
    assert growth(sent_before.bytes_sent, sent.bytes_sent) <= allowed("leader_bytes")
    assert growth(sent_before.messages_received, sent.messages_received) <= allowed(
        "leader_received_messages"
    )


def test_the_leader_with_a_vanished_member_grows_no_steeper_than_measured(small, large):
    sent, sent_before = large.silent.leader.messages_sent, small.silent.leader.messages_sent
    assert growth(sent_before, sent) <= allowed("silent_leader_messages")


def test_at_rest_neither_leader_nor_member_grows(small, large):
    assert large.rest.leader.messages == small.rest.leader.messages > 0
    assert large.rest.most_member_messages == small.rest.most_member_messages == 0


def test_a_leader_twice_as_steep_is_found(small):
    """The bound must be able to fail."""
    council = RepeatingCouncil(LARGE)
    council.begin()
    change = council.request_changes(1)
    steeper = growth(small.change.leader.messages_sent, change.leader.messages_sent)
    assert change.states == ("adopted",)
    assert steeper > allowed("leader_messages")
    assert growth(small.change.leader.bytes_sent, change.leader.bytes_sent) > allowed("leader_bytes")


def parses_of_one_change(size, monkeypatch):
    """How often any member of such a fleet parses a policy to ask whether silent members stop."""
    parsed = []

    def counted(text):
        parsed.append(text)
        return json.loads(text)

    document.stops.cache_clear()
    council = ObservedCouncil(size)
    council.begin()
    council.request_changes(1)
    council.run_for(REST_S)
    monkeypatch.setattr(document, "json", SimpleNamespace(loads=counted, dumps=json.dumps))
    change = council.request_changes(1)
    assert change.states == ("adopted",)
    return len(parsed)


def test_a_change_parses_the_policy_no_more_often_in_a_larger_fleet(monkeypatch):
    """Danger: parsed for each silent member at each answer, a change cost the leader the members' square."""
    small_parses = parses_of_one_change(SMALL, monkeypatch)
    monkeypatch.undo()
    assert 1 <= small_parses <= document.READ_DOCUMENTS_KEPT
    assert parses_of_one_change(LARGE, monkeypatch) <= small_parses
