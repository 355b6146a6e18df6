"""Policy documents: members compare digests of the text, and operators read the differences."""

import pytest
from forms_policy_document import FILES, TOPIC
from forms_policy_files import as_checked_in, load


@pytest.mark.parametrize("name", FILES)
def test_the_present_code_gives_the_checked_in_form(name):
    assert as_checked_in(FILES[name]()) == load(TOPIC, name)
