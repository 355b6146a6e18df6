"""What tells keyed requests apart: whose key it is, and what is asked under it. No I/O.

A caller words its idempotency key, so a key alone proves nothing. It belongs to the tenant that sent it, and
it stands for one request: the same key with another function, request class or body is a conflict.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

FINGERPRINT_BYTES = 16  # equal ones by chance: 1 in 2**128 for each pair of requests under one key
LENGTH_BYTES = 8  # of the length before each part, which keeps parts from running into each other


class TenantKey(NamedTuple):
    """An idempotency key of one tenant; another tenant's equal key is another one."""

    tenant: str
    idempotency_key: str


class RequestIdentity(NamedTuple):
    """A keyed request: the key, and a digest of what is asked under it."""

    key: TenantKey
    fingerprint: bytes


def fingerprint(function: str, request_class: str, body: bytes) -> bytes:
    """Return a digest of what a request asks for; its cost estimate and its time left are no part of it.

    >>> fingerprint("f", "stamped", b"1") == fingerprint("f", "stamped", b"1")
    True
    >>> fingerprint("f", "stamped", b"1") == fingerprint("fs", "tamped", b"1")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (function.encode(), request_class.encode(), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def identify(
    tenant: str, idempotency_key: str, function: str, request_class: str, body: bytes
) -> RequestIdentity:
    """Return the identity of a keyed request."""
    return RequestIdentity(TenantKey(tenant, idempotency_key), fingerprint(function, request_class, body))
