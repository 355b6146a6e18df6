"""The long-lived daemon: a front end that protects itself, counts what it sees, and shows it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from ..background.planner import Class, Planner
from ..background.running import Background
from ..common.structured_logs import BufferedLogStream
from ..console.serving import Console, read_token
from ..console.telemetry import Telemetry
from ..gateway.cloudevent_requests import ReceivedRequest
from ..gateway.service import FrontEndService
from ..routing.router import FrontEnd
from ..sockets.listening import listen_tcp
from .shedding import Shedder, Step

SLICE_MS, BURST_MS = 3.0, 30.0
BACKGROUND_LAG_MS = 15.0  # from this lag on background work gets less
LONGEST_WAIT_MS = 400.0  # of a background task: a page's few steps fit into a second
HOUSEKEEPING_MS = 250.0
CONSOLE_BACKLOG = 50


class Daemon(FrontEndService):
    """A front end with its console. `found` may have the sections `console` and `guard`."""

    def __init__(
        self,
        reactor,
        found: dict[str, Any],
        log,
        kind: Callable[..., FrontEnd] = FrontEnd,
        meter: Callable[[], float] | None = None,
        process: str = "",
        spent: Callable[[], float] = time.perf_counter,
        lines: BufferedLogStream | None = None,
        note: Callable[..., Any] | None = None,
        unix_ahead_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        super().__init__(reactor, found, log, kind, meter, process, note, unix_ahead_s)
        self.name = found["front_end"].name
        self.spent, self.lines = spent, lines
        self.console: Console | None = None
        self.console_port = None

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def startService(self) -> None:
        """Raises twisted.internet.error.CannotListenError if a port is taken."""
        found, guard = self.sections, self.sections["guard"]
        wanted = found.get("console")
        token = read_token(wanted.token_file) if wanted is not None and wanted.token_file else ""
        now = self.now()
        self.telemetry = Telemetry(now, {t.name: t.latency_objective_ms for t in found["tariffs"]})
        self.background = Background(
            self.reactor,
            Planner(now, guard.background_share, SLICE_MS, BURST_MS, BACKGROUND_LAG_MS, LONGEST_WAIT_MS),
            self.spent,
            self.log,
        )
        random_source = random.Random(f"{found['front_end'].seed}/guard")
        self.shedder = Shedder(
            [c.portion for c in found["customers"]],
            guard.lag_ms,
            guard.open,
            int(guard.buffered_mb * 2**20),
            guard.connections,
            random_source,
        )
        super().startService()
        self.dispatcher.observer = self.telemetry
        self.http_listener.admission_retry_ms = self._admission_retry_ms
        self.http_listener.overload_retry_ms = self.shedder.shut
        self.background.on_lag.append(self._lag_seen)
        self.background.start()
        self.background.run("counts into minutes", Class.IDLE, self._roll()).addErrback(lambda _: None)
        if self.lines is not None:
            self.ship()
        if wanted is not None:
            self.console = Console(self.reactor, self, self.background, self.log, token)
            try:
                self.console_port = listen_tcp(
                    self.reactor, wanted.port, self.console, CONSOLE_BACKLOG, wanted.address, self.log
                )
            except Exception:
                self.port.stopListening()
                raise
            self.log.info("console started", address=wanted.address, port=self.console_port.getHost().port)

    def _policy_adopted(self, told) -> None:
        super()._policy_adopted(told)
        self.telemetry.configuration_changed(self.active_policy.latency_objective_ms)
        self.shedder.told([c.portion for c in self.active_policy.tenants])
        self.telemetry.changed(self.now(), "terms", f"version {told.version} ({told.digest})")

    def _roll(self):
        while True:
            yield None if self.telemetry.windows.roll() else HOUSEKEEPING_MS

    def ship(self) -> None:
        """From now on log lines are written as a background task; at its end all that wait."""
        self.lines.at_once = False
        done = self.background.run("log lines", Class.KEEP, self._ship())
        done.addBoth(lambda _: self.lines.finish())

    def _ship(self):
        while True:
            yield None if self.lines.ship() else HOUSEKEEPING_MS

    def _admission_retry_ms(self, received: ReceivedRequest) -> float:
        return self.shedder.ask(self.now(), received.tenant, received.repeat)

    def _lag_seen(self, lag_ms: float) -> None:
        before = self.shedder.step
        self.shedder.seen(
            lag_ms,
            self.dispatcher.unanswered,
            self.dispatcher.unanswered_bytes,
            self.http_listener.connections,
        )
        step = self.shedder.step
        if step is not before:
            self.telemetry.changed(self.now(), "gives up", step.name.lower().replace("_", " "))
            if max(step, before) >= Step.REPEATS:  # pages that slow down are no news
                self.log.warning(
                    "gives up",
                    step=step.name.lower(),
                    before=before.name.lower(),
                    **{k: round(v, 3) for k, v in self.shedder.pressures._asdict().items()},
                )

    def leave(self) -> None:
        """As if SIGTERM had come."""
        self.reactor.callLater(0.05, self.reactor.stop)

    def slow_pages(self) -> bool:
        return self.shedder.step >= Step.SLOW_PAGES

    def own_state(self) -> dict[str, Any]:
        """Lag, budgets, what is given up, counts; reads only."""
        fe, p = self.dispatcher.front_end, self.background.planner
        return {
            "open triggers": self.dispatcher.unanswered,
            "held": sum(len(f.waiting) for f in fe.functions.values()),
            "orders and loads": sum(len(e.load_requests) for e in fe.executors.values()),
            "executors ready": len(fe.ready),
            "functions known": len(fe.functions),
            "limit of own triggers": round(fe.limit, 1),
            "share of late answers": round(fe.late_ratio, 3),
            "bytes held": self.dispatcher.unanswered_bytes,
            "clients' connections": self.http_listener.connections,
            "lag ms": round(p.lag_ms, 2),
            "gives up": self.shedder.step.name.lower().replace("_", " "),
            "step": int(self.shedder.step),
            "terms": "" if self.policy is None else self.policy.summary(),
            "pressures": {k: round(v, 3) for k, v in self.shedder.pressures._asdict().items()},
            "nacked untaken": dict(sorted(self.shedder.rejected.items())),
            "background": {
                "share": round(p.present_share(), 4),
                "tasks": len(p.tasks),
                **{f"ms of {c.name.lower()}": round(p.used[c], 1) for c in Class},
                **dict(sorted(p.counts.items())),
            },
            "overruns by task": {k: round(v, 1) for k, v in sorted(p.worst.items())},
            "console": {
                **(self.console.counts if self.console else {}),
                "viewers": len(self.console.viewers) if self.console else 0,
            },
            "totals": dict(sorted(self.telemetry.totals.items())),
        }

    @defer.inlineCallbacks
    def stopService(self):
        if self.console is not None:
            self.console.close()
            yield defer.maybeDeferred(self.console_port.stopListening)
        yield super().stopService()
        self.background.close()
