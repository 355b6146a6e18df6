"""The process of a loaded replica: `python -m petrelway.worker.replica_main FOLDER ENTRY CONCURRENCY`.

Standard library only.

It imports the entry (that is the start of the load), says that it is ready, then runs calls in CONCURRENCY
threads. Frames come on file descriptor 3 and go out on 4: a four-byte length, a kind, an eight-byte call
id, a body. The entry is called as `entry(body: bytes, call)` and gives bytes; `call.stopped` turns true when
nobody waits.
"""

from __future__ import annotations

import contextlib
import ctypes
import importlib
import os
import queue
import signal
import struct
import sys
import threading

HEAD = struct.Struct(">IBQ")  # length of what follows the length, kind, call id
HEAD_BYTES_COUNTED = 9  # kind and call id, which the length counts
# kinds of frames to the replica
CALL = 1
STOP = 2
# kinds of frames from it
READY = 1
ANSWER = 2
RAISED = 3
STOPPED = 4
ANSWER_BOUND = 900_000  # bytes; the worker's frames hold 1 MiB
FRAME_BOUND = 1 << 20
INPUT_FD = 3
OUTPUT_FD = 4
PR_SET_PDEATHSIG = 1


class Stopped(BaseException):
    """Raised in a call's thread when nobody waits for it any more."""


class Call:
    """What an entry is given beside the body."""

    def __init__(self) -> None:
        """Begin as a call that somebody waits for."""
        self.stopped = False


def frame(kind: int, call_id: int, body: bytes = b"") -> bytes:
    """Encode one frame, either way.

    >>> frame(CALL, 7, b"x")
    b'\\x00\\x00\\x00\\n\\x01\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x07x'
    """
    return HEAD.pack(HEAD_BYTES_COUNTED + len(body), kind, call_id) + body


class CallThreads:
    """Threads that run the calls of one entry, and stop them."""

    def __init__(self, entry, concurrency: int) -> None:
        """Start `concurrency` threads."""
        self.entry = entry
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.lock = threading.Lock()
        self.write_lock = threading.Lock()
        self.running: dict[int, tuple[int, Call]] = {}  # thread -> call id, call
        self.stopped_early: set[int] = set()  # stopped before they began
        for _ in range(concurrency):
            threading.Thread(target=self._run_calls, daemon=True).start()

    def send(self, kind: int, call_id: int, body: bytes = b"") -> None:
        """Write one frame to the worker."""
        data = memoryview(frame(kind, call_id, body))
        with self.write_lock:
            while data:
                data = data[os.write(OUTPUT_FD, data) :]

    def stop(self, call_id: int) -> None:
        """Raise Stopped in the thread of a call, or skip it if it has not begun."""
        with self.lock:
            for thread, (running_id, call) in self.running.items():
                if running_id == call_id:
                    call.stopped = True
                    ctypes.pythonapi.PyThreadState_SetAsyncExc(
                        ctypes.c_ulong(thread), ctypes.py_object(Stopped)
                    )
                    return
            self.stopped_early.add(call_id)

    def _run_calls(self) -> None:
        thread_id = threading.get_ident()
        while True:
            call_id, body = self.queue.get()
            call = Call()
            kind, answer = STOPPED, b""
            try:
                with self.lock:
                    skip = call_id in self.stopped_early
                    self.stopped_early.discard(call_id)
                    if not skip:
                        self.running[thread_id] = call_id, call
                if not skip:
                    kind, answer = self._run(body, call)
            except Stopped:
                kind, answer = STOPPED, b""
            while True:  # a stop may still be on its way into this thread
                try:
                    with self.lock:
                        self.running.pop(thread_id, None)
                    self.send(kind, call_id, answer)
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


def read_exactly(count: int) -> bytes | None:
    """Read this many bytes from the worker; return None at the end of the pipe."""
    parts = []
    while count:
        part = os.read(INPUT_FD, min(count, 1 << 16))
        if not part:
            return None
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def end_with_the_worker() -> None:
    """Have this process and all that it forks end when the worker does.

    A worker that is killed must leave no child, nor what its replicas forked: the system signals it, and so
    does the end of the pipe; a plain kill of this process would leave what it forked.
    """
    os.setsid()
    signal.signal(signal.SIGTERM, lambda *_: kill_process_group())
    with contextlib.suppress(OSError, AttributeError):  # not on every system; the pipe remains
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def kill_process_group() -> None:
    """Kill this process with all that it forked."""
    os.killpg(0, signal.SIGKILL)


def load_entry(folder: str, entry: str):
    """Import the entry, `module:callable`, from a package's folder."""
    sys.path.insert(0, folder)
    sys.dont_write_bytecode = True
    module, _, name = entry.partition(":")
    called = getattr(importlib.import_module(module), name)
    if not callable(called):
        raise TypeError(f"{entry} is not callable")
    return called


def read_frame() -> tuple[int, int, bytes] | None:
    """Read kind, call id and body; return None at the end of the pipe or a length out of bounds."""
    head = read_exactly(HEAD.size)
    if head is None:
        return None
    length, kind, call_id = HEAD.unpack(head)
    if not HEAD_BYTES_COUNTED <= length <= FRAME_BOUND:
        return None
    body = read_exactly(length - HEAD_BYTES_COUNTED)
    if body is None:
        return None
    return kind, call_id, body


def main() -> None:
    """Import the entry, then run calls until the worker closes the pipe."""
    end_with_the_worker()
    folder = sys.argv[1]
    entry = sys.argv[2]
    concurrency = int(sys.argv[3])
    threads = CallThreads(load_entry(folder, entry), concurrency)
    threads.send(READY, 0)
    while (received := read_frame()) is not None:
        kind, call_id, body = received
        if kind == CALL:
            threads.queue.put((call_id, body))
        elif kind == STOP:
            threads.stop(call_id)
    kill_process_group()


if __name__ == "__main__":
    main()
