"""Which executor owns an address that the endpoint list names for several of them; pure, without I/O.

A new executor may have the address of one that has gone, and the list may still name the old one, as draining
or as ready, before, with or after the new one. Only one process can be reached there: the one that started
last. `service.py` passes each event through here before the dispatcher sees it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..common.endpoint_entry import EndpointEntry

READY = "ready"
GONE = "gone"


class Address(NamedTuple):
    """Where an executor listens."""

    host: str
    port: int


class AddressOwners:
    """The executors that are not gone, by address; an address belongs to the one that started last.

    >>> owners = AddressOwners()
    >>> old = EndpointEntry("s-1", "10.0.0.1", 7000, "", "", 0, "ready", 1.0, 0.0)
    >>> new = old._replace(executor="s-2", started_ms=5000.0)
    >>> [e.stage for e in owners.listed([old], True)]
    ['ready']
    >>> [(e.executor, e.stage) for e in owners.listed([new], False)]
    [('s-2', 'ready'), ('s-1', 'gone')]
    >>> [(e.executor, e.stage) for e in owners.listed([old._replace(stage="draining")], False)]
    [('s-1', 'gone'), ('s-2', 'ready')]
    """

    def __init__(self) -> None:
        """Start without executors."""
        self._entries: dict[str, EndpointEntry] = {}  # as listed, in the order of their first listing
        self._at: dict[Address, dict[str, None]] = {}  # executors by address, in the same order

    def listed(self, entries: Iterable[EndpointEntry], complete: bool) -> list[EndpointEntry]:
        """Take in an event; return its entries, those without their address as gone, and others it changes.

        `complete`: the entries are the whole list; executors that it does not name are forgotten.
        """
        named = {entry.executor: entry for entry in entries}
        if complete:
            for executor in [executor for executor in self._entries if executor not in named]:
                self._forget(executor)
        touched: dict[Address, None] = {}
        for entry in named.values():
            self._move(entry, touched)
        found = {
            executor: self._effective(entry) if entry.stage != GONE else entry
            for executor, entry in named.items()
        }
        for address in touched:
            for executor in self._at.get(address, ()):
                found.setdefault(executor, self._effective(self._entries[executor]))
        return list(found.values())

    def _move(self, entry: EndpointEntry, touched: dict[Address, None]) -> None:
        """Record an entry; add the addresses whose owner it may change to `touched`."""
        before = self._entries.get(entry.executor)
        address = _address(entry)
        if before is not None and (entry.stage == GONE or _address(before) != address):
            touched[_address(before)] = None
            self._forget(entry.executor)
        if entry.stage != GONE:
            touched[address] = None
            self._entries[entry.executor] = entry
            self._at.setdefault(address, {})[entry.executor] = None

    def _forget(self, executor: str) -> None:
        address = _address(self._entries.pop(executor))
        sharing = self._at[address]
        del sharing[executor]
        if not sharing:
            del self._at[address]

    def _effective(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry as it is if the executor owns its address, else as gone."""
        sharing = self._at[_address(entry)]
        if len(sharing) == 1 or self._owner(sharing) == entry.executor:
            return entry
        return entry._replace(stage=GONE)

    def _owner(self, sharing: Iterable[str]) -> str:
        """Return the executor that started last; of equals a ready one, then the one listed first last."""
        order = list(sharing)
        return max(order, key=lambda executor: (*self._rank(executor), order.index(executor)))

    def _rank(self, executor: str) -> tuple[float, bool]:
        entry = self._entries[executor]
        return entry.started_ms, entry.stage == READY


def _address(entry: EndpointEntry) -> Address:
    return Address(entry.address, entry.port)
