"""Accepting connections: a listener that closes none that it has accepted, and takes no more than find room.

`accept(2)` reports errors of the connection that it takes off the queue, and shortages of the process or the
system. The first concern one connection, which the system has dropped: the next one is taken. In a shortage
the listener rests for a moment while the factory makes room; who has connected waits in the system's queue.
Danger: Twisted's own port gives up a spare descriptor then, accepts all that wait, and closes them unread.
"""

from __future__ import annotations

import errno
from collections import Counter
from typing import Protocol

from twisted.internet import defer, interfaces, main, tcp

NOBODY_WAITS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC})
TRY_AGAIN = NOBODY_WAITS | SHORTAGES
ACCEPTS_A_TURN = 100  # then the connections that are there are read
PAUSE_MS = 5.0  # in a shortage, before accepting is tried again
DRAIN_BOUND_MS = 1000.0  # a listener that closes takes in all that wait, for so long at most


class BoundedFactory(Protocol):
    """A factory that counts its connections. A plain factory has room for any number."""

    def has_room(self) -> bool: ...

    def make_room(self) -> None:
        """The system has no descriptor left: close what is idle. Called again each PAUSE_MS."""


def error_name(number: int | None) -> str:
    return errno.errorcode.get(number or 0, str(number))


class PatientReads:
    """A transport whose `recv` or `send` may fail for want of memory: that is no end of the connection."""

    def doRead(self):
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as problem:
            return None if problem.errno in TRY_AGAIN else main.CONNECTION_LOST
        return self._dataReceived(data)

    def writeSomeData(self, data):
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as problem:
            return 0 if problem.errno in TRY_AGAIN else main.CONNECTION_LOST


class ClientTransport(PatientReads, tcp.Server):
    """An accepted connection."""


class Listener(tcp.Port):
    """A listening port of this program. Counts what `accept` failed with; says each kind once."""

    transport = ClientTransport

    def __init__(self, port: int, factory, backlog: int, interface: str, reactor, log) -> None:
        super().__init__(port, factory, backlog, interface, reactor)
        self.log = log
        self.counts: Counter[str] = Counter()
        self._resting = None
        self._nobody_waits = False  # at the last look

    def doRead(self) -> None:
        for _ in range(ACCEPTS_A_TURN):
            if not self._has_room():
                self._rest()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Whether to go on."""
        try:
            skt, address = self.socket.accept()
        except OSError as problem:
            return self._failed(problem.errno)
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            skt.close()
            return True
        self.sessionno += 1
        protocol.makeConnection(self.transport(skt, protocol, address, self, self.sessionno, self.reactor))
        return True

    def _failed(self, number: int | None) -> bool:
        if number in NOBODY_WAITS:
            self._nobody_waits = True
            return False
        name = error_name(number)
        if not self.counts:
            self.log.warning("connections can't be accepted", error=name)
        self.counts[f"accept {name}"] += 1
        if number in SHORTAGES:
            if make_room := getattr(self.factory, "make_room", None):
                make_room()
            self._rest()
            return False
        return True  # the connection that it concerned is off the queue; the next one may be well

    def _has_room(self) -> bool:
        has_room = getattr(self.factory, "has_room", None)
        return has_room is None or has_room()

    def _rest(self) -> None:
        if self._resting is not None or self.disconnecting:
            return
        self.stopReading()
        self._resting = self.reactor.callLater(PAUSE_MS / 1e3, self._rested)

    def _rested(self) -> None:
        self._resting = None
        if not self.connected or self.disconnecting:
            return
        if not self._has_room():
            self._rest()
            return
        self.startReading()

    def nobody_waits(self) -> defer.Deferred[None]:
        """Fires when all that had connected were accepted, or after a bound. Danger: closing the listener
        resets whoever waits in the system's queue, with a request that it may have written."""
        done: defer.Deferred[None] = defer.Deferred()
        end = self.reactor.seconds() + DRAIN_BOUND_MS / 1e3

        def look() -> None:
            self._nobody_waits = False
            if self._resting is None:
                self.doRead()
            if self._nobody_waits or self.reactor.seconds() > end:
                done.callback(None)
            else:
                self.reactor.callLater(PAUSE_MS / 1e3 if self._resting else 0, look)

        self.reactor.callLater(0, look)
        return done

    def connectionLost(self, reason) -> None:
        if self._resting is not None:
            self._resting.cancel()
            self._resting = None
        super().connectionLost(reason)


def listen_tcp(reactor, port: int, factory, backlog: int, interface: str, log) -> interfaces.IListeningPort:
    """Listen with a `Listener`; on a reactor without descriptors (in memory) with its own kind of port.

    Raises twisted.internet.error.CannotListenError.
    """
    if not interfaces.IReactorFDSet.providedBy(reactor):
        return reactor.listenTCP(port, factory, backlog=backlog, interface=interface)
    listener = Listener(port, factory, backlog, interface, reactor, log)
    listener.startListening()
    return listener
