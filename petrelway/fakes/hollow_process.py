"""One process of hollow members, driven over its standard input and output.

The process binds its sockets and introduces its members first, writes a report, and stands still until it
reads `go`: so that all processes of a fleet begin together. Then each line that it reads is answered by one
report as a line of JSON. It ends at `stop`, or when its input ends.
"""

from __future__ import annotations

import os
import sys
from enum import Enum

import msgspec
from twisted.internet import error, stdio
from twisted.protocols import basic

from .hollow_members import FleetPlan, HollowGroup

STANDARD_INPUT = 0
LINE_BOUND = 64  # bytes of a command


class Command(Enum):
    """What the process may be asked for."""

    GO = "go"  # begin
    REPORT = "report"
    SETTLE = "settle"  # forget which news is still to be told
    STOP = "stop"


class Control(basic.LineReceiver):
    """Reads commands and writes reports."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_BOUND

    def __init__(self, reactor, group: HollowGroup) -> None:
        self._reactor = reactor
        self._group = group
        self._ended = False

    def lineReceived(self, line: bytes) -> None:
        command = Command(line.decode())
        if command is Command.STOP:
            self._group.stop().addBoth(lambda _: self._end())
            return
        if command is Command.SETTLE:
            self._group.settle()
        self.sendLine(msgspec.json.encode(self._group.report()))

    def connectionLost(self, reason=error.ConnectionDone) -> None:
        self._end()

    def _end(self) -> None:
        if not self._ended:  # danger: after `stop` the end of the input comes too, and a reactor stops once
            self._ended = True
            self._reactor.stop()


def wait_for_go() -> bool:
    """Stand still until `go` is read; False if the input ends before."""
    line = b""
    while not line.endswith(b"\n"):
        byte = os.read(STANDARD_INPUT, 1)  # danger: a buffered reader would take the next command too
        if not byte or len(line) >= LINE_BOUND:
            return False
        line += byte
    return Command(line.decode().strip()) is Command.GO


def run_hollow(plan: FleetPlan, numbers: range, ports: bool, process: int, introduced: bool) -> None:
    """Run these members until asked to stop. Raises HollowMembersError or CannotListenError."""
    from ..common.process_clock import steady_reactor

    reactor = steady_reactor()
    group = HollowGroup(reactor, plan, numbers, ports, process)
    group.start(introduced)
    sys.stdout.write(msgspec.json.encode(group.report()).decode() + "\n")
    sys.stdout.flush()
    if not wait_for_go():
        return
    stdio.StandardIO(Control(reactor, group), reactor=reactor)
    reactor.run()
