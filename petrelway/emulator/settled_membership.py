"""A fleet in simulated time that begins at rest, for what watching costs by the number of members.

A whole fleet's start takes about a second a member until its news has been told everywhere. Here everybody is
told of everybody at once, by messages, and what is left to tell can be taken as told.
"""

from __future__ import annotations

import random

from ..fakes.fault_schedule import FaultSchedule
from ..fakes.hollow_members import introductions, settle_view
from ..fakes.in_memory_network import World
from ..membership.messages import encode
from ..membership.swim import Action, ActionKind
from .membership_simulation import Peer, Sea


class CountedSea(Sea):
    """A sea that also counts the bytes to and from one member."""

    watched = -1  # the member's number
    watched_bytes = 0

    def carry_out(self, peer: Peer, d: Action) -> None:
        if d.kind is ActionKind.SEND and self.watched in (peer.number, self.numbers[d.member]):
            self.watched_bytes += len(encode(d.message))
        super().carry_out(peer, d)

    def settle(self) -> None:
        """As if all news had been told, and everybody had been heard since."""
        for peer in self.peers.values():
            settle_view(peer.members)

    def rates(self, span_s: float, members: int) -> dict[str, float]:
        """Play on; datagrams, bytes and tries a second of each of so many members."""
        before = self.counts.copy()
        self.sim.run(self.sim.now_s + span_s)
        names = ("datagrams", "bytes", "tries")
        return {name: (self.counts[name] - before[name]) / members / span_s for name in names}


def introduced_sea(size: int, seed: int = 0) -> CountedSea:
    """All members have started and hold everybody alive; that news is still to be told."""
    sea = CountedSea(World(), FaultSchedule(random.Random(seed)), size, seed)
    for number in range(size):
        sea.start(number)
    starts = [sea.peers[number].members.incarnation for number in range(size)]
    for number, peer in sea.peers.items():
        sender = 0 if number else 1
        for word in introductions(sea.ids, starts, sender, sea.fleet, peer.members.peers_digest):
            peer.heard(sea.ids[sender], word)
    return sea
