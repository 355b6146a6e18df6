"""Between the wire's words and the module's: one Door for each instance."""

from __future__ import annotations

from base64 import b64encode

from ..common.deployment_settings import DeploymentSettingsError, read_deployment_settings
from ..common.index_table import IndexTable
from ..routing.types import Decision, Endpoint, Outcome, Stage, Verb, Warmth

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


class WireError(Exception):
    """A line that the wire page does not allow, in one plain sentence."""


class Door:
    """One instance's door: events in, actions out, ids mapped on the way."""

    def __init__(self, name: str, now: float, seed: int, told: dict) -> None:
        self.name = name
        self.requests, self.executors, self.functions = IndexTable(), IndexTable(), IndexTable()
        try:
            self.front_end = read_deployment_settings(told).front_end(now, seed)
        except DeploymentSettingsError as fault:
            raise WireError(f"begin of {name}: {fault}") from fault

    def event(self, now: float, item: list) -> None:
        """Hand one event to the module as a call."""
        kind, front_end = item[0], self.front_end
        if kind == "knock":
            rid, start_ms, cost_s, ttl_s, lanes, fn, request_class, tenant, marks, memory = item[2:12]
            function, new = self.functions.add(fn)
            if new:
                front_end.function_named(now, function, str(fn), memory or 0.0, lanes or 1, start_ms or 0.0)
            hinted = cost_s if cost_s and (marks or 0) & 1 else 0.0
            if not 0 <= (request_class or 0) < len(front_end.request_classes):
                raise WireError(f"knock names class {request_class}, which the settings do not list")
            request, _ = self.requests.add(rid)
            front_end.request_taken(
                now,
                request,
                request_class or 0,
                tenant or 0,
                function,
                (ttl_s or 0.0) * 1e3,
                hinted * 1e3,
                bool((marks or 0) & 2),
            )
        elif kind == "reportBack":
            rid, number, _, code, delay, finished, remark = (item[2:] + [None])[:7]
            request, remark = self.requests.indices.get(rid), remark or 0
            if request is not None:
                front_end.attempt_ended(
                    now,
                    request,
                    number,
                    _outcome(code),
                    (delay or 0.0) * 1e3,
                    bool(finished),
                    Warmth(remark & 7),
                )
        elif kind == "reminder":
            front_end.time_passed(now)
        elif kind == "topology":
            if item[3] != "X":
                endpoints = [self._endpoint(entry) for entry in item[4] or []]
                front_end.executors_listed(now, endpoints, item[3] != "D")
        elif kind == "dropped":
            request = self.requests.indices.get(item[2])
            if request is not None:
                front_end.client_gone(now, request)
        elif kind == "loadDone":
            code, delay, executor, fn, replicas = item[2:7]
            function = self.functions.indices.get(fn)
            if function is not None:
                front_end.load_request_answered(
                    now,
                    self._executor(executor),
                    function,
                    _outcome(code),
                    replicas or 0,
                    (delay or 0.0) * 1e3,
                )
        elif kind not in ("firstByte", "inbox", "probeResult"):  # the module asks for none of these yet
            raise WireError(f"unknown event {kind!r}")

    def actions(self, now: float) -> list[list]:
        """Pull the module's decisions until there is none."""
        found = []
        while (decision := self.front_end.decide(now)) is not None:
            found.append(self._action(decision))
        free = self.front_end.released()
        self.requests.release(free.requests)
        self.executors.release(free.executors)
        self.functions.release(free.functions)
        return found

    def _action(self, d: Decision) -> list:
        request, executor = self.requests.outside_ids.get(d.request), self.executors.outside_ids.get(d.executor)
        function = self.functions.outside_ids.get(d.function)
        if d.verb is Verb.SEND:
            return ["forward", self.name, request, executor, d.ms / 1e3]
        if d.verb is Verb.CANCEL:
            return ["dropAttempt", self.name, request, d.number]
        if d.verb is Verb.REJECT:
            return ["bounce", self.name, request, d.ms / 1e3]
        if d.verb is Verb.FAIL:
            return ["respondError", self.name, request]
        if d.verb is Verb.PREFETCH:
            return ["startCopy", self.name, executor, d.number, function]
        if d.verb is Verb.UNLOAD:
            return ["drop", self.name, function, executor]
        if d.verb is Verb.PROBE:
            return ["ping", self.name, executor]
        if d.verb is Verb.TELL:
            return ["signal", self.name, "all", b64encode(d.payload).decode()]
        return ["schedule", self.name, d.ms / 1e3, "look"]

    def _endpoint(self, entry: list) -> Endpoint:
        wire, zone, machine, cell, stage, weight, started = (entry + [None, None])[:7]
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
            (started or 0.0) * 1e3,
        )

    def _executor(self, wire: str) -> int:
        return self.executors.indices.get(wire, -1)


def _outcome(code: str) -> Outcome:
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome {code!r}")
    return OUTCOMES[code]
