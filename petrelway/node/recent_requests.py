"""The ids of requests that were sent to an executor lately, in bounded memory, without I/O.

The protocol page asks clients for a new id with every request. One that comes again, after its client left or
got its answer, may run a second time if it is sent again; so it is refused as long as it is remembered. The
ids remembered longest are forgotten first, and a forgotten id counts as unused.
"""

from __future__ import annotations


class RecentRequestIds:
    """Two generations of ids: when the recent one is full it becomes the older one, which is forgotten.

    >>> recent = RecentRequestIds(2)
    >>> for name in (b"a", b"b", b"c"): recent.add(name)
    >>> [name in recent for name in (b"a", b"b", b"c", b"d")]
    [True, True, True, False]
    >>> recent.add(b"d"); [name in recent for name in (b"a", b"b", b"c", b"d")], recent.forgotten
    ([False, False, True, True], 2)
    """

    def __init__(self, bound: int) -> None:
        """Start empty; `bound` is the number of ids in each generation."""
        self.bound = bound
        self._recent: set[bytes] = set()
        self._older: set[bytes] = set()
        self.forgotten = 0

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._recent or request_id in self._older

    def add(self, request_id: bytes) -> None:
        """Remember an id."""
        self._recent.add(request_id)
        if len(self._recent) >= self.bound:
            self.forgotten += len(self._older)
            self._older = self._recent
            self._recent = set()
