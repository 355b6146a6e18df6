"""How often functions are called, and what of that one front end sees; pure arithmetic.

The rates of a fleet's functions follow a power law with a flattened head (Zipf-Mandelbrot): the function of
rank k is called in proportion to (k + cut) ** -exponent. Neighbouring ranks are put together into bands that
share one rate, so that half a million functions cost some hundred terms.
"""

from __future__ import annotations

import math
from typing import NamedTuple

EXACT_RANKS = 64  # the first ranks have a band each
BAND_GROWTH = 1.02  # a band ends this many times further down than it begins


class Band(NamedTuple):
    """So many functions that are each called so often, over the whole fleet."""

    functions: float
    calls_a_second: float


class Seen(NamedTuple):
    """What one front end sees of all functions."""

    functions_known: float  # at one moment
    new_functions_a_second: float


def power_law(functions: float, exponent: float, cut: float, calls_a_second: float) -> tuple[Band, ...]:
    """The functions in bands, most called first; their calls sum to `calls_a_second`.

    >>> bands = power_law(1000, 1.5, 10, 200)
    >>> round(sum(b.functions for b in bands)), round(sum(b.functions * b.calls_a_second for b in bands), 6)
    (1000, 200.0)
    """
    edges = [0.0]
    while edges[-1] < functions:
        step = 1.0 if edges[-1] < EXACT_RANKS else math.floor(edges[-1] * BAND_GROWTH) - edges[-1] + 1.0
        edges.append(min(functions, edges[-1] + step))
    sizes = [high - low for low, high in zip(edges, edges[1:], strict=False)]
    weights = [
        _weight(low + cut + 0.5, high + cut + 0.5, exponent)
        for low, high in zip(edges, edges[1:], strict=False)
    ]
    scale = calls_a_second / sum(weights)
    return tuple(Band(size, weight * scale / size) for size, weight in zip(sizes, weights, strict=False))


def _weight(low: float, high: float, exponent: float) -> float:
    """The integral of x ** -exponent from low to high."""
    if abs(exponent - 1.0) < 1e-9:
        return math.log(high / low)
    return (low ** (1.0 - exponent) - high ** (1.0 - exponent)) / (exponent - 1.0)


def share_of_functions_below(bands: tuple[Band, ...], calls_a_second: float) -> float:
    """The share of the functions that are called less often than this.

    >>> share_of_functions_below((Band(1, 9.0), Band(3, 0.5)), 1.0)
    0.75
    """
    rare = sum(band.functions for band in bands if band.calls_a_second < calls_a_second)
    return rare / sum(band.functions for band in bands)


def seen_by_one(bands: tuple[Band, ...], front_ends: float, forget_s: float) -> Seen:
    """What one of `front_ends` sees, with calls spread evenly over them and a function forgotten after
    `forget_s` without a call.

    With r = rate / front_ends a function's calls here, by a Poisson process: it is known with probability
    1 - exp(-forget_s * r), and its calls that find it unknown come at the rate r * exp(-forget_s * r).

    >>> seen = seen_by_one((Band(10, 2.0),), 2.0, 1e9)
    >>> seen.functions_known, seen.new_functions_a_second
    (10.0, 0.0)
    >>> round(seen_by_one((Band(10, 2.0),), 2.0, 0.0).new_functions_a_second, 6)  # each call is a first one
    10.0
    """
    known, new = 0.0, 0.0
    for band in bands:
        rate = band.calls_a_second / front_ends
        unknown = math.exp(-forget_s * rate)
        known += band.functions * (1.0 - unknown)
        new += band.functions * rate * unknown
    return Seen(known, new)


def share_of_calls_repeated(bands: tuple[Band, ...], front_ends: float, within_s: float) -> float:
    """The share of calls whose function the same front end had called within `within_s` before.

    1 - exp(-within_s * rate / front_ends), weighed by calls.

    >>> round(share_of_calls_repeated((Band(1, 1.0),), 1.0, math.log(2)), 6)
    0.5
    """
    calls = sum(band.functions * band.calls_a_second for band in bands)
    repeated = sum(
        band.functions * band.calls_a_second * -math.expm1(-within_s * band.calls_a_second / front_ends)
        for band in bands
    )
    return repeated / calls
