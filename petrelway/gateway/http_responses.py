"""HTTP responses for final answers and refusals: status, headers, problem documents (RFC 9457).

Clients depend on the status codes, the header names and the documents' texts; they don't follow renames in
this code.
"""

from __future__ import annotations

import json
import math

from twisted.web import server

from .answers import Answer, Completion

STATUS = {
    Completion.SUCCEEDED: 200,
    Completion.REJECTED: 503,
    Completion.FAILED: 502,
    Completion.CONFLICT: 409,
}

REJECTED_DOCUMENT = json.dumps(
    {"type": "about:blank", "title": "nacked: trying again does no harm", "status": 503}
).encode()
FAILED_DOCUMENT = json.dumps(
    {"type": "about:blank", "title": "broken off: the trigger may have run", "status": 502}
).encode()
CONFLICT_DOCUMENT = json.dumps(
    {
        "type": "about:blank",
        "title": "conflict: this source and id were used for a trigger that asks for something else",
        "status": 409,
    }
).encode()
DOCUMENTS = {
    Completion.REJECTED: REJECTED_DOCUMENT,
    Completion.FAILED: FAILED_DOCUMENT,
    Completion.CONFLICT: CONFLICT_DOCUMENT,
}


def problem_document(status: int, where: str, found: str, allowed: str) -> bytes:
    """Return a document that states where a request is invalid, what was found there and what is allowed."""
    return json.dumps(
        {
            "type": "about:blank",
            "title": "the trigger was not taken",
            "status": status,
            "detail": f"{where}: found {found}; allowed: {allowed}",
            "where": where,
            "allowed": allowed,
        }
    ).encode()


def write_answer(request: server.Request, answer: Answer) -> None:
    """Write a final answer as the whole response."""
    request.setResponseCode(STATUS[answer.completion])
    headers = request.responseHeaders
    headers.setRawHeaders(b"petrelway-outcome", [answer.completion.encode()])
    if answer.completion is Completion.SUCCEEDED:
        content_type = answer.content_type or "application/octet-stream"
        headers.setRawHeaders(b"content-type", [content_type.encode()])
        headers.setRawHeaders(b"petrelway-executor", [answer.executor.encode()])
        headers.setRawHeaders(b"petrelway-warmth", [answer.warmth.label.encode()])
        body = answer.body
    else:
        headers.setRawHeaders(b"content-type", [b"application/problem+json"])
        if answer.completion is Completion.REJECTED:
            set_retry_after(request, answer.retry_ms)
        body = DOCUMENTS[answer.completion]
    headers.setRawHeaders(b"content-length", [b"%d" % len(body)])
    request.write(body)
    request.finish()


def reject_before_acceptance(request: server.Request, retry_ms: float) -> bytes:
    """Set status and headers for rejecting a request that was never accepted; return the body."""
    request.setResponseCode(503)
    request.setHeader(b"petrelway-outcome", Completion.REJECTED.encode())
    request.setHeader(b"petrelway-taken", b"no")
    request.setHeader(b"content-type", b"application/problem+json")
    set_retry_after(request, retry_ms)
    return REJECTED_DOCUMENT


def refuse(request: server.Request, status: int, where: str, found: str, allowed: str) -> bytes:
    """Set status and headers for refusing an invalid request; return the body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/problem+json")
    return problem_document(status, where, found, allowed)


def set_retry_after(request: server.Request, retry_ms: float) -> None:
    """Set the retry time headers: whole seconds as in HTTP, and exact milliseconds; 0 sets none."""
    if retry_ms > 0.0:
        headers = request.responseHeaders
        headers.setRawHeaders(b"retry-after", [b"%d" % math.ceil(retry_ms / 1e3)])
        headers.setRawHeaders(b"petrelway-retry-ms", [b"%.0f" % math.ceil(retry_ms)])
