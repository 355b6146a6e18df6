"""Converts a CloudEvent to the request that the dispatcher accepts, without I/O.

Clients set the attributes of the event (`tariff`, `customer`, `workhint`, ...); here they become request
class, tenant, function, time left, cost estimate and repeat flag.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..common.request_bounds import COST_BOUND_MS, NAME_BOUND
from ..events.single import Event, EventError
from .function_catalogue import FunctionCatalogue
from .function_spec import FunctionSpec


class ReceivedRequest(NamedTuple):
    """A request as read from an event; request class and tenant are given by index, times in ms."""

    request_class: int
    tenant: int
    function: FunctionSpec
    idempotency_key: str
    remaining_ms: float
    cost_estimate_ms: float
    repeat: bool


class CloudEventReader:
    """Reads requests from events, using the names that the settings define."""

    def __init__(
        self,
        request_classes: Mapping[str, float],
        tenants: Sequence[str],
        catalogue: FunctionCatalogue,
        request_class_indices: Mapping[str, int] | None = None,
        tenant_indices: Mapping[str, int] | None = None,
    ) -> None:
        """Create a reader. `request_classes` maps names to deadlines in ms.

        Without indices, each name is numbered by its position."""
        self.request_classes = {
            name: (request_class_indices[name] if request_class_indices else place, deadline_ms)
            for place, (name, deadline_ms) in enumerate(request_classes.items())
        }
        self.tenants = {
            name: tenant_indices[name] if tenant_indices else place for place, name in enumerate(tenants)
        }
        self.catalogue = catalogue

    def read(self, event: Event) -> ReceivedRequest:
        """Read one request. Raise EventError (status 400 or 422) at the first invalid attribute."""
        attributes = event.attributes
        request_class, deadline_ms = self._request_class(attributes)
        tenant = self._tenant(attributes)
        function = self._function(attributes)
        remaining_ms = min(deadline_ms, _milliseconds(attributes, "timeleft", deadline_ms, math.inf))
        if remaining_ms <= 0.0:
            raise EventError(422, "timeleft", attributes["timeleft"], "more than 0 ms")
        repeat = attributes.get("repeat", "false")
        if repeat not in ("true", "false"):
            raise EventError(400, "repeat", repr(repeat), "true or false")
        return ReceivedRequest(
            request_class,
            tenant,
            function,
            _idempotency_key(attributes),
            remaining_ms,
            _milliseconds(attributes, "workhint", 0.0, COST_BOUND_MS),
            repeat == "true",
        )

    def _request_class(self, attributes: Mapping[str, str]) -> tuple[int, float]:
        name = attributes.get("tariff", "")
        if name not in self.request_classes:
            raise EventError(422, "tariff", repr(name), "one of " + ", ".join(self.request_classes))
        return self.request_classes[name]

    def _tenant(self, attributes: Mapping[str, str]) -> int:
        name = attributes.get("customer", "")
        if self.tenants and name not in self.tenants:
            raise EventError(422, "customer", repr(name), "one that the settings list")
        return self.tenants.get(name, 0)

    def _function(self, attributes: Mapping[str, str]) -> FunctionSpec:
        name = attributes.get("function", "")
        if len(name) > NAME_BOUND:
            raise EventError(422, "function", f"{len(name)} characters", f"{NAME_BOUND} at most")
        function = self.catalogue.find(name) if name else None
        if function is None:
            raise EventError(422, "function", repr(name), "one that the settings list, by name or pattern")
        return function


def _idempotency_key(attributes: Mapping[str, str]) -> str:
    """Join source and id by a newline, which is escaped in both: no two pairs share one key."""
    key = f"{_escape_newlines(attributes['source'])}\n{_escape_newlines(attributes['id'])}"
    if len(key) > NAME_BOUND:
        raise EventError(400, "id", f"{len(key)} characters with source", f"{NAME_BOUND} at most")
    return key


def _escape_newlines(text: str) -> str:
    """Return the text without newlines; different texts stay different.

    >>> _escape_newlines("a\\nb"), _escape_newlines("a%0Ab"), _escape_newlines("/gateway/7")
    ('a%0Ab', 'a%250Ab', '/gateway/7')
    """
    return text.replace("%", "%25").replace("\n", "%0A")


def _milliseconds(attributes: Mapping[str, str], name: str, default: float, highest_ms: float) -> float:
    if name not in attributes:
        return default
    try:
        amount = float(attributes[name])
    except ValueError:
        amount = math.nan
    if not (math.isfinite(amount) and amount >= 0.0):
        raise EventError(400, name, repr(attributes[name]), "a number of ms, 0 or more")
    if amount > highest_ms:
        raise EventError(400, name, repr(attributes[name]), f"{highest_ms:g} ms at most")
    return amount
