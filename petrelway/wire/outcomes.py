"""Numbers of the worker protocol that an executor answers with. One definition for both sides of the wire."""

from __future__ import annotations

from enum import IntEnum


class ExecutorOutcome(IntEnum):
    """How an attempt or a load request ended. The numbers are the protocol's; routing knows more outcomes."""

    SUCCEEDED = 0
    ERROR = 1  # it may have run
    FULL = 2  # it never ran: no capacity
    CANCELLED = 6
    MISS = 8  # it never ran: no replica of the function


class ReplicaWarmth(IntEnum):
    """What an attempt found when it reached the executor."""

    UNKNOWN = 0
    WARM = 1  # a replica was ready
    STARTED_LOAD = 2  # this attempt started the load
    AWAITED_LOAD = 3  # it waited for a load that was in progress
    LOAD_FAILED = 4
