"""Front ends that change their terms together, in simulated time: the program's own `Party` around a faulty
network and disks that lose what was not synced. Each process has a clock of its own."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from ..fakes.fault_schedule import FaultSchedule
from ..fakes.in_memory_network import Process, World
from ..policy import state_machine
from ..policy.change_coordinator import ProbePort
from ..policy.document import digest, stops
from ..policy.log_entries import PersistentState
from ..policy.messages import ChangeProgress, ChangeRequest, decode_message, encode_message
from ..policy.notifications import SendMessage
from ..policy.policy_holder import PreparedPolicy
from ..policy.policy_member import PersistState, PolicyMember
from ..policy.raft_storage import updated_state
from ..wire.framing import HEADER

DIAL_MS = 0.5
CLOCKS_MS = 20_000.0  # two clocks differ by as much
RATE = 0.0004  # and their spans by this share
OWN = '{"tariffs":[]}'


def make(document: str) -> tuple[Any, bool]:
    """Raises ValueError."""
    if "unfit" in document:
        raise ValueError("tariffs: found 'unfit'; allowed: anything else")
    return document, stops(document)


class One:
    """One process."""

    def __init__(self, council: Council, number: int, process: Process, token: int) -> None:
        self.council, self.number, self.process, self.name = council, number, process, f"front-{number}"
        random_source = random.Random(f"{council.seed}/{token}/clock")
        self.ahead_ms, self.rate = (
            random_source.uniform(0.0, CLOCKS_MS),
            1.0 + random_source.uniform(-RATE, RATE),
        )
        kept = council.disks.setdefault(number, PersistentState()) if number < council.keepers else None
        names = tuple(f"front-{i}" for i in range(council.keepers))
        own = PreparedPolicy(0, digest(OWN), OWN)
        self.party = PolicyMember(self.now(), self.name, token, council.names, names, own, make, kept)
        self.wake = None
        self.pull()
        self._request()

    def now(self) -> float:
        return self.council.sim.now_s * 1e3 * self.rate + self.ahead_ms

    def heard(self, sender: str, data: bytes) -> None:
        said = decode_message(data[HEADER.size :])
        self.party.receive(self.now(), sender, said.token, said.body)
        self.pull()

    def pull(self) -> None:
        council = self.council
        while (d := self.party.next_action(self.now())) is not None:
            if isinstance(d, PersistState):
                if self.number in council.full:
                    self.party.disk_failed()
                    continue
                if (died := council.dies(self.number)) == "before":
                    return
                council.disks[self.number] = updated_state(
                    council.disks[self.number], d.persistent_state, d.after_index
                )
                council.counts["kept"] += 1
                if died:
                    return
            elif isinstance(d, SendMessage):
                data = encode_message("emulated", self.name, self.party.token, d.message)
                council.tell(self, d.to, data)
            elif isinstance(d, ProbePort):
                council.dial(self, d.to)
        while self.party.events:
            council.note("said", fe=self.name, what=self.party.events[0][0], **self.party.events.popleft()[1])
        if self.wake is not None and self.wake.active():
            self.wake.cancel()
        wait_ms = self.party.wake_ms(self.now()) - self.now()
        if wait_ms < 1e9:
            self.wake = self.process.callLater(max(1.0, wait_ms) / 1e3, self.pull)

    def _request(self) -> None:
        """A client's request, now and then."""
        self.take()
        self.process.callLater(
            self.council.random_source.expovariate(1.0 / self.council.every_s), self._request
        )

    def take(self) -> None:
        terms, _ = self.party.admitting_policy(self.now())
        self.council.counts["taken" if terms else "turned away"] += 1
        if terms is not None:
            self.council.note("took", fe=self.name, version=terms.version, digest=terms.digest)


class Council:
    """All processes; `front-0` and so on, the first few of them are keepers."""

    def __init__(
        self,
        sim: World,
        faults: FaultSchedule,
        size: int,
        keepers: int = 3,
        seed: int = 0,
        way_ms: float = 0.5,
        every_s: float = 0.05,
    ) -> None:
        self.sim, self.faults, self.size, self.keepers, self.seed = sim, faults, size, keepers, seed
        self.way_ms, self.every_s = way_ms, every_s
        self.names = [f"front-{i}" for i in range(size)]
        self.ones: dict[int, One] = {}
        self.disks: dict[int, PersistentState] = {}
        self.full: set[int] = set()  # disks that take nothing more
        self.lines: list[dict[str, Any]] = []
        self.counts: Counter[str] = Counter()
        self.random_source, self.tokens = random.Random(f"{seed}/council"), random.Random(f"{seed}/tokens")
        self.dying: dict[int, int] = {}  # number -> so many syncs more, and it dies

    def now(self) -> float:
        return self.sim.now_s * 1e3

    def note(self, kind: str, **what: Any) -> None:
        self.lines.append({"k": kind, "t": self.now(), **what})

    # -- processes

    def start(self, number: int) -> None:
        if number not in self.ones:
            process = Process(self.sim, f"front-{number}")
            one = One.__new__(One)
            self.ones[number] = one
            one.__init__(self, number, process, self.tokens.randrange(1, 1 << 32))

    def kill(self, number: int) -> None:
        if (one := self.ones.pop(number, None)) is not None:
            one.process.kill()

    def dies(self, number: int) -> str:
        """Whether it is killed just before or after this sync, with all it had still to say."""
        if number not in self.dying:
            return ""
        self.dying[number] -= 1
        if self.dying[number] > 0:
            return ""
        del self.dying[number]
        when = "before" if self.random_source.random() < 0.5 else "after"
        self.note("killed at a sync", fe=f"front-{number}", when=when)
        self.kill(number)
        return when

    # -- ways

    def tell(self, one: One, to: str, data: bytes) -> None:
        number = int(to.rpartition("-")[2])
        self.counts["words"] += 1
        self.counts["bytes"] += len(data)
        for late_ms in self.faults.carry(self.now(), one.number, number):
            self.sim.later((self.way_ms + late_ms) / 1e3, self._arrive, one.name, number, data)

    def _arrive(self, sender: str, number: int, data: bytes) -> None:
        if (one := self.ones.get(number)) is not None:
            one.process.run(one.heard, sender, data)

    def dial(self, one: One, to: str) -> None:
        number, began, own_ms = int(to.rpartition("-")[2]), self.now(), one.now()
        there_ms = self.faults.late_ms(began, one.number, number) + DIAL_MS / 2

        def there() -> None:
            now = self.now()
            if number in self.ones or self.faults.is_cut(began, one.number, number):
                return
            if self.faults.is_cut(now, number, one.number):
                return
            back_ms = self.faults.late_ms(now, number, one.number) + DIAL_MS / 2
            self.sim.later(back_ms / 1e3, one.process.run, refused)

        def refused() -> None:
            one.party.port_probed(to, own_ms, True)
            one.pull()

        self.sim.later(there_ms / 1e3, there)

    # -- operators

    def wish(self, number: int, id: str, base: int, document: str, **more: Any) -> ChangeProgress | None:
        """An operator's change by way of this member; None where it is dead."""
        one = self.ones.get(number)
        if one is None:
            return None
        found: list[ChangeProgress] = []
        propose = ChangeRequest(
            id=id, base=base, document=document, base_document=OWN, by="op", at=0.0, **more
        )

        def ask() -> None:
            found.append(one.party.request_change(one.now(), propose))
            one.pull()

        one.process.run(ask)
        return found[0] if found else None

    def change(
        self, id: str, base: int, document: str, most_s: float = 60.0, by: int | None = None, **more: Any
    ) -> ChangeProgress | None:
        """Ask until it has ended, by way of whoever lives; what the operator was told is noted."""
        end, progress = self.sim.now_s + most_s, None
        while self.sim.now_s < end:
            alive = sorted(self.ones)
            at = by if by in self.ones else alive[0] if alive else -1
            progress = self.wish(at, id, base, document, **more) or progress
            if progress is not None and progress.state != "under way":
                self.note("change", id=id, base=base, state=progress.state, version=progress.version)
                return progress
            self.sim.run(self.sim.now_s + 0.1)
        return progress

    def leader(self) -> int | None:
        some = [n for n, one in self.ones.items() if one.party.coordinator and one.party.raft.is_ready()]
        return max(some, key=lambda n: self.ones[n].party.raft.current_term, default=None)

    def history(self) -> None:
        """The end: what the leader's history says."""
        leader = self.leader()
        if leader is not None:
            versions = self.ones[leader].party.raft.state.versions
            self.note("history", rows=[[v.number, v.base, v.digest, v.proposal] for v in versions])


def on_disk(kept: PersistentState) -> state_machine.PolicyState:
    """What a disk alone tells: all entries, committed or not."""
    state = state_machine.decode_state(kept.snapshot)
    for offset, entry in enumerate(kept.entries, 1):
        state = state_machine.apply(state, kept.index + offset, entry)
    return state
