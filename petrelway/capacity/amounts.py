"""Amounts with units as a reader wants them: three figures, and the prefix that fits."""

from __future__ import annotations

import math

FIGURES = 3
PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))
WHOLE_NUMBER = 1e-6  # a count so near to a whole number is told in full
US_A_CORE = 1e6  # CPU of one core in one second


def amount_text(amount: float | None, unit: str) -> str:
    """An amount as text; bytes with decimal prefixes, CPU as a share of a core.

    >>> amount_text(46_500_000, "B"), amount_text(20_000, "us/s"), amount_text(17_024, "connections")
    ('46.5 MB', '2% of a core', '17,024 connections')
    >>> amount_text(0.00123, "s"), amount_text(250_000, "us"), amount_text(None, "B")
    ('1.23 ms', '250 ms', 'not measured')
    """
    if amount is None:
        return "not measured"
    if unit == "us/s":
        return f"{figures(100.0 * amount / US_A_CORE)}% of a core"
    if unit == "share":
        return f"{figures(100.0 * amount)}%"
    if unit in ("B", "B/s"):
        return _prefixed(amount, unit)
    if unit in ("s", "us"):
        return _time(amount if unit == "s" else amount / US_A_CORE)
    counted = f"{amount:,.0f}" if abs(amount - round(amount)) < WHOLE_NUMBER else figures(amount)
    return f"{counted} {unit}".rstrip()


def figures(number: float) -> str:
    """Three significant figures, whole from 100 on, with thousands apart.

    >>> figures(1234567.0), figures(0.012345), figures(5.0), figures(0.0)
    ('1,230,000', '0.0123', '5', '0')
    """
    if number == 0.0:
        return "0"
    places = FIGURES - 1 - math.floor(math.log10(abs(number)))
    rounded = round(number, places)
    if places <= 0:
        return f"{rounded:,.0f}"
    return f"{rounded:.{places}f}".rstrip("0").rstrip(".")


def _prefixed(amount: float, unit: str) -> str:
    for factor, prefix in PREFIXES:
        if abs(amount) >= factor:
            return f"{figures(amount / factor)} {prefix}{unit}"
    return f"{figures(amount)} {unit}"


def _time(seconds: float) -> str:
    if abs(seconds) >= 1.0 or seconds == 0.0:
        return f"{figures(seconds)} s"
    if abs(seconds) >= 1e-3:
        return f"{figures(seconds * 1e3)} ms"
    return f"{figures(seconds * 1e6)} us"
