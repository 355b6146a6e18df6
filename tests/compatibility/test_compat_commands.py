"""The command line as its users type it: commands, flags, defaults, choices, exit codes and keys of JSON."""

from __future__ import annotations

import pytest
from forms_commands import command_forms, exit_cases, result_form
from forms_values import read_form


def test_the_commands_are_the_pinned_ones():
    assert list(command_forms()) == list(read_form("commands/commands.json"))


@pytest.mark.parametrize("words", read_form("commands/commands.json"))
def test_a_command_has_the_pinned_parameters(words):
    assert command_forms()[words] == read_form("commands/commands.json")[words]


@pytest.mark.parametrize("name", exit_cases())
def test_a_command_ends_as_pinned(name, tmp_path):
    assert result_form(exit_cases()[name], tmp_path) == read_form("commands/results.json")[name]


def test_the_cases_end_as_their_names_say():
    meant = {"done": 0, "finding": 1, "bad use": 2}
    for name, result in read_form("commands/results.json").items():
        assert result["exit code"] == meant[name.partition(":")[0]], name
