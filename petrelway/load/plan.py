"""What a load file says, and its parts: one for each process, together exactly the whole."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from ..settings.front import Ms, Name, Some, Strict
from ..settings.reading import SettingsError, SettingsProblem, evaluate, sections
from .arrivals import Due, Rate, drawn, from_trace


class Step(Strict):
    at_s: Annotated[float, Meta(ge=0)]
    rate: Annotated[float, Meta(ge=0)]


class Surge(Strict):
    at_s: Annotated[float, Meta(ge=0)]
    len_s: Annotated[float, Meta(gt=0)]
    times: Annotated[float, Meta(ge=0)]


class Arrivals(Strict):
    """Drawn: rate, steps, surges; or a trace file, relative to the load file."""

    seconds: Annotated[float, Meta(gt=0, le=86_400)] = 10.0
    rate: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0
    even: bool = False
    steps: list[Step] = []
    surges: list[Surge] = []
    trace: str = ""
    seed: int = 1


class Sizes(Strict):
    mean_ms: Some = 100.0
    cv: Annotated[float, Meta(ge=0, le=5)] = 0.0


class How(Strict):
    processes: Annotated[int, Meta(ge=1, le=64)] = 1
    open_bound: Annotated[int, Meta(ge=1, le=100_000)] = 10_000  # of each process
    timeout_ms: Ms = 30_000.0


SHAPES: dict[str, Any] = {
    "arrivals": Arrivals,
    "functions": Annotated[dict[Name, Annotated[float, Meta(gt=0)]], Meta(max_length=100_000)],
    "sizes": Sizes,
    "attributes": dict[Name, str],
    "how": How,
}


class LoadPlan:
    """A checked load file."""

    def __init__(self, file: str, tree: dict[str, Any]) -> None:
        """Raises SettingsError."""
        found = sections(file, tree, SHAPES, frozenset(("functions", "sizes", "attributes", "how")))
        self.folder = Path(file).parent
        self.told: Arrivals = found["arrivals"]
        self.functions: dict[str, float] = found.get("functions", {})
        self.sizes, self.how = found.get("sizes", Sizes()), found.get("how", How())
        self.attributes: dict[str, str] = found.get("attributes", {})
        faults = []
        if bool(self.told.trace) == bool(self.told.rate or self.told.steps):
            faults.append(
                SettingsProblem("arrivals", "rate and trace, or neither", "a rate or steps, or a trace")
            )
        if not self.told.trace and not self.functions:
            faults.append(SettingsProblem("functions", "none", "at least one, unless a trace names them"))
        if faults:
            raise SettingsError(file, faults)

    def due(self) -> Iterator[Due]:
        """All requests in order; the same each time. Raises TraceError as it reads."""
        told = self.told
        if told.trace:
            return itertools.takewhile(
                lambda due: due.at_ms < told.seconds * 1e3, from_trace(self.folder / told.trace)
            )
        rate = Rate(
            told.rate,
            [(s.at_s, s.rate) for s in told.steps],
            [(s.at_s, s.len_s, s.times) for s in told.surges],
        )
        return drawn(
            rate,
            told.seconds * 1e3,
            told.even,
            list(self.functions.items()),
            self.sizes.mean_ms,
            self.sizes.cv,
            random.Random(told.seed),
        )

    def part(self, number: int) -> Iterator[Due]:
        """What process `number` sends."""
        return itertools.islice(self.due(), number, None, self.how.processes)


def read_load(file: str) -> LoadPlan:
    """Raises SettingsError."""
    return LoadPlan(file, evaluate(file))
