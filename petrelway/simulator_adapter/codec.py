"""The codec between the simulator's wire format and the decisions: one SimulatedInstance per front end.

Called by the loop in `__main__`. The names used by the wire format appear only here.
"""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable
from typing import Any

from ..common.deployment_settings import DeploymentSettingsError, read_deployment_settings
from ..common.index_table import IndexTable
from ..routing.types import Action, ActionKind, Endpoint, Outcome, Stage, Warmth

STAGES = {"active": Stage.READY, "leaving": Stage.DRAINING, "left": Stage.GONE}
OUTCOMES = {
    "S": Outcome.SUCCEEDED,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.TIMEOUT,
    "C": Outcome.UNREACHABLE,
    "R": Outcome.RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.UNSENT,
    "M": Outcome.MISS,
}
ACTION_NAMES = {
    ActionKind.SEND: "forward",
    ActionKind.CANCEL: "dropAttempt",
    ActionKind.REJECT: "bounce",
    ActionKind.FAIL: "respondError",
    ActionKind.PREFETCH: "startCopy",
    ActionKind.UNLOAD: "drop",
    ActionKind.PROBE: "ping",
    ActionKind.NOTIFY_PEERS: "signal",
    ActionKind.WAKE: "schedule",
}
IGNORED_EVENTS = ("firstByte", "inbox", "probeResult")  # answers to actions that the decisions never request
MS_PER_S = 1e3
UNKNOWN_INDEX = -1
COST_HINTED = 1  # flag bits in a request's marks
CLIENT_RETRY = 2
WARMTH_BITS = 7  # bit mask of the warmth in the remark on an attempt's end
NO_LIST = "X"  # kinds of endpoint list; any other kind is a complete one
PARTIAL_LIST = "D"


class WireError(Exception):
    """A line violates the wire format; the message says how in one sentence."""


class SimulatedInstance:
    """One front end of a simulation: takes events, returns actions and maps ids in both directions."""

    def __init__(self, name: str, now: float, seed: int, settings: dict[str, Any]) -> None:
        """Create the instance. Raises WireError if its settings are invalid."""
        self.name = name
        self.requests = IndexTable()
        self.executors = IndexTable()
        self.functions = IndexTable()
        try:
            self.front_end = read_deployment_settings(settings).front_end(now, seed)
        except DeploymentSettingsError as error:
            raise WireError(f"begin of {name}: {error}") from error

    def event(self, now: float, item: list[Any]) -> None:
        """Pass one event to the decisions as a call. Raises WireError if the event is unknown or invalid."""
        kind = item[0]
        if kind in IGNORED_EVENTS:
            return
        handler = EVENT_HANDLERS.get(kind)
        if handler is None:
            raise WireError(f"unknown event {kind!r}")
        handler(self, now, item)

    def actions(self, now: float) -> list[list[Any]]:
        """Collect decisions until there are none, and return them as actions of the wire format."""
        found = []
        while (action := self.front_end.decide(now)) is not None:
            found.append(self._action(action))
        freed = self.front_end.released()
        self.requests.release(freed.requests)
        self.executors.release(freed.executors)
        self.functions.release(freed.functions)
        return found

    def _request_taken(self, now: float, item: list[Any]) -> None:
        wire_id, start_ms, cost_s, ttl_s, lanes, name, request_class, tenant, marks, memory_mb = item[2:12]
        function, is_new = self.functions.add(name)
        if is_new:
            self.front_end.function_named(
                now, function, str(name), memory_mb or 0.0, lanes or 1, start_ms or 0.0
            )
        hinted_s = cost_s if cost_s and (marks or 0) & COST_HINTED else 0.0
        if not 0 <= (request_class or 0) < len(self.front_end.request_classes):
            raise WireError(f"knock names class {request_class}, which the settings do not list")
        request, _ = self.requests.add(wire_id)
        self.front_end.request_taken(
            now,
            request,
            request_class or 0,
            tenant or 0,
            function,
            (ttl_s or 0.0) * MS_PER_S,
            hinted_s * MS_PER_S,
            bool((marks or 0) & CLIENT_RETRY),
        )

    def _attempt_ended(self, now: float, item: list[Any]) -> None:
        wire_id, number, _, code, took_s, finished, remark = [*item[2:], None][:7]
        request = self.requests.indices.get(wire_id)
        if request is None:
            return
        self.front_end.attempt_ended(
            now,
            request,
            number,
            _outcome(code),
            (took_s or 0.0) * MS_PER_S,
            bool(finished),
            Warmth((remark or 0) & WARMTH_BITS),
        )

    def _time_passed(self, now: float, item: list[Any]) -> None:
        self.front_end.time_passed(now)

    def _executors_listed(self, now: float, item: list[Any]) -> None:
        if item[3] == NO_LIST:
            return
        endpoints = [self._endpoint(entry) for entry in item[4] or []]
        self.front_end.executors_listed(now, endpoints, item[3] != PARTIAL_LIST)

    def _client_gone(self, now: float, item: list[Any]) -> None:
        request = self.requests.indices.get(item[2])
        if request is not None:
            self.front_end.client_gone(now, request)

    def _load_request_answered(self, now: float, item: list[Any]) -> None:
        code, took_s, executor, name, replicas = item[2:7]
        function = self.functions.indices.get(name)
        if function is None:
            return
        self.front_end.load_request_answered(
            now,
            self.executors.indices.get(executor, UNKNOWN_INDEX),
            function,
            _outcome(code),
            replicas or 0,
            (took_s or 0.0) * MS_PER_S,
        )

    def _action(self, action: Action) -> list[Any]:
        """Encode an action for the wire."""
        return [ACTION_NAMES[action.kind], self.name, *self._arguments(action)]

    def _arguments(self, action: Action) -> list[Any]:
        request = self.requests.outside_ids.get(action.request)
        executor = self.executors.outside_ids.get(action.executor)
        function = self.functions.outside_ids.get(action.function)
        match action.kind:
            case ActionKind.SEND:
                return [request, executor, action.ms / MS_PER_S]
            case ActionKind.CANCEL:
                return [request, action.number]
            case ActionKind.REJECT:
                return [request, action.ms / MS_PER_S]
            case ActionKind.FAIL:
                return [request]
            case ActionKind.PREFETCH:
                return [executor, action.number, function]
            case ActionKind.UNLOAD:
                return [function, executor]
            case ActionKind.PROBE:
                return [executor]
            case ActionKind.NOTIFY_PEERS:
                return ["all", b64encode(action.payload).decode()]
            case ActionKind.WAKE:
                return [action.ms / MS_PER_S, "look"]

    def _endpoint(self, entry: list[Any]) -> Endpoint:
        wire, zone, machine, cell, stage, weight, started = [*entry, None, None][:7]
        if stage not in STAGES:
            raise WireError(f"topology names an unknown state {stage!r}")
        index, _ = self.executors.add(wire)
        return Endpoint(
            index,
            wire,
            zone or 0,
            machine or 0,
            cell or 0,
            STAGES[stage],
            weight or 1.0,
            (started or 0.0) * MS_PER_S,
        )


EVENT_HANDLERS: dict[str, Callable[[SimulatedInstance, float, list[Any]], None]] = {
    "knock": SimulatedInstance._request_taken,
    "reportBack": SimulatedInstance._attempt_ended,
    "reminder": SimulatedInstance._time_passed,
    "topology": SimulatedInstance._executors_listed,
    "dropped": SimulatedInstance._client_gone,
    "loadDone": SimulatedInstance._load_request_answered,
}


def _outcome(code: str) -> Outcome:
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome {code!r}")
    return OUTCOMES[code]
