"""A connection that the program closes: what is open on it is settled first, on the real program."""

import pytest
from nodes import node, until

from petrelway.standin.platform import Holder, request

A, B = (f"{n:016x}" for n in (1, 2))
INTERRUPT = b'{"jsonrpc":"2.0","method":"interrupt","params":{}}\n'
BAD_LINES = {
    "not JSON": b"nonsense\n",
    "200,000 bytes": b"x" * 200_000,
    "a used id": request(1, call=B),
    "its own call again": request(2, call=A),
    "40 bad ones": b"".join(request(n, call="zz") for n in range(2, 42)),
    "a bad id": request(0, call=B),
    "a batch": b"[" + request(2, call=B).strip() + b"]\n",
    "a NUL": b"\0\n",
    "invalid UTF-8": b'{"jsonrpc":"2.0","id":2,"method":"\xff\xfe"}\n',
    "an interrupt that names nothing": INTERRUPT,
    "an empty line": b"\n",
    "half a line": b'{"jsonrpc":"2.0","id":2,',
}


@pytest.mark.parametrize("kind", BAD_LINES)
def test_a_request_that_is_open_gets_its_answer_whatever_its_client_says_next(tmp_path, kind):
    """Danger: one more line on the connection closed it, and the open request got no answer at all."""
    holder = Holder()
    with node(tmp_path, [holder]) as n:
        client = n.client()
        client.say(request(1, call=A, ttl=3500))
        until(lambda: bytes.fromhex(A) in holder.held)
        client.say(BAD_LINES[kind])
        answers = []
        while (heard := client.hear_or_closed()) is not None:
            if heard["id"] == 1:
                answers.append(heard)
                break
        assert len(answers) == 1
