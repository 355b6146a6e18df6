"""Has the C library's allocator return large blocks to the system as soon as they are freed.

By default glibc raises the size from which it does so to that of the largest block freed so far, and keeps
the others; a process that was once under pressure then stays large. Other C libraries are left as they are.
"""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD = -1  # glibc's names of the two parameters
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 1 << 16  # from this size on a block is mapped, and returned when it is freed
FREE_TOP_BYTES = 1 << 17  # unused bytes at the end of the heap, from which they are returned


def return_freed_blocks() -> bool:
    """Set the allocator's parameters for this process; return whether both were taken."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) and mallopt(M_TRIM_THRESHOLD, FREE_TOP_BYTES))
