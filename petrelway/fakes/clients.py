"""Stand-in clients: open-loop arrivals as CloudEvents over HTTP, with retries, patience and a record."""

from __future__ import annotations

import json
import random
from collections import deque

import h11
from twisted.internet import endpoints, protocol

from ..common import attempt_parameter
from .fault_script import Happening
from .retry_behaviour import Again, Manners
from .traffic import Asked, Traffic

IDLE_BOUND = 64  # connections kept for one front end


class Asker(protocol.Protocol):
    """One HTTP connection; one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.http = h11.Connection(h11.CLIENT)
        self.attempt: Attempt | None = None
        self.status, self.headers, self.lost = 0, {}, False

    def ask(self, attempt: Attempt, head: list[tuple[str, str]], body: bytes) -> None:
        self.attempt = attempt
        request = h11.Request(method="POST", target="/triggers", headers=head)
        self.transport.write(
            self.http.send(request) + self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage())
        )

    def dataReceived(self, data: bytes) -> None:
        self.http.receive_data(data)
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                self.transport.abortConnection()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.EndOfMessage):
                attempt, self.attempt = self.attempt, None
                reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
                if reusable:
                    self.http.start_next_cycle()
                if attempt is not None:
                    attempt.answered(self.status, self.headers)
                if reusable:
                    self.pool.free(self)
                else:
                    self.transport.loseConnection()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.lost = True
        self.pool.gone(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.lost()


class Pool:
    """Connections to one front end."""

    def __init__(self, reactor, port: int) -> None:
        self.reactor, self.port = reactor, port
        self.idle: deque[Asker] = deque()

    def get(self):
        """A Deferred or an Asker at once."""
        while self.idle:
            asker = self.idle.pop()
            if not asker.lost:
                return asker
        endpoint = endpoints.TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.port, timeout=1.0)
        factory = protocol.Factory.forProtocol(lambda: Asker(self))
        factory.noisy = False
        return endpoint.connect(factory)

    def free(self, asker: Asker) -> None:
        if len(self.idle) < IDLE_BOUND and not asker.lost:
            self.idle.append(asker)
        else:
            asker.transport.loseConnection()

    def gone(self, asker: Asker) -> None:
        if asker in self.idle:
            self.idle.remove(asker)


class Attempt:
    """One try of one request at one front end."""

    def __init__(
        self, clients: Clients, id: str, asked: Asked, first_ms: float, turn: int, front: int
    ) -> None:
        self.clients, self.id, self.asked, self.first_ms = clients, id, asked, first_ms
        self.turn, self.front = turn, front
        self.asker: Asker | None = None
        self.timer = None
        self.over = False

    def go(self) -> None:
        c = self.clients
        self.left_ms = c.manners.left_ms(self.asked.request_class, c.now() - self.first_ms)
        if not self.left_ms:
            return
        found = c.pools[self.front].get()
        if isinstance(found, Asker):
            self._ask(found)
        else:
            found.addCallbacks(self._ask, self._unreachable)

    def _ask(self, asker: Asker) -> None:
        c, asked = self.clients, self.asked
        self.asker, self.asked_ms = asker, c.now()
        body = json.dumps({"work_ms": round(asked.work_ms, 3), "io_ms": asked.io_ms}).encode()
        request_class, tenant = (
            c.day["tariffs"][asked.request_class].name,
            c.day["customers"][asked.tenant].name,
        )
        head = [
            ("host", "petrelway"),
            ("content-type", attempt_parameter.content_type(self.turn)),
            ("content-length", str(len(body))),
            ("ce-specversion", "1.0"),
            ("ce-id", self.id),
            ("ce-source", c.source),
            ("ce-type", "trigger"),
            ("ce-tariff", request_class),
            ("ce-customer", tenant),
            ("ce-function", asked.function.name),
            ("ce-timeleft", f"{self.left_ms:.1f}"),
        ]
        if asked.hint_ms > 0.0:
            head.append(("ce-workhint", f"{asked.hint_ms:.1f}"))
        if self.turn:
            head.append(("ce-repeat", "true"))
        c.record.note(
            "ask",
            id=self.id,
            m=f"{c.source}\n{self.id}",
            r=self.turn,
            fe=f"front-{self.front}",
            f=request_class,
            c=tenant,
            fn=asked.function.name,
            left=round(self.left_ms, 3),
            w=round(asked.work_ms, 3),
        )
        patience, impatient = c.manners.patience_ms(self.left_ms)
        self.timer = c.reactor.callLater(patience / 1e3, self._leave, impatient)
        asker.ask(self, head, body)

    def _unreachable(self, failure) -> None:
        c = self.clients
        c.record.note("unreachable", id=self.id, r=self.turn, fe=f"front-{self.front}")
        c.again(self, c.manners.after_unreachable(self.turn))

    def answered(self, status: int, headers: dict[str, str]) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        c = self.clients
        outcome = headers.get("petrelway-outcome", "")
        taken = bool(outcome) and headers.get("petrelway-taken") != "no"
        c.record.note(
            "answer",
            id=self.id,
            r=self.turn,
            fe=f"front-{self.front}",
            st=status,
            o=outcome,
            taken=taken,
            ms=round(c.now() - self.asked_ms, 3),
            x=headers.get("petrelway-executor", ""),
            w=headers.get("petrelway-warmth", ""),
        )
        advised = float(headers.get("petrelway-retry-ms", 0) or 0)
        c.again(self, c.manners.after_answer(outcome, advised, self.asked.request_class, self.turn))

    def lost(self) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        c = self.clients
        c.record.note("lost", id=self.id, r=self.turn, fe=f"front-{self.front}")
        c.again(self, c.manners.after_lost(self.asked.request_class, self.turn))

    def _leave(self, impatient: bool) -> None:
        self.over = True
        self.clients.record.note(
            "gone" if impatient else "unanswered", id=self.id, r=self.turn, fe=f"front-{self.front}"
        )
        self.asker.attempt = None
        self.asker.transport.abortConnection()


class Clients:
    """All clients of one process."""

    def __init__(self, reactor, day, ports: list[int], number: int, epoch_ms: float, record) -> None:
        self.reactor, self.day, self.record, self.epoch_ms = reactor, day, record, epoch_ms
        self.random_source = random.Random(f"{day['day'].seed}/clients {number}")
        self.traffic = Traffic(day, self.random_source, day["traffic"].clients)
        self.manners = Manners(day, len(ports), self.random_source)
        self.pools = [Pool(reactor, port) for port in ports]
        self.source, self.serial = f"/gateway/{number}", 0
        self.next_ms = epoch_ms

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def start(self) -> None:
        self.next_ms = self.epoch_ms + self.traffic.wait()
        self.reactor.callLater(max(0.0, self.next_ms - self.now()) / 1e3, self._arrive)

    def happen(self, h: Happening) -> None:
        self.traffic.happen(h, self.now())

    def _arrive(self) -> None:
        """Open loop: what falls due is asked, however late this process is; its time counts from then."""
        now, end = self.now(), self.epoch_ms + self.day["day"].length_s * 1e3
        while self.next_ms <= now and self.next_ms < end:
            asked = self.traffic.draw(now)
            self.serial += 1
            self.record.note(
                "due",
                m=f"{self.source}\nt{self.serial}",
                f=self.day["tariffs"][asked.request_class].name,
                c=self.day["customers"][asked.tenant].name,
                w=round(asked.work_ms, 3),
                at=round(self.next_ms - self.epoch_ms, 3),
            )
            Attempt(self, f"t{self.serial}", asked, self.next_ms, 0, asked.front).go()
            self.next_ms += self.traffic.wait()
        if self.next_ms < end:
            self.reactor.callLater(max(0.0, self.next_ms - self.now()) / 1e3, self._arrive)

    def again(self, attempt: Attempt, again: Again | None) -> None:
        if again is None:
            return
        front = self.manners.front(attempt.front, again.elsewhere)
        follow = Attempt(self, attempt.id, attempt.asked, attempt.first_ms, attempt.turn + 1, front)
        self.reactor.callLater(again.wait_ms / 1e3, follow.go)
