"""Processes of a rehearsal: each reads the plan, makes the same script, and plays its part by the clock."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from twisted.internet import protocol

from ..settings.days import check_day
from .clients import Clients
from .endpoint_registry import Book, RegistryFactory, changes, first_lines, tell
from .executor_model import Marks
from .executors import Executor
from .fault_script import Happening, Script, write
from .model_store import Store, StoreClient, StoreProtocol
from .package_store import Shelf, site
from .records import BUFFER_BYTES, UNBUFFERED, Record
from .traffic import functions

LATE_MS = 2000.0  # parts stay so long after the last outer limit


class Plan:
    """What the conductor wrote for all parts: day, epoch, ports."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        told = json.loads((self.folder / "plan.json").read_text())
        self.day: dict[str, Any] = check_day(str(self.folder / "plan.json"), told["day"])
        self.epoch_ms: float = told["epoch_ms"]
        self.ports: dict[str, Any] = told["ports"]
        self.script: Script = write(self.day)
        self.end_ms = (
            self.epoch_ms
            + self.day["day"].length_s * 1e3
            + max(t.deadline_ms for t in self.day["tariffs"])
            + LATE_MS
        )

    def record(self, name: str, reactor, *, buffer: int = BUFFER_BYTES) -> Record:
        return Record(str(self.folder / f"{name}.jsonl"), reactor, self.epoch_ms, buffer)


def _play(reactor, plan: Plan, who: str, happen, numbers=None) -> None:
    now = reactor.seconds() * 1e3
    for h in plan.script.happenings:
        if h.who == who and (numbers is None or h.number in numbers or h.number < 0):
            reactor.callLater(max(0.0, plan.epoch_ms + h.at_ms - now) / 1e3, happen, h)


def stay(reactor, plan: Plan, record: Record) -> None:
    reactor.callLater(max(0.0, plan.end_ms - reactor.seconds() * 1e3) / 1e3, reactor.stop)
    reactor.addSystemEventTrigger("after", "shutdown", record.close)


def play_executors(reactor, plan: Plan, zone: int) -> None:
    """All executors of one zone, in one process."""
    record = plan.record(f"executors-{zone}", reactor)
    store = StoreClient()
    reactor.connectTCP("127.0.0.1", plan.ports["store"], store)
    truths = {f.name: f for f in functions(plan.day)}
    window = max([t.window_ms for t in plan.day["tariffs"] if t.idempotency == "stamped"] or [1.0])
    scopes = {t.scope for t in plan.day["tariffs"] if t.idempotency == "stamped"}
    groups: dict[int, Marks] = {}
    executors = {}
    for post in plan.script.posts:
        if post.zone != zone:
            continue
        group = post.cell if scopes == {"cell"} else -1
        marks = groups.setdefault(group, Marks(window))
        executors[post.number] = e = Executor(
            reactor,
            post,
            plan.ports["executors"][post.number],
            plan.day,
            plan.epoch_ms,
            record,
            store,
            truths,
            marks,
        )
        if post.begins_ms <= 0.0:
            e.start(cold=False)

    def happen(h) -> None:
        for e in executors.values() if h.number < 0 else [executors[h.number]]:
            e.happen(h)

    _play(reactor, plan, "executor", happen, set(executors))
    stay(reactor, plan, record)


def play_services(reactor, plan: Plan) -> None:
    """Store and registry."""
    record = plan.record("services", reactor)
    terms, day = plan.day["store"], plan.day
    store = Store(
        reactor, terms.takes, terms.limit, terms.thrash, terms.fall_multiple, terms.fall_ms, terms.down_ms
    )
    factory = protocol.Factory.forProtocol(lambda: StoreProtocol(store, record))
    factory.noisy = False
    if not day["fleet"].workers:  # else the store of real packages is a part of its own
        reactor.listenTCP(plan.ports["store"], factory, interface="127.0.0.1")
        _play(reactor, plan, "store", lambda h: store.slow(h.size))
    book = Book(record)
    ports = plan.ports["executors"]
    for line in first_lines(day, plan.script, ports):
        book.lines[line.executor] = line
    listening = [reactor.listenTCP(plan.ports["roster"], RegistryFactory(book), interface="127.0.0.1")]
    now = reactor.seconds() * 1e3
    for change in changes(day, plan.script, ports, plan.epoch_ms):
        reactor.callLater(max(0.0, change.told_ms - now) / 1e3, tell, book, change.line, change.at_ms)
    for h in plan.script.happenings:
        if h.who == "roster":
            at = max(0.0, plan.epoch_ms + h.at_ms - now) / 1e3
            if h.what == "gap":
                reactor.callLater(at, setattr, book, "lose_next", True)
            elif h.what == "down":
                reactor.callLater(at, lambda: (listening.pop().stopListening(), book.drop_all()))
            else:
                reactor.callLater(
                    at,
                    lambda: listening.append(
                        reactor.listenTCP(plan.ports["roster"], RegistryFactory(book), interface="127.0.0.1")
                    ),
                )
    stay(reactor, plan, record)


def play_packages(reactor, plan: Plan) -> None:
    """The store of real packages, in place of the stand-in's own protocol."""
    terms = plan.day["store"]
    draw = plan.day["functions"]
    pace_ms = sum(draw.load_ms) / 2 * draw.fetch_share
    shelf = Shelf(
        reactor, terms.takes, terms.limit, pace_ms, terms.thrash, terms.fall_multiple, terms.down_ms
    )
    shelf.put_all(plan.folder / "packages")
    record = plan.record("packages", reactor)
    shelf.heard = lambda name: record.note("fetch", fn=name)
    reactor.listenTCP(plan.ports["store"], site(shelf, reactor), interface="127.0.0.1")

    def slow(h: Happening) -> None:
        shelf.fetch_ms = pace_ms * max(1e-3, h.size)

    _play(reactor, plan, "store", slow)
    stay(reactor, plan, record)


def play_clients(reactor, plan: Plan, number: int) -> None:
    record = plan.record(f"clients-{number}", reactor, buffer=UNBUFFERED)  # read while the clients run
    clients = Clients(reactor, plan.day, plan.ports["fronts"], number, plan.epoch_ms, record)
    clients.start()
    _play(reactor, plan, "client", clients.happen)
    stay(reactor, plan, record)
