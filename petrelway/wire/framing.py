"""Length-prefixed frames, without I/O: a four-byte big-endian length, then the payload."""

from __future__ import annotations

import struct
from collections.abc import Iterator

FRAME_BOUND = 1 << 20  # bytes of one payload; a longer one closes the link
HEADER = struct.Struct(">I")


class WireError(Exception):
    """Bytes that the protocol does not allow; its text is the one reason that is logged."""


def frame(payload: bytes, bound: int = FRAME_BOUND) -> bytes:
    """The payload with its length in front. Raises WireError for one over the bound (bytes).

    >>> frame(b"abc")
    b'\\x00\\x00\\x00\\x03abc'
    """
    if len(payload) > bound:
        raise WireError(f"a frame of {len(payload)} bytes is over the bound of {bound}")
    return HEADER.pack(len(payload)) + payload


class Frames:
    """Collects bytes, gives whole payloads; holds at most one frame and one read in memory.

    >>> frames = Frames()
    >>> list(frames.feed(b"\\x00\\x00\\x00\\x03ab")), list(frames.feed(b"c\\x00\\x00\\x00\\x00"))
    ([], [b'abc', b''])
    """

    def __init__(self, bound: int = FRAME_BOUND) -> None:
        self.bound = bound
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The payloads that these bytes complete. Raises WireError at a length over the bound."""
        held = self.held
        held += data
        start = 0
        try:
            while len(held) - start >= HEADER.size:
                (length,) = HEADER.unpack_from(held, start)
                if length > self.bound:  # danger: garbage read as a length would ask for gigabytes
                    raise WireError(f"a frame of {length} bytes is over the bound of {self.bound}")
                end = start + HEADER.size + length
                if len(held) < end:
                    return
                payload = bytes(held[start + HEADER.size : end])
                start = end
                yield payload
        finally:
            del held[:start]
