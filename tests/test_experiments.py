"""Experiments: the grid, results on disk, a run that is killed and goes on, comparisons, hunts."""

import copy
import json
import random

import numpy as np
import pytest
from click.testing import CliRunner
from test_days import BREAKERS, day

from petrelway.commands import main
from petrelway.emulator import experiment as experiments
from petrelway.emulator.compare import paired
from petrelway.emulator.experiment import (
    AXIS,
    Experiment,
    NotResumableError,
    RunFailedError,
    open_results,
    play,
)
from petrelway.emulator.fault_search import Find, cut_down, drawn, simpler
from petrelway.emulator.results import Results, ResultsFileError, load
from petrelway.settings.days import KINDS, check_day
from petrelway.settings.reading import SettingsError

AXES = {
    "rate": {"path": "traffic.rate", "values": [5, 10]},
    "trouble": {"sets": {"quiet": {"troubles": []}, "slow": {"troubles": [{"kind": "slow", "at_s": 0}]}}},
}


def asked(**changes):
    return {"base": day(length=1, rate=5), "axes": AXES, "seeds": 2, **changes}


def test_the_grid():
    e = Experiment("x", asked(policies=["petrelway", "random"]))
    points = list(e.points())
    assert len(points) == e.size() == 16 and len({p.key() for p in points}) == 16
    assert [p.key() for p in points] == [
        p.key() for p in Experiment("x", asked(policies=["petrelway", "random"])).points()
    ]
    assert {(p.tree["traffic"]["rate"], len(p.tree["troubles"])) for p in points} == {
        (5, 0),
        (5, 1),
        (10, 0),
        (10, 1),
    }
    assert points[0].tree["day"]["seed"] != points[1].tree["day"]["seed"] and e.base["traffic"]["rate"] == 5
    ranged = {
        "rate": {"path": "traffic.rate", "low": 1, "high": 100, "log": True},
        "trouble": AXES["trouble"],
    }
    some = list(Experiment("x", asked(axes=ranged, sample=20, seeds=1)).points())
    rates = [p.tree["traffic"]["rate"] for p in some]
    assert len(some) == 20 and len(set(rates)) > 15 and 1 <= min(rates) < 5 and 20 < max(rates) <= 100


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"policies": ["best"]}, "policies[0]"),
        ({"axes": {"a": {"path": "traffic.rate"}}}, "axes.a"),
        ({"axes": {"a": {"values": [1]}}}, "axes.a"),
        ({"axes": {"a": {"path": "traffic.rate", "low": 1, "high": 2}}}, "axes.a"),
        (
            {"axes": {"a": {"path": "traffic.rate", "low": -1, "high": 2, "log": True}}, "sample": 3},
            "axes.a.low",
        ),
        ({"axes": {"a": {"path": "customers.7.rate", "values": [1]}}}, "customers.7.rate"),
        ({"axes": {"a": {"path": "traffic.rate", "values": [-1]}}}, "traffic.rate"),
        ({"axes": {"a": {"path": "traffic.rate", "values": list(range(1, 2000))}}, "seeds": 900}, "axes"),
        ({"seeds": 0}, "seeds"),
    ],
)
def test_an_experiment_that_is_none(changes, path):
    with pytest.raises(SettingsError) as caught:
        Experiment("x", asked(**changes))
    assert caught.value.faults[0].path == path


def test_results_on_disk(tmp_path):
    made, path = Results({"commit": "c"}), tmp_path / "r.npz"
    for i in range(3):
        made.add({AXIS + "rate": "5", "policy": "p", "seed": float(i), "service": 0.5 + i})
    with pytest.raises(ValueError, match="allowed"):
        made.add({"policy": "p"})
    made.save(path)
    found = load(path)
    assert found.meta == {"commit": "c"} and found.rows() == made.rows() and found.names(AXIS) == ["rate"]
    raw = path.read_bytes()
    for i in range(0, len(raw), 97):  # cut off, or one byte changed: named, never a crash
        for bad in (raw[:i], raw[:i] + bytes([raw[i] ^ 0x55]) + raw[i + 1 :]):
            path.write_bytes(bad)
            try:
                assert load(path).count == 3
            except ResultsFileError as fault:
                assert "r.npz" in str(fault)
    np.savez(path, a=np.zeros(3))
    with pytest.raises(ResultsFileError):
        load(path)


def test_killed_halfway_and_resumed(tmp_path, monkeypatch):
    monkeypatch.setattr(experiments, "SAVE_EVERY", 2)
    path, e = tmp_path / "r.npz", Experiment("x", asked())
    results = open_results(e, path)

    def killed(done, of):
        if done == 5:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        play(e, results, path, 2, killed)
    part = load(path)
    assert 5 <= part.count < 8
    seen = []
    play(e, open_results(e, path), path, 2, lambda done, of: seen.append(done))
    whole = load(path)
    keys = [(r[AXIS + "rate"], r[AXIS + "trouble"], r["policy"], r["seed"]) for r in whole.rows()]
    assert seen[0] == part.count and seen[-1] == 8 and len(keys) == len(set(keys)) == 8
    assert whole.rows()[: part.count] == part.rows()  # what was played was not played again
    with pytest.raises(NotResumableError, match="experiment"):
        open_results(Experiment("x", asked(seeds=3)), path)
    whole.meta["decisions"] = "other"
    whole.save(path)
    with pytest.raises(NotResumableError, match="decisions"):
        open_results(e, path)


def test_a_run_that_fails_is_named_and_the_others_are_kept(tmp_path, monkeypatch):
    monkeypatch.setattr(experiments, "run", fails_at_ten)
    path, e = tmp_path / "r.npz", Experiment("x", asked())
    with pytest.raises(RunFailedError, match="'10'"):
        play(e, open_results(e, path), path, 1, lambda done, of: None)
    assert load(path).count == 4


def fails_at_ten(tree, policy):
    if tree["traffic"]["rate"] == 10:
        raise MemoryError
    return {"service": 1.0}


def rows(random_source, mean, spread, seeds=8, point="a"):
    return [
        {"at": point, "seed": float(s), "service": random_source.gauss(mean, 0.001) + spread * s}
        for s in range(seeds)
    ]


def test_differences_beyond_noise():
    random_source = random.Random(1)
    # what moved, and how much seeds differ from each other: pairs take the latter out
    for mean, spread, differs in ((0.02, 0.05, True), (0.0, 0.05, False), (0.02, 0.0, True)):
        found = paired(
            rows(random_source, 0.5, spread),
            rows(random_source, 0.5 + mean, spread),
            ["at"],
            "service",
            random_source,
        )
        assert [f.differs for f in found] == [differs] and found[0].low <= found[0].mean <= found[0].high
    wrong = 0
    for i in range(60):  # noise alone, at 20 points each: hardly ever a verdict
        a = [r for k in range(20) for r in rows(random_source, 0.5, 0.01, point=str(k))]
        b = [r for k in range(20) for r in rows(random_source, 0.5, 0.01, point=str(k))]
        wrong += any(f.differs for f in paired(a, b, ["at"], "service", random_source))
        if not i:
            assert paired(a, b[:8], ["at"], "service", random_source)[0].pairs == 8
    assert wrong <= 9


def test_hunted_days_are_days_and_cut_down():
    random_source = random.Random(3)
    base = day(length=10)
    for _ in range(200):
        check_day("x", drawn(base, random_source, list(KINDS)))

    def play(tree):
        kinds = [t["kind"] for t in tree["troubles"]]
        played.append(kinds)
        broken = {"hang", "cut"} <= set(kinds) and tree["fleet"]["executors"] >= 4
        return Find(tree, frozenset([2] if broken else []), 0.9 - 0.1 * len(kinds))

    played = []
    tree = copy.deepcopy(base)
    tree["troubles"] = [
        {"kind": k, "at_s": 1, "len_s": 8, "part": 0.6} for k in ("slow", "hang", "flush", "cut", "scan")
    ]
    find, count = cut_down(play(tree), play, 100)
    assert [t["kind"] for t in find.tree["troubles"]] == ["hang", "cut"] and find.rules == {2}
    assert find.tree["fleet"]["executors"] == 4 and find.tree["fleet"]["fronts"] == 1 and count <= 100
    assert all(t["len_s"] < 1 for t in find.tree["troubles"]) and len(tree["troubles"]) == 5
    # without a violation the fleet stays, or it would be served worse for another reason
    tree["troubles"] = [t for t in tree["troubles"] if t["kind"] != "hang"]
    find, _ = cut_down(Find(tree, frozenset(), 0.4), play, 100)
    assert find.tree["fleet"]["executors"] == 9
    assert all(t["fleet"] == tree["fleet"] for t in simpler(tree, False))


def test_the_commands(tmp_path):
    def run(*words):
        done = CliRunner().invoke(main, [str(w) for w in words])
        assert done.exception is None or isinstance(done.exception, SystemExit), done.exception
        return done.exit_code, done.output

    file = tmp_path / "day.jsonnet"
    file.write_text(json.dumps(day(["deploy"], length=5, rate=20)))
    code, out = run("emulate", file, "--record", tmp_path / "record", "--seed", 4)
    assert code == 0 and "rules: all five kept" in out
    assert run("judge", tmp_path / "record")[0] == 0
    assert run("emulate", file, "--record", tmp_path / "record")[0] == 2
    file.write_text(json.dumps(day(["cut"], length=5, rate=20)))
    code, out = run("rehearse", file)
    assert code == 2 and "troubles[0].kind" in out and "only in an emulation" in out
    broken = day(length=5)
    broken["fleet"]["halls"] = []
    file.write_text(json.dumps(broken))
    code, out = run("emulate", file)
    assert code == 2 and "fleet.halls" in out
    results = Results({"commit": "", "decisions": "d"})
    random_source = random.Random(2)
    for policy, mean in (("petrelway", 0.9), ("random", 0.4)):
        for rate in (10, 20):
            for seed in range(4):
                results.add({AXIS + "<b>rate": str(rate), "policy": policy, "seed": float(seed),
                             "service": mean + 0.01 * random_source.random()})  # fmt: skip
    results.save(tmp_path / "r.npz")
    code, out = run("plot", tmp_path / "r.npz", "-o", tmp_path / "plots", "--figures", "service")
    page = (tmp_path / "plots" / "report.html").read_text()
    assert code == 0 and "&lt;b&gt;rate" in page and "<b>rate" not in page
    assert {p.suffix for p in (tmp_path / "plots").iterdir()} == {".svg", ".png", ".html"}
    code, out = run("compare", tmp_path / "r.npz", "--policies", "random", "petrelway")
    assert code == 1 and out.count("differs") == 2
    assert run("compare", tmp_path / "r.npz", tmp_path / "r.npz")[0] == 0
    assert run("plot", tmp_path / "r.npz", "-o", tmp_path, "--figures", "x")[0] == 2
    assert run("compare", file, file)[0] == 2
    file.write_text("{}")
    for words in (["hunt", file, "-o", tmp_path / "find.jsonnet"], ["hunt", file, "--tries", 0, "-o", "x"],
                  ["experiment", file, "-o", tmp_path / "x.npz"]):  # fmt: skip
        assert run(*words)[0] == 2
    file.write_text(json.dumps(asked()))
    code, out = run("experiment", file, "-o", tmp_path / "none" / "x.npz")
    assert code == 2 and "--output" in out


def test_a_hunt_finds_and_saves_a_day(tmp_path, monkeypatch):
    from petrelway.emulator import runs

    rule, kind, tree = BREAKERS[1]
    monkeypatch.setitem(runs.POLICIES, "petrelway", kind)
    find = Find(tree, *runs.judged(tree, "petrelway"))
    assert rule in find.rules
    small, _ = cut_down(find, lambda t: Find(t, *runs.judged(t, "petrelway")), 12)
    again = json.loads(json.dumps(small.tree))
    assert runs.judged(again, "petrelway")[0] == small.rules and rule in small.rules  # a test can replay it
    assert len(json.dumps(small.tree)) <= len(json.dumps(tree))
