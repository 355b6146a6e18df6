"""The records of small days in memory, and the calls in the program's text that write a record's line."""

from __future__ import annotations

import ast
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from forms_common import FORMS, read_form, record_lines

import petrelway
from petrelway.commands import main
from petrelway.emulator.day import EmulatedDay
from petrelway.emulator.policy_simulation import Council
from petrelway.fakes.fault_schedule import FaultSchedule
from petrelway.fakes.in_memory_network import World
from petrelway.scenarios.inmemory import MemoryDay

TOPIC = "records"
DAY = FORMS / TOPIC / "day"  # a recorded day, as `petrelway emulate --record` left it
SOURCE = Path(petrelway.__file__).parent


def memory_tree() -> dict[str, Any]:
    """The day without members: a world in memory plays executors, store, registry and clients alone."""
    tree = read_form(TOPIC, "emulated_day")
    del tree["fleet_troubles"]
    hang = {"kind": "never_read", "at_s": 3, "len_s": 2, "on": [0]}
    crash = {"kind": "balancer_crash", "at_s": 5, "len_s": 1, "part": 0.4}
    return {**tree, "troubles": [*tree["troubles"], hang, crash]}


def emulated_record() -> list[str]:
    """The outline of an emulated day's record."""
    return record_lines(EmulatedDay(read_form(TOPIC, "emulated_day")).play())


def memory_record() -> list[str]:
    """The outline of the record that the stand-ins of a rehearsal write."""
    return record_lines(MemoryDay(memory_tree()).play())


def policy_record() -> list[str]:
    """The outline of a record of members that change their terms: one adopted, one abandoned."""
    council = Council(World(), FaultSchedule(random.Random(1)), 5, 3, 1)
    for number in range(council.size):
        council.start(number)
    council.sim.run(council.sim.now_s + 2.0)
    council.change("first", 0, '{"n":1}')
    council.change("second", 1, '{"unfit":1}')
    council.history()
    return record_lines(council.lines)


def judged(folder: Path) -> tuple[int, Any]:
    """The exit code and the JSON of `petrelway judge`."""
    result = CliRunner().invoke(main, ["judge", str(folder), "--json"])
    return result.exit_code, json.loads(result.stdout)


def judged_in_words(folder: Path) -> str:
    """The lines that `petrelway judge` prints."""
    return CliRunner().invoke(main, ["judge", str(folder)]).stdout


def constant_words(node: ast.expr) -> list[str]:
    """The texts that an expression may come to, where these stand in it; none for any other expression."""
    if isinstance(node, ast.IfExp):
        return constant_words(node.body) + constant_words(node.orelse)
    return [node.value] if isinstance(node, ast.Constant) and isinstance(node.value, str) else []


def calls_with_words() -> Iterator[tuple[str, str]]:
    """All calls in the program that begin with a text: the method, and the texts with the keywords."""
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args or not isinstance(node.func, ast.Attribute):
                continue
            words = constant_words(node.args[0])
            keys = sorted(k.arg or "**" for k in node.keywords)
            if words:
                yield node.func.attr, f"{' or '.join(words)}: {' '.join(keys)}"
