"""The policy page, an operator's wish and its progress, and a plan's differences keep their form."""

import pytest
from forms_common import outline_lines, read_form
from forms_policy_change import TOPIC, document_differences, policy_answers, state_words


@pytest.fixture(scope="module")
def answers(tmp_path_factory):
    return policy_answers(tmp_path_factory.mktemp("policy"))


@pytest.mark.parametrize("name", ["before", "wished", "adopted", "refused", "after"])
def test_an_answer_has_the_same_keys_types_and_words(answers, name):
    assert outline_lines(answers[name]) == read_form(TOPIC, "answers")[name]


def test_differences_of_two_documents_are_told_alike():
    assert document_differences() == read_form(TOPIC, "differences")


def test_states_are_told_in_the_same_words():
    assert state_words() == read_form(TOPIC, "state_words")
