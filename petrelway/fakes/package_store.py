"""The stand-in model store for real packages: HTTP with ranges, paced, crowded, refusing, faulty on demand.

    GET /names/NAME       {"digest", "size", "memory_mb", "lanes"} of the package that the name points at
    GET /packages/DIGEST  its bytes; `Range: bytes=N-` goes on at N

A folder of .tar files is served; a name is the manifest's, or what `point` says.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from pathlib import Path

from twisted.internet import defer, interfaces
from twisted.web import resource, server

from ..sockets.answer_flush import AnswerFlush
from ..worker.package import check, digest_of

PIECE = 1 << 16
DRAIN_LIMIT_S = 10.0  # for fetches under way when the store is stopped; a worker asks again for the rest
DRAIN_CHECK_MS = 20.0
FAULTS = ("slow", "stall", "wrong bytes", "reset", "down", "cut")


class Shelf:
    """What is served, and how: the store's own state."""

    def __init__(
        self,
        reactor,
        takes: int,
        limit: int,
        fetch_ms: float,
        thrash: float = 0.0,
        fall_multiple: float = 0.0,
        down_ms: float = 0.0,
    ) -> None:
        """`fetch_ms` is how long a package takes at full pace, 0 for as fast as it goes."""
        self.reactor, self.takes, self.limit = reactor, takes, limit
        self.fetch_ms, self.thrash = fetch_ms, thrash
        self.fall_multiple, self.down_ms = fall_multiple, down_ms
        self.files: dict[str, Path] = {}
        self.names: dict[str, tuple[str, float, int]] = {}
        self.in_hand = 0
        self.down_until = 0.0
        self.fault, self.amount, self.faults_left, self.broken = "", 0.0, 0, ""
        self.counts: Counter[str] = Counter()
        self.transports: set[interfaces.ITransport] = set()  # of the fetches that may still be on their way
        self.heard = lambda digest: None  # of each fetch that begins

    def put(self, file: Path, name: str | None = None) -> str:
        """Serve a package; its name, or the one given, points at it from now on. Raises PackageError."""
        manifest, digest = check(file), digest_of(file)
        self.files[digest] = file
        self.names[name or manifest.name] = digest, manifest.memory_mb, manifest.concurrency
        return digest

    def put_all(self, folder: Path) -> None:
        for file in sorted(folder.glob("*.tar")):
            self.put(file)

    def break_with(self, fault: str, times: int, amount: float = 0.0, name: str = "") -> None:
        """The next `times` fetches meet this fault; `amount`: times slower, bytes before it, ms down."""
        if fault not in FAULTS:
            raise ValueError(f"found {fault!r}; allowed: {', '.join(FAULTS)}")
        self.fault, self.faults_left, self.amount, self.broken = fault, times, amount, name
        if fault == "down":
            self.down_until = self.reactor.seconds() * 1e3 + amount

    def met(self, digest: str) -> str:
        """The fault of this fetch; a name's own faults meet only the package that it points at."""
        if not self.faults_left or (self.broken and self.names[self.broken][0] != digest):
            return ""
        self.faults_left -= 1
        return self.fault

    def pace_ms(self) -> float:
        """For a whole package, at this moment."""
        over = max(1.0, self.in_hand / self.takes)
        return self.fetch_ms * over * (1.0 + self.thrash * (over - 1.0))

    def down(self) -> bool:
        return self.reactor.seconds() * 1e3 < self.down_until

    def pushed(self) -> None:
        if self.fall_multiple and self.in_hand > self.fall_multiple * self.takes and not self.down():
            self.counts["collapsed"] += 1
            self.down_until = self.reactor.seconds() * 1e3 + self.down_ms


@defer.inlineCallbacks
def finish_fetches(shelf: Shelf):
    """Wait until the fetches under way have been sent and received, DRAIN_LIMIT_S at most."""
    until_s = shelf.reactor.seconds() + DRAIN_LIMIT_S
    while shelf.in_hand and shelf.reactor.seconds() < until_s:
        yield _pause(shelf, DRAIN_CHECK_MS)
    flush = AnswerFlush(shelf.reactor)
    for transport in shelf.transports:
        flush.answered(transport, until_s)
    yield flush.wait(until_s)


class Names(resource.Resource):
    isLeaf = True

    def __init__(self, shelf: Shelf) -> None:
        super().__init__()
        self.shelf = shelf

    def render_GET(self, request: server.Request):
        shelf = self.shelf
        if shelf.down():
            request.setResponseCode(503)
            return b"down"
        name = b"/".join(request.postpath).decode(errors="replace")
        if name not in shelf.names:
            request.setResponseCode(404)
            return b"no such name"
        digest, memory_mb, lanes = shelf.names[name]
        request.setHeader(b"content-type", b"application/json")
        size = shelf.files[digest].stat().st_size
        return json.dumps({"digest": digest, "size": size, "memory_mb": memory_mb, "lanes": lanes}).encode()


class Packages(resource.Resource):
    isLeaf = True

    def __init__(self, shelf: Shelf) -> None:
        super().__init__()
        self.shelf = shelf

    def render_GET(self, request: server.Request):
        shelf = self.shelf
        digest = b"/".join(request.postpath).decode(errors="replace")
        file = shelf.files.get(digest)
        if file is None:
            request.setResponseCode(404)
            return b"no such package"
        if shelf.down() or shelf.in_hand >= shelf.limit:
            shelf.counts["refused"] += 1
            request.setResponseCode(503)
            return b"down" if shelf.down() else b"too many fetches"
        size, start = file.stat().st_size, 0
        asked = request.getHeader("range")
        if asked is not None:
            if (m := re.match(r"bytes=(\d+)-\Z", asked)) is None or int(m[1]) >= size:
                request.setResponseCode(416)
                return b""
            start = int(m[1])
            shelf.counts["resumed"] += 1
            request.setResponseCode(206)
            request.setHeader(b"content-range", b"bytes %d-%d/%d" % (start, size - 1, size))
        request.setHeader(b"content-length", b"%d" % (size - start))
        request.setHeader(b"content-type", b"application/x-tar")
        shelf.counts["fetches"] += 1
        shelf.heard(digest[:16])
        shelf.in_hand += 1
        shelf.transports = {transport for transport in shelf.transports if transport.connected}
        shelf.transports.add(request.channel.transport)
        shelf.pushed()
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        sent = _send(shelf, request, file, start, size, shelf.met(digest), gone)
        sent.addErrback(lambda _: request.transport and request.transport.abortConnection())
        sent.addBoth(lambda _: setattr(shelf, "in_hand", shelf.in_hand - 1))
        return server.NOT_DONE_YET


@defer.inlineCallbacks
def _send(shelf: Shelf, request, file: Path, start: int, size: int, fault: str, gone: list):
    pieces = max(1, -(-(size - start) // PIECE))
    with open(file, "rb") as source:
        source.seek(start)
        for i in range(pieces):
            if fault in ("reset", "cut", "stall") and source.tell() - start >= shelf.amount:
                if fault == "stall":
                    while not gone:
                        yield _pause(shelf, 50.0)
                    return
                wire = request.transport
                (wire.abortConnection if fault == "reset" else wire.loseConnection)()
                return
            pace = (
                shelf.pace_ms()
                / max(1, -(-size // PIECE))
                * (max(1.0, shelf.amount) if fault == "slow" else 1.0)
            )
            if pace > 0.0:
                yield _pause(shelf, pace)
            if gone or shelf.down():
                if not gone:
                    request.transport.abortConnection()
                return
            data = source.read(PIECE)
            if fault == "wrong bytes" and i == pieces // 2:
                data = bytes([data[0] ^ 1]) + data[1:]
            request.write(data)
    request.finish()


def _pause(shelf: Shelf, ms: float) -> defer.Deferred:
    pause: defer.Deferred = defer.Deferred()
    shelf.reactor.callLater(ms / 1e3, pause.callback, None)
    return pause


def site(shelf: Shelf, reactor) -> server.Site:
    root = resource.Resource()
    root.putChild(b"names", Names(shelf))
    root.putChild(b"packages", Packages(shelf))
    made = server.Site(root, reactor=reactor)
    made.displayTracebacks = False
    return made
