"""When a message arrives, pure: distance of zones, jitter, loss and cuts. Chance handed in; times in ms.

Connections keep their order and lose nothing for good: a lost message comes later, and what follows it on the
same connection waits for it; while two zones are cut off from each other nothing arrives.
"""

from __future__ import annotations

import random

DIAL_MS = 250.0  # a connection that is not up by then counts as unreachable


class Network:
    """Between zones, by number; -1 is a place near them all, where clients are: no cut and no loss there.

    >>> net = Network(1.0, 5.0, 0.0, 0.0, 200.0, random.Random(1))
    >>> net.arrival(100.0, 0, 0, 0.0), net.arrival(100.0, 0, 1, 0.0), net.arrival(100.0, 0, 1, 200.0)
    (101.0, 105.0, 200.0)
    >>> net.cut(1, True)
    >>> net.reaches(0, 1), net.reaches(0, 0)
    (False, True)
    """

    def __init__(
        self,
        within_ms: float,
        between_ms: float,
        jitter: float,
        loss: float,
        again_ms: float,
        random_source: random.Random,
    ) -> None:
        self.within_ms, self.between_ms = within_ms, between_ms
        self.jitter, self.loss, self.again_ms, self.random_source = jitter, loss, again_ms, random_source
        self.usual_loss, self.farther_ms = loss, 0.0
        self.cuts: dict[int, int] = {}  # zone -> cuts that overlap there

    # -- what happens to it

    def cut(self, zone: int, on: bool) -> None:
        """A zone is cut off from all others, or no more; cuts may overlap."""
        left = self.cuts.get(zone, 0) + (1 if on else -1)
        if left > 0:
            self.cuts[zone] = left
        else:
            self.cuts.pop(zone, None)

    def far(self, more_ms: float) -> None:
        """Every message between zones takes so much longer."""
        self.farther_ms = more_ms

    def lose(self, share: float | None) -> None:
        """So many messages must be sent again; None: as many as usual."""
        self.loss = self.usual_loss if share is None else share

    # -- what it does

    def reaches(self, one: int, other: int) -> bool:
        """Clients, who are in no zone, have ways of their own."""
        if not self.cuts or one == other or one < 0 or other < 0:
            return True
        return one not in self.cuts and other not in self.cuts

    def arrival(self, now: float, one: int, other: int, last: float) -> float:
        """When a message sent now arrives, not before `last`, that of the one before on its connection.

        Only to be asked while the zones reach each other.
        """
        if one == other or one < 0 or other < 0:
            way = self.within_ms
        else:
            way = self.between_ms + self.farther_ms
        if self.jitter:
            way *= 1.0 + self.jitter * (self.random_source.random() - 0.5)
        if self.loss and one >= 0 <= other:
            while self.random_source.random() < self.loss:
                way += self.again_ms
                if way > 20 * self.again_ms:
                    break
        return max(last, now + way)
