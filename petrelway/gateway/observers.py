"""What an observer of a dispatcher hears: each request's way, and changes of the endpoint list.

The console's telemetry implements it. An observer only listens; decisions never depend on it.
"""

from __future__ import annotations

from typing import Protocol


class RequestObserver(Protocol):
    """Hears what passes. Times in ms; names as they are outside this process."""

    def taken(
        self, now: float, serial: int, mark: str, request_class: str, tenant: str, function: str
    ) -> None:
        """A request was accepted; `mark` is its idempotency key."""
        ...

    def decided(self, now: float, serial: int, what: str, executor: str, detail: str) -> None:
        """The routing core decided something about a request."""
        ...

    def ended(self, now: float, serial: int, executor: str, zone: str, outcome: str, warmth: str) -> None:
        """An attempt ended."""
        ...

    def answered(self, now: float, serial: int, kind: str) -> None:
        """A request got its final answer, or its client left."""
        ...

    def released(self, serial: int) -> None:
        """Nothing more will be heard of a request."""
        ...

    def changed(self, now: float, what: str, detail: str) -> None:
        """An executor was listed, changed its stage or restarted."""
        ...
