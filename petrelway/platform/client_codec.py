"""Client lines: JSON-RPC 2.0, one message a line, without I/O. Bytes to calls, answers to bytes.

Strict, since one front end meets clients of every kind: what is not exactly as the protocol says raises and
is never taken. Times are ms. Source: the platform's protocol page, "Clients to front ends".
"""

from __future__ import annotations

import json
import math
import re
from binascii import Error as Base64Error
from binascii import a2b_base64, b2a_base64
from typing import Any, Protocol

import msgspec

from .errors import ProtocolError
from .opaque_request import Passed

BODY_BOUND = 16 * 1024  # bytes of a request's body
LINE_BOUND = (BODY_BOUND + 2) // 3 * 4 + 2048  # and of its line: the body in base64, and the rest
NUMBER_BOUND = 1 << 53  # a request's number
WORK_BOUND_MS = 1e7  # what a hint at the work may say
AMOUNT_BOUND = 1e9  # and a further figure
LANES_BOUND = 10_000
NOT_JSON, NOT_A_REQUEST, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
REJECTED, FAILED = -32014, -32010
HEX16 = re.compile(r"[0-9a-f]{16}").fullmatch
HEX32 = re.compile(r"[0-9a-f]{32}").fullmatch

_decode = msgspec.json.Decoder().decode


class ClientLineError(ProtocolError):
    """A line that can't be taken. `number` None: it is not known whose answer the error would be.

    `last`: the connection can't go on, since what follows could not be told apart.
    """

    def __init__(self, number: int | None, code: int, text: str, last: bool = False) -> None:
        super().__init__(text)
        self.number, self.code, self.last = number, code, last


class ClientEars(Protocol):
    """What a client says. `memory_mb`, `lanes`, `load_ms`, `work_ms` 0: untold."""

    def numbered(self, number: int) -> None:
        """A request under this number follows, whatever is wrong with it. Raises ClientLineError if it is used."""

    def asked(
        self,
        number: int,
        passed: Passed,
        request_class: int,
        tenant: int,
        remaining_ms: float,
        work_ms: float,
        memory_mb: float,
        lanes: int,
        load_ms: float,
    ) -> None: ...

    def taken_back(self, number: int | None, call: bytes | None) -> None: ...

    def checked(self, number: int) -> None: ...


class Lines:
    """Collects bytes, gives whole lines; holds one line's bound and one read in memory.

    >>> lines = Lines(8); lines.feed(b"ab\\ncd\\r\\ne")
    >>> lines.next(), lines.next(), lines.next(), lines.half()
    (b'ab', b'cd', None, True)
    """

    def __init__(self, bound: int = LINE_BOUND) -> None:
        self.bound = bound
        self.held, self.start = bytearray(), 0

    def feed(self, data: bytes) -> None:
        if self.start:
            del self.held[: self.start]
            self.start = 0
        self.held += data

    def next(self) -> bytes | None:
        """The next whole line, or None. Raises ClientLineError past the bound, whole or not."""
        end = self.held.find(b"\n", self.start)
        if (end if end >= 0 else len(self.held)) - self.start > self.bound:
            raise ClientLineError(None, NOT_A_REQUEST, f"a line over {self.bound} bytes", last=True)
        if end < 0:
            return None
        line = bytes(self.held[self.start : end])
        self.start = end + 1
        return line[:-1] if line.endswith(b"\r") else line

    def whole(self) -> bool:
        """Whether a whole line waits."""
        return self.held.find(b"\n", self.start) >= 0

    def half(self) -> bool:
        """Whether a line has begun and not ended."""
        return len(self.held) > self.start


class Asks:
    """Reads lines by the names that the terms give."""

    def __init__(self, request_classes: list[tuple[str, float, bool]], tenants: list[str]) -> None:
        """`request classes`: name, outer limit in ms (0: none told), whether a mark against repeats is wanted."""
        self.request_classes = {
            name: (i, deadline_ms, keyed) for i, (name, deadline_ms, keyed) in enumerate(request_classes)
        }
        self.tenants = {name: i for i, name in enumerate(tenants)}

    def read(self, line: bytes, ears: ClientEars) -> None:
        """One line as one call. Raises ClientLineError."""
        try:
            told = _decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise ClientLineError(None, NOT_JSON, f"not JSON: {error}"[:200], last=True) from error
        if type(told) is not dict:
            raise ClientLineError(None, NOT_A_REQUEST, "not one request object", last=True)
        method, number, params = told.get("method"), told.get("id"), told.get("params")
        if params is None:
            params = {}
        if number is not None and not (type(number) is int and 1 <= number < NUMBER_BOUND):
            raise ClientLineError(None, NOT_A_REQUEST, "id is no whole number from 1", last=True)
        if told.get("jsonrpc") != "2.0" or type(method) is not str or type(params) is not dict:
            raise ClientLineError(None, NOT_A_REQUEST, "not a JSON-RPC 2.0 request", last=True)
        if method == "interrupt":
            ears.taken_back(*_taken_back(number, params))
            return
        if number is None:
            raise ClientLineError(None, NOT_A_REQUEST, "no id", last=True)
        if method == "check":
            ears.checked(number)
            return
        ears.numbered(number)
        request_class = self.request_classes.get(method)
        if request_class is None:
            raise ClientLineError(number, NO_METHOD, "no such class")
        self._asked(number, method, request_class, params, ears)

    def _asked(
        self,
        number: int,
        name: str,
        request_class: tuple[int, float, bool],
        params: dict[str, Any],
        ears: ClientEars,
    ) -> None:
        index, deadline_ms, keyed = request_class
        call, function, once = params.get("call"), params.get("row"), params.get("dedupe")
        if type(call) is not str or not HEX16(call):
            raise ClientLineError(number, BAD_PARAMS, "call: 16 hex digits wanted")
        if type(function) is not str or not HEX16(function):
            raise ClientLineError(number, BAD_PARAMS, "row: 16 hex digits wanted")
        if keyed or once is not None:
            if type(once) is not str or not HEX32(once):
                raise ClientLineError(number, BAD_PARAMS, "dedupe: 32 hex digits wanted")
        tenant = 0
        if self.tenants:
            org = params.get("org")
            tenant = self.tenants.get(org, -1) if type(org) is str else -1
            if tenant < 0:
                raise ClientLineError(number, BAD_PARAMS, "org: no such tenant")
        remaining_ms = _amount(
            number, params, "ttl", None, deadline_ms * 1.001 + 50.0 if deadline_ms else 1e9
        )
        if remaining_ms <= 0.0:
            raise ClientLineError(number, BAD_PARAMS, "ttl: more than 0 wanted")
        work_ms = _amount(number, params, "work", 0.0, WORK_BOUND_MS)
        memory_mb, lanes, load_ms = _extras(number, params.get("extras"))
        text = params.get("bytes", "")
        if type(text) is not str:
            raise ClientLineError(number, BAD_PARAMS, "bytes: base64 wanted")
        try:
            body = a2b_base64(text, strict_mode=True) if text else b""
        except (Base64Error, ValueError) as error:
            raise ClientLineError(number, BAD_PARAMS, "bytes: base64 wanted") from error
        if len(body) > BODY_BOUND:
            raise ClientLineError(number, BAD_PARAMS, f"bytes: over {BODY_BOUND} bytes")
        passed = Passed(bytes.fromhex(call), name, function, once or "", body)
        ears.asked(number, passed, index, tenant, remaining_ms, work_ms, memory_mb, lanes, load_ms)


def _taken_back(number: int | None, params: dict[str, Any]) -> tuple[int | None, bytes | None]:
    call, other = params.get("call"), params.get("id")
    if type(call) is str and HEX16(call):
        return None, bytes.fromhex(call)
    if type(other) is int:
        return other, None
    if number is None:
        raise ClientLineError(None, BAD_PARAMS, "interrupt: call wanted")
    return number, None


def _amount(number: int, params: dict[str, Any], name: str, default: float | None, most: float) -> float:
    amount = params.get(name, default)
    if type(amount) not in (int, float) or not 0.0 <= amount <= most or not math.isfinite(amount):
        raise ClientLineError(number, BAD_PARAMS, f"{name}: a number from 0 to {most:g} wanted")
    return float(amount)


def _extras(number: int, text: Any) -> tuple[float, int, float]:
    """`name:value;name:value`; names that are not ours are read and let be."""
    if not text:
        if text in (None, ""):
            return 0.0, 0, 0.0
        raise ClientLineError(number, BAD_PARAMS, "extras: text wanted")
    found = {}
    try:
        for item in text.split(";"):
            name, value = item.split(":")
            found[name] = amount = float(value)
            if not 0.0 <= amount <= AMOUNT_BOUND:  # also what is no number
                raise ValueError(name)
    except (ValueError, AttributeError) as error:
        raise ClientLineError(number, BAD_PARAMS, "extras: name:value;name:value wanted") from error
    lanes = found.get("lanes", 0.0)
    if lanes > LANES_BOUND or lanes != int(lanes):
        raise ClientLineError(number, BAD_PARAMS, "extras: lanes is no number of lanes")
    return found.get("memory_mb", 0.0), int(lanes), found.get("load_ms", 0.0)


def succeeded(number: int, body: bytes) -> bytes:
    """
    >>> succeeded(7, b"ok")
    b'{"jsonrpc":"2.0","id":7,"result":{"bytes":"b2s="}}\\n'
    """
    return b'{"jsonrpc":"2.0","id":%d,"result":{"bytes":"%b"}}\n' % (number, b2a_base64(body, newline=False))


def rejected(number: int, retry_ms: float) -> bytes:
    """`retry_ms` 0: no time to come back is given.

    >>> rejected(7, 200.4)
    b'{"jsonrpc":"2.0","id":7,"error":{"code":-32014,"message":"nacked","data":{"pushback":201}}}\\n'
    """
    data = b',"data":{"pushback":%d}' % math.ceil(retry_ms) if retry_ms > 0.0 else b""
    return b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"nacked"%b}}\n' % (number, REJECTED, data)


def failed(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"broken off"}}\n' % (number, FAILED)


def faulted(fault: ClientLineError) -> bytes:
    number = b"null" if fault.number is None else b"%d" % fault.number
    text = json.dumps(str(fault)).encode()
    return b'{"jsonrpc":"2.0","id":%b,"error":{"code":%d,"message":%b}}\n' % (number, fault.code, text)


def serving(number: int, well: bool) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"result":{"serving":%b}}\n' % (number, b"true" if well else b"false")
