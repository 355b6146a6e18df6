"""How many descriptors this process may hold."""

from __future__ import annotations

import resource


def descriptors(told: int) -> int:
    """The lesser of what the platform told and what the system lets this process open.

    >>> descriptors(1) == 1 and descriptors(1 << 60) <= 1 << 60
    True
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if soft == resource.RLIM_INFINITY else min(told, soft)
