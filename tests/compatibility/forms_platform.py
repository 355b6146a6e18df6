"""The operators' platform protocol: client lines, executor frames, event bus and configuration.

The other side's bytes are written by the stand-in platform, which has an encoder of its own.
"""

from __future__ import annotations

import json
from typing import Any

from wire_form_cases import Recorder, plain

from petrelway.fakes import platform_peers as standin
from petrelway.platform import client_codec as lines
from petrelway.platform import discovery_codec as bus
from petrelway.platform import executor_codec as frames
from petrelway.platform.configuration import Told, read_peers, read_told
from petrelway.platform.opaque_request import Passed

TOPIC = "platform"
CALL = bytes.fromhex(standin.CALL)
ASKS = lines.Asks([("safe", 4000.0, False), ("keyed", 4000.0, True)], ["acme", "bolt"])
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
        "bus-resume": bus.resume(41).hex(),
        f"{KNOWN}.standin": standin.known((0xC41F7A, 8443), offset=41),
        f"{CONFIGURATION}.standin": json.loads(standin.configuration()),
        "bounds": [lines.BODY_BOUND, lines.LINE_BOUND, frames.FIELDS_BOUND, frames.BODY_BOUND],
    }


def _requests() -> dict[str, bytes]:
    return {
        "safe": standin.request(7, "safe"),
        "keyed": standin.request(8, "keyed", org="bolt"),
    }


def _line_answers() -> dict[str, bytes]:
    return {
        "fulfilled": lines.succeeded(7, b"\x00\xff"),
        "nacked": lines.rejected(7, 0.0),
        "nacked.retry": lines.rejected(7, 199.2),
        "broken-off": lines.failed(7),
        "serving": lines.serving(3, True),
        "not-serving": lines.serving(3, False),
    }


def _commands() -> dict[str, bytes]:
    return {
        "send": frames.send(Passed(CALL, "safe", standin.FUNCTION, "", b"\x00body"), 1499.9),
        "send.once": frames.send(Passed(CALL, "keyed", standin.FUNCTION, standin.ONCE, b""), 0.2),
        "withdraw": frames.cancel_attempt(CALL),
        "probe": frames.probe(CALL),
        "order": frames.order(CALL, standin.FUNCTION, 2),
        "unload": frames.unload(standin.FUNCTION),
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
        ASKS.read(text.encode(), heard)
    except lines.ClientLineError as fault:
        return [plain(heard.calls), lines.faulted(fault).decode(), fault.last]
    return [[[_values(each) for each in call] for call in heard.calls]]


def _values(value: Any) -> Any:
    if isinstance(value, Passed):
        return [value.call.hex(), value.request_class, value.function, value.once, value.body.hex()]
    return plain(value)


def _read_frame(text: str) -> list[Any]:
    heard = Recorder()
    frames.Frames(heard).feed(bytes.fromhex(text))
    return plain(heard.calls)


def _read_event(text: str) -> list[Any]:
    heard = Recorder()
    bus.Bus(["east", "west"], ["std"], heard).feed(bytes.fromhex(text))
    return plain(heard.calls)


def _read_known(told: Any) -> list[Any]:
    heard = Recorder()
    bus.Bus(["east", "west"], ["std"], heard).known(told)
    return plain(heard.calls)


def _read_configuration(told: Any) -> list[Any]:
    data = json.dumps(told).encode()
    found: Told = read_told(data)
    return [plain(found), plain(read_peers(data))]
