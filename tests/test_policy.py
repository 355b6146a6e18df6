"""Terms that all change or none: words, the keepers' log, what a member may take requests under, the file;
drawn plays and every schedule of one fault, with mutants of the code that have to be found."""

import json
import random
import sqlite3

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrelway.emulator import policy_model as quorum
from petrelway.emulator.policy_simulation import OWN, Council, make
from petrelway.emulator.random_policy_faults import play
from petrelway.fakes.fault_schedule import FaultSchedule, NetworkFault
from petrelway.fakes.in_memory_network import World
from petrelway.invariants.policy_checker import judge
from petrelway.policy import change_coordinator as changes
from petrelway.policy import messages as words
from petrelway.policy import policy_holder as adopter
from petrelway.policy import policy_member as party
from petrelway.policy import raft as keepers
from petrelway.policy import state_machine as ledger
from petrelway.policy.document import canonical, check, differences, digest, read
from petrelway.policy.messages import (
    Abandoned,
    AskVote,
    Decided,
    Elsewhere,
    Entry,
    Kept,
    Look,
    MessageError,
    Moment,
    Opened,
    Prepare,
    Proposed,
    Told,
    Vote,
)
from petrelway.policy.policy_holder import Adopter, Serving, Terms
from petrelway.policy.raft import Keeper, Role, Verb
from petrelway.policy.raft_storage import StorageError, Store, after
from petrelway.settings.front import Fleet, FrontEndPlace
from petrelway.settings.reading import SettingsError
from petrelway.wire.framing import HEADER

# -- words


@given(st.binary(max_size=400))
def test_bytes_that_are_no_word_are_a_fault_and_nothing_else(data):
    try:
        words.read(data)
    except MessageError:
        pass


GOOD = words.write("gateway", "front-1", 7, Elsewhere(leader="front-2"))[HEADER.size :]


@given(st.integers(0, len(GOOD) - 1), st.integers(0, 255))
def test_a_changed_byte_gives_a_word_or_a_fault(at, byte):
    try:
        words.read(GOOD[:at] + bytes([byte]) + GOOD[at + 1 :])
    except MessageError:
        pass


def test_a_word_of_another_version_and_one_too_long_are_refused():
    said = words.Said(version=2, fleet="f", name="n", token=1, body=Elsewhere(leader=""))
    with pytest.raises(MessageError, match="version"):
        words.read(words._write.encode(said))
    with pytest.raises(MessageError, match="too long"):
        words.write("f", "n", 1, words.History(asked_ms=0.0, ledger=b"x" * words.WORD_BOUND))


# -- the ledger


def proposed(id="a", base=0, document='{"n":1}'):
    return Proposed(id=id, base=base, document=document, base_document=OWN, by="op", at=1.0)


def applied(*what):
    state = ledger.Ledger()
    for index, each in enumerate(what, 1):
        state = ledger.apply(state, index, Entry(term=1, what=each))
    return state


DONE = Decided(moments=(), without=())


@pytest.mark.parametrize("what, version, pending, ends", [
    ((proposed(),), 0, "a", {}),
    ((proposed(), DONE), 1, None, {"a": 1}),
    ((proposed(), Abandoned(why="no")), 0, None, {"a": 0}),
    ((proposed(), proposed("b")), 0, "a", {}),  # a second one beside it is not there
    ((proposed(), DONE, proposed("b")), 1, None, {"a": 1}),  # made from what no longer holds
    ((proposed(), DONE, proposed("b", 1), DONE), 2, None, {"a": 1, "b": 2}),
    ((DONE, Abandoned(why="")), 0, None, {}),
])  # fmt: skip
def test_what_entries_come_to(what, version, pending, ends):
    state = applied(*what)
    assert state.version == version and state.at == len(what)
    assert (state.pending.proposed.id if state.pending else None) == pending
    assert {s.proposal: s.version for s in state.settled} == ends
    assert ledger.read(ledger.write(state)) == state


def test_the_history_is_bounded_in_number_and_size(monkeypatch):
    monkeypatch.setattr(ledger, "DOCUMENTS_BOUND", 100)
    state = applied(*[x for n in range(9) for x in (proposed(f"p{n}", n, json.dumps({"n": "x" * 40})), DONE)])
    assert [v.number for v in state.versions] == [8, 9]


# -- keepers, without a network: words are handed over one by one


class Trio:
    def __init__(self, size=3, kept=None):
        self.names = tuple(f"k{i}" for i in range(size))
        self.disk = {name: kept or Kept(blank=False) for name in self.names}
        self.now, self.shut = 0.0, set()
        self.all = {name: self.new(name, i) for i, name in enumerate(self.names)}

    def new(self, name, token):
        return Keeper(self.now, name, self.names, token, self.disk[name])

    def turn(self, ms=0.0):
        """Time passes, all that is said is heard."""
        self.now += ms
        said = True
        while said:
            said = False
            for name, keeper in self.all.items():
                while name not in self.shut and (d := keeper.decide(self.now)) is not None:
                    said = True
                    if d.verb is Verb.KEEP:
                        self.disk[name] = after(self.disk[name], d.kept, d.since)
                    elif d.to in self.all and d.to not in self.shut:
                        self.all[d.to].heard(self.now, name, keeper.token, d.word)

    def pass_ms(self, ms):
        for _ in range(int(ms / 50)):
            self.turn(50.0)

    def leader(self):
        some = [k for n, k in self.all.items() if k.ready() and n not in self.shut]
        return max(some, key=lambda k: k.term)


def test_one_leads_and_what_it_offers_is_kept_by_all():
    trio = Trio()
    trio.pass_ms(3000)
    leader = trio.leader()
    leader.offer(trio.now, proposed())
    trio.pass_ms(500)
    assert all(k.ledger.pending.proposed.id == "a" for k in trio.all.values())
    assert [ledger_of(kept).pending.proposed.id for kept in trio.disk.values()] == ["a"] * 3


def ledger_of(kept):
    state = ledger.read(kept.snapshot)
    for offset, entry in enumerate(kept.entries, 1):
        state = ledger.apply(state, kept.index + offset, entry)
    return state


def test_a_keeper_votes_once_in_a_term_also_after_its_end():
    trio = Trio()
    k = trio.all["k0"]
    ask = AskVote(term=5, last_index=0, last_term=0, before=False)

    def given(keeper, by):
        keeper.heard(0.0, by, 1, ask)
        found = None
        while (d := keeper.decide(-1.0)) is not None:
            if d.verb is Verb.KEEP:
                trio.disk["k0"] = after(trio.disk["k0"], d.kept, d.since)
            elif isinstance(d.word, Vote):
                found = d.word.given
        return found

    assert [given(k, "k1"), given(k, "k2"), given(k, "k1")] == [True, False, True]
    assert given(trio.new("k0", 9), "k2") is False


def test_one_that_was_cut_off_does_not_depose_a_leader_that_is_heard():
    trio = Trio()
    trio.pass_ms(3000)
    leader = trio.leader()
    other = next(n for n in trio.names if n != leader.me)
    trio.shut.add(other)
    trio.pass_ms(20_000)
    assert trio.all[other].term == leader.term  # it only asked whether it would be elected
    trio.shut.clear()
    trio.pass_ms(3000)
    assert trio.leader() is leader and trio.all[other].leader == leader.me


def test_entries_that_only_a_deposed_leader_has_give_way():
    trio = Trio()
    trio.pass_ms(3000)
    old = trio.leader()
    trio.shut.add(old.me)
    old.offer(trio.now, proposed("lost"))
    trio.pass_ms(5000)
    trio.leader().offer(trio.now, proposed("won"))
    trio.pass_ms(500)
    trio.shut.clear()
    trio.pass_ms(5000)
    assert [k.ledger.pending.proposed.id for k in trio.all.values()] == ["won"] * 3
    assert ledger_of(trio.disk[old.me]).pending.proposed.id == "won"


def test_a_leader_that_hears_no_majority_leads_no_more():
    trio = Trio()
    trio.pass_ms(3000)
    leader = trio.leader()
    trio.shut.update(n for n in trio.names if n != leader.me)
    trio.pass_ms(4000)
    assert leader.role is not Role.LEADS


def test_one_without_its_file_votes_only_after_it_has_learned_all():
    trio = Trio()
    trio.pass_ms(3000)
    leader = trio.leader()
    one, two = (n for n in trio.names if n != leader.me)
    trio.shut.add(two)  # so that `one` is needed for whatever is kept
    leader.offer(trio.now, proposed())
    trio.pass_ms(500)
    trio.disk[one] = Kept()  # its file is gone
    trio.all[one] = trio.new(one, 77)
    trio.shut = {leader.me}
    trio.pass_ms(10_000)  # `two`, which has not heard of it, is there alone
    assert trio.all[one].role is Role.BLANK and trio.all[two].role is not Role.LEADS
    trio.shut.clear()
    trio.pass_ms(5000)
    assert trio.all[one].role in (Role.FOLLOWS, Role.LEADS) and not trio.disk[one].blank
    assert trio.leader().ledger.pending.proposed.id == "a"


def test_new_files_begin_only_where_all_are_new():
    trio = Trio(kept=Kept())
    trio.shut.add("k2")
    trio.pass_ms(10_000)
    assert {k.role for k in trio.all.values()} == {Role.BLANK}
    trio.shut.clear()
    trio.pass_ms(5000)
    assert trio.leader().ready()


def test_a_long_log_is_folded_and_told_as_a_snapshot():
    trio = Trio()
    trio.pass_ms(3000)
    leader = trio.leader()
    behind = next(n for n in trio.names if n != leader.me)
    trio.shut.add(behind)
    for n in range(2 * keepers.TIDY_ENTRIES // 2):
        leader.offer(trio.now, proposed(f"p{n}", n))
        leader.offer(trio.now, DONE)
        trio.turn(10.0)
    assert 0 < len(leader.entries) < keepers.TIDY_ENTRIES + 3
    trio.shut.clear()
    trio.pass_ms(2000)
    assert trio.all[behind].ledger == leader.ledger
    assert Keeper(0.0, behind, trio.names, 1, trio.disk[behind]).last == leader.last


def test_keepers_change_one_at_a_time_and_a_leader_can_go():
    trio = Trio(5)
    trio.names = trio.names[:3]
    trio.all = {name: trio.new(name, i) for i, name in enumerate(("k0", "k1", "k2", "k3", "k4"))}
    trio.pass_ms(3000)
    lead = trio.leader()
    lead.offer(trio.now, words.Keepers(names=("k0", "k1", "k2", "k3")))
    assert lead.changing()
    trio.pass_ms(500)
    assert not lead.changing() and trio.all["k3"].keepers() == ("k0", "k1", "k2", "k3")
    rest = tuple(n for n in ("k0", "k1", "k2", "k3") if n != lead.me)
    lead.offer(trio.now, words.Keepers(names=rest))
    trio.pass_ms(4000)
    assert lead.role is Role.FOLLOWS and trio.leader().me in rest


# -- one member


def member(now=0.0, **more):
    return Adopter(now, "m", 7, Terms(0, digest(OWN), OWN), make, **more)


def told(version=0, at=1, settled=0, asked=0.0, document="", moment=None, term=1, token=7):
    text = digest(document) if version else digest(OWN)
    return Told(term=term, token=token, at=at, settled=settled, version=version, digest=text,
                document=document, keepers=("k0",), asked_ms=asked, moment=moment)  # fmt: skip


def prepare(index=2, version=1, base=0, document='{"n":1}', by=1000.0, term=1, token=7):
    return Prepare(term=term, index=index, version=version, base=base, base_digest=digest(OWN),
                   document=document, token=token, by_ms=by, sent_ms=0.0)  # fmt: skip


def moment(stop, start=None):
    return Moment(name="m", token=7, stop_ms=stop, start_ms=stop if start is None else start)


STOP = '{"adoption":{"silent":"stop"}}'
# what happens, each at its time; then when it is asked: version taken under (None: none), state
LIVES = {
    "just started": ([], 10.0, None, Serving.ASKS),
    "told": ([(1.0, told())], 10.0, 0, Serving.SERVES),
    "told for another process": ([(1.0, told(token=8))], 10.0, None, Serving.ASKS),
    "told, but nobody asked": ([(1.0, told(asked=-1.0))], 10.0, None, Serving.ASKS),
    "promised": ([(1.0, told()), (2.0, prepare())], 999.0, 0, Serving.PROMISED),
    "promise over": ([(1.0, told()), (2.0, prepare())], 1000.0, None, Serving.WAITS),
    "promise renewed": ([(1.0, told()), (2.0, prepare()), (3.0, prepare(by=2000.0))], 1500.0, 0,
                        Serving.PROMISED),
    "abandoned": ([(1.0, told()), (2.0, prepare()), (3.0, told(at=3, settled=2))], 5000.0, 0, Serving.SERVES),
    "an older state releases nothing": ([(1.0, told()), (2.0, prepare()), (3.0, told(at=2))], 1000.0, None,
                                        Serving.WAITS),
    "prepared late, after its end": ([(1.0, told(at=3, settled=2)), (2.0, prepare())], 5000.0, 0,
                                     Serving.SERVES),
    "an earlier leader's word": ([(1.0, told(term=2)), (2.0, prepare())], 5000.0, 0, Serving.SERVES),
    "before the moment": ([(1.0, told()), (2.0, prepare()),
                           (3.0, told(1, 3, 2, -1.0, '{"n":1}', moment(1400.0, 1500.0)))], 1399.0, 0,
                          Serving.CHANGES),
    "between": ([(1.0, told()), (2.0, prepare()),
                 (3.0, told(1, 3, 2, -1.0, '{"n":1}', moment(1400.0, 1500.0)))], 1450.0, None,
                Serving.CHANGES),
    "past the moment": ([(1.0, told()), (2.0, prepare()),
                         (3.0, told(1, 3, 2, -1.0, '{"n":1}', moment(1400.0)))], 9000.0, 1, Serving.SERVES),
    "started, told what comes": ([(1.0, told(1, 3, 2, 0.0, '{"n":1}', moment(1400.0)))], 1000.0, None,
                                 Serving.ASKS),
    "started while it is prepared": ([(1.0, prepare(version=2, base=1, index=5)),
                                      (2.0, told(1, 3, 2, 0.0, '{"n":1}'))], 1000.0, None, Serving.WAITS),
    "on a lease": ([(1.0, told(1, 3, 2, 0.0, STOP))], 4999.0, 1, Serving.SERVES),
    "lease over": ([(1.0, told(1, 3, 2, 0.0, STOP))], 5000.0, None, Serving.LAPSED),
    "lease renewed": ([(1.0, told(1, 3, 2, 0.0, STOP)), (2.0, told(1, 3, 2, 900.0, STOP))], 5800.0, 1,
                      Serving.SERVES),
    "can't run under it": ([(1.0, told(1, 3, 2, 0.0, '{"unfit":1}'))], 2.0, None, Serving.ASKS),
    "keepers that are behind": ([(1.0, told(1, 3, 2, 0.0, '{"n":1}')), (2.0, told(0, 4, 2, 1.0))], 3.0, 1,
                                Serving.SERVES),
}  # fmt: skip


@pytest.mark.parametrize("name", LIVES)
def test_what_a_member_may_take_requests_under(name):
    happens, at, version, state = LIVES[name]
    a = member()
    for now, word in happens:
        (a.told if isinstance(word, Told) else a.prepare)(now, word)
    terms, retry_ms = a.look(at)
    assert (terms.version if terms else None) == version
    assert a.state(at) is state
    assert (retry_ms > 0.0) == (terms is None)


@pytest.mark.parametrize("before, word, why", [
    ([], prepare(document='{"unfit":1}'), "unfit"),
    ([told(1, 3, 2, 0.0, '{"n":1}')], prepare(index=9), "runs under version 1"),
    ([told()], msgspec.structs.replace(prepare(), base_digest="other"), "its settings file"),
])  # fmt: skip
def test_why_a_member_says_no(before, word, why):
    a = member()
    for each in before:
        a.told(0.0, each)
    ready = a.prepare(1.0, word)
    assert not ready.yes and why in ready.why and a.promise is None


def test_after_a_later_leader_has_asked_an_earlier_one_gets_no_promise():
    a = member()
    a.told(0.0, told())
    assert a.seen(1.0, Look(term=4, sent_ms=0.0)).reading_ms == 1.0
    assert a.prepare(2.0, prepare(term=3)) is None and a.seen(3.0, Look(term=3, sent_ms=0.0)) is None


# -- a fleet in memory


def council(size=9, seed=3, **more):
    c = Council(World(), FaultSchedule(random.Random(seed)), size, 3, seed, **more)
    for number in range(size):
        c.start(number)
    c.sim.run(c.sim.now_s + 3.0)
    return c


def cut(c, *some, s=1e6, kind="cut"):
    every = frozenset(range(c.size))
    c.faults.add(NetworkFault(kind, frozenset(some), every - set(some), c.now(), c.now() + s * 1e3))


def asks_taken(c):
    return c.counts["turned away"]


def kept(c):
    c.history()
    return judge(c.lines)


def test_while_all_are_well_nobody_is_turned_away_for_a_change():
    c = council(every_s=0.01)
    before = asks_taken(c)
    for n in range(5):
        assert c.change(f"p{n}", n, json.dumps({"n": n})).state == "adopted"
    assert asks_taken(c) == before and kept(c) == []


def test_one_that_is_silent_is_named_and_all_serve_on():
    c = council()
    cut(c, 7)
    end = c.change("p", 0, '{"n":1}')
    assert end.state == "abandoned" and end.why == "silent: front-7"
    c.sim.run(c.sim.now_s + 2.0)
    assert {o.take() or o.party.terms(o.now())[0].version for o in c.ones.values()} == {0} and kept(c) == []


def test_one_that_says_no_ends_it():
    c = council()
    assert "unfit" in c.change("p", 0, '{"unfit":1}').why
    assert kept(c) == []


def test_a_change_goes_on_without_one_that_is_proved_gone_and_it_asks_when_it_comes_back():
    c = council()
    c.kill(7)
    assert c.change("p", 0, '{"n":1}').state == "adopted"
    c.start(7)
    c.sim.run(c.sim.now_s + 2.0)
    assert c.ones[7].party.terms(c.ones[7].now())[0].version == 1 and kept(c) == []


def test_one_that_starts_in_the_middle_of_a_change_has_its_say():
    c = council()
    cut(c, 8, s=2.0)  # it keeps the change waiting
    c.kill(7)
    c.wish(5, "p", 0, '{"n":1}')
    c.sim.run(c.sim.now_s + 1.2)
    c.start(7)
    assert c.change("p", 0, '{"n":1}').state == "adopted"
    c.sim.run(c.sim.now_s + 1.0)
    assert all(o.party.terms(o.now())[0].version == 1 for o in c.ones.values()) and kept(c) == []


def test_one_that_left_is_not_waited_for():
    c = council()
    c.ones[7].party.leave(c.ones[7].now())
    c.ones[7].pull()
    c.sim.run(c.sim.now_s + 0.1)
    cut(c, 7)
    c.wish(5, "p", 0, '{"n":1}')
    # it must have heard the question while it was there: what was said before this change began counts
    assert c.change("p", 0, '{"n":1}').state == "adopted" and kept(c) == []


def test_an_operator_may_vouch_for_a_silent_one_and_it_is_said_loudly_when_it_runs():
    c = council()
    cut(c, 7, s=40.0)
    c.note("vouched", fe="front-7")
    end = c.change("p", 0, '{"n":1}', without=("front-7",))
    assert end.state == "adopted"
    c.sim.run(c.sim.now_s + 45.0)
    one = c.ones[7]
    one.process.run(lambda: (one.party.others_run(one.now(), 1), one.pull()))
    c.sim.run(c.sim.now_s + 1.0)
    assert one.party.terms(one.now())[0].version == 1
    assert any(x["k"] == "said" and "newer" in x["what"] and x["fe"] == "front-7" for x in c.lines)
    assert kept(c) == []


def test_where_the_silent_stop_a_change_goes_on_without_them():
    c = council()
    assert c.change("p", 0, STOP).state == "adopted"
    cut(c, 7)
    end = c.change("q", 1, '{"n":2}')
    assert end.state == "adopted" and c.ones[7].party.terms(c.ones[7].now())[0] is None
    assert "run out" in c.ones[c.leader()].party.keeper.ledger.versions[-1].without[0][1]
    assert kept(c) == []


@pytest.mark.parametrize("proved, serve", [(3, True), (2, True), (1, False), (0, False)])
def test_a_lease_goes_on_while_a_majority_of_the_keepers_is_proved_gone(proved, serve):
    c = council()
    assert c.change("p", 0, STOP).state == "adopted"
    for number in range(3):
        c.kill(number)
    for _ in range(20):
        for one in c.ones.values():
            one.party.proved_gone(one.now(), {f"front-{n}": one.now() for n in range(proved)})
        c.sim.run(c.sim.now_s + 1.0)
    assert {o.party.terms(o.now())[0] is not None for o in c.ones.values()} == {serve}


def test_a_lease_that_has_run_out_is_not_begun_again_by_a_proof():
    a = member()
    a.told(1.0, told(1, 3, 2, 0.0, STOP))
    a.keepers_gone(5000.0, 4999.0)
    assert a.state(5001.0) is Serving.LAPSED
    a.told(1.0, told(1, 3, 2, 1000.0, STOP))
    a.keepers_gone(5000.0, 4000.0)
    assert a.state(8999.0) is Serving.SERVES and a.state(9000.0) is Serving.LAPSED


def lease_kept(over_ms, monkeypatch):
    """One that is cut off, whose clock is slow by the bound, the others' fast by it."""
    monkeypatch.setattr(changes, "LEASE_OVER_MS", over_ms)
    c = council(every_s=0.005)
    c.change("p", 0, STOP)
    for number, one in c.ones.items():
        rate = 0.99 if number == 7 else 1.01
        one.ahead_ms += c.now() * (one.rate - rate)
        one.rate = rate
    c.sim.run(c.sim.now_s + 3.0)
    cut(c, 7)
    monkeypatch.setattr(changes, "HOLD_MS", 9.0)  # so that only the lease is waited for
    monkeypatch.setattr(changes, "TICK_MS", 2.0)
    monkeypatch.setattr(changes, "AGAIN_MS", 5.0)
    monkeypatch.setattr(changes, "SLACK_MS", 0.0)
    assert c.change("q", 1, '{"n":2}').state == "adopted"
    return kept(c)


def test_a_lease_is_waited_for_by_clocks_that_differ(monkeypatch):
    assert lease_kept(changes.LEASE_OVER_MS, monkeypatch) == []


def test_without_the_bound_on_drift_a_lease_is_used_too_long(monkeypatch):
    assert [b.statement for b in lease_kept(adopter.LEASE_MS, monkeypatch)] == ["apart"]


def test_all_serve_on_while_all_keepers_are_gone_and_none_starts():
    c = council()
    for number in range(3):
        c.kill(number)
    c.kill(8)
    c.start(8)
    c.sim.run(c.sim.now_s + 30.0)
    assert all(c.ones[n].party.terms(c.ones[n].now())[0].version == 0 for n in range(3, 8))
    assert c.ones[8].party.state(c.ones[8].now()) is Serving.ASKS


def stale_reader(confirmed, monkeypatch):
    """The leader is cut off with one that starts there; the others adopt; what is the new one told?"""
    if confirmed is not None:
        monkeypatch.setattr(Keeper, "confirmed", confirmed)
    c = council()
    leader = c.leader()
    c.kill(8)
    others = frozenset(range(c.size)) - {leader, 8}
    c.faults.add(NetworkFault("cut", frozenset([leader, 8]), others, c.now(), c.now() + 1e7))
    monkeypatch.setattr(keepers, "ELECT_MS", 300.0)  # the others elect before the old leader gives up
    c.note("vouched", fe=f"front-{leader}")
    c.wish(5, "p", 0, '{"n":1}', without=(f"front-{leader}", "front-8"))
    c.sim.run(c.sim.now_s + 0.4)
    c.start(8)
    one = c.ones[8]
    one.party.leader, one.party.adopter.asked_ms = f"front-{leader}", -1e9  # it asks the old one first
    one.pull()
    c.sim.run(c.sim.now_s + 20.0)
    return one.party.terms(one.now())[0]


def test_a_leader_that_no_majority_hears_tells_nobody_to_serve(monkeypatch):
    assert stale_reader(None, monkeypatch) is None


def test_without_asking_a_majority_it_would(monkeypatch):
    assert stale_reader(lambda self, round: self.ready(), monkeypatch).version == 0


def test_a_keeper_whose_disk_is_full_keeps_nothing_and_says_so():
    c = council()
    leader = c.leader()
    c.full.add(leader)
    assert c.change("p", 0, '{"n":1}').state == "adopted"
    assert any(x["k"] == "said" and x["what"] == "keeps no more" for x in c.lines)
    assert c.ones[leader].party.terms(c.ones[leader].now())[0].version == 1 and kept(c) == []


def test_two_changes_at_a_time_one_wins_whole_the_other_is_stale():
    c = council()
    c.wish(5, "a", 0, '{"n":"a"}')
    c.wish(6, "b", 0, '{"n":"b"}')
    ends = {id: c.change(id, 0, json.dumps({"n": id})) for id in "ab"}
    assert sorted(e.state for e in ends.values()) == ["adopted", "refused"]
    assert "stale: made from version 0" in next(e.why for e in ends.values() if e.state == "refused")
    assert kept(c) == []


def test_an_operator_may_give_a_change_up():
    c = council()
    cut(c, 7)
    c.wish(5, "p", 0, '{"n":1}')
    c.sim.run(c.sim.now_s + 1.0)
    c.wish(5, "stop", 0, "", abandon=True)
    c.sim.run(c.sim.now_s + 1.0)
    assert c.change("p", 0, '{"n":1}').why == "abandoned by op"


# -- drawn plays, and every schedule of one fault


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_drawn_plays_break_nothing_and_a_change_goes_through_after(first):
    for seed in range(first, first + 20):
        played = play(seed)
        assert played.breaches == [], seed
        assert played.back, seed


def no_promise(patch):
    inner = Adopter.prepare

    def prepare_(self, now, word):
        ready = inner(self, now, word)
        if self.promise is not None:
            self.promise = self.promise._replace(until_ms=1e18)
        return ready

    patch.setattr(Adopter, "prepare", prepare_)


def said_before_it_is_kept(patch):
    def decide(self, now):
        self._turn(now)
        while self.out:
            at = next((i for i, d in enumerate(self.out) if isinstance(d, party.Tell)), 0)
            d = self.out[at]
            del self.out[at]
            if isinstance(d, party.Tell) and d.to in (self.name, ""):
                if d.to:
                    self.heard(now, self.name, self.token, d.word)
                    self._turn(now)
                continue
            return d
        return None

    patch.setattr(party.Party, "decide", decide)


def no_wait(patch):
    inner = changes.Lead._decide

    def decide(self, now):
        with pytest.MonkeyPatch.context() as inside:
            inside.setattr(changes, "HOLD_MS", 0.0)
            inner(self, now)

    patch.setattr(changes.Lead, "_decide", decide)


def stale_plan(patch):
    inner = changes.Lead.proposed

    def proposed_(self, now, p):
        version = self.keeper.ledger.version
        return inner(self, now, msgspec.structs.replace(p, base=max(p.base, version)))

    patch.setattr(changes.Lead, "proposed", proposed_)


def any_proof(patch):
    inner = changes.Lead._through
    patch.setattr(changes.Lead, "_through", lambda self, now, name, o: "gone" if o.gone_ms > -1e18 else inner(
        self, now, name, o))  # fmt: skip


def no_lease(patch):
    patch.setattr(changes, "LEASE_OVER_MS", 1000.0)


def tells_at_once(patch):
    patch.setattr(changes.Lead, "_in_force_ms", lambda self: -1e18)


def only_timers_change_over(patch):
    def terms(self, now):
        a = self.adopter
        return (None, 1.0) if a.asking or a.refused else (a.terms, 0.0)

    patch.setattr(party.Party, "terms", terms)


# mutant -> a play that finds it
PLAYS = [(no_promise, 1), (said_before_it_is_kept, 28), (no_wait, 0), (stale_plan, 0), (any_proof, 3),
         (no_lease, 2), (tells_at_once, 3), (only_timers_change_over, 1)]  # fmt: skip


@pytest.mark.parametrize("mutant, seed", PLAYS, ids=lambda x: getattr(x, "__name__", x))
def test_a_play_finds_what_is_broken_on_purpose(mutant, seed, monkeypatch):
    mutant(monkeypatch)
    assert play(seed).breaches


def few(fault):
    return fault[1] != 3  # the two members that keep nothing differ in their clocks only


def test_every_schedule_of_one_fault_holds():
    found = quorum.explore(quorum.beginning(), 20, 1, wanted=few)
    assert found.broken == "" and found.runs > 500 and found.depth == 20


@pytest.mark.parametrize("mutant", [no_promise, no_wait, tells_at_once, only_timers_change_over])
def test_the_explorer_finds_what_is_broken_on_purpose(mutant, monkeypatch):
    mutant(monkeypatch)
    found = quorum.explore(quorum.beginning(), 20, 1)
    assert "takes under version 0" in found.broken and found.way


# -- the judge itself

TOOK = {"k": "took", "fe": "a", "version": 1, "digest": "y", "t": 100.0}
ROWS = [[0, 0, "x", ""], [1, 0, "y", "p"], [2, 1, "z", "q"]]
STORY = [TOOK, {**TOOK, "fe": "b", "version": 2, "digest": "z", "t": 90.0},
         {"k": "change", "id": "p", "base": 0, "state": "adopted", "version": 1},
         {"k": "change", "id": "r", "base": 0, "state": "abandoned", "version": 1},
         {"k": "history", "rows": ROWS}]  # fmt: skip


def doctored(at, **more):
    return [{**x, **more} if i == at else x for i, x in enumerate(STORY)]


@pytest.mark.parametrize("lines, statement", [
    (STORY, None),
    (doctored(0, t=141.0), "apart"),
    (doctored(0, digest="w"), "nowhere"),
    (doctored(1, version=3), "nowhere"),
    (doctored(2, version=2), "kept"),
    (doctored(2, base=1), "kept"),
    (doctored(2, id="lost"), "kept"),
    (doctored(3, id="q"), "nowhere"),
    (doctored(4, rows=[ROWS[0], ROWS[2]]), "kept"),
    (doctored(4, rows=[ROWS[0], ROWS[1], [2, 0, "z", "q"]]), "kept"),
    (STORY[:-1], "kept"),
    ([{"k": "vouched", "fe": "a", "t": 99.0}, *doctored(0, t=141.0)], None),
])  # fmt: skip
def test_the_judge_refuses_a_doctored_record(lines, statement):
    found = {b.statement for b in judge(lines)}
    assert statement in found if statement else not found


# -- a keeper's file

ENTRIES = tuple(Entry(term=t, what=Opened()) for t in (1, 1, 2))


def file_with(path, fleet="gateway", name="front-0"):
    store = Store(path, fleet, name)
    store.keep(Kept(False, 2, "front-1", 0, 0, b"", ENTRIES), 0)
    store.close()
    return path


def test_a_file_gives_back_what_it_was_told_to_keep(tmp_path):
    path = file_with(tmp_path / "terms")
    store = Store(path, "gateway", "front-0")
    assert store.kept == Kept(False, 2, "front-1", 0, 0, b"", ENTRIES)
    store.keep(Kept(False, 3, "", 0, 0, b"", (Entry(term=3, what=proposed()),)), 1)
    store.keep(Kept(False, 3, "front-2", 0, 0, b"", ()), 2)
    store.close()
    again = Store(path, "gateway", "front-0")
    assert [e.term for e in again.kept.entries] == [1, 3] and again.kept.voted == "front-2"
    again.keep(Kept(False, 3, "", 2, 3, b"state", ()), 0)
    again.close()
    assert Store(path, "gateway", "front-0").kept == Kept(False, 3, "", 2, 3, b"state", ())


def sql(path, *statements):
    db = sqlite3.connect(path)
    for each in statements:
        db.execute(each)
    db.commit()
    db.close()


@pytest.mark.parametrize("spoil, why", [
    (lambda p: sql(p, "PRAGMA user_version = 2"), "found format 2; allowed: 1"),
    (lambda p: sql(p, "PRAGMA application_id = 5"), "another program"),
    (lambda p: sql(p, "UPDATE head SET fleet = 'other'"), "in fleet 'other'"),
    (lambda p: sql(p, "UPDATE head SET name = 'front-9'"), "'front-9'"),
    (lambda p: sql(p, "UPDATE head SET term = 9"), "the head's digest"),
    (lambda p: sql(p, "DELETE FROM entry WHERE number = 2"), "entry 3"),
    (lambda p: sql(p, "UPDATE entry SET body = x'7b7d' WHERE number = 3"), "entry 3"),
    (lambda p: p.write_bytes(b"no database at all, but long enough to be read as one" * 20), "damaged"),
    (lambda p: p.write_bytes(p.read_bytes()[:4096] + b"\xff" * 6000), "damaged"),
])  # fmt: skip
def test_a_file_that_is_not_fit_is_refused_by_name_and_put_aside(tmp_path, spoil, why):
    path = file_with(tmp_path / "terms")
    spoil(path)
    was = path.read_bytes()
    with pytest.raises(StorageError, match="terms.aside-1") as refused:
        Store(path, "gateway", "front-0")
    assert why in str(refused.value)
    assert not path.exists() and (tmp_path / "terms.aside-1").read_bytes() == was
    assert Store(path, "gateway", "front-0").kept.blank  # it may not vote until it has asked the others


def test_a_file_in_use_is_refused_and_left_alone(tmp_path):
    path = file_with(tmp_path / "terms")
    held = Store(path, "gateway", "front-0")
    with pytest.raises(StorageError, match="locked"):
        Store(path, "gateway", "front-0")
    held.close()
    assert Store(path, "gateway", "front-0").kept.term == 2


def test_a_full_disk_leaves_what_was_kept(tmp_path):
    store = Store(file_with(tmp_path / "terms"), "gateway", "front-0")
    pages = store.db.execute("PRAGMA page_count").fetchone()[0]
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.Error, match="full"):
        store.keep(Kept(False, 9, "", 0, 0, b"x" * 100_000, ()), 0)
    assert store.kept.term == 2
    store.close()
    assert Store(tmp_path / "terms", "gateway", "front-0").kept.entries == ENTRIES


# -- the document

TREE = {
    "tariffs": [{"name": "quick", "effect": "harmless", "quoted_ms": 500, "outer_ms": 1000}],
    "functions": [{"name": "station-*", "memory_mb": 100, "lanes": 2}],
}
ALONE = {"front_end": FrontEndPlace(name="-", zone="-"), "fleet": Fleet(zones=["-"])}


def test_one_document_has_one_form():
    text = canonical(check("terms", TREE, ALONE))
    assert read(text, ALONE) == check("terms", json.loads(text), ALONE)
    assert canonical(read(text, ALONE)) == text


@pytest.mark.parametrize("tree, where", [
    ({**TREE, "listen": {"port": 1}}, "listen"),
    ({**TREE, "tariffs": []}, "tariffs"),
    ({**TREE, "adoption": {"silent": "die"}}, "adoption.silent"),
    ({**TREE, "tariffs": [{**TREE["tariffs"][0], "outer_ms": 400}]}, r"tariffs\[0\].quoted_ms"),
    ({"tariffs": TREE["tariffs"]}, "functions"),
])  # fmt: skip
def test_a_document_is_checked_like_settings(tree, where):
    with pytest.raises(SettingsError, match=where):
        check("terms", tree, ALONE)


def test_what_is_no_document_is_a_fault():
    for text in ("", "[]", "{", "null"):
        with pytest.raises(SettingsError):
            read(text, ALONE)


def test_what_differs_and_what_is_dangerous_is_said():
    before = canonical(check("a", {**TREE, "customers": [{"name": "n", "portion": 0.5, "rate": 5}]}, ALONE))
    tree = json.loads(before)
    tree["tariffs"][0].update(outer_ms=900.0, effect="one-shot")
    tree["customers"] = [{"name": "s", "portion": 0.5, "rate": 9.0}]
    found = {d.where: d for d in differences(before, json.dumps(tree))}
    assert found["tariffs[quick].outer_ms"].danger and found["tariffs[quick].effect"].danger
    assert found["customers[n]"].after == "dropped" and found["customers[s]"].before == "nothing"
    assert set(found) == {"tariffs[quick].outer_ms", "tariffs[quick].effect", "customers[n]", "customers[s]"}
