"""Which attempt of its own a scenario's client makes, as a parameter of the content type.

Records relate what a client sent to what an executor received by it. It can't be in the body: a repeat of a
keyed request has the same body as the first attempt.
"""

from __future__ import annotations

MEDIA_TYPE = "application/json"
PARAMETER = "; try="


def content_type(attempt: int) -> str:
    """Return the content type of a client's attempt.

    >>> content_type(2)
    'application/json; try=2'
    """
    return f"{MEDIA_TYPE}{PARAMETER}{attempt}"


def attempt_number(content_type: str) -> int:
    """Return the number of the attempt, 0 where the content type does not say it.

    >>> attempt_number("application/json; try=2"), attempt_number("text/plain"), attempt_number("a; try=x")
    (2, 0, 0)
    """
    number = content_type.partition(PARAMETER)[2]
    return int(number) if number.isdecimal() else 0
