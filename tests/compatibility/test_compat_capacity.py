"""The capacity model's files and output: keys, values, and the same text when written again."""

from __future__ import annotations

from forms_capacity import (
    report_json,
    report_text,
    slopes_raw,
    slopes_read,
    slopes_rewritten,
    slopes_text,
    type_forms,
)
from forms_values import read_form


def test_what_is_read_and_written_has_the_pinned_keys_and_types():
    assert type_forms() == read_form("capacity/types.json")


def test_the_slopes_read_to_the_pinned_values():
    assert slopes_read() == read_form("capacity/slopes.json")
    assert slopes_read() == slopes_raw()


def test_the_slopes_are_written_again_to_the_same_text(tmp_path):
    assert slopes_rewritten(tmp_path) == slopes_text()


def test_the_report_has_the_pinned_text():
    assert report_text() == read_form("capacity/report-text.json")


def test_the_report_has_the_pinned_json():
    assert report_json() == read_form("capacity/report.json")
