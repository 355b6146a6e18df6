"""The resident memory of this process, as the system counts it."""

from __future__ import annotations

import contextlib
import os

STATUS_FILE = "/proc/self/statm"  # sizes in pages; the second is the resident one
STATUS_BYTES = 128  # more than its one line has
RESIDENT_FIELD = 1


class ResidentMemory:
    """Reads the resident memory of this process; keeps the file open, so that it needs no descriptor later.

    Where the system has no such file, each reading is 0.
    """

    def __init__(self, path: str = STATUS_FILE) -> None:
        """Open the file."""
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._descriptor: int | None = None
        with contextlib.suppress(OSError):
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def read_bytes(self) -> int:
        """Return the resident memory now, in bytes; 0 if it can't be read."""
        if self._descriptor is None:
            return 0
        try:
            fields = os.pread(self._descriptor, STATUS_BYTES, 0).split()
            return int(fields[RESIDENT_FIELD]) * self._page_bytes
        except (OSError, IndexError, ValueError):
            return 0

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
