"""An emulated front end: the program's own host around its own FrontEnd, on emulated links, without HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from ..fakes.endpoint_registry import Book
from ..fakes.in_memory_network import Process, World
from ..fakes.process_lifecycle import Life
from ..gateway.answers import Answer
from ..gateway.backoff import Backoff
from ..gateway.dispatcher import Dispatcher
from ..gateway.function_spec import FunctionSpec
from ..gateway.registry_client import RETRY_LEAST_MS, RETRY_MOST_MS
from ..gateway.routing_setup import new_routing_core, record_quota_use
from ..routing.router import FrontEnd
from ..wire.registry_codec import EndpointEntry
from .executor_channel import Cable, EmulatedLink
from .membership_simulation import Sea
from .network import Network

CENTRE = 0  # the zone where registry and store are


class Place:
    """Where one front end's process runs, and what it can reach."""

    def __init__(self, sim: World, network: Network, zone: int, lives: dict[int, Life], name: str) -> None:
        self.sim, self.network, self.zone, self.lives = sim, network, zone, lives
        self.process = Process(sim, name)


class Following:
    """The registry's words to one front end; a gap or an outage has it ask for the whole list."""

    def __init__(self, place: Place, book: Book, front: Front) -> None:
        self.place, self.book, self.front = place, book, front
        self.serial: int | None = None
        self.backoff = Backoff(front.random_source, RETRY_LEAST_MS, RETRY_MOST_MS)
        self.cable = Cable(place.sim, place.network, CENTRE, place.zone)
        self.follow()

    def follow(self) -> None:
        if self.place.process.dead:
            return
        if not self.front.registry_up() or not self.place.network.reaches(CENTRE, self.place.zone):
            self.place.process.callLater(self.backoff.failed() / 1e3, self.follow)
            return
        self.serial = None
        self.book.followers.append(self)
        self.tell(True, self.book.lines.values())

    def tell(self, complete: bool, lines) -> None:
        self.cable.carry(self._arrive, self.book.serial, complete, list(lines))

    def _arrive(self, serial: int, complete: bool, lines: list[EndpointEntry]) -> None:
        process = self.place.process
        if not process.dead:
            told = [[x.executor, x.stage, x.started_ms] for x in lines]
            self.book.record.note(
                "told",
                fe=self.front.name,
                fp=self.front.dispatcher.process,
                serial=serial,
                full=complete,
                lines=told,
            )
        process.run(self._heard, serial, complete, lines)

    def _heard(self, serial: int, complete: bool, lines: list[EndpointEntry]) -> None:
        if self not in self.book.followers:
            return
        if not complete and (self.serial is None or serial != self.serial + 1):
            self.drop()  # a gap: the old list holds until the full one is here
            return
        self.serial = serial
        self.backoff.succeeded()
        self.front.dispatcher.executors_listed(lines, complete)

    def drop(self) -> None:
        self.leave()
        if not self.place.process.dead:
            self.place.process.callLater(self.backoff.failed() / 1e3, self.follow)

    def leave(self) -> None:
        if self in self.book.followers:
            self.book.followers.remove(self)


class Front:
    """One process of a front end."""

    def __init__(
        self,
        place: Place,
        found: dict[str, Any],
        process: str,
        kind: Callable[..., FrontEnd],
        book: Book,
        registry_up: Callable[[], bool],
        log,
    ) -> None:
        told = found["front_end"]
        self.place, self.name, self.registry_up = place, told.name, registry_up
        self.random_source = random.Random(f"{told.seed}/{told.name}/links")
        fleet = found["fleet"]
        self.dispatcher = Dispatcher(
            place.process,
            new_routing_core(kind, place.sim.now_s * 1e3, told.seed, found),
            told.name,
            process,
            [t.name for t in found["tariffs"]],
            [c.name for c in found["customers"]],
            fleet.zones,
            fleet.machines,
            found["keeping"].load_request_timeout_ms,
            place,
            self.random_source,
            log,
            make_channel=EmulatedLink,
        )
        self.following = Following(place, book, self)

    def take(
        self,
        request_class: int,
        tenant: int,
        function: FunctionSpec,
        mark: str,
        remaining_ms: float,
        hint_ms: float,
        repeat: bool,
        truth: tuple[float, float, int],
        answered: Callable[[Answer], None],
    ) -> Callable[[], None]:
        """A client's try has come. `truth` goes to the executor: work, waiting, number of the try. What is
        returned says that the client is gone."""
        answer = self.dispatcher.take(
            request_class, tenant, function, mark, remaining_ms, hint_ms, repeat, "", Truth(truth)
        )
        answer.addCallbacks(answered, lambda f: f.trap(defer.CancelledError))
        return answer.cancel

    def join(self, sea: Sea, number: int) -> None:
        """It knows the others, and its module hears which part of the rations it may use."""
        dispatcher, front_end = self.dispatcher, self.dispatcher.front_end
        peer = sea.start(number, self.place.process)
        peer.told = lambda part: front_end.quota_share_changed(dispatcher.now(), part)
        front_end.quota_share_changed(dispatcher.now(), peer.held.part)
        if isinstance(front_end, FrontEnd):
            record_quota_use(front_end, peer.note)

    def kill(self) -> None:
        """The process is dead at once; the other ends notice."""
        self.place.process.kill()
        self.following.leave()
        for link in self.dispatcher.channels.values():
            link.killed()


class Truth(tuple):
    """A body that is no bytes: what a request really costs. The host asks only how long it is."""

    def __len__(self) -> int:
        return 0
