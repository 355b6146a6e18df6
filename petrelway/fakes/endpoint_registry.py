"""The stand-in list service: pushes full lists and changes with serials, late, and now and then loses one."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from twisted.internet import protocol

from ..wire import registry_codec
from ..wire.framing import Frames, WireError
from .fault_script import Post, Script


class Change(NamedTuple):
    """What was true at `at_ms` and is told at `told_ms`."""

    told_ms: float
    at_ms: float
    line: registry_codec.EndpointEntry


def _line(day, post: Post, port: int, stage: str, started_ms: float) -> registry_codec.EndpointEntry:
    fleet = day["fleet"]
    zone, machine = fleet.zones[post.zone], fleet.kinds[post.kind].name
    return registry_codec.EndpointEntry(
        post.name, "127.0.0.1", port, zone, machine, post.cell, stage, 1.0, started_ms
    )


def first_lines(
    day: dict[str, Any], script: Script, ports: Sequence[int]
) -> list[registry_codec.EndpointEntry]:
    """The list when the day begins."""
    return [_line(day, p, ports[p.number], "ready", 0.0) for p in script.posts if p.begins_ms <= 0.0]


def changes(day: dict[str, Any], script: Script, ports: Sequence[int], epoch_ms: float) -> list[Change]:
    """What the list service will tell of the script, each as late as the day lets it."""
    random_source = random.Random(f"{day['day'].seed}/roster")
    posts = {p.number: p for p in script.posts}
    found = []
    for h in script.happenings:
        if h.who == "executor" and h.what in ("start", "drain", "die", "leave"):
            late = random_source.uniform(
                *(day["roster"].add_ms if h.what == "start" else day["roster"].notice_ms)
            )
            stage = {"start": "ready", "drain": "draining"}.get(h.what, "gone")
            at = epoch_ms + h.at_ms
            started = at if h.what == "start" else 0.0
            line = _line(day, posts[h.number], ports[h.number], stage, started)
            found.append(Change(at + late, at, line))
    return found


def tell(book: Book, line: registry_codec.EndpointEntry, at_ms: float) -> None:
    """What was true at that time, told now; the end of a process is old news once a later one is listed."""
    known = book.lines.get(line.executor)
    if line.stage != "ready":
        if known is None or known.started_ms > at_ms:
            return
        line = line._replace(started_ms=known.started_ms)
    book.change(line)


class Book:
    """What the list says, and who follows it."""

    def __init__(self, record) -> None:
        self.lines: dict[str, registry_codec.EndpointEntry] = {}
        self.serial = 0
        self.followers: list[RegistryServer] = []
        self.record = record
        self.lose_next = False

    def change(self, *lines: registry_codec.EndpointEntry) -> None:
        """Changes to tell all followers; a gone executor leaves the full list."""
        self.serial += 1
        for line in lines:
            if line.stage == "gone":
                self.lines.pop(line.executor, None)
            else:
                self.lines[line.executor] = line
        lost, self.lose_next = self.lose_next, False
        for follower in self.followers:
            if not lost:
                follower.tell(False, lines)

    def drop_all(self) -> None:
        for follower in list(self.followers):
            follower.drop()


class RegistryServer(protocol.Protocol):
    def __init__(self, book: Book) -> None:
        self.book = book
        self.frames = Frames()
        self.name = self.process = ""

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                self.name, self.process = registry_codec.from_follower(payload)
                if self not in self.book.followers:
                    self.book.followers.append(self)
                self.tell(True, self.book.lines.values())
        except WireError:
            self.transport.abortConnection()

    def tell(self, complete: bool, lines) -> None:
        lines = list(lines)
        self.book.record.note(
            "told",
            fe=self.name,
            fp=self.process,
            serial=self.book.serial,
            full=complete,
            lines=[[x.executor, x.stage, x.started_ms] for x in lines],
        )
        self.transport.write(registry_codec.listed(self.book.serial, complete, lines))

    def drop(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        if self in self.book.followers:
            self.book.followers.remove(self)


class RegistryFactory(protocol.Factory):
    noisy = False

    def __init__(self, book: Book) -> None:
        self.book = book

    def buildProtocol(self, address):
        return RegistryServer(self.book)
