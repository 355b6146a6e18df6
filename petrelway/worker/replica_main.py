"""The process of a loaded copy: `python -m petrelway.worker.replica_main FOLDER ENTRY LANES`. Standard library only.

It imports the entry (that is the start of the load), says that it is ready, then runs calls in LANES
threads. Frames come on file descriptor 3 and go out on 4: a four-byte length, a kind, an eight-byte call
id, a body. The entry is called as `entry(body: bytes, call)` and gives bytes; `call.stopped` turns true when
nobody waits.
"""

from __future__ import annotations

import ctypes
import importlib
import os
import queue
import signal
import struct
import sys
import threading

HEAD = struct.Struct(">IBQ")  # length of what follows the length, kind, call
CALL, STOP = 1, 2  # to the copy
READY, ANSWER, RAISED, STOPPED = 1, 2, 3, 4  # from it
ANSWER_BOUND = 900_000  # bytes; the worker's frames hold 1 MiB
FRAME_BOUND = 1 << 20
IN, OUT = 3, 4
PR_SET_PDEATHSIG = 1


class Stopped(BaseException):
    """Raised in a call's thread when nobody waits for it any more."""


class Call:
    """What an entry is given beside the body."""

    def __init__(self) -> None:
        self.stopped = False


def frame(kind: int, call: int, body: bytes = b"") -> bytes:
    """One frame, either way.

    >>> frame(CALL, 7, b"x")
    b'\\x00\\x00\\x00\\n\\x01\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x07x'
    """
    return HEAD.pack(9 + len(body), kind, call) + body


class Lanes:
    """Threads that run calls of one entry, and stop them."""

    def __init__(self, entry, lanes: int) -> None:
        self.entry = entry
        self.todo: queue.SimpleQueue = queue.SimpleQueue()
        self.lock = threading.Lock()
        self.writing = threading.Lock()
        self.at: dict[int, tuple[int, Call]] = {}  # thread -> its call
        self.gone: set[int] = set()  # stopped before they began
        for _ in range(lanes):
            threading.Thread(target=self._lane, daemon=True).start()

    def say(self, kind: int, call: int, body: bytes = b"") -> None:
        data = memoryview(frame(kind, call, body))
        with self.writing:
            while data:
                data = data[os.write(OUT, data) :]

    def stop(self, id: int) -> None:
        with self.lock:
            for thread, (at, call) in self.at.items():
                if at == id:
                    call.stopped = True
                    ctypes.pythonapi.PyThreadState_SetAsyncExc(
                        ctypes.c_ulong(thread), ctypes.py_object(Stopped)
                    )
                    return
            self.gone.add(id)

    def _lane(self) -> None:
        me = threading.get_ident()
        while True:
            id, body = self.todo.get()
            call = Call()
            kind, answer = STOPPED, b""
            try:
                with self.lock:
                    skip = id in self.gone
                    self.gone.discard(id)
                    if not skip:
                        self.at[me] = id, call
                if not skip:
                    kind, answer = self._run(body, call)
            except Stopped:
                kind, answer = STOPPED, b""
            while True:  # a stop may still be on its way into this thread
                try:
                    with self.lock:
                        self.at.pop(me, None)
                    self.say(kind, id, answer)
                    break
                except Stopped:
                    kind, answer = STOPPED, b""

    def _run(self, body: bytes, call: Call) -> tuple[int, bytes]:
        try:
            answer = self.entry(body, call)
            if not isinstance(answer, (bytes, bytearray)):
                return RAISED, f"the entry gave {type(answer).__name__}, not bytes".encode()
            if len(answer) > ANSWER_BOUND:
                return RAISED, f"an answer of {len(answer)} bytes, {ANSWER_BOUND} at most".encode()
            return ANSWER, bytes(answer)
        except Exception as error:
            return RAISED, f"{type(error).__name__}: {error}"[:2000].encode(errors="replace")


def read_whole(count: int) -> bytes | None:
    """So many bytes from the worker; None at its end."""
    parts = []
    while count:
        part = os.read(IN, min(count, 1 << 16))
        if not part:
            return None
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def main() -> None:
    # danger: a worker that is killed must leave no child, nor what its copies forked: the system tells
    # us, and so does the end of the pipe; a plain kill of this process would leave what it forked
    os.setsid()
    signal.signal(signal.SIGTERM, lambda *_: os.killpg(0, signal.SIGKILL))
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)
    except (OSError, AttributeError):  # not on every system; the pipe remains
        pass
    folder, entry, lanes = sys.argv[1], sys.argv[2], int(sys.argv[3])
    sys.path.insert(0, folder)
    sys.dont_write_bytecode = True
    module, _, name = entry.partition(":")
    called = getattr(importlib.import_module(module), name)
    if not callable(called):
        raise TypeError(f"{entry} is not callable")
    run = Lanes(called, lanes)
    run.say(READY, 0)
    while True:
        head = read_whole(HEAD.size)
        if head is None:
            os.killpg(0, signal.SIGKILL)
            return
        length, kind, id = HEAD.unpack(head)
        body = read_whole(length - 9) if 9 <= length <= FRAME_BOUND else None
        if body is None:
            os.killpg(0, signal.SIGKILL)
            return
        if kind == CALL:
            run.todo.put((id, body))
        elif kind == STOP:
            run.stop(id)


if __name__ == "__main__":
    main()
