"""Experiments: a grid or a random sweep over days, sizes, faults, policies and seeds; resumable."""

from __future__ import annotations

import copy
import hashlib
import itertools
import json
import math
import multiprocessing
import os
import random
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from pathlib import Path
from typing import Annotated, Any, NamedTuple

from msgspec import Meta

from ..scenarios.baselines import POLICIES
from ..settings.days import check_day
from ..settings.front import Name, Strict
from ..settings.reading import SettingsError, SettingsProblem, evaluate, sections
from .results import Results, load
from .runs import made_by, run

RUNS_BOUND = 100_000
SAVE_EVERY = 20  # runs between two writings of the file, and at the end
AXIS = "axis:"


class Axis(Strict):
    """Either `path` with `values`, or `sets`: label -> {path: value}, or `path` with `low` and `high`."""

    path: str = ""
    values: list[Any] = []
    sets: dict[str, dict[str, Any]] = {}
    low: float = 0.0
    high: float = 0.0
    log: bool = False


SHAPES: dict[str, Any] = {
    "base": dict[str, Any],
    "axes": Annotated[dict[Name, Axis], Meta(max_length=8)],
    "policies": Annotated[list[str], Meta(min_length=1)],
    "seeds": Annotated[int, Meta(ge=1, le=1000)],
    "sample": Annotated[int, Meta(ge=0, le=RUNS_BOUND)],
}


class Point(NamedTuple):
    """One run: its labels by axis, its policy and seed, and the day's tree."""

    labels: tuple[tuple[str, str], ...]
    policy: str
    seed: int
    tree: dict[str, Any]

    def key(self) -> tuple:
        return (*self.labels, self.policy, self.seed)


class Experiment:
    """What FILE asks for. `sample` 0: the whole grid; else so many points drawn from it."""

    def __init__(self, file: str, tree: dict[str, Any]) -> None:
        """Raises SettingsError; every day of the grid is checked."""
        self.file = file
        tree = {"axes": {}, "policies": ["petrelway"], "seeds": 3, "sample": 0, **tree}
        found = sections(file, tree, SHAPES, frozenset())
        self.base, self.axes, self.policies = found["base"], found["axes"], found["policies"]
        self.seeds, self.sample = found["seeds"], found["sample"]
        self.fingerprint = hashlib.sha256(json.dumps(tree, sort_keys=True).encode()).hexdigest()[:16]
        faults = [
            SettingsProblem(f"policies[{i}]", repr(name), "one of " + ", ".join(POLICIES))
            for i, name in enumerate(self.policies)
            if name not in POLICIES
        ]
        for name, axis in self.axes.items():
            ranged = axis.high > axis.low
            if sum((bool(axis.values), bool(axis.sets), ranged)) != 1 or (not axis.sets and not axis.path):
                faults.append(
                    SettingsProblem(
                        f"axes.{name}", "another mixture", "path with values, path with low < high, or sets"
                    )
                )
            elif ranged and not self.sample:
                faults.append(
                    SettingsProblem(f"axes.{name}", "a range", "values or sets, unless sample is given")
                )
            elif ranged and axis.log and axis.low <= 0.0:
                faults.append(
                    SettingsProblem(f"axes.{name}.low", f"{axis.low:g}", "more than 0 where log is true")
                )
        if not faults and self.size() > RUNS_BOUND:
            faults.append(SettingsProblem("axes", f"{self.size()} runs", f"{RUNS_BOUND} at most"))
        if faults:
            raise SettingsError(file, faults)
        for point in self.points():
            if point.seed == 0 and point.policy == self.policies[0]:
                check_day(file, point.tree)

    def size(self) -> int:
        some = self.sample or math.prod(len(a.values) or len(a.sets) for a in self.axes.values())
        return some * len(self.policies) * self.seeds

    def points(self) -> Iterator[Point]:
        """All runs, seeds of one point together. The same file gives the same runs."""
        for labels, changes in self._settings():
            tree = copy.deepcopy(self.base)
            for path, value in changes.items():
                put(self.file, tree, path, value)
            for policy in self.policies:
                for seed in range(self.seeds):
                    own = dict(tree)
                    own["day"] = {**tree.get("day", {}), "seed": 1 + seed}
                    yield Point(labels, policy, seed, own)

    def _settings(self) -> Iterator[tuple[tuple[tuple[str, str], ...], dict[str, Any]]]:
        if self.sample:
            random_source = random.Random(self.fingerprint)
            for _ in range(self.sample):
                yield self._joined(
                    [self._drawn(name, axis, random_source) for name, axis in self.axes.items()]
                )
            return
        for some in itertools.product(*(self._choices(name, axis) for name, axis in self.axes.items())):
            yield self._joined(list(some))

    @staticmethod
    def _choices(name: str, axis: Axis) -> list[tuple[str, str, dict[str, Any]]]:
        if axis.sets:
            return [(name, label, changes) for label, changes in axis.sets.items()]
        return [(name, _label(value), {axis.path: value}) for value in axis.values]

    def _drawn(self, name: str, axis: Axis, random_source: random.Random) -> tuple[str, str, dict[str, Any]]:
        if axis.high <= axis.low:
            return random_source.choice(self._choices(name, axis))
        if axis.log:
            value = math.exp(random_source.uniform(math.log(axis.low), math.log(axis.high)))
        else:
            value = random_source.uniform(axis.low, axis.high)
        value = float(f"{value:.4g}")
        return name, _label(value), {axis.path: value}

    @staticmethod
    def _joined(some) -> tuple[tuple[tuple[str, str], ...], dict[str, Any]]:
        changes: dict[str, Any] = {}
        for _, _, each in some:
            changes.update(each)
        return tuple((name, label) for name, label, _ in some), changes


def _label(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def put(file: str, tree: Any, path: str, value: Any) -> None:
    """Set what a path such as `tenants.0.rate` names. Raises SettingsError if there is no such place.

    >>> tree = {"tenants": [{"rate": 1}]}
    >>> put("x", tree, "tenants.0.rate", 5); put("x", tree, "traffic.rate", 7); tree
    {'tenants': [{'rate': 5}], 'traffic': {'rate': 7}}
    """
    *way, last = path.split(".")
    at = tree
    try:
        for name in way:
            at = at[int(name)] if isinstance(at, list) else at.setdefault(name, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (ValueError, IndexError, TypeError, AttributeError) as error:
        raise SettingsError(
            file, [SettingsProblem(path, "no such place", "a path of the base day")]
        ) from error


def read_experiment(file: str) -> Experiment:
    """Raises SettingsError."""
    return Experiment(file, evaluate(file))


class RunFailedError(Exception):
    """A run ended without its figures; its text says which, and why. What was played is saved."""


class NotResumableError(Exception):
    """Results are there that another experiment or commit made."""


def open_results(experiment: Experiment, path: Path) -> Results:
    """New ones, or those of an earlier run to go on with. Raises NotResumableError, ResultsFileError."""
    meta = {**made_by(), "experiment": experiment.fingerprint, "axes": list(experiment.axes)}
    if not path.exists():
        return Results(meta)
    found = load(path)
    for what in ("experiment", "decisions"):
        if found.meta.get(what) != meta[what]:
            raise NotResumableError(
                f"{path.name}: found results of {what} {found.meta.get(what)!r}; allowed: {meta[what]!r}, "
                "or another file"
            )
    return found


def play(
    experiment: Experiment,
    results: Results,
    path: Path,
    processes: int,
    progress: Callable[[int, int], None],
) -> None:
    """Play what is not yet in the results, one process a run on so many cores; saves as it goes.

    Raises RunFailedError.
    """
    names = [AXIS + name for name in experiment.axes]
    done = {
        (*zip(experiment.axes, (row[n] for n in names), strict=False), row["policy"], int(row["seed"]))
        for row in results.rows()
    }
    todo = [point for point in experiment.points() if point.key() not in done]
    progress(results.count, experiment.size())
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload(["petrelway.emulator.runs"])
    with ProcessPoolExecutor(processes or os.cpu_count(), mp_context=context, max_tasks_per_child=1) as pool:
        waiting = iter(todo)
        running = {}

        def begin() -> None:
            for point in itertools.islice(waiting, 1):
                running[pool.submit(run, point.tree, point.policy)] = point

        try:
            for _ in range(2 * (processes or os.cpu_count() or 1)):
                begin()
            while running:
                over, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in over:
                    point = running.pop(future)
                    try:
                        figures = future.result()
                    except Exception as error:  # a run that raises, or a process that the system ended
                        raise RunFailedError(f"{point.key()}: {error!r}") from error
                    row: dict[str, Any] = {AXIS + name: label for name, label in point.labels}
                    results.add({**row, "policy": point.policy, "seed": float(point.seed), **figures})
                    progress(results.count, experiment.size())
                    if results.count % SAVE_EVERY == 0:
                        results.save(path)
                    begin()
        finally:
            if results.count:
                results.save(path)
            for future in running:
                future.cancel()
