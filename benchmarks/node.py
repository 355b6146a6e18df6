"""CPU a trigger and memory of a front end on the platform's protocol, beside the HTTP front in the same run.

Twelve scripted executors that answer after 20 ms, sixty functions, open loop from this process. The HTTP
front plays the like day of benchmarks/front.py. Compare the ratio: both ran on this machine, in turn.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import os
import random
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

from front import play

EXECUTORS, FUNCTIONS, CONNECTIONS, WORK_S = 12, 60, 24, 0.02
HEAD = struct.Struct(">BBHI8s")
SETTINGS = {
    "classes": [{"name": "status", "effect": "retryable", "aimS": 1.0, "deadlineS": 3.0, "worth": 1.0}],
    "orgs": [{"name": "north", "portion": 1.0, "quotaRps": 1000.0}],
    "zones": ["a", "b", "c"], "kinds": ["wide"], "zone": 0, "position": 0, "peersTotal": 1,
    "limits": {"sendCap": 3, "secondCopies": True, "cancel": True, "retryAfter": True, "maxRetryAfterS": 0.5,
               "multiplex": 32, "connectTimeoutS": 0.25, "idleCloseS": 30.0},
    "familyInfo": {"notLoaded": "load", "loadControl": True, "keepS": 100.0, "orderTimeoutS": 10.0},
    "invariants": {"fallMultiple": 100.0, "fallS": 1.0, "startCapacity": 1.0, "coldS": 1.0},
}


async def executor(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    loop = asyncio.get_running_loop()
    try:
        while True:
            _, code, fields, body, id = HEAD.unpack(await reader.readexactly(HEAD.size))
            whole = await reader.readexactly(fields + body + 4)
            if code == 10:
                told = b"how=resident"
                payload = whole[fields : fields + body]
                frame = HEAD.pack(2, 100, len(told), len(payload), id) + told + payload
                frame += struct.pack(">I", zlib.crc32(told + payload))
                loop.call_later(WORK_S, writer.write, frame)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def bus(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await reader.readexactly(8)
        while True:
            writer.write(struct.pack(">IQB", 9, 1, 0))
            await writer.drain()
            await asyncio.sleep(1.0)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def spent(pid: int) -> tuple[float, float]:
    """CPU ms and resident MB so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_ms = (int(fields[11]) + int(fields[12])) * 1e3 / os.sysconf("SC_CLK_TCK")
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return cpu_ms, pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def measure(rate: int, seconds: int, seed: int) -> dict:
    servers = [await asyncio.start_server(executor, "127.0.0.1", 0) for _ in range(EXECUTORS)]
    feed = await asyncio.start_server(bus, "127.0.0.1", 0)
    spare = await asyncio.start_server(bus, "127.0.0.1", 0)
    listen = spare.sockets[0].getsockname()[1]
    spare.close()
    targets = [{"uid": f"s-{i:08x}", "endpoint": f"127.0.0.1:{s.sockets[0].getsockname()[1]}",
                "az": "abc"[i % 3], "model": "wide", "pod_group": i // 4, "state": "in_service",
                "capacity_hint": 1, "boot_ms": 0} for i, s in enumerate(servers)]
    told = {"name": "n0", "listen": f"127.0.0.1:{listen}", "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": f"127.0.0.1:{feed.sockets[0].getsockname()[1]}", "settings": SETTINGS,
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"rev": 1, "all": True,
                                                                        "targets": targets}}]}}
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(told))
        process = subprocess.Popen([sys.executable, "-m", "petrelway", "node"],
                                   env={**os.environ, "RELAY_CONFIG": str(config)}, stdout=subprocess.DEVNULL)
        try:
            return await load(process.pid, listen, rate, seconds, random.Random(seed))
        finally:
            process.terminate()
            await asyncio.to_thread(process.wait, 30)


async def load(pid: int, port: int, rate: int, seconds: int, chance: random.Random) -> dict:
    for _ in range(200):
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
    body = base64.b64encode(bytes(200)).decode()
    weights = [1.0 / (i + 1) for i in range(FUNCTIONS)]
    begin, at, asked, before = time.perf_counter(), 0.0, 0, (0.0, 0.0)
    while at < 2 + seconds:  # two seconds to warm up
        at += chance.expovariate(rate)
        if (wait := begin + at - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        if not before[0] and at >= 2.0:
            before, took[:], first = spent(pid), [], asked
        asked += 1
        i = asked % CONNECTIONS
        due[i, asked] = begin + at
        params = {"call": f"{chance.getrandbits(64):016x}", "ttl": 3000, "org": "north", "work": 20.0,
                  "row": f"{chance.choices(range(FUNCTIONS), weights)[0]:016x}", "bytes": body,
                  "extras": "memory_mb:500;lanes:64"}
        line = json.dumps({"jsonrpc": "2.0", "id": asked, "method": "status", "params": params})
        clients[i][1].write(line.encode() + b"\n")
    await asyncio.sleep(0.5)
    cpu_ms, rss_mb = spent(pid)
    for ear in ears:
        ear.cancel()
    took.sort()
    return {"cpu_ms": (cpu_ms - before[0]) / max(1, asked - first), "rss_mb": rss_mb, **answers,
            "p50_ms": took[len(took) // 2], "p99_ms": took[int(len(took) * 0.99)]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=2)
    asked = parser.parse_args()
    rows: dict[str, list[dict]] = {"node": [], "http": []}
    for seed in range(1, asked.rounds + 1):  # in turn, so that a change of the machine meets both
        rows["node"].append(asyncio.run(measure(asked.rate, asked.seconds, seed)))
        found = play("petrelway", asked.rate, asked.seconds, seed)
        rows["http"].append({"cpu_ms": found["front_cpu_ms_per_answer"], "p50_ms": found["p50_ms"],
                             "p99_ms": found["p99_ms"], **found["outcomes"]})
    print(f"{asked.rate} triggers/s for {asked.seconds} s, {EXECUTORS} executors, {asked.rounds} rounds each")
    mean = {}
    for name, runs in rows.items():
        mean[name] = sum(r["cpu_ms"] for r in runs) / len(runs)
        print(f"{name:5} CPU {mean[name]:.3f} ms a trigger; " + "; ".join(
            ", ".join(f"{k} {v:.1f}" if isinstance(v, float) else f"{k} {v}" for k, v in r.items())
            for r in runs))
    print(f"CPU ratio node to http {mean['node'] / mean['http']:.2f}")


if __name__ == "__main__":
    main()
