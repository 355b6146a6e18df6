"""A bad client sends two triggers with a figure out of range: do the usual clients still get their work done?"""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "parts-2"))
from standins import (  # noqa: E402
    Case,
    Registry,
    ask,
    event_bytes,
    free_port,
    package,
    play,
    served,
    start_front,
    start_store,
    start_worker,
    trouble,
    until,
)

ECHO = '''
import json

def entry(body, call):
    asked = json.loads(body)
    if "ledger" in asked:
        with open(asked["ledger"], "a") as ledger:
            ledger.write(asked["name"] + "\\n")
    return body
'''
OUTER_MS = 4000.0
USUAL_S = 30.0
EVERY_S = 0.5
FUNCTIONS = ("status", "route")  # the bad client calls the first one only
OUT_OF_RANGE = "1.7e308"  # ms of work
LEAST_SHARE = 0.5  # STANDING: "at least half of what a policy serves"; without the bad client it is all


def main() -> None:
    play(HERE, body)


def body(case: Case) -> list[str]:
    for function in FUNCTIONS:
        package(case, function, ECHO)
    store, port, worker = start_store(case), free_port(), free_port()
    start_worker(case, "worker-0", worker, store)
    registry = Registry(case)
    registry.tell("worker-0", worker)
    tariff = {"name": "status", "effect": "harmless", "quoted_ms": 1000, "outer_ms": OUTER_MS}
    start_front(case, port, registry.port, tariffs=[tariff])
    ledger = case.temp / "ledger.txt"
    ledger.write_text("")
    for function in FUNCTIONS:
        until(lambda f=function: served(port, "status", f, b"{}"), f"a first trigger of {function} is fulfilled")

    if trouble():
        for number in range(2):
            request = event_bytes(
                port, "status", FUNCTIONS[0], b"{}", f"bad-{number}", customer="south", workhint=OUT_OF_RANGE
            )
            case.note(f"bad client, customer south: workhint {OUT_OF_RANGE}: {ask(port, request, 5.0) or 'no answer'}")

    sent = fulfilled = 0
    last = ""
    began = time.monotonic()
    while time.monotonic() - began < USUAL_S:
        for function in FUNCTIONS:
            sent += 1
            asked = b'{"ledger": "%s", "name": "u%d"}' % (str(ledger).encode(), sent)
            answer = ask(port, event_bytes(port, "status", function, asked, f"u{sent}"), OUTER_MS / 1e3 + 0.5)
            fulfilled += answer is not None and answer.status == 200
            told = str(answer or "no answer").split(" bytes")[0]
            if f"{function} {told}" != last and sent < 9:
                case.note(f"usual client, customer north: u{sent}, function {function}: {told} bytes")
                last = f"{function} {told}"
        time.sleep(EVERY_S)
    ran = len(ledger.read_text().splitlines())
    case.note(f"usual client: {sent} triggers in {USUAL_S:g} s, {fulfilled} fulfilled; {ran} of them ran on the worker")
    if fulfilled < LEAST_SHARE * sent:
        return [f"{fulfilled} of {sent} triggers of the usual client were fulfilled, with the only worker idle and well"]
    return []


if __name__ == "__main__":
    main()
