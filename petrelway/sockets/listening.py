"""A TCP listener that accepts no more connections than there is capacity for, and closes none of them.

`accept(2)` reports errors of the connection that it takes off the queue, and resource shortages of the
process or the system. An error of the first kind concerns one connection, which the system has dropped: the
next one is accepted. In a shortage the listener pauses while the factory frees capacity; further connections
wait in the system's queue. Twisted's own port would then free a reserved descriptor, accept all waiting
connections, and close them unread.
"""

from __future__ import annotations

import errno
from collections import Counter
from typing import Protocol

from twisted.internet import defer, interfaces, tcp

from .transports import NOTHING_READY, SHORTAGES, RetryingTransport

ACCEPTS_PER_TURN = 100  # after that many, the open connections are read
SHORTAGE_PAUSE_MS = 5.0  # before accepting is tried again
BACKLOG_TIMEOUT_MS = 1000.0  # how long a listener that is about to close accepts the backlog at most


class BoundedFactory(Protocol):
    """A factory that bounds its connections. A plain factory has capacity for any number."""

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted."""
        ...

    def free_capacity(self) -> None:
        """Close idle connections, as the system is short of a resource such as descriptors.

        Called every SHORTAGE_PAUSE_MS until the shortage ends.
        """


def error_name(number: int | None) -> str:
    """Return the symbolic name of an errno."""
    return errno.errorcode.get(number or 0, str(number))


class ClientTransport(RetryingTransport, tcp.Server):
    """An accepted connection."""


class Listener(tcp.Port):
    """A listening port that counts errors of `accept` and logs the first."""

    transport = ClientTransport

    def __init__(self, port: int, factory, backlog: int, interface: str, reactor, log) -> None:
        """Create the port; the arguments are those of `twisted.internet.tcp.Port`, and a log."""
        super().__init__(port, factory, backlog, interface, reactor)
        self.log = log
        self.counts: Counter[str] = Counter()
        self._resume_call = None
        self._backlog_empty = False  # whether the last `accept` found no connection waiting

    def doRead(self) -> None:
        """Accept waiting connections, at most ACCEPTS_PER_TURN."""
        for _ in range(ACCEPTS_PER_TURN):
            if not self._has_capacity():
                self._pause()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; return whether to accept more in this turn."""
        try:
            connection, address = self.socket.accept()
        except OSError as error:
            return self._accept_failed(error.errno)
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            connection.close()
            return True
        self.sessionno += 1
        protocol.makeConnection(
            self.transport(connection, protocol, address, self, self.sessionno, self.reactor)
        )
        return True

    def _accept_failed(self, number: int | None) -> bool:
        if number in NOTHING_READY:
            self._backlog_empty = True
            return False
        name = error_name(number)
        if not self.counts:
            self.log.warning("connections can't be accepted", error=name)
        self.counts[f"accept {name}"] += 1
        if number in SHORTAGES:
            if free_capacity := getattr(self.factory, "free_capacity", None):
                free_capacity()
            self._pause()
            return False
        return True  # the connection that the error concerned is off the queue

    def _has_capacity(self) -> bool:
        has_capacity = getattr(self.factory, "has_capacity", None)
        return has_capacity is None or has_capacity()

    def _pause(self) -> None:
        if self._resume_call is not None or self.disconnecting:
            return
        self.stopReading()
        self._resume_call = self.reactor.callLater(SHORTAGE_PAUSE_MS / 1e3, self._resume)

    def _resume(self) -> None:
        self._resume_call = None
        if not self.connected or self.disconnecting:
            return
        if not self._has_capacity():
            self._pause()
            return
        self.startReading()

    def backlog_accepted(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when the backlog has been accepted, or after BACKLOG_TIMEOUT_MS.

        Closing the listener resets the connections in the system's queue, on which clients may already have
        written requests.
        """
        done: defer.Deferred[None] = defer.Deferred()
        end = self.reactor.seconds() + BACKLOG_TIMEOUT_MS / 1e3

        def accept_backlog() -> None:
            self._backlog_empty = False
            if self._resume_call is None:
                self.doRead()
            if self._backlog_empty or self.reactor.seconds() > end:
                done.callback(None)
            else:
                self.reactor.callLater(SHORTAGE_PAUSE_MS / 1e3 if self._resume_call else 0, accept_backlog)

        self.reactor.callLater(0, accept_backlog)
        return done

    def connectionLost(self, reason) -> None:
        """Cancel a pending resumption when the port closes."""
        if self._resume_call is not None:
            self._resume_call.cancel()
            self._resume_call = None
        super().connectionLost(reason)


def listen_tcp(reactor, port: int, factory, backlog: int, interface: str, log) -> interfaces.IListeningPort:
    """Listen with a `Listener`, or, on an in-memory reactor, with that reactor's own port.

    Raises twisted.internet.error.CannotListenError.
    """
    if not interfaces.IReactorFDSet.providedBy(reactor):
        return reactor.listenTCP(port, factory, backlog=backlog, interface=interface)
    listener = Listener(port, factory, backlog, interface, reactor, log)
    listener.startListening()
    return listener
