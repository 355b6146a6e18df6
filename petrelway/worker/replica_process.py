"""Replicas as processes of their own: started, called, stopped, ended, with bounded output."""

from __future__ import annotations

import contextlib
import os
import signal
import sys
from collections.abc import Callable

from twisted.internet import interfaces, protocol

from . import replica_main as child

LAST_OUTPUT_BYTES = 4096  # bytes of its last output, for the log
OUTPUT_BOUND = 1 << 20  # bytes after which more is discarded and logged once
INHERITED_VARIABLES = ("PATH", "LANG", "LC_ALL", "TMPDIR", "PYTHONHASHSEED")  # no other reaches a replica


class ReplicaProcess(protocol.ProcessProtocol):
    """One replica. Calls `ready()`, `answered(call_id, succeeded, body)` and, once, `exited_with(reason)`."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        start_timeout_ms: float,
        ready: Callable,
        answered: Callable,
        exited_with: Callable,
        log,
    ) -> None:
        """Start the timer of the start; `spawn` starts the process."""
        self.clock = clock
        self.ready = ready
        self.answered = answered
        self.exited_with = exited_with
        self.log = log
        self.buffer = bytearray()
        self.output = b""
        self.output_bytes = 0
        self.is_ready = False
        self.exited = False
        self.end_reason = ""
        self.pid = 0
        self.timer = clock.callLater(start_timeout_ms / 1e3, self._start_timed_out)

    @classmethod
    def spawn(cls, reactor, folder: str, entry: str, concurrency: int, *arguments) -> ReplicaProcess:
        """Start a replica of the package in `folder`; the other arguments are the constructor's."""
        replica = cls(reactor, *arguments)
        environment = {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ}
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        environment["PYTHONPATH"] = root
        reactor.spawnProcess(
            replica,
            sys.executable,
            [sys.executable, "-m", "petrelway.worker.replica_main", folder, entry, str(concurrency)],
            env=environment,
            path=folder,
            childFDs={0: "w", 1: "r", 2: "r", child.INPUT_FD: "w", child.OUTPUT_FD: "r"},
        )
        return replica

    def connectionMade(self) -> None:
        """Note the process id."""
        self.pid = self.transport.pid
        self.transport.closeChildFD(0)

    def childDataReceived(self, fd: int, data: bytes) -> None:
        """Decode frames from the replica; anything else is its output."""
        if fd != child.OUTPUT_FD:
            self._collect_output(data)
            return
        self.buffer += data
        while len(self.buffer) >= child.HEAD.size and not self.exited:
            length, kind, call_id = child.HEAD.unpack_from(self.buffer)
            if not child.HEAD_BYTES_COUNTED <= length <= child.FRAME_BOUND:
                self.end("frame out of bounds")  # the kind is a count's key: no numbers in it
                return
            if len(self.buffer) < 4 + length:
                return
            body = bytes(self.buffer[child.HEAD.size : 4 + length])
            del self.buffer[: 4 + length]
            if kind == child.READY and not self.is_ready:
                self.is_ready = True
                self.timer.cancel()
                self.ready()
            elif kind in (child.ANSWER, child.RAISED, child.STOPPED) and self.is_ready:
                if kind == child.RAISED:
                    self.log.debug("call raised", reason=body.decode(errors="replace"))
                self.answered(call_id, kind == child.ANSWER, body)
            else:
                self.end("protocol violation")
                return

    def _collect_output(self, data: bytes) -> None:
        """Keep only the last output: a replica that writes without end must cost neither memory nor disk."""
        if self.output_bytes <= OUTPUT_BOUND < self.output_bytes + len(data):
            self.log.warning("replica output truncated", bytes=OUTPUT_BOUND, pid=self.pid)
        self.output_bytes += len(data)
        if self.output_bytes <= OUTPUT_BOUND:
            self.output = (self.output + data)[-LAST_OUTPUT_BYTES:]

    def call(self, call_id: int, body: bytes) -> None:
        """Start a call."""
        if not self.exited:
            self.transport.writeToChild(child.INPUT_FD, child.frame(child.CALL, call_id, body))

    def stop_call(self, call_id: int) -> None:
        """Ask a call to stop."""
        if not self.exited:
            self.transport.writeToChild(child.INPUT_FD, child.frame(child.STOP, call_id))

    def _start_timed_out(self) -> None:
        self.end("start timed out")

    def end(self, reason: str) -> None:
        """End the process at once, with all that it forked."""
        if not self.exited:
            self.end_reason = self.end_reason or reason
            self._kill()

    def _kill(self) -> None:
        if self.pid:
            for kill in (os.killpg, os.kill):
                try:
                    kill(self.pid, signal.SIGKILL)
                    return
                except ProcessLookupError:  # it has not made its process group yet
                    continue

    def processExited(self, reason) -> None:
        """Report the exit, not the end of the pipes: what it forked may hold them open for ever."""
        self.exited = True
        if self.timer.active():
            self.timer.cancel()
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.pid, signal.SIGKILL)
        self.exited_with(self.end_reason or ("died" if self.is_ready else "exited during start"))

    def last_output(self) -> str:
        """Return the end of its output, for the log."""
        return self.output.decode(errors="replace")[-500:]
