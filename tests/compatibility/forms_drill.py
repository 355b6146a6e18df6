"""The simulator's wire: events, what they tell the decision module, its decisions and their actions."""

from __future__ import annotations

import json
import re
from typing import Any

from wire_form_cases import Recorder, plain

from petrelway.fakes.platform_peers import SETTINGS
from petrelway.routing.types import Action, ActionKind
from petrelway.simulator_adapter.__main__ import reply
from petrelway.simulator_adapter.codec import SimulatedInstance, WireError

TOPIC = "drill"
NOW_MS = 1000.0
PAST_MICROSECONDS = re.compile(r"(?<=\.\d{6})\d+")  # digits where machines may differ
TOPOLOGY = ["topology", "a", 1, "F", [["s-1", 0, 0, 2, "active", 1.5, 0.5]]]
KNOCK = ["knock", "a", "r1", 1200.0, 0.25, 1.5, 2, "fn-1", 0, 1, 3, 512.0]
DECISIONS = {
    "send": Action(ActionKind.SEND, 0, 0, 0, 1, 1500.0),
    "withdraw": Action(ActionKind.CANCEL, 0, 0, 0, 1),
    "nack": Action(ActionKind.REJECT, 0, ms=250.0),
    "break-off": Action(ActionKind.FAIL, 0),
    "order": Action(ActionKind.PREFETCH, -1, 0, 0, 2),
    "unload": Action(ActionKind.UNLOAD, -1, 0, 0),
    "probe": Action(ActionKind.PROBE, -1, 0),
    "tell": Action(ActionKind.NOTIFY_PEERS, payload=b"\x00peer"),
    "wake": Action(ActionKind.WAKE, ms=2500.0),
}


class FailingInstance:
    """An instance whose decision code fails."""

    def event(self, now: float, item: list) -> None:
        pass

    def actions(self, now: float) -> list[list]:
        raise ValueError("broken")


def _instance() -> SimulatedInstance:
    """An instance that knows executor s-1, function fn-1 and request r1, with a module that only listens."""
    instance = SimulatedInstance("a", NOW_MS, 1, SETTINGS)
    instance.front_end = Recorder(instance.front_end)
    instance.event(NOW_MS, TOPOLOGY)
    instance.event(NOW_MS, KNOCK)
    instance.front_end.calls.clear()
    return instance


def written() -> dict[str, Any]:
    """The action of each decision, and the answers to whole batches."""
    actions = {f"action.{name}": _instance()._action(decision) for name, decision in DECISIONS.items()}
    begin = ["begin", "a", 1, SETTINGS]
    instances = {"b": FailingInstance()}
    batches = {
        "begin": [begin, TOPOLOGY, KNOCK],
        "shutdown": [["shutdown", "a"]],
        "fatal": [["reminder", "b"]],
    }
    replies = {}
    for turn, (name, items) in enumerate(batches.items()):
        line = json.dumps({"wallS": 1.0 + turn, "turn": turn, "items": items})
        replies[f"batch.{name}"] = [line, PAST_MICROSECONDS.sub("", reply(instances, line))]
    return {**actions, **replies}


def decode(name: str, text: Any) -> Any:
    """What an event tells the module, or the fault that it is; None for what is not read."""
    if not name.startswith("event"):
        return None
    instance = _instance()
    try:
        instance.event(NOW_MS, text)
    except WireError as fault:
        return str(fault)
    return plain(instance.front_end.calls)
