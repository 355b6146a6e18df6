"""Between the wire's words and the module's: one Door for each instance."""

from __future__ import annotations

from base64 import b64encode

from ..choice import FrontEnd
from ..indices import Ids
from ..interface import (
    ColdRule,
    Customer,
    Decision,
    Effect,
    Keeping,
    Listing,
    LoadRation,
    Outcome,
    Permits,
    Place,
    Scope,
    Stage,
    Tariff,
    Verb,
    Warmth,
)

EFFECTS = {"retryable": Effect.HARMLESS, "dedup": Effect.STAMPED, "fragile": Effect.ONE_SHOT}
SCOPES = {"all": Scope.ALL, "zone": Scope.HALL, "cell": Scope.CELL}
STAGES = {"active": Stage.READY, "leaving": Stage.DRAINING, "left": Stage.GONE}
OUTCOMES = {
    "S": Outcome.FULFILLED, "E": Outcome.ERROR, "F": Outcome.FULL, "T": Outcome.TIMEOUT,
    "C": Outcome.UNREACHABLE, "R": Outcome.RESET, "X": Outcome.WITHDRAWN, "N": Outcome.UNSENT,
    "M": Outcome.MISS,
}


class WireFault(Exception):
    """A line that the wire page does not allow, in one plain sentence."""


def _number(source: dict, key: str, scale: float = 1.0) -> float:
    return float(source.get(key) or 0.0) * scale


def make_front_end(now: float, seed: int, told: dict) -> FrontEnd:
    """A FrontEnd from the wire's settings; unknown keys are ignored, missing ones read as nothing."""
    limits, family, rules = (told.get(key) or {} for key in ("limits", "familyInfo", "invariants"))
    tariffs = [
        Tariff(EFFECTS[c.get("effect", "fragile")], SCOPES[c.get("dedupScope") or "all"],
               _number(c, "windowS", 1e3), _number(c, "aimS", 1e3), _number(c, "deadlineS", 1e3),
               float(c.get("worth", 1.0)), _number(c, "lateWorth"))
        for c in told.get("classes") or []
    ]
    customers = [Customer(_number(o, "portion"), _number(o, "quotaRps")) for o in told.get("orgs") or []]
    place = Place(told.get("position") or 0, told.get("peersTotal") or 1, told.get("zone") or 0)
    permits = Permits(
        int(limits.get("sendCap") or 1), bool(limits.get("secondCopies")), bool(limits.get("cancel")),
        bool(limits.get("probes")), bool(limits.get("peers")),
        _number(limits, "maxRetryAfterS", 1e3) if limits.get("retryAfter") else 0.0,
    )
    keeping = Keeping(
        family.get("notLoaded") == "miss", bool(family.get("loadControl")), _number(family, "keepS", 1e3),
        _number(family, "orderTimeoutS", 1e3), _number(family, "idlePrice"),
    )
    cold = ColdRule(_number(rules, "fallMultiple"), _number(rules, "fallS", 1e3),
                    _number(rules, "startCapacity"), _number(rules, "coldS", 1e3))
    ration = LoadRation(_number(family, "loadsWithinS", 1e3), _number(family, "loadFloor"),
                        _number(family, "loadsPerRequest"))
    return FrontEnd(now, seed, place, tariffs, customers, permits, keeping, cold, ration)


class Door:
    """One instance's door: events in, actions out, ids mapped on the way."""

    def __init__(self, name: str, now: float, seed: int, told: dict) -> None:
        self.name = name
        self.triggers, self.executors, self.functions = Ids(), Ids(), Ids()
        self.front_end = make_front_end(now, seed, told)

    def event(self, now: float, item: list) -> None:
        """Hand one event to the module as a call."""
        kind, front_end = item[0], self.front_end
        if kind == "knock":
            rid, start_ms, cost_s, ttl_s, lanes, fn, tariff, customer, marks, memory = item[2:12]
            function, new = self.functions.enter(fn)
            if new:
                front_end.function_named(now, function, str(fn), memory or 0.0, lanes or 1, start_ms or 0.0)
            hinted = cost_s if cost_s and (marks or 0) & 1 else 0.0
            if not 0 <= (tariff or 0) < len(front_end.tariffs):
                raise WireFault(f"knock names class {tariff}, which the settings do not list")
            trigger, _ = self.triggers.enter(rid)
            front_end.trigger_taken(now, trigger, tariff or 0, customer or 0, function,
                                    (ttl_s or 0.0) * 1e3, hinted * 1e3, bool((marks or 0) & 2))
        elif kind == "reportBack":
            rid, number, _, code, delay, finished, remark = (item[2:] + [None])[:7]
            trigger, remark = self.triggers.index.get(rid), remark or 0
            if trigger is not None:
                front_end.transmission_ended(now, trigger, number, _outcome(code), (delay or 0.0) * 1e3,
                                             bool(finished), Warmth(remark & 7))
        elif kind == "reminder":
            front_end.time_passed(now)
        elif kind == "topology":
            if item[3] != "X":
                listings = [self._listing(entry) for entry in item[4] or []]
                front_end.executors_listed(now, listings, item[3] != "D")
        elif kind == "dropped":
            trigger = self.triggers.index.get(item[2])
            if trigger is not None:
                front_end.client_gone(now, trigger)
        elif kind == "loadDone":
            code, delay, executor, fn, copies = item[2:7]
            function = self.functions.index.get(fn)
            if function is not None:
                front_end.order_answered(now, self._executor(executor), function, _outcome(code),
                                         copies or 0, (delay or 0.0) * 1e3)
        elif kind not in ("firstByte", "inbox", "probeResult"):  # the module asks for none of these yet
            raise WireFault(f"unknown event {kind!r}")

    def actions(self, now: float) -> list[list]:
        """Pull the module's decisions until there is none."""
        found = []
        while (decision := self.front_end.decide(now)) is not None:
            found.append(self._action(decision))
        free = self.front_end.released()
        self.triggers.leave(free.triggers)
        self.executors.leave(free.executors)
        self.functions.leave(free.functions)
        return found

    def _action(self, d: Decision) -> list:
        trigger, executor = self.triggers.wire.get(d.trigger), self.executors.wire.get(d.executor)
        function = self.functions.wire.get(d.function)
        if d.verb is Verb.SEND:
            return ["forward", self.name, trigger, executor, d.ms / 1e3]
        if d.verb is Verb.WITHDRAW:
            return ["dropAttempt", self.name, trigger, d.number]
        if d.verb is Verb.NACK:
            return ["bounce", self.name, trigger, d.ms / 1e3]
        if d.verb is Verb.BREAK_OFF:
            return ["respondError", self.name, trigger]
        if d.verb is Verb.ORDER:
            return ["startCopy", self.name, executor, d.number, function]
        if d.verb is Verb.UNLOAD:
            return ["drop", self.name, function, executor]
        if d.verb is Verb.PROBE:
            return ["ping", self.name, executor]
        if d.verb is Verb.TELL:
            return ["signal", self.name, "all", b64encode(d.payload).decode()]
        return ["schedule", self.name, d.ms / 1e3, "look"]

    def _listing(self, entry: list) -> Listing:
        wire, hall, machine, cell, stage, weight, started = (entry + [None, None])[:7]
        if stage not in STAGES:
            raise WireFault(f"topology names an unknown state {stage!r}")
        index, _ = self.executors.enter(wire)
        return Listing(index, wire, hall or 0, machine or 0, cell or 0, STAGES[stage], weight or 1.0,
                       (started or 0.0) * 1e3)

    def _executor(self, wire: str) -> int:
        return self.executors.index.get(wire, -1)


def _outcome(code: str) -> Outcome:
    if code not in OUTCOMES:
        raise WireFault(f"unknown outcome {code!r}")
    return OUTCOMES[code]
