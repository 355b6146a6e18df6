"""The checked-in outside forms: each is written the same by the present code, and read as the same values."""

from functools import cache

import pytest
from wire_form_cases import load, texts
from write_wires import TOPICS

WRITTEN = [(forms, name) for forms in TOPICS for name in load(forms.TOPIC, "written.json")]
DECODED = [(forms, name) for forms in TOPICS for name in load(forms.TOPIC, "decoded.json")]


def name_of(part):
    """A case's id: its topic and its form."""
    return part if isinstance(part, str) else part.TOPIC


@cache
def written(forms):
    return forms.written()


@pytest.mark.parametrize("forms", TOPICS, ids=name_of)
def test_no_form_is_missing(forms):
    assert list(written(forms)) == list(load(forms.TOPIC, "written.json"))
    decoded = [name for name, text in texts(forms.TOPIC).items() if forms.decode(name, text) is not None]
    assert decoded == list(load(forms.TOPIC, "decoded.json"))
    assert decoded


@pytest.mark.parametrize("forms, name", WRITTEN, ids=name_of)
def test_a_form_is_written_the_same(forms, name):
    assert written(forms)[name] == load(forms.TOPIC, "written.json")[name]


@pytest.mark.parametrize("forms, name", DECODED, ids=name_of)
def test_a_form_is_read_as_the_same_values(forms, name):
    assert forms.decode(name, texts(forms.TOPIC)[name]) == load(forms.TOPIC, "decoded.json")[name]
