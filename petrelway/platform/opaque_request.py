"""What the protocol passes on unchanged, from door to links, as one thing that the host only holds."""

from __future__ import annotations


class Passed:
    """One request's id (8 bytes), request class, function, mark against repeats (empty: none) and body.

    Its length is the body's, in bytes: that is what the host counts as held.
    """

    __slots__ = ("call", "request_class", "function", "once", "body")

    def __init__(self, call: bytes, request_class: str, function: str, once: str, body: bytes) -> None:
        self.call, self.request_class, self.function, self.once, self.body = (
            call,
            request_class,
            function,
            once,
            body,
        )

    def __len__(self) -> int:
        return len(self.body)
