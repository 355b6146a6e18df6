"""Probes in flight and relayed, the order of probing, and the schedule of port checks.

A probe is a ping that waits for its ACK; without one, other members are asked to ping (PING_REQUEST). Silence
proves nothing about a process, but a refused port proves that it is gone, so the ports of silent members are
checked as well.
Times are in ms of a clock that never steps back.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .member import Member, MemberTable
from .messages import MemberState

PROBE_PERIOD_MS = 1000.0  # one member is probed in each period
ACK_TIMEOUT_MS = 500.0  # without an ACK by then, others are asked to ping and the port is checked
PROBE_TIMEOUT_MS = 2000.0  # without a direct or indirect ACK by then, the member is suspected
INDIRECT_PROBES = 3  # members that are asked to ping the target
MAX_RELAYED_PROBES = 64  # pings for other members in flight at a time
MAX_SEQUENCE = 0xFFFFFFFF  # sequence numbers have 32 bits on the wire
TICK_MS = 100.0  # between two ticks; short, so that a pause of this process is detected
# For any fleet size; at most PORT_CHECKS_PER_S times PROOF_MS members can be proved dead at a time.
PORT_CHECKS_PER_S = 60.0
PORT_RECHECK_MS = 1500.0  # the same port is not checked more often than this
SWEEP_MS = 4000.0  # how long after a refusal every silent member's port is checked: many may have died
ISOLATED_AFTER_MS = 5000.0  # without any message for this time, this member is cut off


@dataclass(eq=False)
class Probe:
    """A ping that waits for its ACK."""

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
    """The probes in flight, by sequence number, and the order in which members are probed."""

    def __init__(self, table: MemberTable, random_source: random.Random) -> None:
        """Draw the first sequence number from `random_source`."""
        self.table = table
        self.random_source = random_source
        self.in_flight: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedProbe] = {}
        self._sequence = random_source.randrange(1 << 31)
        self._round: list[int] = []  # ids of the members not yet probed in this round

    def next_sequence(self) -> int:
        """Return the sequence number of the next ping that waits for an answer."""
        self._sequence = self._sequence + 1 & MAX_SEQUENCE
        return self._sequence

    def begin_next(self, now: float) -> tuple[int, Probe] | None:
        """Begin the probe of the round's next alive or suspected member; None if the round has none left."""
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
        """Begin another round in a new random order if this one is over."""
        if not self._round:
            by_state = self.table.by_state
            self._round = [*by_state[MemberState.ALIVE], *by_state[MemberState.SUSPECT]]
            self.random_source.shuffle(self._round)

    def choose_helpers(self, target: Member) -> list[Member]:
        """Choose at random the members that are asked to ping `target`."""
        alive = [m for m in self.table.by_state[MemberState.ALIVE].values() if m is not target]
        return self.random_source.sample(alive, min(INDIRECT_PROBES, len(alive)))

    def begin_relayed(self, requester: int, requester_sequence: int, target: int, now: float) -> int:
        """Register a ping that is sent for another member, and return its sequence number."""
        sequence = self.next_sequence()
        self.relayed[sequence] = RelayedProbe(requester, requester_sequence, target, now + PROBE_TIMEOUT_MS)
        return sequence

    def expire_relayed(self, now: float) -> None:
        """Drop pings for other members that were not answered in time."""
        expired = [sequence for sequence, relayed in self.relayed.items() if now > relayed.expires_ms]
        for sequence in expired:
            del self.relayed[sequence]


class PortChecks:
    """Schedules port checks at a bounded rate.

    A refusal triggers checks of the ports of all silent members: after seven in ten members died at once,
    checking one port a second would take a minute.
    """

    def __init__(self, table: MemberTable, began_ms: float) -> None:
        """Start with no refusal seen; `began_ms` is when this process began."""
        self.table = table
        self.began_ms = began_ms
        self.last_refused_ms = -math.inf
        self._tokens = 1.0

    def due(self, now: float, probes: Probes) -> list[Member]:
        """Return the members whose ports are checked at this tick, longest unchecked first, and mark them."""
        refill = PORT_CHECKS_PER_S * TICK_MS / 1e3
        self._tokens = min(2.0 * refill, self._tokens + refill)
        candidates = self._candidates(now, probes)
        due = [m for m in candidates.values() if now >= m.checked_ms + PORT_RECHECK_MS]
        due.sort(key=lambda member: member.checked_ms)
        selected = due[: int(self._tokens)]
        for member in selected:
            self._tokens -= 1.0
            member.checked_ms = now
        return selected

    def _candidates(self, now: float, probes: Probes) -> dict[int, Member]:
        by_state = self.table.by_state
        candidates = {p.member.id: p.member for p in probes.in_flight.values() if p.indirect}
        for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            candidates.update(by_state[state])
        if now > self.began_ms + ISOLATED_AFTER_MS:
            candidates.update(by_state[MemberState.UNKNOWN])
        if now < self.last_refused_ms + SWEEP_MS:
            silent_since = now - PROBE_PERIOD_MS
            alive = by_state[MemberState.ALIVE]
            candidates.update((id, m) for id, m in alive.items() if m.heard_ms < silent_since)
        return candidates
