"""The page on terms: its keys, the words for states, and the counted messages by name."""

import pytest
from forms_policy_files import as_checked_in, load
from forms_policy_page import FILES, TOPIC


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
