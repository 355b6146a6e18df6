"""System calls of a real process that fail for a while, and steps of its wall clock, from outside.

A library that the process loads before the C library (`failing_calls.c`, built here with the system's
compiler) reads what is to fail from a file that both sides map. Linux alone; for tests and soak runs.
"""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from pathlib import Path
from typing import NamedTuple

SOURCE = Path(__file__).with_name("failing_calls.c")
CALLS = (
    "accept", "socket", "connect", "recv", "send", "sendto", "recvfrom", "epoll_ctl", "epoll_wait", "open",
    "write", "fsync", "pwrite", "pread", "setsockopt", "write_pipe",
)  # fmt: skip
STEP = struct.Struct("=q")
FAULT = struct.Struct("=iIqqQQ")  # errno, per mille, left, short_bytes, failed, calls
UNBOUNDED = 1 << 62
NS_PER_S = 1_000_000_000


class CallCounts(NamedTuple):
    """Of one kind of call, since the start of the process."""

    failed: int
    calls: int


def build(directory: Path) -> Path:
    """Compile the library into `directory`; raises subprocess.CalledProcessError or OSError."""
    library = directory / "failing_calls.so"
    if not library.exists():
        own = directory / f"failing_calls.{os.getpid()}.so"
        command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(own), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True, capture_output=True, text=True)
        own.replace(library)
    return library


class FailingCalls:
    """What fails in one process. Change it at any time; the process sees it at its next call."""

    def __init__(self, library: Path, plan: Path, seed: int = 1) -> None:
        self.library, self.plan, self.seed = library, plan, seed
        plan.write_bytes(bytes(STEP.size + len(CALLS) * FAULT.size))
        with open(plan, "r+b") as file:
            self.map = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Variables for the process that is to be hit."""
        return {
            "LD_PRELOAD": str(self.library),
            "PETRELWAY_FAILING_CALLS": str(self.plan),
            "PETRELWAY_FAILING_SEED": str(self.seed),
        }

    def step(self, seconds: float) -> None:
        """The wall clock is this far from the true one from now on; negative: behind."""
        STEP.pack_into(self.map, 0, int(seconds * NS_PER_S))

    def fail(self, call: str, error: int, per_mille: int = 1000, times: int = UNBOUNDED) -> None:
        """So many of 1,000 calls fail with this errno, at most so many times; errno 0 ends it."""
        at = self._at(call)
        *_, short, failed, calls = FAULT.unpack_from(self.map, at)
        FAULT.pack_into(self.map, at, error, per_mille, times, short, failed, calls)

    def shorten(self, call: str, most_bytes: int) -> None:
        """Reads or writes take at most so many bytes; 0 ends it."""
        at = self._at(call)
        error, per_mille, left, _, failed, calls = FAULT.unpack_from(self.map, at)
        FAULT.pack_into(self.map, at, error, per_mille, left, most_bytes, failed, calls)

    def well(self) -> None:
        """Nothing fails any more; the clock stays where it is."""
        for call in CALLS:
            self.fail(call, 0)
            self.shorten(call, 0)

    def counts(self, call: str) -> CallCounts:
        *_, failed, calls = FAULT.unpack_from(self.map, self._at(call))
        return CallCounts(failed, calls)

    def close(self) -> None:
        self.map.close()

    @staticmethod
    def _at(call: str) -> int:
        return STEP.size + CALLS.index(call) * FAULT.size
