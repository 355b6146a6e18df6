"""The operators' terms as the host, the module and the intake need them; made before they are needed."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..routing.types import Capabilities, Idempotency, RequestClass, Scope, Tenant
from .cloudevent_requests import CloudEventReader, FunctionCatalogue
from .function_spec import FunctionSpec

PLACES_BOUND = 10_000  # request classes, or tenants, that one process may have known


class ActivePolicy(NamedTuple):
    """What requests are taken under from one turn on."""

    asks: CloudEventReader
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    request_class_names: list[str]
    tenant_names: list[str]
    capabilities: Capabilities
    latency_objective_ms: dict[str, float]
    longest_ms: float  # the longest outer limit


def capabilities_of(told: Any) -> Capabilities:
    return Capabilities(told.attempts, told.hedging, told.cancel_attempt, False, False, told.longest_retry_ms)


def make(found: dict[str, Any], before: ActivePolicy | None = None) -> ActivePolicy:
    """From checked sections. A name keeps its index for as long as the process lives: requests that are open
    name request classes and tenants that may be dropped. Raises ValueError past PLACES_BOUND."""
    request_classes, places = (
        list(before.request_classes) if before else [],
        _places(before and before.request_class_names),
    )
    for t in found["tariffs"]:
        request_class = RequestClass(Idempotency(t.idempotency), Scope(t.scope), t.window_ms, t.latency_objective_ms, t.deadline_ms, t.worth,
                        t.late_share)  # fmt: skip
        _put(request_classes, places, t.name, request_class)
    # what was dropped has no share any more
    tenants = [Tenant(0.0, 0.0)] * (len(before.tenants) if before else 0)
    names = _places(before and before.tenant_names)
    for c in found["customers"]:
        _put(tenants, names, c.name, Tenant(c.portion, c.rate))
    for what, some in (("tariffs", places), ("customers", names)):
        if len(some) > PLACES_BOUND:
            raise ValueError(f"{what}: found {len(some)} names since this process started; allowed: "
                             f"{PLACES_BOUND}; start it again")  # fmt: skip
    functions = [FunctionSpec(f.name, f.memory_mb, f.lanes, f.load_ms) for f in found["functions"]]
    asks = CloudEventReader(
        {t.name: t.deadline_ms for t in found["tariffs"]}, [c.name for c in found["customers"]],
        FunctionCatalogue(functions), places, names,
    )  # fmt: skip
    latency_objective_ms = {
        **(before.latency_objective_ms if before else {}),
        **{t.name: t.latency_objective_ms for t in found["tariffs"]},
    }
    longest_ms = max([before.longest_ms if before else 0.0, *(t.deadline_ms for t in found["tariffs"])])
    return ActivePolicy(asks, request_classes, tenants, list(places), list(names), capabilities_of(found["permits"]), latency_objective_ms,
                 longest_ms)  # fmt: skip


def _places(names: list[str] | None) -> dict[str, int]:
    return {name: i for i, name in enumerate(names or [])}


def _put(some: list, places: dict[str, int], name: str, value: Any) -> None:
    if name in places:
        some[places[name]] = value
    else:
        places[name] = len(some)
        some.append(value)
