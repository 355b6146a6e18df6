"""A deployment's settings: the object that both the simulator and the platform send, read once.

Used by the simulator adapter and by the node; needs only the standard library. Unknown keys are ignored, as
the page on the wire format requires; a setting that affects decisions must be present, of its type and in its
range. Durations are read in seconds and returned in milliseconds. Source: the page on the wire format, "What
does an instance know at start?".
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..routing.router import FrontEnd
from ..routing.types import (
    Capabilities,
    DrainRule,
    FleetPosition,
    Idempotency,
    LoadingSettings,
    LoadQuotaRule,
    RequestClass,
    Scope,
    SlowStartRule,
    Tenant,
)

IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_NAME = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class DeploymentSettings(NamedTuple):
    """The settings of one front end's deployment. Times are in ms; 0 means unknown."""

    fleet_position: FleetPosition
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    capabilities: Capabilities
    loading: LoadingSettings
    slow_start: SlowStartRule
    load_quota: LoadQuotaRule
    request_class_names: list[str]
    tenant_names: list[str]
    zones: list[str]
    machines: list[str]
    streams: int  # attempts that one connection may carry at a time
    connect_ms: float  # a connection that is not established by then counts as unreachable
    idle_ms: float  # idle connections are closed after this time
    drain_rule: DrainRule = DrainRule(0.0)

    def front_end(self, now: float, seed: int) -> FrontEnd:
        """Create the routing core with these settings."""
        return FrontEnd(
            now,
            seed,
            self.fleet_position,
            self.request_classes,
            self.tenants,
            self.capabilities,
            self.loading,
            self.slow_start,
            self.load_quota,
            self.drain_rule,
        )


class DeploymentSettingsError(ValueError):
    """A setting that can't be used; the text says where it is, what was found and what is allowed."""


class SettingsReader:
    """Reads one object of the settings; errors name the path of the setting at fault.

    A setting that is missing or misread would change decisions unnoticed: without the warm-up time of an
    executor, rule 4 (slow start) would be broken.

    >>> SettingsReader({"aimS": "1"}, "settings").number("aimS", 1e3)
    Traceback (most recent call last):
    petrelway.common.deployment_settings.DeploymentSettingsError: settings.aimS: found '1'; allowed: a number from 0 to 1e+09
    """  # noqa: E501 - a doctest compares the whole message

    def __init__(self, values: Any, path: str) -> None:
        self.values = values
        self.path = path
        if type(values) is not dict:
            raise DeploymentSettingsError(f"{path}: found {values!r:.60}; allowed: an object")

    def read(self, key: str, default: Any = None) -> Any:
        """Return a value, or `default` if it is absent; null means absent, as everywhere on the wire."""
        value = self.values.get(key)
        return default if value is None else value

    def error(self, key: str, allowed: str) -> DeploymentSettingsError:
        """Return the error for a value that can't be used."""
        found = f"{self.values[key]!r:.60}" if key in self.values else "nothing"
        return DeploymentSettingsError(f"{self.path}.{key}: found {found}; allowed: {allowed}")

    def section(self, key: str) -> SettingsReader:
        """Return a reader of the object under `key`."""
        return SettingsReader(self.read(key), f"{self.path}.{key}")

    def sections(self, key: str) -> list[SettingsReader]:
        """Return readers of the objects in the list under `key`; none if the key is missing."""
        found = self.read(key, [])
        if type(found) is not list:
            raise self.error(key, "a list of objects")
        return [SettingsReader(each, f"{self.path}.{key}[{i}]") for i, each in enumerate(found)]

    def number(
        self,
        key: str,
        scale: float = 1.0,
        least: float = 0.0,
        most: float = 1e9,
        default: float | None = None,
    ) -> float:
        """Return a number multiplied by `scale`; `default` is used for a key that may be missing."""
        value = self.read(key, default)
        # NaN is outside every range; true and false are not numbers here
        if type(value) not in (int, float) or not least <= value <= most:
            raise self.error(key, f"a number from {least:g} to {most:g}")
        return float(value) * scale

    def integer(self, key: str, least: int, most: int, default: int | None = None) -> int:
        """Return a whole number."""
        value = self.read(key, default)
        if type(value) not in (int, float) or not least <= value <= most or value != int(value):
            raise self.error(key, f"a whole number from {least} to {most}")
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return true or false."""
        value = self.read(key, default)
        if type(value) is not bool:
            raise self.error(key, "true or false")
        return value

    def choice(self, key: str, choices: dict[str, Any]) -> Any:
        """Return the value that `choices` gives for the word under `key`."""
        value = self.read(key)
        if type(value) is not str or value not in choices:
            raise self.error(key, f"one of {', '.join(choices)}")
        return choices[value]

    def name(self, key: str) -> str:
        """Return a string that is not empty."""
        value = self.read(key)
        if type(value) is not str or not value:
            raise self.error(key, "a name")
        return value

    def names(self, key: str) -> list[str]:
        """Return a list of strings; empty if the key is missing."""
        found = self.read(key, [])
        if type(found) is not list or not all(type(each) is str for each in found):
            raise self.error(key, "a list of names")
        return found


SHORTEST_S = 1e-6  # least value of a time that must not be 0
LONGEST_S = 1e6


def _request_class(settings: SettingsReader) -> RequestClass:
    idempotency = settings.choice("effect", IDEMPOTENCY_BY_EFFECT)
    keyed = idempotency is Idempotency.KEYED
    return RequestClass(
        idempotency,
        settings.choice("dedupScope", SCOPE_BY_NAME) if keyed else Scope.ALL,
        settings.number("windowS", 1e3, 0.0, LONGEST_S) if keyed else 0.0,
        settings.number("aimS", 1e3, SHORTEST_S, LONGEST_S),
        settings.number("deadlineS", 1e3, SHORTEST_S, LONGEST_S),
        settings.number("worth", default=1.0),
        settings.number("lateWorth", default=0.0),
    )


def read_deployment_settings(values: Any) -> DeploymentSettings:
    """Read the settings of a deployment. Raises DeploymentSettingsError at the first unusable setting.

    >>> read_deployment_settings({"classes": [{"name": "a", "aimS": 1.0, "effect": "dedup", "dedupScope": "all"}]})
    Traceback (most recent call last):
    petrelway.common.deployment_settings.DeploymentSettingsError: settings.classes[0].windowS: found nothing; allowed: a number from 0 to 1e+06
    """  # noqa: E501 - a doctest compares the whole message
    settings = SettingsReader(values, "settings")
    classes = settings.sections("classes")
    orgs = settings.sections("orgs")
    if not classes:
        raise settings.error("classes", "one or more")
    names = [request_class.name("name") for request_class in classes]
    zones = settings.names("zones")
    if len(set(names)) < len(names):
        raise settings.error("classes", "names that differ")
    request_classes = [_request_class(request_class) for request_class in classes]
    tenants = [
        Tenant(org.number("portion", default=0.0), org.number("quotaRps", default=0.0)) for org in orgs
    ]
    fleet_position = FleetPosition(
        settings.integer("position", 0, 10**6, 0),
        settings.integer("peersTotal", 1, 10**6),
        settings.integer("zone", 0, max(0, len(zones) - 1), 0),
    )
    limits, family, rules = (settings.section(key) for key in ("limits", "familyInfo", "invariants"))
    capabilities = Capabilities(
        limits.integer("sendCap", 1, 1000),
        limits.flag("secondCopies"),
        limits.flag("cancel"),
        limits.flag("probes", False),
        limits.flag("peers", False),
        limits.number("maxRetryAfterS", 1e3, 0.0, LONGEST_S) if limits.flag("retryAfter") else 0.0,
    )
    load_requests = family.flag("loadControl")
    loading = LoadingSettings(
        family.choice("notLoaded", {"miss": True, "load": False}),
        load_requests,
        family.number("keepS", 1e3, 0.0, LONGEST_S),
        family.number("orderTimeoutS", 1e3, SHORTEST_S, LONGEST_S) if load_requests else 0.0,
        family.number("idlePrice", default=0.0),
    )
    warm_up_ms = rules.number("coldS", 1e3, 0.0, LONGEST_S)
    slow_start = (
        SlowStartRule(0.0, 0.0, 0.0, 0.0)
        if not warm_up_ms
        else SlowStartRule(
            rules.number("fallMultiple", 1.0, SHORTEST_S),
            rules.number("fallS", 1e3, SHORTEST_S, LONGEST_S),
            rules.number("startCapacity", 1.0, 0.0, 1.0),
            warm_up_ms,
        )
    )
    window_ms = family.number("loadsWithinS", 1e3, 0.0, LONGEST_S) if load_requests else 0.0
    load_quota = LoadQuotaRule(
        window_ms,
        family.number("loadFloor") if window_ms else 0.0,
        family.number("loadsPerRequest") if window_ms else 0.0,
    )
    return DeploymentSettings(
        fleet_position,
        request_classes,
        tenants,
        capabilities,
        loading,
        slow_start,
        load_quota,
        names,
        [org.name("name") for org in orgs],
        zones,
        settings.names("kinds"),
        limits.integer("multiplex", 1, 10**6),
        limits.number("connectTimeoutS", 1e3, SHORTEST_S, LONGEST_S),
        limits.number("idleCloseS", 1e3, SHORTEST_S, LONGEST_S),
        DrainRule(rules.number("stopSendingWithinS", 1e3, 0.0, LONGEST_S, 0.0)),
    )
