"""An incident: new work went to draining executors for as long as discovery was out of reach.

Seen: during an outage of discovery longer than the pages' clock for silence, front ends went on sending to
executors that had begun to drain just after the outage began, past the time at which that counts as told and
the grace after it; the executors turned the work away. How it came about: the last endpoint list stayed in
force without an end, and nothing that an executor answered weighed against it. Cause: a belief (this executor
is ready) whose source had gone silent was used without a term. Proved by: the same sends with a bus that
refuses, and with one that stays open and says nothing, and none where an outage is shorter than the clock.
"""

import itertools
import json
import signal
import threading
import time

import pytest
from nodes import Node, until

from petrelway.fakes.platform_peers import Executor, request

GRACE_S = 0.5
NOTIFIED_AFTER_S = 4.0  # what a silent or lost bus would have told counts as told then, at the latest
SLACK_S = 0.25  # the rule's own 50 ms, and what the stand-ins' threads may read late
SERVED_SHARE = 0.9  # in the outage, on executors that are still good
SHEDDING_S = 0.5  # after a pause of several seconds new requests are shed for so long, by its lag
INTERVAL_S = 0.02
WATCHED_S = 3.0


class SteadyClient:
    """Sends a request each INTERVAL_S on one connection and keeps when and how each was answered."""

    def __init__(self, address_client, ttl_ms=1500):
        self.client = address_client
        self.ttl_ms = ttl_ms
        self.sent_s = {}
        self.served_s = {}
        self.refused = {}
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=run, daemon=True) for run in (self._send, self._hear)]
        for thread in self.threads:
            thread.start()

    def _send(self):
        for number in itertools.count(1):
            if self.stopping.wait(INTERVAL_S):
                return
            self.sent_s[number] = time.monotonic()
            self.client.say(request(number, call=f"{number:016x}", ttl=self.ttl_ms, body=b"abc"))

    def _hear(self):
        while line := self.client.hear_or_closed():
            if "result" in line:
                self.served_s[line["id"]] = time.monotonic()
            else:
                self.refused[line["id"]] = line["error"]

    def stop(self):
        """Send no more; return once all that was sent is answered."""
        self.stopping.set()
        self.threads[0].join()
        until(lambda: len(self.served_s) + len(self.refused) >= len(self.sent_s))

    def served_share(self, since_s):
        """The share served of what was sent from then on."""
        sent = [number for number, at in self.sent_s.items() if at >= since_s]
        return sum(number in self.served_s for number in sent) / len(sent)


@pytest.fixture
def rig(tmp_path):
    started = []

    def start(executors=6, **changes):
        executors = [Executor(work_ms=2.0) for _ in range(executors)]
        numbers = range(1, len(executors) + 1)
        node = Node(tmp_path, executors, known=numbers, invariants={"stopSendingWithinS": GRACE_S}, **changes)
        client = SteadyClient(node.client())
        started.append((node, client))
        until(lambda: len(client.served_s) > 50)
        return node, client

    yield start
    for node, client in started:
        client.stopping.set()
        node.close()
        for thread in client.threads:
            thread.join()


def lose(bus, how):
    """Discovery is out of reach from now on."""
    if how == "silent":
        bus.silent = True
    else:
        bus.close()
    return time.monotonic()


def late_requests(executor, limit_s):
    return sum(at > limit_s for at in executor.request_arrivals_s())


@pytest.mark.parametrize("how", ["refused", "silent"])
def test_no_new_work_goes_to_executors_that_drain_while_discovery_is_out_of_reach(rig, how):
    node, client = rig()
    lost_s = lose(node.bus, how)
    time.sleep(0.3)
    draining = node.executors[:2]
    for executor in draining:
        executor.draining = True
    limit_s = lost_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    time.sleep(limit_s + WATCHED_S - time.monotonic())
    client.stop()
    assert [late_requests(executor, limit_s) for executor in draining] == [0, 0]
    assert client.served_share(limit_s) >= SERVED_SHARE
    assert all(json.dumps(error) and error["code"] == -32014 for error in client.refused.values())


def test_an_outage_that_began_before_the_start_gives_no_longer_term(tmp_path):
    """What drains then counts as notified at once, and nobody has told this front end for how long."""
    executors = [Executor(work_ms=2.0) for _ in range(4)]
    numbers = range(1, len(executors) + 1)
    node = Node(tmp_path, executors, known=numbers, invariants={"stopSendingWithinS": GRACE_S}, bus_up=False)
    try:
        executors[0].draining = True
        drained_s = time.monotonic()
        client = SteadyClient(node.client())
        time.sleep(GRACE_S + SLACK_S + 2.0)
        client.stop()
        assert late_requests(executors[0], drained_s + GRACE_S + SLACK_S) == 0
        assert client.served_share(drained_s) >= SERVED_SHARE
    finally:
        node.close()


def test_a_process_that_was_paused_across_the_limit_sends_nothing_on_its_old_belief(rig):
    node, client = rig()
    lost_s = lose(node.bus, "silent")
    node.stopped()
    draining = node.executors[:3]
    for executor in draining:
        executor.draining = True
    limit_s = lost_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    time.sleep(limit_s - time.monotonic())
    node.signal(signal.SIGCONT)
    time.sleep(1.0)
    client.stop()
    assert [late_requests(executor, limit_s) for executor in draining] == [0, 0, 0]
    assert client.served_share(limit_s + SHEDDING_S) >= SERVED_SHARE


def test_where_probes_are_forbidden_answers_keep_the_service_up(rig):
    node, client = rig(limits={"probes": False})
    lost_s = lose(node.bus, "refused")
    limit_s = lost_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    time.sleep(NOTIFIED_AFTER_S)
    node.executors[0].draining = True
    time.sleep(limit_s + 1.0 - time.monotonic())
    client.stop()
    assert sum(executor.probes() for executor in node.executors) == 0
    assert late_requests(node.executors[0], limit_s + GRACE_S) == 0
    assert client.served_share(limit_s) >= SERVED_SHARE


def test_where_probes_are_forbidden_the_executor_in_use_may_drain_again_and_again(rig):
    """All work went to one executor, and when it drained all was rejected until discovery was back."""
    node, client = rig(limits={"probes": False})
    lost_s = lose(node.bus, "refused")
    limit_s = lost_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    time.sleep(limit_s - time.monotonic())
    drained_s = {}
    for _ in range(len(node.executors) - 1):
        latest = max(node.executors, key=lambda executor: max(executor.request_arrivals_s(), default=0.0))
        latest.draining = True
        drained_s[latest] = time.monotonic()
        time.sleep(2 * GRACE_S)
    client.stop()
    assert len(drained_s) == len(node.executors) - 1
    assert [late_requests(each, at + GRACE_S + SLACK_S) for each, at in drained_s.items()] == [0] * len(
        drained_s
    )
    assert client.served_share(limit_s) >= SERVED_SHARE


def test_no_executor_is_probed_while_discovery_is_well(rig):
    node, client = rig()
    time.sleep(1.5)
    client.stop()
    assert sum(executor.probes() for executor in node.executors) == 0
