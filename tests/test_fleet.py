"""Members, parts, words, network faults and the fleet's judge, each alone."""

import math
import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelway.emulator import quota_model as partners
from petrelway.emulator.membership_simulation import Sea
from petrelway.emulator.random_membership_faults import draw
from petrelway.fakes.fault_schedule import FaultSchedule, NetworkFault
from petrelway.fakes.in_memory_network import World
from petrelway.invariants import membership_checker as fleet
from petrelway.invariants.state_explorer import explore
from petrelway.membership import messages
from petrelway.membership import quota_lease as parts_module
from petrelway.membership.member import PROOF_MS, is_proved_dead
from petrelway.membership.messages import (
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageError,
    MessageKind,
)
from petrelway.membership.probing import PORT_CHECKS_PER_S
from petrelway.membership.quota_lease import STARTUP_WAIT_MS, QuotaLeaseHolder
from petrelway.membership.suspicion import RECENTLY_HEARD_MS
from petrelway.membership.swim import INCARNATION_STEP, ActionKind, MembershipStateMachine, ViewStatus

A, B, C = 11, 22, 33
EVER = math.inf


def member(now=0.0, me=A, token=5, others=(B, C)):
    return MembershipStateMachine(now, me, token, 1, list(others), random.Random(1))


PEERS = member().peers_digest


def word(
    kind=MessageKind.ACK,
    sender=B,
    incarnation=Incarnation(1, 9),
    updates=(),
    number=0,
    about=0,
    fleet=1,
    peers=PEERS,
):
    return Message(kind, fleet, sender, incarnation, peers, 0, number, about, tuple(updates))


def pull(m, now):
    """All that it decides now, but for the wake."""
    found = []
    while (d := m.decide(now)) is not None:
        if d.kind is not ActionKind.WAKE:
            found.append(d)
    return found


def run(m, begin, end, step=100.0):
    found = []
    now = begin
    while now <= end:
        found += pull(m, now)
        now += step
    return found


# -- words

HEADER = messages.encode(word())


@pytest.mark.parametrize(
    "data, why",
    [
        (b"", "length"),
        (HEADER[:20], "length"),
        (HEADER + b"x" * 256, "length"),
        (b"xx" + HEADER[2:], "mark"),
        (HEADER[:-1] + bytes([HEADER[-1] ^ 1]), "check"),
        (HEADER[:10] + b"\xff" + HEADER[11:], "check"),
    ],
)
def test_bytes_that_are_no_word_are_refused_by_reason(data, why):
    with pytest.raises(MessageError, match=why):
        messages.decode(data)


def checked(body):
    return body + messages.CHECKSUM.pack(messages.zlib.crc32(body))


@pytest.mark.parametrize(
    "change, why",
    [
        (lambda b: b[:2] + b"\x02" + b[3:], "version"),
        (lambda b: b[:3] + b"\x63" + b[4:], "unknown kind"),
        (lambda b: b[:36] + b"\x05", "news cut off"),
        (lambda b: b + b"\x07\x09short", "section cut off"),
    ],
)
def test_a_good_check_does_not_make_a_word(change, why):
    with pytest.raises(MessageError, match=why):
        messages.decode(checked(change(HEADER[:-4])))


def test_sections_of_a_later_version_are_passed_over():
    assert messages.decode(checked(HEADER[:-4] + b"\x07\x03abc")) == word()


ids = st.integers(0, 2**32 - 1)
starts = st.builds(Incarnation, ids, ids)
said = st.builds(MemberUpdate, st.sampled_from([A, B, C, 44]), starts, st.sampled_from(MemberState))


@given(st.builds(Message, st.sampled_from(MessageKind), ids, ids, starts, ids, ids, ids, ids,
                 st.lists(said, max_size=messages.MAX_UPDATES).map(tuple), ids))  # fmt: skip
def test_every_word_fits_and_comes_back(some):
    data = messages.encode(some)
    assert len(data) <= messages.DATAGRAM_BOUND and messages.decode(data) == some


@given(st.binary(max_size=300))
def test_any_bytes_are_a_word_or_a_fault(data):
    try:
        messages.decode(data)
    except MessageError:
        pass


@given(st.integers(0, len(HEADER) * 8 - 1))
def test_a_flipped_bit_is_noticed(bit):
    spoilt = bytearray(HEADER)
    spoilt[bit // 8] ^= 1 << bit % 8
    with pytest.raises(MessageError):
        messages.decode(bytes(spoilt))


# -- members

foreign = st.one_of(
    st.builds(
        Message,
        st.sampled_from(MessageKind),
        ids.filter(lambda f: f != 1),
        st.just(B),
        starts,
        ids,
        ids,
        ids,
        ids,
    ),
    st.builds(
        Message,
        st.sampled_from(MessageKind),
        st.just(1),
        ids.filter(lambda s: s != B),
        starts,
        ids,
        ids,
        ids,
        ids,
    ),
)


@given(foreign)
def test_words_of_another_fleet_or_under_anothers_address_change_no_view(strange):
    m = member()
    m.receive(1.0, B, word(updates=[MemberUpdate(C, Incarnation(3, 3), MemberState.ALIVE)]))
    before = m.view_digest, {id: (x.state, x.incarnation, x.heard_ms) for id, x in m.others.items()}
    m.receive(2.0, B, strange)
    m.receive(2.0, 99, word(sender=99))
    assert before == (m.view_digest, {id: (x.state, x.incarnation, x.heard_ms) for id, x in m.others.items()})
    assert sum(m.counts[c] for c in ("another fleet", "no peer's address")) == 2


@settings(max_examples=200)
@given(st.lists(st.tuples(st.sampled_from([B, C]), st.sampled_from(MessageKind), starts, st.lists(said, max_size=4),
                          st.floats(0, 3000)), max_size=30))  # fmt: skip
def test_no_row_of_words_makes_it_fail_or_speak_without_end(row):
    m, now = member(), 0.0
    for sender, kind, incarnation, news, gap in row:
        now += gap
        m.receive(now, sender, word(kind, sender, incarnation, news))
        found = pull(m, now)
        assert len(found) < 40
        assert all(len(messages.encode(d.message)) <= 256 for d in found if d.message)
        expected = messages.digest  # the view's digest is that of what it holds
        view = 0
        for x in (
            *m.others.values(),
            SimpleNamespace(id=A, incarnation=m.incarnation, state=MemberState.ALIVE),
        ):
            view ^= expected(messages.MEMBER_UPDATE.pack(x.id, *x.incarnation, x.state).hex())
        assert m.view_digest == view


NEWS_OF_C = [
    # what is held of C at incarnation (2, 7), what is said of it, what is held after
    (MemberState.ALIVE, Incarnation(1, 7), MemberState.DEAD, MemberState.ALIVE),  # an older incarnation
    (MemberState.ALIVE, Incarnation(2, 7), MemberState.SUSPECT, MemberState.SUSPECT),
    (MemberState.ALIVE, Incarnation(2, 7), MemberState.LEFT, MemberState.LEFT),
    (MemberState.ALIVE, Incarnation(3, 7), MemberState.DEAD, MemberState.DEAD),
    (
        MemberState.SUSPECT,
        Incarnation(2, 7),
        MemberState.ALIVE,
        MemberState.SUSPECT,
    ),  # only a later incarnation clears it
    (MemberState.SUSPECT, Incarnation(3, 7), MemberState.ALIVE, MemberState.ALIVE),
    (MemberState.DEAD, Incarnation(2, 7), MemberState.SUSPECT, MemberState.DEAD),
    (
        MemberState.DEAD,
        Incarnation(2, 8),
        MemberState.ALIVE,
        MemberState.ALIVE,
    ),  # another process of that name
    (MemberState.LEFT, Incarnation(2, 7), MemberState.DEAD, MemberState.LEFT),
    (MemberState.LEFT, Incarnation(3, 7), MemberState.ALIVE, MemberState.ALIVE),
    (MemberState.ALIVE, Incarnation(2, 7), MemberState.UNKNOWN, MemberState.ALIVE),
]


@pytest.mark.parametrize("held, incarnation, state, after", NEWS_OF_C)
def test_what_news_does_to_what_is_held(held, incarnation, state, after):
    m = member()
    m.set_state(m.others[C], Incarnation(2, 7), held, 0.0, "")
    m.receive(10_000.0, B, word(updates=[MemberUpdate(C, incarnation, state)]))
    assert m.others[C].state is after


def test_ones_own_ears_beat_anothers_word():
    m = member()
    m.receive(0.0, C, word(sender=C, incarnation=Incarnation(2, 7)))
    m.receive(1000.0, B, word(updates=[MemberUpdate(C, Incarnation(2, 7), MemberState.DEAD)]))
    assert m.others[C].state is MemberState.SUSPECT
    m = member()
    m.receive(0.0, C, word(sender=C, incarnation=Incarnation(2, 7)))
    m.receive(RECENTLY_HEARD_MS + 1, B, word(updates=[MemberUpdate(C, Incarnation(2, 7), MemberState.DEAD)]))
    assert m.others[C].state is MemberState.DEAD


def test_an_accusation_is_answered_by_a_later_start():
    m = member()
    m.receive(0.0, B, word(updates=[MemberUpdate(A, m.incarnation, MemberState.SUSPECT)]))
    assert m.incarnation == Incarnation(2, 5) and m.view_status(1.0) is ViewStatus.UNCERTAIN
    m.receive(1.0, B, word(updates=[MemberUpdate(A, Incarnation(1, 5), MemberState.DEAD)]))  # an old one
    assert m.incarnation == Incarnation(2, 5)


def test_a_restart_under_the_same_name_outdoes_the_earlier_process():
    m = member(token=1)
    for told in (Incarnation(5, 9), Incarnation(6, 9)):  # its last words come bit by bit; it is dead
        m.receive(0.0, B, word(updates=[MemberUpdate(A, told, MemberState.DEAD)]))
    assert m.incarnation > Incarnation(6, 9) and m.incarnation.token == 1 and not m.yielded


def test_two_processes_under_one_name_neither_flap_nor_hold_the_share_twice():
    a, b = member(token=1), member(token=2)
    for _ in range(20):
        a.receive(0.0, B, word(updates=[MemberUpdate(A, b.incarnation, MemberState.ALIVE)]))
        b.receive(0.0, B, word(updates=[MemberUpdate(A, a.incarnation, MemberState.ALIVE)]))
    assert [a.yielded, b.yielded] == [True, False]
    assert "yielded" in [c.what for c in a.events] and "two processes" in [c.what for c in a.events]
    assert b.incarnation.number < 10 * INCARNATION_STEP
    assert QuotaLeaseHolder(-1e9, 3).current(a, 0.0).part.share == 0.0


def test_one_that_stood_still_finds_out_and_accuses_nobody():
    m = member()
    for id in (B, C):
        m.receive(0.0, id, word(sender=id, incarnation=Incarnation(1, id)))
    run(m, 0.0, 1500.0)
    assert m.probes.in_flight
    pull(m, 4600.0)
    assert m.pauses == 1 and not m.probes.in_flight and m.view_status(4600.0) is ViewStatus.UNCERTAIN
    run(m, 4700.0, 5600.0)
    assert {x.state for x in m.others.values()} == {MemberState.ALIVE}


def test_one_that_hears_nobody_accuses_nobody_and_says_cut_off():
    m = member()
    for id in (B, C):
        m.receive(0.0, id, word(sender=id, incarnation=Incarnation(1, id)))
    run(m, 0.0, 60_000.0)
    assert m.view_status(60_000.0) is ViewStatus.ISOLATED
    assert MemberState.DEAD not in {x.state for x in m.others.values()}


def test_silence_with_others_heard_is_suspected_then_failed():
    m, now = member(), 0.0
    m.receive(0.0, C, word(sender=C, incarnation=Incarnation(1, C)))
    states = []
    while now < 40_000.0:
        now += 100.0
        pull(m, now)
        m.receive(now, B, word())
        states.append(m.others[C].state)
    order = [s for i, s in enumerate(states) if not i or s is not states[i - 1]]
    assert order == [MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD]
    assert not is_proved_dead(m.others[C], now) and m.view_status(now) is ViewStatus.UNCERTAIN


def test_a_refused_port_is_a_proof_until_the_member_is_heard():
    m = member()
    m.receive(0.0, B, word())
    m.receive(0.0, C, word(sender=C, incarnation=Incarnation(1, C)))
    m.port_checked(400.0, C, 300.0, False)
    assert m.others[C].state is MemberState.ALIVE
    m.port_checked(400.0, C, 300.0, True)
    assert m.others[C].state is MemberState.DEAD and is_proved_dead(m.others[C], 400.0)
    m.receive(500.0, C, word(sender=C, incarnation=Incarnation(2, C)))
    assert not is_proved_dead(m.others[C], 500.0) and m.others[C].state is MemberState.ALIVE
    m.port_checked(600.0, C, 450.0, True)  # a try that began before it was heard
    assert not is_proved_dead(m.others[C], 600.0)


def test_asks_and_tries_stay_bounded_with_the_number_of_members():
    for size in (10, 300):
        others = list(range(100, 100 + size))
        m = member(others=others)
        for id in others:
            m.set_state(m.others[id], Incarnation(1, id), MemberState.DEAD, 0.0, "")
        found = run(m, 0.0, 10_000.0)
        tells = sum(d.kind is ActionKind.SEND for d in found)
        tries = sum(d.kind is ActionKind.CHECK_PORT for d in found)
        assert tells <= 12 and tries <= 10 * PORT_CHECKS_PER_S + 12


def test_a_different_list_of_peers_is_doubt():
    m = member(others=(B,))
    m.receive(0.0, B, word(peers=m.peers_digest))
    assert m.view_status(1.0) is ViewStatus.COMPLETE
    m.receive(2.0, B, word(peers=m.peers_digest ^ 1))
    assert m.view_status(3.0) is ViewStatus.UNCERTAIN


def test_one_that_leaves_says_so_and_is_not_asked_again():
    m, left = member(), member(me=B, others=(A, C))
    left.receive(0.0, A, word(sender=A, incarnation=m.incarnation))
    for d in left.leave():
        assert d.message.kind is MessageKind.LEAVE
        m.receive(1.0, B, d.message)
    assert m.others[B].state is MemberState.LEFT
    assert all(d.member != B for d in run(m, 2.0, 10_000.0) if d.kind is ActionKind.SEND)


def test_the_last_one_left_stands_for_all_once_each_is_proved_dead():
    m = member()
    for id in (B, C):
        m.receive(0.0, id, word(sender=id, incarnation=Incarnation(1, id), peers=m.peers_digest))
    run(m, 0.0, 9000.0)
    m.port_checked(9000.0, B, 9000.0, True)
    assert m.view_status(9000.0) is ViewStatus.ISOLATED
    m.port_checked(9000.0, C, 9000.0, True)
    assert m.view_status(9000.0) is ViewStatus.COMPLETE and len(m.proved_dead(9000.0)) == 2


def test_a_fleet_in_memory_agrees_after_a_cut_with_restarts_on_both_sides():
    sim = World()
    faults = FaultSchedule(random.Random(3))
    sea = Sea(sim, faults, 12, 3)
    for number in range(12):
        sea.start(number)
    sim.run(sim.now_s + 8.0)
    side = frozenset(range(5))
    faults.add(NetworkFault("cut", side, frozenset(range(5, 12)), sea.now(), sea.now() + 20_000.0))
    sim.run(sim.now_s + 8.0)
    for number in (1, 9):
        sea.kill(number)
        sim.run(sim.now_s + 1.0)
        sea.start(number)
    sim.run(sim.now_s + 10.0 + 20.0)
    views = [p.members for p in sea.peers.values()]
    assert {m.view_status(sea.now()) for m in views} == {ViewStatus.COMPLETE} and len(
        {m.view_digest for m in views}
    ) == 1
    assert sum(p.held.part.share for p in sea.peers.values()) == pytest.approx(1.0)


# -- parts

PARTS = [
    # age of this process, when others' ports were refused (age of the proof), share, why
    (0.0, [], 0.0, "just started"),
    (STARTUP_WAIT_MS - 1, [], 0.0, "just started"),
    (STARTUP_WAIT_MS, [], 1 / 3, "own share"),
    (STARTUP_WAIT_MS, [1000.0], 1 / 2, "dead"),
    (STARTUP_WAIT_MS, [1000.0, 10.0], 1.0, "dead"),
    (STARTUP_WAIT_MS, [PROOF_MS], 1 / 3, "in doubt"),
]


@pytest.mark.parametrize("age, proofs, share, why", PARTS)
def test_the_part_by_proofs(age, proofs, share, why):
    now = 1e6
    m = member(now - age)
    for id in (B, C):
        m.receive(now - 10_000.0, id, word(sender=id, incarnation=Incarnation(1, id)))
    m.last_heard_ms = m.last_turn_ms = now
    m.last_pause_ms = -math.inf
    for id, old in zip((B, C), proofs):
        m.port_checked(now, id, now - old, True)
    held = QuotaLeaseHolder(now - age, 3).current(m, now)
    assert held.part.share == pytest.approx(share) and why in held.reason
    if proofs and share > 1 / 3:
        assert held.part.until_ms == pytest.approx(now - max(proofs) + PROOF_MS)


# -- every order of events

MUTANTS = {
    "no wait": lambda patch: patch.setattr(parts_module, "STARTUP_WAIT_MS", 0.0),
    "no room for drift": lambda patch: (
        patch.setattr(parts_module, "STARTUP_WAIT_MS", PROOF_MS),
        patch.setattr(partners, "STEP_MS", PROOF_MS / 4),
    ),
    "proof counted from its arrival": lambda patch: patch.setattr(
        MembershipStateMachine,
        "port_checked",
        lambda self, now, m, began, refused, was=MembershipStateMachine.port_checked: was(
            self, now, m, now, refused
        ),
    ),
    "silence taken for proof": lambda patch: patch.setattr(
        partners, "moves", lambda s, was=partners.moves: [*was(s), *silent(s)]
    ),
    "no end of what was told": lambda patch: patch.setattr(
        parts_module, "Part", lambda share, until, was=parts_module.Part: was(share, EVER)
    ),
}


def silent(system):
    """A try that got no answer is learnt as if it had been refused."""
    for t in system.tries:
        if not t.refused and system.ones[t.by].doing == partners.RUNS:
            more = partners._learns(t.by, system.ones[t.by], t.whose, t.age)
            yield "silence", partners._replaced(system, t.by, more, tries=system.tries - {t})


@pytest.fixture
def anew():
    partners.forget()
    yield
    partners.forget()


def test_parts_never_come_to_more_than_one_whatever_the_order(anew):
    found = explore(partners.beginning(1, 1, 0, 0), partners.moves, partners.violation)
    assert found.whole and not found.broken and found.states > 10_000


@pytest.mark.parametrize("name", MUTANTS)
def test_the_explorer_finds_what_is_broken_on_purpose(name, anew, monkeypatch):
    MUTANTS[name](monkeypatch)
    start = partners.beginning(1, 1, 1 if name == "no end of what was told" else 0, 0)
    found = explore(start, partners.moves, partners.violation, bound=400_000)
    assert found.broken.startswith("parts in use"), found


# -- network faults

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


# -- the fleet's judge, proved by records that it must refuse


def record(*more):
    """Two front ends, good: front-0 lives, front-1 is killed at 10 s and held failed."""
    lines = [
        {"k": "front started", "fe": "front-0", "t": 0, "_file": "conductor"},
        {"k": "front started", "fe": "front-1", "t": 0, "_file": "conductor"},
        {"k": "kill", "fe": "front-1", "t": 10_000, "_file": "conductor"},
        {"k": "part", "share": 0.5, "left": None, "t": 1, "_file": "fleet-0-1"},
        {"k": "part", "share": 0.5, "left": None, "t": 1, "_file": "fleet-1-1"},
        {"k": "held", "member": "front-1", "what": "alive", "t": 2, "_file": "fleet-0-1"},
        {"k": "held", "member": "front-0", "what": "alive", "t": 2, "_file": "fleet-1-1"},
        {"k": "held", "member": "front-1", "what": "failed", "t": 12_000, "_file": "fleet-0-1"},
        {"k": "part", "share": 1.0, "left": 5000, "t": 12_000, "_file": "fleet-0-1"},
        {"k": "use", "share": 1.0, "t": 16_000, "_file": "fleet-0-1"},
        {"k": "part", "share": 0.5, "left": None, "t": 17_000, "_file": "fleet-0-1"},
    ]
    drop = [m for m in more if callable(m)]
    kept = [line for line in lines if not any(d(line) for d in drop)]
    return sorted([*kept, *(m for m in more if not callable(m))], key=lambda line: line["t"])


def said_(kind, file, t, **what):
    return {"k": kind, "t": t, "_file": file, **what}


DOCTORED = [
    ("parts", [said_("part", "fleet-0-1", 5000, share=1.0, left=5000)]),
    ("parts", [said_("part", "fleet-1-1", 9000, share=0.6, left=500)]),
    ("ends", [said_("use", "fleet-0-1", 17_500, share=1.0)]),
    ("ends", [said_("use", "fleet-0-1", 8000, share=0.7)]),
    ("false", [said_("held", "fleet-0-1", 6000, member="front-1", what="failed")]),
    ("found", [lambda line: line.get("what") == "failed"]),
    ("agreed", [lambda line: line["k"] == "kill", lambda line: line.get("share") == 1.0,
                said_("front started", "conductor", 100, fe="front-2"),
                said_("held", "fleet-2-1", 200, member="front-0", what="failed")]),
]  # fmt: skip


def test_a_good_record_is_not_refused():
    assert fleet.judge(record(), [], 2, 40_000.0) == []


@pytest.mark.parametrize("statement, more", DOCTORED)
def test_a_doctored_record_is_refused(statement, more):
    assert statement in {b.statement for b in fleet.judge(record(*more), [], 2, 40_000.0)}


def test_what_a_cut_or_a_stop_explains_is_not_refused():
    failed = said_("held", "fleet-0-1", 6000, member="front-1", what="failed")
    cut = SimpleNamespace(kind="cut", on=[0], others=[], at_s=3, len_s=2, size=1.0, extra=0.0)
    assert fleet.judge(record(failed), [cut], 2, 40_000.0) == []
    stop = [said_("stop", "conductor", 3000, fe="front-1"), said_("go on", "conductor", 5000, fe="front-1")]
    assert fleet.judge(record(failed, *stop), [], 2, 40_000.0) == []
