"""Executor frames, without I/O: commands to bytes, bytes to calls.

    frame = mark:1 code:1 fields:2 body:4 id:8, so many bytes of fields and of body, check:4

Big-endian; the check is CRC-32 of fields and body. Source: the platform's protocol page.
"""

from __future__ import annotations

from struct import Struct
from typing import Protocol
from zlib import crc32

from ..routing.types import Outcome, Warmth
from .errors import ProtocolError
from .opaque_request import Passed

HEAD, CHECK = Struct(">BBHI8s"), Struct(">I")
FROM_FRONT_END, FROM_EXECUTOR = 1, 2
FIELDS_BOUND = 4096  # bytes of an answer's fields
BODY_BOUND = 1 << 18  # and of its body; checked before anything is collected
SEND, CANCEL, PROBE, PREFETCH, UNLOAD = 10, 11, 12, 14, 16
OUTCOMES = {
    100: Outcome.SUCCEEDED,
    102: Outcome.MISS,
    103: Outcome.FULL,
    104: Outcome.ERROR,
    105: Outcome.UNSENT,  # it was over already: it never ran
}
WELL, UNWELL = 106, 107  # answers to a probe
WARMTH = {
    b"resident": Warmth.FOUND,
    b"booted": Warmth.BEGAN,
    b"rode": Warmth.AWAITED,
    b"boot_error": Warmth.LOAD_FAILED,
}


class ExecutorEars(Protocol):
    """What an executor says. `copies` is told of orders only."""

    def answered(
        self, id: bytes, outcome: Outcome, warmth: Warmth, crowd: int, replicas: int, body: bytes
    ) -> None: ...

    def probed(self, id: bytes, well: bool) -> None: ...


def frame(code: int, id: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    head = HEAD.pack(FROM_FRONT_END, code, len(fields), len(body), id)
    return b"%b%b%b%b" % (head, fields, body, CHECK.pack(crc32(body, crc32(fields))))


def send(passed: Passed, wait_ms: float) -> bytes:
    """A attempt; the executor is told how long this front end will wait, in whole ms."""
    fields = f"class={passed.request_class},key={passed.function},wait={max(1, int(wait_ms))}"
    if passed.once:
        fields += ",once=" + passed.once
    return frame(SEND, passed.call, fields.encode(), passed.body)


def cancel_attempt(id: bytes) -> bytes:
    return frame(CANCEL, id)


def probe(id: bytes) -> bytes:
    return frame(PROBE, id)


def order(id: bytes, function: str, replicas: int) -> bytes:
    return frame(PREFETCH, id, b"key=%b,count=%d" % (function.encode(), replicas))


def unload(function: str) -> bytes:
    return frame(UNLOAD, bytes.fromhex(function))


class Frames:
    """Collects bytes and tells what they say; holds at most one frame and one read in memory."""

    def __init__(self, ears: ExecutorEars) -> None:
        self.ears = ears
        self.held = bytearray()

    def half(self) -> bool:
        """Whether an answer has begun and not ended."""
        return bool(self.held)

    def feed(self, data: bytes) -> None:
        """Raises ProtocolError at what can't be read; nothing after it can be told apart.

        Danger: garbage read as a length asks for gigabytes: lengths are checked before bytes are collected.
        """
        if self.held:
            self.held += data
            data = bytes(self.held)
            self.held.clear()
        start, size = 0, len(data)
        while size - start >= HEAD.size:
            mark, code, fields, body, id = HEAD.unpack_from(data, start)
            if mark != FROM_EXECUTOR or code not in OUTCOMES and code not in (WELL, UNWELL):
                raise ProtocolError(f"no answer begins with mark {mark}, code {code}")
            if fields > FIELDS_BOUND or body > BODY_BOUND:
                raise ProtocolError(f"an answer of {fields} and {body} bytes is over the bounds")
            at = start + HEAD.size
            middle, end = at + fields, at + fields + body
            if size < end + CHECK.size:
                break
            told, payload = data[at:middle], data[middle:end]
            if crc32(payload, crc32(told)) != CHECK.unpack_from(data, end)[0]:
                raise ProtocolError("an answer's check does not fit")
            start = end + CHECK.size
            self._tell(code, id, told, payload)
        if start < size:
            self.held += data[start:] if start else data

    def _tell(self, code: int, id: bytes, fields: bytes, body: bytes) -> None:
        if code in (WELL, UNWELL):
            self.ears.probed(id, code == WELL)
            return
        warmth, crowd, replicas = Warmth.UNTOLD, 0, 0
        try:
            for item in fields.split(b",") if fields else ():
                name, value = item.split(b"=", 1)
                if name == b"how":
                    warmth = WARMTH.get(value, Warmth.UNTOLD)
                elif name == b"crowd":
                    crowd = int(value)
                elif name == b"count":
                    replicas = int(value)
        except ValueError as error:
            raise ProtocolError("an answer's fields can't be read") from error
        self.ears.answered(id, OUTCOMES[code], warmth, crowd, replicas, body)
