"""The stand-in list service: pushes full lists and changes with serials, late, and now and then loses one."""

from __future__ import annotations

from twisted.internet import protocol

from ..wire import listing
from ..wire.framing import Frames, WireFault


class Book:
    """What the list says, and who follows it."""

    def __init__(self, record) -> None:
        self.lines: dict[str, listing.Line] = {}
        self.serial = 0
        self.followers: list[RosterServer] = []
        self.record = record
        self.lose_next = False

    def change(self, *lines: listing.Line) -> None:
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
            follower.transport.abortConnection()


class RosterServer(protocol.Protocol):
    def __init__(self, book: Book) -> None:
        self.book = book
        self.frames = Frames()
        self.name = self.process = ""

    def dataReceived(self, data: bytes) -> None:
        try:
            for payload in self.frames.feed(data):
                self.name, self.process = listing.from_follower(payload)
                if self not in self.book.followers:
                    self.book.followers.append(self)
                self.tell(True, self.book.lines.values())
        except WireFault:
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
        self.transport.write(listing.listed(self.book.serial, complete, lines))

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        if self in self.book.followers:
            self.book.followers.remove(self)


class RosterFactory(protocol.Factory):
    noisy = False

    def __init__(self, book: Book) -> None:
        self.book = book

    def buildProtocol(self, address):
        return RosterServer(self.book)
