"""Probes in flight, probes relayed for others, the order of probing, and the schedule of port checks.

A probe is a ping that waits for its ACK; without one, others are asked to ping (PING_REQUEST). Silence proves
nothing about a process, a refused port does: the ports of members that are not heard are checked as well.
Times are in ms of a clock that never steps back.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .member import Member, MemberTable
from .messages import MemberState

PROBE_PERIOD_MS = 1000.0  # one member is probed in this time
ACK_TIMEOUT_MS = 500.0  # without an ACK by then others are asked to ping, and the port is checked ...
PROBE_TIMEOUT_MS = 2000.0  # ... and without any by then the member is suspected
INDIRECT_PROBES = 3  # members that are asked to ping
MAX_RELAYED_PROBES = 64  # pings for others in flight at a time
MAX_SEQUENCE = 0xFFFFFFFF  # of 32 bits on the wire
TICK_MS = 100.0  # between two looks at the clock, so that a pause of this process is noticed
PORT_CHECKS_PER_S = 60.0  # for any number of members: so many dead times PROOF_MS can be known
PORT_RECHECK_MS = 1500.0  # the same port is not checked more often than this
SWEEP_MS = 4000.0  # after a refusal every silent member's port is checked for this time: many may have died
ISOLATED_AFTER_MS = 5000.0  # nobody heard for so long: this member is cut off


@dataclass(eq=False)
class Probe:
    """A ping that waits for its answer."""

    member: Member
    began_ms: float
    indirect: bool = False  # whether others have been asked to ping


@dataclass(frozen=True)
class RelayedProbe:
    """A ping that was sent for another member."""

    requester: int
    requester_sequence: int
    target: int
    expires_ms: float


class Probes:
    """The probes in flight, by sequence number, and whom to probe next."""

    def __init__(self, table: MemberTable, random_source: random.Random) -> None:
        """Draw the first sequence number from `random_source`."""
        self.table = table
        self.random_source = random_source
        self.in_flight: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedProbe] = {}
        self._sequence = random_source.randrange(1 << 31)
        self._round: list[int] = []  # ids of members still to be probed in this round

    def next_sequence(self) -> int:
        """The sequence number of the next ping that waits for an answer."""
        self._sequence = self._sequence + 1 & MAX_SEQUENCE
        return self._sequence

    def begin_next(self, now: float) -> tuple[int, Probe] | None:
        """Begin the probe of the round's next member that may be there; None if the round has none left."""
        begun = None
        while self._round and begun is None:
            member = self.table.others[self._round.pop()]
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT):
                sequence = self.next_sequence()
                probe = Probe(member, now)
                self.in_flight[sequence] = probe
                begun = sequence, probe
        return begun

    def refill_round(self) -> None:
        """Begin another round in an order of its own, if this one is over."""
        if not self._round:
            by_state = self.table.by_state
            self._round = [*by_state[MemberState.ALIVE], *by_state[MemberState.SUSPECT]]
            self.random_source.shuffle(self._round)

    def choose_helpers(self, target: Member) -> list[Member]:
        """Draw the members that are asked to ping `target`."""
        alive = [m for m in self.table.by_state[MemberState.ALIVE].values() if m is not target]
        return self.random_source.sample(alive, min(INDIRECT_PROBES, len(alive)))

    def begin_relayed(self, requester: int, requester_sequence: int, target: int, now: float) -> int:
        """Remember a ping for another member; its sequence number is returned."""
        sequence = self.next_sequence()
        self.relayed[sequence] = RelayedProbe(requester, requester_sequence, target, now + PROBE_TIMEOUT_MS)
        return sequence

    def expire_relayed(self, now: float) -> None:
        """Forget pings for others that were not answered in time."""
        expired = [sequence for sequence, relayed in self.relayed.items() if now > relayed.expires_ms]
        for sequence in expired:
            del self.relayed[sequence]


class PortChecks:
    """Whose port is checked next, at a bounded rate.

    After seven in ten members died at once, checking one port a second would take a minute: a refusal has the
    ports of all silent members checked.
    """

    def __init__(self, table: MemberTable, began_ms: float) -> None:
        """`began_ms`: when this process began."""
        self.table = table
        self.began_ms = began_ms
        self.last_refused_ms = -math.inf
        self._allowance = 1.0

    def due(self, now: float, probes: Probes) -> list[Member]:
        """Take the members whose ports are to be checked at this tick, the one checked longest ago first."""
        earned = PORT_CHECKS_PER_S * TICK_MS / 1e3
        self._allowance = min(2.0 * earned, self._allowance + earned)
        candidates = self._candidates(now, probes)
        due = [m for m in candidates.values() if now >= m.checked_ms + PORT_RECHECK_MS]
        due.sort(key=lambda member: member.checked_ms)
        taken = due[: int(self._allowance)]
        for member in taken:
            self._allowance -= 1.0
            member.checked_ms = now
        return taken

    def _candidates(self, now: float, probes: Probes) -> dict[int, Member]:
        by_state = self.table.by_state
        found = {p.member.id: p.member for p in probes.in_flight.values() if p.indirect}
        for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            found.update(by_state[state])
        if now > self.began_ms + ISOLATED_AFTER_MS:
            found.update(by_state[MemberState.UNKNOWN])
        if now < self.last_refused_ms + SWEEP_MS:
            silent_since = now - PROBE_PERIOD_MS
            alive = by_state[MemberState.ALIVE]
            found.update((id, m) for id, m in alive.items() if m.heard_ms < silent_since)
        return found
