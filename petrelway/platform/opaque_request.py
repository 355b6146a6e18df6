"""The part of a request that passes through the front end unchanged, from client line to executor frame.

The client codec creates it and the executor codec encodes it; the dispatcher in between uses only its length.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class OpaqueRequest:
    """The fields of a request that are passed on unchanged. Its length is that of the body, in bytes."""

    request_id: bytes  # 8 bytes, chosen by the client
    request_class: str
    function: str
    idempotency_key: str  # empty: none
    body: bytes
    # numbers of the connections that it was written to; all its attempts carry one id
    written_to: tuple[int, ...] = ()

    def __len__(self) -> int:
        """Return the number of bytes that the dispatcher counts as buffered."""
        return len(self.body)
