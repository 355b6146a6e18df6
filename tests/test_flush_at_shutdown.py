"""Answers on their way when SIGTERM comes: real processes, and peers that read slowly or not at all."""

import json
import signal
import time

import pytest
from deployments import WAIT_S, Deployment, body_of, read_slowly, until

ANSWER_BYTES = 800_000  # under the bound of a worker's frame
READ_BYTES_PER_S = 400_000
READ_AFTER_S = 0.3  # the answer has come from the worker, and most of it waits in the front end


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    try:
        made.start_worker()
        yield made
    finally:
        made.close()


def last_event(deployment, name, event):
    lines = (deployment.folder / f"{name}.log").read_text().splitlines()
    return [line for line in map(json.loads, lines) if line["event"] == event][-1]


def test_an_answer_that_its_client_still_receives_is_finished_after_sigterm(deployment):
    """Guard against a front end that ends while the rest of an answer waits in its buffers."""
    front = deployment.start_front_end()
    client = deployment.slow_client({"account": "north", "answer_bytes": ANSWER_BYTES}, "large")
    time.sleep(READ_AFTER_S)
    front.send_signal(signal.SIGTERM)
    body, told = body_of(read_slowly(client, READ_BYTES_PER_S))
    assert len(body) == told > ANSWER_BYTES
    assert front.wait(WAIT_S) == 0
    assert last_event(deployment, "front-0", "front end left")["unread"] == 0


def test_a_client_that_does_not_read_delays_the_end_to_its_deadline_at_most(deployment):
    """Guard against a client that keeps a stopped front end alive; what it did not read is counted."""
    front = deployment.start_front_end(deadline_ms=3000.0)
    client = deployment.slow_client({"account": "north", "answer_bytes": ANSWER_BYTES}, "large")
    time.sleep(READ_AFTER_S)
    asked = time.monotonic()
    front.send_signal(signal.SIGTERM)
    assert front.wait(WAIT_S) == 0
    # the deadline counts from the request; the end of a process takes a while, also beside load
    assert time.monotonic() - asked < 3.0 + 2.0
    assert last_event(deployment, "front-0", "front end left")["unread"] == 1
    client.close()


def test_a_client_that_leaves_does_not_delay_the_end(deployment):
    """Guard against waiting for a connection that is gone."""
    front = deployment.start_front_end()
    client = deployment.slow_client({"account": "north", "answer_bytes": ANSWER_BYTES}, "large")
    time.sleep(READ_AFTER_S)
    front.send_signal(signal.SIGTERM)
    client.close()
    until(lambda: front.poll() is not None, "the front end ends")
    assert front.returncode == 0 and last_event(deployment, "front-0", "front end left")["unread"] == 0


def test_an_idle_connection_does_not_delay_the_end(deployment):
    """Guard against waiting for kept-alive connections that are owed nothing."""
    front = deployment.start_front_end()
    client = deployment.slow_client({"account": "north"}, "small")
    assert b"200 OK" in client.recv(1 << 14)
    asked = time.monotonic()
    front.send_signal(signal.SIGTERM)
    assert front.wait(WAIT_S) == 0
    assert time.monotonic() - asked < 4.0  # half of the deadline
    client.close()
