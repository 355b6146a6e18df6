"""Memory and time of the request numbers that client connections remember (`petrelway/node/used_numbers.py`).

Prints, for clients that number their requests in some ways, the time to check and remember a number, the
longest one, the spans kept and the bytes of one connection; then the bytes of a front end whose connections
are all at their bound. Not for CI. `--sockets`: the front end's descriptors.
"""

from __future__ import annotations

import argparse
import itertools
import random
import time
import tracemalloc
from collections.abc import Sequence

from petrelway.fakes.request_numbers import WAYS, numbering
from petrelway.node.admission import share_descriptors
from petrelway.node.used_numbers import SPANS_PER_GENERATION, UsedNumbers
from petrelway.platform.client_codec import NUMBER_BOUND

REQUESTS = 100_000
SEED = 1


def numberings() -> dict[str, Sequence[int]]:
    """Return the numbers of one connection's requests, by the way in which its client chooses them."""
    ways = {}
    for way in WAYS:
        numbers = numbering(way, NUMBER_BOUND, random.Random(SEED))
        ways[way] = list(itertools.islice(numbers, REQUESTS))
    # no two of these ever join, so that all spans are kept apart
    return {**ways, "rising by two": range(1, 2 * REQUESTS, 2)}


def times_us(numbers: Sequence[int]) -> tuple[float, float, float]:
    """Return the mean, the 99.9th percentile and the longest time of one number, in microseconds."""
    used = UsedNumbers()
    times = []
    for number in numbers:
        began = time.perf_counter_ns()
        accepted = used.add(number)
        times.append(time.perf_counter_ns() - began)
        assert accepted
    times.sort()
    return sum(times) / len(times) / 1e3, times[int(0.999 * len(times))] / 1e3, times[-1] / 1e3


def memory(numbers: Sequence[int]) -> tuple[int, int]:
    """Return the spans and the most bytes that one connection kept."""
    tracemalloc.start()
    used = UsedNumbers()
    for number in numbers[: 4 * SPANS_PER_GENERATION - 1]:
        used.add(number)
    bytes_kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return len(used), bytes_kept


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sockets", type=int, default=256)
    asked = parser.parse_args()
    print(f"{REQUESTS} requests on one connection; microseconds a number, spans and bytes kept")
    most_bytes = 0
    for name, numbers in numberings().items():
        mean, high, longest = times_us(numbers)
        spans, bytes_kept = memory(numbers)
        most_bytes = max(most_bytes, bytes_kept)
        figures = f"mean {mean:5.2f}  99.9% {high:6.2f}  longest {longest:7.1f}"
        print(f"{name:14} {figures}  {spans:5} spans {bytes_kept:6} B")
    connections = share_descriptors(asked.sockets).clients
    total_mb = connections * most_bytes / 2**20
    print(f"{connections} connections at their bound ({asked.sockets} descriptors): {total_mb:.1f} MiB")


if __name__ == "__main__":
    main()
