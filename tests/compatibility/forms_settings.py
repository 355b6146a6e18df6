"""Every kind of settings file: its sections, how it is read, and which files here are of that kind."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from forms_values import FORMS, ROOT, as_json, read_form, type_form

from petrelway.capacity import size as size_settings
from petrelway.emulator import experiment as experiment_settings
from petrelway.load import plan as load_settings
from petrelway.policy import document as policy_settings
from petrelway.settings import days as day_settings
from petrelway.settings import front as front_settings
from petrelway.settings import worker as worker_settings
from petrelway.settings.reading import SettingsError, evaluate
from petrelway.worker.package import Manifest, PackageError, read_manifest

DOCUMENTS = FORMS / "settings" / "documents"
CASES = "settings/fault_cases.json"


def read_load(file: str) -> dict[str, Any]:
    """A load file's sections by name."""
    plan = load_settings.read_load(file)
    return {
        "arrivals": plan.told,
        "functions": plan.functions,
        "sizes": plan.sizes,
        "attributes": plan.attributes,
        "how": plan.how,
    }


def read_experiment(file: str) -> dict[str, Any]:
    """An experiment's sections by name, and the fingerprint that its results carry."""
    found = experiment_settings.read_experiment(file)
    return {
        "base": found.base,
        "axes": found.axes,
        "policies": found.policies,
        "seeds": found.seeds,
        "sample": found.sample,
        "fingerprint": found.fingerprint,
    }


def read_policy(file: str) -> dict[str, Any]:
    """The terms in a policy document, checked against the settings of the front end's document."""
    settings = front_settings.read_front_end(str(DOCUMENTS / "front.jsonnet"))
    return policy_settings.check(file, evaluate(file), settings)


def read_package_manifest(file: str) -> Manifest:
    """A package's manifest; it is JSON, of which Jsonnet is a superset."""
    return read_manifest(json.dumps(evaluate(file)).encode())


class Kind(NamedTuple):
    """One kind of settings file."""

    sections: Mapping[str, Any]
    read: Callable[[str], Any]
    examples: tuple[str, ...] = ()


KINDS = {
    "front": Kind(front_settings.SHAPES, front_settings.read_front_end, ("front",)),
    "worker": Kind(worker_settings.SHAPES, worker_settings.read_worker),
    "day": Kind(
        day_settings.SHAPES,
        day_settings.read_day,
        ("bad-day", "short-day", "socket-day", "torn-day", "workers-day"),
    ),
    "load": Kind(load_settings.SHAPES, read_load, ("load",)),
    "experiment": Kind(experiment_settings.SHAPES, read_experiment, ("load-and-size",)),
    "size": Kind(size_settings.SHAPES, size_settings.read_size, ("size-target", "size-today")),
    "policy": Kind(policy_settings.SECTIONS, read_policy),
    "manifest": Kind({"(file)": Manifest}, read_package_manifest),
}
EXAMPLES = {name: kind for kind, told in KINDS.items() for name in told.examples}


def section_forms(kind: str) -> dict[str, Any]:
    """The JSON form of each section of this kind of file."""
    return {name: type_form(shape) for name, shape in KINDS[kind].sections.items()}


def values(kind: str, file: Path) -> Any:
    """What a file reads to, under its outside names."""
    return as_json(KINDS[kind].read(str(file)))


def example(name: str) -> Path:
    """The example's file."""
    return ROOT / "examples" / f"{name}.jsonnet"


def documents(kind: str) -> list[Path]:
    """The documents that use every key of this kind; their names begin with the kind's."""
    return [file for file in sorted(DOCUMENTS.glob("*.jsonnet")) if file.stem.partition("-")[0] == kind]


def changed(tree: dict[str, Any], case: Mapping[str, Any]) -> dict[str, Any]:
    """A copy of the tree in which the value at the case's path is another one, or is left out."""
    whole = copy.deepcopy(tree)
    *way, last = case["path"]
    part: Any = whole
    for step in way:
        part = part[step]
    if "value" in case:
        part[last] = case["value"]
    else:
        del part[last]
    return whole


def fault_text(case: Mapping[str, Any], folder: Path) -> str:
    """What is said of a document with this change, the folder left out."""
    kind = case["kind"]
    tree = changed(evaluate(documents(kind)[0]), case)
    return _text_of_faults(kind, tree, folder)


def required_sections(kind: str, folder: Path) -> list[str]:
    """The sections of which an empty file is told that they lack.

    What is allowed there names the section's class and is left out.
    """
    file = _written(kind, {}, folder)
    try:
        KINDS[kind].read(str(file))
    except SettingsError as fault:
        return [f"{each.path}: found {each.found}" for each in fault.faults]
    except PackageError as fault:
        return [str(fault)]
    return []


def fault_cases() -> dict[str, dict[str, Any]]:
    """The changes that make a document faulty, by name."""
    return read_form(CASES)


def _text_of_faults(kind: str, tree: dict[str, Any], folder: Path) -> str:
    file = _written(kind, tree, folder)
    try:
        KINDS[kind].read(str(file))
    except (SettingsError, PackageError) as fault:
        return str(fault).replace(f"{folder}/", "")
    return ""


def _written(kind: str, tree: dict[str, Any], folder: Path) -> Path:
    file = folder / f"{kind}.jsonnet"
    file.write_text(json.dumps(tree), "utf-8")
    return file
