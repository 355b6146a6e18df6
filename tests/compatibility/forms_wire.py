"""The protocols of workers, registry and store: each message as this software writes and reads it."""

from __future__ import annotations

from typing import Any

from twisted.internet.testing import StringTransport
from wire_form_cases import Recorder, plain

from petrelway.common.endpoint_entry import EndpointEntry
from petrelway.fakes.model_store import StoreClient, StoreProtocol
from petrelway.routing.types import Outcome, Warmth
from petrelway.wire import codec, registry_codec, roster_pb2, store_pb2, worker_pb2
from petrelway.wire.framing import Frames

TOPIC = "wire"
REPORT = codec.LoadReport(3, 5, 2, 0.25, 77.5)
SEND = (7, 1, "source\n1", "f", 512.0, 4, "status", "north", 900.5, 120.0, "text/plain", b"\x00body")
FROM_FRONT, FROM_EXECUTOR = "worker.from-front", "worker.from-executor"
FOLLOW, LISTED = "roster.follow", "roster.listed"
ASK, FETCHED = "store.ask", "store.fetched"


class ImmediateStore:
    """A store whose fetches end at once, and its record; both keep what they are told."""

    def __init__(self, good: bool) -> None:
        self.good, self.told = good, []

    def fetch(self, fetch_ms: float, done: Any) -> None:
        self.told.append(fetch_ms)
        done(self.good)

    def note(self, what: str, **told: Any) -> None:
        self.told.append([what, told])


def written() -> dict[str, Any]:
    """Each message as hex, and the descriptors of the protocols' files."""
    found = {
        **_from_front(),
        **_from_executor(),
        FOLLOW: registry_codec.follow("front-1", "p1"),
        **_lists(),
        ASK: _ask()[0],
        f"{FETCHED}.good": _serve(_ask()[0], True)[1],
        f"{FETCHED}.failed": _serve(_ask()[0], False)[1],
    }
    return {name: data.hex() for name, data in found.items()} | _numbers()


def _from_front() -> dict[str, bytes]:
    return {
        f"{FROM_FRONT}.greeting": codec.greeting("front-1", "p1"),
        f"{FROM_FRONT}.send": codec.send(*SEND),
        f"{FROM_FRONT}.withdraw": codec.cancel_attempt(7, 1),
        f"{FROM_FRONT}.order": codec.request_load(3, "f", 2, 512.0, 4),
        f"{FROM_FRONT}.unload": codec.unload("f"),
        f"{FROM_FRONT}.probe": codec.probe(9),
    }


def _from_executor() -> dict[str, bytes]:
    found = {
        f"{FROM_EXECUTOR}.welcome": codec.welcome("e1", "p2", "quad", 12.5),
        f"{FROM_EXECUTOR}.probed": codec.probed(9, REPORT),
    }
    for outcome in sorted(codec.EXECUTOR_OUTCOMES):
        found[f"{FROM_EXECUTOR}.stood.{outcome}"] = codec.load_request_ended(3, outcome, 1)
        ended = codec.ended(7, 1, outcome, 1, 4, REPORT, "text/plain", b"ok")
        found[f"{FROM_EXECUTOR}.ended.outcome-{outcome}"] = ended
    for warmth in Warmth:
        ended = codec.ended(7, 1, 0, warmth, 4, REPORT, "", b"")
        found[f"{FROM_EXECUTOR}.ended.warmth-{int(warmth)}"] = ended
    return found


def _lists() -> dict[str, bytes]:
    lines = [
        EndpointEntry(f"e{i}", "127.0.0.1", 7001 + i, "east", "quad", 2, stage, 1.5, 5.0)
        for i, stage in enumerate(registry_codec.STAGES)
    ]
    return {
        f"{LISTED}.whole": registry_codec.listed(4, True, lines),
        f"{LISTED}.change": registry_codec.listed(5, False, lines[:1]),
    }


def _ask() -> tuple[bytes, Any, list[bool]]:
    """What a client of the store asks, its connection, and what it hears of the fetch."""
    heard: list[bool] = []
    connection = StoreClient().buildProtocol(None)
    connection.makeConnection(StringTransport())
    connection.owner.fetch("f", 12.5, heard.append)
    return connection.transport.value(), connection, heard


def _serve(ask: bytes, good: bool) -> tuple[list[Any], bytes]:
    """What a store hears, and what it says."""
    store = ImmediateStore(good)
    connection = StoreProtocol(store, store)
    connection.makeConnection(StringTransport())
    connection.dataReceived(ask)
    return store.told, connection.transport.value()


def _numbers() -> dict[str, Any]:
    """Fields by message, name, number, type and presence; numbers of outcomes, warmths and versions."""
    found = {}
    for module in (worker_pb2, roster_pb2, store_pb2):
        file = module.DESCRIPTOR
        found[f"descriptor.{file.package}"] = {
            message.name: [_field(field) for field in message.fields]
            for message in file.message_types_by_name.values()
        }
    outcomes, warmths = plain(list(Outcome)), plain(list(Warmth))
    found["numbers"] = [outcomes, warmths, sorted(codec.EXECUTOR_OUTCOMES), list(registry_codec.STAGES)]
    found["versions"] = [codec.VERSION, registry_codec.VERSION]
    return found


def _field(field: Any) -> list[Any]:
    oneof = field.containing_oneof
    return [field.name, field.number, field.type, field.has_presence, oneof.name if oneof else ""]


def decode(name: str, text: Any) -> Any:
    """The values that a form is read as; None for what is not read."""
    if not isinstance(text, str):
        return None
    data = bytes.fromhex(text)
    if name.startswith(ASK):
        return _serve(data, True)[0]
    if name.startswith(FETCHED):
        _, connection, heard = _ask()
        connection.dataReceived(data)
        return heard
    (payload,) = Frames().feed(data)
    if name.startswith(FOLLOW):
        return plain(registry_codec.from_follower(payload))
    if name.startswith(LISTED):
        return plain(registry_codec.from_registry(payload))
    heard = Recorder()
    (codec.from_front if name.startswith(FROM_FRONT) else codec.from_executor)(payload, heard)
    return plain(heard.calls)
