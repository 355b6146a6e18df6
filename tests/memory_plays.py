"""Clients that fill the memory of a real `petrelway node`, and its memory as the system counts it.

Each play opens many connections or one, writes as fast or as slowly as its name says, and closes them. A
usual client asks meanwhile. The judge stands outside the process: the system's figure of its resident memory
is compared with the limit of the configuration, and each request of the usual client has to be answered.
"""

import contextlib
import json
import random
import selectors
import socket
import threading
import time
from pathlib import Path

from nodes import WAIT_S

from petrelway.fakes.platform_peers import Executor, answer, request

MB = 1_000_000  # the smaller reading of a limit in MB
KIB = 1024
FULL_BODY = bytes(16 * KIB)
READ_BYTES = 1 << 16
LARGE_ANSWER_BYTES = 200_000
CONNECT_BATCH = 64  # connections opened before the others are written to: the backlog is bounded
PAUSE_S = 0.01


class ProcessMemory:
    """Resident memory of one process, in bytes, as the kernel tells it."""

    def __init__(self, pid):
        self.status = Path(f"/proc/{pid}/status")

    def _field(self, name):
        for line in self.status.read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * KIB
        raise ProcessLookupError(name)

    def now(self):
        return self._field("VmRSS")

    def peak(self):
        return self._field("VmHWM")


class Flood:
    """Connections that each write their own bytes, over and over or once; one thread drives all of them."""

    def __init__(self, address, count, script, reads=True, reopens=True, chunk=READ_BYTES, pause_s=0.0):
        """`script(index, turn)` gives the bytes of a connection's next write, None for none any more.

        `reads`: answers are read. `reopens`: a connection that ended is opened again. `chunk`: bytes of one
        write at most, with `pause_s` between two of them on one connection.
        """
        host, port = address.split(":")
        self.address = host, int(port)
        self.count, self.script, self.reads, self.reopens = count, script, reads, reopens
        self.chunk, self.pause_s = chunk, pause_s
        self.opened = self.written = self.refused = 0
        self.leaving = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.leaving.set()
        self.thread.join(WAIT_S)
        assert not self.thread.is_alive()

    def _run(self):
        self.selector = selectors.DefaultSelector()
        self.open = {}  # socket -> [index, turn, pending bytes, not before]
        waiting = list(range(self.count))
        try:
            while not self.leaving.is_set():
                for index in waiting[:CONNECT_BATCH]:
                    self._connect(index)
                del waiting[:CONNECT_BATCH]
                ready = self.selector.select(PAUSE_S)
                for key, events in ready:
                    ended = self._serve(key.fileobj, events)
                    if ended is not None and self.reopens:
                        waiting.append(ended)
                if self.pause_s and ready:
                    time.sleep(PAUSE_S / 10)
        finally:
            for sock in self.open:
                sock.close()
            self.selector.close()

    def _connect(self, index):
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            try:
                sock.connect(self.address)
            except ConnectionError:
                self.refused += 1
                sock.close()
                return
        self.opened += 1
        self.open[sock] = [index, 0, b"", 0.0]
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)

    def _serve(self, sock, events):
        """Write or read once; return the index of a connection that has ended."""
        state = self.open[sock]
        try:
            if events & selectors.EVENT_READ and self.reads and not sock.recv(READ_BYTES):
                return self._ended(sock)
            if events & selectors.EVENT_WRITE:
                self._write(sock, state)
        except BlockingIOError:
            pass
        except OSError:
            return self._ended(sock)
        return None

    def _write(self, sock, state):
        if time.monotonic() < state[3]:
            return
        if not state[2]:
            state[2] = self.script(state[0], state[1])
            state[1] += 1
        if state[2] is None:
            self.selector.modify(sock, selectors.EVENT_READ)
            state[2] = b""
            return
        sent = sock.send(state[2][: self.chunk])
        self.written += sent
        state[2] = state[2][sent:]
        state[3] = time.monotonic() + self.pause_s

    def _ended(self, sock):
        self.selector.unregister(sock)
        state = self.open.pop(sock)
        sock.close()
        return state[0]


class UsualClient(threading.Thread):
    """Asks one request after the other, each on a new connection; keeps their ends and times."""

    def __init__(self, address, seed, pause_s=0.02, ttl_ms=1500, body=b"hello"):
        super().__init__(daemon=True)
        self.address, self.pause_s, self.ttl_ms, self.body = address, pause_s, ttl_ms, body
        self.random_source = random.Random(seed)
        self.leaving = threading.Event()
        self.served = self.refused = 0
        self.times_s = []
        self.broken = []

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.leaving.set()
        self.join(WAIT_S)

    def run(self):
        while not self.leaving.wait(self.pause_s):
            began = time.monotonic()
            try:
                self._ask()
            except OSError as error:
                self.broken.append(f"{type(error).__name__} after {time.monotonic() - began:.2f} s")
            self.times_s.append(time.monotonic() - began)

    def _ask(self):
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            call = f"{self.random_source.getrandbits(64):016x}"
            sock.sendall(request(1, call=call, ttl=self.ttl_ms, body=self.body))
            line = sock.makefile("rb").readline()
        answer = json.loads(line) if line else None
        if answer is None:
            self.broken.append("closed with no answer")
        elif "result" in answer:
            self.served += 1
        else:
            self.refused += 1


def call_of(index, turn, seed=0):
    return f"{(seed << 56) + (index << 32) + turn:016x}"


def function_of(index, turn):
    return f"{(index << 40) + (turn << 8) + 1:016x}"


# -- scripts: what one connection of a flood writes


def half_large_lines(index, turn):
    """Most of a large request, never its end."""
    return request(1, call=call_of(index, turn), body=FULL_BODY)[:-100] if turn == 0 else None


def endless_lines(index, turn):
    """A message without an end."""
    return b'{"jsonrpc":"2.0","id":1,"method":"safe","params":{"bytes":"' + b"A" * (1 << 18)


def large_requests(index, turn):
    """As many requests with full bodies as may be open on one connection."""
    if turn >= 32:
        return None
    return request(turn + 1, call=call_of(index, turn), body=FULL_BODY, ttl=4000)


def many_short_fields(index, turn):
    """Lines within the bound whose decoded form is many times the text."""
    fields = ",".join(f'"{n:x}":[]' for n in range(2600))
    line = b'{"jsonrpc":"2.0","id":%d,"method":"safe","params":{%s}}\n' % (turn + 1, fields.encode())
    return line * 3


def half_many_short_fields(index, turn):
    """The same without an end."""
    return many_short_fields(index, turn)[:23_000] if turn == 0 else None


def deep_nesting(index, turn):
    """Lines of brackets within the bound."""
    return b'{"a":' + b"[" * 500 + b"]" * 500 + b"}" + b"\n"


def requests_taken_back(index, turn):
    """Requests of ever new functions, each taken back at once."""
    number = turn + 1
    taken = request(number, call=call_of(index, turn), row=function_of(index, turn))
    back = b'{"jsonrpc":"2.0","method":"interrupt","params":{"id":%d}}\n' % number
    return taken + back


def new_functions(index, turn):
    """Requests of ever new functions, left open."""
    return request(turn + 1, call=call_of(index, turn), row=function_of(index, turn), ttl=4000)


def empty_lines(index, turn):
    return b"\n" * READ_BYTES


def checks(index, turn):
    return b"".join(
        b'{"jsonrpc":"2.0","id":%d,"method":"check"}\n' % (turn * 100 + number + 1) for number in range(100)
    )


def unsound_lines(index, turn):
    return b'{"jsonrpc":"2.0","id":%d,"method":"none","params":{}}\n' % (turn + 1)


def unread_answers(index, turn):
    """Requests whose answers are large."""
    return request(turn + 1, call=call_of(index, turn), body=FULL_BODY) if turn < 200 else None


class DeafExecutor(Executor):
    """Accepts connections and reads nothing from them, as one whose process hangs."""

    def serve(self, wire):
        while not self.closing:
            time.sleep(PAUSE_S)


class UnfinishedAnswers(Executor):
    """Sends most of a large answer to each request, never its end."""

    def requested(self, wire, id, body):
        wire.sendall(answer(100, id, b"how=resident", bytes(LARGE_ANSWER_BYTES))[:-1])


class LargeAnswers(Executor):
    """Answers each request with a large body."""

    def requested(self, wire, id, body):
        wire.sendall(answer(100, id, b"how=resident", bytes(LARGE_ANSWER_BYTES)))
