"""Results that other programs read: those of experiments, of their comparison and of a load."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import numpy as np
from click.testing import CliRunner
from forms_common import FORMS, outline_lines, read_form
from test_load import Rig

from petrelway.commands import main
from petrelway.emulator.experiment import AXIS, Experiment, open_results
from petrelway.emulator.runs import run
from petrelway.load.arrivals import Due
from petrelway.load.running import text

TOPIC = "reports"
RESULTS = FORMS / TOPIC / "results.npz"
COMPARED = ["compare", str(RESULTS), "--policies", "petrelway", "random", "--figures", "service,p99_ms"]
SHAPE = "a section of this shape: "  # what follows is a name inside the program
LOAD_COUNT, LOAD_EVERY_MS = 100, 20.0


def experiment() -> Experiment:
    """Two rates, two policies and two seeds of the recorded day."""
    base = read_form("records", "emulated_day")
    return Experiment("(forms)", {**read_form(TOPIC, "experiment"), "base": base})


def play_results(path: Path) -> None:
    """The experiment's runs, as the verb keeps them, but in this process."""
    asked = experiment()
    results = open_results(asked, path)
    for point in asked.points():
        labels = {AXIS + name: label for name, label in point.labels}
        figures = run(point.tree, point.policy)
        results.add({**labels, "policy": point.policy, "seed": float(point.seed), **figures})
    results.save(path)


def arrays(path: Path) -> dict[str, str]:
    """The arrays of a file of results, with their kinds of value (`f` or `U`)."""
    with np.load(path, allow_pickle=False) as file:
        return {name: file[name].dtype.kind for name in file.files}


def metadata(path: Path) -> Any:
    """What the file says of how it was made, without the commit and the hashes."""
    with np.load(path, allow_pickle=False) as file:
        found = json.loads(str(file["_meta"]))
    return {key: type(value).__name__ if isinstance(value, str) else value for key, value in found.items()}


def compared(*more: str) -> Any:
    """What `petrelway compare` prints of the results that are checked in."""
    result = CliRunner().invoke(main, [*COMPARED, *more])
    return {"exit": result.exit_code, "printed": result.stdout}


def load_report() -> dict[str, Any]:
    """The report of a load in memory, of which a few are not sent and a few run out of time."""
    arrivals = [Due(LOAD_EVERY_MS * i, "f", 1.0) for i in range(LOAD_COUNT)]
    return Rig(arrivals, timeout=500.0, bound=40, stall=(0.5, 1.6)).run()


def load_outline() -> list[str]:
    """Its keys, types and the words of how each ended; and its text's words."""
    found = load_report()
    return [*outline_lines(found), *outline_lines({"printed": text(found)})]


def checked(name: str) -> Any:
    """What `petrelway check --json` prints of settings that are checked in."""
    result = CliRunner().invoke(main, ["check", str(FORMS / TOPIC / f"{name}.json"), "--json"])
    found = outline_lines({**json.loads(result.stdout), "file": ""})
    return {"exit": result.exit_code, "printed": [line for line in found if SHAPE not in line]}


def capacity_outline() -> list[str]:
    """The keys and words of `petrelway capacity --json` for a size that is checked in."""
    result = CliRunner().invoke(main, ["capacity", str(FORMS / TOPIC / "size.json"), "--json"])
    return outline_lines(json.loads(result.stdout))
