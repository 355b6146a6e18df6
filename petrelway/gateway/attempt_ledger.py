"""Which outcome the end of an attempt allows, without I/O: the ledger of one connection's lifetime.

Rule 2 (a request that may have run is not sent again) depends on it: UNREACHABLE and UNSENT state that an
attempt never ran, so they are reported only for attempts of which no byte was handed to the transport. Once
an attempt is handed over, a broken connection means RESET: its bytes may be in a kernel buffer, on the
network, or at the executor.
"""

from __future__ import annotations

from collections import OrderedDict

from ..routing.types import Outcome

AttemptKey = tuple[int, int]  # the serial of the request, the number of the attempt


class AttemptLedger:
    """Tracks the attempts of one channel or connection: waiting, or handed over. Each key ends exactly once.

    >>> ledger = AttemptLedger(bound=2)
    >>> ledger.wait((1, 0)), ledger.wait((2, 0)), ledger.wait((3, 0))
    (True, True, False)
    >>> ledger.hand_over(), ledger.end_all()
    ((1, 0), [((1, 0), <Outcome.RESET: 5>), ((2, 0), <Outcome.UNREACHABLE: 4>)])
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound  # attempts that may wait for a connection or for space in the write buffer
        self.waiting: OrderedDict[AttemptKey, None] = OrderedDict()
        self.handed_over: dict[AttemptKey, None] = {}

    def wait(self, key: AttemptKey) -> bool:
        """Add a waiting attempt; return False if too many are waiting: the attempt is then UNSENT at once."""
        if len(self.waiting) >= self.bound:
            return False
        self.waiting[key] = None
        return True

    def hand_over(self) -> AttemptKey | None:
        """Return the next attempt to write, or None; once it is returned, it may have run."""
        if not self.waiting:
            return None
        key, _ = self.waiting.popitem(last=False)
        self.handed_over[key] = None
        return key

    def ended(self, key: AttemptKey) -> bool:
        """Record that the executor reported the end of an attempt.

        Return False if the report is late, a duplicate, or names an attempt that was never handed over."""
        return self.handed_over.pop(key, self) is None

    def abandon(self, key: AttemptKey, outcome: Outcome) -> tuple[bool, Outcome] | None:
        """Drop an attempt that timed out or was cancelled.

        Return whether it had been handed over, and its outcome; None if it is not in flight. An attempt that
        was still waiting here is UNSENT, whatever the cause: no byte of it was sent.
        """
        if self.waiting.pop(key, self) is None:
            return False, Outcome.UNSENT
        if self.handed_over.pop(key, self) is None:
            return True, outcome
        return None

    def end_all(self) -> list[tuple[AttemptKey, Outcome]]:
        """End all attempts after the connection ended or could not be established.

        Return every attempt that was in flight with its outcome."""
        ends = [(key, Outcome.RESET) for key in self.handed_over]
        ends += [(key, Outcome.UNREACHABLE) for key in self.waiting]
        self.handed_over.clear()
        self.waiting.clear()
        return ends
