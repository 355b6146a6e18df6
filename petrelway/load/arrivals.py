"""When requests are due and what they ask for, pure: drawn, or read from a trace. Times in ms."""

from __future__ import annotations

import bisect
import csv
import itertools
import json
import math
import random
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

TRACE_BOUND = 10_000_000  # lines of a trace


class Due(NamedTuple):
    """One request: when it is due, its function and its size, the work on a core of speed 1."""

    at_ms: float
    function: str
    size_ms: float


class TraceError(Exception):
    """A trace that can't be played: file, line, what was found, what is allowed."""


class Rate:
    """Requests a second as a function of time: a first rate, steps to others, surges that multiply.

    >>> rate = Rate(10.0, [(2.0, 20.0)], [(1.0, 0.5, 3.0)])
    >>> [rate.at(t) for t in (0, 1000, 1499, 1500, 2500)], rate.next_change(0.0), rate.next_change(2000.0)
    ([10.0, 30.0, 30.0, 10.0, 20.0], 1000.0, inf)
    """

    def __init__(
        self,
        first: float,
        steps: Sequence[tuple[float, float]] = (),
        surges: Sequence[tuple[float, float, float]] = (),
    ) -> None:
        """Steps: (at s, rate); surges: (at s, length s, times)."""
        self.first, self.steps, self.surges = first, sorted(steps), list(surges)
        self.changes = sorted(
            {at * 1e3 for at, _ in steps}
            | {at * 1e3 for at, _, _ in surges}
            | {(at + length) * 1e3 for at, length, _ in surges}
        )

    def at(self, ms: float) -> float:
        rate = self.first
        for at_s, step in self.steps:
            if at_s * 1e3 <= ms:
                rate = step
        for at_s, length_s, times in self.surges:
            if at_s * 1e3 <= ms < (at_s + length_s) * 1e3:
                rate *= times
        return rate

    def next_change(self, ms: float) -> float:
        i = bisect.bisect_right(self.changes, ms)
        return self.changes[i] if i < len(self.changes) else math.inf


def drawn(
    rate: Rate,
    length_ms: float,
    even: bool,
    functions: Sequence[tuple[str, float]],
    size_mean_ms: float,
    size_cv: float,
    random_source: random.Random,
) -> Iterator[Due]:
    """Poisson arrivals, or evenly spaced ones; functions with their weights; sizes log-normal.

    >>> some = list(drawn(Rate(1000.0), 2000.0, True, [("f", 1.0)], 50.0, 0.0, random.Random(1)))
    >>> len(some), some[0].at_ms, some[0].size_ms, some[1].at_ms
    (2000, 0.0, 50.0, 1.0)
    """
    weights = list(itertools.accumulate(weight for _, weight in functions))
    names = [name for name, _ in functions]
    sigma = math.sqrt(math.log(1.0 + size_cv * size_cv))
    at, left = 0.0, 0.0 if even else random_source.expovariate(1.0)
    while True:
        # as much of the rate's integral as is left, piece by piece
        while True:
            present, change = rate.at(at) / 1e3, rate.next_change(at)
            if present > 0.0 and at + left / present < change:
                at += left / present
                break
            if math.isinf(change):
                return
            left -= (change - at) * present
            at = change
        if at >= length_ms:
            return
        name = names[bisect.bisect_left(weights, random_source.random() * weights[-1])]
        size = (
            size_mean_ms * math.exp(random_source.gauss(-sigma * sigma / 2, sigma)) if sigma else size_mean_ms
        )
        yield Due(at, name, size)
        left = 1.0 if even else random_source.expovariate(1.0)


def from_trace(path: Path) -> Iterator[Due]:
    """A trace in order of time: JSON lines with t (ms), f, w (ms), or CSV with the columns time (s),
    function, size (ms). Raises TraceError."""
    before = 0.0
    try:
        with open(path, newline="", encoding="utf-8") as file:
            reader = _csv(path, file) if path.suffix == ".csv" else _lines(path, file)
            for number, due in reader:
                if due.at_ms < before:
                    raise TraceError(
                        f"{path.name}, line {number}: found {due.at_ms:g} ms after {before:g} ms; "
                        "allowed: times in order"
                    )
                if number > TRACE_BOUND:
                    raise TraceError(f"{path.name}: found more lines; allowed: {TRACE_BOUND} at most")
                before = due.at_ms
                yield due
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        raise TraceError(f"{path.name}: found {error}; allowed: a trace that can be read") from error


def _csv(path: Path, file) -> Iterator[tuple[int, Due]]:
    reader = csv.DictReader(file)
    if not {"time", "function"} <= set(reader.fieldnames or ()):
        raise TraceError(
            f"{path.name}, line 1: found {', '.join(reader.fieldnames or ())}; allowed: time, function, size"
        )
    for row in reader:
        yield (
            reader.line_num,
            _due(path, reader.line_num, row["time"], 1e3, row["function"], row.get("size")),
        )


def _lines(path: Path, file) -> Iterator[tuple[int, Due]]:
    for number, text in enumerate(file, 1):
        if not text.strip():
            continue
        try:
            row = json.loads(text)
            at, function, size = row["t"], row["f"], row.get("w")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise TraceError(
                f"{path.name}, line {number}: found {error!r}; allowed: an object with t, f and w"
            ) from error
        yield number, _due(path, number, at, 1.0, function, size)


def _due(path: Path, number: int, at, unit: float, function, size) -> Due:
    try:
        due = Due(float(at) * unit, str(function), float(size or 0.0))
        good = due.at_ms >= 0.0 and due.size_ms >= 0.0 and math.isfinite(due.at_ms + due.size_ms)
    except (TypeError, ValueError):
        good = False
    if not good or not function:
        raise TraceError(
            f"{path.name}, line {number}: found {at!r}, {function!r}, {size!r}; allowed: a time and a size "
            "of 0 or more, and a name"
        )
    return due
