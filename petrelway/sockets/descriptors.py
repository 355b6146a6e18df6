"""The number of file descriptors that this process may open; asked by `node/service.py` at the start."""

from __future__ import annotations

import resource


def available_descriptors(configured: int) -> int:
    """Return the lesser of the configured number and the system's soft limit.

    >>> available_descriptors(1) == 1 and available_descriptors(1 << 60) <= 1 << 60
    True
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)
