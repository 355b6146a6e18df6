"""Copies as processes of their own: started, called, stopped, ended, with bounded output."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable

from twisted.internet import interfaces, protocol

from . import replica_main as child

OUTPUT_KEPT = 4096  # bytes of its last output, for the log
OUTPUT_BOUND = 1 << 20  # bytes after which more is thrown away and said once
PASSED_ON = ("PATH", "LANG", "LC_ALL", "TMPDIR", "PYTHONHASHSEED")  # of the environment; the rest stays out


class ReplicaProcess(protocol.ProcessProtocol):
    """One copy. `ready()`, `answered(call, good, body)` and `died(why)` are called, the last one once."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        start_timeout_ms: float,
        ready: Callable,
        answered: Callable,
        died: Callable,
        log,
    ) -> None:
        self.clock, self.ready, self.answered, self.died, self.log = clock, ready, answered, died, log
        self.held = bytearray()
        self.output, self.put_out = b"", 0
        self.is_ready = self.gone = False
        self.why = ""
        self.pid = 0
        self.timer = clock.callLater(start_timeout_ms / 1e3, self._hangs)

    @classmethod
    def spawn(cls, reactor, folder: str, entry: str, lanes: int, *rest) -> ReplicaProcess:
        copy = cls(reactor, *rest)
        environment = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        environment["PYTHONPATH"] = root
        reactor.spawnProcess(
            copy,
            sys.executable,
            [sys.executable, "-m", "petrelway.worker.replica_main", folder, entry, str(lanes)],
            env=environment,
            path=folder,
            childFDs={0: "w", 1: "r", 2: "r", child.IN: "w", child.OUT: "r"},
        )
        return copy

    def connectionMade(self) -> None:
        self.pid = self.transport.pid
        self.transport.closeChildFD(0)

    def childDataReceived(self, fd: int, data: bytes) -> None:
        if fd != child.OUT:
            self._heard(data)
            return
        self.held += data
        while len(self.held) >= child.HEAD.size and not self.gone:
            length, kind, call = child.HEAD.unpack_from(self.held)
            if not 9 <= length <= child.FRAME_BOUND:
                self.end("said a frame out of bounds")  # the kind is a count's key: no numbers in it
                return
            if len(self.held) < 4 + length:
                return
            body = bytes(self.held[child.HEAD.size : 4 + length])
            del self.held[: 4 + length]
            if kind == child.READY and not self.is_ready:
                self.is_ready = True
                self.timer.cancel()
                self.ready()
            elif kind in (child.ANSWER, child.RAISED, child.STOPPED) and self.is_ready:
                if kind == child.RAISED:
                    self.log.debug("call raised", reason=body.decode(errors="replace"))
                self.answered(call, kind == child.ANSWER, body)
            else:
                self.end("spoke out of turn")
                return

    def _heard(self, data: bytes) -> None:
        """Danger: a copy that writes without end must cost neither memory nor disk."""
        if self.put_out <= OUTPUT_BOUND < self.put_out + len(data):
            self.log.warning("copy writes without end", bytes=OUTPUT_BOUND, pid=self.pid)
        self.put_out += len(data)
        if self.put_out <= OUTPUT_BOUND:
            self.output = (self.output + data)[-OUTPUT_KEPT:]

    def call(self, id: int, body: bytes) -> None:
        if not self.gone:
            self.transport.writeToChild(child.IN, child.frame(child.CALL, id, body))

    def stop_call(self, id: int) -> None:
        if not self.gone:
            self.transport.writeToChild(child.IN, child.frame(child.STOP, id))

    def _hangs(self) -> None:
        self.end("start hangs")

    def end(self, why: str) -> None:
        """At once, with all that it forked."""
        if not self.gone:
            self.why = self.why or why
            self._kill()

    def _kill(self) -> None:
        if self.pid:
            for kill in (os.killpg, os.kill):
                try:
                    kill(self.pid, signal.SIGKILL)
                    return
                except ProcessLookupError:  # no group yet: it has not come so far
                    continue

    def processExited(self, reason) -> None:
        """Danger: what it forked may hold its pipes open for ever; the exit counts, not their end."""
        self.gone = True
        if self.timer.active():
            self.timer.cancel()
        try:
            os.killpg(self.pid, signal.SIGKILL)
        except (ProcessLookupError, PermissionError):
            pass
        self.died(self.why or ("died" if self.is_ready else "dies in start"))

    def tail(self) -> str:
        return self.output.decode(errors="replace")[-500:]
