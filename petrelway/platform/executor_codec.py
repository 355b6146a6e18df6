"""Codec of executor frames, without I/O: encodes commands, and decodes answers into calls of a handler.

    frame = mark:1 code:1 fields_size:2 body_size:4 id:8 fields body check:4

Numbers are big-endian and sizes are in bytes; the check is CRC-32 of fields and body. Used by
`node/executor_connection.py` and `node/executor_pool.py`. Source: the platform's protocol page.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import Protocol
from zlib import crc32

from ..routing.types import Outcome, Warmth
from .errors import ProtocolError
from .opaque_request import OpaqueRequest

HEADER = Struct(">BBHI8s")
CHECKSUM = Struct(">I")
FROM_FRONT_END = 1
FROM_EXECUTOR = 2
FIELDS_BOUND = 4096  # bytes of an answer's fields
BODY_BOUND = 1 << 18  # bytes of an answer's body; checked before any of them are buffered


class Command(IntEnum):
    """Codes of the frames that a front end sends."""

    SEND = 10
    CANCEL = 11
    PROBE = 12
    PREFETCH = 14
    UNLOAD = 16


OUTCOMES = {
    100: Outcome.SUCCEEDED,
    102: Outcome.MISS,
    103: Outcome.FULL,
    104: Outcome.ERROR,
    105: Outcome.UNSENT,  # the attempt's time was over when it arrived, so it never ran
}
HEALTHY, UNHEALTHY = 106, 107  # answers to a probe
WARMTH = {
    b"resident": Warmth.FOUND,
    b"booted": Warmth.BEGAN,
    b"rode": Warmth.AWAITED,
    b"boot_error": Warmth.LOAD_FAILED,
}


class ExecutorAnswerHandler(Protocol):
    """Receives an executor's answers, in order."""

    def answer_received(
        self, id: bytes, outcome: Outcome, warmth: Warmth, queue_length: int, replicas: int, body: bytes
    ) -> None:
        """Handle the answer to an attempt or a load request; `replicas` is valid for load requests only."""

    def probe_answer_received(self, id: bytes, healthy: bool) -> None:
        """Handle the answer to a probe."""


def encode_frame(command: Command, id: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    """Encode one command with its checksum."""
    header = HEADER.pack(FROM_FRONT_END, command, len(fields), len(body), id)
    checksum = CHECKSUM.pack(crc32(body, crc32(fields)))
    return b"%b%b%b%b" % (header, fields, body, checksum)


def encode_send(request: OpaqueRequest, wait_ms: float) -> bytes:
    """Encode an attempt; the frame states in whole ms, 1 at least, how long this front end will wait."""
    fields = f"class={request.request_class},key={request.function},wait={max(1, int(wait_ms))}"
    if request.idempotency_key:
        fields += ",once=" + request.idempotency_key
    return encode_frame(Command.SEND, request.request_id, fields.encode(), request.body)


def encode_cancel(id: bytes) -> bytes:
    """Encode the cancellation of an attempt."""
    return encode_frame(Command.CANCEL, id)


def encode_probe(id: bytes) -> bytes:
    """Encode a health check."""
    return encode_frame(Command.PROBE, id)


def encode_load_request(id: bytes, function: str, replicas: int) -> bytes:
    """Encode a request to load `replicas` replicas of a function."""
    return encode_frame(Command.PREFETCH, id, b"key=%b,count=%d" % (function.encode(), replicas))


def encode_unload(function: str) -> bytes:
    """Encode a request to unload a function."""
    return encode_frame(Command.UNLOAD, bytes.fromhex(function))


class ExecutorFrameReader:
    """Decodes received bytes and passes answers to a handler; buffers one frame and one read at most."""

    def __init__(self, handler: ExecutorAnswerHandler) -> None:
        """Start empty; `handler` receives the answers."""
        self.handler = handler
        self.buffered = bytearray()
        self.needed = 0  # bytes without which the buffered frame is not complete

    def has_partial_frame(self) -> bool:
        """Whether part of an answer is buffered."""
        return bool(self.buffered)

    def clear(self) -> None:
        """Discard what is buffered, and give its memory back."""
        self.buffered = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes and decode the complete answers.

        Raises ProtocolError at an invalid frame; the rest of the stream can't be decoded then. Lengths are
        checked before bytes are buffered: garbage that is read as a length could stand for gigabytes.
        """
        if self.buffered:
            self.buffered += data
            if len(self.buffered) < self.needed:
                return
            data = bytes(self.buffered)
            self.buffered = bytearray()
        self.needed = HEADER.size
        start = 0
        size = len(data)
        while size - start >= HEADER.size:
            mark, code, fields_size, body_size, id = HEADER.unpack_from(data, start)
            _check_header(mark, code, fields_size, body_size)
            fields_start = start + HEADER.size
            body_start = fields_start + fields_size
            body_end = body_start + body_size
            if size < body_end + CHECKSUM.size:
                self.needed = body_end + CHECKSUM.size - start
                break
            fields = data[fields_start:body_start]
            body = data[body_start:body_end]
            if crc32(body, crc32(fields)) != CHECKSUM.unpack_from(data, body_end)[0]:
                raise ProtocolError("answer frame: found a checksum that does not match its fields and body")
            start = body_end + CHECKSUM.size
            self._deliver(code, id, fields, body)
        if start < size:
            self.buffered += data[start:] if start else data

    def _deliver(self, code: int, id: bytes, fields: bytes, body: bytes) -> None:
        if code in (HEALTHY, UNHEALTHY):
            self.handler.probe_answer_received(id, code == HEALTHY)
            return
        warmth = Warmth.UNTOLD
        queue_length = 0
        replicas = 0
        try:
            for item in fields.split(b",") if fields else ():
                name, value = item.split(b"=", 1)
                if name == b"how":
                    warmth = WARMTH.get(value, Warmth.UNTOLD)
                elif name == b"crowd":
                    queue_length = int(value)
                elif name == b"count":
                    replicas = int(value)
        except ValueError as error:
            raise ProtocolError(
                "answer frame: found undecodable fields; allowed: name=value,name=value with whole numbers"
            ) from error
        self.handler.answer_received(id, OUTCOMES[code], warmth, queue_length, replicas, body)


def _check_header(mark: int, code: int, fields_size: int, body_size: int) -> None:
    if mark != FROM_EXECUTOR or (code not in OUTCOMES and code not in (HEALTHY, UNHEALTHY)):
        raise ProtocolError(
            f"answer frame: found mark {mark}, code {code}; allowed: mark 2 and codes 100 and 102 to 107"
        )
    if fields_size > FIELDS_BOUND or body_size > BODY_BOUND:
        raise ProtocolError(
            f"answer frame: found {fields_size} bytes of fields and {body_size} bytes of body;"
            " allowed: 4096 and 262144 bytes at most"
        )
