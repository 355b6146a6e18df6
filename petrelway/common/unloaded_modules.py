"""Keeps an optional module from being loaded by a library that uses it only where it is installed."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def unloaded(name: str) -> Iterator[None]:
    """Have imports of this module fail meanwhile, unless it is loaded already.

    >>> with unloaded("this"):
    ...     try: import this
    ...     except ImportError: print("not loaded")
    not loaded
    """
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]  # documented: its import raises ModuleNotFoundError
    try:
        yield
    finally:
        del sys.modules[name]
