"""The interface of a dispatcher's observer: the course of each request, and changes of the endpoint list.

The console's telemetry implements it. An observer is passive; decisions never depend on it.
"""

from __future__ import annotations

from typing import Protocol


class RequestObserver(Protocol):
    """Receives the events of a dispatcher. Times are in ms; names are external ids, not indices."""

    def taken(
        self, now: float, serial: int, mark: str, request_class: str, tenant: str, function: str
    ) -> None:
        """Handle the acceptance of a request; `mark` is its idempotency key."""
        ...

    def decided(self, now: float, serial: int, what: str, executor: str, detail: str) -> None:
        """Handle a decision of the routing core about a request."""
        ...

    def ended(self, now: float, serial: int, executor: str, zone: str, outcome: str, warmth: str) -> None:
        """Handle the end of an attempt."""
        ...

    def answered(self, now: float, serial: int, kind: str) -> None:
        """Handle the final answer of a request, or the disconnect of its client."""
        ...

    def released(self, serial: int) -> None:
        """Handle the release of a request; no further event of it follows."""
        ...

    def changed(self, now: float, what: str, detail: str) -> None:
        """Handle an executor that was listed, changed its stage or restarted."""
        ...
