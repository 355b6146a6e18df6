"""Numbers in an executor's answers in the worker protocol, defined once for both sides of the connection."""

from __future__ import annotations

from enum import IntEnum


class ExecutorOutcome(IntEnum):
    """How an attempt or a load request ended. The protocol fixes the numbers; routing has more outcomes.

    CONFLICT has no number on the wire: there it is CANCELLED with a field beside it, which an older front end
    skips.
    """

    SUCCEEDED = 0
    ERROR = 1  # it may have run
    FULL = 2  # it did not run: no capacity
    CANCELLED = 6
    MISS = 8  # it did not run: no replica of the function
    CONFLICT = 9  # it did not run: its idempotency key is known with another request


class ReplicaWarmth(IntEnum):
    """The state in which an attempt found the function when it reached the executor."""

    UNKNOWN = 0
    WARM = 1  # a replica was ready
    STARTED_LOAD = 2  # this attempt started the load
    AWAITED_LOAD = 3  # it waited for a load that was in progress
    LOAD_FAILED = 4
