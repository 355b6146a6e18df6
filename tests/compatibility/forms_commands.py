"""The command line as its users type it, and the cases of which the exit codes are pinned."""

from __future__ import annotations

import json
import shutil
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
from click.testing import CliRunner, Result
from forms_values import FORMS, ROOT, as_json, key_tree, read_form

from petrelway.commands import main

PROGRAM = "petrelway"
CASES = "commands/exit_cases.json"
FILES = FORMS / "commands" / "files"
INNER = ("name", "help")  # what a parameter's description has of the program's own names and of prose


def command_forms() -> dict[str, Any]:
    """Each command by the words that call it, with its parameters."""
    found: dict[str, Any] = {}
    context = click.Context(main, info_name=PROGRAM, **main.context_settings)
    _walk(main, context, PROGRAM, found)
    return as_json(found)


def _walk(command: click.Command, context: click.Context, words: str, found: dict[str, Any]) -> None:
    found[words] = {
        "group": isinstance(command, click.Group),
        "hidden": command.hidden,
        "parameters": [_parameter_form(each, context) for each in command.get_params(context)],
    }
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            inner = command.get_command(context, name)
            inner_context = click.Context(inner, info_name=name, parent=context, **inner.context_settings)
            _walk(inner, inner_context, f"{words} {name}", found)


def _parameter_form(parameter: click.Parameter, context: click.Context) -> dict[str, Any]:
    form = {name: value for name, value in parameter.to_info_dict().items() if name not in INNER}
    if isinstance(parameter, click.Argument):
        form["opts"] = []  # an argument is not typed by its name; usage shows it in capitals
    form["shown as"] = parameter.make_metavar(context)
    return form


def exit_cases() -> dict[str, Mapping[str, Any]]:
    """Command lines by name: their words, and whether their output is JSON."""
    return read_form(CASES)


def run_case(case: Mapping[str, Any], folder: Path) -> Result:
    """The command run within this process, in a copy of the cases' files."""
    place = folder / "files"
    if not place.exists():
        shutil.copytree(FILES, place)
        shutil.copytree(ROOT / "examples", folder / "examples")
    words = [word.replace("{folder}", str(folder)) for word in case["words"]]
    return CliRunner().invoke(main, words, prog_name=PROGRAM, terminal_width=110)


def result_form(case: Mapping[str, Any], folder: Path) -> dict[str, Any]:
    """A case's exit code, and the keys of its JSON or, where it asks for that, its text."""
    result = run_case(case, folder)
    form: dict[str, Any] = {"exit code": result.exit_code}
    if case.get("json"):
        form["keys"] = key_tree(json.loads(result.stdout))
    if case.get("text"):
        form["text"] = result.output.replace(f"{folder}/", "").splitlines()
    return form
