"""The load generator on sockets against a stand-in with known delays, also one that stands still."""

from __future__ import annotations

import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

SERVER = """
import random, sys
from twisted.internet import reactor
from twisted.web import resource, server
delays = [float(x) for x in sys.argv[2].split(",")]
chance = random.Random(1)
class Target(resource.Resource):
    isLeaf = True
    def render_POST(self, request):
        request.notifyFinish().addErrback(lambda _: None)
        reactor.callLater(chance.choice(delays) / 1e3, self.answer, request)
        return server.NOT_DONE_YET
    def answer(self, request):
        if not request._disconnected:
            request.setHeader(b"petrelway-outcome", b"fulfilled")
            request.finish()
reactor.listenTCP(int(sys.argv[1]), server.Site(Target()), backlog=512, interface="127.0.0.1")
print("up", flush=True)
reactor.run()
"""
DELAYS = [20.0, 40.0, 80.0, 160.0, 320.0]
PORT = 19_731


def play(rate: int, processes: int, stall: bool) -> dict:
    told = {
        "arrivals": {"rate": rate, "seconds": 10},
        "functions": {"f": 1},
        "how": {"processes": processes},
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "load.json"
        file.write_text(json.dumps(told))
        delays = ",".join(str(d) for d in DELAYS)
        target = subprocess.Popen(
            [sys.executable, "-c", SERVER, str(PORT), delays], stdout=subprocess.PIPE, text=True
        )
        target.stdout.readline()
        words = ["load", f"127.0.0.1:{PORT}", str(file), "--json"]
        load = subprocess.Popen(
            [sys.executable, "-m", "petrelway", *words], stdout=subprocess.PIPE, text=True
        )
        if stall:
            time.sleep(6.0)
            target.send_signal(signal.SIGSTOP)
            time.sleep(2.0)
            target.send_signal(signal.SIGCONT)
        out, _ = load.communicate()
        target.kill()
        target.wait()
        return json.loads(out)


def main() -> None:
    random_source = random.Random(1)
    known = sorted(random_source.choice(DELAYS) for _ in range(100_000))
    true = {f"p{q}": known[int(q / 100 * len(known))] for q in (50, 90, 99)}
    print("known: " + ", ".join(f"{k} {v:.0f} ms" for k, v in true.items()))
    for rate, processes, stall in ((200, 1, False), (800, 2, False), (200, 1, True)):
        found = play(rate, processes, stall)
        latency = found["latency_ms"]
        words = ", ".join(f"{k} {latency[k]:.1f} ms ({latency[k] / v - 1.0:+.1%})" for k, v in true.items())
        print(
            f"{rate}/s by {processes} processes{', 2 s of standing still' if stall else ''}: due "
            f"{found['due']}, {found['ended']}; {words}, most {latency['most']:.0f} ms; sent late by p99 "
            f"{found['own_lateness_ms']['p99']:.1f} ms",
            flush=True,
        )


if __name__ == "__main__":
    main()
