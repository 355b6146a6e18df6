"""The policy under which requests are accepted, in the form that dispatcher, routing core and listener need.

It is built completely before it is used, so that an unusable policy changes nothing.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..routing.types import Capabilities, Idempotency, RequestClass, Scope, Tenant
from .cloudevent_requests import CloudEventReader
from .function_catalogue import FunctionCatalogue
from .function_spec import FunctionSpec

NAMES_BOUND = 10_000  # request classes, or tenants, that one process may see in its lifetime
NO_QUOTA = Tenant(0.0, 0.0)  # for a tenant that the current policy no longer lists


class ActivePolicy(NamedTuple):
    """The policy under which requests are accepted from a given turn on. Times are in ms."""

    reader: CloudEventReader
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    request_class_names: list[str]
    tenant_names: list[str]
    capabilities: Capabilities
    latency_objective_ms: dict[str, float]
    longest_ms: float  # the longest deadline


class _IndexedValues:
    """Values by name; each keeps its index for the lifetime of the process."""

    def __init__(self, names: list[str], values: list[Any]) -> None:
        self.indices = {name: index for index, name in enumerate(names)}
        self.values = values

    def put(self, name: str, value: Any) -> None:
        if name in self.indices:
            self.values[self.indices[name]] = value
        else:
            self.indices[name] = len(self.values)
            self.values.append(value)


def capabilities_of(section: Any) -> Capabilities:
    """Return the capabilities that the deployment grants a front end, from its settings section."""
    return Capabilities(
        section.attempts, section.hedging, section.cancel_attempt, False, False, section.longest_retry_ms
    )


def make_policy(sections: dict[str, Any], before: ActivePolicy | None = None) -> ActivePolicy:
    """Build a policy from validated sections.

    A name keeps its index for the lifetime of the process, since open requests refer to request classes and
    tenants that a later policy may drop. Raise ValueError if there are more names than NAMES_BOUND."""
    request_classes = _indexed_request_classes(sections, before)
    tenants = _indexed_tenants(sections, before)
    for what, indexed in (("tariffs", request_classes), ("customers", tenants)):
        if len(indexed.indices) > NAMES_BOUND:
            raise ValueError(
                f"{what}: found {len(indexed.indices)} names since this process started; allowed: "
                f"{NAMES_BOUND}; start it again"
            )
    present = sections["tariffs"]
    functions = [
        FunctionSpec(function.name, function.memory_mb, function.lanes, function.load_ms)
        for function in sections["functions"]
    ]
    reader = CloudEventReader(
        {request_class.name: request_class.deadline_ms for request_class in present},
        [tenant.name for tenant in sections["customers"]],
        FunctionCatalogue(functions),
        request_classes.indices,
        tenants.indices,
    )
    latency_objective_ms = dict(before.latency_objective_ms) if before else {}
    latency_objective_ms.update((each.name, each.latency_objective_ms) for each in present)
    longest_before_ms = before.longest_ms if before else 0.0
    return ActivePolicy(
        reader,
        request_classes.values,
        tenants.values,
        list(request_classes.indices),
        list(tenants.indices),
        capabilities_of(sections["permits"]),
        latency_objective_ms,
        max([longest_before_ms, *(each.deadline_ms for each in present)]),
    )


def _indexed_request_classes(sections: dict[str, Any], before: ActivePolicy | None) -> _IndexedValues:
    indexed = _IndexedValues(
        before.request_class_names if before else [], list(before.request_classes) if before else []
    )
    for section in sections["tariffs"]:
        request_class = RequestClass(
            Idempotency(section.idempotency),
            Scope(section.scope),
            section.window_ms,
            section.latency_objective_ms,
            section.deadline_ms,
            section.worth,
            section.late_share,
        )
        indexed.put(section.name, request_class)
    return indexed


def _indexed_tenants(sections: dict[str, Any], before: ActivePolicy | None) -> _IndexedValues:
    indexed = _IndexedValues(
        before.tenant_names if before else [], [NO_QUOTA] * (len(before.tenants) if before else 0)
    )
    for section in sections["customers"]:
        indexed.put(section.name, Tenant(section.portion, section.rate))
    return indexed
