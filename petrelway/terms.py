"""A deployment's terms: the settings object that the simulator and the platform both tell, read once.

Used by the drill and by the node; the standard library alone. Unknown keys are ignored, missing ones read as
nothing. Durations come in seconds and leave as milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from .choice import FrontEnd
from .interface import (
    ColdRule,
    Customer,
    Effect,
    Keeping,
    LoadRation,
    Permits,
    Place,
    Scope,
    Tariff,
)

EFFECTS = {"retryable": Effect.HARMLESS, "dedup": Effect.STAMPED, "fragile": Effect.ONE_SHOT}
SCOPES = {"all": Scope.ALL, "zone": Scope.HALL, "cell": Scope.CELL}


class Terms(NamedTuple):
    """What one front end is told of its deployment. Times in ms; 0: untold."""

    place: Place
    tariffs: list[Tariff]
    customers: list[Customer]
    permits: Permits
    keeping: Keeping
    cold: ColdRule
    ration: LoadRation
    tariff_names: list[str]
    customer_names: list[str]
    halls: list[str]
    machines: list[str]
    streams: int  # transmissions that one connection may carry together
    connect_ms: float  # a connection that is not up by then counts as unreachable
    idle_ms: float  # idle connections are closed after this time

    def front_end(self, now: float, seed: int) -> FrontEnd:
        return FrontEnd(now, seed, self.place, self.tariffs, self.customers, self.permits, self.keeping,
                        self.cold, self.ration)


def _number(source: dict, key: str, scale: float = 1.0) -> float:
    return float(source.get(key) or 0.0) * scale


def read_terms(told: dict) -> Terms:
    """Raises KeyError, TypeError, ValueError or AttributeError where a value is of no use.

    >>> read_terms({"classes": [{"name": "a", "aimS": 1.0, "effect": "dedup"}]}).tariffs[0].quoted_ms
    1000.0
    """
    limits, family, rules = (told.get(key) or {} for key in ("limits", "familyInfo", "invariants"))
    classes, orgs = told.get("classes") or [], told.get("orgs") or []
    tariffs = [
        Tariff(EFFECTS[c.get("effect", "fragile")], SCOPES[c.get("dedupScope") or "all"],
               _number(c, "windowS", 1e3), _number(c, "aimS", 1e3), _number(c, "deadlineS", 1e3),
               float(c.get("worth", 1.0)), _number(c, "lateWorth"))
        for c in classes
    ]
    customers = [Customer(_number(o, "portion"), _number(o, "quotaRps")) for o in orgs]
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
    return Terms(
        place, tariffs, customers, permits, keeping, cold, ration,
        [str(c.get("name", "")) for c in classes], [str(o.get("name", "")) for o in orgs],
        [str(z) for z in told.get("zones") or []], [str(k) for k in told.get("kinds") or []],
        max(1, int(limits.get("multiplex") or 1)), _number(limits, "connectTimeoutS", 1e3),
        _number(limits, "idleCloseS", 1e3),
    )
