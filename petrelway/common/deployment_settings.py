"""A deployment's terms: the settings object that the simulator and the platform both tell, read once.

Used by the drill and by the node; the standard library alone. Unknown keys are let be, as the wire page
wants; what decides something must be there, of its type and in its range. Durations come in seconds and leave
as milliseconds. Source: the wire page, "What does an instance know at start?".
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..routing.router import FrontEnd
from ..routing.types import (
    Capabilities,
    ColdRule,
    Idempotency,
    Keeping,
    LoadRation,
    Place,
    RequestClass,
    Scope,
    Tenant,
)

EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class DeploymentSettings(NamedTuple):
    """What one front end is told of its deployment. Times in ms; 0: untold."""

    place: Place
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    capabilities: Capabilities
    keeping: Keeping
    cold: ColdRule
    ration: LoadRation
    request_class_names: list[str]
    tenant_names: list[str]
    zones: list[str]
    machines: list[str]
    streams: int  # attempts that one connection may carry together
    connect_ms: float  # a connection that is not up by then counts as unreachable
    idle_ms: float  # idle connections are closed after this time

    def front_end(self, now: float, seed: int) -> FrontEnd:
        return FrontEnd(
            now,
            seed,
            self.place,
            self.request_classes,
            self.tenants,
            self.capabilities,
            self.keeping,
            self.cold,
            self.ration,
        )


class DeploymentSettingsError(ValueError):
    """A setting that can't be used: where it stands, what was found, what is allowed."""


class SettingsReader:
    """One object of the settings. Danger: what is missing, or read as something else, would change decisions
    without a word; without the time that an executor is cold, rule 4 would not be kept.

    >>> SettingsReader({"aimS": "1"}, "settings").number("aimS", 1e3)
    Traceback (most recent call last):
    petrelway.common.deployment_settings.DeploymentSettingsError: settings.aimS: found '1'; allowed: a number from 0 to 1e+09
    """

    def __init__(self, told: Any, path: str) -> None:
        self.told, self.path = told, path
        if type(told) is not dict:
            raise DeploymentSettingsError(f"{path}: found {told!r:.60}; allowed: an object")

    def read(self, key: str, default: Any = None) -> Any:
        """null stands for an absent value, as on the whole wire."""
        value = self.told.get(key)
        return default if value is None else value

    def fault(self, key: str, allowed: str) -> DeploymentSettingsError:
        found = f"{self.told[key]!r:.60}" if key in self.told else "nothing"
        return DeploymentSettingsError(f"{self.path}.{key}: found {found}; allowed: {allowed}")

    def part(self, key: str) -> SettingsReader:
        return SettingsReader(self.read(key), f"{self.path}.{key}")

    def parts(self, key: str) -> list[SettingsReader]:
        """Objects in a list; none where the key is missing."""
        found = self.read(key, [])
        if type(found) is not list:
            raise self.fault(key, "a list of objects")
        return [SettingsReader(each, f"{self.path}.{key}[{i}]") for i, each in enumerate(found)]

    def number(
        self,
        key: str,
        scale: float = 1.0,
        least: float = 0.0,
        most: float = 1e9,
        default: float | None = None,
    ) -> float:
        """`default`: for a key that may be missing."""
        value = self.read(key, default)
        # what is undefined lies in no range; true and false are no numbers here
        if type(value) not in (int, float) or not least <= value <= most:
            raise self.fault(key, f"a number from {least:g} to {most:g}")
        return float(value) * scale

    def whole(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value = self.read(key, default)
        if type(value) not in (int, float) or not least <= value <= most or value != int(value):
            raise self.fault(key, f"a whole number from {least} to {most}")
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        value = self.read(key, default)
        if type(value) is not bool:
            raise self.fault(key, "true or false")
        return value

    def word(self, key: str, words: dict[str, Any]) -> Any:
        value = self.read(key)
        if type(value) is not str or value not in words:
            raise self.fault(key, f"one of {', '.join(words)}")
        return words[value]

    def name(self, key: str) -> str:
        value = self.read(key)
        if type(value) is not str or not value:
            raise self.fault(key, "a name")
        return value

    def names(self, key: str) -> list[str]:
        found = self.read(key, [])
        if type(found) is not list or not all(type(each) is str for each in found):
            raise self.fault(key, "a list of names")
        return found


LEAST, SECONDS = 1e-6, 1e6  # of a time in seconds that must be one; the longest


def _request_class(told: SettingsReader) -> RequestClass:
    idempotency = told.word("effect", EFFECTS)
    keyed = idempotency is Idempotency.KEYED
    return RequestClass(
        idempotency,
        told.word("dedupScope", SCOPES) if keyed else Scope.ALL,
        told.number("windowS", 1e3, 0.0, SECONDS) if keyed else 0.0,
        told.number("aimS", 1e3, LEAST, SECONDS),
        told.number("deadlineS", 1e3, LEAST, SECONDS),
        told.number("worth", default=1.0),
        told.number("lateWorth", default=0.0),
    )


def read_deployment_settings(settings: Any) -> DeploymentSettings:
    """Raises DeploymentSettingsError at the first setting that can't be used.

    >>> read_deployment_settings({"classes": [{"name": "a", "aimS": 1.0, "effect": "dedup", "dedupScope": "all"}]})
    Traceback (most recent call last):
    petrelway.common.deployment_settings.DeploymentSettingsError: settings.classes[0].windowS: found nothing; allowed: a number from 0 to 1e+06
    """
    told = SettingsReader(settings, "settings")
    classes, orgs = told.parts("classes"), told.parts("orgs")
    if not classes:
        raise told.fault("classes", "one or more")
    names, zones = [c.name("name") for c in classes], told.names("zones")
    if len(set(names)) < len(names):
        raise told.fault("classes", "names that differ")
    request_classes = [_request_class(c) for c in classes]
    tenants = [Tenant(o.number("portion", default=0.0), o.number("quotaRps", default=0.0)) for o in orgs]
    place = Place(
        told.whole("position", 0, 10**6, 0),
        told.whole("peersTotal", 1, 10**6),
        told.whole("zone", 0, max(0, len(zones) - 1), 0),
    )
    limits, family, rules = (told.part(key) for key in ("limits", "familyInfo", "invariants"))
    capabilities = Capabilities(
        limits.whole("sendCap", 1, 1000),
        limits.flag("secondCopies"),
        limits.flag("cancel"),
        limits.flag("probes", False),
        limits.flag("peers", False),
        limits.number("maxRetryAfterS", 1e3, 0.0, SECONDS) if limits.flag("retryAfter") else 0.0,
    )
    load_requests = family.flag("loadControl")
    keeping = Keeping(
        family.word("notLoaded", {"miss": True, "load": False}),
        load_requests,
        family.number("keepS", 1e3, 0.0, SECONDS),
        family.number("orderTimeoutS", 1e3, LEAST, SECONDS) if load_requests else 0.0,
        family.number("idlePrice", default=0.0),
    )
    cold_ms = rules.number("coldS", 1e3, 0.0, SECONDS)
    cold = (
        ColdRule(0.0, 0.0, 0.0, 0.0)
        if not cold_ms
        else ColdRule(
            rules.number("fallMultiple", 1.0, LEAST),
            rules.number("fallS", 1e3, LEAST, SECONDS),
            rules.number("startCapacity", 1.0, 0.0, 1.0),
            cold_ms,
        )
    )
    window_ms = family.number("loadsWithinS", 1e3, 0.0, SECONDS) if load_requests else 0.0
    ration = LoadRation(
        window_ms,
        family.number("loadFloor") if window_ms else 0.0,
        family.number("loadsPerRequest") if window_ms else 0.0,
    )
    return DeploymentSettings(
        place,
        request_classes,
        tenants,
        capabilities,
        keeping,
        cold,
        ration,
        names,
        [o.name("name") for o in orgs],
        zones,
        told.names("kinds"),
        limits.whole("multiplex", 1, 10**6),
        limits.number("connectTimeoutS", 1e3, LEAST, SECONDS),
        limits.number("idleCloseS", 1e3, LEAST, SECONDS),
    )
