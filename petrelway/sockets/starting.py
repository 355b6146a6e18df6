"""Retries for system calls at process start, which may fail during a transient shortage of resources."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from twisted.internet import error

from .listening import error_name
from .transports import SHORTAGES

RETRY_PERIOD_S = 8.0  # nine in ten restarts have to be ready within 10 s
RETRY_DELAY_S = 0.05
TRANSIENT_START_ERRORS = SHORTAGES | {errno.EINTR, errno.EAGAIN, errno.EIO}

Resource = TypeVar("Resource")


def error_number(failure: Exception) -> int | None:
    """Return the errno of a failed start; None if the failure has none."""
    if isinstance(failure, error.CannotListenError):
        failure = failure.socketError
    return failure.errno if isinstance(failure, OSError) else None


def retry_while_short(
    make: Callable[[], Resource],
    report: Callable[[list[str]], object],
    sleep: Callable[[float], None] = time.sleep,
    attempts: int = int(RETRY_PERIOD_S / RETRY_DELAY_S),
) -> Resource:
    """Return the result of `make`, retrying it after transient errors.

    At the first transient error `report` is called once, with the error's name. Raises the last exception of
    `make`.
    """
    for attempts_left in reversed(range(attempts)):
        try:
            return make()
        except (OSError, error.CannotListenError) as failure:
            number = error_number(failure)
            if number not in TRANSIENT_START_ERRORS or not attempts_left:
                raise
            if attempts_left == attempts - 1:
                report([error_name(number)])
            sleep(RETRY_DELAY_S)
    raise AssertionError("unreachable")
