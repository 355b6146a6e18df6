"""The client of the package store over HTTP: resumes broken fetches, fetches each package once at a time."""

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

MAX_ATTEMPTS = 4  # of one fetch, each resuming where the last one broke
INITIAL_BACKOFF_MS = 200.0  # between attempts, doubling
REFERENCE_BYTES_BOUND = 1 << 16  # of the store's answer on a name


class FetchError(Exception):
    """A fetch that failed for good; `kind` is a short word for counts."""

    def __init__(self, kind: str, text: str) -> None:
        """Take the kind for counts, and the text for the log."""
        super().__init__(text)
        self.kind = kind


class PackageReference(msgspec.Struct, frozen=True):
    """What the store says that a function's name points at."""

    digest: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    size: Annotated[int, Meta(ge=1)]
    memory_mb: Annotated[float, Meta(gt=0)]
    concurrency: Annotated[int, Meta(ge=1, le=1024)] = msgspec.field(name="lanes")


class BodyToFileProtocol(protocol.Protocol):
    """Writes a response's body to a file, no more bytes than announced.

    `completed` fires with whether all of them came.
    """

    def __init__(self, file, most_bytes: int) -> None:
        """Write at most `most_bytes` to `file`."""
        self.file = file
        self.remaining_bytes = most_bytes
        self.completed: defer.Deferred[bool] = defer.Deferred(lambda _: self.abort())

    def abort(self) -> None:
        """Break the transfer off."""
        if self.transport is not None:
            getattr(self.transport, "abortConnection", self.transport.loseConnection)()

    def dataReceived(self, data: bytes) -> None:
        """Write bytes; abort at more than announced."""
        if len(data) > self.remaining_bytes:  # a store that sends without end must not fill the disk
            self.remaining_bytes = -1
            self.abort()
            return
        self.remaining_bytes -= len(data)
        self.file.write(data)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Report whether the whole body came."""
        if not self.completed.called:
            self.completed.callback(bool(reason.check(ResponseDone)) and self.remaining_bytes == 0)


class PackageStoreClient:
    """Asks one store for names and packages."""

    def __init__(self, reactor, address: str, port: int, timeout_ms: float, silence_ms: float) -> None:
        """Limit each answer to `timeout_ms`, and silence within a transfer to `silence_ms`."""
        self.reactor = reactor
        self.base_url = f"http://{address}:{port}"
        self.timeout_ms = timeout_ms
        self.silence_ms = silence_ms
        self.pool = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = 32
        self.agent = Agent(reactor, connectTimeout=min(5.0, timeout_ms / 1e3), pool=self.pool)
        self.in_progress: dict[str, list[defer.Deferred]] = {}

    @defer.inlineCallbacks
    def resolve(self, function: str):
        """Return the package that a function's name points at. Raises FetchError."""
        response = yield self._get(f"/names/{quote(function, safe='')}", None)
        raw = yield self._limited(readBody(response))
        if response.code != 200:
            raise FetchError(f"store says {response.code}", f"{function}: {raw[:200]!r}")
        try:
            return msgspec.json.decode(raw[:REFERENCE_BYTES_BOUND], type=PackageReference)
        except msgspec.MsgspecError as error:
            raise FetchError("store answer malformed", f"{function}: {error}") from error

    def _limited(self, waited: defer.Deferred) -> defer.Deferred:
        return waited.addTimeout(self.timeout_ms / 1e3, self.reactor)

    @defer.inlineCallbacks
    def _get(self, path: str, start: int | None):
        headers = Headers({"range": [f"bytes={start}-"]} if start else {})
        try:
            return (yield self._limited(self.agent.request(b"GET", (self.base_url + path).encode(), headers)))
        except defer.CancelledError:
            raise
        except Exception as error:
            raise FetchError("store unreachable", str(error) or type(error).__name__) from error

    def fetch(
        self,
        package: PackageReference,
        new_partial_file: Callable[[], Path],
        add_to_cache: Callable[[Path, str], defer.Deferred],
    ) -> defer.Deferred[None]:
        """Fetch a package into the cache; further calls for it meanwhile wait for the same fetch."""
        waiting = self.in_progress.get(package.digest)
        result: defer.Deferred[None] = defer.Deferred()
        if waiting is not None:
            waiting.append(result)
            return result
        self.in_progress[package.digest] = [result]

        def finish(outcome):
            for waiter in self.in_progress.pop(package.digest):
                if not waiter.called:
                    waiter.callback(outcome)

        self._fetch(package, new_partial_file(), add_to_cache).addBoth(finish)
        return result

    @defer.inlineCallbacks
    def _fetch(
        self, package: PackageReference, partial: Path, add_to_cache: Callable[[Path, str], defer.Deferred]
    ):
        try:
            with open(partial, "wb") as file:
                for attempt in range(MAX_ATTEMPTS):
                    if attempt:
                        yield self._pause(INITIAL_BACKOFF_MS * 2.0 ** (attempt - 1))
                    try:
                        if (yield self._fetch_rest(package, file)):
                            break
                    except FetchError:
                        if attempt == MAX_ATTEMPTS - 1:
                            raise
                else:
                    raise FetchError(
                        "fetch incomplete",
                        f"{file.tell()} of {package.size} bytes after {MAX_ATTEMPTS} attempts",
                    )
            yield add_to_cache(partial, package.digest)
        finally:
            partial.unlink(missing_ok=True)

    @defer.inlineCallbacks
    def _fetch_rest(self, package: PackageReference, file):
        """Fetch what is missing, or some of it; return whether the file is complete. Raises FetchError."""
        start = file.tell()
        response = yield self._get(f"/packages/{package.digest}", start)
        if start and response.code == 200:  # the store does not support ranges: start again
            file.seek(0)
            file.truncate()
            start = 0
        elif start and response.code == 206:
            content_range = response.headers.getRawHeaders("content-range", [""])[0]
            if (match := re.match(r"bytes (\d+)-", content_range)) is None or int(match[1]) != start:
                response._transport.abortConnection()
                raise FetchError("wrong range", content_range)
        elif response.code not in (200, 206):
            yield self._limited(readBody(response)).addErrback(lambda _: None)
            raise FetchError(f"store says {response.code}", package.digest[:16])
        receiver = BodyToFileProtocol(file, package.size - start)
        response.deliverBody(receiver)
        # a store that stalls halfway would hold the load's reservation for ever
        stall_detector = _StallDetector(self.reactor, file, self.silence_ms, receiver)
        complete = yield receiver.completed
        stall_detector.close()
        if receiver.remaining_bytes < 0:
            raise FetchError("fetch too long", f"more than the {package.size} bytes announced")
        return complete

    def _pause(self, ms: float) -> defer.Deferred:
        pause: defer.Deferred = defer.Deferred()
        self.reactor.callLater(ms / 1e3, pause.callback, None)
        return pause

    def close(self) -> defer.Deferred:
        """Close the idle connections to the store."""
        return self.pool.closeCachedConnections()


class _StallDetector:
    """Aborts a transfer that brings no byte for some time."""

    def __init__(self, clock, file, silence_ms: float, receiver: BodyToFileProtocol) -> None:
        self.clock = clock
        self.file = file
        self.silence_ms = silence_ms
        self.receiver = receiver
        self.last_position = file.tell()
        self.timer = clock.callLater(silence_ms / 1e3, self._check_progress)

    def _check_progress(self) -> None:
        self.timer = None
        if self.file.tell() == self.last_position:
            self.receiver.abort()
            return
        self.last_position = self.file.tell()
        self.timer = self.clock.callLater(self.silence_ms / 1e3, self._check_progress)

    def close(self) -> None:
        """Stop watching: the transfer ended."""
        if self.timer is not None:
            self.timer.cancel()
