"""One change of policy on nine real `petrelway serve` processes, beside the emulated figure at the same size.

Prints, and writes nothing: time from the request until each process runs under the change, and the leader's
own counts of messages and bytes sent in that time; the emulated counts run until the operator is told, some
tenths of a second later. The fleet is that of `tests/test_policy_process.py`, with its clients and executors.
Not for CI.
"""

from __future__ import annotations

import json
import shutil
import statistics
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

import msgspec

from petrelway.emulator.policy_traffic import REST_S, ObservedCouncil

ROOT = Path(__file__).parent.parent
CHANGES = 5
ENTRY = 4  # the member by way of which the operator asks: no voter
REST_BETWEEN_S = 3.0  # the last change is active and told
LIMIT_S = 60.0
POLL_S = 0.01
TOKEN = "t" * 32


class ChangeSeen(msgspec.Struct, frozen=True):
    """One change as seen from outside."""

    in_force_s: float
    leader_messages_sent: int
    leader_bytes_sent: int


def main() -> None:
    sys.path.insert(0, str(ROOT / "tests"))
    from test_policy_process import SIZE, Fleet

    folder = Path(tempfile.mkdtemp(prefix="petrelway-changes-"))
    fleet = Fleet(folder)
    try:
        seen = [_change(fleet, number) for number in range(1, CHANGES + 1)]
        length = len(fleet.seen(ENTRY)["document"])
    finally:
        fleet.stop()
    shutil.rmtree(folder)
    _show(f"measured on sockets, document of {length} characters", SIZE, seen)
    _show("emulated, the benchmark's document", SIZE, _emulated(SIZE))


def _change(fleet: Any, number: int) -> ChangeSeen:
    """One change through the entry's console, until each process shows the new version."""
    time.sleep(REST_BETWEEN_S)
    leader = fleet.leader()
    version = fleet.version()
    token = (fleet.folder / "console.token").read_text().strip()
    terms = {**fleet.terms, "tariffs": [{**each, "worth": 1.0 + number} for each in fleet.terms["tariffs"]]}
    proposal = {
        "type": "Propose",
        "id": f"change-{number}",
        "base": version,
        "document": json.dumps(terms),
        "base_document": fleet.seen(ENTRY)["own document"],
        "by": "benchmark",
        "at": 0.0,
    }
    before = fleet.seen(leader)["counts"]
    began = time.monotonic()
    _post(fleet.consoles[ENTRY], token, proposal)
    waiting = set(range(len(fleet.consoles)))
    while waiting:
        if time.monotonic() > began + LIMIT_S:
            raise SystemExit(f"not in force after {LIMIT_S:g} s at members {sorted(waiting)}")
        waiting = {member for member in waiting if fleet.seen(member)["version"] != version + 1}
        time.sleep(POLL_S)
    in_force_s = time.monotonic() - began
    after = fleet.seen(leader)["counts"]
    return ChangeSeen(
        in_force_s=in_force_s,
        leader_messages_sent=_sent(after) - _sent(before),
        leader_bytes_sent=after["bytes said"] - before["bytes said"],
    )


def _sent(counts: dict[str, int]) -> int:
    return sum(count for name, count in counts.items() if name.startswith("said "))


def _post(port: int, token: str, proposal: dict[str, Any]) -> None:
    head = {"Authorization": f"Bearer {token}"}
    request = urllib.request.Request(f"http://127.0.0.1:{port}/wish", json.dumps(proposal).encode(), head)
    with urllib.request.urlopen(request, timeout=5) as answer:
        answer.read()


def _emulated(size: int) -> list[ChangeSeen]:
    council = ObservedCouncil(size)
    council.begin()
    seen = []
    for _ in range(CHANGES):
        began_s = council.sim.now_s
        cost = council.request_changes(1)
        seen.append(
            ChangeSeen(
                in_force_s=council.activation_s(council.version(), began_s),
                leader_messages_sent=int(cost.leader.messages_sent),
                leader_bytes_sent=int(cost.leader.bytes_sent),
            )
        )
        council.run_for(REST_S)
    return seen


def _show(label: str, size: int, seen: list[ChangeSeen]) -> None:
    times = [each.in_force_s for each in seen]
    messages = [each.leader_messages_sent for each in seen]
    sent = [each.leader_bytes_sent for each in seen]
    print(
        f"{label}, {size} members, {len(seen)} changes: in force everywhere after"
        f" {statistics.median(times):.2f} s ({min(times):.2f} to {max(times):.2f}); the leader sent"
        f" {statistics.median(messages):g} messages ({min(messages)} to {max(messages)}),"
        f" {statistics.median(sent):g} B ({min(sent)} to {max(sent)})",
        flush=True,
    )


if __name__ == "__main__":
    main()
