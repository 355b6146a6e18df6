"""What changes of policy cost each member of an emulated fleet: messages, bytes, CPU of its turns, time.

It observes the emulated network of `council.py` and changes nothing that is sent. The benchmark of slopes by
changes (`benchmarks/capacity_changes.py`) and the scale tests read it. Bytes are those of the framed
messages, without what TCP and IP add; a member's CPU is the process clock around its turns, without sockets.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from ..fakes.fault_schedule import FaultSchedule, NetworkFault
from ..fakes.in_memory_network import World
from ..policy.document import canonical
from ..policy.messages import ChangeProgress
from ..settings.front import FunctionEntry, RequestClassTerms
from .policy_simulation import Council, One

VOTERS = 3
ELECTION_S = 4.0  # until a leader is elected and all members serve
REST_S = 25.0  # after a change; the leader repeats what holds for 20 s to members that have not confirmed it
POLL_S = 0.02  # how often the operator's side looks whether a change has ended
CHANGE_LIMIT_S = 120.0
NEVER_S = 1e7  # no client requests: they cost the leader nothing
CLASSES = 20
FUNCTIONS = 20


class ChangeTimeoutError(Exception):
    """A change did not come to an end within CHANGE_LIMIT_S of simulated time."""


class Traffic(msgspec.Struct, frozen=True):
    """What one member sent and received over some span."""

    messages_sent: float = 0
    bytes_sent: float = 0
    messages_received: float = 0
    bytes_received: float = 0

    @property
    def messages(self) -> float:
        return self.messages_sent + self.messages_received

    @property
    def bytes(self) -> float:
        return self.bytes_sent + self.bytes_received


class SpanCost(msgspec.Struct, frozen=True):
    """What a span of simulated time cost the leader, and the mean member that is neither voter nor entry.

    `duration_s`: from the operators' request until the changes were active at every member or given up;
    `member` is the mean and `most_member_messages` the largest of those members; `states`: how each change
    ended, in the order asked for.
    """

    duration_s: float
    leader: Traffic
    member: Traffic
    most_member_messages: float
    leader_cpu_us: float
    states: tuple[str, ...] = ()


def document(revision: int) -> str:
    """A policy of realistic length in canonical form; another revision differs in one value.

    >>> 2000 < len(document(1)) < 8000, document(1) == document(2), len(document(1)) == len(document(2))
    (True, False, True)
    """
    classes = [
        RequestClassTerms(
            name=f"class-{number:02}",
            idempotency="harmless",
            latency_objective_ms=200.0 + number,
            deadline_ms=3000.0,
            worth=1000.0 + (revision if number == 0 else 0),
        )
        for number in range(CLASSES)
    ]
    functions = [
        FunctionEntry(name=f"function-{number:02}-*", memory_mb=128.0, lanes=4, load_ms=400.0)
        for number in range(FUNCTIONS)
    ]
    return canonical({"tariffs": classes, "functions": functions})


class ObservedCouncil(Council):
    """The emulated fleet with an account of each member's messages, bytes, CPU and activations."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.messages_sent: Counter[int] = Counter()
        self.bytes_sent: Counter[int] = Counter()
        self.messages_received: Counter[int] = Counter()
        self.bytes_received: Counter[int] = Counter()
        self.cpu_ns: Counter[int] = Counter()
        self.activated_ms: dict[tuple[str, int], float] = {}  # by member and version
        self.in_turn = False
        self.revision = 0
        super().__init__(World(), FaultSchedule(random.Random(seed)), size, VOTERS, seed, every_s=NEVER_S)

    # -- observation

    def tell(self, one: One, to: str, data: bytes) -> None:
        self.messages_sent[one.number] += 1
        self.bytes_sent[one.number] += len(data)
        super().tell(one, to, data)

    def _arrive(self, sender: str, number: int, data: bytes) -> None:
        if number in self.ones:
            self.messages_received[number] += 1
            self.bytes_received[number] += len(data)
        super()._arrive(sender, number, data)

    def note(self, kind: str, **what: Any) -> None:
        if kind == "said" and what["what"] == "version":
            self.activated_ms[what["fe"], what["version"]] = self.now()

    def start(self, number: int) -> None:
        super().start(number)
        member = self.ones[number]
        member.heard = self._timed(number, member.heard)
        member.pull = self._timed(number, member.pull)

    def _timed(self, number: int, call: Callable[..., None]) -> Callable[..., None]:
        """The call with its CPU added to the member's; a turn inside a turn is counted once."""

        def timed(*arguments: Any) -> None:
            if self.in_turn:
                call(*arguments)
                return
            self.in_turn = True
            began_ns = time.process_time_ns()
            try:
                call(*arguments)
            finally:
                self.cpu_ns[number] += time.process_time_ns() - began_ns
                self.in_turn = False

        return timed

    def traffic(self, number: int) -> Traffic:
        """All that this member has sent and received so far."""
        return Traffic(
            messages_sent=self.messages_sent[number],
            bytes_sent=self.bytes_sent[number],
            messages_received=self.messages_received[number],
            bytes_received=self.bytes_received[number],
        )

    # -- what is measured

    def begin(self) -> None:
        """Start all members and make one change, after which the leader knows every member's clock."""
        for number in range(self.size):
            self.start(number)
        self.run_for(ELECTION_S)
        self.request_changes(1)
        self.run_for(REST_S)

    def run_for(self, seconds: float) -> None:
        self.sim.run(self.sim.now_s + seconds)

    def entry(self) -> int:
        """The member by way of which operators ask: no voter, and counted apart from the ordinary ones."""
        return self.keepers

    def ordinary(self) -> list[int]:
        """Members that are neither voter nor entry."""
        return [number for number in self.ones if number > self.entry()]

    def version(self) -> int:
        return self.ones[self.leader()].party.raft.state.version

    def rest(self, seconds: float) -> SpanCost:
        """A span in which nobody asks for anything."""
        return self._cost(lambda: self.run_for(seconds))

    def request_changes(self, count: int) -> SpanCost:
        """So many changes asked for at once, each made from the version that the one before will give."""
        return self._cost(lambda: self._change(count))

    def _cost(self, span: Callable[[], tuple[str, ...] | None]) -> SpanCost:
        leader = self.leader()
        members = self.ordinary()
        before = {number: self.traffic(number) for number in (leader, *members)}
        cpu_before_ns = self.cpu_ns[leader]
        began_s = self.sim.now_s
        states = span() or ()
        spent = {number: _difference(start, self.traffic(number)) for number, start in before.items()}
        return SpanCost(
            duration_s=self.sim.now_s - began_s,
            leader=spent[leader],
            member=_mean([spent[number] for number in members]),
            most_member_messages=max(spent[number].messages for number in members),
            leader_cpu_us=(self.cpu_ns[leader] - cpu_before_ns) / 1e3,
            states=states,
        )

    def _change(self, count: int) -> tuple[str, ...]:
        """Until the operators were told how each change ended, and each adopted one is active everywhere.

        Raises ChangeTimeoutError.
        """
        first_base = self.version()
        proposals: list[tuple[str, int, str]] = []
        for offset in range(count):
            self.revision += 1
            proposals.append((f"change-{self.revision}", first_base + offset, document(self.revision)))
        limit_s = self.sim.now_s + CHANGE_LIMIT_S
        while self.sim.now_s < limit_s:
            found = [self.wish(self.entry(), *proposal) for proposal in proposals]
            if all(progress.state != "under way" for progress in found) and self._active_everywhere(found):
                return tuple(progress.state for progress in found)
            self.run_for(POLL_S)
        raise ChangeTimeoutError(
            f"{count} changes at {self.size} members did not end in {CHANGE_LIMIT_S:g} s"
        )

    def _active_everywhere(self, found: list[ChangeProgress]) -> bool:
        """Whether each live member runs under the latest adopted version."""
        adopted = [progress.version for progress in found if progress.state == "adopted"]
        if not adopted:
            return True
        return all(one.party.holder.policy.version >= max(adopted) for one in self.ones.values())

    def activation_s(self, version: int, since_s: float) -> float:
        """From then until the last live member ran under this version."""
        times_ms = [self.activated_ms[one.name, version] for one in self.ones.values()]
        return max(times_ms) / 1e3 - since_s

    def vanish(self, number: int) -> None:
        """The member's machine is gone: nothing answers there, and nothing refuses a connection."""
        others = frozenset(range(self.size)) - {number}
        self.faults.add(NetworkFault("cut", frozenset({number}), others, self.now(), float("inf")))
        self.kill(number)


def _difference(before: Traffic, after: Traffic) -> Traffic:
    return Traffic(
        *(
            later - earlier
            for earlier, later in zip(
                msgspec.structs.astuple(before), msgspec.structs.astuple(after), strict=False
            )
        )
    )


def _mean(each: list[Traffic]) -> Traffic:
    columns = zip(*(msgspec.structs.astuple(one) for one in each), strict=False)
    return Traffic(*(sum(column) / len(each) for column in columns))
