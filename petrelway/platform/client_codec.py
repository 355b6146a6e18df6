"""Decoder of client lines: JSON-RPC 2.0, one message per line, without I/O. It calls a handler.

`node/client_connection.py` passes received bytes to it. It is strict, since one front end serves clients of
every kind: a line that does not follow the protocol exactly raises an error and is never admitted. Times in
ms. Source: the platform's protocol page, "Clients to front ends".
"""

from __future__ import annotations

import math
import re
from binascii import Error as Base64Error
from binascii import a2b_base64
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec

from ..common.request_bounds import COST_BOUND_MS
from .client_answers import ClientLineError, ErrorCode
from .opaque_request import OpaqueRequest

BODY_BOUND = 16 * 1024  # bytes of a request's body
LINE_BOUND = (BODY_BOUND + 2) // 3 * 4 + 2048  # bytes of a request's line: the body in base64, and the rest
NUMBER_BOUND = 1 << 53  # a request's number has to be lower
AMOUNT_BOUND = 1e9  # maximum of any other number
CONCURRENCY_BOUND = 10_000
# A client's time may exceed the deadline of its request class by this factor plus this many ms.
DEADLINE_TOLERANCE = 1.001
DEADLINE_TOLERANCE_MS = 50.0
MAX_ERROR_CHARACTERS = 200  # a decoder's error text is cut to this length
HEX16 = re.compile(r"[0-9a-f]{16}").fullmatch
HEX32 = re.compile(r"[0-9a-f]{32}").fullmatch

_decode = msgspec.json.Decoder().decode


class ClientMessageHandler(Protocol):
    """Receives the messages of one client, in order."""

    def number_received(self, number: int) -> None:
        """Record that a request, valid or not, uses this number.

        Raises ClientLineError if it was used before.
        """

    def request_received(
        self,
        number: int,
        request: OpaqueRequest,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        cost_ms: float,
        memory_mb: float,
        concurrency: int,
        load_ms: float,
    ) -> None:
        """Handle a valid request; `cost_ms`, `memory_mb`, `concurrency` and `load_ms` are 0 if not given."""

    def cancel_received(self, number: int | None, request_id: bytes | None) -> None:
        """Handle the cancellation of a request, named by its number on this connection or by its id."""

    def check_received(self, number: int) -> None:
        """Handle a `check`, which asks whether this front end serves."""


class LineBuffer:
    """Splits received bytes into lines; buffers one line and the bytes of one read at most.

    >>> lines = LineBuffer(8); lines.feed(b"ab\\ncd\\r\\ne")
    >>> lines.next_line(), lines.next_line(), lines.next_line(), lines.has_partial_line()
    (b'ab', b'cd', None, True)
    """

    def __init__(self, bound: int = LINE_BOUND) -> None:
        """Start empty; `bound` is the maximum number of bytes of one line."""
        self.bound = bound
        self.buffered = bytearray()
        self.start = 0  # offset of the first line that was not returned yet
        self.searched = 0  # offset up to which no end of that line was found

    def __len__(self) -> int:
        """Return how many bytes are held."""
        return len(self.buffered)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._compact()
        self.buffered += data

    def _compact(self) -> None:
        """Give back the bytes of the lines that were returned."""
        if not self.start:
            return
        self.buffered = self.buffered[self.start :]
        self.searched -= self.start
        self.start = 0

    def clear(self) -> None:
        """Discard all that is buffered, and give its memory back."""
        self.buffered = bytearray()
        self.start = 0
        self.searched = 0

    def next_line(self) -> bytes | None:
        """Return the next complete line, or None.

        Raises ClientLineError if a line, complete or not, is longer than the bound.
        """
        end = self.buffered.find(b"\n", self.searched)
        if (end if end >= 0 else len(self.buffered)) - self.start > self.bound:
            raise _fatal_line_error(f"a line over {self.bound} bytes")
        if end < 0:
            self.searched = len(self.buffered)
            self._compact()
            return None
        line = bytes(memoryview(self.buffered)[self.start : end])
        self.start = end + 1
        self.searched = self.start
        return line[:-1] if line.endswith(b"\r") else line

    def has_complete_line(self) -> bool:
        """Whether a complete line is buffered."""
        return self.buffered.find(b"\n", self.searched) >= 0

    def has_partial_line(self) -> bool:
        """Whether bytes are buffered that were not returned yet."""
        return len(self.buffered) > self.start


def _never(number: int, body_bytes: int) -> bool:
    return False


class RequestClassEntry(NamedTuple):
    """What the reader needs to know of a request class; looked up by the class's name."""

    index: int
    deadline_ms: float  # 0: none
    needs_idempotency_key: bool


class ExtraHints(NamedTuple):
    """Hints of the `extras` parameter; 0 if not given."""

    memory_mb: float
    concurrency: int
    load_ms: float


class ClientMessageReader:
    """Decodes and validates lines for the request classes and tenants of the deployment."""

    def __init__(self, request_classes: list[tuple[str, float, bool]], tenants: list[str]) -> None:
        """Take the tenants' names, and for each request class (name, deadline in ms, needs idempotency key).

        A deadline of 0 means none.
        """
        self.request_classes = {
            name: RequestClassEntry(index, deadline_ms, needs_key)
            for index, (name, deadline_ms, needs_key) in enumerate(request_classes)
        }
        self.tenants = {name: index for index, name in enumerate(tenants)}

    def read(
        self,
        line: bytes,
        handler: ClientMessageHandler,
        rejects_for_memory: Callable[[int, int], bool] = _never,
    ) -> None:
        """Decode one line and call the handler. Raises ClientLineError.

        `rejects_for_memory` is asked with a request's number and the most bytes that its body can have. It is
        asked before the body is decoded, which takes most of the time; True: it has rejected the request.
        """
        message = _decode_message(line)
        method = message.get("method")
        number = message.get("id")
        params = message.get("params")
        if params is None:
            params = {}
        if number is not None and not (type(number) is int and 1 <= number < NUMBER_BOUND):
            raise _fatal_line_error("id is no whole number from 1")
        if message.get("jsonrpc") != "2.0" or type(method) is not str or type(params) is not dict:
            raise _fatal_line_error("not a JSON-RPC 2.0 request")
        if method == "interrupt":
            handler.cancel_received(*_cancelled_request(number, params))
            return
        if number is None:
            raise _fatal_line_error("no id")
        if method == "check":
            handler.check_received(number)
            return
        handler.number_received(number)
        request_class = self.request_classes.get(method)
        if request_class is None:
            raise ClientLineError(number, ErrorCode.METHOD_NOT_FOUND, "no such class")
        self._read_request(number, method, request_class, params, handler, rejects_for_memory)

    def _read_request(
        self,
        number: int,
        name: str,
        request_class: RequestClassEntry,
        params: dict[str, Any],
        handler: ClientMessageHandler,
        rejects_for_memory: Callable[[int, int], bool],
    ) -> None:
        request_id = params.get("call")
        function = params.get("row")
        idempotency_key = params.get("dedupe")
        if type(request_id) is not str or not HEX16(request_id):
            raise _invalid_params(number, "call: 16 hex digits wanted")
        if type(function) is not str or not HEX16(function):
            raise _invalid_params(number, "row: 16 hex digits wanted")
        wants_key = request_class.needs_idempotency_key or idempotency_key is not None
        if wants_key and (type(idempotency_key) is not str or not HEX32(idempotency_key)):
            raise _invalid_params(number, "dedupe: 32 hex digits wanted")
        tenant = self._tenant(number, params)
        remaining_ms = _remaining_ms(number, params, request_class.deadline_ms)
        cost_ms = _amount(number, params, "work", 0.0, COST_BOUND_MS)
        hints = _extra_hints(number, params.get("extras"))
        if rejects_for_memory(number, _body_bytes_bound(params)):
            return
        body = _body(number, params)
        request = OpaqueRequest(bytes.fromhex(request_id), name, function, idempotency_key or "", body)
        handler.request_received(
            number,
            request,
            request_class.index,
            tenant,
            remaining_ms,
            cost_ms,
            hints.memory_mb,
            hints.concurrency,
            hints.load_ms,
        )

    def _tenant(self, number: int, params: dict[str, Any]) -> int:
        if not self.tenants:
            return 0
        name = params.get("org")
        tenant = self.tenants.get(name, -1) if type(name) is str else -1
        if tenant < 0:
            raise _invalid_params(number, "org: no such tenant")
        return tenant


def _fatal_line_error(text: str) -> ClientLineError:
    """Create the error for a line after which the connection has to end."""
    return ClientLineError(None, ErrorCode.INVALID_REQUEST, text, ends_connection=True)


def _invalid_params(number: int | None, text: str) -> ClientLineError:
    return ClientLineError(number, ErrorCode.INVALID_PARAMS, text)


def _decode_message(line: bytes) -> dict[str, Any]:
    try:
        message = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        text = f"not JSON: {error}"[:MAX_ERROR_CHARACTERS]
        raise ClientLineError(None, ErrorCode.PARSE_ERROR, text, ends_connection=True) from error
    if type(message) is not dict:
        raise _fatal_line_error("not one request object")
    return message


def _cancelled_request(number: int | None, params: dict[str, Any]) -> tuple[int | None, bytes | None]:
    """Return the number or the id of the request that an `interrupt` cancels."""
    request_id = params.get("call")
    other_number = params.get("id")
    if type(request_id) is str and HEX16(request_id):
        return None, bytes.fromhex(request_id)
    if type(other_number) is int:
        return other_number, None
    if number is None:
        raise _invalid_params(None, "interrupt: call wanted")
    return number, None


def _remaining_ms(number: int, params: dict[str, Any], deadline_ms: float) -> float:
    most_ms = deadline_ms * DEADLINE_TOLERANCE + DEADLINE_TOLERANCE_MS if deadline_ms else AMOUNT_BOUND
    remaining_ms = _amount(number, params, "ttl", None, most_ms)
    if remaining_ms <= 0.0:
        raise _invalid_params(number, "ttl: more than 0 wanted")
    return remaining_ms


def _amount(number: int, params: dict[str, Any], name: str, default: float | None, most: float) -> float:
    amount = params.get(name, default)
    if type(amount) not in (int, float) or not 0.0 <= amount <= most or not math.isfinite(amount):
        raise _invalid_params(number, f"{name}: a number from 0 to {most:g} wanted")
    return float(amount)


def _body_bytes_bound(params: dict[str, Any]) -> int:
    """Return the number of bytes that a body in base64 has at most."""
    text = params.get("bytes")
    return len(text) * 3 // 4 if type(text) is str else 0


def _body(number: int, params: dict[str, Any]) -> bytes:
    text = params.get("bytes", "")
    if type(text) is not str:
        raise _invalid_params(number, "bytes: base64 wanted")
    try:
        body = a2b_base64(text, strict_mode=True) if text else b""
    except (Base64Error, ValueError) as error:
        raise _invalid_params(number, "bytes: base64 wanted") from error
    if len(body) > BODY_BOUND:
        raise _invalid_params(number, f"bytes: over {BODY_BOUND} bytes")
    return body


def _extra_hints(number: int, text: Any) -> ExtraHints:
    """Decode `name:value;name:value`; the values of unknown names are validated and ignored."""
    if not text:
        if text in (None, ""):
            return ExtraHints(0.0, 0, 0.0)
        raise _invalid_params(number, "extras: text wanted")
    amounts = {}
    try:
        for item in text.split(";"):
            name, value = item.split(":")
            amount = float(value)
            amounts[name] = amount
            if not 0.0 <= amount <= AMOUNT_BOUND:  # false for NaN too
                raise ValueError(name)
    except (ValueError, AttributeError) as error:
        raise _invalid_params(number, "extras: name:value;name:value wanted") from error
    concurrency = amounts.get("lanes", 0.0)
    if concurrency > CONCURRENCY_BOUND or concurrency != int(concurrency):
        raise _invalid_params(number, "extras: lanes is no number of lanes")
    return ExtraHints(amounts.get("memory_mb", 0.0), int(concurrency), amounts.get("load_ms", 0.0))
