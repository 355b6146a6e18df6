"""The capacity model as it is read and printed: slopes, the report, and a hollow fleet's report."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from forms_values import ROOT, as_json, type_form

from petrelway.capacity.report import Report
from petrelway.capacity.slopes import SLOPES_FILE, SlopeFile, read_slopes, write_slopes
from petrelway.commands import main
from petrelway.fakes.hollow_members import FleetPlan
from petrelway.fakes.hollow_members import Report as HollowReport
from petrelway.fakes.hollow_process import Command

TARGET = str(ROOT / "examples" / "size-target.jsonnet")


def type_forms() -> dict[str, Any]:
    """Keys and types of what is read and written here as JSON; the words that drive a hollow fleet."""
    return {
        "slopes": type_form(SlopeFile),
        "capacity report": type_form(Report),
        "hollow fleet plan": type_form(FleetPlan),
        "hollow report": type_form(HollowReport),
        "hollow commands": [command.value for command in Command],
    }


def slopes_read() -> Any:
    """The checked-in slopes as the program reads them."""
    return as_json(read_slopes())


def slopes_text() -> bytes:
    """The checked-in text with its whole numbers as the program writes figures: with a point.

    The benchmark wrote some of them without one.
    """
    return re.sub(rb"(: -?\d+)(?=,?\n)", rb"\1.0", SLOPES_FILE.read_bytes())


def slopes_raw() -> Any:
    """The same, read without the program."""
    return json.loads(SLOPES_FILE.read_text("utf-8"))


def slopes_rewritten(folder: Path) -> bytes:
    """What the program writes of all slopes that it has read."""
    whole, path = read_slopes(), folder / "slopes.json"
    write_slopes(list(whole.slopes.values()), whole.machine, path)
    return path.read_bytes()


def report_text() -> list[str]:
    """What `petrelway capacity` prints of the target, line by line."""
    return CliRunner().invoke(main, ["capacity", TARGET]).stdout.splitlines()


def report_json() -> Any:
    """What `petrelway capacity --json` prints of the target."""
    return json.loads(CliRunner().invoke(main, ["capacity", TARGET, "--json"]).stdout)
