"""Answers to clients, without I/O: encodes results, rejections and errors as lines of JSON-RPC 2.0.

`node/client_connection.py` writes the lines; `client_codec.py` raises `ClientLineError`. Source: the
platform's protocol page, "Clients to front ends".
"""

from __future__ import annotations

import json
import math
from binascii import b2a_base64
from enum import IntEnum

from .errors import ProtocolError


class ErrorCode(IntEnum):
    """Codes of error answers: JSON-RPC's own, and the platform's two."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    REJECTED = -32014
    FAILED = -32010


class ClientLineError(ProtocolError):
    """A line that is not admitted.

    `number` None: it is not known which request the error answers. `ends_connection`: the connection has to
    end, since the messages that follow could not be delimited.
    """

    def __init__(self, number: int | None, code: ErrorCode, text: str, ends_connection: bool = False) -> None:
        """Create an error with the number, code and text of the answer."""
        super().__init__(text)
        self.number = number
        self.code = code
        self.ends_connection = ends_connection


def success_line(number: int, body: bytes) -> bytes:
    """Encode the answer to a request that succeeded.

    >>> success_line(7, b"ok")
    b'{"jsonrpc":"2.0","id":7,"result":{"bytes":"b2s="}}\\n'
    """
    return b'{"jsonrpc":"2.0","id":%d,"result":{"bytes":"%b"}}\n' % (number, b2a_base64(body, newline=False))


def rejection_line(number: int, retry_ms: float) -> bytes:
    """Encode a rejection with a Retry-After time in ms; `retry_ms` 0: without one.

    >>> rejection_line(7, 200.4)
    b'{"jsonrpc":"2.0","id":7,"error":{"code":-32014,"message":"nacked","data":{"pushback":201}}}\\n'
    """
    data = b',"data":{"pushback":%d}' % math.ceil(retry_ms) if retry_ms > 0.0 else b""
    fields = (number, ErrorCode.REJECTED, data)
    return b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"nacked"%b}}\n' % fields


def failure_line(number: int) -> bytes:
    """Encode the answer to a request that failed and may have run."""
    fields = (number, ErrorCode.FAILED)
    return b'{"jsonrpc":"2.0","id":%d,"error":{"code":%d,"message":"broken off"}}\n' % fields


def error_line(error: ClientLineError) -> bytes:
    """Encode the error answer to a line that was not admitted."""
    number = b"null" if error.number is None else b"%d" % error.number
    text = json.dumps(str(error)).encode()
    return b'{"jsonrpc":"2.0","id":%b,"error":{"code":%d,"message":%b}}\n' % (number, error.code, text)


def check_line(number: int, serving: bool) -> bytes:
    """Encode the answer to a `check`."""
    text = b"true" if serving else b"false"
    return b'{"jsonrpc":"2.0","id":%d,"result":{"serving":%b}}\n' % (number, text)
