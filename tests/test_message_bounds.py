"""What one side can send at its bounds, the other reads: a name over a bound costs its own request alone."""

import json
import socket
from collections import Counter

import pytest
from deployments import DEADLINE_MS, FUNCTION, REQUEST_CLASS, WAIT_S, Deployment
from hypothesis import given, settings
from hypothesis import strategies as st
from recorders import Recorder

from petrelway.events.single import VALUE_BOUND, Event, EventError
from petrelway.gateway.cloudevent_requests import CloudEventReader
from petrelway.gateway.function_catalogue import FunctionCatalogue
from petrelway.gateway.function_spec import FunctionSpec
from petrelway.wire import codec, worker_pb2
from petrelway.wire.framing import Frames
from petrelway.wire.outcomes import ExecutorOutcome

LONG_NAME = "f" * 600  # a header's value may have 1,024 characters, a name on the wire 512
READER = CloudEventReader(
    {REQUEST_CLASS: DEADLINE_MS}, ["north"], FunctionCatalogue([FunctionSpec("*", 1.0, 1, 0.0)])
)


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    try:
        made.start_worker()
        yield made
    finally:
        made.close()


def test_a_function_name_over_the_bound_is_refused_and_costs_no_other_request(deployment):
    """Guard against a name that the front end takes, and for which the worker closes the whole connection."""
    deployment.start_front_end()
    other, long_name = deployment.at_once(
        {"asked": {"account": "north", "work_s": 1.5}, "id": "other"},
        {"asked": {"account": "north"}, "id": "long", "function": LONG_NAME},
    )
    assert (other.status, other.account) == (200, "north")
    assert long_name.status == 422 and b"512" in long_name.body
    logged = (deployment.folder / "front-0.log").read_text()
    assert "executor channel down" not in logged


def test_a_message_that_a_worker_cannot_use_costs_that_message_alone(deployment):
    """Guard against a front end of another version whose one message ends all that is open beside it."""
    link = socket.create_connection(("127.0.0.1", deployment.worker_ports["worker-0"]), timeout=WAIT_S)
    body = json.dumps({"account": "north", "work_s": 0.5}).encode()

    def attempt(serial, **changes):
        given = {
            "function": FUNCTION,
            "memory_mb": 40.0,
            "concurrency": 8,
            "request_class": REQUEST_CLASS,
            "tenant": "north",
            "remaining_ms": DEADLINE_MS,
            "work_ms": 0.0,
            **changes,
        }
        return codec.send(serial, 0, str(serial), **given, content_type="", body=body)

    link.sendall(codec.greeting("front", "p") + attempt(1))
    link.sendall(attempt(2, function=LONG_NAME) + attempt(3, work_ms=float("nan")))
    link.sendall(codec.request_load(7, LONG_NAME, 1, 40.0, 8) + codec.unload(LONG_NAME) + attempt(4))
    frames, ends, load_ends = Frames(), {}, {}
    while len(ends) < 4 or not load_ends:
        data = link.recv(1 << 14)
        assert data, "the worker closed the connection"
        for payload in frames.feed(data):
            message = worker_pb2.FromExecutor.FromString(payload)
            if message.WhichOneof("what") == "ended":
                ends[message.ended.serial] = message.ended.outcome
            elif message.WhichOneof("what") == "stood":
                load_ends[message.stood.id] = message.stood.outcome
    succeeded, full = ExecutorOutcome.SUCCEEDED, ExecutorOutcome.FULL  # FULL promises that nothing ran
    assert ends == {1: succeeded, 2: full, 3: full, 4: succeeded} and load_ends == {7: full}
    link.close()
    logged = map(json.loads, (deployment.folder / "worker-0.log").read_text().splitlines())
    assert Counter(line["event"] for line in logged)["unusable message"] == 1  # once for a connection


TEXT = st.text(max_size=VALUE_BOUND) | st.integers(0, VALUE_BOUND).map("%".__mul__)


@settings(max_examples=400, deadline=None)
@given(id=TEXT, source=TEXT, function=TEXT, content_type=TEXT, body=st.binary(max_size=64))
def test_what_a_front_end_takes_from_an_event_the_worker_reads(id, source, function, content_type, body):
    """Guard against a pair of codecs with different bounds on the same text."""
    attributes = {"tariff": REQUEST_CLASS, "customer": "north", "id": id, "source": source}
    try:
        received = READER.read(Event({**attributes, "function": function}, content_type, body))
    except EventError:
        return
    sent = codec.send(
        1, 0, received.idempotency_key, received.function.name, received.function.memory_mb,
        received.function.lanes, REQUEST_CLASS, "north", received.remaining_ms, received.cost_estimate_ms,
        content_type, body,
    )  # fmt: skip
    listener = Recorder()
    for payload in Frames().feed(sent):
        codec.from_front(payload, listener)
    assert len(listener.calls) == 1
