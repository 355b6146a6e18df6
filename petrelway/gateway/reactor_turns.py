"""When a dispatcher decides: once a reactor turn after inputs, and at the wake-ups that decisions ask for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import interfaces


class ReactorTurns:
    """Schedules turns of decisions on a clock; times in ms.

    `pull` makes all decisions of a turn, `after` follows each turn that did not fail, `on_wake` hears that a
    wake-up's time has come."""

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
        self.turn_ms: float | None = None  # the present, while a turn goes on

    def now(self) -> float:
        """Return the present; within a turn its beginning.

        What ends in a turn must not be later than what it decides: if the present moved on, a turn in which
        much becomes due would never end."""
        return self.clock.seconds() * 1e3 if self.turn_ms is None else self.turn_ms

    def schedule(self) -> None:
        """Let a turn follow, after all that the reactor has read."""
        if self.turn_call is None and not self.in_turn:
            self.turn_call = self.clock.callLater(0, self._turn)

    def wake_at(self, wake_ms: float, now: float) -> None:
        """Let a turn follow at a time; it takes the place of an earlier wake-up."""
        if self.wake_call is not None and self.wake_call.active():
            self.wake_call.cancel()
        self.wake_call = self.clock.callLater(max(0.0, wake_ms - now) / 1e3, self._woken)

    def stop(self) -> None:
        """Let no further turn follow."""
        for call in (self.turn_call, self.wake_call):
            if call is not None and call.active():
                call.cancel()
        self.turn_call = None
        self.wake_call = None
        self.in_turn = True

    def _woken(self) -> None:
        """Decide in a turn of its own: after a process pause a client's leaving, or an answer, lies unread,
        and the sockets have to be read before anything is decided."""
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
            if not pulled:  # without another turn nobody would get an answer any more
                self.counts["turn failed"] += 1
                self.schedule()
        self.after()
