"""The one final answer that a request gets, whatever its attempts came to.

The dispatcher makes answers; the HTTP listener, the node's client listener and the emulator's clients read
them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..routing.types import Warmth


class Completion(StrEnum):
    """How a request completed. The values stand in response headers, counts and records."""

    SUCCEEDED = "fulfilled"
    REJECTED = "nacked"  # not carried out, or safe to repeat: the client may try again
    FAILED = "broken off"  # may have run: a repeat may do harm


class Answer(NamedTuple):
    """The final answer of a request; `retry_ms` goes with a rejection, 0 for none."""

    completion: Completion
    retry_ms: float = 0.0
    content_type: str = ""
    body: bytes = b""
    executor: str = ""
    warmth: Warmth = Warmth.UNTOLD
