"""A world in memory: simulated time and TCP without sockets, for whole days that are the same every time.

A `World` has the clock and the ports; each `Process` is a reactor of its own in it, that can be killed or
stopped like one of the system's. Bytes arrive in order after `latency_ms`, or not at all once a side is gone.
Not modelled: loss inside a connection, half-closed connections, kernel limits.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable

from twisted.internet import address, defer, error, interfaces
from twisted.python.failure import Failure
from zope.interface import implementer

BUFFER_BYTES = 65536


@implementer(interfaces.IDelayedCall)
class Call:
    """One delayed call."""

    __slots__ = ("args", "done", "kw", "order", "time", "what", "world")

    def __init__(self, world: World, time: float, order: int, what: Callable, args, kw) -> None:
        self.world, self.time, self.order, self.what, self.args, self.kw = (
            world,
            time,
            order,
            what,
            args,
            kw,
        )
        self.done = False

    def __lt__(self, other: Call) -> bool:
        return (self.time, self.order) < (other.time, other.order)

    def getTime(self) -> float:
        return self.time

    def cancel(self) -> None:
        if self.done:
            raise error.AlreadyCalled
        self.done = True

    def active(self) -> bool:
        return not self.done

    def reset(self, seconds: float) -> None:
        self._again(self.world.now_s + seconds)

    def delay(self, seconds: float) -> None:
        self._again(self.time + seconds)

    def _again(self, time: float) -> None:
        # a moved call is a new entry in the heap; the old one finds that the time is not its own
        self.time = time
        self.world.push(time, self.world.next_load_request(), self)


class World:
    """Simulated time and the ports that are listened on."""

    def __init__(self, start_s: float = 1000.0, latency_ms: float = 0.2) -> None:
        self.now_s, self.latency_s = start_s, latency_ms / 1e3
        self.calls: list[tuple[float, int, Call]] = []
        self.order = self.played = 0
        self.ports: dict[int, Port] = {}
        self.free_port = 50_000

    def next_load_request(self) -> int:
        self.order += 1
        return self.order

    def later(self, seconds: float, what: Callable, *args, **kw) -> Call:
        return self._call(self.now_s + seconds, what, args, kw)

    def at(self, ms: float, what: Callable, *args) -> Call:
        """At a time in ms. Danger: a difference of times rounds; what must keep its order would lose it."""
        return self._call(ms / 1e3, what, args, {})

    def _call(self, time: float, what: Callable, args, kw) -> Call:
        if time < self.now_s:
            time = self.now_s
        self.order = order = self.order + 1
        call = Call(self, time, order, what, args, kw)
        heapq.heappush(self.calls, (time, order, call))
        return call

    def push(self, time: float, order: int, call: Call) -> None:
        heapq.heappush(self.calls, (time, order, call))

    def run(self, until_s: float) -> None:
        """Play all that falls due up to that time."""
        while self.calls and self.calls[0][0] <= until_s:
            time, _, call = heapq.heappop(self.calls)
            if call.done or call.time != time:
                continue
            self.now_s = max(self.now_s, time)
            call.done = True
            self.played += 1
            call.what(*call.args, **call.kw)
        self.now_s = max(self.now_s, until_s)


@implementer(interfaces.IListeningPort)
class Port:
    def __init__(self, process: Process, number: int, factory) -> None:
        self.process, self.number, self.factory = process, number, factory

    def startListening(self) -> None:
        self.factory.doStart()

    def stopListening(self) -> defer.Deferred:
        if self.process.world.ports.get(self.number) is self:
            del self.process.world.ports[self.number]
            self.factory.doStop()
        return defer.succeed(None)

    loseConnection = stopListening

    def getHost(self):
        return address.IPv4Address("TCP", "127.0.0.1", self.number)


@implementer(interfaces.IConnector)
class Connector:
    def __init__(self, process: Process, port: int, factory, timeout_s: float) -> None:
        self.process, self.port, self.factory = process, port, factory
        self.transport: Wire | None = None
        self.over = False
        factory.doStart()
        factory.startedConnecting(self)
        process.callLater(process.world.latency_s, self._arrive)

    def _arrive(self) -> None:
        if self.over:
            return
        self.over = True
        world = self.process.world
        port = world.ports.get(self.port)
        if port is None:
            self._fail(error.ConnectionRefusedError())
            return
        here, there = Wire(self.process, self), Wire(port.process, None)
        here.peer, there.peer = there, here
        client = self.factory.buildProtocol(here.getPeer())
        if client is None:
            self._fail(error.ConnectError("no protocol"))
            return
        self.transport = here
        here.attach(client)
        port.process.run(there.accept, port)

    def _fail(self, why: Exception) -> None:
        self.factory.clientConnectionFailed(self, Failure(why))
        self.factory.doStop()

    def stopConnecting(self) -> None:
        if not self.over:
            self.over = True
            self._fail(error.UserError())

    def disconnect(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
        else:
            self.stopConnecting()

    def connect(self) -> None:
        self.over = False
        self.process.callLater(self.process.world.latency_s, self._arrive)
        self.factory.doStart()
        self.factory.startedConnecting(self)

    def getDestination(self):
        return address.IPv4Address("TCP", "127.0.0.1", self.port)


@implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class Wire:
    """One side of a connection."""

    bufferSize = BUFFER_BYTES

    def __init__(self, process: Process, connector: Connector | None) -> None:
        self.process, self.connector = process, connector
        self.peer: Wire | None = None
        self.protocol = None
        self.inbox: deque[bytes] = deque()
        self.outgoing = 0  # bytes that the other side has not read
        self.connected = self.reading = True
        self.disconnecting = self.disconnected = False
        self.producer = None
        self.paused_producer = False
        process.wires.append(self)

    def attach(self, protocol) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)
        self._read()

    def accept(self, port: Port) -> None:
        protocol = port.factory.buildProtocol(self.getPeer())
        if protocol is None:
            self.abortConnection()
        elif self.connected:
            self.attach(protocol)

    # -- writing

    def write(self, data: bytes) -> None:
        if not data or not self.connected or (self.disconnecting and not self.producer):
            return
        data = bytes(data)
        self.outgoing += len(data)
        self.process.world.later(self.process.world.latency_s, self._deliver, data)
        if self.producer is not None and self.outgoing > self.bufferSize and not self.paused_producer:
            self.paused_producer = True
            self.producer.pauseProducing()

    def writeSequence(self, parts) -> None:
        self.write(b"".join(parts))

    def _deliver(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and peer.connected:
            peer.inbox.append(data)
            peer.process.run(peer._read)

    def _read(self) -> None:
        while self.inbox and self.reading and self.connected and self.protocol is not None:
            data = self.inbox.popleft()
            self.peer.process.run(self.peer._taken, len(data))
            self.protocol.dataReceived(data)

    def _taken(self, count: int) -> None:
        self.outgoing -= count
        if self.paused_producer and self.outgoing <= self.bufferSize // 2 and self.connected:
            self.paused_producer = False
            if self.producer is not None:
                self.producer.resumeProducing()
        if self.disconnecting and not self.outgoing:
            self._finish()

    def registerProducer(self, producer, streaming: bool) -> None:
        if self.producer is not None:
            raise RuntimeError("a producer is registered already")
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None
        if self.disconnecting and not self.outgoing:
            self._finish()

    # -- reading

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        self.reading = True
        self.process.callLater(0, self._read)

    def stopProducing(self) -> None:
        self.loseConnection()

    # -- the end

    def loseConnection(self) -> None:
        """Closes once all that was written has been read."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            if not self.outgoing and self.producer is None:
                self.process.world.later(0, self._finish)

    def abortConnection(self) -> None:
        self._end(error.ConnectionAborted(), error.ConnectionLost())

    def _finish(self) -> None:
        if self.producer is None:
            self._end(error.ConnectionDone(), error.ConnectionDone())

    def _end(self, here: Exception, there: Exception, told: bool = True) -> None:
        if not self.connected:
            return
        self.connected, self.disconnected = False, True
        if self in self.process.wires:
            self.process.wires.remove(self)
        if told:
            self.process.callLater(0, self._lost, here)
        if self.peer is not None and self.peer.connected:
            # after what was written before
            self.process.world.later(self.process.world.latency_s, self.peer._gone, there)

    def _gone(self, why: Exception) -> None:
        if self.connected:
            self.connected, self.disconnected = False, True
            if self in self.process.wires:
                self.process.wires.remove(self)
            self.process.run(self._lost, why)

    def _lost(self, why: Exception) -> None:
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(why))
        if self.connector is not None:
            self.connector.factory.clientConnectionLost(self.connector, Failure(why))
            self.connector.factory.doStop()

    # -- addresses and options

    def getPeer(self):
        return address.IPv4Address("TCP", "127.0.0.1", 1)

    getHost = getPeer

    def setTcpNoDelay(self, on) -> None:
        pass

    setTcpKeepAlive = setTcpNoDelay

    def getTcpNoDelay(self) -> bool:
        return True

    getTcpKeepAlive = getTcpNoDelay

    def loseWriteConnection(self) -> None:
        self.loseConnection()


@implementer(interfaces.IReactorTime, interfaces.IReactorTCP)
class Process:
    """A reactor in the world; `kill` and `stop` do what signals do."""

    def __init__(self, world: World, name: str = "") -> None:
        self.world, self.name = world, name
        self.wires: list[Wire] = []
        self.ports: list[Port] = []
        self.stopped = self.dead = False
        self.backlog: deque[tuple[Callable, tuple, dict]] = deque()
        self.requests: list[tuple[Callable, tuple]] = []

    def seconds(self) -> float:
        return self.world.now_s

    def callLater(self, seconds: float, what: Callable, *args, **kw) -> Call:
        call = self.world.later(seconds, self._due)
        call.args = call, what, args, kw
        return call

    def _due(self, call: Call, what: Callable, args, kw) -> None:
        if self.stopped and not self.dead:
            # danger: what falls due while it stands can still be cancelled when it goes on
            call.done = False
            self.backlog.append((self._overdue, (call, what, args, kw), {}))
        elif not self.dead:
            what(*args, **kw)

    def _overdue(self, call: Call, what: Callable, args, kw) -> None:
        if call.active() and call.time <= self.world.now_s:
            call.done = True
            what(*args, **kw)

    def callWhenRunning(self, what: Callable, *args, **kw) -> None:
        self.callLater(0, what, *args, **kw)

    def getDelayedCalls(self) -> list[Call]:
        return [c for _, _, c in self.world.calls if not c.done]

    def run(self, what: Callable, *args, **kw) -> None:
        """Do it now, once the process goes on, or never if it is dead."""
        if self.dead:
            return
        if self.stopped:
            self.backlog.append((what, args, kw))
        else:
            what(*args, **kw)

    def listenTCP(self, port: int, factory, backlog: int = 50, interface: str = "") -> Port:
        if not port:
            self.world.free_port += 1
            port = self.world.free_port
        if port in self.world.ports:
            raise error.CannotListenError(interface, port, OSError("in use"))
        self.world.ports[port] = made = Port(self, port, factory)
        made.startListening()
        self.ports.append(made)
        return made

    def connectTCP(self, host: str, port: int, factory, timeout: float = 30, bindAddress=None) -> Connector:
        return Connector(self, port, factory, timeout)

    def addSystemEventTrigger(self, phase: str, event: str, what: Callable, *args) -> None:
        self.requests.append((what, args))

    def stop(self) -> None:
        """The end of a process that asked for it; other ends see its connections close."""
        for what, args in self.requests:
            what(*args)
        self.kill()

    def kill(self) -> None:
        """At once: it runs nothing more, the other ends of its connections see them reset."""
        self.dead = True
        for port in list(self.ports):
            if self.world.ports.get(port.number) is port:
                del self.world.ports[port.number]
        for wire in list(self.wires):
            wire._end(error.ConnectionLost(), error.ConnectionLost(), told=False)

    def freeze(self) -> None:
        self.stopped = True

    def thaw(self) -> None:
        self.stopped = False
        while self.backlog and not self.stopped:
            what, args, kw = self.backlog.popleft()
            self.run(what, *args, **kw)
