"""A short soak of a real front end near its memory limit; longer ones by hand (`memory_soak.py`)."""

import pytest
from memory_soak import play


@pytest.mark.parametrize("seed", [3, 11, 27])
def test_a_front_end_near_its_memory_limit_keeps_to_it_and_answers_through_floods_and_a_restart(seed):
    """Bounds that hold each alone passed the limit together; several troubles overlap here."""
    _, broken, seen = play(seed, 6.0)
    assert not broken, seen
