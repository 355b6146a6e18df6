"""The model of one executor process, without sockets: cores, lanes, queue, memory, copies, loads,
cold start. It is driven by calls, a clock with callLater, and chance handed in; what it says goes out by
`say_*`. Nothing here knows the module. Times in ms; work in ms on a core of speed 1.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

SUCCEEDED, ERROR, FULL, MISS = 0, 1, 2, 8
FOUND, BEGAN, AWAITED, LOAD_FAILED = 1, 2, 3, 4
SWEEP_MS = 500.0
MARKS_BOUND = 100_000


class Work(NamedTuple):
    """One request as the executor sees it."""

    front: object  # whoever must hear of its end
    serial: int
    number: int
    mark: str
    function: str
    memory_mb: float
    lanes: int
    tenant: str
    keyed: bool
    work_ms: float
    io_ms: float
    until_ms: float


class Replica:
    def __init__(self, function: str, memory_mb: float, lanes: int) -> None:
        self.function, self.memory_mb, self.lanes = function, memory_mb, lanes
        self.busy, self.idle_ms = 0, 0.0
        self.void = False


class Job:
    def __init__(self, work: Work, warmth: int, crowd: int) -> None:
        self.work, self.warmth, self.crowd = work, warmth, crowd
        self.copy: Replica | None = None  # runs there
        self.on_core = self.over = False
        self.timer = None


class Loading:
    def __init__(self, function: str, memory_mb: float, lanes: int, load_requested: bool) -> None:
        self.function, self.memory_mb, self.lanes, self.load_requested = (
            function,
            memory_mb,
            lanes,
            load_requested,
        )
        self.begun = False


class Marks:
    """Marks that a group of executors has succeeded: a repeat is answered without running."""

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.done: OrderedDict[str, float] = OrderedDict()

    def seen(self, mark: str, now: float) -> bool:
        return now - self.done.get(mark, -1e18) < self.window_ms

    def add(self, mark: str, now: float) -> None:
        self.done[mark] = now
        if len(self.done) > MARKS_BOUND:
            self.done.popitem(last=False)


class Machine:
    """One process of an executor, from its start to its death."""

    def __init__(
        self,
        clock,
        random_source: random.Random,
        cores: int,
        speed: float,
        slots: int,
        queue: int,
        memory_mb: float,
        loads_at_once: int,
        keep_ms: float,
        eager: bool,
        answers_miss: bool,
        error_rate: float,
        load_fail: float,
        fail_outcome: int,
        images: bool,
        cold_share: float,
        warm_ms: float,
        started_ms: float,
        marks: Marks,
        fetch: Callable[[str, Callable[[bool], None]], None],
        start_ms: Callable[[str], float],
        say_ended: Callable,
        say_stood: Callable,
        note: Callable,
    ) -> None:
        self.clock, self.random_source, self.cores, self.speed = clock, random_source, cores, speed
        self.slots, self.queue, self.memory_mb = slots, queue, memory_mb
        self.loads_at_once, self.keep_ms = loads_at_once, keep_ms
        self.eager, self.answers_miss = eager, answers_miss
        self.error_rate, self.load_fail, self.fail_outcome = error_rate, load_fail, fail_outcome
        self.images: set[str] | None = set() if images else None
        self.cold_share, self.warm_ms, self.started_ms = cold_share, warm_ms, started_ms  # started 0: warm
        self.marks, self.fetch, self.start_ms = marks, fetch, start_ms
        self.say_ended, self.say_stood, self.note = say_ended, say_stood, note
        self.replicas: dict[str, list[Replica]] = {}
        self.loading: dict[str, list[Loading]] = {}
        self.load_queue: deque[Loading] = deque()
        self.loads = 0  # begun
        self.used_mb = 0.0
        self.waiting: dict[str, deque[Job]] = {}
        self.waits = 0
        self.jobs: dict[tuple[object, int, int], Job] = {}
        self.running: list[tuple[float, int, Job]] = []  # by the progress at which each is done
        self.in_work = 0  # slots taken
        self.shared = 0  # of those, on the cores
        self.progress = self.progress_ms = 0.0
        self.serial = 0
        self.load_requests: dict[str, list[tuple[object, int, int]]] = {}
        self.timer = self.sweeper = None
        self.slowed = 1.0
        self.errors = self.error_rate
        self.frozen = 0
        self.held: list[Callable[[], None]] = []
        self.dead = False
        self.throttle: tuple[str, float, float] | None = None  # tenant, requests a second, ms to say so
        self.throttle_seen: deque[float] = deque()
        self.progress_ms = self.now()
        self.sweeper = clock.callLater(SWEEP_MS / 1e3, self._sweep)

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    def capacity(self) -> float:
        """Share of the full capacity at this moment: a cold process can do only part of it."""
        if not self.started_ms or self.warm_ms <= 0.0:
            return 1.0
        return min(
            1.0, self.cold_share + (1.0 - self.cold_share) * (self.now() - self.started_ms) / self.warm_ms
        )

    # -- inputs

    def take(self, work: Work) -> None:
        if self.dead:
            return
        if self.frozen:
            self.held.append(lambda: self.take(work))
            return
        now = self.now()
        if now >= work.until_ms:
            return
        if self._throttled(work.tenant, now):
            self.clock.callLater(self.throttle[2] / 1e3, self.say_ended, work, FULL, 0, 0)
            return
        if work.keyed and self.marks.seen(work.mark, now):
            self.note("dropped repeat", work)
            self.say_ended(work, SUCCEEDED, FOUND, 0)
            return
        if self.waits >= self.queue:
            self.say_ended(work, FULL, 0, 0)
            return
        f = work.function
        crowd = 1 + min(29, len(self.waiting.get(f, ())) + sum(c.busy for c in self.replicas.get(f, ())))
        warmth = FOUND
        if not self.replicas.get(f):
            warmth = AWAITED if self.loading.get(f) else BEGAN
            if warmth == BEGAN and self.answers_miss:
                self.say_ended(work, MISS, 0, crowd)
                return
        job = Job(work, warmth, crowd)
        self.jobs[work.front, work.serial, work.number] = job
        self.waiting.setdefault(f, deque()).append(job)
        self.waits += 1
        job.timer = self.clock.callLater((work.until_ms - now) / 1e3, self._drop, job)
        if warmth == BEGAN and not self._want_load(f, work.memory_mb, work.lanes, False):
            self._drop(job)
            self.say_ended(work, FULL, 0, crowd)
            return
        self._dispatch(f)

    def cancel_attempt(self, front: object, serial: int, number: int) -> None:
        if (job := self.jobs.get((front, serial, number))) is not None:
            self._drop(job)

    def order(
        self, front: object, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> None:
        if self.dead:
            return
        if self.frozen:
            self.held.append(lambda: self.order(front, id, function, replicas, memory_mb, lanes))
            return
        stand, loading = self.replicas.get(function, []), self.loading.get(function, [])
        for copy in stand:
            copy.idle_ms = self.now()
        if replicas <= len(stand):
            self.say_stood(front, id, SUCCEEDED, len(stand))
            return
        for _ in range(replicas - len(stand) - len(loading)):
            if not self._want_load(function, memory_mb, lanes, True):
                self.say_stood(front, id, FULL, len(stand))
                return
        self.load_requests.setdefault(function, []).append((front, id, replicas))

    def unload(self, function: str) -> None:
        for copy in [c for c in self.replicas.get(function, ()) if not c.busy]:
            self._remove(copy)

    def front_lost(self, front: object) -> None:
        """Its requests stop; what it ordered is still loaded."""
        for job in [j for j in self.jobs.values() if j.work.front is front]:
            self._drop(job)
        for waiting in self.load_requests.values():
            waiting[:] = [o for o in waiting if o[0] is not front]

    def load(self) -> tuple[int, int, int, float]:
        """Queue, in hand, loads, share of memory that can't be freed."""
        pinned = sum(c.memory_mb for cs in self.replicas.values() for c in cs if c.busy)
        pinned += sum(x.memory_mb for xs in self.loading.values() for x in xs if x.begun)
        return (
            self.waits,
            self.waits + self.in_work,
            self.loads + len(self.load_queue),
            pinned / self.memory_mb,
        )

    # -- faults

    def freeze(self, on: bool) -> None:
        """Takes work, does none, says nothing. Calls may overlap: each on needs its off."""
        self._advance()
        self.frozen = max(0, self.frozen + (1 if on else -1))
        if not self.frozen:
            held, self.held = self.held, []
            for call in held:
                call()
        self._schedule()

    def slow(self, factor: float) -> None:
        self._advance()
        self.slowed = factor
        self._schedule()

    def flush(self, hit: Callable[[str], bool]) -> None:
        """The functions are released anew: their copies and images go void."""
        for function, replicas in list(self.replicas.items()):
            if hit(function):
                for copy in list(replicas):
                    if copy.busy:
                        copy.void = True  # goes when its work is done; takes nothing new
                    else:
                        self._remove(copy)
        if self.images is not None:
            self.images = {f for f in self.images if not hit(f)}

    def die(self) -> None:
        self.dead = True
        for call in (self.timer, self.sweeper, *(j.timer for j in self.jobs.values())):
            if call is not None and call.active():
                call.cancel()
        self.jobs.clear()

    # -- requests

    def _throttled(self, tenant: str, now: float) -> bool:
        if self.throttle is None or tenant != self.throttle[0]:
            return False
        seen = self.throttle_seen
        while seen and seen[0] < now - 1000.0:
            seen.popleft()
        if len(seen) >= max(1.0, self.throttle[1]):
            return True
        seen.append(now)
        return False

    def _dispatch(self, function: str) -> None:
        queue = self.waiting.get(function)
        while queue and self.in_work < self.slots and not self.frozen:
            copy = next((c for c in self.replicas.get(function, ()) if c.busy < c.lanes and not c.void), None)
            if copy is None:
                usable = [c for c in self.replicas.get(function, ()) if not c.void]
                if self.loading.get(function):
                    return
                if (self.eager and usable) or (not usable and not self.answers_miss):
                    self._want_load(function, queue[0].work.memory_mb, queue[0].work.lanes, False)
                elif not self.replicas.get(function):  # the copy went while they waited
                    self._turn_away(function, MISS, 0)
                return
            job = queue.popleft()
            self.waits -= 1
            self._run(job, copy)
        if queue is not None and not queue:
            del self.waiting[function]

    def _run(self, job: Job, copy: Replica) -> None:
        copy.busy += 1
        job.copy = copy
        self.in_work += 1
        self.note("ran", job.work)
        self._advance()
        self.shared += 1
        job.on_core = True
        self.serial += 1
        heapq.heappush(self.running, (self.progress + max(0.01, job.work.work_ms), self.serial, job))
        self._schedule()

    def _rate(self) -> float:
        """Work done for each running request in a ms."""
        if self.frozen or not self.shared:
            return 0.0
        return self.speed * self.capacity() * min(1.0, self.cores / self.shared) / self.slowed

    def _advance(self) -> None:
        now = self.now()
        self.progress += (now - self.progress_ms) * self._rate()
        self.progress_ms = now

    def _schedule(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)
        rate = self._rate()
        if self.running and rate > 0.0 and not self.dead:
            wait = max(0.0, (self.running[0][0] - self.progress) / rate)
            if self.capacity() < 1.0:
                wait = min(wait, 100.0)  # it warms up meanwhile
            self.timer = self.clock.callLater(wait / 1e3, self._done)

    def _done(self) -> None:
        self._advance()
        finished = []
        while self.running and (self.running[0][2].over or self.running[0][0] <= self.progress + 1e-3):
            job = heapq.heappop(self.running)[2]
            if not job.over:
                finished.append(job)
        self.shared -= len(finished)
        self._schedule()
        for job in finished:
            job.on_core = False
            if job.work.io_ms > 0.0:  # it holds its lane and its slot, but no core
                self.clock.callLater(job.work.io_ms / 1e3, self._finish, job)
            else:
                self._finish(job)

    def _finish(self, job: Job) -> None:
        if job.over or self.dead:
            return
        copy = job.copy
        self._leave(job, copy)
        outcome = ERROR if self.random_source.random() < self.errors else SUCCEEDED
        if outcome == SUCCEEDED and job.work.keyed:
            self.marks.add(job.work.mark, self.now())
        self._say(job.work, outcome, job.warmth, job.crowd)
        self._settle(copy)

    def _say(self, work: Work, outcome: int, warmth: int, crowd: int) -> None:
        if self.frozen:
            self.held.append(lambda: self._say(work, outcome, warmth, crowd))
        elif not self.dead:
            self.say_ended(work, outcome, warmth, crowd)

    def _leave(self, job: Job, copy: Replica | None) -> None:
        job.over = True
        if job.timer is not None and job.timer.active():
            job.timer.cancel()
        self.jobs.pop((job.work.front, job.work.serial, job.work.number), None)
        if copy is not None:
            copy.busy -= 1
            copy.idle_ms = self.now()
            self.in_work -= 1

    def _settle(self, copy: Replica) -> None:
        """A lane and a slot are free: whoever waits may go on, and a load may find room."""
        if copy.void and not copy.busy and copy in self.replicas.get(copy.function, ()):
            self._remove(copy)
        self._dispatch(copy.function)
        if self.waits and self.in_work < self.slots:
            for function in list(self.waiting):
                self._dispatch(function)
        self._start_loads()

    def _drop(self, job: Job) -> None:
        """Withdrawn, or its time is up: the work stops, nothing is said."""
        if job.over:
            return
        copy = job.copy
        if copy is None and job.work.function in self.waiting and job in self.waiting[job.work.function]:
            self.waiting[job.work.function].remove(job)
            if not self.waiting[job.work.function]:
                del self.waiting[job.work.function]
            self.waits -= 1
            self._leave(job, None)
        elif copy is not None:
            self._advance()
            self.shared -= job.on_core
            self._leave(job, copy)
            self._schedule()
            self._settle(copy)

    # -- loads and copies

    def _want_load(self, function: str, memory_mb: float, lanes: int, load_requested: bool) -> bool:
        if memory_mb > self.memory_mb or len(self.load_queue) >= 2 * self.loads_at_once:
            return False
        loading = Loading(function, memory_mb, lanes, load_requested)
        self.loading.setdefault(function, []).append(loading)
        self.load_queue.append(loading)
        self._start_loads()
        return True

    def _start_loads(self) -> None:
        while self.load_queue and self.loads < self.loads_at_once and not self.dead:
            loading = self.load_queue[0]
            if not loading.load_requested and not self.waiting.get(loading.function):
                self.load_queue.popleft()  # nothing waits for it any more
                self._load_over(loading)
                continue
            if not self._make_room(loading.memory_mb):
                return
            self.load_queue.popleft()
            self.loads += 1
            self.used_mb += loading.memory_mb
            loading.begun = True
            if self.images is not None and loading.function in self.images:
                self._fetched(loading, True)
            else:
                self.fetch(loading.function, lambda good, loading=loading: self._fetched(loading, good))

    def _make_room(self, memory_mb: float) -> bool:
        if self.used_mb + memory_mb <= self.memory_mb:
            return True
        idle = sorted((c for cs in self.replicas.values() for c in cs if not c.busy), key=lambda c: c.idle_ms)
        if self.used_mb - sum(c.memory_mb for c in idle) + memory_mb > self.memory_mb:
            return False
        for copy in idle:
            self._remove(copy)
            if self.used_mb + memory_mb <= self.memory_mb:
                return True
        return True

    def _fetched(self, loading: Loading, good: bool) -> None:
        if self.dead:
            return
        if not good or self.random_source.random() < self.load_fail:
            self._load_failed(loading)
            return
        if self.images is not None:
            self.images.add(loading.function)
        self.clock.callLater(self.start_ms(loading.function) / 1e3, self._stands, loading)

    def _stands(self, loading: Loading) -> None:
        if self.dead:
            return
        if self.frozen:
            self.held.append(lambda: self._stands(loading))
            return
        self.loads -= 1
        self._load_over(loading)
        copy = Replica(loading.function, loading.memory_mb, loading.lanes)
        copy.idle_ms = self.now()
        self.replicas.setdefault(loading.function, []).append(copy)
        count = len(self.replicas[loading.function])
        waiting = self.load_requests.get(loading.function, [])
        for front, id, _ in [o for o in waiting if o[2] <= count]:
            self.say_stood(front, id, SUCCEEDED, count)
        waiting[:] = [o for o in waiting if o[2] > count]
        if not waiting:
            self.load_requests.pop(loading.function, None)
        self._dispatch(loading.function)
        self._start_loads()

    def _load_failed(self, loading: Loading) -> None:
        self.loads -= 1
        self.used_mb -= loading.memory_mb
        self._load_over(loading)
        f = loading.function
        if not self.loading.get(f):
            count = len(self.replicas.get(f, ()))
            for front, id, _ in self.load_requests.pop(f, []):
                self.say_stood(front, id, ERROR, count)
            if not count:
                self._turn_away(f, self.fail_outcome, LOAD_FAILED)
        self._start_loads()

    def _turn_away(self, function: str, outcome: int, warmth: int) -> None:
        for job in list(self.waiting.pop(function, ())):
            self.waits -= 1
            self._leave(job, None)
            self._say(job.work, outcome, warmth, job.crowd)

    def _load_over(self, loading: Loading) -> None:
        rest = self.loading.get(loading.function, [])
        if loading in rest:
            rest.remove(loading)
        if not rest:
            self.loading.pop(loading.function, None)

    def _remove(self, copy: Replica) -> None:
        replicas = self.replicas[copy.function]
        replicas.remove(copy)
        if not replicas:
            del self.replicas[copy.function]
        self.used_mb -= copy.memory_mb

    def _sweep(self) -> None:
        now = self.now()
        if not self.frozen:
            for replicas in list(self.replicas.values()):
                for copy in [c for c in replicas if not c.busy and now - c.idle_ms > self.keep_ms]:
                    self._remove(copy)
            self._start_loads()
        self.sweeper = self.clock.callLater(SWEEP_MS / 1e3, self._sweep)
