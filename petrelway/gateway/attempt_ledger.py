"""What the end of an attempt proves, without I/O: the ledger of one connection's lifetime.

Rule 2 (what may have run is not sent again) rests on it: UNREACHABLE and UNSENT say that an attempt never
ran, so they may be said only of one of which no byte was handed to the transport. From the hand-over on, a
broken connection means RESET: the bytes may lie in a kernel's buffer, on the way, or at the executor.
"""

from __future__ import annotations

from collections import OrderedDict

from ..routing.types import Outcome

AttemptKey = tuple[int, int]  # the request's serial, the number of the attempt


class AttemptLedger:
    """Attempts of one channel or connection: waiting here, or handed over. Each key ends exactly once.

    >>> ledger = AttemptLedger(bound=2)
    >>> ledger.wait((1, 0)), ledger.wait((2, 0)), ledger.wait((3, 0))
    (True, True, False)
    >>> ledger.hand_over(), ledger.end_all()
    ((1, 0), [((1, 0), <Outcome.RESET: 5>), ((2, 0), <Outcome.UNREACHABLE: 4>)])
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound  # attempts that may wait here for a connection or for room in the buffer
        self.waiting: OrderedDict[AttemptKey, None] = OrderedDict()
        self.handed: dict[AttemptKey, None] = {}

    def wait(self, key: AttemptKey) -> bool:
        """Take one in; return False if too many wait: it is UNSENT at once."""
        if len(self.waiting) >= self.bound:
            return False
        self.waiting[key] = None
        return True

    def hand_over(self) -> AttemptKey | None:
        """Return the next one to write; from here on it may have run."""
        if not self.waiting:
            return None
        key, _ = self.waiting.popitem(last=False)
        self.handed[key] = None
        return key

    def ended(self, key: AttemptKey) -> bool:
        """Note the executor's word on one; return False if it is late, doubled or invented."""
        return self.handed.pop(key, self) is None

    def abandon(self, key: AttemptKey, outcome: Outcome) -> tuple[bool, Outcome] | None:
        """Drop one that timed out or is cancelled: was it handed over, and its outcome; None if not in
        flight.

        One that still waited here is UNSENT, whatever the cause: no byte of it left.
        """
        if self.waiting.pop(key, self) is None:
            return False, Outcome.UNSENT
        if self.handed.pop(key, self) is None:
            return True, outcome
        return None

    def end_all(self) -> list[tuple[AttemptKey, Outcome]]:
        """The connection ended or never came up: return all that was in flight, with what that proves of
        each."""
        ends = [(key, Outcome.RESET) for key in self.handed]
        ends += [(key, Outcome.UNREACHABLE) for key in self.waiting]
        self.handed.clear()
        self.waiting.clear()
        return ends
