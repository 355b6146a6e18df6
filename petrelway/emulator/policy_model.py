"""A small system for the explorer: keepers and members that change their terms, with every schedule of a few
faults.

Each process is the program's own `Party`; only what lies between the processes, the disks and the moments are
the explorer's. Time goes in steps; in a step every process that runs takes a turn, and whatever is said is
heard at once, but for the faults: a fault begins at a step, and each costs one of a few. After every turn
whoever took it is asked under which terms it would take a request now."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any, NamedTuple

from ..policy.change_coordinator import ProbePort
from ..policy.document import digest
from ..policy.log_entries import PersistentState
from ..policy.messages import ChangeProgress, ChangeRequest
from ..policy.notifications import SendMessage
from ..policy.policy_holder import PreparedPolicy
from ..policy.policy_member import PersistState, PolicyMember
from ..policy.raft_state import RaftRole
from ..policy.raft_storage import updated_state
from .policy_simulation import OWN, make

STEP_MS = 500.0
APART_MS = 50.0
AHEAD_MS = (0.0, 7000.0, 3000.0, 11_000.0, 5000.0, 9000.0, 1000.0)  # the clocks
RATES = (1.0004, 0.9996, 1.0, 1.0004, 0.9996, 1.0, 1.0)
SPANS = (1, 4, 14)  # steps that a way may be closed
SAID_BOUND = 2000  # words in one step
WARM_STEPS = 6


class InvariantViolationError(Exception):
    """What was broken."""


class Small:
    """All processes, disks and words under way."""

    def __init__(self, keepers: int, size: int) -> None:
        self.keepers, self.names = keepers, [f"front-{i}" for i in range(size)]
        self.ones: dict[int, PolicyMember] = {}
        self.disks = {i: PersistentState() for i in range(keepers)}
        self.at_ms, self.steps, self.tokens = 1e6, 0, 0
        self.stopped: dict[int, int] = {}  # until this step
        self.closed: dict[tuple[str, int], int] = {}  # kind of fault, whom -> until this step
        self.dead: dict[int, int] = {}  # started again at this step
        self.dies: tuple[int, int, str] | None = None  # who, at which sync from now, before or after it
        self.late: deque[tuple[int, int, int, Any]] = deque()
        self.firsts: dict[int, tuple[float, str]] = {}  # version -> when first taken under, its digest
        self.wishes: dict[str, ChangeRequest] = {}
        self.adopted: dict[str, int] = {}  # as operators were told
        self.turns: deque[int] = deque()
        for i in range(size):
            self.start(i)

    def now(self, i: int) -> float:
        return self.at_ms * RATES[i] + AHEAD_MS[i]

    def start(self, i: int) -> None:
        self.tokens += 1
        names = tuple(self.names[: self.keepers])
        own = PreparedPolicy(0, digest(OWN), OWN)
        kept = self.disks.get(i)
        token = self.tokens * 10 + i
        self.ones[i] = PolicyMember(self.now(i), self.names[i], token, self.names, names, own, make, kept)
        self.pull(i)

    def kill(self, i: int, steps: int) -> None:
        self.ones.pop(i, None)
        self.stopped.pop(i, None)
        self.dead[i] = self.steps + steps

    # -- a turn

    def runs(self, i: int) -> bool:
        return i in self.ones and i not in self.stopped

    def pull(self, i: int) -> None:
        party = self.ones[i]
        while (d := party.next_action(self.now(i))) is not None:
            if isinstance(d, PersistState):
                when = self._dies(i)
                if when == "before":
                    return
                self.disks[i] = updated_state(self.disks[i], d.persistent_state, d.after_index)
                if when:
                    return
            elif isinstance(d, SendMessage):
                self._tell(i, self.names.index(d.to), party.token, d.message)
            elif isinstance(d, ProbePort):
                to = self.names.index(d.to)
                if to not in self.ones and not self._shut("cut", i) and not self._shut("cut", to):
                    party.port_probed(d.to, self.now(i), True)
        party.events.clear()
        party.counts.clear()
        self.take(i)

    def _dies(self, i: int) -> str:
        if self.dies is None or self.dies[0] != i:
            return ""
        who, left, when = self.dies
        self.dies = (who, left - 1, when) if left > 1 else None
        if left > 1:
            return ""
        self.kill(i, 3)
        return when

    def _shut(self, kind: str, i: int) -> bool:
        return self.closed.get((kind, i), -1) >= self.steps

    def _tell(self, i: int, to: int, token: int, word: Any) -> None:
        if self._shut("cut", i) or self._shut("cut", to) or self._shut("deaf", to) or self._shut("mute", i):
            return
        if self._shut("late", to):
            self.late.append((i, to, token, word))
        else:
            self.turns.append((i, to, token, word))
            if self._shut("twice", to):
                self.late.append((i, to, token, word))

    def _hear(self) -> None:
        said = 0
        while self.turns:
            i, to, token, word = self.turns.popleft()
            said += 1
            if said > SAID_BOUND:
                raise InvariantViolationError("they talk for ever")
            if to in self.stopped:
                self.late.append((i, to, token, word))
            elif to in self.ones:
                self.take(to)
                self.ones[to].receive(self.now(to), self.names[i], token, word)
                self.pull(to)

    def take(self, i: int) -> None:
        """It would take a request now, if one came."""
        if not self.runs(i):
            return
        terms, _ = self.ones[i].admitting_policy(self.now(i))
        if terms is None:
            return
        version, told = terms.version, terms.digest
        if version not in self.firsts:
            self.firsts[version] = self.at_ms, told
        elif self.firsts[version][1] != told:
            raise InvariantViolationError(f"version {version} is two documents")
        for later, (at, _) in self.firsts.items():
            if later > version and self.at_ms - at > APART_MS:
                raise InvariantViolationError(
                    f"{self.names[i]} takes under version {version} {self.at_ms - at:.0f} ms after"
                    f" version {later} began"
                )

    # -- a step

    def step(self, fault: tuple[Any, ...] | None) -> None:
        """Raises InvariantViolationError."""
        self.steps += 1
        self.at_ms += STEP_MS
        if fault is not None:
            self._begin(*fault)
        for i in sorted(self.ones):
            self.take(i)  # first of all, before it looks at anything else
        for i in [i for i, until in self.dead.items() if until <= self.steps]:
            del self.dead[i]
            self.start(i)
        for i in [i for i, until in self.stopped.items() if until <= self.steps]:
            del self.stopped[i]
            self.take(i)
        some, self.late = self.late, deque()
        for each in some:
            if self._shut("late", each[1]):
                self.late.append(each)
            else:
                self.turns.append(each)
        for i in sorted(self.ones):
            if self.runs(i):
                self.pull(i)
                self._hear()
        self._operators()
        self._hear()
        self._statements()

    def _begin(self, kind: str, i: int, *more: Any) -> None:
        if kind == "kill":
            self.kill(i, more[0])
        elif kind == "stop":
            self.stopped[i] = self.steps + more[0]
        elif kind == "die":
            self.dies = (i, *more)
        elif kind == "wish":
            self._wish(f"p{i}", *more)
        else:
            self.closed[kind, i] = self.steps + more[0] - 1

    def _wish(self, id: str, base: int, text: str) -> None:
        self.wishes[id] = ChangeRequest(id=id, base=base, document=text, base_document=OWN, by="", at=0.0)

    def _operators(self) -> None:
        """Whoever runs and is not a keeper, if there is one, passes the operators' words on."""
        via = next((i for i in sorted(self.ones, reverse=True) if self.runs(i)), None)
        if via is None:
            return
        for id, propose in list(self.wishes.items()):
            progress: ChangeProgress = self.ones[via].request_change(self.now(via), propose)
            if progress.state == "under way":
                self.pull(via)
                continue
            del self.wishes[id]
            if progress.state == "adopted":
                self.adopted[id] = progress.version

    def _statements(self) -> None:
        leaders = [p.raft for p in self.ones.values() if p.raft and p.raft.role is RaftRole.LEADER]
        terms = [k.current_term for k in leaders]
        if len(set(terms)) != len(terms):
            raise InvariantViolationError(f"two leaders in one term: {terms}")
        ready = [k for k in leaders if k.is_ready()]
        if ready:
            ledger = max(ready, key=lambda k: k.current_term).state
            for id, version in self.adopted.items():
                end = ledger.outcome(id)
                if end is None or end.version != version:
                    raise InvariantViolationError(f"{id} was said to be version {version}, and is {end}")
            for v in ledger.versions[1:]:
                if v.base != v.number - 1:
                    raise InvariantViolationError(f"version {v.number} was made from version {v.base}")

    def faults(self) -> Iterable[tuple[Any, ...]]:
        """All that could begin at the next step."""
        for i in sorted(self.ones):
            keeps = i < self.keepers
            yield "kill", i, 1
            yield "kill", i, 6
            for span in SPANS:
                if i not in self.stopped:
                    yield "stop", i, span
                yield "cut", i, span
            yield "late", i, 3
            yield "deaf", i, 4
            yield "mute", i, 4
            yield "twice", i, 6
            if keeps and self.dies is None:
                for sync in (1, 2):
                    yield "die", i, sync, "before"
                    yield "die", i, sync, "after"


class Explored(NamedTuple):
    states: int
    runs: int  # ways to the end
    depth: int
    broken: str
    way: list[str]


def beginning(keepers: int = 3, size: int = 5, document: str = '{"n":1}', more: str = "") -> Small:
    """All run, a leader is elected, a change is wished for; `more`: a second one made from the same base."""
    small = Small(keepers, size)
    for _ in range(WARM_STEPS):
        small.step(None)
    small._wish("p1", 0, document)
    if more:
        small._wish("p2", 0, more)
    return small


def explore(
    start: Small,
    steps: int,
    faults: int,
    bound: int = 10_000_000,
    wanted: Callable[[tuple[Any, ...]], bool] = lambda fault: True,
    begun: int = 0,
) -> Explored:
    """Every schedule of up to so many faults, each at any of the steps; states that were seen with as many
    faults left are not looked at again. Danger: whole states would fill the memory; digests are kept.
    `begun`: so many of the steps are over in `start`."""
    seen: dict[bytes, int] = {}
    stack = [(pickle.dumps(start, -1), faults, ())]
    runs = deepest = 0
    while stack:
        data, left, way = stack.pop()
        small = pickle.loads(data)
        deepest = max(deepest, small.steps - start.steps)
        if begun + small.steps - start.steps >= steps:
            runs += 1
            continue
        some = [None]
        if left:
            some += [t for t in small.faults() if wanted(t)]
        for number, fault in enumerate(some):
            following = pickle.loads(data) if number < len(some) - 1 else small
            now_left = left - (fault is not None)
            now_way = (*way, (small.steps - start.steps, *fault)) if fault else way
            try:
                following.step(fault)
            except InvariantViolationError as violation:
                return Explored(len(seen), runs, deepest, str(violation), [str(x) for x in now_way])
            after_ = pickle.dumps(following, -1)
            key = blake2b(after_, digest_size=12).digest()
            if seen.get(key, -1) >= now_left:
                continue
            seen[key] = now_left
            if len(seen) >= bound:
                return Explored(len(seen), runs, deepest, "", ["the bound on states was reached"])
            stack.append((after_, now_left, now_way))
    return Explored(len(seen), runs, deepest, "", [])
