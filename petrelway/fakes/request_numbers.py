"""The ways in which clients number the requests of one connection, each number once."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

RANGES = 32
WAYS = ("rising", "drawn", "counted down", "in ranges")


def numbering(way: str, bound: int, random_source: random.Random) -> Iterator[int]:
    """Yield numbers from 1 up and below `bound` without end, in one of WAYS.

    >>> list(itertools.islice(numbering("in ranges", 321, random.Random(1)), 34))[-3:]
    [311, 2, 12]
    """
    if way == "rising":
        return itertools.count(1)
    if way == "counted down":
        return itertools.count(bound - 1, -1)
    if way == "in ranges":
        step = bound // RANGES
        return (1 + count // RANGES + count % RANGES * step for count in itertools.count())
    return _drawn(bound, random_source)


def _drawn(bound: int, random_source: random.Random) -> Iterator[int]:
    used = set()
    while True:
        number = random_source.randrange(1, bound)
        if number not in used:
            used.add(number)
            yield number
