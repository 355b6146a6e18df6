"""Schedules a dispatcher's decisions: once per reactor turn after inputs, and at requested wake-ups."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import interfaces


class ReactorTurns:
    """Schedules turns of decisions on a clock; times are in ms.

    `pull` makes all decisions of a turn, `after` is called after each turn that did not fail, and `on_wake`
    when the time of a wake-up has come."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        pull: Callable[[float], None],
        after: Callable[[], None],
        on_wake: Callable[[], None],
        counts: Counter[str],
    ) -> None:
        self.clock = clock
        self.pull = pull
        self.after = after
        self.on_wake = on_wake
        self.counts = counts
        self.turn_call: interfaces.IDelayedCall | None = None
        self.wake_call: interfaces.IDelayedCall | None = None
        self.in_turn = False
        self.turn_ms: float | None = None  # the time at which the current turn began, None outside a turn

    def now(self) -> float:
        """Return the current time; within a turn, the time at which the turn began.

        What ends in a turn must not be later than what the turn decides: if the time advanced, a turn in
        which much becomes due would never end."""
        return self.clock.seconds() * 1e3 if self.turn_ms is None else self.turn_ms

    def schedule(self) -> None:
        """Schedule a turn after all input that the reactor has read."""
        if self.turn_call is None and not self.in_turn:
            self.turn_call = self.clock.callLater(0, self._turn)

    def wake_at(self, wake_ms: float, now: float) -> None:
        """Schedule a wake-up at a time; it replaces one that was scheduled before."""
        if self.wake_call is not None and self.wake_call.active():
            self.wake_call.cancel()
        self.wake_call = self.clock.callLater(max(0.0, wake_ms - now) / 1e3, self._woken)

    def stop(self) -> None:
        """Cancel all scheduled turns and prevent further ones."""
        for call in (self.turn_call, self.wake_call):
            if call is not None and call.active():
                call.cancel()
        self.turn_call = None
        self.wake_call = None
        self.in_turn = True

    def _woken(self) -> None:
        """Decide in a separate turn, so that the sockets are read before anything is decided.

        After a pause of the process, a client's disconnect or an answer may still be unread."""
        self.wake_call = None
        self.on_wake()
        self.schedule()

    def _turn(self) -> None:
        if self.turn_call is not None and self.turn_call.active():
            self.turn_call.cancel()
        self.turn_call = None
        self.in_turn = True
        self.turn_ms = self.now()
        pulled = False
        try:
            self.pull(self.turn_ms)
            pulled = True
        finally:
            self.in_turn = False
            self.turn_ms = None
            if not pulled:  # without another turn no request would be answered any more
                self.counts["turn failed"] += 1
                self.schedule()
        self.after()
