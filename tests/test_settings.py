"""Settings: what is wrong is said with file, path, what was found and what is allowed."""

import copy
import json
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from petrelway.commands import main
from petrelway.fakes.fault_script import write
from petrelway.scenarios.bench_day import RATE_BOUND, convert
from petrelway.settings.days import check_day, read_day
from petrelway.settings.front import check_front_end
from petrelway.settings.reading import SettingsError, evaluate

FRONT = {
    "front_end": {"name": "x", "hall": "a"},
    "listen": {"port": 0},
    "roster": {"port": 9},
    "fleet": {"halls": ["a"]},
    "tariffs": [{"name": "t", "effect": "harmless", "quoted_ms": 1000, "outer_ms": 3000}],
    "functions": [{"name": "f", "memory_mb": 1, "lanes": 1}],
    "cold": {"multiple": 4, "span_ms": 1500, "start_share": 0.2, "warm_ms": 1000},
}


def peers(*more):
    line = {"name": "y", "address": "127.0.0.1", "port": 7}
    return {"fleet": "f", "port": 8, "members": [line, *({**line, **m} for m in more)]}


def test_peers_that_would_be_taken_for_each_other_are_refused():
    table = [
        ({"port": 9}, "'y'", "another one than that of 'y'"),
        ({"name": "z"}, "127.0.0.1:7", "another one than that of 'y'"),
        ({"name": "z", "address": "there"}, "'there'", "an address in figures"),
    ]
    place = {"name": "x", "hall": "a", "number": 0, "peers": 3}
    for more, found, allowed in table:
        with pytest.raises(SettingsError) as caught:
            check_front_end("f", {**FRONT, "front_end": place, "peers": peers(more)})
        [fault] = caught.value.faults
        assert fault.path.startswith("peers.members[1]") and (fault.found, fault.allowed) == (found, allowed)
    good = {**FRONT, "front_end": place, "peers": peers({"name": "z", "port": 9}, {"name": "x", "port": 8})}
    assert check_front_end("f", good)["peers"].fleet == "f"  # the own line does no harm


def test_faults_between_front_ends_are_checked():
    tree = evaluate(Path(__file__).parent.parent / "examples" / "torn-day.jsonnet")
    for scheduled, path in (
        ({"kind": "cut", "at_s": 1, "on": [12]}, "fleet_troubles[0].on"),
        ({"kind": "cut", "at_s": 99}, "fleet_troubles[0].at_s"),
        ({"kind": "loss", "at_s": 1, "to": "roster"}, "fleet_troubles[0].kind"),
        ({"kind": "cut", "at_s": 1, "to": "executors", "others": [9]}, "fleet_troubles[0].others"),
        ({"kind": "fog", "at_s": 1}, "fleet_troubles[0].kind"),
    ):
        with pytest.raises(SettingsError) as caught:
            check_day("d", {**tree, "fleet_troubles": [scheduled]})
        assert [f.path for f in caught.value.faults] == [path]


def changed(tree, path, value):
    tree = copy.deepcopy(tree)
    at = tree
    for step in path[:-1]:
        at = at[step]
    at[path[-1]] = value
    return tree


def test_faults_name_path_found_and_allowed():
    # path of the change, value, path named, words of found and allowed
    table = [
        (("peers",), peers(), "peers.members", "1 others", "0 others"),
        (("peers",), {"fleet": "f", "port": 0, "members": []}, "peers.port", "0", ">= 1"),
        (("front_end", "hall"), "z", "front_end.hall", "'z'", "fleet.halls"),
        (("front_end", "number"), 3, "front_end.number", "3", "peers - 1 = 0"),
        (("front_end", "nam"), "y", "front_end", "'nam'", "keys"),
        (("listen", "port"), 70000, "listen.port", "70000", "<= 65535"),
        (("listen", "port"), "x", "listen.port", '"x"', "int"),
        (("tariffs", 0, "quoted_ms"), 4000, "tariffs[0].quoted_ms", "4000", "3000"),
        (("tariffs", 0, "effect"), "maybe", "tariffs[0].effect", "maybe", ""),
        (("tariffs", 0), {"name": "t"}, "tariffs[0].effect", "nothing", "required"),
        (("tariffs",), [], "tariffs", "[]", "length >= 1"),
        (("tariffs", 0, "effect"), "stamped", "tariffs[0].window_ms", "0", "more than 0"),
        (
            ("customers",),
            [{"name": "a", "portion": 0.8}, {"name": "b", "portion": 0.8}],
            "customers",
            "1.6",
            "1 at",
        ),
        (("functions",), [FRONT["functions"][0]] * 2, "functions[1].name", "'f'", "not used before"),
        (
            ("functions",),
            [{"name": n, "memory_mb": 1, "lanes": 1} for n in ("s-*", "s-a*")],
            "functions[1].name",
            "'s-a*'",
            "covered by 's-*'",
        ),
        (("cold", "start_share"), 0, "cold.start_share", "0", "> 0"),
        (("tarifs",), [], "tarifs", "section", "tariffs"),
        (("log",), {"level": "loud"}, "log.level", "loud", ""),
    ]
    for path, value, named, found, allowed in table:
        with pytest.raises(SettingsError) as caught:
            check_front_end("x.jsonnet", changed(FRONT, path, value))
        fault = caught.value.faults[0]
        assert (fault.path, found in fault.found, allowed in fault.allowed) == (named, True, True), (
            path,
            fault,
        )
        assert str(caught.value).startswith(f"x.jsonnet: {named}: found ")
    check_front_end("x.jsonnet", FRONT)


def test_templates(tmp_path):
    def text(body):
        (tmp_path / "a.jsonnet").write_text(body)
        return str(tmp_path / "a.jsonnet")

    assert evaluate(text("local x = 2; { a: [i * x for i in std.range(1, 2)] }")) == {"a": [2, 4]}
    for body, word in (
        ("{", "template"),
        ("{ a: error 'no' }", "template"),
        ("[]", "sections"),
        ("local f(x) = f(x); f(1)", "template"),
    ):
        with pytest.raises(SettingsError, match=word):
            evaluate(text(body))
    with pytest.raises(SettingsError, match="can be read"):
        evaluate(str(tmp_path / "none.jsonnet"))


def test_the_command(tmp_path):
    bad = tmp_path / "bad.jsonnet"
    bad.write_text(json.dumps(changed(FRONT, ("listen", "port"), -1)))
    done = CliRunner().invoke(main, ["check", str(bad)])
    assert done.exit_code == 2 and "listen.port: found -1; allowed:" in done.output
    done = CliRunner().invoke(main, ["check", "--json", str(bad)])
    assert done.exit_code == 2 and json.loads(done.output)["faults"][0]["path"] == "listen.port"
    bad.write_text(json.dumps(FRONT))
    assert CliRunner().invoke(main, ["check", str(bad)]).exit_code == 0
    assert CliRunner().invoke(main, ["rehearse"]).exit_code == 2
    assert CliRunner().invoke(main, ["judge", str(tmp_path)]).exit_code == 2


def test_days():
    for name in ("bad-day", "short-day", "socket-day"):
        day = read_day(str(Path(__file__).parent.parent / "examples" / f"{name}.jsonnet"))
        assert write(day) == write(day)
    tree = evaluate(str(Path(__file__).parent.parent / "examples" / "short-day.jsonnet"))
    table = [
        (("troubles", 0, "kind"), "rain", "troubles[0].kind"),
        (("troubles", 0, "at_s"), 99, "troubles[0].at_s"),
        (("troubles", 3, "on"), [7], "troubles[3].on"),
        (("traffic", "shares"), {"x": 1}, "traffic.shares.x"),
        (("fleet", "cold_share"), 0.1, "fleet.cold_share"),
        (("fleet", "warm_ms"), 50000, "fleet.warm_ms"),
    ]
    for path, value, named in table:
        with pytest.raises(SettingsError) as caught:
            check_day("d", changed(tree, path, value))
        assert caught.value.faults[0].path == named


# a small file in the bench's form, with figures of our own
BENCH = {
    "noise": 5,
    "length": 20e6,
    "zones": ["a", "b"],
    "drain_grace": 1e6,
    "fall_multiple": 3.0,
    "fall_for": 1e6,
    "traffic": {"load": 0.5, "hint_cv": 0.3},
    "clients": {
        "retries": 1,
        "try_share": 1.0,
        "backoff_us": 5e4,
        "honour": 1.0,
        "max_retry_after": 4e5,
        "impatient": 0.0,
    },
    "discovery": {"ask": True, "notice": 1e6, "add": 8e5},
    "allow": {"max_attempts": 3, "second_copies": True, "cancel": True, "retry_after": True},
    "classes": [
        {
            "name": "k",
            "effect": "keyed",
            "group": "zone",
            "window": 4e6,
            "aim": 1e6,
            "deadline": 3e6,
            "work": 1e5,
            "io": 1e4,
            "cv": 0.5,
            "share": 1.0,
        }
    ],
    "tenants": [{"name": "n", "share": 0.7, "quota": 0.5}, {"name": "s", "share": 0.3, "quota": 0.2}],
    "tiers": [
        {
            "kinds": [{"name": "m", "cores": 4, "slots": 16, "queue": 20, "cold_from": 0.3, "cold": 8e6}],
            "stated_cold_from": 0.2,
            "stated_cold": 9e6,
        }
    ],
    "servers": [{"zone": i % 2, "kind": 0, "speed": 1.0 + i / 10, "up": i < 8} for i in range(10)],
    "balancers": [{"zone": i % 2} for i in range(4)],
    "fam": {
        "memory": [9000.0],
        "loads_at_once": 3,
        "eager": True,
        "keep": 9e6,
        "load_fail": 0.01,
        "fail_is_miss": True,
        "disk": 0.0,
        "zipf": 1.1,
        "catalog": 0.3,
        "spare": 2000.0,
        "fetch_share": 0.6,
        "sorts": [{"lanes": 4, "load": 5e5, "memory": 400.0}],
        "store_takes": 6.0,
        "store_thrash": 0.1,
        "store_fall_multiple": 0.0,
        "store_fall": 3e6,
        "store_down": 3e6,
        "self_load": False,
        "orders": True,
        "stated_keep": 8e6,
        "order_timeout": 8e6,
        "memory_price": 0.05,
        "load_window": 5e6,
        "load_free": 2.0,
        "load_share": 0.2,
    },
    "troubles": [
        {"kind": k, "at": 2e6, "len": 5e6, "size": 0.6, "extra": e, "on": on, "which": 1, "steps": steps}
        for k, e, on, steps in (
            ("slow", 0.0, [1, 2], []),
            ("zone_loss", 0.9, [], []),
            ("balancer_crash", 0.0, [0], []),
            ("throttle", 0.2, [0, 1, 2, 3], []),
            ("heavy_tail", 0.02, [], []),
            ("meteor", 0.0, [], []),
            ("deploy", 2.0, [], [{"stop": [0, 1], "start": [8, 9]}, {"stop": [2, 3], "start": []}]),
        )
    ],
}


def test_bench_days(tmp_path):
    file = tmp_path / "day.json"
    file.write_text(json.dumps(BENCH))
    tree, left_out = convert(str(file), 0.5)
    day = check_day("x", tree)
    assert (day["fleet"].executors, day["fleet"].fronts, day["day"].length_s) == (4, 2, 20.0)
    assert day["tariffs"][0].idempotency == "stamped" and day["tariffs"][0].scope == "hall"
    assert day["keeping"].answers_miss and day["ration"].window_ms == 5000.0
    # half the load of 4 executors of 4 cores at a mean speed of 1.35, 100 ms a request
    assert abs(day["traffic"].rate - 0.5 * 4 * 4 * 1.35 * 10) < 1.0
    by_kind = {t.kind: t for t in day["troubles"]}
    assert (
        by_kind["zone_loss"].how == "silent"
        and by_kind["deploy"].part == 0.5
        and by_kind["slow"].part == 0.25
    )
    assert by_kind["throttle"].extra == 0.2 and any("meteor" in x for x in left_out)
    assert any("asked for" in x for x in left_out)
    big = changed(BENCH, ("traffic", "load"), 9.0)
    file.write_text(json.dumps(big))
    tree, left_out = convert(str(file), 1.0)
    assert tree["traffic"]["rate"] == RATE_BOUND and any("400" in x for x in left_out)
    # path, value, path named
    table = [
        (("fam", "keep"), None, "fam.keep"),
        (("classes", 0, "effect"), "odd", "classes[0].effect"),
        (("tiers",), [], "tiers[0]"),
        (("length",), "long", "length"),
        (("troubles", 0, "at"), True, "troubles[0].at"),
    ]
    for path, value, named in table:
        file.write_text(json.dumps(changed(BENCH, path, value)))
        with pytest.raises(SettingsError) as caught:
            convert(str(file), 0.5)
        assert caught.value.faults[0].path == named
    for text in ("[", "[]", "3"):
        file.write_text(text)
        with pytest.raises(SettingsError):
            convert(str(file), 0.5)
    with pytest.raises(SettingsError, match="--scale"):
        convert(str(file), 0.0)


def test_each_verb_is_found_in_its_group():
    context = click.Context(main)
    for verb in main.list_commands(context):
        assert main.get_command(context, verb).name == verb
    assert main.get_command(context, "nothing") is None
