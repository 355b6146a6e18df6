"""Frames and codec: messages split at every byte, and bytes that are not messages."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelway.wire import codec, registry_codec
from petrelway.wire import worker_pb2 as pb
from petrelway.wire.framing import FRAME_BOUND, Frames, WireError, frame


class RecordingListener:
    """A listener that records each call with its name."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))


LOAD = codec.LoadReport(3, 5, 2, 0.25)
FROM_FRONT = [
    (codec.greeting("front-1", "p1"), ("greeted", "front-1", "p1")),
    (
        codec.send(7, 1, "s\n1", "f", 512.0, 4, "status", "north", 900.5, 120.0, "text/plain", b"x"),
        ("sent", 7, 1, "s\n1", "f", 512.0, 4, "status", "north", 900.5, 120.0, "text/plain", b"x"),
    ),
    (codec.cancel_attempt(7, 1), ("cancelled", 7, 1)),
    (codec.request_load(3, "f", 2, 512.0, 4), ("load_requested", 3, "f", 2, 512.0, 4)),
    (codec.unload("f"), ("unloaded", "f")),
    (codec.probe(9), ("probe_received", 9)),
]
FROM_EXECUTOR = [
    (codec.welcome("e1", "p2", "quad", 12.5), ("welcomed", "e1", "p2", "quad", 12.5)),
    (
        codec.ended(7, 1, 0, 1, 4, LOAD, "text/plain", b"ok"),
        ("ended", 7, 1, 0, 1, 4, LOAD, "text/plain", b"ok"),
    ),
    (codec.ended(7, 1, 9, 0, 0, LOAD, "", b""), ("ended", 7, 1, 9, 0, 0, LOAD, "", b"")),
    (codec.load_request_ended(3, 2, 1), ("load_request_ended", 3, 2, 1)),
    (codec.probed(9, LOAD), ("probed", 9, LOAD)),
]


@pytest.mark.parametrize(
    "table, read", [(FROM_FRONT, codec.from_front), (FROM_EXECUTOR, codec.from_executor)]
)
def test_every_message_split_at_every_place(table, read):
    stream = b"".join(data for data, _ in table)
    expected = [call for _, call in table]
    for cut in range(len(stream) + 1):
        side, frames = RecordingListener(), Frames()
        for part in (stream[:cut], stream[cut:]):
            for payload in frames.feed(part):
                read(payload, side)
        assert side.calls == expected, cut
        assert not frames.buffer


def test_rejected_bytes():
    # payload, decoder, part of the reason
    table = [
        (b"\xff\xff", codec.from_front, "no message"),
        (b"", codec.from_front, "no known kind"),
        (b"", codec.from_executor, "no known kind"),
        (pb.FromFront(greeting=pb.Greeting(version=9)).SerializeToString(), codec.from_front, "version 9"),
        (
            pb.FromExecutor(welcome=pb.Welcome(version=0)).SerializeToString(),
            codec.from_executor,
            "version 0",
        ),
        (pb.FromFront(order=pb.Order(copies=17)).SerializeToString(), codec.from_front, "17 replicas"),
        (pb.FromFront(send=pb.Send(mark="x" * 600)).SerializeToString(), codec.from_front, "600 characters"),
        (pb.FromFront(send=pb.Send(memory_mb=float("nan"))).SerializeToString(), codec.from_front, "finite"),
        (pb.FromFront(send=pb.Send(remaining_ms=-1.0)).SerializeToString(), codec.from_front, "0 or more"),
        # an executor that could answer UNSENT or UNREACHABLE would make a non-idempotent request run twice
        (pb.FromExecutor(ended=pb.Ended(outcome=4)).SerializeToString(), codec.from_executor, "may not say"),
        # a conflict is CANCELLED with a field beside it: a front end of an earlier version reads it too
        (pb.FromExecutor(ended=pb.Ended(outcome=9)).SerializeToString(), codec.from_executor, "may not say"),
        (pb.FromExecutor(ended=pb.Ended(outcome=7)).SerializeToString(), codec.from_executor, "may not say"),
        (pb.FromExecutor(ended=pb.Ended(warmth=5)).SerializeToString(), codec.from_executor, "warmth 5"),
        (pb.FromExecutor(stood=pb.Stood(outcome=99)).SerializeToString(), codec.from_executor, "may not say"),
    ]
    for payload, read, word in table:
        with pytest.raises(WireError, match=word):
            read(payload, RecordingListener())


def test_frames_over_the_bound():
    with pytest.raises(WireError, match="over the bound"):
        list(Frames().feed(b"\xff\xff\xff\xff"))
    with pytest.raises(WireError, match="over the bound"):
        frame(b"x" * (FRAME_BOUND + 1))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_messages_or_one_error(data):
    for read in (codec.from_front, codec.from_executor):
        try:
            read(data, RecordingListener())
        except WireError:
            pass
    for read in (registry_codec.from_registry, registry_codec.from_follower):
        try:
            read(data)
        except WireError:
            pass


def test_endpoint_lists():
    lines = [
        registry_codec.EndpointEntry("e1", "127.0.0.1", 7001, "a", "quad", 2, stage, 1.0, 5.0)
        for stage in registry_codec.STAGES
    ]
    (payload,) = Frames().feed(registry_codec.listed(4, False, lines))
    assert registry_codec.from_registry(payload) == (4, False, lines)
    (payload,) = Frames().feed(registry_codec.follow("front-1", "p1"))
    assert registry_codec.from_follower(payload) == ("front-1", "p1")
    for bad in (
        lines[0]._replace(port=0),
        lines[0]._replace(executor=""),
        lines[0]._replace(weight=float("inf")),
    ):
        (payload,) = Frames().feed(registry_codec.listed(4, True, [bad]))
        with pytest.raises(WireError):
            registry_codec.from_registry(payload)
