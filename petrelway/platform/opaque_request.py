"""The part of a request that travels through the front end unchanged, from client line to executor frame.

The client listener creates it, the executor pool encodes it; the dispatcher in between knows only its length.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class OpaqueRequest:
    """What the platform's protocol hands on as it came. Its length is the body's, in bytes."""

    request_id: bytes  # 8 bytes, chosen by the client
    request_class: str
    function: str
    idempotency_key: str  # empty: none
    body: bytes

    def __len__(self) -> int:
        """Give the bytes that the dispatcher counts as buffered."""
        return len(self.body)
