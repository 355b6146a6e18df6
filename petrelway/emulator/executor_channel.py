"""An emulated link: what petrelway's own links do, message by message instead of byte by byte."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from ..fakes.executor_model import Work
from ..fakes.in_memory_network import World
from ..fakes.process_lifecycle import Life
from ..gateway.attempt_ledger import AttemptKey
from ..gateway.backoff import Backoff
from ..gateway.channel_base import NO_LOAD, ChannelListener, ChannelReports, QuestionKind
from ..gateway.executor_channel import GREETING_TIMEOUT_MS, RETRY_LEAST_MS, RETRY_MOST_MS
from ..routing.types import Outcome
from .network import DIAL_MS, Network

WAITING_BOUND = 1024  # messages that nobody reads or that a cut keeps; past it the link is broken off


class Cable:
    """The messages of one way between two zones, in order; what meets a cut goes on when it ends."""

    __slots__ = ("held", "last_ms", "network", "one", "other", "sim")

    def __init__(self, sim: World, network: Network, one: int, other: int) -> None:
        self.sim, self.network, self.one, self.other = sim, network, one, other
        self.last_ms = 0.0
        self.held: list[tuple[Callable, tuple]] | None = None

    def carry(self, what: Callable, *args: Any) -> None:
        network, sim = self.network, self.sim
        if self.held is not None or not network.reaches(self.one, self.other):
            if self.held is None:
                self.held = []
                self._look()
            self.held.append((what, args))
            return
        now = sim.now_s * 1e3
        self.last_ms = at = network.arrival(now, self.one, self.other, self.last_ms)
        sim.at(at, what, *args)

    def _look(self) -> None:
        """Sent again and again until the cut is over, as TCP does."""
        if not self.network.reaches(self.one, self.other):
            self.sim.later(self.network.again_ms / 1e3, self._look)
            return
        held, self.held = self.held, None
        for what, args in held:
            self.carry(what, *args)


class Wire:
    """One connection, as the executor's life sees it."""

    __slots__ = (
        "back",
        "broken",
        "front",
        "inbox",
        "life",
        "link",
        "process",
        "reading",
        "sent_ms",
        "sim",
        "started_ms",
        "there",
    )

    def __init__(self, link: EmulatedLink, life: Life, sim: World, network: Network, zone: int) -> None:
        self.link, self.life = link, life
        self.front, self.process = link.front_end, link.process
        self.started_ms = life.started_ms
        self.there = Cable(sim, network, zone, life.post.zone)
        self.back = Cable(sim, network, life.post.zone, zone)
        self.broken, self.reading = False, not life.never_read
        self.inbox: deque[tuple[float, Callable, tuple]] = deque()
        self.sim, self.sent_ms = sim, 0.0
        life.wires.append(self)

    def say(self, what: Callable, *args: Any) -> None:
        """The front end's words, in order."""
        if len(self.inbox) + len(self.there.held or ()) >= WAITING_BOUND:
            self.link.hang_up()
        else:
            self.there.carry(self._arrive, self.sim.now_s * 1e3, what, args)

    # -- at the executor

    def _arrive(self, sent_ms: float, what: Callable, args: tuple) -> None:
        if self.broken or self.life.machine is None:
            return
        if self.reading:
            self.sent_ms = sent_ms
            what(*args)
        else:
            self.inbox.append((sent_ms, what, args))

    def front_gone(self) -> None:
        """The front end closed it, or is dead."""
        if self.broken:
            return
        self.broken = True
        if self in self.life.wires:
            self.life.wires.remove(self)
        if self.life.machine is not None:
            self.life.machine.front_lost(self)

    # -- what the life does with it

    def say_ended(self, work: Work, outcome: int, warmth: int, crowd: int) -> None:
        if self._speaks():
            self.back.carry(
                self.link.hear, self, self.link.ended, (work.serial, work.number), outcome, warmth
            )

    def say_stood(self, id: int, outcome: int, replicas: int) -> None:
        if self._speaks():
            self.back.carry(self.link.hear, self, self.link.stood, id, outcome, replicas)

    def _speaks(self) -> bool:
        life = self.life
        if self.broken or life.half_open:
            return False
        # garbage and frames cut in half have one end at a front end: the connection breaks
        if life.garbage and life.random_source.random() < life.garbage:
            self.abort()
        elif life.reset and life.random_source.random() < life.reset:
            self.abort()
        return not self.broken

    def abort(self) -> None:
        if self.broken:
            return
        self.front_gone()
        self.back.carry(self.link.hear, self, self.link.broke, self)

    def read_on(self, on: bool) -> None:
        self.reading = on
        while self.inbox and self.reading and not self.broken:
            self._arrive(*self.inbox.popleft())


class EmulatedLink(ChannelReports):
    """One front end's link to one executor. Its arguments are those of the gateway's; `connect` is the
    front end's place in the emulation, `port` the number of the executor's post."""

    __slots__ = (
        "backoff",
        "closed",
        "dialling",
        "executor",
        "front_end",
        "listener",
        "load_requests",
        "next_ms",
        "out",
        "place",
        "port",
        "process",
        "random_source",
        "wire",
    )

    def __init__(
        self,
        executor: int,
        stable: str,
        address: str,
        port: int,
        front_end: str,
        process: str,
        clock,
        connect,
        random_source: random.Random,
        listener: ChannelListener,
        log,
    ) -> None:
        self.executor, self.port, self.front_end, self.process = executor, port, front_end, process
        self.place, self.random_source, self.listener = connect, random_source, listener
        self.backoff: Backoff | None = None
        self.next_ms = 0.0  # no connect before
        self.wire: Wire | None = None
        self.out: dict[AttemptKey, None] = {}
        self.load_requests: dict[int, QuestionKind] = {}
        self.dialling: dict[AttemptKey, None] = {}  # what ends as unreachable when the connect under way does
        self.closed = False

    # -- the host's side

    def send(
        self,
        key: AttemptKey,
        mark: str,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        content_type: str,
        body: Any,
    ) -> None:
        if self.closed:
            self.report_unanswered(key, Outcome.UNSENT)
            return
        wire = self._connected()
        if wire is None:
            if self.dialling:
                self.dialling[key] = None
            else:
                self.report_unanswered(key, Outcome.UNREACHABLE)
            return
        self.out[key] = None
        real_ms, io_ms, turn = body
        wire.say(wire.life.receive, wire, *key, mark, turn, function, memory_mb, lanes, request_class,
            tenant, remaining_ms, real_ms, io_ms)  # fmt: skip

    def cancel_attempt(self, key: AttemptKey, outcome: Outcome = Outcome.CANCELLED) -> Outcome | None:
        if key in self.dialling:
            self.dialling.pop(key)
            return Outcome.UNSENT
        if key not in self.out:
            return None
        del self.out[key]
        if (wire := self.wire) is not None:
            wire.say(self._cancelled, wire, *key)
        return outcome

    @staticmethod
    def _cancelled(wire: Wire, serial: int, number: int) -> None:
        if wire.life.machine is not None:
            wire.life.machine.cancel_attempt(wire, serial, number)

    def request_load(
        self, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> Outcome | None:
        wire = self._connected()
        if wire is None:
            return Outcome.UNREACHABLE
        self.load_requests[id] = QuestionKind.LOAD
        wire.say(wire.life.load_requested, wire, id, function, replicas, memory_mb, lanes)
        return None

    def unload(self, function: str) -> None:
        if (wire := self.wire) is not None:
            wire.say(self._unload, wire, function)

    @staticmethod
    def _unload(wire: Wire, function: str) -> None:
        if wire.life.machine is not None:
            wire.life.machine.unload(function)

    def forget_probe(self, id: int) -> None:
        """No probe is answered late here."""

    def forget_load_request(self, id: int) -> bool:
        return self.load_requests.pop(id, None) is not None

    def moved(self, address: str, port: int) -> None:
        if port != self.port:
            self.port = port
            self.hang_up()

    def restarted(self, unix_ms: float, started_ms: float) -> None:
        if self.wire is not None and self.wire.started_ms < started_ms - 1.0:
            self.hang_up()

    def close(self) -> None:
        self.closed = True
        self.hang_up()

    # -- the connection

    def _connected(self) -> Wire | None:
        if self.wire is not None or self.closed or self.dialling:
            return self.wire
        place = self.place
        now = place.sim.now_s * 1e3
        if now < self.next_ms:
            return None
        life, network = place.lives[self.port], place.network
        reached = network.reaches(place.zone, life.post.zone)
        if reached and life.machine is not None and not life.machine.frozen:
            self.wire = Wire(self, life, place.sim, network, place.zone)
            return self.wire
        if not reached:
            wait_ms = DIAL_MS
        elif life.machine is not None:
            wait_ms = GREETING_TIMEOUT_MS  # it accepts and says nothing
        else:
            wait_ms = network.arrival(now, life.post.zone, place.zone, now) - now
        self.dialling[-1, -1] = None
        place.process.callLater(wait_ms / 1e3, self._refused)
        return None

    def _refused(self) -> None:
        dialling, self.dialling = self.dialling, {}
        self._wait()
        for key in dialling:
            if key[0] >= 0:
                self.report_unanswered(key, Outcome.UNREACHABLE)

    def _wait(self) -> None:
        if self.backoff is None:
            self.backoff = Backoff(self.random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.next_ms = self.place.sim.now_s * 1e3 + self.backoff.failed()

    def hang_up(self) -> None:
        """From this side."""
        if (wire := self.wire) is not None:
            wire.there.carry(wire.front_gone)
            self.broke(wire)

    def killed(self) -> None:
        """The front end's process is dead."""
        if self.wire is not None:
            self.wire.there.carry(self.wire.front_gone)
            self.wire = None

    def hear(self, wire: Wire, what: Callable, *args: Any) -> None:
        """Something has come over this wire."""
        if wire is self.wire:
            self.place.process.run(what, *args)

    def ended(self, key: AttemptKey, outcome: int, warmth: int) -> None:
        if key in self.out:
            del self.out[key]
            if self.backoff is not None:
                self.backoff.succeeded()
            self.listener.attempt_ended(
                self.executor, key, Outcome(outcome), warmth, 0, NO_LOAD, "application/json", b""
            )

    def stood(self, id: int, outcome: int, replicas: int) -> None:
        if self.load_requests.pop(id, None) is not None:
            self.listener.load_request_answered(self.executor, id, Outcome(outcome), replicas)

    def broke(self, wire: Wire) -> None:
        if wire is not self.wire:
            return
        self.wire = None
        if not self.closed:
            self._wait()
        out, self.out = self.out, {}
        load_requests, self.load_requests = self.load_requests, {}
        for key in out:
            self.report_unanswered(key, Outcome.RESET)
        self.report_reset(load_requests.items())
