"""The open watch on the registry falls silent, and a worker is listed as draining: when do sends to it end?"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "parts-2"))
from standins import (  # noqa: E402
    CannotRun,
    Case,
    Proxy,
    Registry,
    ask,
    event_bytes,
    free_port,
    package,
    play,
    start_front,
    start_store,
    start_worker,
    trouble,
    until,
)

# Notes at which worker it runs: a replica is the worker's own child.
WHERE = '''
import json, os, time

def entry(body, call):
    asked = json.loads(body)
    with open(asked["ledger"], "a") as ledger:
        ledger.write(json.dumps({"id": asked["id"], "worker": os.getppid(), "at": time.monotonic()}) + "\\n")
    return b'"done"'
'''
FUNCTIONS = [f"part-{number}" for number in range(8)]
OUTER_MS = 3000.0
TOLD_AFTER_SILENCE_S = 4.0  # DAYS: "Its news counts as told [...] 4 s after a stop."
GRACE_S = 2.0  # the longest that the pages name (WIRE, stopSendingWithinS 2.0)
SOCKETS_S = 0.05  # PROTOCOL: "every time limit 50 ms longer"
DRAIN_AFTER_S = 0.5
WATCHED_S = 30.0  # after the drain is listed; the worker stays up, as one that finishes its work does
EVERY_S = 0.05


def main() -> None:
    play(HERE, body)


def body(case: Case) -> list[str]:
    for function in FUNCTIONS:
        package(case, function, WHERE)
    store, port = start_store(case), free_port()
    registry = Registry(case)
    watch = Proxy(case, registry.port)  # the way from the front end to the registry
    ports, pids = {}, {}
    for name in ("worker-0", "worker-1"):
        ports[name] = free_port()
        pids[start_worker(case, name, ports[name], store).pid] = name
        registry.tell(name, ports[name])
    tariff = {"name": "status", "effect": "harmless", "quoted_ms": 1000, "outer_ms": OUTER_MS}
    start_front(case, port, watch.port, tariffs=[tariff])
    ledger = case.temp / "ledger.txt"
    ledger.write_text("")
    count = 0

    def send(function: str) -> str:
        nonlocal count
        count += 1
        asked = json.dumps({"ledger": str(ledger), "id": f"u{count}"}).encode()
        answer = ask(port, event_bytes(port, "status", function, asked, f"u{count}"), OUTER_MS / 1e3 + 0.5)
        return f"{answer.status} {answer.outcome}" if answer else "no answer"

    def runs() -> list[dict]:
        return [json.loads(line) for line in ledger.read_text().splitlines()]

    until(lambda: send(FUNCTIONS[0]).startswith("200"), "a first trigger is fulfilled")
    for _ in range(3):
        for function in FUNCTIONS:
            send(function)
    before = Counter(pids[run["worker"]] for run in runs())
    case.note(f"before: triggers run by worker {dict(before)}")
    leaving, _ = before.most_common()[0]

    if trouble():
        silent = watch.mute()
        case.note(f"the open watch falls silent ({silent} connection); the registry and new connections to it are well")
        if silent != 1:
            raise CannotRun(f"{silent} watches were open")
    began = time.monotonic()
    time.sleep(DRAIN_AFTER_S)
    registry.tell(leaving, ports[leaving], stage="draining")
    listed = time.monotonic()
    told = max(listed, began + TOLD_AFTER_SILENCE_S) if trouble() else listed
    limit = told + GRACE_S + SOCKETS_S
    case.note(f"{leaving} counts as told to drain at {told - began:.2f} s, nothing new from {limit - began:.2f} s on"
              f" (seconds since {'the silence began' if trouble() else 'the same moment'})")

    answers: Counter[str] = Counter()
    while time.monotonic() - listed < WATCHED_S:
        answers[send(FUNCTIONS[count % len(FUNCTIONS)])] += 1
        time.sleep(EVERY_S)
    after = [run for run in runs() if run["at"] > limit]
    where = Counter(pids[run["worker"]] for run in after)
    late = [run for run in after if pids[run["worker"]] == leaving]
    case.note(f"client: answers since the drain was listed {dict(answers)}")
    case.note(f"triggers run after the limit, by worker: {dict(where)}")
    if not after:
        raise CannotRun("nothing ran after the limit")
    for run in [*late[:3], *late[-1:]]:
        case.note(f"{leaving} ran {run['id']} at {run['at'] - began:.2f} s, {run['at'] - limit:.2f} s past the limit")
    # one trigger is open at a time, so what runs past the limit by more than an answer takes was sent past it
    sent_late = [run for run in late if run["at"] - limit > OUTER_MS / 1e3]
    if sent_late:
        return [f"{len(sent_late)} new triggers were sent to {leaving} over {OUTER_MS / 1e3:g} s past the limit,"
                f" the last {sent_late[-1]['at'] - limit:.1f} s past it"]
    return []


if __name__ == "__main__":
    main()
