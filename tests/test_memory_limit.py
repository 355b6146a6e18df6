"""A real front end stays within its memory limit, whatever clients and executors send (issue 70)."""

import time

import memory_plays as plays
import pytest
from nodes import node

from petrelway.fakes.platform_peers import Executor, Holder

LIMIT_MB = 64
SOCKETS = 1024
CROWD = SOCKETS // 3  # connections that the page allows to clients
PLAY_S = 3.0
REST_S = 3.0  # longer than any bound on a connection that closes
KEPT_SHARE = 0.5  # of what the limit leaves beyond the start, in use after a play at most


def play(tmp_path, script, connections, executors, limit_mb=LIMIT_MB, sockets=SOCKETS, **flood):
    """Play a script against a process, with a usual client beside it; the memory has to stay in its limit."""
    with node(tmp_path, executors, known=(1, 2, 3), sockets=sockets, memory_mb=limit_mb) as front_end:
        memory = plays.ProcessMemory(front_end.process.pid)
        start = memory.now()
        with plays.UsualClient(front_end.address, 1) as usual:
            with plays.Flood(front_end.address, connections, script, **flood):
                time.sleep(PLAY_S)
            time.sleep(REST_S)
        after, peak, limit = memory.now(), memory.peak(), limit_mb * plays.MB
        assert peak <= limit, (
            f"{start / 1e6:.1f} at the start, {peak / 1e6:.1f} at the peak, of {limit_mb} MB"
        )
        assert after <= start + KEPT_SHARE * (limit - start)
        assert front_end.process.poll() is None
        return usual


def executors(kind=Executor):
    return [kind() for _ in range(3)]


# -- memory


@pytest.mark.parametrize("connections", [8, CROWD])
def test_lines_without_end_are_not_kept_with_their_connections(tmp_path, connections):
    """What was read of them stayed in memory after their connections had closed."""
    usual = play(tmp_path, plays.endless_lines, connections, executors())
    assert not usual.broken and usual.served > usual.refused


@pytest.mark.parametrize("script", [plays.many_short_fields, plays.deep_nesting])
def test_lines_that_decode_to_many_times_their_size_leave_nothing(tmp_path, script):
    """The decoded forms and the connections that sent them stayed in memory."""
    usual = play(tmp_path, script, CROWD, executors())
    assert not usual.broken and usual.served > usual.refused


def test_bodies_of_open_requests_stay_within_the_limit(tmp_path):
    """Each connection was within its bounds, and all together were over the limit."""
    usual = play(tmp_path, plays.large_requests, CROWD, executors(Holder))
    assert not usual.broken


def test_answers_that_clients_do_not_read_stay_within_the_limit(tmp_path):
    """Each connection buffered 256 KiB, however many there were."""
    usual = play(tmp_path, plays.unread_answers, CROWD, executors(plays.LargeAnswers), reads=False)
    assert not usual.broken


@pytest.mark.parametrize("connections", [1, 8])
def test_ever_new_functions_of_one_client_stay_within_the_limit(tmp_path, connections):
    """Each name was kept for a minute, also of a request that was taken back at once."""
    usual = play(tmp_path, plays.requests_taken_back, connections, executors())
    assert not usual.broken and usual.served > usual.refused


@pytest.mark.parametrize("kind", [plays.DeafExecutor, plays.UnfinishedAnswers, plays.LargeAnswers])
def test_frames_to_and_from_executors_stay_within_the_limit(tmp_path, kind):
    """What executors do not read, and what they do not end, was bounded for each connection alone."""
    usual = play(tmp_path, plays.large_requests, CROWD, executors(kind))
    assert not usual.broken


@pytest.mark.parametrize("script", [plays.half_large_lines, plays.half_many_short_fields])
def test_lines_that_stop_half_way_stay_within_the_limit(tmp_path, script):
    """A crowd of them holds one line for each connection."""
    usual = play(tmp_path, script, CROWD, executors())
    assert not usual.broken and usual.served > usual.refused


@pytest.mark.parametrize(
    "script", [plays.empty_lines, plays.checks, plays.unsound_lines, plays.new_functions]
)
def test_one_connection_at_full_speed_makes_nobody_wait_and_leaves_nothing(tmp_path, script):
    """Small or unsound lines cost time for each message, answer and close."""
    usual = play(tmp_path, script, 1, executors())
    assert not usual.broken and usual.served > usual.refused
