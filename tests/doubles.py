"""Doubles for the program's tests: a clock, connections without sockets, a log that remembers."""

from collections import deque

from twisted.internet import defer, error, task
from twisted.python.failure import Failure

from petrelway.wire import codec
from petrelway.wire.framing import Frames


class Log:
    def __init__(self):
        self.lines = []

    def _add(self, event, **what):
        self.lines.append((event, what))

    debug = info = warning = error = critical = _add

    def events(self):
        return [event for event, _ in self.lines]


class Pipe:
    """The transport of one side; `deliver` moves what it wrote to the other side."""

    def __init__(self, room=None):
        self.written, self.closed, self.aborted, self.producer = [], False, False, None
        self.reading = True
        self.room = room  # bytes until the producer is told to pause; None: no end
        self.bufferSize = 65536

    def write(self, data):
        self.written.append(data)
        if self.room is not None:
            self.room -= len(data)
            if self.room <= 0 and self.producer:
                self.producer.pauseProducing()

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def pauseProducing(self):
        self.reading = False

    def resumeProducing(self):
        self.reading = True

    def loseConnection(self):
        self.closed = True

    loseWriteConnection = loseConnection  # what it says is not judged by which half is open

    def abortConnection(self):
        self.closed = self.aborted = True

    def take(self):
        data, self.written = b"".join(self.written), []
        return data


class Net:
    """Hands connections to links: `refuse` those to some ports, hold others until `accept`."""

    def __init__(self):
        self.dialled = deque()

    def connect(self, address, port, build, timeout_ms):
        attempt = defer.Deferred()
        self.dialled.append((port, build, attempt))
        return attempt

    def accept(self, room=None):
        """The oldest dial comes up: its protocol and pipe."""
        _, build, attempt = self.dialled.popleft()
        wire, pipe = build(), Pipe(room)
        wire.makeConnection(pipe)
        attempt.callback(wire)
        return wire, pipe

    def refuse(self):
        _, _, attempt = self.dialled.popleft()
        attempt.errback(Failure(error.ConnectionRefusedError()))


class Heard:
    """The executor's side of one pipe: what the front end said, as tuples."""

    def __init__(self, pipe):
        self.pipe, self.frames, self.said = pipe, Frames(), []

    def pull(self):
        for payload in self.frames.feed(self.pipe.take()):
            codec.from_front(payload, self)
        said, self.said = self.said, []
        return said

    def greeted(self, front_end, process):
        self.said.append(("greeted", front_end))

    def sent(self, serial, number, mark, function, *rest):
        self.said.append(("sent", serial, number, function))

    def cancelled(self, serial, number):
        self.said.append(("cancelled", serial, number))

    def load_requested(self, id, function, replicas, memory_mb, lanes):
        self.said.append(("load_requested", id, function, replicas))

    def unloaded(self, function):
        self.said.append(("unloaded", function))

    def probe_received(self, id):
        self.said.append(("asked", id))


def clock(at_s=100.0):
    c = task.Clock()
    c.advance(at_s)
    return c


def lost():
    return Failure(error.ConnectionLost())
