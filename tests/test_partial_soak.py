"""A short run of the soak of messages in pieces; `tests/partial_soak.py` plays more seeds by hand."""

import partial_soak
import pytest


@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_in_pieces_gets_its_one_answer(tmp_path, failing_library, seed):
    """Guards against: a message that comes in pieces is lost beside rests, pauses, reloads or a drain."""
    broken, seen = partial_soak.play(seed, failing_library, tmp_path)
    assert broken == [], seen
