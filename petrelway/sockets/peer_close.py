"""Whether the other side of a socket has closed, also while bytes that it wrote before are unread.

Reading shows a close only behind those bytes. Linux reports it at once as POLLRDHUP; where that is not known,
a close is noticed when it is read.
"""

from __future__ import annotations

import select

CLOSED = getattr(select, "POLLRDHUP", 0)  # also after a reset


def peer_has_closed(descriptor: int) -> bool:
    """Return whether the other side of this socket has closed or reset its connection; never waits."""
    poll = select.poll()
    poll.register(descriptor, CLOSED)
    try:
        found = poll.poll(0)
    except OSError:
        return False
    return any(events & CLOSED for _, events in found)
