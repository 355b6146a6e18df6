"""What is left of clients and executors that have gone: unread requests, ids, addresses (issue 70)."""

import signal
import time

import pytest
from nodes import Client, node, until
from test_client_connections import Rig

from petrelway.fakes.platform_peers import CALL, Executor, Holder, record, request
from petrelway.gateway.answers import Answer, Completion
from petrelway.node.client_connection import LINES_PER_TURN

PAUSE_S = 0.3  # longer than a client that has gone may still cost an attempt

# -- clients that have gone


@pytest.mark.parametrize("method", ["safe", "once"])
def test_requests_of_a_client_that_closed_behind_them_are_not_sent(tmp_path, method):
    """Read after a pause of the process, they were sent although their client had left long before."""
    executor = Executor()
    with node(tmp_path, [executor]) as front_end:
        client = front_end.client()
        front_end.stopped()
        client.say(b"".join(request(n, method, call=f"{n:016x}") for n in range(1, 31)))
        client.file.close()
        client.sock.close()
        time.sleep(PAUSE_S)
        front_end.signal(signal.SIGCONT)
        other = front_end.client()
        other.say(request(1, call=f"{99:016x}"))
        assert "result" in other.hear()
        assert executor.requests() == [f"{99:016x}"]


@pytest.mark.parametrize("method", ["safe", "keyed", "once"])
@pytest.mark.parametrize("cancels", [True, False])
def test_an_id_that_comes_again_after_its_client_left_is_not_sent_again(tmp_path, method, cancels):
    """The front end had forgotten the id with its client, and the same request ran twice."""
    holder = Holder()
    with node(tmp_path, [holder], limits={"cancel": cancels}) as front_end:
        first = front_end.client()
        first.say(request(1, method))
        until(lambda: len(holder.requests()) == 1)
        first.file.close()
        first.sock.close()
        time.sleep(PAUSE_S)
        second = front_end.client()
        second.say(request(1, method))
        assert "error" in second.hear()
        assert len(holder.requests()) == 1


def test_an_id_that_comes_again_after_its_answer_is_not_sent_again(tmp_path):
    """A one-shot request ran twice."""
    executor = Executor()
    with node(tmp_path, [executor]) as front_end:
        client = front_end.client()
        client.say(request(1, "once"))
        assert "result" in client.hear()
        second = front_end.client()
        second.say(request(1, "once"))
        assert "error" in second.hear()
        assert len(executor.requests()) == 1


# -- an address that changes hands


@pytest.mark.parametrize("whole", [True, False], ids=["whole list", "a change"])
def test_a_new_executor_keeps_its_address_when_the_old_one_is_named_again(tmp_path, whole):
    """The old one, draining and listed last, took the address back: the new one got nothing."""
    old = Executor()
    with node(tmp_path, [old]) as front_end:
        port = old.port
        old.close()
        new = Executor(port=port)
        try:
            ready = record(2, port, started=int(time.time() * 1000))
            draining = record(1, port, state=1)
            if whole:
                front_end.bus.tell(ready, draining, kind=1)
            else:
                front_end.bus.tell(ready)
                front_end.bus.tell(draining)
            client = Client(front_end.address)

            def served():
                served.calls += 1
                client.say(request(served.calls, call=f"{served.calls:016x}"))
                return "result" in client.hear()

            served.calls = 0
            until(served)
            assert new.requests()
        finally:
            new.close()


# -- in memory, in the order that is worst


def closed_pipe(connection):
    """The transport of a client whose close lies behind what it wrote."""
    connection.transport.peer_has_closed = lambda: True


@pytest.mark.parametrize("turns_before", [0, 1])
def test_lines_behind_which_the_client_closed_are_not_read_in_any_turn(turns_before):
    """A close noticed a turn late let eight more requests begin."""
    rig = Rig()
    client, pipe = rig.client()
    data = b"".join(request(n, call=f"{n:016x}") for n in range(1, 31))
    if not turns_before:
        closed_pipe(client)
    client.dataReceived(data)
    closed_pipe(client)
    rig.turns()
    assert len(rig.submitted) == len(rig.cancelled) == turns_before * LINES_PER_TURN
    assert pipe.aborted and not client.answers and not rig.listener.open_requests


def test_ids_that_were_never_sent_may_come_again():
    """A request that was turned away had no effect, and its id is no danger."""
    rig = Rig()
    client, _ = rig.client()
    client.dataReceived(request(1, call=CALL))
    rig.submitted[0][1].callback(Answer(Completion.REJECTED, 100.0))
    client.dataReceived(request(2, call=CALL))
    rig.submitted[1][1].was_sent = True
    rig.submitted[1][1].callback(Answer(Completion.FAILED))
    client.dataReceived(request(3, call=CALL))
    assert len(rig.submitted) == 2 and rig.listener.counts["ids sent before"] == 1
