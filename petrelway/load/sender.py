"""Sends what is due as CloudEvents over HTTP, counts how each ended, and times it from when it was due."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from urllib.parse import quote

from hdrh.histogram import HdrHistogram
from twisted.internet import defer, interfaces

from ..fakes.clients import Asker, Pool
from .arrivals import Due, TraceError

MOST_MS = 3_600_000
TICK_MS = 0.1  # what is due within this time is sent together
PLAIN = "".join(chr(c) for c in range(33, 127) if chr(c) not in '"%')  # as CloudEvents' HTTP binding has it


def histogram() -> HdrHistogram:
    """Latencies in microseconds, to three digits."""
    return HdrHistogram(1, MOST_MS * 1000, 3)


def put(histogram: HdrHistogram, ms: float) -> None:
    histogram.record_value(max(1, min(MOST_MS * 1000, round(ms * 1000))))


class Sender:
    """One process's part of a load, in open loop.

    A generator that waits for answers would send less while the target stands still, and its figures would
    look good. What is due is sent here, or counted as not sent past `open_bound`; and each latency counts
    from when the request was due, also where this process itself was late.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        port: int,
        arrivals: Iterator[Due],
        attributes: dict[str, str],
        source: str,
        timeout_ms: float,
        open_bound: int,
    ) -> None:
        self.reactor, self.arrivals, self.attributes = reactor, arrivals, attributes
        self.source, self.timeout_ms, self.open_bound = source, timeout_ms, open_bound
        self.pool = Pool(reactor, port)
        self.latency, self.lateness = histogram(), histogram()
        self.by_second: list[Counter[str]] = []
        self.counts: Counter[str] = Counter()
        self.open = self.serial = 0
        self.next: Due | None = None
        self.done: defer.Deferred[None] = defer.Deferred()

    def start(self, epoch_s: float) -> defer.Deferred[None]:
        """Begin at that time of the reactor; fires when all has ended, or with the fault of a bad trace."""
        self.epoch_ms = epoch_s * 1e3
        self._go_on()
        self._wait()
        return self.done

    def _go_on(self) -> None:
        try:
            self.next = next(self.arrivals, None)
        except TraceError:  # danger: raised into the reactor it would leave the load waiting for ever
            self.next = None
            if not self.done.called:
                self.done.errback()

    def now(self) -> float:
        """Ms since the epoch."""
        return self.reactor.seconds() * 1e3 - self.epoch_ms

    def _wait(self) -> None:
        if self.next is None:
            self._end_if_over()
            return
        wait_ms = max(0.0, self.next.at_ms - self.now())
        self.reactor.callLater(wait_ms / 1e3, self._send_due)

    def _send_due(self) -> None:
        until = self.now() + TICK_MS
        while self.next is not None and self.next.at_ms <= until:
            self._send(self.next)
            self._go_on()
        self._wait()

    def _send(self, due: Due) -> None:
        self._count(due, "due")
        if self.open >= self.open_bound:
            self._count(due, "not sent")
            return
        put(self.lateness, self.now() - due.at_ms)
        self.open += 1
        self.serial += 1
        Try(self, due, f"{self.serial}").go()

    def _count(self, due: Due, what: str) -> None:
        self.counts[what] += 1
        second = int(due.at_ms // 1e3)
        while len(self.by_second) <= second:
            self.by_second.append(Counter())
        self.by_second[second][what] += 1

    def ended(self, due: Due, what: str) -> None:
        self._count(due, what)
        put(self.latency, self.now() - due.at_ms)
        self.open -= 1
        self._end_if_over()

    def _end_if_over(self) -> None:
        if self.next is None and not self.open and not self.done.called:
            self.done.callback(None)


class Try:
    """One request on its connection."""

    def __init__(self, sender: Sender, due: Due, id: str) -> None:
        self.sender, self.due, self.id = sender, due, id
        self.asker: Asker | None = None
        self.over = False

    def go(self) -> None:
        s = self.sender
        # its time counts from when it was due
        wait_ms = max(1.0, s.timeout_ms - (s.now() - self.due.at_ms))
        self.timer = s.reactor.callLater(wait_ms / 1e3, self._late)
        found = s.pool.get()
        if isinstance(found, Asker):
            self._ask(found)
        else:
            found.addCallbacks(self._ask, lambda _: self._end("unreachable"))

    def _ask(self, asker: Asker) -> None:
        s = self.sender
        if self.over:
            s.pool.free(asker)
            return
        self.asker = asker
        body = json.dumps({"work_ms": round(self.due.size_ms, 3)}).encode()
        head = [
            ("host", "petrelway"),
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("ce-specversion", "1.0"),
            ("ce-id", self.id),
            ("ce-source", s.source),
            ("ce-type", "trigger"),
            ("ce-function", quote(self.due.function, PLAIN)),
            *((f"ce-{name}", quote(value, PLAIN)) for name, value in s.attributes.items()),
        ]
        asker.ask(self, head, body)

    def answered(self, status: int, headers: dict[str, str]) -> None:
        self._end(headers.get("petrelway-outcome") or f"status {status}")

    def lost(self) -> None:
        self._end("lost")

    def _late(self) -> None:
        if self.asker is not None:
            self.asker.attempt = None
            self.asker.transport.abortConnection()
        self._end("timed out")

    def _end(self, what: str) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        self.sender.ended(self.due, what)
