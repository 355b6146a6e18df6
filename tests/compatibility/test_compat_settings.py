"""The settings files as operators write them: keys, types, bounds, defaults, values and texts of faults."""

from __future__ import annotations

from typing import Any

import pytest
from forms_settings import (
    EXAMPLES,
    KINDS,
    documents,
    example,
    fault_cases,
    fault_text,
    required_sections,
    section_forms,
    values,
)
from forms_values import ROOT, read_form

from petrelway.settings.reading import evaluate

WORDS_OF_FAULTS = ("unknown", "missing", "wrong")


def unused_keys(form: dict[str, Any], found: list[Any], path: str) -> list[str]:
    """The keys of a form that no value in `found` gives another value than the default."""
    if form["kind"] == "object":
        lacking = []
        for key, told in form["keys"].items():
            given = [value[key] for value in found if isinstance(value, dict) and key in value]
            given = [value for value in given if "default" not in told or value != told["default"]]
            if given:
                lacking += unused_keys(told["type"], given, f"{path}.{key}")
            else:
                lacking.append(f"{path}.{key}")
        return lacking
    if "item_type" in form:
        return unused_keys(form["item_type"], [part for value in found for part in value], path)
    if "value_type" in form:
        return unused_keys(form["value_type"], [part for value in found for part in value.values()], path)
    return []


@pytest.mark.parametrize("kind", KINDS)
def test_the_sections_have_the_pinned_keys_types_and_defaults(kind):
    assert section_forms(kind) == read_form(f"settings/sections/{kind}.json")


@pytest.mark.parametrize("kind", KINDS)
def test_an_empty_file_lacks_the_pinned_sections(kind, tmp_path):
    assert required_sections(kind, tmp_path) == read_form("settings/required.json")[kind]


@pytest.mark.parametrize("name", EXAMPLES)
def test_an_example_reads_to_the_pinned_values(name):
    assert values(EXAMPLES[name], example(name)) == read_form(f"settings/examples/{name}.json")


def test_every_example_is_pinned():
    assert {file.stem for file in (ROOT / "examples").glob("*.jsonnet")} == set(EXAMPLES)


@pytest.mark.parametrize("kind", KINDS)
def test_the_documents_use_every_key_with_another_value_than_the_default(kind):
    trees = [evaluate(file) for file in documents(kind)]
    if kind == "manifest":
        trees = [{"(file)": tree} for tree in trees]
    lacking = []
    for name, form in read_form(f"settings/sections/{kind}.json").items():
        given = [tree[name] for tree in trees if name in tree]
        lacking += unused_keys(form, given, name) if given else [name]
    assert lacking == []


@pytest.mark.parametrize("kind", KINDS)
def test_the_documents_read_to_the_pinned_values(kind):
    for file in documents(kind):
        assert values(kind, file) == read_form(f"settings/values/{file.stem}.json")


@pytest.mark.parametrize("name", fault_cases())
def test_a_fault_is_told_in_the_pinned_words(name, tmp_path):
    text = fault_text(fault_cases()[name], tmp_path)
    assert text, "the change makes no fault"
    assert text.splitlines() == read_form("settings/faults.json")[name]


def test_each_kind_has_a_case_of_each_fault():
    assert set(fault_cases()) >= {f"{kind} {word}" for kind in KINDS for word in WORDS_OF_FAULTS}
