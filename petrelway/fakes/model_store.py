"""The stand-in model store: fetches share its capacity, it slows when crowded, refuses, and may collapse."""

from __future__ import annotations

from collections import deque

from google.protobuf.message import DecodeError
from twisted.internet import protocol

from ..wire import store_pb2 as pb
from ..wire.framing import Frames, WireError, frame

REFUSE_MS = 20.0


class Store:
    """The model, without sockets. `takes` fetches run at full pace; past `limit` one is refused."""

    def __init__(
        self,
        clock,
        takes: int,
        limit: int,
        thrash: float,
        fall_multiple: float,
        fall_ms: float,
        down_ms: float,
    ) -> None:
        self.clock, self.takes, self.limit, self.thrash = clock, takes, limit, thrash
        self.fall_multiple, self.fall_ms, self.down_ms = fall_multiple, fall_ms, down_ms
        self.slowed = 1.0
        self.running: list[list] = []  # [left ms at full pace, done callable]
        self.advanced_ms = self.now()
        self.timer = None
        self.over_since = -1.0
        self.down_until = 0.0
        self.falls = self.fetches = self.refused = 0
        self.recent: deque[float] = deque()

    def now(self) -> float:
        return self.clock.seconds() * 1e3

    def fetch(self, fetch_ms: float, done) -> None:
        now = self.now()
        self.fetches += 1
        if now < self.down_until or len(self.running) >= self.limit:
            self.refused += 1
            self.clock.callLater(REFUSE_MS / 1e3, done, False)
            return
        self._advance()
        self.running.append([max(1.0, fetch_ms), done])
        if self.fall_multiple and len(self.running) > self.fall_multiple * self.takes:
            if self.over_since < 0.0:
                self.over_since = now
            elif now - self.over_since > self.fall_ms and self.falls < 2:
                self._fall(now)
        else:
            self.over_since = -1.0
        self._schedule()

    def slow(self, factor: float) -> None:
        self._advance()
        self.slowed = max(1e-6, factor)
        self._schedule()

    def _fall(self, now: float) -> None:
        self.falls += 1
        self.down_until, self.over_since = now + self.down_ms, -1.0
        failed, self.running = self.running, []
        for _, done in failed:
            done(False)

    def _rate(self) -> float:
        n = len(self.running)
        crowd = min(1.0, self.takes / n) if n else 0.0
        if n > self.takes:
            crowd *= 1.0 - self.thrash * (1.0 - self.takes / n)
        return crowd / self.slowed

    def _advance(self) -> None:
        now, rate = self.now(), self._rate()
        for each in self.running:
            each[0] -= (now - self.advanced_ms) * rate
        self.advanced_ms = now

    def _schedule(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.running:
            wait = max(0.0, min(left for left, _ in self.running) / self._rate())
            self.timer = self.clock.callLater(wait / 1e3, self._done)

    def _done(self) -> None:
        self._advance()
        finished = [each for each in self.running if each[0] <= 1e-3]
        self.running = [each for each in self.running if each[0] > 1e-3]
        self._schedule()
        for _, done in finished:
            done(True)


class StoreProtocol(protocol.Protocol):
    def __init__(self, store: Store, record) -> None:
        self.store, self.record = store, record
        self.frames = Frames()

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                ask = pb.Ask()
                ask.ParseFromString(payload)
                self.record.note("fetch", fn=ask.function)
                self.store.fetch(ask.fetch_ms, lambda good, id=ask.id: self._say(id, good))
        except (WireError, DecodeError):
            self.transport.abortConnection()

    def _say(self, id: int, good: bool) -> None:
        if self.connected:
            self.transport.write(frame(pb.Fetched(id=id, good=good).SerializeToString()))


class StoreClient(protocol.ReconnectingClientFactory):
    """The executors' side: asks by number, hears once of each; a lost connection fails what was asked."""

    noisy = False
    initialDelay, maxDelay = 0.05, 0.5

    def __init__(self) -> None:
        self.wire = None
        self.asked: dict[int, object] = {}
        self.id = 0

    def buildProtocol(self, address):
        self.resetDelay()
        return StoreClientProtocol(self)

    def fetch(self, function: str, fetch_ms: float, done) -> None:
        if self.wire is None:
            done(False)
            return
        self.id += 1
        self.asked[self.id] = done
        self.wire.transport.write(
            frame(pb.Ask(id=self.id, function=function, fetch_ms=fetch_ms).SerializeToString())
        )


class StoreClientProtocol(protocol.Protocol):
    def __init__(self, factory: StoreClient) -> None:
        self.owner = factory
        self.frames = Frames()

    def connectionMade(self) -> None:
        self.owner.wire = self

    def dataReceived(self, data: bytes) -> None:
        for payload in self.frames.feed(data):
            told = pb.Fetched()
            told.ParseFromString(payload)
            if (done := self.owner.asked.pop(told.id, None)) is not None:
                done(told.good)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.owner.wire = None
        asked, self.owner.asked = self.owner.asked, {}
        for done in asked.values():
            done(False)
