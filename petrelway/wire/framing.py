"""Length-prefixed frames, without I/O: a four-byte big-endian length, then the payload."""

from __future__ import annotations

import struct
from collections.abc import Iterator

FRAME_BOUND = 1 << 20  # bytes of one payload; a longer one closes the connection
HEADER = struct.Struct(">I")


class WireError(Exception):
    """Bytes that the protocol does not allow; the text is the reason that is logged."""


def frame(payload: bytes, bound: int = FRAME_BOUND) -> bytes:
    """Return the payload preceded by its length. Raises WireError if it has more than `bound` bytes.

    >>> frame(b"abc")
    b'\\x00\\x00\\x00\\x03abc'
    """
    if len(payload) > bound:
        raise WireError(f"a frame of {len(payload)} bytes is over the bound of {bound}")
    return HEADER.pack(len(payload)) + payload


class Frames:
    """Collects bytes and yields complete payloads; holds at most one frame and one read in memory.

    >>> frames = Frames()
    >>> list(frames.feed(b"\\x00\\x00\\x00\\x03ab")), list(frames.feed(b"c\\x00\\x00\\x00\\x00"))
    ([], [b'abc', b''])
    """

    def __init__(self, bound: int = FRAME_BOUND) -> None:
        """Collect frames of at most `bound` bytes."""
        self.bound = bound
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the payloads that these bytes complete. Raises WireError at a length over the bound."""
        buffer = self.buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= HEADER.size:
                (length,) = HEADER.unpack_from(buffer, start)
                if length > self.bound:  # garbage read as a length would make this buffer gigabytes
                    raise WireError(f"a frame of {length} bytes is over the bound of {self.bound}")
                end = start + HEADER.size + length
                if len(buffer) < end:
                    return
                payload = bytes(buffer[start + HEADER.size : end])
                start = end
                yield payload
        finally:
            del buffer[:start]
