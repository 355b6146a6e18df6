"""The operators' platform protocol: client lines, executor frames, event bus and configuration.

The other side's bytes are written by the stand-in platform, which has an encoder of its own.
"""

from __future__ import annotations

import json
from typing import Any

from wire_form_cases import Recorder, plain

from petrelway.fakes import platform_peers as standin
from petrelway.platform import client_answers, client_codec, discovery_codec, executor_codec
from petrelway.platform.configuration import Configuration, read_configuration, read_peers
from petrelway.platform.opaque_request import OpaqueRequest

TOPIC = "platform"
CALL = bytes.fromhex(standin.CALL)
READER = client_codec.ClientMessageReader(
    [("safe", 4000.0, False), ("keyed", 4000.0, True)], ["acme", "bolt"]
)
LINE, ANSWER, COMMAND, FRAME, EVENT, KNOWN, CONFIGURATION = (
    "line", "line-answer", "command", "frame", "bus-event", "bus-known", "configuration",
)  # fmt: skip


def written() -> dict[str, Any]:
    """Lines as text, frames as hex, configuration and start events as JSON."""
    return {
        **{f"{LINE}.{name}": data.decode() for name, data in _requests().items()},
        **{f"{ANSWER}.{name}": data.decode() for name, data in _line_answers().items()},
        **{f"{COMMAND}.{name}": data.hex() for name, data in _commands().items()},
        **{f"{FRAME}.{name}": data.hex() for name, data in _frames().items()},
        **{f"{EVENT}.{name}": data.hex() for name, data in _events().items()},
        "bus-resume": discovery_codec.encode_resume(41).hex(),
        f"{KNOWN}.standin": standin.known((0xC41F7A, 8443), offset=41),
        f"{CONFIGURATION}.standin": json.loads(standin.configuration()),
        "bounds": [
            client_codec.BODY_BOUND,
            client_codec.LINE_BOUND,
            executor_codec.FIELDS_BOUND,
            executor_codec.BODY_BOUND,
        ],
    }


def _requests() -> dict[str, bytes]:
    return {
        "safe": standin.request(7, "safe"),
        "keyed": standin.request(8, "keyed", org="bolt"),
    }


def _line_answers() -> dict[str, bytes]:
    return {
        "fulfilled": client_answers.success_line(7, b"\x00\xff"),
        "nacked": client_answers.rejection_line(7, 0.0),
        "nacked.retry": client_answers.rejection_line(7, 199.2),
        "broken-off": client_answers.failure_line(7),
        "serving": client_answers.check_line(3, True),
        "not-serving": client_answers.check_line(3, False),
    }


def _commands() -> dict[str, bytes]:
    return {
        "send": executor_codec.encode_send(
            OpaqueRequest(CALL, "safe", standin.FUNCTION, "", b"\x00body"), 1499.9
        ),
        "send.once": executor_codec.encode_send(
            OpaqueRequest(CALL, "keyed", standin.FUNCTION, standin.ONCE, b""), 0.2
        ),
        "withdraw": executor_codec.encode_cancel(CALL),
        "probe": executor_codec.encode_probe(CALL),
        "order": executor_codec.encode_load_request(CALL, standin.FUNCTION, 2),
        "unload": executor_codec.encode_unload(standin.FUNCTION),
    }


def _frames() -> dict[str, bytes]:
    found = {f"code-{code}": standin.answer(code, CALL, b"", b"body") for code in (100, *range(102, 108))}
    for how in ("resident", "booted", "rode", "boot_error", "unheard-of"):
        found[f"how-{how}"] = standin.answer(100, CALL, b"how=%b,crowd=3" % how.encode(), b"body")
    return {**found, "count": standin.answer(100, CALL, b"count=2,other=x")}


def _events() -> dict[str, bytes]:
    records = [standin.record(i, 8443 + i, state=i, zone=i % 2, weight=1500, started=12) for i in range(3)]
    return {
        "nothing-new": standin.event(3, 0),
        "whole": standin.event(1, 1, *records),
        "changes": standin.event(2, 2, records[0]),
    }


def decode(name: str, text: Any) -> Any:
    """The values that a form is read as; None for what is not read."""
    kind = name.partition(".")[0]
    read = {
        LINE: _read_line,
        COMMAND: lambda text: plain(standin.commands(bytes.fromhex(text))),
        FRAME: _read_frame,
        EVENT: _read_event,
        KNOWN: _read_known,
        CONFIGURATION: _read_configuration,
    }.get(kind)
    return read(text) if read else None


def _read_line(text: str) -> list[Any]:
    """The calls of a line; for one that can't be taken, the answer and whether the connection ends."""
    heard = Recorder()
    try:
        READER.read(text.encode(), heard)
    except client_answers.ClientLineError as fault:
        return [plain(heard.calls), client_answers.error_line(fault).decode(), fault.ends_connection]
    return [[[_values(each) for each in call] for call in heard.calls]]


def _values(value: Any) -> Any:
    if isinstance(value, OpaqueRequest):
        return [
            value.request_id.hex(),
            value.request_class,
            value.function,
            value.idempotency_key,
            value.body.hex(),
        ]
    return plain(value)


def _read_frame(text: str) -> list[Any]:
    heard = Recorder()
    executor_codec.ExecutorFrameReader(heard).feed(bytes.fromhex(text))
    return plain(heard.calls)


def _read_event(text: str) -> list[Any]:
    heard = Recorder()
    discovery_codec.DiscoveryEventReader(["east", "west"], ["std"], heard).feed(bytes.fromhex(text))
    return plain(heard.calls)


def _read_known(told: Any) -> list[Any]:
    heard = Recorder()
    discovery_codec.DiscoveryEventReader(["east", "west"], ["std"], heard).read_initial_events(told)
    return plain(heard.calls)


def _read_configuration(told: Any) -> list[Any]:
    data = json.dumps(told).encode()
    found: Configuration = read_configuration(data)
    return [plain(found), plain(read_peers(data))]
