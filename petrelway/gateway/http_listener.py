"""The HTTP listener of a front end: a POST carries a request, the response its one final answer.

A request that succeeded gets 200 with the executor's answer; one that was rejected 503 with Retry-After; one
that failed 502. The header `petrelway-outcome` states which, `petrelway-retry-ms` the exact retry time.
What can't be accepted gets 400, 405, 413, 415 or 422 with a problem document (RFC 9457); nothing has been
accepted then. No other part of a front end deals with clients.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, interfaces
from twisted.web import resource, server

from ..events.single import Event, EventError, read
from ..sockets.answer_flush import AnswerFlush
from .answers import Answer, Completion
from .cloudevent_requests import CloudEventReader, ReceivedRequest
from .http_request_timeout import REQUEST_TIMEOUT_S, RequestTimeouts, TimedRequest
from .http_responses import problem_document, refuse, reject_before_acceptance, write_answer

BODY_BOUND = 1 << 18  # maximum size of a request body in bytes
OPEN_BOUND = 20_000  # requests without a final answer; beyond it a request is rejected, not accepted
CONNECTIONS_BOUND = 4_000  # client connections; beyond it a new one is closed at once
BUSY_RETRY_MS = 250.0  # retry time of a request that is not accepted for lack of capacity
DRAINING_RETRY_MS = 1000.0  # retry time of a request that arrives while this front end shuts down
IDLE_S = 60  # a connection without a request for this long is closed


class BodyBoundRequest(TimedRequest):
    """A request whose body is refused at BODY_BOUND, before it is collected in memory."""

    over_bound = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose announced length is too large."""
        if length is not None and length > BODY_BOUND:
            self._refuse_body()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that grows too large; a chunked body announces no length."""
        if self.over_bound:
            return
        if self.content.tell() + len(data) > BODY_BOUND:
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def _refuse_body(self) -> None:
        if self.over_bound:
            return
        self.over_bound = True
        self.channel.site.count_refused(413)
        problem = problem_document(413, "body", "more", f"{BODY_BOUND} bytes at most")
        _end_with_problem(self.channel.transport, b"413 Content Too Large", problem)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a request whose body was not refused."""
        if not self.over_bound:
            super().requestReceived(command, path, version)


def _end_with_problem(transport: interfaces.ITransport, status: bytes, problem: bytes) -> None:
    """Write a response ahead of a request that was not received to its end, and close the connection."""
    transport.write(
        b"HTTP/1.1 %s\r\nContent-Type: application/problem+json\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (status, len(problem), problem)
    )
    transport.unregisterProducer()
    transport.loseConnection()


class HttpListener(server.Site):
    """The HTTP site of one front end: reads requests, passes them to `accept`, writes answers.

    Three hooks may be set. Each returns a retry time in ms, or 0 to accept: `policy_retry_ms` rejects while
    the policy in force is not known, `overload_retry_ms` while no request at all is accepted, and
    `admission_retry_ms` rejects a single request."""

    requestFactory = BodyBoundRequest

    def __init__(
        self,
        reader: CloudEventReader,
        accept: Callable[[ReceivedRequest, str, bytes], defer.Deferred[Answer]],
        unanswered: Callable[[], int],
        log,
        open_bound: int = OPEN_BOUND,
        connections_bound: int = CONNECTIONS_BOUND,
        reactor=None,
    ) -> None:
        self.reader = reader
        self.accept = accept
        self.unanswered = unanswered
        self.logger = log
        self.open_bound = open_bound
        self.connections_bound = connections_bound
        self.policy_retry_ms: Callable[[], float] = lambda: 0.0
        self.overload_retry_ms: Callable[[], float] = lambda: 0.0
        self.admission_retry_ms: Callable[[ReceivedRequest], float] = lambda received: 0.0
        self.decisions_keep_failing: Callable[[], bool] = lambda: False
        self.draining = False
        self.connections = 0
        self.counts: Counter[str] = Counter()
        root = resource.Resource()
        root.putChild(b"triggers", RequestResource(self))
        root.putChild(b"ready", ReadinessResource(self))
        # The body's type is that of the event; parsing it as a form would make each POST a tenth costlier.
        super().__init__(
            root, timeout=IDLE_S, parsePOSTFormSubmission=False, **({"reactor": reactor} if reactor else {})
        )
        self.displayTracebacks = False
        self.request_timeouts = RequestTimeouts(self.reactor, self._request_timed_out)
        self.answer_flush = AnswerFlush(self.reactor)

    def buildProtocol(self, address):
        """Accept a connection and count it; beyond the bound return None, which closes it at once."""
        if self.connections >= self.connections_bound:
            self.counts["connections over the bound"] += 1
            return None
        channel = super().buildProtocol(address)
        self.connections += 1
        self.request_timeouts.watch(channel, self._connection_closed)
        return channel

    def _connection_closed(self, transport: interfaces.ITransport) -> None:
        self.connections -= 1
        self.answer_flush.closed(transport)

    def _request_timed_out(self, transport: interfaces.ITransport) -> None:
        self.count_refused(408)
        allowed = f"a whole request within {REQUEST_TIMEOUT_S:g} s of its first byte"
        problem = problem_document(408, "request", "part", allowed)
        _end_with_problem(transport, b"408 Request Timeout", problem)

    def count_refused(self, status: int) -> None:
        """Count a request that was not accepted."""
        self.counts[f"refused {status}"] += 1


class ReadinessResource(resource.Resource):
    """GET: 200 while requests are accepted, else 503 with the reason. Load shedding does not cause a 503."""

    isLeaf = True

    def __init__(self, listener: HttpListener) -> None:
        super().__init__()
        self.listener = listener

    def render_GET(self, request: server.Request):
        """Answer a load balancer's health check."""
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        reason = self._reason()
        request.setResponseCode(503 if reason else 200)
        return (reason or "ready").encode() + b"\n"

    def _reason(self) -> str:
        if self.listener.draining:
            return "leaving"
        if self.listener.policy_retry_ms():
            return "its terms are not known"
        return "no decision succeeds" if self.listener.decisions_keep_failing() else ""


class RequestResource(resource.Resource):
    """POST: one request; the response is sent when its final answer is available."""

    isLeaf = True

    def __init__(self, listener: HttpListener) -> None:
        super().__init__()
        self.listener = listener

    def render(self, request: server.Request):
        """Reject (503, may be retried), refuse (invalid) or accept a request."""
        if request.method != b"POST":
            request.setHeader(b"allow", b"POST")
            return self._refuse(request, 405, "method", request.method.decode("latin-1"), "POST")
        if self.listener.draining:
            request.setHeader(b"connection", b"close")
        retry_ms = self._retry_ms_of_all()
        if retry_ms > 0.0:
            return self._reject(request, retry_ms)
        try:
            event = _event(request)
            received = self.listener.reader.read(event)
        except EventError as error:
            return self._refuse(request, error.status, error.where, error.found, error.allowed)
        retry_ms = self.listener.admission_retry_ms(received)
        if retry_ms > 0.0:
            return self._reject(request, retry_ms)
        self._accept(request, received, event)
        return server.NOT_DONE_YET

    def _retry_ms_of_all(self) -> float:
        """Return the retry time in ms while no request at all is accepted, else 0.

        This is checked before the event is read: beyond its bounds the process would otherwise spend the time
        that it lacks on reading events."""
        listener = self.listener
        if listener.draining:
            return DRAINING_RETRY_MS
        if listener.unanswered() >= listener.open_bound:
            return BUSY_RETRY_MS
        retry_ms = listener.policy_retry_ms()
        return retry_ms if retry_ms > 0.0 else listener.overload_retry_ms()

    def _accept(self, request: server.Request, received: ReceivedRequest, event: Event) -> None:
        deadline_s = self.listener.reactor.seconds() + received.remaining_ms / 1e3
        answer = self.listener.accept(received, event.content_type, event.data)
        client_left = request.notifyFinish()
        client_left.addErrback(lambda _: answer.cancel())
        answer.addCallbacks(
            self._answered,
            self._answer_failed,
            callbackArgs=(request, deadline_s),
            errbackArgs=(request, deadline_s),
        )

    def _answered(self, answer: Answer, request: server.Request, deadline_s: float) -> None:
        if not request._disconnected:
            self.listener.answer_flush.answered(request.channel.transport, deadline_s)
            write_answer(request, answer)

    def _answer_failed(self, failure, request: server.Request, deadline_s: float) -> None:
        if failure.check(defer.CancelledError):
            return  # the client has left
        self.listener.logger.error("answer failed", error=failure.getErrorMessage())
        if not request._disconnected:
            self._answered(Answer(Completion.FAILED), request, deadline_s)

    def _reject(self, request: server.Request, retry_ms: float) -> bytes:
        self.listener.count_refused(503)
        return reject_before_acceptance(request, retry_ms)

    def _refuse(self, request: server.Request, status: int, where: str, found: str, allowed: str) -> bytes:
        self.listener.count_refused(status)
        return refuse(request, status, where, found, allowed)


def _event(request: server.Request) -> Event:
    headers = {}
    for name, values in request.requestHeaders.getAllRawHeaders():
        headers[name.decode("latin-1").lower()] = values[0].decode("latin-1")
    return read(headers, request.content.read())
