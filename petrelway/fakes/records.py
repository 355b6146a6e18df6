"""What passed on the sockets, one JSON line each, as each process saw it. The rules' checker reads these."""

from __future__ import annotations

import msgspec

BUFFER_BYTES = 1 << 16  # of lines held back before a write
UNBUFFERED = 0


class Record:
    """Appends to one file; `t` is wall-clock ms since the day's epoch. Only a last line may be cut off."""

    def __init__(self, path: str, clock, epoch_ms: float, buffer: int = BUFFER_BYTES) -> None:
        """`buffer` UNBUFFERED: each line at once, so for a process that is killed."""
        self.file = open(path, "ab", buffering=buffer)
        self.clock, self.epoch_ms = clock, epoch_ms
        self.encode = msgspec.json.Encoder().encode

    def note(self, kind: str, **what) -> None:
        what["t"] = round(self.clock.seconds() * 1e3 - self.epoch_ms, 3)
        what["k"] = kind
        self.file.write(self.encode(what) + b"\n")

    def close(self) -> None:
        self.file.close()
