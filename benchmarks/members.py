"""Members and parts, emulated: what is found when, what it costs, and what the parts are worth.

    watch           time to detect, to agree, false suspicions, bytes, CPU a member
    parts           service after seven in ten died: number told, parts, true number
    uneven          the same where four fifths of the requests enter by a fifth of the front ends
    rain 0 1000     drawn days of overlapping faults, judged
    explore         every order of events of three members

Each prints its baseline beside it, from the same run. Emulated figures but for CPU, which is this machine's.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from petrelway.emulator import quota_model as partners
from petrelway.emulator.day import EmulatedDay
from petrelway.emulator.membership_simulation import Sea
from petrelway.emulator.random_membership_faults import draw
from petrelway.fakes.fault_schedule import FaultSchedule, NetworkFault
from petrelway.fakes.in_memory_network import World
from petrelway.invariants import membership_checker as fleet
from petrelway.invariants.checker import figures, judge
from petrelway.invariants.state_explorer import explore
from petrelway.membership.messages import MemberState
from petrelway.membership.quota_lease import STARTUP_WAIT_MS
from petrelway.settings.reading import evaluate

TORN = Path(__file__).parent.parent / "examples" / "torn-day.jsonnet"
TOLD, BY_PARTS, TRUE = "number told", "parts", "true number"


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def waters(size: int, seed: int) -> Sea:
    sea = Sea(World(), FaultSchedule(random.Random(seed)), size, seed)
    for number in range(size):
        sea.start(number)
    sea.sim.run(sea.sim.now_s + 20.0)
    return sea


def until(sea: Sea, what, step_s: float, most_s: float) -> float:
    """Seconds until it holds; the most if it does not."""
    begin = sea.sim.now_s
    while sea.sim.now_s < begin + most_s:
        if what():
            break
        sea.sim.run(sea.sim.now_s + step_s)
    return sea.sim.now_s - begin


def held(sea: Sea, number: int, state: MemberState) -> list[bool]:
    id = sea.ids[number]
    return [p.members.others[id].state is state for n, p in sea.peers.items() if n != number]


def watch_one(job: tuple[int, int]) -> dict[str, list[float]]:
    """One fleet at rest, then one killed, one that vanishes without a word, and a cut that heals."""
    size, seed = job
    sea, found = waters(size, seed), {}
    before, began, rest = sea.counts.copy(), time.perf_counter(), 20.0
    sea.sim.run(sea.sim.now_s + rest)
    found["CPU us a member a s"] = [(time.perf_counter() - began) * 1e6 / size / rest]
    for name in ("datagrams", "bytes", "tries"):
        found[f"{name} a member a s"] = [(sea.counts[name] - before[name]) / size / rest]
    victim, vanished = 1, 2
    sea.kill(victim)
    found["killed: s until all hold it failed"] = [
        until(sea, lambda: all(held(sea, 1, MemberState.DEAD)), 0.1, 60.0)
    ]
    every = frozenset(range(size))
    # nothing passes any more, and nothing refuses
    gone = NetworkFault("cut", frozenset([vanished]), every - {vanished}, sea.now(), sea.now() + 1e9)
    sea.faults.add(gone)
    others = [n for n in sea.peers if n != vanished]
    id = sea.ids[vanished]
    found["vanished: s until all others hold it failed"] = [
        until(
            sea,
            lambda: all(sea.peers[n].members.others[id].state is MemberState.DEAD for n in others),
            0.1,
            90.0,
        )
    ]
    sea.faults.clear(sea.now())
    side = frozenset(range(size * 5 // 12))
    sea.faults.add(NetworkFault("cut", side, every - side, sea.now(), sea.now() + 20_000.0))
    sea.sim.run(sea.sim.now_s + 20.0)
    alive = until(
        sea,
        lambda: all(len(p.members.by_state[MemberState.ALIVE]) == size - 2 for p in sea.peers.values()),
        0.25,
        120.0,
    )
    found["cut of 20 s: s until all that live are alive to all"] = [alive]
    found["cut of 20 s: s until all views agree to the last start"] = [
        alive + until(sea, lambda: len({p.members.view_digest for p in sea.peers.values()}) == 1, 0.25, 120.0)
    ]
    return found


def noisy_one(job: tuple[int, int]) -> tuple[int, int, float]:
    """A fifth of the datagrams lost, 200 ms late, one in six stopped for a second in turn: who is held for
    what."""
    size, seed = job
    sea = waters(size, seed)
    every = frozenset(range(size))
    for kind, much, extra in (
        ("loss", 0.2, 0),
        ("delay", 200.0, 50.0),
        ("double", 0.1, 300.0),
        ("reorder", 0.1, 300.0),
    ):
        sea.faults.add(NetworkFault(kind, every, every, sea.now(), sea.now() + 1e9, much, extra))
    some, suspected, failed, hours = list(range(0, size, 6)), 0, 0, 0.0
    for turn in range(90):
        stopped = some[turn % len(some)]
        sea.peers[stopped].process.freeze()
        sea.sim.run(sea.sim.now_s + 1.0)
        sea.peers[stopped].process.thaw()
        sea.sim.run(sea.sim.now_s + 1.0)
    for number, peer in sea.peers.items():
        for id, m in peer.members.others.items():
            if number == 0 and sea.numbers[id] not in some:
                suspected += m.incarnation.number - 1  # it had to answer so often
            if sea.numbers[id] not in some:
                failed += sum(c.member == id and c.what == "failed" for c in peer.said)
    hours = 180.0 / 3600.0
    return suspected, failed, hours


def watch(*sizes: tuple[int, int]) -> None:
    with ProcessPoolExecutor() as pool:
        for size, seeds in sizes or ((10, 40), (60, 24), (200, 8), (1000, 2)):
            rows: dict[str, list[float]] = {}
            for found in pool.map(watch_one, [(size, seed) for seed in range(seeds)]):
                for name, values in found.items():
                    rows.setdefault(name, []).extend(values)
            for name, values in rows.items():
                print(
                    f"{size:>5} members, {seeds:>2} seeds  {name:<56} median {statistics.median(values):8.2f}"
                    f"  p99 {percentile(values, 0.99):8.2f}",
                    flush=True,
                )
        for size in (12, 60):
            jobs = [(size, seed) for seed in range(16)]
            some = list(pool.map(noisy_one, jobs))
            hours = sum(x[2] for x in some)
            told = sum(x[0] for x in some) / hours / size
            print(
                f"{size:>5} members, 20% lost, 200 ms late, one in six stopped in turn: those never stopped"
                f" each answered {told:.1f} accusations an hour; held failed {sum(x[1] for x in some)} times"
                f" in {hours:.1f} h",
                flush=True,
            )


# -- what the parts are worth


def seven_in_ten(seed: int, what: str, members: bool) -> dict:
    """60 front ends, 24 executors; 42 front ends die at 10 s."""
    tree = evaluate(TORN)
    tree["day"] = {"length_s": 24, "seed": seed}
    tree["fleet"].update(executors=24, fronts=60, members=members)
    tree["traffic"].update(rate=600, retries=3)
    tree["customers"] = [
        {"name": "north", "portion": 0.6, "rate": 360}, {"name": "south", "portion": 0.4, "rate": 240}
    ]  # fmt: skip
    tree["fleet_troubles"] = []
    tree["troubles"] = [{"kind": "balancer_crash", "at_s": 10, "len_s": 60, "part": 0.7}]
    if what == "cold after it":
        tree["troubles"].append(
            {"kind": "deploy", "at_s": 11, "len_s": 3, "part": 1.0, "size": 0.34, "extra": 2}
        )
    elif what == "cold before it":
        tree["troubles"].insert(
            0, {"kind": "deploy", "at_s": 8, "len_s": 2, "part": 1.0, "size": 0.5, "extra": 2}
        )
    elif what == "half cold":
        tree["troubles"].append(
            {"kind": "deploy", "at_s": 13, "len_s": 6, "part": 0.5, "size": 0.1, "extra": 2}
        )
    return tree


def served(lines: list[dict], begin_ms: float, end_ms: float) -> float:
    """Share in time of the requests due then."""
    due = {x["m"]: x["at"] for x in lines if x["k"] == "due" and begin_ms <= x["at"] < end_ms}
    good: dict[str, float] = {}
    for x in lines:
        if x["k"] == "answer" and x["o"] == "fulfilled":
            good.setdefault(f"{x['_source']}\n{x['id']}", x["t"])
    return sum(1 for m, at in due.items() if m in good and good[m] - at <= 1000.0) / len(due)


def parts_one(job: tuple[int, str, str]) -> tuple[str, str, float, int, int, int]:
    seed, what, mode = job
    played = EmulatedDay(seven_in_ten(seed, what, mode == BY_PARTS))
    if mode == TRUE:  # as if each knew at once and for certain

        def know() -> None:
            for front in played.fronts.values():
                front.dispatcher.front_end.gate.own_share = 1.0 / len(played.fronts)

        played._at(10_000.1, know)
    lines = played.play()
    cold = sum(1 for x in lines if x["k"] == "fetch" and 10_000 <= x["t"] < 20_000)
    broken = len(judge(lines, figures(played.day)))
    breaches = 0
    if mode == BY_PARTS:
        breaches = len(fleet.judge(lines, [], 60, 24_000.0))
    return what, mode, served(lines, 10_000, 20_000), cold, broken, breaches


def parts(seeds: int, *days: str) -> None:
    """Of all four days, or of those named; with `only` before them without the baselines, for the rules."""
    assert STARTUP_WAIT_MS < 10_000.0
    modes = (BY_PARTS,) if days[:1] == ("only",) else (TOLD, BY_PARTS, TRUE)
    days = days[days[:1] == ("only",) :] or ("warm", "half cold", "cold before it", "cold after it")
    jobs = [(seed, what, mode) for what in days for seed in range(seeds) for mode in modes]
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(parts_one, jobs))
    for what in days:
        by = {mode: [r for r in rows if r[:2] == (what, mode)] for mode in modes}
        for mode, some in by.items():
            more = [a[2] - b[2] for a, b in zip(some, by[modes[0]], strict=False)]
            error = statistics.stdev(more) / len(more) ** 0.5 if len(more) > 1 else 0.0
            print(
                f"{what:<16} {mode:<12} service in the 10 s after: {statistics.mean(r[2] for r in some):.4f}"
                f" ({statistics.mean(more):+.4f}, standard error {error:.4f}); fetches"
                f" {statistics.mean(r[3] for r in some):.0f}; rules broken {sum(r[4] for r in some)},"
                f" statements {sum(r[5] for r in some)}; {len(some)} seeds",
                flush=True,
            )


# -- unequal entries: would loans between living members be worth anything?

BUSY, TIMES = 12, 16  # so many of 60 front ends get so many times what the others get: four fifths of all


def uneven_one(job: tuple[int, str, bool]) -> tuple[str, bool, float]:
    """With `lent` each share is as large as the part of the requests that enters there, from the start."""
    seed, what, lent = job
    tree = seven_in_ten(seed, what, False)
    tree["troubles"] = [x for x in tree["troubles"] if x["kind"] != "balancer_crash"]
    played = EmulatedDay(tree)
    weights = [TIMES if number < BUSY else 1 for number in range(60)]
    for clients in played.clients:
        fronts = clients.traffic.fronts
        clients.traffic.fronts = [[f for f in some for _ in range(weights[f])] for some in fronts]
    for number, front in played.fronts.items() if lent else ():
        front.dispatcher.front_end.gate.own_share = weights[number] / sum(weights)
    return what, lent, served(played.play(), 8000, 20_000)


def uneven(seeds: int) -> None:
    days = ("half cold", "cold before it", "cold after it")
    with ProcessPoolExecutor() as pool:
        jobs = [(seed, what, lent) for what in days for seed in range(seeds) for lent in (False, True)]
        rows = list(pool.map(uneven_one, jobs))
    for what in days:
        own, lent = ([r[2] for r in rows if r[:2] == (what, way)] for way in (False, True))
        more = [b - a for a, b in zip(own, lent, strict=False)]
        print(
            f"{what:<16} four fifths enter by 12 of 60: service {statistics.mean(own):.4f} with equal shares,"
            f" {statistics.mean(lent):.4f} with shares by entry ({statistics.mean(more):+.4f}, standard error"
            f" {statistics.stdev(more) / len(more) ** 0.5:.4f}); {len(more)} seeds"
        )


# -- drawn days


def rain_one(seed: int) -> tuple[int, list[str]]:
    played = EmulatedDay(draw(evaluate(TORN), seed))
    lines = played.play()
    day = played.day
    faults = [f"rule {f.rule}: {f.what}" for f in judge(lines, figures(day))]
    last_ms = day["day"].length_s * 1e3
    faults += [
        f"{b.statement}: {b.who}: {b.what}" for b in fleet.judge(lines, day["fleet_troubles"], 12, last_ms)
    ]
    return seed, faults


def rain(first: int, last: int) -> None:
    counts: Counter[str] = Counter()
    with ProcessPoolExecutor() as pool:
        for seed, faults in pool.map(rain_one, range(first, last), chunksize=4):
            counts["days"] += 1
            counts["days with a breach"] += bool(faults)
            if faults:
                print(f"seed {seed}: {faults[0]}", flush=True)
    print(dict(counts))


def explored() -> None:
    for kills, starts, stops, words in ((1, 1, 0, 0), (1, 1, 1, 0), (2, 1, 0, 0), (2, 2, 0, 0), (2, 2, 1, 1)):
        began = time.perf_counter()
        found = explore(partners.beginning(kills, starts, stops, words), partners.moves, partners.violation)
        print(
            f"{kills} deaths, {starts} starts, {stops} stops, {words} words: {found.states} states, depth"
            f" {found.depth}, {'all' if found.whole else 'not all'}, {found.broken or 'no breach'},"
            f" {time.perf_counter() - began:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    what, *more = sys.argv[1:] or ["watch"]
    if what == "watch":
        watch(*((int(size), int(seeds)) for size, seeds in zip(more[::2], more[1::2], strict=False)))
    elif what == "parts":
        parts(int(more[0]) if more else 10, *more[1:])
    elif what == "uneven":
        uneven(int(more[0]) if more else 8)
    elif what == "rain":
        rain(int(more[0]), int(more[1]))
    else:
        explored()
