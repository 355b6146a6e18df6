"""The functions that may be called, by name or by pattern, as the settings list them."""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Sequence

from .function_spec import FunctionSpec


class FunctionCatalogue:
    """Finds a function: an exact name first, then patterns such as `station-*` in the settings' order."""

    def __init__(self, functions: Sequence[FunctionSpec]) -> None:
        self.exact = {
            function.name: function for function in functions if not set(function.name) & set("*?[")
        }
        self.patterns = [
            (re.compile(fnmatch.translate(function.name)), function)
            for function in functions
            if function.name not in self.exact
        ]

    def find(self, name: str) -> FunctionSpec | None:
        """Return the function of this name, or None; a function found by a pattern is given this name."""
        exact = self.exact.get(name)
        if exact is not None:
            return exact
        for pattern, function in self.patterns:
            if pattern.match(name):
                return function._replace(name=name)
        return None
