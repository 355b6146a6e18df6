"""A record keeps its form: one from before is read alike, and one written now reads as before."""

import json
import shutil

import pytest
from click.testing import CliRunner
from forms_common import FORMS, read_form
from forms_records import (
    DAY,
    TOPIC,
    calls_with_words,
    emulated_record,
    judged,
    judged_in_words,
    memory_record,
    policy_record,
)

from petrelway.commands import main
from petrelway.scenarios.report import report
from petrelway.settings.days import check_day


def test_a_recorded_day_is_judged_alike():
    code, found, words = read_form(TOPIC, "verdict")
    assert judged(DAY) == (code, found)
    assert judged_in_words(DAY) == words


def test_a_rule_broken_in_a_recorded_day_is_found_alike(tmp_path):
    folder = tmp_path / "day"
    shutil.copytree(DAY, folder)
    change = read_form(TOPIC, "changed_line")
    path = folder / change["file"]
    lines = path.read_text(encoding="utf-8").splitlines()
    lines[change["line"]] = change["text"]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    code, found, words = read_form(TOPIC, "broken_verdict")
    assert found and judged(folder) == (code, found)
    assert judged_in_words(folder) == words


def test_the_report_of_a_recorded_day_is_the_same():
    day = check_day("plan.json", json.loads((DAY / "plan.json").read_text())["day"])
    expected = read_form(TOPIC, "report")
    found = json.loads(json.dumps(report(DAY, day)))
    assert found == {key: value for key, value in expected.items() if key in found}
    assert len(expected) - len(found) == 2  # the broken rules and statements are the judge's


def test_an_emulated_day_is_recorded_in_the_same_files_and_reported_under_the_same_keys(tmp_path):
    day = FORMS / TOPIC / "emulated_day.json"
    result = CliRunner().invoke(main, ["emulate", str(day), "--record", str(tmp_path / "day"), "--json"])
    assert sorted(json.loads(result.stdout)) == sorted(read_form(TOPIC, "report"))
    assert sorted(p.name for p in (tmp_path / "day").iterdir()) == read_form(TOPIC, "files")


@pytest.mark.parametrize(
    "name, play",
    [
        ("emulated_record", emulated_record),
        ("memory_record", memory_record),
        ("policy_record", policy_record),
    ],
)
def test_each_kind_of_line_has_the_same_keys_types_and_words(name, play):
    assert play() == read_form(TOPIC, name)


def test_every_call_that_writes_a_line_still_names_the_same_kind_and_keys():
    """Also of processes that no day in memory plays: workers, fault proxy, conductor, services.

    The method that writes may be renamed; the text of the kind and the keywords are the record's own words.
    """
    present = {form for _, form in calls_with_words()}
    assert [form for form in read_form(TOPIC, "written_lines") if form not in present] == []
