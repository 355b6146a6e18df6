"""Answers on their way when SIGTERM comes: real processes, and peers that read slowly or not at all."""

import json
import signal
import socket
import time

import pytest
from deployments import (
    DEADLINE_MS,
    FUNCTION,
    REQUEST_CLASS,
    WAIT_S,
    Deployment,
    body_of,
    narrow_connection,
    read_slowly,
    until,
)

from petrelway.wire import codec, worker_pb2
from petrelway.wire.framing import Frames
from petrelway.wire.outcomes import ExecutorOutcome
from petrelway.worker.front_end_connection import BLOCKED_TIMEOUT_MS
from petrelway.worker.package import digest_of

ANSWER_BYTES = 800_000  # under the bound of a worker's frame
READ_BYTES_PER_S = 400_000
ANSWERS = 8  # together more than the system holds for one connection
PACKAGE_BYTES_PER_S = 2_000_000
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


def test_a_front_end_that_still_receives_gets_its_answer_after_the_workers_sigterm(deployment):
    """Guard against a worker that ends while the rest of an answer waits in its buffers."""
    worker = deployment.processes[-1]
    link = narrow_connection(deployment.worker_ports["worker-0"])
    link.sendall(codec.greeting("front", "p"))
    link.sendall(attempt(1, {"account": "warm"}))
    answers = []
    while not answers:
        answers += ended_of(link.recv(1 << 14))
    asked = [{"account": f"north-{n}", "answer_bytes": ANSWER_BYTES} for n in range(ANSWERS)]
    link.sendall(b"".join(attempt(2 + n, each) for n, each in enumerate(asked)))
    time.sleep(READ_AFTER_S)
    worker.send_signal(signal.SIGTERM)
    bodies = ended_of(read_slowly(link, ANSWERS * READ_BYTES_PER_S))
    assert sorted(json.loads(body)["account"] for body in bodies) == [each["account"] for each in asked]
    assert worker.wait(WAIT_S) == 0
    link.close()


def test_a_front_end_that_does_not_read_delays_the_workers_end_to_its_bound_at_most(deployment):
    """Guard against a front end that keeps a stopped worker alive."""
    worker = deployment.processes[-1]
    link = narrow_connection(deployment.worker_ports["worker-0"])
    link.sendall(codec.greeting("front", "p"))
    link.sendall(attempt(1, {"account": "north", "answer_bytes": ANSWER_BYTES}))
    assert link.recv(1 << 10)  # the welcome
    link.recv(1, socket.MSG_PEEK)
    asked = time.monotonic()
    worker.send_signal(signal.SIGTERM)
    assert worker.wait(WAIT_S) == 0
    assert time.monotonic() - asked < BLOCKED_TIMEOUT_MS / 1e3 + 4.0
    link.close()


def test_a_package_that_a_worker_still_receives_is_finished_after_the_stores_sigterm(deployment):
    """Guard against a store that ends with a package half sent."""
    store = deployment.processes[0]
    package = deployment.package.read_bytes()
    link = narrow_connection(deployment.store_port)
    link.sendall(f"GET /packages/{digest_of(deployment.package)} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    link.recv(1, socket.MSG_PEEK)
    store.send_signal(signal.SIGTERM)
    body, _ = body_of(read_slowly(link, PACKAGE_BYTES_PER_S))
    assert body == package
    assert store.wait(WAIT_S) == 0
    link.close()


def attempt(serial, asked):
    body = json.dumps(asked).encode()
    return codec.send(
        serial, 0, str(serial), FUNCTION, 40.0, 8, REQUEST_CLASS, "north", DEADLINE_MS, 0.0, "", body
    )


def ended_of(data):
    """The bodies of the attempts whose ends are in these bytes."""
    bodies = []
    for payload in Frames().feed(data):
        message = worker_pb2.FromExecutor.FromString(payload)
        if message.WhichOneof("what") == "ended":
            assert message.ended.outcome == ExecutorOutcome.SUCCEEDED
            bodies.append(message.ended.body)
    return bodies
