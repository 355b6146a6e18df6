"""Members in simulated time: the program's own state machine and quota lease around a faulty
network, without
bytes."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from ..fakes.fault_schedule import FaultSchedule
from ..fakes.in_memory_network import Process, World
from ..membership.member import MemberEvent
from ..membership.messages import Message, digest, encode
from ..membership.quota_lease import QuotaLease, QuotaLeaseHolder
from ..membership.swim import Action, ActionKind, MembershipStateMachine, ViewStatus
from ..routing.types import QuotaShare

DIAL_MS = 0.5  # there and back on an idle network


class Peer:
    """One process of a member."""

    def __init__(self, sea: Sea, number: int, process: Process, token: int) -> None:
        self.sea, self.number, self.process = sea, number, process
        now = sea.now()
        me, others = sea.ids[number], [id for i, id in enumerate(sea.ids) if i != number]
        self.members = MembershipStateMachine(
            now, me, token, sea.fleet, others, random.Random(f"{sea.seed}/{number}/{token}")
        )
        self.parts = QuotaLeaseHolder(now, len(sea.ids))
        self.said: deque[MemberEvent] = deque(maxlen=10_000)
        self.whole: ViewStatus | None = None
        self.held: QuotaLease | None = None
        self.wake = None
        self.told: Callable[[QuotaShare], None] = lambda part: None
        self.pull()

    def note(self, kind: str, **what) -> None:
        if self.sea.record is not None:
            self.sea.record.note(kind, _file=f"fleet-{self.number}-{self.members.incarnation.token}", **what)

    def heard(self, sender: int, word: Message) -> None:
        self.members.receive(self.sea.now(), sender, word)
        self.pull()

    def _woken(self) -> None:
        self.members.wake_up()
        self.pull()

    def pull(self) -> None:
        now = self.sea.now()
        while (d := self.members.decide(now)) is not None:
            if d.kind is ActionKind.WAKE:
                if self.wake is not None and self.wake.active():
                    self.wake.cancel()
                self.wake = self.process.callLater((d.at_ms - now) / 1e3, self._woken)
            else:
                self.sea.carry_out(self, d)
        self._say(now)

    def _say(self, now: float) -> None:
        """The same words that a member on sockets notes, for the same judge."""
        members, before = self.members, self.held
        held = self.held = self.parts.current(members, now)
        self.told(held.part)
        while members.events:
            self.said.append(members.events[0])
            member, what, why = members.events.popleft()
            number = self.sea.numbers[member] if member else self.number
            self.note("held", member=f"front-{number}", what=what, why=why)
        if self.sea.record is None:
            return
        if (whole := members.view_status(now)) is not self.whole:
            self.whole = whole
            self.note("whole", whole=whole.value)
        if before is None or before.part != held.part:
            left = held.part.until_ms - now if held.part.until_ms < math.inf else None
            self.note("part", share=held.part.share, left=left, dead=held.dead)

    def leave(self) -> None:
        for d in self.members.leave():
            self.sea.carry_out(self, d)


class Sea:
    """All members' processes and the ways between them. `number` counts the members from 0."""

    def __init__(
        self, sim: World, faults: FaultSchedule, size: int, seed: int = 0, way_ms: float = 0.5
    ) -> None:
        self.sim, self.faults, self.seed, self.way_ms = sim, faults, seed, way_ms
        self.ids = [digest(f"front-{i}") for i in range(size)]
        self.numbers = {id: i for i, id in enumerate(self.ids)}
        self.fleet = digest("emulated")
        self.peers: dict[int, Peer] = {}
        self.counts: Counter[str] = Counter()
        self.record: Any = None  # hears what each member notes
        self.tokens = random.Random(f"{seed}/tokens")

    def now(self) -> float:
        return self.sim.now_s * 1e3

    def start(self, number: int, process: Process | None = None) -> Peer:
        process = process or Process(self.sim, f"front-{number}")
        self.peers[number] = peer = Peer(self, number, process, self.tokens.randrange(1, 1 << 32))
        return peer

    def kill(self, number: int) -> None:
        self.peers.pop(number).process.kill()

    def carry_out(self, peer: Peer, d: Action) -> None:
        to = self.numbers[d.member]
        if d.kind is ActionKind.CHECK_PORT:
            self._try(peer, to)
            return
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(encode(d.message))
        for late_ms in self.faults.carry(self.now(), peer.number, to):
            self.sim.later((self.way_ms + late_ms) / 1e3, self._arrive, peer.number, to, d.message)

    def _arrive(self, sender: int, to: int, word: Message) -> None:
        if (peer := self.peers.get(to)) is not None:
            peer.process.run(peer.heard, self.ids[sender], word)

    def _try(self, peer: Peer, to: int) -> None:
        """A refusal comes back; what is cut off, stopped or there says nothing of the kind."""
        began = self.now()
        self.counts["tries"] += 1
        there_ms = self.faults.late_ms(began, peer.number, to) + DIAL_MS / 2

        def there() -> None:
            now = self.now()
            if to in self.peers or self.faults.is_cut(began, peer.number, to):
                return
            if self.faults.is_cut(now, to, peer.number):
                return
            back_ms = self.faults.late_ms(now, to, peer.number) + DIAL_MS / 2
            self.sim.later(back_ms / 1e3, peer.process.run, self._refused, peer, to, began)

        self.sim.later(there_ms / 1e3, there)

    def _refused(self, peer: Peer, to: int, began: float) -> None:
        peer.members.port_checked(self.now(), self.ids[to], began, True)
        peer.pull()
