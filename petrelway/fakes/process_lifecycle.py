"""The life of one post of the script: its processes, their faults, what they note. Without sockets."""

from __future__ import annotations

import random
import uuid
from collections import deque
from typing import Protocol

from .executor_model import ERROR, MISS, Machine, Marks, Work
from .fault_script import Happening, Post


class Wire(Protocol):
    """One front end's connection, as the life sees it."""

    front: str
    process: str
    sent_ms: float  # when what is being read was sent, where the network tells; else 0

    def say_ended(self, work: Work, outcome: int, warmth: int, crowd: int) -> None: ...

    def say_stood(self, id: int, outcome: int, replicas: int) -> None: ...

    def abort(self) -> None: ...

    def read_on(self, on: bool) -> None: ...


class Life:
    """One post of the script: its processes one after the other, and what the script does to them.

    Who carries it gives `listen` and `unlisten`, and puts the connections into `wires`.
    """

    def __init__(
        self, clock, post: Post, day, epoch_ms: float, record, store, functions: dict, marks: Marks
    ) -> None:
        self.clock = clock
        self.post, self.day, self.epoch_ms = post, day, epoch_ms
        self.record, self.store, self.functions, self.marks = record, store, functions, marks
        self.kind = day["fleet"].kinds[post.kind]
        self.random_source = random.Random(f"{day['day'].seed}/{post.name}")
        self.keyed = {t.name for t in day["tariffs"] if t.idempotency == "stamped"}
        self.tenants = [c.name for c in day["customers"]]
        traffic = day["traffic"]
        self.mean_work = {
            t.name: traffic.work[t.name].mean_ms if t.name in traffic.work else 150.0 for t in day["tariffs"]
        }
        self.machine: Machine | None = None
        self.wires: list[Wire] = []
        self.process, self.started_ms = "", 0.0
        self.never_read = self.half_open = self.one_byte = False
        self.reset = self.garbage = 0.0
        self.weighed: deque[tuple[float, float]] = deque()
        self.pausing = None
        self.fallen = False

    def listen(self) -> None:
        raise NotImplementedError

    def unlisten(self) -> None:
        raise NotImplementedError

    def start(self, cold: bool) -> None:
        if self.machine is not None or self.fallen:
            return
        fleet, kind = self.day["fleet"], self.kind
        self.process = uuid.UUID(int=self.random_source.getrandbits(128)).hex[:12]
        self.started_ms = self.clock.seconds() * 1e3 if cold else 0.0
        self.machine = Machine(
            self.clock,
            self.random_source,
            kind.cores,
            self.post.speed,
            kind.cores * kind.slots_per_core,
            kind.queue,
            kind.memory_mb,
            fleet.loads_at_once,
            fleet.keep_ms,
            fleet.eager,
            self.day["keeping"].answers_miss,
            fleet.error_rate,
            fleet.load_fail,
            ERROR if fleet.fail_says == "error" else MISS,
            fleet.images,
            fleet.cold_share,
            fleet.warm_ms,
            self.started_ms,
            self.marks,
            self._fetch,
            self._start_ms,
            self._say_ended,
            self._say_stood,
            self._note,
        )
        self.listen()
        self.record.note(
            "up",
            ex=self.post.name,
            p=self.process,
            hall=self.post.zone,
            cell=self.post.cell,
            cap=kind.cores * self.post.speed,
            cold=bool(cold),
        )

    def die(self, why: str = "died") -> None:
        if self.machine is None:
            return
        self.machine.die()
        self.machine = None
        self.record.note("down", ex=self.post.name, p=self.process, why=why)
        self.unlisten()
        for wire in list(self.wires):
            wire.abort()
        self.weighed.clear()

    def receive(
        self,
        wire: Wire,
        serial: int,
        number: int,
        mark: str,
        turn: int,
        function: str,
        memory_mb: float,
        lanes: int,
        request_class: str,
        tenant: str,
        remaining_ms: float,
        work_ms: float,
        io_ms: float,
    ) -> None:
        """A attempt has arrived; `work_ms` is what it really costs."""
        self.record.note(
            "recv",
            ex=self.post.name,
            p=self.process,
            fe=wire.front,
            fp=wire.process,
            s=serial,
            n=number,
            m=mark,
            r=turn,
            f=request_class,
            fn=function,
            **self._sent(wire),
        )
        self.weigh(request_class)
        m = self.machine
        if m is None:
            return
        keyed = request_class in self.keyed
        until_ms = m.now() + remaining_ms
        m.take(
            Work(
                wire,
                serial,
                number,
                mark,
                function,
                memory_mb,
                lanes,
                tenant,
                keyed,
                work_ms,
                io_ms,
                until_ms,
            )
        )

    def load_requested(
        self, wire: Wire, id: int, function: str, replicas: int, memory_mb: float, lanes: int
    ) -> None:
        self.record.note(
            "order",
            ex=self.post.name,
            p=self.process,
            fe=wire.front,
            fp=wire.process,
            fn=function,
            c=replicas,
        )
        if self.machine is not None:
            self.machine.order(wire, id, function, replicas, memory_mb, lanes)

    def _sent(self, wire: Wire) -> dict[str, float]:
        return {"sent": round(wire.sent_ms - self.epoch_ms, 3)} if wire.sent_ms else {}

    def weigh(self, request_class: str) -> None:
        """Rule 4 as the executor feels it: pushed over its multiple for the span, it falls and stays down."""
        cold, m = self.day["cold"], self.machine
        if m is None or (m.capacity() >= 1.0 and not self.weighed):
            return
        now = self.clock.seconds() * 1e3
        self.weighed.append((now, self.mean_work[request_class]))
        while self.weighed[0][0] < now - cold.span_ms:
            self.weighed.popleft()
        room = cold.multiple * m.capacity() * self.kind.cores * self.post.speed * cold.span_ms
        if m.capacity() < 1.0 and sum(w for _, w in self.weighed) > room:
            self.record.note("fell", ex=self.post.name, p=self.process)
            self.fallen = True
            self.die("fell")

    def happen(self, h: Happening) -> None:
        m, what = self.machine, h.what
        if what == "start":
            self.start(cold=True)
        elif what == "die":
            self.die()
        elif what == "leave":
            self.die("left")
        elif m is None:
            return
        elif what == "drain":
            # within the grace it still takes work: the rule is the front ends' to keep
            self.record.note("drains", ex=self.post.name, p=self.process)
        elif what in ("freeze", "end freeze"):
            m.freeze(what == "freeze")
        elif what in ("slow", "end slow"):
            m.slow(max(1.0, h.size) if what == "slow" else 1.0)
        elif what in ("errors", "end errors"):
            m.errors = h.size if what == "errors" else m.error_rate
        elif what in ("pauses", "end pauses"):
            self._pauses(what == "pauses", h)
        elif what in ("throttle", "end throttle"):
            tenant = self.day["customers"][h.which % len(self.tenants)]
            fair = self.day["traffic"].rate * tenant.portion / self.day["fleet"].executors
            m.throttle = (tenant.name, h.size * fair, h.extra * 1e3) if what == "throttle" else None
        elif what in ("ageing", "end ageing"):
            if what == "ageing":
                self._age(m, 1.0, max(1.0, h.size))
        elif what == "flush":
            share, salt = h.size, h.extra
            m.flush(lambda f: random.Random(f"{salt}/{f}").random() < share)
        elif what in ("never read", "end never read"):
            self.never_read = what == "never read"
            self.record.note("deaf" if self.never_read else "hears", ex=self.post.name)
            for wire in self.wires:
                wire.read_on(not self.never_read)
        elif what in ("half open", "end half open"):
            self.half_open = what == "half open"
            m.freeze(self.half_open)
            if not self.half_open:
                for wire in list(self.wires):
                    wire.abort()
        elif what in ("reset mid-frame", "end reset mid-frame"):
            self.reset = (h.size if 0 < h.size <= 1 else 0.2) if what == "reset mid-frame" else 0.0
        elif what in ("garbage", "end garbage"):
            self.garbage = (h.size if 0 < h.size <= 1 else 0.2) if what == "garbage" else 0.0
        elif what in ("one byte", "end one byte"):
            self.one_byte = what == "one byte"

    def _pauses(self, on: bool, h: Happening) -> None:
        if self.pausing is not None and self.pausing.active():
            self.pausing.cancel()
        self.pausing = None
        if on and (m := self.machine) is not None:
            m.freeze(True)
            self.clock.callLater(h.size / 1e3, lambda: m.dead or m.freeze(False))
            self.pausing = self.clock.callLater(max(0.2, h.extra), self._pauses, True, h)

    def _age(self, m: Machine, factor: float, most: float) -> None:
        if m.dead or m is not self.machine:
            return
        m.slow(factor)
        self.clock.callLater(1.0, self._age, m, min(most, factor * most**0.1), most)

    def _fetch(self, function: str, done) -> None:
        self.store.fetch(
            function, self.functions[function].fetch_ms if function in self.functions else 500.0, done
        )

    def _start_ms(self, function: str) -> float:
        return self.functions[function].start_ms if function in self.functions else 200.0

    def _say_ended(self, work: Work, outcome: int, warmth: int, crowd: int) -> None:
        self.record.note(
            "end",
            ex=self.post.name,
            p=self.process,
            fe=work.front.front,
            fp=work.front.process,
            s=work.serial,
            n=work.number,
            o=outcome,
            w=warmth,
        )
        work.front.say_ended(work, outcome, warmth, crowd)

    def _say_stood(self, front: Wire, id: int, outcome: int, replicas: int) -> None:
        front.say_stood(id, outcome, replicas)

    def _note(self, what: str, work: Work) -> None:
        self.record.note(
            what,
            ex=self.post.name,
            p=self.process,
            fe=work.front.front,
            fp=work.front.process,
            s=work.serial,
            n=work.number,
            m=work.mark,
            r=0,
        )
