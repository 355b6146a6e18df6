"""Tries every order of events of a small system, from its start on, and checks a statement after each."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

STATES_BOUND = 5_000_000


class Explored(NamedTuple):
    """How many states were seen, how deep; `whole` if there are no more; the way to a violation, if one was
    found."""

    states: int
    depth: int
    whole: bool
    broken: str
    way: list[str]


def explore(
    start: Hashable,
    moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]],
    violation: Callable[[Hashable], str],
    depth: int = 1000,
    bound: int = STATES_BOUND,
) -> Explored:
    """Breadth first: the way to a violation is a shortest one. `violation` gives what is broken, or nothing.

    >>> steps = lambda n: [("one", n + 1), ("two", n + 2)]
    >>> explore(0, steps, lambda n: "seven" if n == 7 else "", 10).way
    ['one', 'two', 'two', 'two']
    >>> explore(0, lambda n: [("turn", (n + 1) % 5)], lambda n: "")[:3]
    (5, 4, True)
    """
    came: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    layer, deep = [start], 0
    while layer:
        if deep >= depth:
            return Explored(len(came), deep, False, "", [])
        following = []
        for state in layer:
            for name, after in moves(state):
                if after in came:
                    continue
                came[after] = state, name
                if what := violation(after):
                    return Explored(len(came), deep + 1, False, what, _way(came, after))
                following.append(after)
                if len(came) >= bound:
                    return Explored(len(came), deep + 1, False, "", [])
        layer = following
        deep += bool(layer)
    return Explored(len(came), deep, True, "", [])


def _way(came: dict, state: Hashable) -> list[str]:
    way = []
    while (step := came[state]) is not None:
        state, name = step
        way.append(name)
    return way[::-1]
