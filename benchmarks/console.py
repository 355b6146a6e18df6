"""What the console costs: page times and request latency, closed and open, at three rates. Not for CI.

One daemon on sockets with stand-in executors that have cores to spare. Open: 50 live viewers, ten of which
read a byte a second, and each page asked in turn all the time. Also the planner against task.cooperate: how
late calls come that stand for requests while heavy background work runs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from front import DAY

PAGES = ("service", "executors", "functions", "triggers", "changes", "own")


async def page(port: int, name: str) -> float:
    """Time of one page, in ms."""
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET /{name} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode())
    data = await asyncio.wait_for(reader.read(-1), 10)
    writer.close()
    if not data.startswith(b"HTTP/1.1 200"):
        raise SystemExit(f"{name}: {data[:100]!r}")
    return (time.perf_counter() - began) * 1e3


async def viewer(port: int, slow: bool, counts: dict) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /live HTTP/1.1\r\nhost: x\r\n\r\n")
    try:
        while data := await reader.read(1 if slow else 65536):
            counts["live"] = counts.get("live", 0) + data.count(b"data: ")
            if slow:
                await asyncio.sleep(1.0)
    finally:
        writer.close()


async def look_on(port: int, seconds: float, viewers: int) -> tuple[list[float], int]:
    """Page times, sorted, and live updates while the day runs; nothing is asked without viewers."""
    await asyncio.sleep(5.0)  # the processes start
    counts: dict = {}
    tasks = [asyncio.create_task(viewer(port, i < 10, counts)) for i in range(viewers)]
    times, end, i = [], time.monotonic() + seconds, 0
    while time.monotonic() < end:
        if viewers:
            times.append(await page(port, PAGES[i % len(PAGES)]))
            i += 1
            await asyncio.sleep(0.02)
        else:
            await asyncio.sleep(0.2)
    for task in tasks:
        task.cancel()
    return sorted(times), counts.get("live", 0)


def play(rate: int, seconds: int, open_: bool) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        day, record = Path(folder) / "day.jsonnet", Path(folder) / "record"
        day.write_text(DAY % {"rate": rate, "seconds": seconds, "seed": 1})
        process = subprocess.Popen(
            [sys.executable, "-m", "petrelway", "rehearse", str(day), "--json", "--record", str(record),
             "--consoles"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)  # fmt: skip
        while not (record / "front-0.json").exists():
            time.sleep(0.05)
        time.sleep(0.2)
        port = json.loads((record / "front-0.json").read_text())["console"]["port"]
        times, live = asyncio.run(look_on(port, seconds - 3.0, 50 if open_ else 0))
        out, err = process.communicate()
        if process.returncode not in (0, 1):
            raise SystemExit(err)
        found = json.loads(out)
        found["pages"], found["live"] = times, live
        return found


def cooperate() -> None:
    """Calls due every 5 ms, heavy background work beside them: how late they come."""
    from twisted.internet import reactor, task

    from petrelway.background.planner import Class, Planner
    from petrelway.background.running import Background

    class Log:
        error = print

    def heavy():
        while True:
            end = time.perf_counter() + 0.002  # steps of 2 ms, as a page's rows may take
            while time.perf_counter() < end:
                pass
            yield

    rows = {}

    def measure(name: str, begin) -> None:
        late: list[float] = []

        def due(at: float) -> None:
            late.append((reactor.seconds() - at) * 1e3)
            end = time.perf_counter() + 0.001  # a request's work
            while time.perf_counter() < end:
                pass
            reactor.callLater(max(0.0, at + 0.005 - reactor.seconds()), due, at + 0.005)

        stop = begin()
        reactor.callLater(0.0, due, reactor.seconds())
        reactor.callLater(5.0, reactor.crash)
        reactor.run()
        stop()
        for call in reactor.getDelayedCalls():
            call.cancel()
        late.sort()
        rows[name] = late[len(late) // 2], late[int(len(late) * 0.99)]

    def nothing():
        return lambda: None

    def plain():
        tasks = [task.cooperate(heavy()) for _ in range(4)]
        return lambda: [t.stop() for t in tasks]

    def planned():
        b = Background(
            reactor, Planner(reactor.seconds() * 1e3, 0.1, 3.0, 30.0, 15.0, 400.0), time.perf_counter, Log()
        )
        b.start()
        for _ in range(4):
            b.run("heavy", Class.IDLE, heavy()).addErrback(lambda _: None)
        return b.close

    for name, begin in (("no background work", nothing), ("task.cooperate", plain), ("planner", planned)):
        measure(name, begin)
    for name, (p50, p99) in rows.items():
        print(f"{name:20} calls late by p50 {p50:6.2f} ms, p99 {p99:6.2f} ms")


def sketch() -> None:
    """The top-k sketch against a plain counter: time and memory for a million names, and what it misses."""
    import random
    import tracemalloc
    from collections import Counter

    from petrelway.console.sketch import TopNames

    random_source = random.Random(1)
    names = [
        f"once-{i}" if random_source.random() < 0.3 else f"function-{int(random_source.paretovariate(0.6))}"
        for i in range(400_000)
    ]
    found = {}
    for word, make, add in (
        ("plain counter", Counter, lambda c, n: c.update((n,))),
        ("sketch of 512", lambda: TopNames(512), lambda c, n: c.add(n)),
    ):
        tracemalloc.start()
        counts = make()
        for name in names:
            add(counts, name)
        held = tracemalloc.get_traced_memory()[0] / 2**20
        tracemalloc.stop()
        counts = make()
        began = time.perf_counter()
        for name in names:
            add(counts, name)
        found[word] = counts
        took = (time.perf_counter() - began) / len(names) * 1e6
        print(f"{word}: {held:.2f} MB, {took:.2f} us a name")
    true = [name for name, _ in found["plain counter"].most_common(20)]
    told = {h.name for h in found["sketch of 512"].top(20)}
    hit = len(told & set(true))
    print(f"{len(found['plain counter'])} names; of the true 20 most frequent the sketch has {hit}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=990)
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--rates", type=int, nargs="*", help="instead of 10, the rate and twice the rate")
    parser.add_argument("--pairs", type=int, default=1, help="of a closed and an open run, at each rate")
    asked = parser.parse_args()
    sketch()
    cooperate()
    for rate in asked.rates or (10, asked.rate, 2 * asked.rate):
        ratios = []
        for pair in range(asked.pairs):
            words = ("closed", "open") if pair % 2 == 0 else ("open", "closed")  # the machine's pace drifts
            rows = {word: play(rate, asked.seconds, word == "open") for word in words}
            ratios.append(rows["open"]["p99_ms"] / rows["closed"]["p99_ms"])
            for word, r in rows.items():
                pages = (
                    f"; {len(r['pages'])} pages, median {r['pages'][len(r['pages']) // 2]:.0f} ms, worst "
                    f"{r['pages'][-1]:.0f} ms; {r['live']} live updates"
                    if r["pages"]
                    else ""
                )
                print(
                    f"{rate:5}/s console {word:6}: "
                    f"fulfilled {r['outcomes'].get('fulfilled', 0)} of {r['triggers']}, "
                    f"p50 {r['p50_ms']:.1f} ms, p99 {r['p99_ms']:.1f} ms, "
                    f"CPU {r['front_cpu_ms_per_answer']:.3f} ms{pages}",
                    flush=True,
                )
        ratios.sort()
        print(f"{rate:5}/s p99 open over closed: " + " ".join(f"{r:.2f}" for r in ratios), flush=True)


if __name__ == "__main__":
    main()
