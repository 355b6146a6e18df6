"""Terms that all change or none: what a change takes, what it costs, what drawn plays and schedules find.

    calm            time from apply to adopted, words and bytes at rest; 9, 60, 300 front ends
    storm 0 1000    drawn plays of overlapping faults, judged; a third number: how many front ends
    schedules 2     every schedule of so many faults, on a small system, side by side
    look            what the look at terms costs a request
    row 100         so many changes in a row under load, nine processes, words late now and then
    kills 500       keepers killed with SIGKILL at random moments under a row of changes, on sockets

Emulated figures but for `look`, `row` and `kills`. Each prints its baseline beside it where it has one.
"""

from __future__ import annotations

import json
import pickle
import random
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from petrelway.emulator import policy_model as quorum
from petrelway.emulator.policy_simulation import OWN, Council, make
from petrelway.emulator.random_policy_faults import play
from petrelway.fakes.fault_schedule import FaultSchedule
from petrelway.fakes.in_memory_network import World
from petrelway.invariants.policy_checker import judge
from petrelway.policy.document import digest
from petrelway.policy.messages import PolicyNotification
from petrelway.policy.policy_holder import PolicyHolder, PreparedPolicy

ROOT = Path(__file__).parent.parent


def calm() -> None:
    for size in (9, 60, 300):
        c = Council(World(), FaultSchedule(random.Random(1)), size, 3, 1, every_s=0.05 * size / 9)
        for number in range(size):
            c.start(number)
        c.sim.run(c.sim.now_s + 4.0)
        turned_away, took = c.counts["turned away"], []
        for n in range(10):
            began = c.sim.now_s
            assert c.change(f"p{n}", n, json.dumps({"n": n})).state == "adopted"
            took.append(c.sim.now_s - began)
        away = c.counts["turned away"] - turned_away
        c.kill(size - 1)
        began = c.sim.now_s
        assert c.change("one down", 10, '{"n":"down"}').state == "adopted"
        down = c.sim.now_s - began
        c.sim.run(c.sim.now_s + 25.0)
        before = c.counts.copy()
        c.sim.run(c.sim.now_s + 20.0)
        c.history()
        words, size_ = (c.counts[x] - before[x] for x in ("words", "bytes"))
        print(f"{size:>4} front ends: adopted after {statistics.median(took):.1f} s, {down:.1f} s with one"
              f" down; apart {_apart(c.lines):.1f} ms at most; turned away for it {away} of"
              f" {c.counts['taken']}; at rest all together {words / 20:.0f} words, {size_ / 20:.0f} bytes a"
              f" second; breaches {len(judge(c.lines))}", flush=True)  # fmt: skip


def _apart(lines: list[dict]) -> float:
    """The longest by which a take under a version came after one under a later version."""
    last: dict[int, float] = {}
    first: dict[int, float] = {}
    for x in lines:
        if x["k"] == "took":
            last[x["version"]] = max(x["t"], last.get(x["version"], 0.0))
            first[x["version"]] = min(x["t"], first.get(x["version"], 1e18))
    return max((last[v] - first[v + 1] for v in last if v + 1 in first), default=0.0)


def storm(first: int, last: int, size: int = 9) -> None:
    counts: Counter[str] = Counter()
    with ProcessPoolExecutor() as pool:
        for p in pool.map(partial(play, size=size), range(first, last), chunksize=4):
            counts.update(p.states)
            counts["plays"] += 1
            counts["plays with a breach"] += bool(p.breaches)
            counts["plays after which no change went through"] += not p.back
            if p.breaches:
                print(f"seed {p.seed}: {p.breaches[0]}", flush=True)
    print(dict(counts))


def _after(job: tuple[bytes, int, int, tuple]) -> quorum.Explored:
    data, begun, left, fault = job
    small = pickle.loads(data)
    small.step(fault)
    return quorum.explore(small, STEPS, left, begun=begun + 1)


STEPS = 14  # of half a second each


def schedules(faults: int) -> None:
    """One process for each first fault; states that two of them share are counted in each."""
    small, jobs = quorum.beginning(), []
    for step in range(STEPS):
        data = pickle.dumps(small, -1)
        jobs += [(data, step, faults - 1, fault) for fault in small.faults()]
        small.step(None)
    began, states, runs, broken = time.perf_counter(), 0, 0, Counter()
    with ProcessPoolExecutor(5) as pool:
        for n, found in enumerate(pool.map(_after, jobs), 1):
            states, runs = states + found.states, runs + found.runs
            if found.broken:
                broken[found.broken] += 1
                print(jobs[n - 1][1:], found.broken, found.way, flush=True)
            if n % 100 == 0 or n == len(jobs):
                print(f"{n} of {len(jobs)} first troubles: {states} states, {runs} ways to the end,"
                      f" {faults} troubles, {STEPS} steps, {sum(broken.values())} breaches, "
                      f"{time.perf_counter() - began:.0f} s", flush=True)  # fmt: skip


def look() -> None:
    """Against a call that does nothing, in one run; and against the CPU of a whole request."""
    a = PolicyHolder(0.0, "m", 7, PreparedPolicy(0, digest(OWN), OWN), make)
    notification = PolicyNotification(
        term=1,
        token=7,
        state_index=1,
        resolved_index=0,
        version=1,
        digest="x",
        document='{"adoption":{"silent":"stop"}}',
        voters=(),
        queried_ms=0.0,
    )
    a.receive_notification(0.0, notification)

    def spent(what) -> float:
        began = time.perf_counter()
        for _ in range(200_000):
            what(10.0)
        return (time.perf_counter() - began) / 200_000 * 1e6

    pairs = [(spent(a.admitting_policy), spent(lambda now: None)) for _ in range(7)]
    one, nothing = statistics.median(p[0] for p in pairs), statistics.median(p[1] for p in pairs)
    print(f"a look at terms that hold on a lease: {one:.2f} us, a call that does nothing {nothing:.2f} us")


# -- on sockets


def kills(count: int) -> None:
    """Three keepers and two further front ends, real processes; one keeper at a time is killed at a random
    moment, under a row of changes, and started again. At the end the history has to hold all that was said to
    be adopted."""
    folder = Path(tempfile.mkdtemp(prefix="petrelway-kills-"))
    random_source = random.Random(1)
    first = 19_000 + random_source.randrange(50) * 10
    names = [f"front-{i}" for i in range(5)]
    token = folder / "token"
    token.write_text("t" * 32)
    token.chmod(0o600)
    request_class = {"name": "a", "effect": "harmless", "quoted_ms": 500, "outer_ms": 1000}
    for i, name in enumerate(names):
        others = [{"name": n, "address": "127.0.0.1", "port": first + j} for j, n in enumerate(names)]
        (folder / f"{name}.json").write_text(json.dumps({
            "front_end": {"name": name, "hall": "a", "number": i, "peers": 5, "seed": i},
            "listen": {"port": 0}, "roster": {"port": 9}, "fleet": {"halls": ["a"]},
            "tariffs": [request_class],
            "functions": [{"name": "f-*", "memory_mb": 10, "lanes": 1}],
            "cold": {"multiple": 4, "span_ms": 1000, "start_share": 0.2, "warm_ms": 1000},
            "log": {"file": str(folder / f"{name}.log")},
            "console": {"port": first + 100 + i, "token_file": str(token)},
            "peers": {"fleet": "kills", "port": first + i, "members": others},
            "policy": {"keepers": names[:3], "file": str(folder / f"{name}.terms")},
        }))  # fmt: skip

    def start(i: int) -> subprocess.Popen:
        words = [sys.executable, "-m", "petrelway", "serve", str(folder / f"{names[i]}.json")]
        return subprocess.Popen(words, cwd=ROOT, stderr=open(folder / f"{names[i]}.err", "ab"))

    running = [start(i) for i in range(5)]
    killed, changes, adopted, base, died = 0, 0, {}, 0, []
    wish, own, began = None, "", time.monotonic()
    time.sleep(5.0)
    kill_at, back = time.monotonic() + 8.0, {}
    try:
        while killed < count or wish is not None:
            now = time.monotonic()
            if killed < count and now >= kill_at:
                i = random_source.randrange(3)
                if running[i].poll() is None and len(back) < 1:
                    running[i].send_signal(signal.SIGKILL)
                    running[i].wait()
                    killed, back[i] = killed + 1, now + random_source.uniform(0.0, 0.3)
                kill_at = now + random_source.uniform(0.05, 1.0)
            for i, at in list(back.items()):
                if now >= at:
                    running[i] = start(i)
                    del back[i]
                    kill_at = max(kill_at, now + random_source.uniform(0.6, 1.6))
            died += [i for i in range(5) if i not in back and running[i].poll() is not None]
            if died:
                raise SystemExit(f"{names[died[0]]} ended by itself: see {folder}")
            if wish is None:
                changes += 1
                terms = {"tariffs": [{**request_class, "worth": float(changes)}], "functions": [
                    {"name": "f-*", "memory_mb": 10, "lanes": 1}]}  # fmt: skip
                own = own or _get(first + 104)["own document"]
                wish = {"type": "Propose", "id": f"c{changes}", "base": base, "document": json.dumps(terms),
                        "base_document": own, "by": "bench", "at": 0.0}  # fmt: skip
            found = _post(first + 103 + changes % 2, wish)
            if found is not None and found["state"] != "under way":
                if found["state"] == "adopted":
                    adopted[wish["id"]], base = found["version"], found["version"]
                elif "while version" in found["why"]:
                    base = int(found["why"].rsplit("version ", 1)[1].split()[0])
                wish = None
            time.sleep(0.05)
        time.sleep(5.0)
        history = _get(first + 103)
    finally:
        for process in running:
            process.kill()
    rows = {r["change"]: r["version"] for r in history["rows"]}
    numbers = sorted(r["version"] for r in history["rows"])
    lost = [id for id, v in adopted.items() if v > numbers[0] and rows.get(id) != v]
    whole = numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    print(f"{killed} keepers killed in {time.monotonic() - began:.0f} s; {changes} changes asked for,"
          f" {len(adopted)} said to be adopted; lost {lost}; history {'whole' if whole else numbers}, "
          f"{numbers[0]} to {numbers[-1]}")  # fmt: skip
    shutil.rmtree(folder)


def row(count: int) -> None:
    """On the fleet of the tests, with its clients and executors."""
    sys.path.insert(0, str(ROOT / "tests"))
    from test_policy_process import Fleet

    from petrelway.invariants.records import read

    folder = Path(tempfile.mkdtemp(prefix="petrelway-row-"))
    fleet, took = Fleet(folder, 3000), []
    random_source, end = random.Random(1), Counter()
    try:
        for n in range(count):
            if n % 10 == 5:
                fleet.network_fault("delay", size=25, extra=25)
            elif n % 10 == 9:
                fleet.clear()
            began = time.monotonic()
            end[fleet.change(1.0 + n / 1000, by=random_source.randrange(SIZE_OF_FLEET))["state"]] += 1
            took.append(time.monotonic() - began)
        time.sleep(5.0)
        breaches = fleet.judged()
        lines = list(read(folder))
    finally:
        fleet.stop()
    last = max(x["at"] for x in lines if x["k"] == "due") - 5000.0
    due = {x["m"] for x in lines if x["k"] == "due" and x["at"] < last}
    answers = Counter(x["o"] for x in lines if x["k"] == "answer")
    answered = {f"{x['_source']}\n{x['id']}" for x in lines if x["k"] == "answer"}
    print(f"{count} changes: {dict(end)}, median {statistics.median(took):.1f} s, longest {max(took):.1f} s;"
          f" {len(due)} triggers, {len(due - answered)} without an answer; answers {dict(answers)};"
          f" breaches {len(breaches)}; apart {_apart(lines):.1f} ms at most")  # fmt: skip
    shutil.rmtree(folder)


SIZE_OF_FLEET = 9


def _post(port: int, wish: dict) -> dict | None:
    head = {"Authorization": "Bearer " + "t" * 32}
    try:
        asked = urllib.request.Request(f"http://127.0.0.1:{port}/wish", json.dumps(wish).encode(), head)
        return json.load(urllib.request.urlopen(asked, timeout=3))
    except (OSError, ValueError):
        return None


def _get(port: int) -> dict:
    return json.load(urllib.request.urlopen(f"http://127.0.0.1:{port}/policy?format=json", timeout=5))


if __name__ == "__main__":
    what, *more = sys.argv[1:] or ["calm"]
    {"calm": calm, "storm": storm, "schedules": schedules, "look": look, "row": row, "kills": kills}[what](
        *(int(x) for x in more)
    )
