"""The emulation: its queue, its network, its links, and whole days judged by the one checker."""

import random

import msgspec
import pytest
from test_days import BREAKERS, day

from petrelway.emulator.day import EmulatedDay
from petrelway.emulator.executor_channel import WAITING_BOUND, Cable, EmulatedLink
from petrelway.emulator.network import DIAL_MS, Network
from petrelway.fakes.fault_script import Happening
from petrelway.fakes.in_memory_network import Process, World
from petrelway.gateway.executor_channel import GREETING_TIMEOUT_MS
from petrelway.invariants.checker import figures, judge
from petrelway.routing.router import FrontEnd
from petrelway.routing.types import NEVER_RAN, Outcome
from petrelway.settings.days import EMULATED_ONLY, KINDS, check_day, check_playable
from petrelway.settings.reading import SettingsError


def play(tree, kind=FrontEnd, **how):
    played = EmulatedDay(tree, kind, **how)
    lines = played.play()
    return played, lines, judge(lines, figures(played.day))


def kept(tree):
    played, lines, faults = play(tree)
    assert not faults, [f[:4] for f in faults[:5]]
    assert not played.log.lines, played.log.lines[:3]
    assert all(front.dispatcher.unanswered == 0 for front in played.fronts.values())
    asked = {x["m"] for x in lines if x["k"] == "due"}
    good = {f"{x['_source']}\n{x['id']}" for x in lines if x["k"] == "answer" and x["o"] == "fulfilled"}
    return lines, len(good) / len(asked)


def test_ten_thousand_in_one_millisecond():
    played = []
    sim = World(10.0)
    for i in range(10_000):
        sim.later(0.5 + (i % 7) * 1e-4, played.append, (i % 7, i))
    cancelled = sim.later(0.5, played.append, "never")
    moved = sim.later(0.5, played.append, "moved")
    cancelled.cancel()
    moved.reset(2.0)
    sim.later(0.5, sim.later, -1.0, played.append, "at once")
    sim.run(11.0)
    at = played.index("at once")
    ties = played[:at] + played[at + 1 :]
    assert ties == sorted(ties) and len(ties) == 10_000 and 0 < at < 2_000
    sim.run(20.0)
    assert played[-1] == "moved" and len(played) == 10_002 and sim.now_s == 20.0


def net(**changes):
    told = {"within_ms": 1.0, "between_ms": 10.0, "jitter": 0.0, "loss": 0.0, "again_ms": 200.0, **changes}
    return Network(**told, random_source=random.Random(4))


def test_a_cable_keeps_its_order_and_waits_for_the_end_of_a_cut():
    sim, network, heard = World(0.0), net(loss=0.3, jitter=0.5), []
    cable = Cable(sim, network, 0, 1)
    for i in range(200):
        sim.later(i / 1e3, cable.carry, lambda i=i: heard.append((i, sim.now_s)))
    sim.later(0.1, network.cut, 1, True)
    sim.later(0.15, network.cut, 1, True)  # two that overlap
    sim.later(2.0, network.cut, 1, False)
    sim.later(5.0, network.cut, 1, False)
    sim.run(60.0)
    assert [i for i, _ in heard] == list(range(200))  # all, once, in order, though some were lost on the way
    before, after = [t for i, t in heard if i < 100], [t for i, t in heard if i >= 101]
    assert min(after) >= 5.0 and max(after) < 12.0 and min(before) < 1.0


class Rig:
    """One link to one executor of a day, and what its host hears."""

    def __init__(self, **changes):
        self.day = EmulatedDay(day(length=10, rate=1, fleet={"load_fail": 0.0, "error_rate": 0.0, **changes}))
        self.sim, self.life = self.day.sim, self.day.lives[0]
        self.place = self.day.fronts[1].place
        self.ends, self.load_requests = [], []
        self.link = EmulatedLink(
            0, "executor-0", "", 0, "front-1", "p", None, self.place, random.Random(1), self, None
        )

    def attempt_ended(self, executor, key, outcome, *rest):
        self.ends.append((key[0], outcome))

    def load_request_answered(self, executor, id, outcome, replicas):
        self.load_requests.append((id, outcome, replicas))

    def send(self, serial=1):
        self.link.send(
            (serial, 0), "m", "model-0", 300.0, 4, "safe", "north", 3000.0, 0.0, "", (100.0, 0.0, 0)
        )

    def run(self, seconds):
        self.sim.run(self.sim.now_s + seconds)


def test_each_outcome_of_an_emulated_link():
    def served(rig):
        rig.send()

    def dead(rig):
        rig.life.die()
        rig.send()

    def dies_under_it(rig):
        rig.send()
        rig.run(0.05)
        rig.life.die()

    def cut_off_before(rig):
        rig.day.network.cut(0, True)
        rig.send()
        rig.run(DIAL_MS / 1e3 + 0.01)
        assert rig.ends == [(1, Outcome.UNREACHABLE)]

    def between_two_tries(rig):
        dead(rig)
        rig.run(0.01)
        assert rig.ends.pop() == (1, Outcome.UNREACHABLE)
        rig.send()
        assert rig.ends, "at once: holding it would hide the outage"

    def hangs_and_accepts(rig):
        rig.life.machine.freeze(True)
        rig.send()
        rig.run(GREETING_TIMEOUT_MS / 1e3 - 0.1)
        assert not rig.ends

    def closed(rig):
        rig.link.close()
        rig.send()

    def closed_under_it(rig):
        rig.send()
        rig.run(0.01)
        rig.link.close()

    def a_later_process(rig):
        rig.send()
        rig.run(0.01)
        rig.link.restarted(5_000.0, 5_000.0)

    def says_garbage(rig):
        rig.life.garbage = 1.0
        rig.send()

    table = [
        (served, Outcome.SUCCEEDED),
        (dead, Outcome.UNREACHABLE),
        (dies_under_it, Outcome.RESET),
        (cut_off_before, Outcome.UNREACHABLE),
        (between_two_tries, Outcome.UNREACHABLE),
        (hangs_and_accepts, Outcome.UNREACHABLE),
        (closed, Outcome.UNSENT),
        (closed_under_it, Outcome.RESET),
        (a_later_process, Outcome.RESET),
        (says_garbage, Outcome.RESET),
    ]
    for case, expected in table:
        rig = Rig()
        case(rig)
        rig.run(6.0)
        assert rig.ends == [(1, expected)], case.__name__
        received = any(x["k"] == "recv" and x["m"] == "m" for x in rig.day.tape.lines)
        assert not (received and expected in NEVER_RAN), case.__name__  # never run is never claimed wrongly


def test_withdrawal_orders_and_coming_back():
    rig = Rig()
    rig.send(1)
    rig.run(0.005)
    assert rig.link.cancel_attempt((1, 0)) is Outcome.CANCELLED and rig.link.cancel_attempt((1, 0)) is None
    assert (
        rig.link.request_load(7, "model-1", 1, 300.0, 4) is None
        and rig.link.request_load(8, "model-1", 2, 300.0, 4) is None
    )
    rig.run(0.01)
    rig.life.die()
    rig.run(0.01)
    assert rig.load_requests == [(7, Outcome.RESET, 0), (8, Outcome.RESET, 0)] and rig.ends == []
    rig.life.start(cold=True)
    rig.run(1.0)
    rig.send(2)
    assert rig.link.request_load(9, "model-2", 1, 300.0, 4) is None
    rig.run(4.0)
    assert rig.ends == [(2, Outcome.SUCCEEDED)] and rig.load_requests[-1] == (9, Outcome.SUCCEEDED, 1)
    assert len(rig.life.wires) >= 1 and len([w for w in rig.life.wires if w.link is rig.link]) == 1


def test_what_nobody_reads_is_bounded():
    rig = Rig()
    rig.link.request_load(0, "model-0", 1, 300.0, 4)
    rig.run(0.1)
    rig.life.happen(Happening(0.0, "executor", 0, "never read"))
    for i in range(WAITING_BOUND):
        rig.send(i)
    rig.run(0.05)
    assert not rig.ends
    rig.send(WAITING_BOUND)
    assert len(rig.ends) == WAITING_BOUND + 1 and {o for _, o in rig.ends} == {Outcome.RESET}
    assert rig.link.wire is None and not rig.link.out


def test_what_falls_due_while_a_process_stands_can_still_be_cancelled():
    """Danger: a time-out that fires at a thaw, after the answer that came before it in the same backlog."""
    sim, heard = World(), []
    process = Process(sim)
    late = process.callLater(2.0, heard.append, "time-out")
    process.callLater(1.5, late.cancel)
    process.callLater(1.8, heard.append, "kept")
    sim.later(1.0, process.freeze)
    sim.later(3.0, process.thaw)
    sim.run(sim.now_s + 5.0)
    assert heard == ["kept"] and not late.active()


def test_the_same_seed_gives_the_same_record_byte_for_byte():
    tree = day(["deploy", "hang", "balancer_crash", "loss"], seed=4, network={"jitter": 0.4})
    one, other = (msgspec.json.encode(play(tree)[1]) for _ in range(2))
    assert one == other and len(one) > 100_000
    assert one != msgspec.json.encode(play({**tree, "day": {**tree["day"], "seed": 5}})[1])


SIZE = {"cut": {"which": 1}, "far": {"size": 60}, "loss": {"size": 0.05}}


@pytest.mark.parametrize("kind", KINDS)
def test_each_fault_alone(kind):
    tree = day([kind], seed=3)
    tree["troubles"][0].update(SIZE.get(kind, {}))
    lines, good = kept(tree)
    assert good > 0.6
    if kind in ("one_byte", "roster_gap"):
        return  # frames have no bytes here; and the list has nothing to lose on a day without changes
    quiet = kept(day([], seed=3))[0]
    assert msgspec.json.encode(lines) != msgspec.json.encode(quiet)  # the fault was really there


@pytest.mark.parametrize("seed", range(12))
def test_overlapping_faults(seed):
    random_source = random.Random(seed)
    tree = day(
        random_source.sample(KINDS, 5),
        seed=seed,
        rate=random_source.choice([30, 60, 150]),
        keeping={"answers_miss": random_source.random() < 0.4},
        fleet={
            "images": random_source.random() < 0.5,
            "eager": random_source.random() < 0.5,
            "fronts": random_source.choice([1, 3, 12]),
        },
        network={"between_ms": random_source.choice([0.5, 20.0]), "loss": random_source.choice([0.0, 0.01])},
        **({"ration": {"window_ms": 3000, "free": 4, "share": 0.2}} if random_source.random() < 0.5 else {}),
    )
    for fault in tree["troubles"]:
        fault.update(SIZE.get(fault["kind"], {}))
    kept(tree)


@pytest.mark.parametrize("rule, kind, tree", BREAKERS)
def test_a_front_end_that_breaks_a_rule_is_caught(rule, kind, tree):
    assert rule in {f.rule for f in play(tree, kind)[2]}
    assert not play(tree)[2]


def test_a_front_end_restarted_in_the_middle_of_a_herd():
    """A flush sends everybody to the store; one front end dies in it and its clients go to the others."""
    tree = day(["flush", "balancer_crash"], seed=6, rate=150, length=12)
    tree["troubles"][0].update(size=1.0, at_s=4)
    tree["troubles"][1].update(on=[1], at_s=4.2, len_s=2)
    lines, good = kept(tree)
    assert good > 0.8
    assert {x["fp"] for x in lines if x["k"] == "recv" and x["fe"] == "front-1"} == {"p2", "p4"}
    assert any(x["k"] == "lost" and x["fe"] == "front-1" for x in lines)


def test_a_retry_storm_after_a_wave_of_rejects():
    """Half the fleet is gone at twice the load: many rejects, and all clients come back at once."""
    tree = day(
        ["zone_loss", "burst"],
        seed=8,
        rate=200,
        length=14,
        traffic={"retries": 6, "backoff_ms": 5, "honour": 0.2},
    )
    tree["troubles"][0].update(size=0.0, len_s=3)
    tree["troubles"][1].update(size=3, len_s=3)
    lines, _ = kept(tree)
    rejects = [x["t"] for x in lines if x["k"] == "answer" and x["o"] == "nacked"]
    asks = [x for x in lines if x["k"] == "ask"]
    assert len(rejects) > 300 and sum(x["r"] > 1 for x in asks) > 200
    late = [x for x in lines if x["k"] == "answer" and x["t"] > 11_000 and x["r"] == 0]
    assert sum(x["o"] == "fulfilled" for x in late) > 0.9 * len(late)  # it is over when its cause is


def test_all_front_ends_told_of_a_newcomer_in_the_same_tick():
    """Danger: each sends what it alone may, and the cold one is pushed over by all together (rule 4)."""
    tree = day(
        ["deploy"],
        seed=9,
        rate=250,
        length=12,
        fleet={"fronts": 30},
        network={"jitter": 0.0, "between_ms": 0.2},
    )
    tree["roster"] = {"notice_ms": [100, 100], "add_ms": [100, 100]}
    lines, good = kept(tree)
    told = {}
    for x in lines:
        if x["k"] == "told" and not x["full"] and x["lines"][0][1] == "ready":
            told.setdefault(x["lines"][0][0], []).append(x["t"])
    assert told and all(len(times) == 30 and len(set(times)) == 1 for times in told.values())
    assert good > 0.8


def test_the_store_collapses_during_a_flush():
    store = {"takes": 2, "limit": 30, "fall_multiple": 1.5, "fall_ms": 300, "down_ms": 2000}
    tree = day(["flush", "scan"], seed=5, rate=80, length=12, store=store)
    tree["troubles"][0].update(size=1.0)
    played, lines, faults = play(tree)
    assert not faults and played.store.falls > 0 and played.store.refused > 0
    outcomes = [x["o"] for x in lines if x["k"] == "answer" and x["t"] > 10_000]
    assert outcomes.count("fulfilled") > 0.8 * len(outcomes)


def test_what_only_an_emulation_plays():
    tree = day(EMULATED_ONLY, fleet={"fronts": 65, "executors": 501})
    check_day("x", tree)
    with pytest.raises(SettingsError) as caught:
        check_playable("x", tree)
    assert [f.path for f in caught.value.faults] == ["fleet.executors", "fleet.fronts"] + [
        f"troubles[{i}].kind" for i in range(3)
    ]
