"""What a start needs of the system, asked for again while the system is short for a moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from twisted.internet import error

from .listening import SHORTAGES, error_name

PATIENCE_S = 8.0  # nine in ten restarts are to be ready within 10 s
AGAIN_S = 0.05
MOMENTARY = SHORTAGES | {errno.EINTR, errno.EAGAIN, errno.EIO}

Made = TypeVar("Made")


def error_number(problem: Exception) -> int | None:
    """The errno behind a failed start; None if it is of another kind."""
    if isinstance(problem, error.CannotListenError):
        problem = problem.socketError
    return problem.errno if isinstance(problem, OSError) else None


def with_patience(
    make: Callable[[], Made],
    said: Callable[[list[str]], object],
    sleep: Callable[[float], None] = time.sleep,
    tries: int = int(PATIENCE_S / AGAIN_S),
) -> Made:
    """What `make` gives; tried again while it fails for a shortage of the system, which `said` hears once.

    Raises what `make` raised last.
    """
    for left in reversed(range(tries)):
        try:
            return make()
        except (OSError, error.CannotListenError) as problem:
            number = error_number(problem)
            if number not in MOMENTARY or not left:
                raise
            if left == tries - 1:
                said([error_name(number)])
            sleep(AGAIN_S)
    raise AssertionError("unreachable")
