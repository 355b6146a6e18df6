"""The fixed set of reasons for which a connection to an executor ends, for logs and counts.

Node and gateway share it.
"""

from __future__ import annotations

from enum import StrEnum

from twisted.internet import defer, error
from twisted.python.failure import Failure


class EndReason(StrEnum):
    """What ended a connection, or prevented it from being established."""

    REFUSED = "refused"
    TIMED_OUT = "timed out"
    NO_ROUTE = "no route"
    NO_SOCKET = "no socket to be had here"
    RESET = "reset"
    CLOSED = "closed by the executor"
    RESTING = "closed by the executor at rest"  # it was up and unused: not an outage
    UNREADABLE = "what it said can't be read"
    NO_WELCOME = "no welcome"
    HALF_ANSWER = "half an answer"
    TAKES_NO_BYTE = "takes no byte"
    GONE = "the list says that it has gone"
    MOVED = "the list names another place"
    RESTARTED = "the list names a later process"
    SPENT = "spent"  # it was being retired and has nothing in flight any more
    IDLE = "idle"
    LEAVING = "the front end leaves"


REASON_BY_ERROR: tuple[tuple[type[BaseException], EndReason], ...] = (
    (error.ConnectionRefusedError, EndReason.REFUSED),
    (error.TimeoutError, EndReason.TIMED_OUT),
    (defer.TimeoutError, EndReason.TIMED_OUT),
    (error.NoRouteError, EndReason.NO_ROUTE),
    (error.ConnectBindError, EndReason.NO_SOCKET),
    (error.ConnectionDone, EndReason.CLOSED),
    (error.ConnectionLost, EndReason.RESET),
    (error.ConnectionAborted, EndReason.RESET),
)


def failure_reason(failure: Failure) -> EndReason:
    """Return the reason for a failure that Twisted reported.

    >>> failure_reason(Failure(error.TimeoutError())), failure_reason(Failure(error.ConnectionLost()))
    (<EndReason.TIMED_OUT: 'timed out'>, <EndReason.RESET: 'reset'>)
    """
    for error_type, reason in REASON_BY_ERROR:
        if failure.check(error_type):
            return reason
    return EndReason.NO_ROUTE if failure.check(error.ConnectError) else EndReason.RESET
