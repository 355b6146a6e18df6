"""Results, comparisons and a load's report keep their names; results from before are read alike."""

import pytest
from forms_common import read_form
from forms_reports import (
    RESULTS,
    TOPIC,
    arrays,
    capacity_outline,
    checked,
    compared,
    load_outline,
    metadata,
    play_results,
)

from petrelway.emulator.results import load


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    path = tmp_path_factory.mktemp("results") / "results.npz"
    play_results(path)
    return path


def test_results_have_the_same_arrays_and_metadata(played):
    assert arrays(played) == read_form(TOPIC, "arrays")
    assert metadata(played) == read_form(TOPIC, "metadata")


def test_results_from_before_are_read_alike():
    assert load(RESULTS).rows() == read_form(TOPIC, "rows")


@pytest.mark.parametrize("name, more", [("text", ()), ("json", ("--json",))])
def test_results_from_before_are_compared_alike(name, more):
    assert compared(*more) == read_form(TOPIC, "compared")[name]


def test_the_report_of_a_load_has_the_same_keys_types_and_words():
    assert load_outline() == read_form(TOPIC, "load")


def test_faults_of_settings_are_told_under_the_same_keys():
    assert checked("faulty_settings") == read_form(TOPIC, "checked")


def test_the_report_of_capacity_has_the_same_keys_types_and_words():
    assert capacity_outline() == read_form(TOPIC, "capacity")
