"""The list of known failures itself."""

from conftest import KNOWN_RED_BOUND, known_red, listed
from nodes import ROOT


def test_a_line_is_test_cause_and_issue():
    assert known_red("tests/test_a.py::test_b | clock | issue 1\n\n") == {
        "tests/test_a.py::test_b": "clock (issue 1)"
    }


def test_the_list_is_short_and_names_tests_that_stand():
    reds = listed()
    assert len(reds) <= KNOWN_RED_BOUND
    for test in reds:
        file, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / file).read_text(), test
