"""The request numbers that a client's connection has used, in bounded memory, without I/O.

The protocol asks for a number that was not used before on its connection, in no order. Consecutive numbers
are stored as one span, so a client that counts, alone or in ranges, needs a few spans. Beyond the bound the
numbers used longest ago are forgotten, and a forgotten number counts as unused: an error for a number that
was never used would cost its client a request.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from typing import NamedTuple

UNSIGNED_64 = "Q"  # array type code; numbers are below 2 ** 53
SPAN_BYTES = 18  # two numbers of 8 bytes, and an eighth that an array keeps free
SPANS_PER_GENERATION = 1024  # 16 KiB; at least as many of the latest numbers are remembered


class Span(NamedTuple):
    """Consecutive numbers, from `first` to `last`."""

    first: int
    last: int


class NumberSpans:
    """A set of numbers as sorted spans, none of which touches another.

    >>> spans = NumberSpans()
    >>> for number in (5, 1, 2, 4): spans.add(Span(number, number))
    >>> list(spans), 2 in spans, 3 in spans, spans.take_touching(3), list(spans)
    ([Span(first=1, last=2), Span(first=4, last=5)], True, False, Span(first=1, last=5), [])
    """

    __slots__ = ("_firsts", "_lasts")

    def __init__(self) -> None:
        """Start empty."""
        self._firsts = array(UNSIGNED_64)
        self._lasts = array(UNSIGNED_64)

    def __len__(self) -> int:
        return len(self._firsts)

    def __iter__(self):
        return map(Span, self._firsts, self._lasts)

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self._firsts, number)
        return index > 0 and number <= self._lasts[index - 1]

    def extend_last(self, number: int) -> bool:
        """Add a number above all of these if it touches the last span; return whether it does."""
        if not self._lasts or self._lasts[-1] != number - 1:
            return False
        self._lasts[-1] = number
        return True

    def take_touching(self, number: int) -> Span:
        """Remove the spans that end next to a number outside them; return their union with the number."""
        first = last = number
        index = bisect_left(self._firsts, number)
        if index < len(self._firsts) and self._firsts[index] == number + 1:
            last = self._lasts[index]
            self._remove(index)
        if index > 0 and self._lasts[index - 1] == number - 1:
            first = self._firsts[index - 1]
            self._remove(index - 1)
        return Span(first, last)

    def add(self, span: Span) -> None:
        """Add a span that overlaps none of these; it is joined with those that it touches."""
        index = bisect_left(self._firsts, span.first)
        touches_lower = index > 0 and self._lasts[index - 1] + 1 == span.first
        touches_higher = index < len(self._firsts) and self._firsts[index] == span.last + 1
        if touches_lower and touches_higher:
            self._lasts[index - 1] = self._lasts[index]
            self._remove(index)
        elif touches_lower:
            self._lasts[index - 1] = span.last
        elif touches_higher:
            self._firsts[index] = span.first
        else:
            self._firsts.insert(index, span.first)
            self._lasts.insert(index, span.last)

    def _remove(self, index: int) -> None:
        del self._firsts[index]
        del self._lasts[index]


class UsedNumbers:
    """The numbers that one connection has used: all of them up to a bound, then the latest ones.

    There are two generations of spans. A span that grows moves to the recent one; once that is full, it
    becomes the older one, and the spans left in the older one are forgotten together.

    >>> used = UsedNumbers(2)
    >>> [used.add(number) for number in (1, 2, 2, 9, 7, 9, 3, 1)]
    [True, True, False, True, True, False, True, False]
    >>> used.forgotten_spans, used.add(9), used.add(3)
    (1, True, False)
    """

    __slots__ = ("_bound", "_highest", "_older", "_recent", "forgotten_spans")

    def __init__(self, bound: int = SPANS_PER_GENERATION) -> None:
        """Start with no number used; `bound` limits the spans of each generation."""
        self._bound = bound
        self._highest = 0  # of all numbers used, remembered or not
        self._recent = NumberSpans()
        self._older = NumberSpans()
        self.forgotten_spans = 0

    def __len__(self) -> int:
        """Return how many spans are remembered."""
        return len(self._recent) + len(self._older)

    def size_bytes(self) -> int:
        """Return how much memory the spans take, with what their arrays keep free."""
        return SPAN_BYTES * (len(self._recent._firsts) + len(self._older._firsts))

    def forget_older(self) -> bool:
        """Forget the numbers used longest ago; return whether there were any."""
        if not len(self._older):
            self._older, self._recent = self._recent, self._older
        count = len(self._older)
        self.forgotten_spans += count
        self._older = NumberSpans()
        return count > 0

    def add(self, number: int) -> bool:
        """Remember a number; return False if it is remembered as used, and never for an unused one."""
        if number > self._highest:
            self._highest = number
            if self._recent.extend_last(number):
                return True
        elif number in self._recent or number in self._older:
            return False
        self._recent.add(self._older.take_touching(number))
        if len(self._recent) >= self._bound:
            self.forgotten_spans += len(self._older)
            self._older = self._recent
            self._recent = NumberSpans()
        return True
