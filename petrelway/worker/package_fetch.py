"""Fetches from the model store over HTTP, going on where a broken fetch was; each package once at a time."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import msgspec
from msgspec import Meta
from twisted.internet import defer, protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone, readBody
from twisted.web.http_headers import Headers

TRIES = 4  # of one fetch, each going on where the last one broke
PAUSE_MS = 200.0  # between them, doubling
WORD_BOUND = 1 << 16  # bytes of the store's word on a name


class FetchError(Exception):
    """A fetch that failed for good; `kind` is a short word for counts."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class Named(msgspec.Struct, frozen=True):
    """The store's word on a function's name."""

    digest: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    size: Annotated[int, Meta(ge=1)]
    memory_mb: Annotated[float, Meta(gt=0)]
    lanes: Annotated[int, Meta(ge=1, le=1024)]


class Sink(protocol.Protocol):
    """Writes a response's body to a file, no more than was told."""

    def __init__(self, file, most: int) -> None:
        self.file, self.left = file, most
        self.done: defer.Deferred[bool] = defer.Deferred(lambda _: self._stop())

    def _stop(self) -> None:
        if self.transport is not None:
            getattr(self.transport, "abortConnection", self.transport.loseConnection)()

    def dataReceived(self, data: bytes) -> None:
        if len(data) > self.left:  # danger: a store that sends without end
            self.left = -1
            self._stop()
            return
        self.left -= len(data)
        self.file.write(data)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        if not self.done.called:
            self.done.callback(bool(reason.check(ResponseDone)) and self.left == 0)


class Store:
    """The client's side of one store."""

    def __init__(self, reactor, address: str, port: int, timeout_ms: float, silence_ms: float) -> None:
        self.reactor, self.base = reactor, f"http://{address}:{port}"
        self.timeout_ms, self.silence_ms = timeout_ms, silence_ms
        self.pool = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = 32
        self.agent = Agent(reactor, connectTimeout=min(5.0, timeout_ms / 1e3), pool=self.pool)
        self.under_way: dict[str, list[defer.Deferred]] = {}

    @defer.inlineCallbacks
    def named(self, function: str):
        """The store's word on a function. Raises FetchError."""
        response = yield self._get(f"/names/{quote(function, safe='')}", None)
        raw = yield self._limited(readBody(response))
        if response.code != 200:
            raise FetchError(f"store says {response.code}", f"{function}: {raw[:200]!r}")
        try:
            return msgspec.json.decode(raw[:WORD_BOUND], type=Named)
        except msgspec.MsgspecError as error:
            raise FetchError("store's word malformed", f"{function}: {error}") from error

    def _limited(self, waited: defer.Deferred) -> defer.Deferred:
        return waited.addTimeout(self.timeout_ms / 1e3, self.reactor)

    @defer.inlineCallbacks
    def _get(self, path: str, start: int | None):
        headers = Headers({"range": [f"bytes={start}-"]} if start else {})
        try:
            return (yield self._limited(self.agent.request(b"GET", (self.base + path).encode(), headers)))
        except defer.CancelledError:
            raise
        except Exception as error:
            raise FetchError("store not reached", str(error) or type(error).__name__) from error

    def fetch(
        self, named: Named, half: Callable[[], Path], keep: Callable[[Path, str], defer.Deferred]
    ) -> defer.Deferred[None]:
        """The package under its digest; who asks meanwhile for the same waits for the same fetch."""
        waiting = self.under_way.get(named.digest)
        mine: defer.Deferred[None] = defer.Deferred()
        if waiting is not None:
            waiting.append(mine)
            return mine
        self.under_way[named.digest] = [mine]

        def over(result):
            for each in self.under_way.pop(named.digest):
                if not each.called:
                    each.callback(result)

        self._fetch(named, half(), keep).addBoth(over)
        return mine

    @defer.inlineCallbacks
    def _fetch(self, named: Named, half: Path, keep: Callable[[Path, str], defer.Deferred]):
        try:
            with open(half, "wb") as file:
                for turn in range(TRIES):
                    if turn:
                        yield self._pause(PAUSE_MS * 2.0 ** (turn - 1))
                    try:
                        if (yield self._piece(named, file)):
                            break
                    except FetchError:
                        if turn == TRIES - 1:
                            raise
                else:
                    raise FetchError("fetch cut", f"{file.tell()} of {named.size} bytes after {TRIES} tries")
            yield keep(half, named.digest)
        finally:
            half.unlink(missing_ok=True)

    @defer.inlineCallbacks
    def _piece(self, named: Named, file):
        """All that is missing, or some of it; True once the file is whole. Raises FetchError."""
        at = file.tell()
        response = yield self._get(f"/packages/{named.digest}", at)
        if at and response.code == 200:  # the store does not do ranges: from the beginning
            file.seek(0)
            file.truncate()
            at = 0
        elif at and response.code == 206:
            told = response.headers.getRawHeaders("content-range", [""])[0]
            if (m := re.match(r"bytes (\d+)-", told)) is None or int(m[1]) != at:
                response._transport.abortConnection()
                raise FetchError("wrong range", told)
        elif response.code not in (200, 206):
            yield self._limited(readBody(response)).addErrback(lambda _: None)
            raise FetchError(f"store says {response.code}", named.digest[:16])
        sink = Sink(file, named.size - at)
        response.deliverBody(sink)
        # danger: a store that stalls halfway would hold the load's room for ever
        watch = _Watch(self.reactor, file, self.silence_ms, sink)
        whole = yield sink.done
        watch.close()
        if sink.left < 0:
            raise FetchError("fetch too long", f"more than the {named.size} bytes that were told")
        return whole

    def _pause(self, ms: float) -> defer.Deferred:
        pause: defer.Deferred = defer.Deferred()
        self.reactor.callLater(ms / 1e3, pause.callback, None)
        return pause

    def close(self) -> defer.Deferred:
        return self.pool.closeCachedConnections()


class _Watch:
    """Breaks a transfer off that brings no byte for some time."""

    def __init__(self, clock, file, silence_ms: float, sink: Sink) -> None:
        self.clock, self.file, self.silence_ms, self.sink = clock, file, silence_ms, sink
        self.at = file.tell()
        self.timer = clock.callLater(silence_ms / 1e3, self._look)

    def _look(self) -> None:
        self.timer = None
        if self.file.tell() == self.at:
            self.sink._stop()
            return
        self.at = self.file.tell()
        self.timer = self.clock.callLater(self.silence_ms / 1e3, self._look)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
