"""The console on HTTP: pages as background tasks, live figures as server-sent events. Read-only."""

from __future__ import annotations

import hmac
import json
import os
from pathlib import Path
from typing import Any

import jinja2
import msgspec
from twisted.internet import defer, interfaces
from twisted.web import resource, server
from zope.interface import implementer

from ..background.planner import Class
from ..background.running import Background, RefusedError
from ..gateway.http_request_timeout import REQUEST_TIMEOUT_S, RequestTimeouts, TimedRequest
from ..policy.messages import ChangeRequest
from . import pages

HERE = Path(__file__).parent
PAGE_WITHIN_MS = 900.0  # a page's deadline among background tasks
CONNECTIONS_BOUND = 160
VIEWERS_BOUND = 64
LIVE_MS, LIVE_SLOW_MS = 1000.0, 5000.0  # between live figures, and when the daemon gives up something
SLOW_READER_MS = 10_000.0  # a viewer that takes nothing for so long is cut off
BODY_BOUND = 4096
WISH_BOUND = 2 << 20  # bytes of an operator's change, with its document and that of the settings
HEADERS = {
    b"content-security-policy": b"default-src 'none'; script-src 'self'; style-src 'self'; "
    b"connect-src 'self'; img-src 'self'; base-uri 'none'; form-action 'self'; frame-ancestors 'none'",
    b"x-content-type-options": b"nosniff",
    b"referrer-policy": b"no-referrer",
    b"cache-control": b"no-store",
}


class Request(TimedRequest):
    def gotLength(self, length: int | None) -> None:
        if length is not None and length > self.channel.site.body_bound:
            self.channel.loseConnection()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.content.tell() + len(data) > self.channel.site.body_bound:
            self.channel.loseConnection()
            return
        super().handleContentChunk(data)


class Console(server.Site):
    """The console of one daemon."""

    requestFactory = Request

    def __init__(self, reactor, daemon: Any, background: Background, log, token: str = "") -> None:
        self.daemon, self.background, self.logger = daemon, background, log
        self.connections = 0
        self.viewers: list[Viewer] = []
        self.live_timer = None
        self.closed = False
        self.token = token  # empty: read-only
        self.clock = reactor
        self.counts: dict[str, int] = {}
        self.templates = jinja2.Environment(
            loader=jinja2.FileSystemLoader(HERE / "templates"),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
        )
        root = resource.Resource()
        root.putChild(b"", Page(self, "service"))
        for name in pages.PAGES:
            root.putChild(name.encode(), Page(self, name))
        root.putChild(b"live", Live(self))
        root.putChild(
            b"console.js", Asset(self, HERE / "assets" / "console.js", b"text/javascript; charset=utf-8")
        )
        style = Asset(self, HERE / "assets" / "console.css", b"text/css; charset=utf-8")
        root.putChild(b"console.css", style)
        root.putChild(b"metrics", Metrics(self))
        self.body_bound = BODY_BOUND
        if token:
            root.putChild(b"leave", Leave(self))
        if token and daemon.policy is not None:
            self.body_bound = WISH_BOUND
            root.putChild(b"wish", Wish(self))
        super().__init__(root, timeout=REQUEST_TIMEOUT_S, reactor=reactor)
        self.displayTracebacks = False
        self.request_timeouts = RequestTimeouts(reactor, self._request_timed_out)
        self._live_later()

    def buildProtocol(self, address):
        if self.connections >= CONNECTIONS_BOUND:
            self._count("connections over the bound")
            return None
        channel = super().buildProtocol(address)
        self.connections += 1
        self.request_timeouts.watch(channel, self._connection_closed)
        return channel

    def _connection_closed(self, transport: interfaces.ITransport) -> None:
        self.connections -= 1

    def _request_timed_out(self, transport: interfaces.ITransport) -> None:
        self._count("requests not complete in time")
        transport.abortConnection()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- live figures

    def _live_later(self) -> None:
        if not self.closed:
            slow = self.daemon.slow_pages()
            self.live_timer = self.clock.callLater((LIVE_SLOW_MS if slow else LIVE_MS) / 1e3, self._live)

    def _live(self) -> None:
        self.live_timer = None
        if not self.viewers:
            self._live_later()
            return

        def send():
            yield
            data = b"data: " + json.dumps(pages.live(self.daemon)).encode() + b"\n\n"
            for viewer in list(self.viewers):
                viewer.tell(data)  # one text for all of them
                yield

        done = self.background.run("live", Class.LIVE, send())
        done.addErrback(lambda f: self._count("live failed"))
        done.addBoth(lambda _: self._live_later())

    def close(self) -> None:
        self.closed = True
        if self.live_timer is not None:
            self.live_timer.cancel()
        for viewer in list(self.viewers):
            viewer.end()


def _answer(request: Request, status: int, kind: bytes, body: bytes) -> None:
    if request._disconnected:
        return
    request.setResponseCode(status)
    for name, value in HEADERS.items():
        request.responseHeaders.setRawHeaders(name, [value])
    request.responseHeaders.setRawHeaders(b"content-type", [kind])
    request.responseHeaders.setRawHeaders(b"content-length", [b"%d" % len(body)])
    if request.method != b"HEAD":
        request.write(body)
    request.finish()


class Page(resource.Resource):
    isLeaf = True

    def __init__(self, console: Console, name: str) -> None:
        super().__init__()
        self.console, self.name = console, name

    def render_GET(self, request: Request):
        asked = {
            k.decode("latin-1"): v[0].decode(errors="replace")[:500] for k, v in request.args.items() if v
        }
        as_json = asked.get("format") == "json" or (request.getHeader("accept") or "").startswith(
            "application/json"
        )
        console = self.console

        def steps():
            data = yield from pages.PAGES[self.name](console.daemon, asked)
            yield
            if as_json:
                return b"application/json", json.dumps(data).encode()
            template = console.templates.get_template(f"{self.name}.html")
            parts = []
            for part in template.generate(page=self.name, data=data, title=console.daemon.name):
                parts.append(part)
                if len(parts) % 20 == 0:
                    yield
            return b"text/html; charset=utf-8", "".join(parts).encode()

        done = console.background.run(f"page {self.name}", Class.PAGE, steps(), PAGE_WITHIN_MS)
        request.notifyFinish().addErrback(lambda _: done.cancel())
        done.addCallbacks(lambda found: _answer(request, 200, *found), self._failed, errbackArgs=(request,))
        return server.NOT_DONE_YET

    render_HEAD = render_GET

    def _failed(self, failure, request: Request) -> None:
        if failure.check(defer.CancelledError):
            return
        if failure.check(RefusedError):
            _answer(request, 503, b"text/plain", b"the console has too much to do\n")
            return
        self.console._count("pages failed")
        self.console.logger.error("page failed", page=self.name, error=failure.getErrorMessage())
        _answer(request, 500, b"text/plain", b"this page failed; the log has the reason\n")


class Asset(resource.Resource):
    isLeaf = True

    def __init__(self, console: Console, file: Path, kind: bytes) -> None:
        super().__init__()
        self.console = console
        self.body, self.kind = file.read_bytes(), kind

    def render_GET(self, request: Request):
        _answer(request, 200, self.kind, self.body)
        return server.NOT_DONE_YET


@implementer(interfaces.IPushProducer)
class Viewer:
    """One browser that looks on. What it does not take is skipped, not kept for it."""

    def __init__(self, console: Console, request: Request) -> None:
        self.console, self.request = console, request
        self.paused_ms: float | None = None
        self.over = False
        request.notifyFinish().addBoth(self._gone)
        request.registerProducer(self, True)

    def tell(self, data: bytes) -> None:
        if self.over:
            return
        if self.paused_ms is not None:
            self.console._count("live skipped")
            if self.console.background.now() - self.paused_ms > SLOW_READER_MS:
                self.console._count("slow readers cut off")
                self.request.channel.transport.abortConnection()
            return
        self.request.write(data)

    def pauseProducing(self) -> None:
        if self.paused_ms is None:
            self.paused_ms = self.console.background.now()

    def resumeProducing(self) -> None:
        self.paused_ms = None

    def stopProducing(self) -> None:
        self.over = True

    def end(self) -> None:
        if not self.over:
            self.request.unregisterProducer()
            self.request.finish()

    def _gone(self, _) -> None:
        self.over = True
        if self in self.console.viewers:
            self.console.viewers.remove(self)


class Live(resource.Resource):
    isLeaf = True

    def __init__(self, console: Console) -> None:
        super().__init__()
        self.console = console

    def render_GET(self, request: Request):
        if len(self.console.viewers) >= VIEWERS_BOUND:
            _answer(request, 503, b"text/plain", b"too many look on\n")
            return server.NOT_DONE_YET
        for name, value in HEADERS.items():
            request.responseHeaders.setRawHeaders(name, [value])
        request.responseHeaders.setRawHeaders(b"content-type", [b"text/event-stream"])
        request.channel.setTimeout(None)  # it stays; its own rule cuts a slow reader off
        request.write(b"retry: 3000\n\n")
        self.console.viewers.append(Viewer(self.console, request))
        return server.NOT_DONE_YET


class Trusted(resource.Resource):
    """POST with `Authorization: Bearer TOKEN`."""

    isLeaf = True

    def __init__(self, console: Console) -> None:
        super().__init__()
        self.console = console

    def render_POST(self, request: Request):
        given = (request.getHeader("authorization") or "").removeprefix("Bearer ")
        if hmac.compare_digest(given.encode("utf-8", "replace"), self.console.token.encode()):
            return self.trusted(request)
        self.console._count("wrong token")
        _answer(request, 403, b"text/plain", b"not with this token\n")
        return server.NOT_DONE_YET


class Wish(Trusted):
    """A change of the terms, or how one stands: the same words are sent until it has ended."""

    def trusted(self, request: Request):
        try:
            wish = msgspec.json.decode(request.content.read(), type=ChangeRequest)
        except (msgspec.MsgspecError, ValueError) as problem:
            _answer(request, 400, b"text/plain", f"can't be read: {problem}\n".encode()[:500])
            return server.NOT_DONE_YET
        progress = self.console.daemon.policy.request_change(wish)
        _answer(request, 200, b"application/json", msgspec.json.encode(progress))
        return server.NOT_DONE_YET


class Leave(Trusted):
    """The daemon answers what it owes and ends."""

    def trusted(self, request: Request):
        self.console.logger.warning("told to leave by the console")
        _answer(request, 202, b"text/plain", b"leaving\n")
        self.console.daemon.leave()
        return server.NOT_DONE_YET


def read_token(file: str) -> str:
    """The content of a token file. Raises ValueError with what is wrong."""
    try:
        if os.stat(file).st_mode & 0o077:
            raise ValueError(f"{file}: found mode {os.stat(file).st_mode & 0o777:o}; allowed: 600 or less")
        token = Path(file).read_text().strip()
    except OSError as error:
        raise ValueError(f"{file}: found {error.strerror}; allowed: a file that can be read") from error
    if len(token) < 16:
        raise ValueError(f"{file}: found {len(token)} characters; allowed: 16 at least")
    return token


class Metrics(resource.Resource):
    """Plain metrics, in the text format of prometheus-client."""

    isLeaf = True

    def __init__(self, console: Console) -> None:
        super().__init__()
        self.console = console

    def render_GET(self, request: Request):
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        daemon = self.console.daemon

        class Collector:
            def collect(self):
                family = CounterMetricFamily(
                    "petrelway_events", "What the host saw, by kind.", labels=["kind"]
                )
                failures = daemon.dispatcher.decision_failures.totals()
                for kind, count in sorted({**daemon.telemetry.totals, **failures}.items()):
                    family.add_metric([kind], count)
                yield family
                state = daemon.own_state()
                for name, key in (
                    ("open_triggers", "open triggers"),
                    ("lag_ms", "lag ms"),
                    ("gives_up", "step"),
                ):
                    yield GaugeMetricFamily(f"petrelway_{name}", key, value=state[key])

        registry = CollectorRegistry(auto_describe=False)
        registry.register(Collector())
        _answer(request, 200, b"text/plain; version=0.0.4; charset=utf-8", generate_latest(registry))
        return server.NOT_DONE_YET
