"""The list of known failures itself."""

import pytest
from conftest import KNOWN_RED_BOUND, intermittent, known_red, listed
from nodes import ROOT


def test_a_line_is_test_cause_and_issue():
    assert known_red("tests/test_a.py::test_b | clock | issue 1\n\n") == {
        "tests/test_a.py::test_b": "clock (issue 1)"
    }


def test_only_a_line_that_says_so_is_intermittent():
    always = "tests/test_a.py::test_b | clock | issue 1\n"
    sometimes = "tests/test_a.py::test_c[x] | signal | issue 2 | intermittent\n"
    assert intermittent(always + sometimes) == {"tests/test_a.py::test_c[x]"}
    assert known_red(always + sometimes)["tests/test_a.py::test_c[x]"] == "signal (issue 2)"


@pytest.mark.parametrize(
    "line", ["a test | cause", "test | cause | issue | perhaps", "a | b | c | intermittent | d"]
)
def test_a_line_of_another_form_is_refused(line):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        known_red(line)


def test_the_list_is_short_and_names_tests_that_stand():
    reds = listed()
    assert len(reds) <= KNOWN_RED_BOUND
    for test in reds:
        file, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / file).read_text(), test
