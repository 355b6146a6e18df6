"""The order in which functions are forgotten where there is no memory for more of them.

Any client can name functions. A name that no executor has served yet costs nothing to forget; a function that
was served costs a load when it is called again. So the unserved ones go first, and of each kind the one used
longest ago. All steps take constant time.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice


class FunctionOrder:
    """The known functions by index, in the order of their last use, unserved ones and served ones.

    >>> order = FunctionOrder()
    >>> for index in (1, 2, 3): order.used(index)
    >>> order.served(1), order.used(2), list(order.oldest(1)), list(order.oldest(5))
    (None, None, [3, 1], [3, 2, 1])
    >>> order.forget(3), order.used(1), list(order.oldest(5)), len(order)
    (None, None, [2, 1], 2)
    """

    __slots__ = ("_served", "_unserved")

    def __init__(self) -> None:
        """Start without functions."""
        self._unserved: dict[int, None] = {}
        self._served: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self._unserved) + len(self._served)

    def used(self, index: int) -> None:
        """Note that a function is used now; the first use makes it known."""
        order = self._served if index in self._served else self._unserved
        order.pop(index, None)
        order[index] = None

    def served(self, index: int) -> None:
        """Note that an executor has served a known function."""
        if index in self._unserved:
            del self._unserved[index]
            self._served[index] = None

    def forget(self, index: int) -> None:
        """Drop a function."""
        self._unserved.pop(index, None)
        self._served.pop(index, None)

    def oldest(self, most: int) -> Iterator[int]:
        """Iterate over up to `most` functions of each kind, those to be forgotten first at the beginning."""
        yield from list(islice(self._unserved, most))
        yield from list(islice(self._served, most))
