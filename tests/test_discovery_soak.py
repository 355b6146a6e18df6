"""A few seeds of the soak through outages of discovery; many more are played by hand."""

import pytest
from discovery_soak import play

# silent with early and late drains and a crowd; refused with a pause, the end of a process and a crowd; a bus
# that comes back for a moment with a replacement at the same address, reloads and a crowd; probes forbidden
# with full queues, the end of a process, a crowd and signals in series that can't wake it
SEEDS = (8, 10, 14, 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_rules_are_kept_through_an_outage_and_what_crosses_it(seed):
    result = play(seed)
    assert not result.findings, result.line()
