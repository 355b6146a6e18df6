"""Emulated clients: the stand-ins' traffic and manners, without HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..fakes.fault_script import Happening
from ..fakes.in_memory_network import World
from ..fakes.retry_behaviour import Again, Manners
from ..fakes.traffic import Asked, Traffic
from ..gateway.answers import Answer
from ..gateway.function_spec import FunctionSpec
from .executor_channel import Cable
from .front_ends import Front
from .network import Network

OUTSIDE = -1


class Attempt:
    """One try of one request at one front end."""

    __slots__ = (
        "asked",
        "asked_ms",
        "at",
        "back",
        "clients",
        "first_ms",
        "front",
        "id",
        "leave",
        "left_ms",
        "over",
        "timer",
        "turn",
    )  # fmt: skip

    def __init__(
        self, clients: Clients, id: str, asked: Asked, first_ms: float, turn: int, front: int
    ) -> None:
        self.clients, self.id, self.asked, self.first_ms = clients, id, asked, first_ms
        self.turn, self.front = turn, front
        self.timer = self.at = None
        self.over = False
        self.leave: Callable[[], None] | None = None

    def go(self) -> None:
        c, asked = self.clients, self.asked
        now = c.now()
        self.left_ms = c.manners.left_ms(asked.request_class, now - self.first_ms)
        if not self.left_ms:
            return
        self.at = front = c.fronts.get(self.front)
        name = f"front-{self.front}"
        if front is None:
            c.record.note("unreachable", _source=c.source, id=self.id, r=self.turn, fe=name)
            c.again(self, c.manners.after_unreachable(self.turn))
            return
        self.asked_ms = now
        c.record.note(
            "ask",
            id=self.id,
            m=f"{c.source}\n{self.id}",
            r=self.turn,
            fe=name,
            f=c.request_classes[asked.request_class],
            c=c.tenants[asked.tenant],
            fn=asked.function.name,
            left=round(self.left_ms, 3),
            w=round(asked.work_ms, 3),
        )
        patience, impatient = c.manners.patience_ms(self.left_ms)
        self.timer = c.sim.later(patience / 1e3, self._leave, impatient)
        c.open.setdefault(self.front, {})[self] = None
        there = Cable(c.sim, c.network, OUTSIDE, front.place.zone)
        self.back = Cable(c.sim, c.network, front.place.zone, OUTSIDE)
        there.carry(front.place.process.run, self._arrive)

    def _arrive(self) -> None:
        if self.over:
            return  # left before the front end came to it
        c, asked, f = self.clients, self.asked, self.asked.function
        self.leave = self.at.take(
            asked.request_class,
            asked.tenant,
            FunctionSpec(f.name, f.memory_mb, f.lanes, 0.0),
            f"{c.source}\n{self.id}",
            self.left_ms,
            asked.hint_ms,
            self.turn > 0,
            (asked.work_ms, asked.io_ms, self.turn),
            lambda answer: self.back.carry(self._answered, answer),
        )

    def _answered(self, answer: Answer) -> None:
        if self._end():
            return
        c = self.clients
        c.record.note(
            "answer",
            _source=c.source,
            id=self.id,
            r=self.turn,
            fe=f"front-{self.front}",
            o=answer.completion.value,
            taken=True,
            ms=round(c.now() - self.asked_ms, 3),
            x=answer.executor,
            w=answer.warmth.label,
        )
        c.again(
            self,
            c.manners.after_answer(
                answer.completion.value, answer.retry_ms, self.asked.request_class, self.turn
            ),
        )

    def lost(self) -> None:
        """The front end's process died under it."""
        if self._end():
            return
        c = self.clients
        c.record.note("lost", _source=c.source, id=self.id, r=self.turn, fe=f"front-{self.front}")
        c.again(self, c.manners.after_lost(self.asked.request_class, self.turn))

    def _leave(self, impatient: bool) -> None:
        if self._end():
            return
        c = self.clients
        kind = "gone" if impatient else "unanswered"
        c.record.note(kind, _source=c.source, id=self.id, r=self.turn, fe=f"front-{self.front}")
        if self.leave is not None:
            Cable(c.sim, c.network, OUTSIDE, self.at.place.zone).carry(self.at.place.process.run, self.leave)

    def _end(self) -> bool:
        """Whether it had ended before."""
        if self.over:
            return True
        self.over = True
        self.clients.open[self.front].pop(self, None)
        if self.timer.active():
            self.timer.cancel()
        return False


class Clients:
    """All clients of one source; open loop."""

    def __init__(
        self,
        sim: World,
        network: Network,
        day: dict[str, Any],
        fronts: dict[int, Front],
        number: int,
        epoch_ms: float,
        record,
    ) -> None:
        self.sim, self.network, self.day, self.fronts, self.record = sim, network, day, fronts, record
        self.random_source = random.Random(f"{day['day'].seed}/clients {number}")
        self.traffic = Traffic(day, self.random_source, day["traffic"].clients)
        self.manners = Manners(day, day["fleet"].fronts, self.random_source)
        self.request_classes = [t.name for t in day["tariffs"]]
        self.tenants = [c.name for c in day["customers"]]
        self.source, self.serial, self.epoch_ms = f"/gateway/{number}", 0, epoch_ms
        self.open: dict[int, dict[Attempt, None]] = {}
        self.next_ms = epoch_ms + self.traffic.wait()
        sim.later(self.next_ms / 1e3 - sim.now_s, self._arrive)

    def now(self) -> float:
        return self.sim.now_s * 1e3

    def happen(self, h: Happening) -> None:
        self.traffic.happen(h, self.now())

    def front_died(self, number: int) -> None:
        for attempt in list(self.open.get(number, ())):
            attempt.back.carry(attempt.lost)

    def _arrive(self) -> None:
        now, end = self.now(), self.epoch_ms + self.day["day"].length_s * 1e3
        if self.next_ms >= end:
            return
        asked = self.traffic.draw(now)
        self.serial += 1
        self.record.note(
            "due",
            m=f"{self.source}\nt{self.serial}",
            f=self.request_classes[asked.request_class],
            c=self.tenants[asked.tenant],
            w=round(asked.work_ms, 3),
            at=round(self.next_ms - self.epoch_ms, 3),
        )
        Attempt(self, f"t{self.serial}", asked, self.next_ms, 0, asked.front).go()
        self.next_ms += self.traffic.wait()
        self.sim.later(self.next_ms / 1e3 - self.sim.now_s, self._arrive)

    def again(self, attempt: Attempt, again: Again | None) -> None:
        if again is None:
            return
        front = self.manners.front(attempt.front, again.elsewhere)
        follow = Attempt(self, attempt.id, attempt.asked, attempt.first_ms, attempt.turn + 1, front)
        self.sim.later(again.wait_ms / 1e3, follow.go)
