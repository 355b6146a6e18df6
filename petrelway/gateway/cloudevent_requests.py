"""From an event to what the host takes, without I/O: request class, tenant, function, time, hint, repeat."""

from __future__ import annotations

import fnmatch
import math
import re
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..events.single import Event, EventError
from .function_spec import FunctionSpec


class ReceivedRequest(NamedTuple):
    request_class: int
    tenant: int
    function: FunctionSpec
    mark: str
    remaining_ms: float
    work_ms: float
    repeat: bool


class FunctionCatalogue:
    """The functions that may be called: by name, or by a pattern such as `station-*`, first match."""

    def __init__(self, functions: Sequence[FunctionSpec]) -> None:
        self.exact = {f.name: f for f in functions if not set(f.name) & set("*?[")}
        self.patterns = [
            (re.compile(fnmatch.translate(f.name)), f) for f in functions if f.name not in self.exact
        ]

    def find(self, name: str) -> FunctionSpec | None:
        if (f := self.exact.get(name)) is not None:
            return f
        for pattern, f in self.patterns:
            if pattern.match(name):
                return f._replace(name=name)
        return None


class CloudEventReader:
    """Reads asks from events, by the names that the settings give. Raises EventError (status 400 or 422)."""

    def __init__(
        self,
        request_classes: Mapping[str, float],
        tenants: Sequence[str],
        catalogue: FunctionCatalogue,
        places: Mapping[str, int] | None = None,
        names: Mapping[str, int] | None = None,
    ) -> None:
        """`places` and `names`: the indices of request classes and tenants; else in their order."""
        self.request_classes = {
            name: (places[name] if places else i, deadline_ms)
            for i, (name, deadline_ms) in enumerate(request_classes.items())
        }
        self.tenants = {name: names[name] if names else i for i, name in enumerate(tenants)}
        self.catalogue = catalogue

    def read(self, event: Event) -> ReceivedRequest:
        told = event.attributes
        name = told.get("tariff", "")
        if name not in self.request_classes:
            raise EventError(422, "tariff", repr(name), "one of " + ", ".join(self.request_classes))
        request_class, deadline_ms = self.request_classes[name]
        name = told.get("customer", "")
        if self.tenants and name not in self.tenants:
            raise EventError(422, "customer", repr(name), "one that the settings list")
        tenant = self.tenants.get(name, 0)
        name = told.get("function", "")
        function = self.catalogue.find(name) if name else None
        if function is None:
            raise EventError(422, "function", repr(name), "one that the settings list, by name or pattern")
        remaining_ms = min(deadline_ms, _amount(told, "timeleft", deadline_ms))
        if remaining_ms <= 0.0:
            raise EventError(422, "timeleft", told["timeleft"], "more than 0 ms")
        repeat = told.get("repeat", "false")
        if repeat not in ("true", "false"):
            raise EventError(400, "repeat", repr(repeat), "true or false")
        # danger: source and id joined without a mark between could make two events one
        mark = f"{told['source']}\n{told['id']}"
        if len(mark) > 512:
            raise EventError(400, "id", f"{len(mark)} characters with source", "512 at most")
        return ReceivedRequest(
            request_class,
            tenant,
            function,
            mark,
            remaining_ms,
            _amount(told, "workhint", 0.0),
            repeat == "true",
        )


def _amount(told: Mapping[str, str], name: str, default: float) -> float:
    if name not in told:
        return default
    try:
        amount = float(told[name])
    except ValueError:
        amount = math.nan
    if not (math.isfinite(amount) and amount >= 0.0):
        raise EventError(400, name, repr(told[name]), "a number of ms, 0 or more")
    return amount
