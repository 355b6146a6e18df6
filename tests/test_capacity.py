"""The capacity model: hand-checked rows, what they rest on, bad size files, and the page as it is written."""

import copy
import json
import math
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from petrelway.capacity import entries, model
from petrelway.capacity.entries import Entry, LimitKind, Role, Situation, measured, sum_of
from petrelway.capacity.model import Basis, breaks_first, over_at_any_size, rows
from petrelway.capacity.page import BLOCK, TABLES, PageError, render
from petrelway.capacity.rates import (
    Band,
    power_law,
    seen_by_one,
    share_of_calls_repeated,
    share_of_functions_below,
)
from petrelway.capacity.reach import Bend, bend, cost_at, factor, seen_up_to
from petrelway.capacity.report import report, text
from petrelway.capacity.size import check_size, read_size
from petrelway.capacity.slopes import Evidence, SlopeFile, fit, read_slopes, write_slopes
from petrelway.capacity.workload import Reading, workload
from petrelway.commands import main
from petrelway.membership.messages import DATAGRAM_BOUND
from petrelway.settings.reading import SettingsError
from petrelway.worker.service import LINKS_BOUND

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
TARGET = ROOT / "examples" / "size-target.jsonnet"
TODAY = ROOT / "examples" / "size-today.jsonnet"
SIZES = [1000, 2000, 4000, 8000]
# small enough to work out by hand: 100 front ends, 50 machines of 10 instances, 10 calls a second at each
SMALL = {
    "fleet": {"front_ends": 100, "regions": 1, "zones": 5, "rack_machines": 4, "policy_voters": 3},
    "instances": {"count": 500, "instances_a_machine": 10},
    "functions": {"count": 1000, "exponent": 1.5, "cut": 10.0, "keep_s": 8.0},
    "calls": {"a_second": 1000.0},
    "day": {"configuration_changes": 864.0, "machines_failed": 12.0, "machines_restarted": 280.0},
    "budget": {
        "control_core_share": 0.02,
        "control_memory_mb": 1.0,
        "control_kb_a_second": 1.0,
        "control_machines": 10,
        "cold_start_p99_s": 1.5,
        "configuration_in_force_s": 6.0,
    },
}


def line(name, unit, base, slope, sizes=SIZES, evidence=Evidence.MEASURED):
    return fit(name, unit, name.rpartition("_by_")[2], evidence, [(s, base + slope * s) for s in sizes])


def slope_file(*slopes):
    return SlopeFile(machine="a machine", slopes={slope.name: slope for slope in slopes})


def small(**changed):
    tree = copy.deepcopy(SMALL)
    for path, value in changed.items():
        section, key = path.split("__")
        tree[section][key] = value
    return check_size("small", tree)


def row_of(found, quantity, reading=Reading.BOTH, situation=None):
    [row] = [
        row
        for row in found
        if (row.quantity, row.reading) == (quantity, reading) and situation in (None, row.situation)
    ]
    return row


# -- call rates


@pytest.mark.parametrize("functions", [1, 63, 64, 65, 1000, 520_000])
@pytest.mark.parametrize("exponent", [0.5, 1.0, 1.8])
@pytest.mark.parametrize("cut", [0.0, 80.0])
def test_the_power_law_has_all_functions_and_all_calls(functions, exponent, cut):
    bands = power_law(functions, exponent, cut, 1.6e6)
    assert sum(band.functions for band in bands) == pytest.approx(functions)
    assert sum(band.functions * band.calls_a_second for band in bands) == pytest.approx(1.6e6)
    rates = [band.calls_a_second for band in bands]
    assert rates == sorted(rates, reverse=True)


def test_the_power_law_in_bands_is_near_the_one_rank_by_rank():
    weights = [(rank + 80) ** -1.8 for rank in range(1, 5001)]
    bands = power_law(5000, 1.8, 80, sum(weights))
    assert bands[0].calls_a_second == pytest.approx(weights[0], rel=0.01)
    last = bands[-1]
    assert weights[-1] <= last.calls_a_second <= weights[-1 - math.ceil(last.functions)] * 1.01
    rare = sum(weight < 1e-5 for weight in weights) / 5000
    assert 0 < rare < 1
    assert share_of_functions_below(bands, 1e-5) == pytest.approx(rare, abs=0.02)


def test_what_one_front_end_sees_in_the_limits():
    bands = power_law(1000, 1.5, 10, 500)
    never = seen_by_one(bands, 4, 0.0)
    assert never.functions_known == 0.0
    assert never.new_functions_a_second == pytest.approx(500 / 4)  # each call finds its function unknown
    always = seen_by_one(bands, 4, 1e12)
    assert always.functions_known == pytest.approx(1000)
    assert always.new_functions_a_second == pytest.approx(0.0)
    assert share_of_calls_repeated(bands, 4, 0.0) == 0.0
    assert share_of_calls_repeated(bands, 4, 1e12) == pytest.approx(1.0)


def test_what_one_front_end_sees_by_hand():
    bands = (Band(3, 2.0), Band(10, 0.1))  # at one of two front ends: 1 and 0.05 calls a second
    seen = seen_by_one(bands, 2, 10.0)
    assert seen.functions_known == pytest.approx(3 * (1 - math.exp(-10)) + 10 * (1 - math.exp(-0.5)))
    assert seen.new_functions_a_second == pytest.approx(3 * math.exp(-10) + 10 * 0.05 * math.exp(-0.5))
    repeated = (6 * (1 - math.exp(-10)) + 1 * (1 - math.exp(-0.5))) / 7
    assert share_of_calls_repeated(bands, 2, 10.0) == pytest.approx(repeated)


def test_most_functions_of_the_target_are_called_less_than_once_a_minute():
    w = workload(read_size(str(TARGET)), Reading.HOSTED)
    assert 0.5 < w.functions_below_once_a_minute < 1.0
    assert w.calls_a_front_end == pytest.approx(1.6e6 / 17_000)
    assert w.new_functions < w.calls_a_front_end
    assert w.functions_known < 60 * w.calls_a_front_end


# -- the size worked out


def test_the_two_readings_of_instances():
    hosted, processes = (workload(small(), reading) for reading in (Reading.HOSTED, Reading.PROCESSES))
    assert (hosted.executors, processes.executors) == (50, 500)
    # 12 failed at 2 changes, 280 restarted at 3, on each machine 1 or 10 executors
    assert hosted.list_changes * 86_400 == pytest.approx(864)
    assert processes.list_changes * 86_400 == pytest.approx(8640)
    assert hosted._replace(executors=0, executors_a_machine=0, list_changes=0) == processes._replace(
        executors=0, executors_a_machine=0, list_changes=0
    )


def test_a_scale_leaves_what_each_front_end_has_to_do_with_calls():
    one, eight = (workload(small(), Reading.HOSTED, scale) for scale in (1.0, 8.0))
    assert (eight.front_ends, eight.executors, eight.functions) == (800, 400, 8000)
    assert eight.calls_a_front_end == one.calls_a_front_end
    assert eight.list_changes == pytest.approx(8 * one.list_changes)
    assert (eight.zones, eight.rack_machines) == (one.zones, one.rack_machines)


def test_a_scale_leaves_the_mix_of_functions():
    target = read_size(str(TARGET))
    one, eighth = (workload(target, Reading.HOSTED, scale) for scale in (1.0, 0.125))
    assert eighth.functions_below_once_a_minute == pytest.approx(one.functions_below_once_a_minute, abs=0.01)


# -- rows


def test_memory_of_executors_by_hand():
    slopes = slope_file(line("front_end.memory_by_executors", "B", 1000, 300))
    found = rows(slopes, small())
    hosted = row_of(found, "memory of executors listed", Reading.HOSTED)
    processes = row_of(found, "memory of executors listed", Reading.PROCESSES)
    assert hosted.amount == pytest.approx(1000 + 300 * 50)
    assert processes.amount == pytest.approx(1000 + 300 * 500)
    assert (hosted.limit, hosted.limit_name, hosted.limit_kind) == (1e6, "control memory", LimitKind.BUDGET)
    # 1,000,000 B hold (1,000,000 - 1,000) / 300 = 3,330 executors: half a front end's, or 5 each
    assert hosted.breaks_at is None  # 6,660 front ends: over 64 times 100
    assert processes.breaks_at == 667
    assert hosted.mechanism and not hosted.breaks


def test_a_row_over_its_limit_has_no_mechanism():
    slopes = slope_file(line("front_end.memory_by_executors", "B", 0, 3000))
    found = rows(slopes, small())
    hosted = row_of(found, "memory of executors listed", Reading.HOSTED)
    processes = row_of(found, "memory of executors listed", Reading.PROCESSES)
    assert (hosted.breaks, hosted.mechanism) == (False, hosted.today)
    assert (processes.breaks, processes.mechanism) == (True, None)
    assert processes.today
    assert processes.breaks_at == 67  # 5 executors of 3,000 B for each front end: 66.7 of them


def test_an_amount_at_its_limit_keeps_it():
    row = row_of(rows(slope_file(), small(budget__control_machines=3)), "machines of the voters")
    assert (row.amount, row.limit, row.breaks, row.breaks_at) == (3, 3, False, None)
    assert row.mechanism
    over = row_of(rows(slope_file(), small(budget__control_machines=2)), "machines of the voters")
    assert (over.breaks, over.breaks_at, over.mechanism) == (True, 1, None)


def test_rates_and_products_by_hand():
    size = small()
    w = workload(size, Reading.HOSTED)
    slopes = slope_file(
        line("front_end.first_call_by_executors", "us", 10, 2),
        line("front_end.ranking_memory_by_executors", "B", 0, 8),
        line("front_end.list_change_cpu_by_executors", "us", 5, 1),
        line("front_end.control_cpu_by_calls", "us/s", 0, 7),
        line("changes.leader_bytes_by_members", "B", 100, 50),
        line("changes.leader_received_bytes_by_members", "B", 0, 10),
    )
    found = rows(slopes, size)

    def amount(quantity, reading=Reading.HOSTED, situation=None):
        return row_of(found, quantity, reading, situation).amount

    first_calls = amount("CPU of first calls of functions")
    assert first_calls == pytest.approx((10 + 2 * 50) * w.new_functions)
    assert amount("time of one first call") == pytest.approx((10 + 2 * 50) / 1e6)
    ranked = amount("memory of ranked executors, all functions known")
    assert ranked == pytest.approx(8 * 50 * w.functions_known)
    # 864 changes of the list a day
    assert amount("CPU of list changes") == pytest.approx((5 + 50) * 864 / 86_400)
    assert amount("CPU of list changes", Reading.PROCESSES) == pytest.approx((5 + 500) * 8640 / 86_400)
    # a rack has 4 machines, a zone a fifth of 50
    assert amount("CPU of its list changes, once", situation=Situation.RACK) == pytest.approx(55 * 4)
    assert amount("CPU of its list changes, once", situation=Situation.ZONE) == pytest.approx(55 * 10)
    assert amount("CPU of control, by own calls", Reading.BOTH) == pytest.approx(7 * 10)
    # 864 changes of configuration a day at 100 members: sent and received
    leader = row_of(found, "bytes of changes")
    assert leader.amount == pytest.approx((100 + 60 * 100) * 0.01)


def test_bytes_of_the_list_are_arithmetic_on_its_records():
    found = rows(slope_file(), small())
    whole = row_of(found, "bytes of the whole list", Reading.HOSTED)
    assert whole.amount == 13 + 27 * 50
    assert whole.ground.basis is Basis.ARITHMETIC
    day = row_of(found, "bytes of list changes", Reading.PROCESSES)
    assert day.amount == pytest.approx(13 + 27 * 8640 / 86_400)
    fan_out = row_of(found, "bytes to all front ends", Reading.PROCESSES)
    assert fan_out.amount == pytest.approx(100 * day.amount)


def test_all_that_is_said_of_a_bound_is_its_constant():
    assert entries.WORKER_LINKS_BOUND == LINKS_BOUND
    row = row_of(rows(slope_file(), small()), "connections from front ends")
    assert (row.amount, row.limit, row.limit_kind) == (100, LINKS_BOUND, LimitKind.BOUND)
    assert row.breaks_at == LINKS_BOUND + 1


def test_what_no_slope_gives_is_not_measured():
    found = rows(slope_file(), small())
    row = row_of(found, "memory of members")
    assert (row.amount, row.breaks_at, row.breaks) == (None, None, False)
    assert row.ground.basis is Basis.NOT_MEASURED
    assert row.ground.missing == ("members.memory_by_members",)
    assert "not measured" in text(small(), report(slope_file(), found))


def test_a_sum_without_one_of_its_slopes_says_so():
    slopes = slope_file(line("front_end.memory_by_executors", "B", 0, 100))
    row = row_of(rows(slopes, small()), "all control memory", Reading.HOSTED)
    assert row.amount == pytest.approx(5000)
    assert "front_end.memory_by_executors" not in row.ground.missing
    assert "members.memory_by_members" in row.ground.missing
    assert f"at least {5:g} kB" in text(small(), report(slopes, rows(slopes, small())))


def test_a_sum_of_unlike_entries_is_refused():
    def entry(unit):
        return Entry(Role.LEADER, Situation.REST, unit, unit, None, "", measured("a.b_by_c", lambda w: 1.0))

    with pytest.raises(ValueError, match="differ"):
        sum_of("both", [entry("B"), entry("us")], Situation.REST)


def test_emulated_stands_beside_measured_only_where_it_exists():
    measured_slope = line("members.cpu_by_members", "us/s", 0, 1)
    emulated = line("members_emulated.cpu_by_members", "us/s", 0, 2, evidence=Evidence.EMULATED)
    with_both = rows(slope_file(measured_slope, emulated), small())
    own = row_of(with_both, "CPU of membership", situation=Situation.REST)
    other = row_of(with_both, "CPU of membership (emulated)", situation=Situation.REST)
    assert (own.amount, own.ground.basis) == (pytest.approx(100), Basis.MEASURED)
    assert (other.amount, other.ground.basis) == (pytest.approx(200), Basis.EMULATED)
    without = rows(slope_file(measured_slope), small())
    assert not [row for row in without if "(emulated)" in row.quantity]


# -- what a row rests on


def test_evidence_names_the_largest_size_seen_and_the_factor_beyond_it():
    slopes = slope_file(line("members.cpu_by_members", "us/s", 0, 1, sizes=[5, 10, 20, 40]))
    row = row_of(rows(slopes, small()), "CPU of membership", situation=Situation.REST)
    assert (row.ground.factor, row.ground.seen_up_to, row.ground.dimension) == (2.5, 40, "members")
    seen = slope_file(line("members.cpu_by_members", "us/s", 0, 1, sizes=[25, 50, 100, 200]))
    row = row_of(rows(seen, small()), "CPU of membership", situation=Situation.REST)
    assert row.ground.factor == 1.0


def test_past_a_knee_the_points_are_followed_and_not_the_line():
    line_up_to_40 = [(5, 5), (10, 10), (20, 20), (40, 40)]
    up = fit("a.b_by_c", "us", "c", Evidence.MEASURED, [*line_up_to_40, (80, 160), (160, 640)])
    assert (up.line_up_to, up.knee, bend(up)) == (40, 80, Bend.UP)
    assert cost_at(up, 30) == pytest.approx(30)
    assert cost_at(up, 60) == pytest.approx(100)
    assert cost_at(up, 160) == pytest.approx(640)
    assert cost_at(up, 320) == pytest.approx(640 + 6 * 160)  # on along the last two: 480 for 80
    assert (seen_up_to(up), factor(up, 320), factor(up, 100)) == (160, 2.0, 1.0)
    down = fit("a.b_by_c", "us", "c", Evidence.MEASURED, [*line_up_to_40, (80, 41), (160, 42)])
    assert bend(down) is Bend.DOWN
    straight = fit("a.b_by_c", "us", "c", Evidence.MEASURED, line_up_to_40)
    assert (bend(straight), cost_at(straight, 400)) == (Bend.NONE, pytest.approx(400))


def test_a_cost_is_never_negative():
    slope = line("a.b_by_c", "us", -10, 1, sizes=[20, 40, 80, 160])
    assert cost_at(slope, 20) == pytest.approx(10)
    assert cost_at(slope, 5) == pytest.approx(2.5)  # and not -5: through 0 below the smallest size seen


def test_a_cost_that_fell_is_held_at_what_was_seen_last():
    falling = line("a.b_by_c", "us", 100, -1, sizes=[10, 20, 40, 80])
    assert cost_at(falling, 40) == pytest.approx(60)
    assert cost_at(falling, 200) == cost_at(falling, 80) == pytest.approx(20)
    points = [(5, 5), (10, 10), (20, 20), (40, 40), (80, 200), (160, 100)]
    bent = fit("a.b_by_c", "us", "c", Evidence.MEASURED, points)
    assert bent.knee == 80
    assert cost_at(bent, 120) == pytest.approx(150)
    assert cost_at(bent, 1000) == cost_at(bent, 160) == pytest.approx(100)


def test_a_size_below_the_smallest_seen_is_said_to_be_so():
    def told(front_ends):
        slopes = slope_file(line("members.cpu_by_members", "us/s", 0, 1, sizes=[50, 100, 200, 400]))
        found = rows(slopes, small(fleet__front_ends=front_ends))
        return row_of(found, "CPU of membership", situation=Situation.REST).ground.seen_from

    assert (told(49), told(50)) == (50, None)


@pytest.mark.parametrize(("last", "said"), [(640, "at least"), (42, "at most")])
def test_a_bend_makes_an_extrapolated_amount_a_bound(last, said):
    points = [(5, 5), (10, 10), (20, 20), (40, 40), (80, last)]
    slopes = slope_file(fit("members.cpu_by_members", "us/s", "members", Evidence.MEASURED, points))
    found = text(small(), report(slopes, rows(slopes, small())))
    [told] = [
        each for each in found.splitlines() if each.startswith("at rest") and "CPU of membership" in each
    ]
    assert said in told


def test_bytes_are_held_at_what_the_messages_may_have():
    def row(messages):
        slopes = [line("members.bytes_by_members", "B/s", 100, 10)]  # 1,100 B/s sent at 100 members
        if messages:
            slopes.append(line("members.messages_by_members", "messages/s", messages, 0))
        found = rows(slope_file(*slopes), small())
        return row_of(found, "bytes of membership, both ways", situation=Situation.REST)

    assert (row(0).amount, row(0).ground.held_by) == (pytest.approx(2 * 1100), ())
    assert (row(5).amount, row(5).ground.held_by) == (pytest.approx(2 * 1100), ())  # 5 may have 1,280
    held = row(2)
    assert held.amount == pytest.approx(2 * 2 * DATAGRAM_BOUND)
    assert held.ground.held_by == ("DATAGRAM_BOUND of each message",)
    assert held.breaks_at == 41  # 2 (100 + 10 n) over 1,000, where the bound does not hold it yet
    assert row(1).breaks_at is None  # 256 sent and 256 received are within 1,000


# -- what breaks first


def test_what_breaks_first_is_of_the_smallest_fleet():
    slopes = slope_file(
        line("members.cpu_by_members", "us/s", 0, 50),  # 20,000 us/s: over 400
        line("members.memory_by_members", "B", 0, 3000),  # 1 MB: over 333
        line("front_end.memory_by_executors", "B", 0, 1000),  # 1 MB: over 200, or 2,000 at 10 times fewer
    )
    found = rows(slopes, small())
    hosted = breaks_first(found, LimitKind.BUDGET, Reading.HOSTED)
    processes = breaks_first(found, LimitKind.BUDGET, Reading.PROCESSES)
    assert (hosted.quantity, hosted.breaks_at) == ("memory of members", 334)
    assert (processes.quantity, processes.breaks_at) == ("memory of executors listed", 201)
    total = row_of(found, "all control memory", Reading.PROCESSES)
    assert total.is_sum and total.breaks_at < processes.breaks_at  # a sum always breaks before its parts
    assert breaks_first(found, LimitKind.BOUND, Reading.HOSTED).quantity == "connections from front ends"
    bound = breaks_first(found, LimitKind.BOUND, Reading.PROCESSES)
    assert bound.quantity == "connections from front ends"  # 1,025; 10,000 records are 2,000 front ends
    records = row_of(found, "executors in one whole list", Reading.PROCESSES)
    assert records.breaks_at == 2001


def test_what_is_over_its_limit_in_the_smallest_fleet_is_no_matter_of_growth():
    slopes = slope_file(
        line("changes.silent_s_by_members", "s", 15, 0),
        line("members.cpu_by_members", "us/s", 0, 50),
    )
    found = rows(slopes, small())
    [over] = over_at_any_size(found)
    assert over.quantity == "time until a change ends, one member silent"
    assert breaks_first(found, LimitKind.BUDGET, Reading.HOSTED).quantity == "CPU of membership"
    told = text(small(), report(slopes, found)).splitlines()
    assert [
        each for each in told if each.startswith("over its limit at any size: ") and over.quantity in each
    ]


def test_nothing_that_breaks_is_said_too():
    told = text(small(), report(slope_file(), rows(slope_file(), small())))
    assert "breaks first, instances hosted by executors: nothing within 64 times this size" in told


def test_the_model_needs_no_network_and_no_arrays():
    code = (
        "import sys, petrelway.capacity.page; "
        "print([name for name in ('twisted', 'numpy', 'sqlite3', 'google.protobuf') if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60, check=True
    )
    assert done.stdout.strip() == "[]"


# -- the size file


def test_the_examples_are_good():
    target, today = read_size(str(TARGET)), read_size(str(TODAY))
    assert (target.fleet.front_ends, target.instances.count) == (17_000, 1_200_000)
    assert today.fleet.front_ends == 200
    assert workload(today, Reading.HOSTED).executors == 120
    assert today.budget == target.budget


BAD_SIZES = [
    ("fleet", "front_ends", -5, "fleet.front_ends", "-5"),
    ("fleet", "front_ends", 0, "fleet.front_ends", "0"),
    ("fleet", "front_ends", 1.5, "fleet.front_ends", "1.5"),
    ("fleet", "front_ends", "many", "fleet.front_ends", '"many"'),
    ("fleet", "front_ends", 4, "fleet.front_ends", "4"),  # fewer than zones
    ("fleet", "zones", 0, "fleet.zones", "0"),
    ("fleet", "regions", 6, "fleet.zones", "5"),  # zones fewer than regions
    ("fleet", "racks", 3, "fleet", "the key 'racks'"),
    ("fleet", "policy_voters", 10, "fleet.policy_voters", "10"),
    ("instances", "count", 9, "instances.instances_a_machine", "10"),
    ("instances", "count", -1, "instances.count", "-1"),
    ("functions", "exponent", 0, "functions.exponent", "0"),
    ("functions", "cut", -1, "functions.cut", "-1"),
    ("calls", "a_second", 0, "calls.a_second", "0"),
    ("day", "machines_failed", -90, "day.machines_failed", "-90"),
    ("budget", "control_core_share", 2, "budget.control_core_share", "2"),
    ("budget", "control_memory_mb", None, "budget.control_memory_mb", "null"),
]


@pytest.mark.parametrize(("section", "key", "value", "path", "found"), BAD_SIZES)
def test_a_size_that_makes_no_sense_gets_one_line_and_exit_2(tmp_path, section, key, value, path, found):
    tree = copy.deepcopy(SMALL)
    tree[section][key] = value
    check_one_fault(tmp_path, tree, path, found)


def test_a_missing_key_and_an_unknown_section_too(tmp_path):
    tree = copy.deepcopy(SMALL)
    del tree["fleet"]["zones"]
    check_one_fault(tmp_path, tree, "fleet.zones", "nothing")
    tree = copy.deepcopy(SMALL)
    del tree["day"]
    check_one_fault(tmp_path, tree, "day", "nothing")
    check_one_fault(tmp_path, {**SMALL, "weather": {}}, "weather", "a section of that name")


def check_one_fault(folder, tree, path, found):
    file = folder / "size.jsonnet"
    file.write_text(json.dumps(tree))
    slopes = write_trial_slopes(folder)
    done = CliRunner().invoke(main, ["capacity", str(file), "--slopes", str(slopes)])
    assert done.exit_code == 2
    assert done.stdout == ""
    [told] = done.stderr.splitlines()
    assert told.startswith(f"{file}: {path}: found {found}; allowed: ")


def test_each_of_two_faults_has_its_line():
    tree = copy.deepcopy(SMALL)
    tree["fleet"]["zones"], tree["calls"]["a_second"] = -1, -1
    with pytest.raises(SettingsError) as caught:
        check_size("size", tree)
    assert [fault.path for fault in caught.value.faults] == ["fleet.zones", "calls.a_second"]


# -- the command


def write_trial_slopes(folder, *slopes):
    path = folder / "slopes.json"
    path.unlink(missing_ok=True)
    write_slopes(list(slopes) or [line("front_end.memory_by_executors", "B", 0, 100)], "a machine", path)
    return path


def run(folder, tree, *arguments, slopes=()):
    size, file = folder / "size.jsonnet", write_trial_slopes(folder, *slopes)
    size.write_text(json.dumps(tree))
    return CliRunner().invoke(main, ["capacity", str(size), "--slopes", str(file), *arguments])


def test_exit_0_within_the_limits_and_1_past_one(tmp_path):
    good = run(tmp_path, SMALL)
    assert good.exit_code == 0
    assert "memory of executors listed" in good.stdout
    assert good.stdout.splitlines()[-4].startswith("breaks first, instances hosted by executors: ")
    over = run(tmp_path, SMALL, slopes=[line("front_end.memory_by_executors", "B", 0, 30_000)])
    assert over.exit_code == 1
    assert "missing (today: " in over.stdout


def test_json_has_the_rows_that_the_text_has(tmp_path):
    told = json.loads(run(tmp_path, SMALL, "--json").stdout)
    [row] = [
        row
        for row in told["rows"]
        if (row["quantity"], row["reading"]) == ("memory of executors listed", "hosted")
    ]
    assert row["amount"] == pytest.approx(5000)
    assert (row["limit"], row["ground"]["basis"]) == (1e6, "measured")
    plain = run(tmp_path, SMALL).stdout
    for each in told["rows"]:
        assert each["quantity"] in plain
    assert [first["kind"] for first in told["first"]] == ["budget", "budget", "bound", "bound"]


@pytest.mark.parametrize("content", [None, b"", b"{", b'{"machine": "m", "slopes": {"a": 3}}'])
def test_slopes_that_cannot_be_read_are_one_line_and_exit_2(tmp_path, content):
    size, slopes = tmp_path / "size.jsonnet", tmp_path / "slopes.json"
    size.write_text(json.dumps(SMALL))
    if content is not None:
        slopes.write_bytes(content)
    done = CliRunner().invoke(main, ["capacity", str(size), "--slopes", str(slopes)])
    assert (done.exit_code, done.stdout) == (2, "")
    [told] = done.stderr.splitlines()
    assert told.startswith("slopes.json: ")


def test_a_size_and_a_page_at_a_time_or_neither_is_bad_use(tmp_path):
    assert CliRunner().invoke(main, ["capacity"]).exit_code == 2
    assert run(tmp_path, SMALL, "--page", "page.md").exit_code == 2


# -- the page


def test_the_page_is_what_the_command_writes_for_the_slopes_in_the_tree():
    assert render(PAGE.read_text("utf-8"), PAGE.parent, read_slopes()) == PAGE.read_text("utf-8")


def test_the_page_has_every_role_and_every_kind_of_table():
    named = {name for _, name, _ in BLOCK.findall(PAGE.read_text("utf-8"))}
    assert named == set(TABLES)


def test_the_page_follows_the_slopes(tmp_path):
    (tmp_path / "size.jsonnet").write_text(json.dumps(SMALL))
    marked = "before\n<!-- table: size.jsonnet front-end -->\nstale\n<!-- end -->\nafter\n"
    page = tmp_path / "page.md"
    page.write_text(marked)
    slopes = write_trial_slopes(tmp_path)
    done = CliRunner().invoke(main, ["capacity", "--page", str(page), "--slopes", str(slopes)])
    assert done.exit_code == 0
    written = page.read_text()
    assert written.startswith("before\n<!-- table: size.jsonnet front-end -->\n| situation |")
    assert written.endswith("<!-- end -->\nafter\n")
    assert "stale" not in written
    assert "| memory of executors listed | hosted | 5 kB | 1 MB (control memory) |" in written
    assert "| memory of members | either | not measured |" in written
    again = render(written, tmp_path, read_slopes(slopes))
    assert again == written
    steeper = write_trial_slopes(tmp_path, line("front_end.memory_by_executors", "B", 0, 200))
    assert render(written, tmp_path, read_slopes(steeper)) != written


@pytest.mark.parametrize("size", ["good", "bad"])
def test_a_page_that_cannot_be_written_is_left_as_it_is(tmp_path, size):
    (tmp_path / "good.jsonnet").write_text(json.dumps(SMALL))
    (tmp_path / "bad.jsonnet").write_text(json.dumps({**SMALL, "calls": {"a_second": -1}}))
    page, slopes = tmp_path / "page.md", write_trial_slopes(tmp_path)
    name = "weather" if size == "good" else "front-end"
    marked = f"<!-- table: {size}.jsonnet {name} -->\n<!-- end -->\n"
    page.write_text(marked)
    done = CliRunner().invoke(main, ["capacity", "--page", str(page), "--slopes", str(slopes)])
    assert done.exit_code == 2
    assert len(done.stderr.splitlines()) == 1
    assert page.read_text() == marked


def test_a_page_without_a_table_is_refused(tmp_path):
    with pytest.raises(PageError, match="no table"):
        render("prose alone", tmp_path, slope_file())


def test_every_entry_can_be_worked_out():
    """With a slope for each name no row is left out: a slope misspelt in one entry would show here."""
    names = {term.slope for entry in model.ENTRIES for term in entry.terms if term.slope}
    whole = slope_file(*(line(name, "us", 1, 1) for name in names))
    found = rows(whole, small())
    assert not [row.quantity for row in found if row.amount is None or row.ground.missing]
    assert len({(row.role, row.situation, row.quantity, row.reading) for row in found}) == len(found)
