"""What a member costs does not grow with the members, or grows as the file of slopes says: by counts, never
by time. Emulated, with the program's own deciders; larger sizes are in benchmarks/capacity_members.py."""

import pytest

from petrelway.capacity.slopes import read_slopes
from petrelway.emulator.settled_membership import introduced_sea
from petrelway.fakes.hollow_memory import informed_member_bytes
from petrelway.membership.messages import CHECKSUM, HEADER, MAX_UPDATES, MEMBER_UPDATE, MemberState

SMALL = 48
TIMES = 8
SETTLE_S, REST_S = 3.0, 10.0
DATAGRAMS_A_SECOND = 2  # one ask and one answer, whatever the number of members
FULL_BYTES_A_SECOND = 512  # of two full datagrams
ROUNDING = 0.02  # members' periods begin at their own time: one ask more or less at the window's ends
LISTED = 2000
MEMORY_TOLERANCE = 1.6  # times the slope that was measured; one twice as steep must not pass


def rates(size, settled):
    sea = introduced_sea(size)
    sea.sim.run(sea.sim.now_s + SETTLE_S)
    if settled:
        sea.settle()
        sea.sim.run(sea.sim.now_s + SETTLE_S)
    found = sea.rates(REST_S, size)
    assert all(len(p.members.by_state[MemberState.ALIVE]) == size - 1 for p in sea.peers.values())
    return found


@pytest.fixture(scope="module")
def settled():
    return rates(SMALL, True), rates(SMALL * TIMES, True)


@pytest.fixture(scope="module")
def spreading():
    return rates(SMALL, False), rates(SMALL * TIMES, False)


def test_messages_at_rest_do_not_grow_with_members(settled):
    for found in settled:
        assert found["datagrams"] == pytest.approx(DATAGRAMS_A_SECOND, rel=ROUNDING)
        assert found["tries"] == 0.0


def test_bytes_at_rest_do_not_grow_with_members(settled):
    small, large = settled
    least = DATAGRAMS_A_SECOND * (
        HEADER.size + MEMBER_UPDATE.size + CHECKSUM.size
    )  # what is held of the reader goes along
    assert small["bytes"] == pytest.approx(least, rel=ROUNDING)
    assert large["bytes"] <= small["bytes"] * (1.0 + ROUNDING)


def test_bytes_are_bounded_while_news_of_every_member_spreads(spreading):
    small, large = spreading
    for found in spreading:
        assert found["datagrams"] == pytest.approx(DATAGRAMS_A_SECOND, rel=ROUNDING)
        assert 0.9 * FULL_BYTES_A_SECOND < found["bytes"] <= FULL_BYTES_A_SECOND
    assert large["bytes"] <= small["bytes"] * (1.0 + ROUNDING)


def test_what_a_member_holds_is_bounded_but_for_its_list():
    sea = introduced_sea(SMALL)
    sea.sim.run(sea.sim.now_s + SETTLE_S)
    for peer in sea.peers.values():
        members = peer.members
        assert len(members.others) == SMALL - 1 and len(members.updates.transmissions) <= SMALL
        assert (
            len(members.probes.in_flight) <= 2 and not members.probes.relayed and not members.other_peer_lists
        )
        assert all(len(action.message.updates) <= MAX_UPDATES for action in members.actions)


def test_memory_by_members_is_what_the_slope_says():
    line = read_slopes().slopes["members.memory_by_members"]
    allowed = MEMORY_TOLERANCE * line.cost(LISTED)
    assert line.base + 2.0 * line.slope * LISTED > allowed  # else the bound would let twice the slope pass
    assert line.line_up_to >= LISTED
    assert informed_member_bytes(LISTED) <= allowed
