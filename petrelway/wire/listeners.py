"""What either side of the worker protocol receives: the codec's listeners, and the load report."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class LoadReport(NamedTuple):
    """What an executor reports of its load; `pinned` is the share of memory that can't be freed."""

    queue: int = 0
    in_hand: int = 0
    loads: int = 0
    pinned: float = 0.0
    used_mb: float = 0.0


class ExecutorListener(Protocol):
    """Whoever handles the messages that an executor receives from front ends."""

    def greeted(self, front_end: str, process: str) -> None:
        """Take a front end's first message."""

    def sent(
        self,
        serial: int,
        number: int,
        idempotency_key: str,
        function: str,
        memory_mb: float,
        concurrency: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: bytes,
    ) -> None:
        """Take one attempt of a request."""

    def cancelled(self, serial: int, number: int) -> None:
        """Take that nobody waits for an attempt any more."""

    def load_requested(
        self, id: int, function: str, replicas: int, memory_mb: float, concurrency: int
    ) -> None:
        """Take a load request."""

    def unloaded(self, function: str) -> None:
        """Take that the idle replicas of a function may go."""

    def probe_received(self, id: int) -> None:
        """Take a probe."""


class FrontEndListener(Protocol):
    """Whoever handles the messages that a front end receives from an executor."""

    def welcomed(self, executor: str, process: str, machine: str, started_ms: float) -> None:
        """Take an executor's answer to the greeting."""

    def ended(
        self,
        serial: int,
        number: int,
        outcome: int,
        warmth: int,
        crowd: int,
        load: LoadReport,
        content_type: str,
        body: bytes,
    ) -> None:
        """Take how an attempt ended."""

    def load_request_ended(self, id: int, outcome: int, replicas: int) -> None:
        """Take how a load request ended."""

    def probed(self, id: int, load: LoadReport) -> None:
        """Take a load report."""
