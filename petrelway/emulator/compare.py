"""What differs between two sets of runs beyond noise, paired by seed. Pure; chance handed in."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
from scipy import stats

DRAWS = 4000
SURE = 0.05  # chance of calling noise a difference, over all points together


class Difference(NamedTuple):
    """Of one point: B minus A, its band, the chance of as much by noise alone, and the verdict."""

    point: tuple[str, ...]
    figure: str
    pairs: int
    a: float
    b: float
    mean: float
    low: float
    high: float
    p: float
    differs: bool


def band(values: Sequence[float], random_source: random.Random, share: float = 0.95) -> tuple[float, float]:
    """A bootstrap band of the mean.

    >>> low, high = band([1.0, 2.0, 3.0, 4.0], random.Random(1))
    >>> 1.0 <= low < 2.5 < high <= 4.0
    True
    """
    if len(values) < 2:
        only = float(values[0]) if values else 0.0
        return only, only
    draw = np.random.default_rng(random_source.getrandbits(32))
    array = np.asarray(values, dtype=float)
    means = array[draw.integers(0, len(array), (DRAWS, len(array)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - share) / 2, (1 + share) / 2])
    return float(low), float(high)


def by_noise(differences: Sequence[float]) -> float:
    """The chance that as much comes from noise alone: Student's t of paired differences.

    >>> round(by_noise([0.1, 0.2, 0.1, 0.3, 0.2, 0.1]), 3), by_noise([0.5, 0.5]), by_noise([0.3])
    (0.004, 0.0, 1.0)
    """
    array = np.asarray(differences, dtype=float)
    if len(array) < 2 or not array.any():
        return 1.0
    if np.ptp(array) < 1e-12:
        return 0.0
    return float(stats.ttest_1samp(array, 0.0).pvalue)


def paired(
    a: list[dict[str, Any]],
    b: list[dict[str, Any]],
    by: Sequence[str],
    figure: str,
    random_source: random.Random,
) -> list[Difference]:
    """By point, in order; Holm's correction over the points. Runs without a partner are left out."""
    found = []
    table_a, table_b = _table(a, by, figure), _table(b, by, figure)
    for point in sorted(set(table_a) & set(table_b)):
        seeds = sorted(set(table_a[point]) & set(table_b[point]))
        if not seeds:
            continue
        left = [table_a[point][s] for s in seeds]
        right = [table_b[point][s] for s in seeds]
        moved = [y - x for x, y in zip(left, right, strict=False)]
        low, high = band(moved, random_source)
        mean = float(np.mean(moved))
        p = by_noise(moved)
        found.append(
            Difference(
                point,
                figure,
                len(seeds),
                float(np.mean(left)),
                float(np.mean(right)),
                mean,
                low,
                high,
                p,
                False,
            )
        )
    order = sorted(range(len(found)), key=lambda i: found[i].p)
    for rank, i in enumerate(order):
        if found[i].p * (len(order) - rank) > SURE:
            break
        found[i] = found[i]._replace(differs=True)
    return found


def _table(rows: list[dict[str, Any]], by: Sequence[str], figure: str) -> dict[tuple, dict[float, float]]:
    table: dict[tuple, dict[float, float]] = {}
    for row in rows:
        table.setdefault(tuple(str(row[name]) for name in by), {})[row["seed"]] = row[figure]
    return table
