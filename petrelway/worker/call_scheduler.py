"""What a worker decides, pure: queue, lanes, loads, memory, repeats, drain. No I/O, the clock handed in.

Inputs only update what is known; the shell then calls decide(now) until it gives None and carries out each
Act. A request is owed one `ended` unless it was withdrawn, ran out of time, or its front end is gone. Times
are milliseconds.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from enum import Enum
from typing import Any, NamedTuple

from ..wire.codec import Load as Report
from .deduplication import Repeats
from .eviction import Keeper
from .load_scheduler import Load, Loads
from .memory_budget import Budget

SUCCEEDED, ERROR, FULL, MISS = 0, 1, 2, 8
UNTOLD, FOUND, BEGAN, AWAITED, LOAD_FAILED = 0, 1, 2, 3, 4
TIDY_MS = 500.0
UNHEARD_LOAD_MS = 1000.0
LOAD_GAIN = 0.3
STOP_BOUND = 10_000  # calls that may be stopping at a time before their copies are ended at once


class Do(Enum):
    LOAD = "load"  # copy, function
    DROP_LOAD = "drop load"  # copy: fetch or start is of no use any more
    CALL = "call"  # copy, call, body
    STOP_CALL = "stop call"  # copy, call
    END_REPLICA = "end copy"  # copy, text: why
    ENDED = "ended"  # front, serial, number, outcome, warmth, crowd, body
    STOOD = "stood"  # front, order, outcome, copies
    WAKE = "wake"  # ms


class Act(NamedTuple):
    """One thing for the shell to do; fields that the verb does not need stay at their defaults."""

    do: Do
    copy: int = -1
    call: int = -1
    function: str = ""
    front: Any = None
    serial: int = 0
    number: int = 0
    outcome: int = 0
    warmth: int = 0
    crowd: int = 0
    body: bytes = b""
    text: str = ""
    ms: float = 0.0


class Ask:
    """One attempt of a request."""

    def __init__(
        self,
        front: Any,
        serial: int,
        number: int,
        mark: str,
        function: str,
        mb: float,
        lanes: int,
        stamped_ms: float,
        until_ms: float,
        body: bytes,
    ) -> None:
        self.front, self.serial, self.number, self.mark = front, serial, number, mark
        self.function, self.mb, self.lanes = function, mb, lanes
        self.stamped_ms, self.until_ms, self.body = stamped_ms, until_ms, body
        self.warmth = self.crowd = 0
        self.call = -1  # runs as this one
        self.over = False  # nobody waits for it


class Replica:
    """A loaded copy: a process that runs `lanes` calls at a time."""

    def __init__(self, id: int, function: str, digest: str, lanes: int, load_ms: float) -> None:
        self.id, self.function, self.digest, self.lanes, self.load_ms = id, function, digest, lanes, load_ms
        self.calls: dict[int, Ask] = {}
        self.stopping: dict[int, float] = {}  # calls that were told to stop, and when their grace is over
        self.idle_ms = 0.0
        self.void = False  # takes nothing new


class Desk:
    """One worker's decisions."""

    def __init__(
        self,
        now: float,
        budget_mb: float,
        loads_at_once: int,
        line: int,
        slots: int,
        queue: int,
        keep_ms: float,
        more_replicas: bool,
        answers_miss: bool,
        load_patience_ms: float,
        stop_grace_ms: float,
    ) -> None:
        self.budget = Budget(budget_mb)
        self.loads = Loads(loads_at_once, line)
        self.keeper = Keeper()
        self.repeats: Repeats[Ask] = Repeats()
        self.slots, self.queue, self.keep_ms = slots, queue, keep_ms
        self.more_replicas, self.answers_miss = more_replicas, answers_miss
        self.load_patience_ms, self.stop_grace_ms = load_patience_ms, stop_grace_ms
        self.replicas: dict[int, Replica] = {}
        self.of: dict[str, dict[int, Replica]] = {}
        self.waiting: dict[str, deque[Ask]] = {}
        self.waits = self.in_work = 0
        self.asks: dict[tuple[Any, int, int], Ask] = {}
        self.load_requests: dict[str, list[tuple[Any, int, int, float]]] = {}  # front, id, copies, until
        self.load_ms: dict[str, float] = {}  # by function, averaged
        self.digests: dict[str, str] = {}  # what the store's names point at, as far as told
        self.ids = self.call_ids = 0
        self.draining = False
        self.acts: deque[Act] = deque()
        self.due: list[tuple[float, int, Ask]] = []
        self.serial = 0
        self.counts: Counter[str] = Counter()
        self.tidy_ms = now + TIDY_MS
        self.wake_ms = math.inf
        self.look = True  # something changed since loads and lanes were looked at

    # -- inputs

    def taken(
        self,
        now: float,
        front: Any,
        serial: int,
        number: int,
        mark: str,
        function: str,
        mb: float,
        lanes: int,
        stamped_ms: float,
        remaining_ms: float,
        body: bytes,
    ) -> None:
        """A attempt came; `stamped_ms` is how long its mark counts, 0 for a request class without marks."""
        ask = Ask(front, serial, number, mark, function, mb, lanes, stamped_ms, now + remaining_ms, body)
        if remaining_ms <= 0.0:
            self.counts["came too late"] += 1
            return
        if (front, serial, number) in self.asks:
            self.counts["came twice"] += 1  # danger: a number used anew would run twice
            return
        if self.draining:
            self._say(ask, FULL)
            return
        if stamped_ms > 0.0:
            what, answer = self.repeats.came(mark, ask, now, stamped_ms)
            if what == "done":
                self.counts["repeat answered"] += 1
                self._say(ask, SUCCEEDED, FOUND, answer)
                return
            if what == "wait":
                self.counts["repeat attached"] += 1
                self._enter(ask)
                return
        self.keeper.used(function, now)
        ask.crowd = 1 + min(29, len(self.waiting.get(function, ())) + self._at_work(function))
        if self.waits >= self.queue:
            self._turn_away(ask, FULL, now)
        elif self._replicas(function):
            ask.warmth = FOUND
            self._wait(ask)
        elif self.loads.count(function):
            ask.warmth = AWAITED
            self._wait(ask)
        elif self.answers_miss:
            self._turn_away(ask, MISS, now)
        elif now < self.loads.barred_until(function):
            self._turn_away(ask, MISS, now, LOAD_FAILED)
        elif not self._wish(function, mb, lanes, now):
            self._turn_away(ask, FULL, now)
        else:
            ask.warmth = BEGAN
            self._wait(ask)

    def cancelled(self, now: float, front: Any, serial: int, number: int) -> None:
        if (ask := self.asks.get((front, serial, number))) is not None:
            self._give_up(ask, now)

    def front_gone(self, now: float, front: Any) -> None:
        """Its requests stop; what it ordered is still loaded, but it hears of nothing."""
        for ask in [a for a in self.asks.values() if a.front is front]:
            self._give_up(ask, now)
        for waiting in self.load_requests.values():
            waiting[:] = [o for o in waiting if o[0] is not front]

    def load_requested(
        self, now: float, front: Any, id: int, function: str, replicas: int, mb: float, lanes: int
    ) -> None:
        stand = self._replicas(function)
        for copy in stand:
            if not copy.calls:
                self._idle(copy, now)
        if replicas <= len(stand):
            self._stood(front, id, SUCCEEDED, len(stand))
        elif self.draining:
            self._stood(front, id, FULL, len(stand))
        elif now < self.loads.barred_until(function):
            self._stood(front, id, ERROR, len(stand))
        else:
            # five front ends that order the same: the loads under way count for all of them
            for _ in range(replicas - len(stand) - self.loads.count(function)):
                if not self._wish(function, mb, lanes, now):
                    self._stood(front, id, FULL, len(stand))
                    return
            until = now + self.load_patience_ms
            for load in self.loads.of.get(function, {}).values():
                load.ordered_until = max(load.ordered_until, until)
            self.load_requests.setdefault(function, []).append((front, id, replicas, until))
        self.look = True

    def unloaded(self, now: float, function: str) -> None:
        for copy in [c for c in self.of.get(function, {}).values() if not c.calls]:
            self._end(copy, "unloaded by order")

    def load_told(self, now: float, id: int, digest: str, mb: float, lanes: int) -> None:
        """The store's word on the package of a load: its digest, and what its manifest says of a copy."""
        load = self.loads.under_way.get(id)
        if load is None:
            return
        self.digests[load.function] = load.digest = digest
        if not self.budget.grow(id, mb):
            idle = self.budget.room_for(mb - self.budget.told[id], self.keeper.least_first())
            for copy in idle or ():
                self._evict(copy)
            if idle is None or not self.budget.grow(id, mb):
                self._no_room(load, now)
                return
        load.mb, load.lanes = mb, lanes

    def load_stood(self, now: float, id: int) -> None:
        """The copy of this load is ready for calls."""
        load = self.loads.under_way.get(id)
        if load is None:
            self.acts.append(Act(Do.END_REPLICA, id, text="nothing waits for it any more"))
            return
        took = now - load.began_ms
        known = self.load_ms.get(load.function)
        self.load_ms[load.function] = took if known is None else known + LOAD_GAIN * (took - known)
        self.loads.stood(load)
        self.budget.stands(id)
        copy = Replica(id, load.function, load.digest, load.lanes, self.load_ms[load.function])
        copy.void = bool(load.digest) and self.digests.get(load.function) != load.digest
        self.replicas[id] = copy
        self.of.setdefault(load.function, {})[id] = copy
        self._idle(copy, now)
        if copy.void:
            self._end(copy, "released anew while it loaded")
        self._tell_load_requests(load.function)
        self.look = True

    def load_failed(self, now: float, id: int, why: str) -> None:
        """Fetch, check or start failed: its requests never ran, the room comes back."""
        load = self.loads.under_way.get(id)
        if load is None:
            return
        self.counts[f"load failed: {why}"] += 1
        self.loads.failed(load, now)
        self.budget.give_back(id)
        self._fail_waiting(load.function, MISS, LOAD_FAILED, ERROR, now)
        self.look = True

    def call_ended(self, now: float, copy: int, call: int, good: bool, body: bytes) -> None:
        """A call's own end: its answer, that it raised, or that it stopped."""
        c = self.replicas.get(copy)
        if c is None or call not in c.calls:
            return
        ask = c.calls.pop(call)
        c.stopping.pop(call, None)
        self.in_work -= 1
        if not c.calls:
            self._idle(c, now)
        self._done(ask, SUCCEEDED if good else ERROR, body, now)
        if c.void and not c.calls:
            self._end(c, "released anew")
        self.look = True

    def replica_died(self, now: float, copy: int, why: str) -> None:
        """Its process is gone: what ran there may have run."""
        if copy in self.loads.under_way:
            self.load_failed(now, copy, why)
            return
        if (c := self.replicas.get(copy)) is not None:
            self.counts["copy died"] += 1
            self._lose(c, now)

    def memory_seen(self, now: float, own_mb: float, replicas: dict[int, float]) -> None:
        """What the system says of the worker's own process and of each copy with all that it forked."""
        self.budget.own_mb = own_mb
        for copy, mb in replicas.items():
            self.budget.saw(copy, mb)
        while True:
            relief = self.budget.relief(self.keeper.least_first())
            for copy in relief.idle:
                self._evict(copy)
            if relief.over_user in self.replicas:
                self.counts["over-user ended"] += 1
                c = self.replicas[relief.over_user]
                self.acts.append(Act(Do.END_REPLICA, c.id, text="took more memory than it told"))
                self._lose(c, now)
            elif (
                load := self.loads.under_way.get(
                    relief.load if relief.over_user is None else relief.over_user
                )
            ) is not None:  # the newest load, or one whose process grows past what it told while it starts
                self._no_room(load, now)
            else:
                return
            self.look = True

    def released_anew(self, now: float, function: str, digest: str) -> None:
        """The store's name points at another package: old copies take nothing new and go when done."""
        if self.digests.get(function) == digest:
            return
        self.digests[function] = digest
        self.loads.pardon(function)
        for copy in list(self.of.get(function, {}).values()):
            if copy.digest != digest:
                copy.void = True
                if not copy.calls:
                    self._end(copy, "released anew")
        self.look = True

    def drain(self, now: float) -> None:
        """Nothing new from now on: what has a copy, or a load under way, goes on; the rest is turned away."""
        self.draining = self.look = True
        for load in list(self.loads.line.values()):
            self.loads.over(load)
        for function in list(self.waiting):
            if not self.of.get(function):
                self._fail_waiting(function, FULL, UNTOLD, FULL, now)
        for function, waiting in list(self.load_requests.items()):
            for front, id, _, _ in waiting:
                self._stood(front, id, FULL, len(self._replicas(function)))
        self.load_requests.clear()

    def time_passed(self, now: float) -> None:
        self.wake_ms = math.inf

    # -- outputs

    def decide(self, now: float) -> Act | None:
        while self.due and self.due[0][0] <= now:
            ask = heapq.heappop(self.due)[2]
            if not ask.over:
                self.counts["out of time"] += 1
                self._give_up(ask, now)
        if now >= self.tidy_ms:
            self._tidy(now)
        if self.look and not self.acts:
            self.look = False
            self._lanes(now)
            self._start_loads(now)
        if self.acts:
            return self.acts.popleft()
        wake = min(self.tidy_ms, self.due[0][0] if self.due else math.inf)
        if wake >= self.wake_ms:
            return None
        self.wake_ms = wake
        return Act(Do.WAKE, ms=wake)

    def report(self) -> Report:
        pinned = sum(self.budget.held_mb(c.id) for c in self.replicas.values() if c.calls)
        pinned += sum(map(self.budget.held_mb, self.budget.loading))
        loads = len(self.loads.line) + len(self.loads.under_way)
        seen = self.budget.own_mb + sum(self.budget.seen.values())
        return Report(
            self.waits, self.waits + self.in_work, loads, min(1.0, pinned / self.budget.total_mb), seen
        )

    def empty(self) -> bool:
        """Nothing is owed and nothing runs."""
        return not self.asks and not self.in_work and not self.loads.under_way

    # -- requests

    def _enter(self, ask: Ask) -> None:
        self.asks[ask.front, ask.serial, ask.number] = ask
        self.serial += 1
        heapq.heappush(self.due, (ask.until_ms, self.serial, ask))

    def _wait(self, ask: Ask) -> None:
        self._enter(ask)
        self.waiting.setdefault(ask.function, deque()).append(ask)
        self.waits += 1
        self.look = True

    def _say(self, ask: Ask, outcome: int, warmth: int = UNTOLD, body: bytes = b"") -> None:
        self.acts.append(
            Act(
                Do.ENDED,
                front=ask.front,
                serial=ask.serial,
                number=ask.number,
                outcome=outcome,
                warmth=warmth,
                crowd=ask.crowd,
                body=body,
            )
        )

    def _turn_away(self, ask: Ask, outcome: int, now: float, warmth: int = UNTOLD) -> None:
        """It never ran; whoever attached to it as a repeat neither."""
        self._say(ask, outcome, warmth)
        if ask.stamped_ms > 0.0:
            for other in self.repeats.ended(ask.mark, False, b"", now):
                self._leave(other)
                self._say(other, outcome, warmth)

    def _leave(self, ask: Ask) -> None:
        ask.over = True
        self.asks.pop((ask.front, ask.serial, ask.number), None)

    def _done(self, ask: Ask, outcome: int, body: bytes, now: float) -> None:
        """A call is over: the request hears, and those that attached to it."""
        if not ask.over:
            self._leave(ask)
            self._say(ask, outcome, ask.warmth, body if outcome == SUCCEEDED else b"")
        if ask.stamped_ms > 0.0:
            for other in self.repeats.ended(ask.mark, outcome == SUCCEEDED, body, now):
                self._leave(other)
                self._say(
                    other,
                    outcome,
                    FOUND if outcome == SUCCEEDED else UNTOLD,
                    body if outcome == SUCCEEDED else b"",
                )

    def _give_up(self, ask: Ask, now: float) -> None:
        """Withdrawn, out of time, or its front end is gone: nothing is said, its work stops."""
        self._leave(ask)
        queue = self.waiting.get(ask.function)
        if ask.call < 0 and queue is not None and ask in queue:
            queue.remove(ask)
            self.waits -= 1
            if not queue:
                del self.waiting[ask.function]
            heir = self._heir(ask, now)
            if heir is not None:
                self._wait(heir)
        elif ask.call >= 0:
            copy = next((c for c in self.of.get(ask.function, {}).values() if ask.call in c.calls), None)
            # danger: a repeat that attached still waits for this one's effect
            if copy is not None and not (
                ask.stamped_ms > 0.0 and self.repeats.running.get(ask.mark, (0, []))[1]
            ):
                self._stop(copy, ask.call, now)
        elif ask.stamped_ms > 0.0:
            self.repeats.left(ask.mark, ask)
        self.look = True

    def _heir(self, ask: Ask, now: float) -> Ask | None:
        """A stamped one leaves before it ran: the first that attached to it takes its place."""
        if ask.stamped_ms <= 0.0:
            return None
        others = self.repeats.ended(ask.mark, False, b"", now)
        if not others:
            return None
        heir, *rest = others
        heir.warmth = ask.warmth
        self.asks.pop((heir.front, heir.serial, heir.number), None)
        self.repeats.came(heir.mark, heir, now, heir.stamped_ms)
        for other in rest:
            self.repeats.came(other.mark, other, now, other.stamped_ms)
        return heir

    def _stop(self, copy: Replica, call: int, now: float) -> None:
        if call in copy.stopping:
            return
        if sum(len(c.stopping) for c in self.replicas.values()) >= STOP_BOUND:
            self.acts.append(Act(Do.END_REPLICA, copy.id, text="too many calls that do not stop"))
            self._lose(copy, now)
            return
        copy.stopping[call] = now + self.stop_grace_ms
        self.acts.append(Act(Do.STOP_CALL, copy.id, call))

    def _lanes(self, now: float) -> None:
        """Waiting requests go to free lanes, the oldest deadline first where slots are few."""
        functions = list(self.waiting)
        if self.in_work + self.waits > self.slots:
            functions.sort(key=lambda f: self.waiting[f][0].until_ms)
        for function in functions:
            queue = self.waiting[function]
            while queue and self.in_work < self.slots:
                # the fullest copy with a free lane: others may fall idle and make room
                free = [c for c in self._replicas(function) if len(c.calls) < c.lanes]
                if not free:
                    self._one_more(function, queue[0], now)
                    break
                self._call(max(free, key=lambda c: (len(c.calls), -c.id)), queue.popleft())
            if function in self.waiting and not self.waiting[function]:
                del self.waiting[function]

    def _call(self, copy: Replica, ask: Ask) -> None:
        self.waits -= 1
        self.in_work += 1
        self.call_ids += 1
        ask.call = self.call_ids
        copy.calls[ask.call] = ask
        self.keeper.busy(copy.id)
        self.acts.append(Act(Do.CALL, copy.id, ask.call, body=ask.body))

    def _one_more(self, function: str, ask: Ask, now: float) -> None:
        stand, barred = self._replicas(function), now < self.loads.barred_until(function)
        if self.loads.count(function) or stand and (not self.more_replicas or self.draining or barred):
            return
        if not stand and self.draining:
            self._fail_waiting(function, FULL, UNTOLD, FULL, now)
        elif not stand and barred:
            self._fail_waiting(function, MISS, LOAD_FAILED, ERROR, now)
        elif not stand and self.answers_miss:  # its copy went while it waited
            self._fail_waiting(function, MISS, UNTOLD, ERROR, now)
        elif not self._wish(function, ask.mb, ask.lanes, now) and not stand:
            self._fail_waiting(function, FULL, UNTOLD, FULL, now)

    # -- loads

    def _wish(self, function: str, mb: float, lanes: int, now: float) -> bool:
        if mb > self.budget.total_mb - self.budget.own_mb:
            return False
        self.ids += 1
        return self.loads.wish(Load(self.ids, function, mb, lanes, now))

    def _start_loads(self, now: float) -> None:
        while True:
            deadlines = {f: min(a.until_ms for a in q) for f, q in self.waiting.items()}
            load, idle = self.loads.next(deadlines, now)
            self.counts["load left out"] += len(idle)
            if load is None or self.draining:
                return
            going = self.budget.room_for(load.mb, self.keeper.least_first())
            if going is None:
                return  # what is at work ends, or the load's patience does
            for copy in going:
                self._evict(copy)
            self.loads.begin(load, now)
            self.budget.reserve(load.id, load.mb)
            self.acts.append(Act(Do.LOAD, load.id, function=load.function))

    def _no_room(self, load: Load, now: float) -> None:
        self.counts["load without room"] += 1
        self.look = True
        self.acts.append(Act(Do.DROP_LOAD, load.id, function=load.function))
        self.loads.over(load)
        self.budget.give_back(load.id)
        self._fail_waiting(load.function, FULL, UNTOLD, FULL, now)

    def _fail_waiting(
        self, function: str, outcome: int, warmth: int, load_request_outcome: int, now: float
    ) -> None:
        """Nothing is going to serve what waits here: say so, unless a copy or another load may."""
        if self._replicas(function) or self.loads.count(function):
            return
        for ask in self.waiting.pop(function, ()):
            self.waits -= 1
            self._leave(ask)
            self._turn_away(ask, outcome, now, warmth)
        for front, id, _, _ in self.load_requests.pop(function, ()):
            self._stood(front, id, load_request_outcome, 0)

    def _stood(self, front: Any, id: int, outcome: int, replicas: int) -> None:
        self.acts.append(Act(Do.STOOD, front=front, serial=id, outcome=outcome, number=replicas))

    def _tell_load_requests(self, function: str) -> None:
        stand = len(self._replicas(function))
        waiting = self.load_requests.get(function, [])
        for front, id, _, _ in [o for o in waiting if o[2] <= stand]:
            self._stood(front, id, SUCCEEDED, stand)
        waiting[:] = [o for o in waiting if o[2] > stand]
        if not waiting:
            self.load_requests.pop(function, None)

    # -- copies

    def _replicas(self, function: str) -> list[Replica]:
        return [c for c in self.of.get(function, {}).values() if not c.void]

    def _at_work(self, function: str) -> int:
        return sum(len(c.calls) for c in self.of.get(function, {}).values())

    def _idle(self, copy: Replica, now: float) -> None:
        copy.idle_ms = now
        self.keeper.idle(copy.id, copy.function, self.budget.held_mb(copy.id), copy.load_ms, now)

    def _evict(self, copy: int) -> None:
        self.counts["evicted"] += 1
        self.keeper.evicted(copy)
        self._end(self.replicas[copy], "its room is needed")

    def _end(self, copy: Replica, why: str) -> None:
        self.acts.append(Act(Do.END_REPLICA, copy.id, text=why))
        self._remove(copy)

    def _remove(self, copy: Replica) -> None:
        del self.replicas[copy.id]
        mine = self.of[copy.function]
        del mine[copy.id]
        if not mine:
            del self.of[copy.function]
        self.keeper.busy(copy.id)
        self.budget.give_back(copy.id)
        self.look = True

    def _lose(self, copy: Replica, now: float) -> None:
        """A copy is gone with its calls."""
        self._remove(copy)
        self.in_work -= len(copy.calls)
        for ask in copy.calls.values():
            self._done(ask, ERROR, b"", now)

    def _tidy(self, now: float) -> None:
        self.tidy_ms = now + TIDY_MS
        for copy in list(self.replicas.values()):
            if not copy.calls and now - copy.idle_ms > self.keep_ms:
                self._end(copy, "idle")
            elif any(until <= now for until in copy.stopping.values()):
                self.counts["did not stop"] += 1
                self.acts.append(Act(Do.END_REPLICA, copy.id, text="a call did not stop within its grace"))
                self._lose(copy, now)
        for function, waiting in list(self.load_requests.items()):
            for front, id, _, _ in [o for o in waiting if o[3] <= now]:
                self._stood(front, id, FULL, len(self._replicas(function)))
            waiting[:] = [o for o in waiting if o[3] > now]
            if not waiting:
                del self.load_requests[function]
        self.loads.forget(now)
        self.repeats.forget(now)
        kept = set(self.of) | set(self.loads.of) | set(self.waiting)
        self.keeper.forget(now, kept)
        for table in (self.load_ms, self.digests):
            for function in [f for f in table if f not in kept and f not in self.keeper.uses]:
                del table[function]
        self.look = True
