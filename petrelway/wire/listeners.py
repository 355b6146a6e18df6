"""Interfaces that the codec of the worker protocol calls on each side, and the load report."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class LoadReport(NamedTuple):
    """An executor's report of its load; `pinned` is the share of memory that can't be freed."""

    queue: int = 0
    in_hand: int = 0
    loads: int = 0
    pinned: float = 0.0
    used_mb: float = 0.0


class ExecutorListener(Protocol):
    """Handles the messages that an executor receives from front ends."""

    def greeted(self, front_end: str, process: str) -> None:
        """Handle a front end's first message."""

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
        """Handle one attempt of a request."""

    def cancelled(self, serial: int, number: int) -> None:
        """Handle the cancellation of an attempt whose result is no longer needed."""

    def load_requested(
        self, id: int, function: str, replicas: int, memory_mb: float, concurrency: int
    ) -> None:
        """Handle a load request."""

    def unloaded(self, function: str) -> None:
        """Handle that the idle replicas of a function may be unloaded."""

    def probe_received(self, id: int) -> None:
        """Handle a probe."""


class FrontEndListener(Protocol):
    """Handles the messages that a front end receives from an executor."""

    def welcomed(self, executor: str, process: str, machine: str, started_ms: float) -> None:
        """Handle an executor's answer to the greeting."""

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
        """Handle the end of an attempt."""

    def load_request_ended(self, id: int, outcome: int, replicas: int) -> None:
        """Handle the end of a load request."""

    def probed(self, id: int, load: LoadReport) -> None:
        """Handle the answer to a probe: a load report."""
