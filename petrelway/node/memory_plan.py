"""How a front end divides its memory limit, once at the start; pure arithmetic, sizes in bytes.

What the process needs at rest is measured after its first list of executors is in place. The rest of the
limit is divided among what clients, executors and names can make the process hold; each part becomes a bound
on bytes or on a number of objects. Descriptors bound the connections as well: the lower bound holds.
"""

from __future__ import annotations

from typing import NamedTuple

# Parts of what the limit leaves beside the process at rest. The remaining part, RESERVE_SHARE, is for what no
# account counts: one read, one decoded line, unused memory that the allocator keeps, garbage, longer lists.
BUFFERS_SHARE = 0.32
CONNECTIONS_SHARE = 0.2
FUNCTIONS_SHARE = 0.12
REQUEST_IDS_SHARE = 0.04
RESERVE_SHARE = 1.0 - BUFFERS_SHARE - CONNECTIONS_SHARE - FUNCTIONS_SHARE - REQUEST_IDS_SHARE

# Sizes of objects with all that belongs to them, without what the buffer pool counts.
CONNECTION_BYTES = 4_000  # a connection with its transport, state and timers
FUNCTION_BYTES = (
    2_500  # a function with its place in resumes, and the part of its window beside other fleets'
)
REQUEST_ID_BYTES = 128  # an id that is remembered: an object of 8 bytes, and its place in a set

# Fewer than these would be no service; a deployment whose limit leaves less is told so.
LEAST_BUFFERS_BYTES = 512 * 1024
LEAST_CLIENT_CONNECTIONS = 16
LEAST_EXECUTOR_CONNECTIONS = 16
LEAST_FUNCTIONS = 64
LEAST_REQUEST_IDS = 256
MOST_REQUEST_IDS = 65_536


class MemoryPlan(NamedTuple):
    """The bounds that follow from a memory limit; `cut` names those that descriptors would let be higher."""

    limit_bytes: int
    resting_bytes: int
    buffers_bytes: int
    client_connections: int
    executor_connections: int
    functions: int
    request_ids: int  # in each of two generations
    cut: tuple[str, ...]


def plan_memory(
    limit_bytes: int, resting_bytes: int, client_connections: int, executor_connections: int
) -> MemoryPlan:
    """Divide the limit; the two numbers of connections are the shares of the descriptors.

    >>> plan_memory(64_000_000, 40_000_000, 450, 550).client_connections
    450
    >>> plan_memory(512_000_000, 40_000_000, 450, 550).cut
    ()
    >>> plan_memory(40_000_000, 40_000_000, 450, 550).cut
    ('buffers', 'client connections', 'executor connections', 'functions', 'request ids')
    """
    spare = max(0, limit_bytes - resting_bytes)
    cut = []

    def part(name: str, share: float, size: int, least: int, wanted: int | None = None) -> int:
        affordable = int(share * spare) // size
        if affordable < (least if wanted is None else wanted):
            cut.append(name)
        return max(least, affordable if wanted is None else min(wanted, affordable))

    descriptors = client_connections + executor_connections
    clients_share = CONNECTIONS_SHARE * client_connections / descriptors
    executors_share = CONNECTIONS_SHARE - clients_share
    return MemoryPlan(
        limit_bytes,
        resting_bytes,
        part("buffers", BUFFERS_SHARE, 1, LEAST_BUFFERS_BYTES),
        part(
            "client connections",
            clients_share,
            CONNECTION_BYTES,
            LEAST_CLIENT_CONNECTIONS,
            client_connections,
        ),
        part(
            "executor connections",
            executors_share,
            CONNECTION_BYTES,
            LEAST_EXECUTOR_CONNECTIONS,
            executor_connections,
        ),
        part("functions", FUNCTIONS_SHARE, FUNCTION_BYTES, LEAST_FUNCTIONS),
        min(
            MOST_REQUEST_IDS, part("request ids", REQUEST_IDS_SHARE, 2 * REQUEST_ID_BYTES, LEAST_REQUEST_IDS)
        ),
        tuple(cut),
    )
