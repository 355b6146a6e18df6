"""Admission control: what is rejected before the router sees it, and how many connections may be open.

`service.py` asks it for each request and gives it the process's load. The shedder of `daemon/shedding.py`
decides by the lag of the process, the open requests, the buffered bytes and the connections. Times in ms.
"""

from __future__ import annotations

from typing import NamedTuple

from ..daemon.shedding import Shedder

LAG_GAIN = 0.3  # weight of the latest sample in the mean lag
DRAINING_RETRY_MS = 200.0  # Retry-After while draining, or for a client that does not read its answers
WRITE_MARGIN_MS = 5.0  # of a client's time, kept for the answer's way back
CLIENT_DESCRIPTORS_SHARE = 0.45  # clients themselves hold at most a third
OWN_DESCRIPTORS = (
    24  # the listener, the event bus, standard streams, the reactor, and spare ones to accept with
)


class DescriptorShares(NamedTuple):
    """How many connections clients and executors may hold."""

    clients: int
    executors: int


def share_descriptors(sockets: int) -> DescriptorShares:
    """Split the process's descriptors.

    With few of them the clients still get the third that they may hold.
    """
    available = sockets - OWN_DESCRIPTORS
    clients = max(int(CLIENT_DESCRIPTORS_SHARE * available), sockets // 3 + 1)
    return DescriptorShares(clients, available - clients)


class AdmissionControl:
    """Decides on each request before it is handed to the dispatcher."""

    def __init__(self, shedder: Shedder, longest_retry_ms: float) -> None:
        """Take the shedder and the longest Retry-After time that the deployment allows."""
        self.shedder = shedder
        self.longest_retry_ms = longest_retry_ms
        self.lag_ms = 0.0  # mean time by which this process's timers run late

    @property
    def draining_retry_ms(self) -> float:
        """The Retry-After time of a front end that drains."""
        return min(DRAINING_RETRY_MS, self.longest_retry_ms)

    def rejection_retry_ms(self, now: float, tenant: int, draining: bool) -> float | None:
        """Give None to admit a tenant's request, else the Retry-After time of its rejection."""
        if draining:
            return self.draining_retry_ms
        retry_ms = self.shedder.ask(now, tenant, False)
        if retry_ms <= 0.0:
            return None
        return min(retry_ms, self.longest_retry_ms)

    def remaining_ms(self, remaining_ms: float) -> float:
        """Give what is left of a client's time, which has run since its last byte arrived here unread."""
        return max(1.0, remaining_ms - self.lag_ms - WRITE_MARGIN_MS)

    def lag_measured(self, lag_ms: float) -> None:
        """Take a sample: how late a timer was."""
        self.lag_ms += LAG_GAIN * (max(0.0, lag_ms) - self.lag_ms)

    def load_measured(self, open_requests: int, buffered_bytes: int, connections: int) -> None:
        """Take the process's load, with the lag as measured before."""
        self.shedder.seen(self.lag_ms, open_requests, buffered_bytes, connections)
