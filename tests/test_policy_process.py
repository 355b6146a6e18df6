"""Nine processes of the program, three of them voters, with faults between them while the policy is changed.
The records show which request was admitted under which version, and when. The tests check order, counts and
generous bounds on time, never speed."""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest

from petrelway.fakes.fault_script import write
from petrelway.fakes.scenario_processes import Plan
from petrelway.invariants.policy_checker import judge
from petrelway.invariants.records import read
from petrelway.policy.raft_storage import RaftStorage
from petrelway.scenarios.runner import Ports, write_fronts, write_plan
from petrelway.settings.days import check_day
from petrelway.settings.reading import evaluate

PETRELWAY = (sys.executable, "-m", "petrelway")
ROOT = Path(__file__).parent.parent
SIZE = 9


class Fleet:
    """The processes of one scenario, started directly, and the operators' commands on them."""

    def __init__(self, folder, seconds=600):
        self.folder, self.lines, self.starts = folder, [], 0
        tree = evaluate(ROOT / "examples" / "torn-day.jsonnet")
        tree.update(day={"length_s": seconds, "seed": 5}, troubles=[], fleet_troubles=[])
        tree["fleet"].update(fronts=SIZE, keepers=3, members=True)
        tree["traffic"].update(rate=40)
        found = check_day("day", tree)
        self.own = Ports(random.SystemRandom())
        write_plan(folder, tree, len(write(found).posts), SIZE, self.own, consoles=True)
        self.plan = Plan(folder)
        self.files = write_fronts(self.plan, tree, "info")
        self.consoles = self.plan.ports["consoles"]
        self.parts = [
            self._run("standin", *words)
            for words in (("services", str(folder)), ("fault-proxy", str(folder)),
                          *(("executors", str(folder), str(zone)) for zone in range(3)),
                          ("clients", str(folder), "0"))
        ]  # fmt: skip
        self.fronts = [self._start(number) for number in range(SIZE)]
        self.until(self.all_serve, 60.0)
        self.terms = json.loads(self.seen(4)["document"])

    def _run(self, *words):
        err = open(self.folder / "parts.err", "ab")
        return subprocess.Popen([*PETRELWAY, *words], cwd=ROOT, stdout=err, stderr=err)

    def _start(self, number):
        self.starts += 1
        record = self.folder / f"fleet-{number}-{self.starts}.jsonl"
        return self._run("serve", str(self.files[number]), "--record", str(record), "--epoch-ms",
                         str(self.plan.epoch_ms))  # fmt: skip

    # -- observation

    def seen(self, number, wait=5.0):
        try:
            url = f"http://127.0.0.1:{self.consoles[number]}/policy?format=json"
            with urllib.request.urlopen(url, timeout=wait) as found:
                return json.load(found)
        except (OSError, ValueError):
            return {"serving": False, "version": None, "state": "", "keeper": "", "under way": ""}

    def all_serve(self):
        return all(self.seen(n)["serving"] for n in range(SIZE))

    def all_run(self, version, *but):
        return all(self.seen(n)["version"] == version for n in range(SIZE) if n not in but)

    def leader(self):
        """Return the number of the voter that leads according to its own status."""
        found = []

        def leads():
            found[:] = [n for n in range(3) if "leads" in self.seen(n, 0.5)["keeper"]]
            return found

        self.until(leads)
        return found[0]

    def until(self, what, most=30.0):
        end = time.monotonic() + most
        while not what():
            assert time.monotonic() < end, what
            time.sleep(0.05)

    def version(self):
        return max(self.seen(n)["version"] or 0 for n in range(SIZE))

    # -- the operator

    def policy(self, *words, by=4):
        token = ("--token-file", str(self.folder / "console.token"))
        return subprocess.Popen(
            [*PETRELWAY, "policy", *words, "--console", f"127.0.0.1:{self.consoles[by]}",
             *(token if words[0] in ("apply", "back", "abandon", "keepers") else ())],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip

    def apply(self, worth, *words, by=4, base=None, silent="serve on", request_classes=None):
        """Begin a change; `ended` waits for its end."""
        tree = {**self.terms, "adoption": {"silent": silent}, "tariffs": request_classes or [
            {**t, "worth": worth} for t in self.terms["tariffs"]]}  # fmt: skip
        file = self.folder / f"terms-{worth}.json"
        file.write_text(json.dumps(tree))
        base = self.version() if base is None else base
        process = self.policy("apply", str(file), "--json", "--base", str(base), *words, by=by)
        process.base = base
        return process

    def ended(self, process):
        out, err = process.communicate(timeout=150)
        found = json.loads(out)
        self.lines.append({"k": "change", "base": process.base, **found})
        assert (process.returncode == 0) == (found["state"] == "adopted"), err
        return found

    def change(self, worth, *words, **more):
        return self.ended(self.apply(worth, *words, **more))

    def promised(self, *numbers):
        """Wait until these front ends have promised the change under way."""
        self.until(lambda: all(self.seen(n)["state"] in ("has promised", "changes over") for n in numbers))

    # -- faults

    def kill(self, number):
        self.fronts[number].kill()
        self.fronts[number].wait()

    def start(self, number):
        self.fronts[number] = self._start(number)

    def signal(self, number, how):
        self.fronts[number].send_signal(how)

    def network_fault(self, kind, *some, others=(), **more):
        words = ["standin", "network-fault", str(self.folder), kind]
        for name, value in (("--some", ",".join(map(str, some))), ("--others", ",".join(map(str, others))),
                            ("--for", 600), *((f"--{k}", v) for k, v in more.items())):  # fmt: skip
            words += [name, str(value)] if value != "" else []
        subprocess.run([*PETRELWAY, *words], cwd=ROOT, check=True, capture_output=True, timeout=30)

    def clear(self):
        self.fault_clear = subprocess.run([*PETRELWAY, "standin", "network-fault", str(self.folder), "clear"],
                                           cwd=ROOT, check=True, capture_output=True, timeout=30)  # fmt: skip

    # -- the end

    def judged(self):
        """Return the violations so far, according to all records."""
        rows = self.seen(self.leader())["rows"]
        history = [[r["version"], r["made from"], r["digest"], r["change"]] for r in reversed(rows)]
        took = [x for x in read(self.folder) if x["k"] == "took"]
        assert len(took) > 50
        return judge([*took, *self.lines, {"k": "history", "rows": history}])

    def takes(self, number, version):
        return sum(x["k"] == "took" and x["fe"] == f"front-{number}" and x["version"] == version
                   for x in read(self.folder))  # fmt: skip

    def stop(self):
        for process in (*self.fronts, *self.parts):
            process.kill()
            process.wait()
        self.own.close()


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    f = Fleet(tmp_path_factory.mktemp("terms"))
    yield f
    f.stop()


@pytest.fixture
def fleet(shared):
    """Provide a fleet that runs under one version. Afterwards restore that state and check the invariants."""
    yield shared
    shared.clear()
    for number, process in enumerate(shared.fronts):
        if process.poll() is not None:
            shared.start(number)
        else:
            process.send_signal(signal.SIGCONT)
    shared.until(shared.all_serve, 60.0)
    shared.until(lambda: shared.all_run(shared.version()))
    assert shared.judged() == []


def test_a_change_is_planned_made_shown_and_taken_back(fleet):
    file = fleet.folder / "planned.json"
    tree = {**fleet.terms, "tariffs": [{**t, "outer_ms": 2500.0} for t in fleet.terms["tariffs"]]}
    file.write_text(json.dumps(tree))
    plan = fleet.policy("plan", str(file))
    assert "outer_ms: 3000.0 -> 2500.0   DANGER" in plan.communicate(timeout=30)[0] and plan.returncode == 1
    assert fleet.change(1.5)["state"] == "adopted"
    assert fleet.all_run(1)
    back = fleet.policy("back", "--json", by=7)
    back.base = 1
    assert fleet.ended(back)["state"] == "adopted"
    fleet.until(lambda: fleet.all_run(2))
    show = fleet.policy("show", by=8)
    assert show.communicate(timeout=30)[0].startswith("version 2") and show.returncode == 0
    diff = fleet.policy("diff", "0", "2")
    assert diff.communicate(timeout=30)[0] == "" and diff.returncode == 0
    lines = fleet.policy("history").communicate(timeout=30)[0].splitlines()
    assert [line.split()[0] for line in lines] == ["2", "1", "0"]


def test_a_wrong_token_changes_nothing(fleet):
    wrong = fleet.folder / "wrong.token"
    wrong.write_text("w" * 32)
    wrong.chmod(0o600)
    words = ("policy", "abandon", "--console", f"127.0.0.1:{fleet.consoles[4]}", "--token-file", str(wrong))
    found = subprocess.run([*PETRELWAY, *words], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert found.returncode == 2 and "403" in found.stderr


def test_of_two_operators_one_change_is_adopted_the_other_is_stale(fleet):
    version = fleet.version()
    some = [fleet.apply(2.0 + n, by=4 + n, base=version) for n in range(2)]
    ends = [fleet.ended(process) for process in some]
    assert sorted(e["state"] for e in ends) == ["adopted", "refused"]
    assert any("stale" in e["why"] for e in ends)
    fleet.until(lambda: fleet.all_run(version + 1))


def test_a_member_that_cannot_run_under_it_ends_it_everywhere(fleet):
    """Make a well-formed document under which no front end can run: two request classes have one name."""
    version, request_classes = fleet.version(), fleet.terms["tariffs"]
    file = fleet.folder / "twice.json"
    file.write_text(json.dumps({**fleet.terms, "tariffs": [*request_classes, request_classes[0]]}))
    found = fleet.policy("apply", str(file))
    assert "a name not used before" in found.communicate(timeout=30)[1] and found.returncode == 2
    # based on a version that is not in force yet: no member is asked
    stale = fleet.change(3.5, "--limit", "3", base=version + 7)
    assert stale["state"] == "under way" and fleet.version() == version


def test_one_that_is_down_does_not_stand_in_the_way_and_asks_when_it_starts(fleet):
    version = fleet.version()
    fleet.kill(7)
    assert fleet.change(4.0)["state"] == "adopted"
    fleet.start(7)
    fleet.until(lambda: fleet.seen(7)["serving"])
    assert fleet.seen(7)["version"] == version + 1


def test_one_that_starts_in_the_middle_of_a_change(fleet):
    version = fleet.version()
    fleet.kill(7)
    process = fleet.apply(4.5)
    fleet.promised(5, 6)
    fleet.start(7)
    assert fleet.ended(process)["state"] == "adopted"
    fleet.until(lambda: fleet.all_run(version + 1))


def test_a_silent_one_is_named_and_all_serve_on(fleet):
    version = fleet.version()
    fleet.signal(7, signal.SIGSTOP)
    end = fleet.change(5.0)
    assert end["state"] == "abandoned" and end["why"] == "silent: front-7"
    fleet.signal(7, signal.SIGCONT)
    fleet.until(lambda: fleet.all_run(version))


@pytest.mark.parametrize("how", ["killed", "stopped"])
@pytest.mark.parametrize("step", ["when it was asked for", "when members promised", "when it is decided"])
def test_the_leader_ends_at_each_step_of_a_change(fleet, how, step):
    version, leader = fleet.version(), fleet.leader()
    process = fleet.apply(6.0 + len(step) + len(how) / 10)
    if step == "when members promised":
        fleet.promised(5)
    elif step == "when it is decided":
        fleet.until(lambda: fleet.seen(5)["state"] == "changes over")
    else:
        time.sleep(0.4)
    if how == "killed":
        fleet.kill(leader)
        time.sleep(1.0)
        fleet.start(leader)
    else:
        fleet.signal(leader, signal.SIGSTOP)
        time.sleep(4.0)
        fleet.signal(leader, signal.SIGCONT)
    end = fleet.ended(process)
    assert end["state"] in ("adopted", "abandoned")
    holds = version + (end["state"] == "adopted")
    fleet.until(lambda: fleet.all_run(holds))


def test_a_member_stopped_before_activation_admits_nothing_under_the_old_policy_after_it(fleet):
    """A process is paused, with requests waiting in its socket, while the policy changes."""
    version = fleet.version()
    process = fleet.apply(9.0)
    fleet.promised(5)
    fleet.until(lambda: fleet.seen(5)["state"] == "changes over")
    fleet.signal(5, signal.SIGSTOP)
    assert fleet.ended(process)["state"] == "adopted"
    time.sleep(2.0)
    fleet.signal(5, signal.SIGCONT)
    fleet.until(lambda: fleet.takes(5, version + 1) > 0)


def test_a_minority_with_the_leader_is_cut_off(fleet):
    version, leader = fleet.version(), fleet.leader()
    via = next(n for n in range(3, 9) if n != 8)
    fleet.network_fault("cut", leader, 8)
    end = fleet.change(10.0, by=via)
    assert end["state"] == "abandoned" and "front-8" in end["why"]
    fleet.clear()
    fleet.until(lambda: fleet.all_run(version))


def test_a_minority_without_the_leader_is_cut_off_one_way(fleet):
    version, leader = fleet.version(), fleet.leader()
    other = next(n for n in range(3) if n != leader)
    fleet.network_fault("one way", other, 8, others=[n for n in range(9) if n not in (other, 8)])
    assert fleet.change(11.0)["state"] == "abandoned"
    fleet.clear()
    assert fleet.change(11.5)["state"] == "adopted"
    fleet.until(lambda: fleet.all_run(version + 1))


def test_messages_that_are_late(fleet):
    version = fleet.version()
    fleet.network_fault("delay", size=250, extra=250)
    assert fleet.change(12.0)["state"] == "adopted"
    fleet.until(lambda: fleet.all_run(version + 1))


def test_where_the_silent_stop_a_change_goes_on_without_them(fleet):
    version = fleet.version()
    assert fleet.change(13.0, silent="stop")["state"] == "adopted"
    fleet.network_fault("cut", 7)
    assert fleet.change(13.5)["state"] == "adopted"
    assert fleet.seen(7)["serving"] is False and fleet.seen(7)["version"] == version + 1
    fleet.clear()
    fleet.until(lambda: fleet.all_run(version + 2))


def test_all_voters_killed_stop_nobody_who_serves_on_a_lease(fleet):
    assert fleet.change(13.8, silent="stop")["state"] == "adopted"
    for number in range(3):
        fleet.kill(number)
    for _ in range(12):
        time.sleep(1.0)
        assert all(fleet.seen(n)["serving"] for n in range(3, SIZE))
    for number in range(3):
        fleet.start(number)
    fleet.until(fleet.all_serve, 60.0)
    assert fleet.change(13.9)["state"] == "adopted"


def test_all_voters_are_killed_at_once_and_started_again(fleet):
    version = fleet.version()
    for number in range(3):
        fleet.kill(number)
    time.sleep(3.0)
    assert all(fleet.seen(n)["serving"] for n in range(3, SIZE))  # only a change needs the voters
    for number in range(3):
        fleet.start(number)
    fleet.until(fleet.all_serve, 60.0)
    assert fleet.version() == version and fleet.change(14.0)["state"] == "adopted"


def test_a_voter_whose_file_is_lost_recovers_before_it_votes(fleet):
    leader = fleet.leader()
    other = next(n for n in range(3) if n != leader)
    fleet.kill(other)
    (fleet.folder / f"front-{other}.terms").unlink()
    fleet.start(other)
    fleet.until(lambda: "follows" in fleet.seen(other)["keeper"])
    assert fleet.change(15.0)["state"] == "adopted"


def test_a_voters_file_that_is_damaged_is_refused_by_name(fleet):
    other = next(n for n in range(3) if n != fleet.leader())
    fleet.kill(other)
    file = fleet.folder / f"front-{other}.terms"
    shutil.copy(file, fleet.folder / "kept.copy")
    file.write_bytes(b"nothing that it wrote" * 400)
    words = [*PETRELWAY, "serve", str(fleet.files[other])]
    refused = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert refused.returncode == 2 and "front-" in refused.stderr and "aside-1" in refused.stderr
    os.rename(fleet.folder / "kept.copy", file)
    storage = RaftStorage(file, "rehearsed", f"front-{other}")
    assert not storage.stored.blank
    storage.close()
    fleet.start(other)
    fleet.until(lambda: "follows" in fleet.seen(other)["keeper"])


def test_the_clients_record_is_written_as_they_are_answered(fleet):
    """Guard against counts of answers that are seconds old: `rejects` reads the record while clients run."""
    record, sizes = fleet.folder / "clients-0.jsonl", set()
    for _ in range(20):
        sizes.add(record.stat().st_size)
        time.sleep(0.1)
    assert len(sizes) >= 10  # 40 requests a second


def test_a_row_of_changes_under_load_rejects_nobody(fleet):
    before = rejects(fleet)
    for n in range(4):
        assert fleet.change(20.0 + n)["state"] == "adopted"
    assert rejects(fleet) - before <= 2  # the module's own


def rejects(fleet):
    return sum(x["k"] == "answer" and x["o"] == "nacked" for x in read(fleet.folder))
