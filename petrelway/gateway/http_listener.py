"""The intake: a request as an HTTP POST, its one final answer as the response. The only part clients see.

Succeeded is 200 with the executor's answer; rejected 503 with Retry-After; broken off 502. The header
`petrelway-outcome` says which, `petrelway-retry-ms` the exact retry time. What can't be taken is 400, 413,
415 or 422 with a problem document (RFC 9457), and nothing has been taken then.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Callable

from twisted.internet import defer
from twisted.web import resource, server

from ..events.single import EventError, read
from .answers import Answer, Completion
from .cloudevent_requests import CloudEventReader, ReceivedRequest

BODY_BOUND = 1 << 18  # bytes of a request's body
OPEN_BOUND = 20_000  # requests without a final answer; past it a request is rejected and not taken
CONNECTIONS_BOUND = 4_000  # clients' connections; past it one is closed at once
BUSY_RETRY_MS = 250.0  # the retry time of what was not taken for want of room
LEAVING_RETRY_MS = 1000.0  # and of what came while this front end leaves
IDLE_S = 60  # a connection that asks nothing for so long is closed
STATUS = {Completion.SUCCEEDED: 200, Completion.REJECTED: 503, Completion.FAILED: 502}


class BodyBoundRequest(server.Request):
    """Danger: a body is collected before anyone looks at it; one over the bound is cut off here."""

    over = False

    def gotLength(self, length: int | None) -> None:
        if length is not None and length > BODY_BOUND:
            self._too_large()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.over:
            return
        if self.content.tell() + len(data) > BODY_BOUND:  # chunked: no length was told
            self._too_large()
            return
        super().handleContentChunk(data)

    def _too_large(self) -> None:
        if self.over:
            return
        self.over = True
        self.channel.site.refused(413)
        problem = _problem(413, "body", "more", f"{BODY_BOUND} bytes at most")
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/problem+json\r\n"
            b"Connection: close\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(problem), problem)
        )
        self.channel.loseConnection()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        if not self.over:
            super().requestReceived(command, path, version)


class HttpListener(server.Site):
    """The HTTP side of one front end: listens, reads asks, hands them to `take`, writes answers."""

    requestFactory = BodyBoundRequest

    def __init__(
        self,
        asks: CloudEventReader,
        take: Callable[[ReceivedRequest, str, bytes], defer.Deferred[Answer]],
        owed: Callable[[], int],
        log,
        open_bound: int = OPEN_BOUND,
        connections_bound: int = CONNECTIONS_BOUND,
        reactor=None,
    ) -> None:
        self.asks, self.take, self.owed, self.logger = asks, take, owed, log
        self.open_bound, self.connections_bound = open_bound, connections_bound
        self.guard: Callable[[ReceivedRequest], float] = lambda ask: (
            0.0
        )  # a retry time for what is not to be taken
        self.shut: Callable[[], float] = lambda: 0.0  # and for all, while nothing at all is taken
        self.terms: Callable[[], float] = lambda: 0.0  # and while it is not known under which terms
        self.leaving = False
        self.connections = 0
        self.counts: Counter[str] = Counter()
        root = resource.Resource()
        root.putChild(b"triggers", RequestResource(self))
        root.putChild(b"ready", ReadinessResource(self))
        # danger: a body's type is the event's; read as a form, each POST costs a tenth of a request more
        super().__init__(
            root, timeout=IDLE_S, parsePOSTFormSubmission=False, **({"reactor": reactor} if reactor else {})
        )
        self.displayTracebacks = False

    def buildProtocol(self, address):
        if self.connections >= self.connections_bound:
            self.counts["connections over the bound"] += 1
            return None  # closed at once: nothing was taken
        channel = super().buildProtocol(address)
        self.connections += 1
        lost = channel.connectionLost

        def counted(reason=None):
            self.connections -= 1
            return lost(reason)

        channel.connectionLost = counted
        return channel

    def refused(self, status: int) -> None:
        self.counts[f"refused {status}"] += 1


class ReadinessResource(resource.Resource):
    """GET: 200 while requests are taken, 503 with why not. What is given up under load is no reason."""

    isLeaf = True

    def __init__(self, intake: HttpListener) -> None:
        super().__init__()
        self.intake = intake

    def render_GET(self, request: server.Request):
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        why = "leaving" if self.intake.leaving else "its terms are not known" if self.intake.terms() else ""
        request.setResponseCode(503 if why else 200)
        return (why or "ready").encode() + b"\n"


class RequestResource(resource.Resource):
    isLeaf = True

    def __init__(self, intake: HttpListener) -> None:
        super().__init__()
        self.intake = intake

    def render(self, request: server.Request):
        intake = self.intake
        if request.method != b"POST":
            request.setHeader(b"allow", b"POST")
            return self._refuse(request, 405, "method", request.method.decode("latin-1"), "POST")
        if intake.leaving:
            request.setHeader(b"connection", b"close")
            return self._reject_untaken(request, LEAVING_RETRY_MS)
        if intake.owed() >= intake.open_bound:
            return self._reject_untaken(request, BUSY_RETRY_MS)
        if (retry_ms := intake.terms()) > 0.0:
            return self._reject_untaken(request, retry_ms)
        # danger: past its bounds the process would spend on reading events the time that it lacks
        if (retry_ms := intake.shut()) > 0.0:
            return self._reject_untaken(request, retry_ms)
        headers = {}
        for name, values in request.requestHeaders.getAllRawHeaders():
            headers[name.decode("latin-1").lower()] = values[0].decode("latin-1")
        try:
            event = read(headers, request.content.read())
            ask = intake.asks.read(event)
        except EventError as fault:
            return self._refuse(request, fault.status, fault.where, fault.found, fault.allowed)
        retry_ms = intake.guard(ask)
        if retry_ms > 0.0:
            return self._reject_untaken(request, retry_ms)
        answer = intake.take(ask, event.content_type, event.data)
        gone = request.notifyFinish()
        gone.addErrback(lambda _: answer.cancel())
        answer.addCallbacks(self._answered, self._unanswered, callbackArgs=(request,), errbackArgs=(request,))
        return server.NOT_DONE_YET

    def _answered(self, answer: Answer, request: server.Request) -> None:
        if request._disconnected:
            return
        request.setResponseCode(STATUS[answer.completion])
        head = request.responseHeaders
        head.setRawHeaders(b"petrelway-outcome", [answer.completion.encode()])
        if answer.completion == Completion.SUCCEEDED:
            head.setRawHeaders(
                b"content-type", [(answer.content_type or "application/octet-stream").encode()]
            )
            head.setRawHeaders(b"petrelway-executor", [answer.executor.encode()])
            head.setRawHeaders(b"petrelway-warmth", [answer.warmth.label.encode()])
            body = answer.body
        else:
            head.setRawHeaders(b"content-type", [b"application/problem+json"])
            if answer.completion == Completion.REJECTED:
                _retry(request, answer.retry_ms)
            body = _REJECTED if answer.completion == Completion.REJECTED else _FAILED
        head.setRawHeaders(b"content-length", [b"%d" % len(body)])
        request.write(body)
        request.finish()

    def _unanswered(self, failure, request: server.Request) -> None:
        if failure.check(defer.CancelledError):
            return  # the client is gone
        self.intake.logger.error("answer failed", error=failure.getErrorMessage())
        if not request._disconnected:
            self._answered(Answer(Completion.FAILED), request)

    def _reject_untaken(self, request: server.Request, retry_ms: float) -> bytes:
        self.intake.refused(503)
        request.setResponseCode(503)
        request.setHeader(b"petrelway-outcome", Completion.REJECTED.encode())
        request.setHeader(b"petrelway-taken", b"no")
        request.setHeader(b"content-type", b"application/problem+json")
        _retry(request, retry_ms)
        return _REJECTED

    def _refuse(self, request: server.Request, status: int, where: str, found: str, allowed: str) -> bytes:
        self.intake.refused(status)
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/problem+json")
        return _problem(status, where, found, allowed)


def _retry(request: server.Request, retry_ms: float) -> None:
    if retry_ms > 0.0:
        request.responseHeaders.setRawHeaders(b"retry-after", [b"%d" % math.ceil(retry_ms / 1e3)])
        request.responseHeaders.setRawHeaders(b"petrelway-retry-ms", [b"%.0f" % math.ceil(retry_ms)])


def _problem(status: int, where: str, found: str, allowed: str) -> bytes:
    return json.dumps(
        {
            "type": "about:blank",
            "title": "the trigger was not taken",
            "status": status,
            "detail": f"{where}: found {found}; allowed: {allowed}",
            "where": where,
            "allowed": allowed,
        }
    ).encode()


_REJECTED = json.dumps(
    {"type": "about:blank", "title": "nacked: trying again does no harm", "status": 503}
).encode()
_FAILED = json.dumps(
    {"type": "about:blank", "title": "broken off: the trigger may have run", "status": 502}
).encode()
