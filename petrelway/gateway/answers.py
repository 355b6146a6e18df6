"""The one final answer of a request, whatever the outcomes of its attempts.

The dispatcher creates answers; the HTTP listener, the node's client listener and the emulator's clients read
them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..routing.types import Warmth


class Completion(StrEnum):
    """How a request completed. The values appear in response headers, counts and records."""

    SUCCEEDED = "fulfilled"
    REJECTED = "nacked"  # not carried out, or safe to repeat: the client may try again
    FAILED = "broken off"  # may have run: repeating it may do harm
    CONFLICT = "conflict"  # its idempotency key belongs to another request of this tenant


class Answer(NamedTuple):
    """The final answer of a request; `retry_ms` belongs to a rejection, 0 means none."""

    completion: Completion
    retry_ms: float = 0.0
    content_type: str = ""
    body: bytes = b""
    executor: str = ""
    warmth: Warmth = Warmth.UNTOLD
