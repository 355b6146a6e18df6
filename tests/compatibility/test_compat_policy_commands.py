"""`petrelway policy`: what it asks a console for, what it sends, what it prints."""

import pytest
from forms_policy_commands import FILES, TOPIC
from forms_policy_files import as_checked_in, load


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
