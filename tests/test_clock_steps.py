"""The wall clock is stepped under the real program; deadlines, waits and graces stay spans of real time."""

import time

import pytest
from nodes import node

from petrelway.standin.platform import Holder, request

A, B = (f"{n:016x}" for n in (1, 2))
STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
TTL_MS = 1500
STEP_AFTER_S = 0.4
IN_TIME_S = 4.0  # far past the time to live: a busy machine must not fail the test


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_request_has_its_time_whatever_the_wall_clock_does(tmp_path, failing, step_s):
    """Danger: a step forward refused it at once, a step back kept it unanswered for as long as the step."""
    holder = Holder()
    with node(tmp_path, [holder], failing=failing) as n:
        client = n.client()
        asked = time.monotonic()
        client.say(request(call=A, ttl=TTL_MS))
        time.sleep(STEP_AFTER_S)
        failing.step(step_s)
        client.sock.settimeout(IN_TIME_S)
        assert "error" in client.hear()
        took_s = time.monotonic() - asked
        assert 0.9 * TTL_MS / 1e3 < took_s < IN_TIME_S
