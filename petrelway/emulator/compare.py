"""What differs between two sets of runs beyond noise, paired by seed. Pure; chance handed in."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np

EXACT = 12  # pairs up to which every flip of signs is tried
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


def band(values: Sequence[float], chance: random.Random, share: float = 0.95) -> tuple[float, float]:
    """A bootstrap band of the mean.

    >>> low, high = band([1.0, 2.0, 3.0, 4.0], random.Random(1))
    >>> 1.0 <= low < 2.5 < high <= 4.0
    True
    """
    if len(values) < 2:
        only = float(values[0]) if values else 0.0
        return only, only
    draw = np.random.default_rng(chance.getrandbits(32))
    array = np.asarray(values, dtype=float)
    means = array[draw.integers(0, len(array), (DRAWS, len(array)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - share) / 2, (1 + share) / 2])
    return float(low), float(high)


def by_noise(differences: Sequence[float], chance: random.Random) -> float:
    """The share of all flips of signs whose mean is as far from 0: exact for few pairs, else drawn.

    >>> by_noise([0.1, 0.2, 0.1, 0.3, 0.2, 0.1], random.Random(1))
    0.03125
    """
    array = np.asarray(differences, dtype=float)
    seen = abs(array.sum()) - 1e-12
    if len(array) <= EXACT:
        signs = np.array(list(itertools.product((-1.0, 1.0), repeat=len(array))))
    else:
        draw = np.random.default_rng(chance.getrandbits(32))
        signs = draw.choice((-1.0, 1.0), (DRAWS, len(array)))
    return float((np.abs(signs @ array) >= seen).mean())


def paired(
    a: list[dict[str, Any]], b: list[dict[str, Any]], by: Sequence[str], figure: str, chance: random.Random
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
        moved = [y - x for x, y in zip(left, right)]
        low, high = band(moved, chance)
        mean = float(np.mean(moved))
        p = by_noise(moved, chance) if any(moved) else 1.0
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
