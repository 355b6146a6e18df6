"""A second copy of an answer, late: the real process, and an executor that sends it on loopback."""

import signal

import pytest
from nodes import WAIT_S, Client, serving, spare, start, until

from petrelway.fakes.platform_peers import Bus, Executor, answer, configuration, request

ROUNDS = 6
COPY_LATE_MS = 12.0
MISS = 102


class Copying(Executor):
    """Answers a miss the first time. When the request comes again, it runs, but before that a second copy of
    the miss goes out on the connection of the first attempt.
    """

    def __init__(self):
        self.first = {}  # connection of the first attempt, by id
        self.runs = []
        super().__init__(COPY_LATE_MS)

    def requested(self, wire, id, body):
        if id not in self.first:
            self.first[id] = wire
            wire.sendall(answer(MISS, id))
            return
        self.first[id].sendall(answer(MISS, id))
        self.runs.append(id)
        super().requested(wire, id, body)


@pytest.mark.parametrize("method", ["safe", "keyed", "once"])
def test_a_second_copy_of_an_answer_does_not_end_the_next_attempt(tmp_path, method):
    """Guard against a request that runs twice, as a surplus answer passes for "it never ran"."""
    executor, bus = Copying(), Bus()
    address, path = spare(), tmp_path / "config.json"
    path.write_bytes(configuration(address, bus.address, ((1, executor.port),)))
    process = start(path)
    try:
        until(lambda: serving(address))
        client = Client(address)
        for number in range(1, ROUNDS + 1):
            client.say(request(number, method, call=f"{number:016x}", body=b"abc", ttl=3000))
            assert client.hear() == {"jsonrpc": "2.0", "id": number, "result": {"bytes": "Y2Jh"}}
        assert executor.runs == [number.to_bytes(8, "big") for number in range(1, ROUNDS + 1)]
        assert process.poll() is None
    finally:
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=WAIT_S)
        executor.close()
        bus.close()
