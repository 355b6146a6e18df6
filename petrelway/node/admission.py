"""Admission control: which requests are rejected before routing, and how many connections may be open.

`service.py` consults it for each request and reports the process's load to it. The shedder of
`daemon/shedding.py` decides by the lag of the process, the open requests, the buffered bytes and the
connections. Times in ms.
"""

from __future__ import annotations

from typing import NamedTuple

from ..daemon.shedding import Shedder

LAG_GAIN = 0.3  # weight of the latest sample in the moving average of the lag
DRAINING_RETRY_MS = 200.0  # Retry-After while draining, or for a client that does not read its answers
WRITE_MARGIN_MS = 5.0  # part of a client's time that is reserved for sending the answer
CLIENT_DESCRIPTORS_SHARE = 0.45  # more than the third that the clients hold at most
OWN_DESCRIPTORS = (
    24  # for the listener, the event bus, standard streams, the reactor, and spare ones for accepting
)


class DescriptorShares(NamedTuple):
    """Maximum numbers of client connections and of executor connections."""

    clients: int
    executors: int


def share_descriptors(sockets: int) -> DescriptorShares:
    """Split the process's descriptors between clients and executors.

    Even with few descriptors the clients get the third that they may hold.
    """
    available = sockets - OWN_DESCRIPTORS
    clients = max(int(CLIENT_DESCRIPTORS_SHARE * available), sockets // 3 + 1)
    return DescriptorShares(clients, available - clients)


class AdmissionControl:
    """Decides whether to admit each request before it is passed to the dispatcher."""

    def __init__(self, shedder: Shedder, longest_retry_ms: float) -> None:
        """Start with no lag; `longest_retry_ms`: the longest Retry-After time that the deployment allows."""
        self.shedder = shedder
        self.longest_retry_ms = longest_retry_ms
        self.lag_ms = 0.0  # moving average of the time by which this process's timers run late

    @property
    def draining_retry_ms(self) -> float:
        """The Retry-After time of a front end that drains, in ms."""
        return min(DRAINING_RETRY_MS, self.longest_retry_ms)

    def rejection_retry_ms(self, now: float, tenant: int, draining: bool) -> float | None:
        """Return None to admit a tenant's request, else the Retry-After time of its rejection, in ms."""
        if draining:
            return self.draining_retry_ms
        retry_ms = self.shedder.ask(now, tenant, False)
        if retry_ms <= 0.0:
            return None
        return min(retry_ms, self.longest_retry_ms)

    def remaining_ms(self, remaining_ms: float) -> float:
        """Return what is left of a client's time.

        It has been running since the request's last byte arrived and waited here to be read.
        """
        return max(1.0, remaining_ms - self.lag_ms - WRITE_MARGIN_MS)

    def bound_buffers(self, bound_bytes: int) -> None:
        """Set the bound that the buffered bytes are compared with."""
        self.shedder.buffered_bound = bound_bytes

    def lag_measured(self, lag_ms: float) -> None:
        """Add a sample to the average lag: how late a timer ran."""
        self.lag_ms += LAG_GAIN * (max(0.0, lag_ms) - self.lag_ms)

    def load_measured(self, open_requests: int, buffered_bytes: int, connections: int) -> None:
        """Report the process's load to the shedder, with the current average lag."""
        self.shedder.seen(self.lag_ms, open_requests, buffered_bytes, connections)
