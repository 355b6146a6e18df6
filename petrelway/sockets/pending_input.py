"""Reads what a socket holds without waiting for the poller to report it.

A timeout that is judged by received bytes may run before the reactor has read them: after a pause of this
process, or when a wait for events was interrupted and reported nothing.
"""

from __future__ import annotations

from twisted.internet import interfaces

READS_BOUND = 16  # reads of 32 KiB: more than the largest message of any protocol here


def read_pending(transport: interfaces.ITransport, reads: int = 1) -> None:
    """Read up to `reads` times; each read calls the protocol's `dataReceived` if bytes are there.

    Transports without a socket are left alone, and a gate that lets the transport wait is not asked. The
    reactor itself reports a lost connection again later.
    """
    read = getattr(transport, "read_now", None) or getattr(transport, "doRead", None)
    if read is None:
        return
    for _ in range(min(reads, READS_BOUND)):
        if read() is not None:
            return
