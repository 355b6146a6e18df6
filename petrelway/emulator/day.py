"""One emulated day from its sections and one seed: fleet, store, registry, network, front ends, clients."""

from __future__ import annotations

import gc
import random
from collections.abc import Callable
from typing import Any

import msgspec

from ..fakes.endpoint_registry import Book, changes, first_lines, tell
from ..fakes.executor_model import Marks
from ..fakes.fault_schedule import FaultSchedule, fault_random_source
from ..fakes.fault_script import Happening, late, network_faults, other_ways, write
from ..fakes.in_memory_network import Process, World
from ..fakes.model_store import Store
from ..fakes.process_lifecycle import Life
from ..fakes.traffic import functions
from ..routing.router import FrontEnd
from ..scenarios.front_end_settings import front_settings
from ..scenarios.inmemory import Quiet
from ..settings.days import check_day
from ..settings.front import check_front_end
from ..settings.reading import SettingsError, SettingsProblem
from .clients import Clients
from .executor_channel import Cable
from .front_ends import CENTRE, Front, Place
from .membership_simulation import Sea
from .network import Network

LEAD_MS = 100.0  # the front ends hear their first lists before the day begins
LEAVE_MS = 200.0  # what is on its way to a front end that leaves still reaches it
LATE_MS = 2000.0  # played past the last outer limit


class Tape:
    """The record of a day in memory, line by line as the checker reads it."""

    def __init__(self, sim: World, epoch_ms: float) -> None:
        self.sim, self.epoch_ms = sim, epoch_ms
        self.lines: list[dict[str, Any]] = []

    def note(self, kind: str, **what: Any) -> None:
        what["t"] = round(self.sim.now_s * 1e3 - self.epoch_ms, 3)
        what["k"] = kind
        self.lines.append(what)


class EmulatedLife(Life):
    """An executor's life; its connections are wires of emulated links."""

    def listen(self) -> None:
        pass  # a link looks whether there is a process

    unlisten = listen


class StoreWay:
    """An executor's way to the store and back."""

    def __init__(self, sim: World, network: Network, zone: int, store: Store, record: Tape) -> None:
        self.there, self.back = Cable(sim, network, zone, CENTRE), Cable(sim, network, CENTRE, zone)
        self.store, self.record = store, record

    def fetch(self, function: str, fetch_ms: float, done: Callable[[bool], None]) -> None:
        self.there.carry(self._fetch, function, fetch_ms, done)

    def _fetch(self, function: str, fetch_ms: float, done: Callable[[bool], None]) -> None:
        self.record.note("fetch", fn=function)
        self.store.fetch(fetch_ms, lambda good: self.back.carry(done, good))


class EmulatedDay:
    """One playing. `kind` is the module or a baseline of its shape."""

    def __init__(
        self, tree: dict[str, Any], kind: Callable[..., FrontEnd] = FrontEnd, sim: World | None = None
    ) -> None:
        """Raises SettingsError for a day that is none."""
        self.day = day = check_day("(emulated)", tree)
        if other_ways(day):
            fault = SettingsProblem(
                "fleet_troubles", "a way to roster or executors", "members; on sockets only"
            )
            raise SettingsError("(emulated)", [fault])
        self.tree, self.kind, self.log = tree, kind, Quiet()
        self.sim = sim = sim or World()
        self.epoch_ms = sim.now_s * 1e3 + LEAD_MS
        self.script = write(day)
        self.tape = Tape(sim, self.epoch_ms)
        net, seed, fleet = day["network"], day["day"].seed, day["fleet"]
        self.network = Network(
            net.within_ms,
            net.between_ms,
            net.jitter,
            net.loss,
            net.again_ms,
            random.Random(f"{seed}/network"),
        )
        terms = day["store"]
        self.clock = Process(sim, "executors")
        self.store = Store(
            self.clock,
            terms.takes,
            terms.limit,
            terms.thrash,
            terms.fall_multiple,
            terms.fall_ms,
            terms.down_ms,
        )
        self._make_executors()
        self.registry_up = True
        self.book = Book(self.tape)
        ports = range(len(self.script.posts))
        for line in first_lines(day, self.script, ports):
            self.book.lines[line.executor] = line
        for change in changes(day, self.script, ports, self.epoch_ms):
            self._at(change.told_ms - self.epoch_ms, tell, self.book, change.line, change.at_ms)
        self.told = check_front_end("(emulated)", front_settings(day, tree, 0, 1, 2))
        self.fronts: dict[int, Front] = {}
        self.leaving: set[int] = set()
        self.starts = 0
        self.sea = self._make_sea(seed) if fleet.members or day["fleet_troubles"] else None
        for number in range(fleet.fronts):
            if number not in late(day):
                self._start(number)
        self.clients = [
            Clients(sim, self.network, day, self.fronts, number, self.epoch_ms, self.tape)
            for number in range(day["traffic"].clients)
        ]
        play = {
            "executor": self._executor,
            "client": self._client,
            "network": self._network,
            "store": self._store,
            "roster": self._registry,
            "front": self._front,
        }
        for h in self.script.happenings:
            self._at(h.at_ms, play[h.who], h)

    def play(self) -> list[dict[str, Any]]:
        """Play it to the end; the record's lines, by time."""
        last_ms = self.epoch_ms + self.day["day"].length_s * 1e3
        last_ms += max(t.deadline_ms for t in self.day["tariffs"]) + LATE_MS
        collecting = gc.isenabled()
        gc.disable()  # cycles are few and short-lived; a full collection walks the whole fleet
        try:
            while self.sim.now_s < last_ms / 1e3:
                self.sim.run(min(last_ms / 1e3, self.sim.now_s + 5.0))
                gc.collect(0)
        finally:
            if collecting:
                gc.enable()
        return self.tape.lines

    # -- making

    def _make_sea(self, seed: int) -> Sea:
        """The front ends know each other, over the day's own faults between them."""
        ways = FaultSchedule(fault_random_source(seed))
        for fault in network_faults(self.day, self.epoch_ms):
            ways.add(fault)
        sea = Sea(self.sim, ways, self.day["fleet"].fronts, seed, self.day["network"].between_ms)
        sea.record = self.tape
        return sea

    def _at(self, at_ms: float, what: Callable, *args: Any) -> None:
        self.sim.later((self.epoch_ms + at_ms) / 1e3 - self.sim.now_s, what, *args)

    def _make_executors(self) -> None:
        day = self.day
        truths = {f.name: f for f in functions(day)}
        window = max([t.window_ms for t in day["tariffs"] if t.idempotency == "stamped"] or [1.0])
        scopes = {t.scope for t in day["tariffs"] if t.idempotency == "stamped"}
        groups: dict[tuple[int, int], Marks] = {}
        self.lives: dict[int, Life] = {}
        for post in self.script.posts:
            group = (post.zone, post.cell if scopes == {"cell"} else -1)
            marks = groups.setdefault(group, Marks(window))
            way = StoreWay(self.sim, self.network, post.zone, self.store, self.tape)
            life = EmulatedLife(self.clock, post, day, self.epoch_ms, self.tape, way, truths, marks)
            self.lives[post.number] = life
            if post.begins_ms <= 0.0:
                life.start(cold=False)

    def _start(self, number: int) -> None:
        self.starts += 1
        fleet, name = self.day["fleet"], f"front-{number}"
        zone = number % len(fleet.zones)
        place = Place(self.sim, self.network, zone, self.lives, name)
        front_end = msgspec.structs.replace(
            self.told["front_end"],
            name=name,
            zone=fleet.zones[zone],
            number=number,
            seed=self.day["day"].seed % 1_000_000 * 1000 + number,
        )
        found = {**self.told, "front_end": front_end}
        process = f"p{self.starts}"
        self.tape.note("front started", fe=name)
        self.fronts[number] = front = Front(
            place, found, process, self.kind, self.book, lambda: self.registry_up, self.log
        )
        if self.sea is not None:
            front.join(self.sea, number)

    # -- what the script does

    def _executor(self, h: Happening) -> None:
        for life in self.lives.values() if h.number < 0 else [self.lives[h.number]]:
            life.happen(h)

    def _client(self, h: Happening) -> None:
        for clients in self.clients:
            clients.happen(h)

    def _store(self, h: Happening) -> None:
        self.store.slow(h.size)

    def _registry(self, h: Happening) -> None:
        if h.what == "gap":
            self.book.lose_next = True
        elif h.what == "down":
            self.registry_up = False
            self.book.drop_all()
        else:
            self.registry_up = True

    def _network(self, h: Happening) -> None:
        if h.what in ("cut", "end cut"):
            self.network.cut(h.which % len(self.day["fleet"].zones), h.what == "cut")
        elif h.what in ("far", "end far"):
            self.network.far(h.size if h.what == "far" else 0.0)
        else:
            self.network.lose(min(0.9, h.size) if h.what == "loss" else None)

    def _front(self, h: Happening) -> None:
        front = self.fronts.get(h.number)
        if h.what == "start":
            if h.number in self.leaving:  # it starts again once the earlier process has ended
                self.sim.later(LEAVE_MS / 1e3, self._front, h)
            elif front is None:
                self._start(h.number)
            return
        if front is None:
            return  # it has been killed by another fault
        self.tape.note(h.what, fe=f"front-{h.number}")
        if h.what == "leave":
            del self.fronts[h.number]  # no client comes any more
            self.leaving.add(h.number)
            front.place.process.thaw()  # a signal to end lets a stopped process go on
            self.sim.later(LEAVE_MS / 1e3, self._owed_first, h.number, front)
        elif h.what == "kill":
            del self.fronts[h.number]
            self._ended(h.number, front)
            for clients in self.clients:
                clients.front_died(h.number)
        elif h.what == "stop":
            front.place.process.freeze()
        else:
            front.place.process.thaw()

    def _owed_first(self, number: int, front: Front) -> None:
        """As SIGTERM has it: what is owed is answered, then the process ends."""

        def ended(_) -> None:
            if self.sea is not None:
                self.sea.peers[number].leave()
            self.leaving.discard(number)
            self._ended(number, front)

        front.dispatcher.all_answered().addCallback(lambda _: self.sim.later(0.0, ended, None))

    def _ended(self, number: int, front: Front) -> None:
        front.kill()
        if self.sea is not None:
            self.sea.peers.pop(number)
        self.tape.note("front ended", fe=f"front-{number}")
