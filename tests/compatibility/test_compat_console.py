"""The console's JSON, its live figures, the metrics and the terminal's verbs keep their names and words."""

import pytest
from forms_common import outline_lines, read_form
from forms_console import PAGES, TOPIC, VERBS, ConsoleDay, console_of_forms, printed
from forms_members_page import members_page

from petrelway.console import pages


@pytest.fixture(scope="module")
def answers():
    """All that is asked of one console, in the order in which the forms were written."""
    day = ConsoleDay()
    found = {f"page_{name}": outline_lines(day.page(name)) for name in PAGES}
    found["live"] = outline_lines(day.live())
    found["metrics"] = day.metrics()
    return found


def test_no_page_came_or_went():
    assert sorted(pages.PAGES) == sorted(PAGES)


@pytest.mark.parametrize("name", [*(f"page_{name}" for name in PAGES), "live", "metrics"])
def test_an_answer_has_the_same_keys_types_and_words(answers, name):
    assert answers[name] == read_form(TOPIC, name)


def test_the_members_page_of_a_fleet_has_the_same_keys_types_and_words():
    assert outline_lines(members_page()) == read_form(TOPIC, "members_seen")


@pytest.mark.parametrize("name", VERBS)
def test_a_verb_reads_the_pages_as_they_were_and_prints_the_same(name):
    with console_of_forms() as address:
        assert printed(VERBS[name], address) == read_form(TOPIC, "verbs")[name]
