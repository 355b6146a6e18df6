"""CPU a request and memory of a front end on the platform's protocol, beside the HTTP front in the same run.

Twelve scripted executors that answer after 20 ms, sixty functions, open loop from this process. The HTTP
front plays the like day of benchmarks/front.py. Compare the ratio: both ran on this machine, in turn.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
from front import play

from petrelway.fakes.platform_peers import SETTINGS, Bus, Executor, configuration, request

EXECUTORS, FUNCTIONS, CONNECTIONS, WORK_MS = 12, 60, 24, 20.0
WARM_UP_S = 2.0


def measure(rate: int, seconds: int, seed: int) -> dict:
    executors, bus, spare = [Executor(WORK_MS) for _ in range(EXECUTORS)], Bus(), Bus()
    spare.close()  # its port is free now
    settings = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "notLoaded": "load"}}
    told = configuration(
        spare.address,
        bus.address,
        tuple((i, e.port) for i, e in enumerate(executors)),
        sockets=1024,
        settings=settings,
    )
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_bytes(told)
        process = subprocess.Popen(
            [sys.executable, "-m", "petrelway", "node"],
            env={**os.environ, "RELAY_CONFIG": str(config)},
            stdout=subprocess.DEVNULL,
        )
        try:
            return asyncio.run(load(psutil.Process(process.pid), spare.port, rate, seconds, seed))
        finally:
            process.terminate()
            process.wait(30)
            for standin in (*executors, bus):
                standin.close()


async def load(node: psutil.Process, port: int, rate: int, seconds: int, seed: int) -> dict:
    random_source = random.Random(seed)
    while True:
        try:
            clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(CONNECTIONS)]
            break
        except OSError:
            await asyncio.sleep(0.05)
    due: dict[tuple[int, int], float] = {}
    took: list[float] = []
    answers = {"fulfilled": 0, "other": 0}

    async def hear(i: int) -> None:
        while line := await clients[i][0].readline():
            reply = json.loads(line)
            took.append((time.perf_counter() - due.pop((i, reply["id"]))) * 1e3)
            answers["fulfilled" if "result" in reply else "other"] += 1

    ears = [asyncio.create_task(hear(i)) for i in range(CONNECTIONS)]
    weights = [1.0 / (i + 1) for i in range(FUNCTIONS)]
    begin, at, asked, first, before_s = time.perf_counter(), 0.0, 0, 0, 0.0
    while at < WARM_UP_S + seconds:
        at += random_source.expovariate(rate)
        if (wait := begin + at - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        if not first and at >= WARM_UP_S:
            before_s, first = sum(node.cpu_times()[:2]), asked
            took.clear()
        asked += 1
        i = asked % CONNECTIONS
        due[i, asked] = begin + at
        function = random_source.choices(range(FUNCTIONS), weights)[0]
        clients[i][1].write(
            request(
                asked,
                call=f"{random_source.getrandbits(64):016x}",
                row=f"{function:016x}",
                work=WORK_MS,
                body=bytes(200),
                extras="memory_mb:500;lanes:64",
            )
        )
    await asyncio.sleep(0.5)
    cpu_s, rss_mb = sum(node.cpu_times()[:2]), node.memory_info().rss / 2**20
    for ear in ears:
        ear.cancel()
    took.sort()
    return {
        "cpu_ms": (cpu_s - before_s) * 1e3 / (asked - first),
        "rss_mb": rss_mb,
        **answers,
        "p50_ms": took[len(took) // 2],
        "p99_ms": took[int(len(took) * 0.99)],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=2)
    asked = parser.parse_args()
    rows: dict[str, list[dict]] = {"node": [], "http": []}
    for seed in range(1, asked.rounds + 1):  # in turn, so that a change of the machine meets both
        rows["node"].append(measure(asked.rate, asked.seconds, seed))
        found = play("petrelway", asked.rate, asked.seconds, seed)
        rows["http"].append(
            {
                "cpu_ms": found["front_cpu_ms_per_answer"],
                "p50_ms": found["p50_ms"],
                "p99_ms": found["p99_ms"],
                **found["outcomes"],
            }
        )
    print(f"{asked.rate} triggers/s for {asked.seconds} s, {EXECUTORS} executors, {asked.rounds} rounds each")
    mean = {}
    for name, runs in rows.items():
        mean[name] = sum(r["cpu_ms"] for r in runs) / len(runs)
        print(
            f"{name:5} CPU {mean[name]:.3f} ms a trigger; "
            + "; ".join(
                ", ".join(f"{k} {v:.1f}" if isinstance(v, float) else f"{k} {v}" for k, v in r.items())
                for r in runs
            )
        )
    print(f"CPU ratio node to http {mean['node'] / mean['http']:.2f}")


if __name__ == "__main__":
    main()
