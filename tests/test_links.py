"""What the end of a attempt proves: each outcome, on connections in memory."""

import random

from doubles import Heard, Log, Net, clock, lost

from petrelway.gateway.attempt_ledger import AttemptLedger
from petrelway.gateway.channel_base import BUFFER_BYTES, CLOGGED_MS
from petrelway.gateway.executor_channel import GREETING_TIMEOUT_MS, WAITING_BOUND, ExecutorChannel
from petrelway.routing.types import NEVER_RAN, Outcome
from petrelway.wire import codec
from petrelway.wire.framing import frame


class Ears:
    def __init__(self):
        self.ends, self.load_requests, self.probes = [], [], []

    def attempt_ended(self, executor, key, outcome, warmth, crowd, load, content_type, body):
        self.ends.append((key, outcome))

    def left_ms(self, key):
        return 900.0

    def load_request_answered(self, executor, order, outcome, replicas):
        self.load_requests.append((order, outcome, replicas))

    def probe_answered(self, executor, probe, outcome, load):
        self.probes.append((probe, outcome))


class Rig:
    def __init__(self):
        self.clock, self.net, self.ears, self.log = clock(), Net(), Ears(), Log()
        self.link = ExecutorChannel(
            0,
            "e0",
            "127.0.0.1",
            7000,
            "front",
            "p",
            self.clock,
            self.net.connect,
            random.Random(3),
            self.ears,
            self.log,
        )

    def up(self, room=None, name="e0"):
        self.wire, self.pipe = self.net.accept(room)
        self.heard = Heard(self.pipe)
        self.say(codec.welcome(name, "q", "quad", 0.0))
        return self

    def say(self, data):
        self.wire.dataReceived(data)

    def send(self, serial, number=0):
        self.link.send((serial, number), "m", "f", 1.0, 1, "t", "c", 9.0, 0.0, "", b"")

    def cut(self):
        self.wire.connectionLost(lost())


def ended(serial, outcome, number=0):
    return codec.ended(serial, number, outcome, 0, 0, codec.Load(), "", b"")


def test_each_outcome():
    def refused(rig):
        rig.send(1)
        rig.net.refuse()

    def broken_before_the_welcome(rig):
        rig.wire, rig.pipe = rig.net.accept()
        rig.send(1)
        rig.cut()

    def broken_after_the_hand_over(rig):
        rig.up().send(1)
        rig.cut()

    def between_two_tries(rig):
        rig.net.refuse()
        rig.send(1)

    def told(outcome):
        def play(rig):
            rig.up().send(1)
            rig.say(ended(1, outcome))

        return play

    def after_closing(rig):
        rig.up().link.close()
        rig.send(1)

    def queued_behind_a_full_buffer(rig):
        rig.up(room=40).send(1)
        rig.ears.ends.clear()
        rig.send(2)
        rig.cut()
        assert rig.ears.ends.pop(0) == ((1, 0), Outcome.RESET)  # its bytes were handed over

    def garbage(rig):
        rig.up().send(1)
        rig.say(frame(b"\xff\xff"))
        assert rig.pipe.aborted
        rig.cut()

    table = [
        (refused, Outcome.UNREACHABLE),
        (broken_before_the_welcome, Outcome.UNREACHABLE),
        (between_two_tries, Outcome.UNREACHABLE),
        (queued_behind_a_full_buffer, Outcome.UNREACHABLE),
        (after_closing, Outcome.UNSENT),
        (broken_after_the_hand_over, Outcome.RESET),
        (garbage, Outcome.RESET),
        (told(0), Outcome.SUCCEEDED),
        (told(1), Outcome.ERROR),
        (told(2), Outcome.FULL),
        (told(8), Outcome.MISS),
        (told(6), Outcome.CANCELLED),
    ]
    for play, expected in table:
        rig = Rig()
        play(rig)
        assert [outcome for _, outcome in rig.ears.ends] == [expected], (play.__name__, rig.ears.ends)


def test_withdrawal_and_time_out():
    rig = Rig()
    rig.send(1)
    assert rig.link.cancel_attempt((1, 0)) is Outcome.UNSENT  # it waited here: no byte of it left
    rig.up()
    assert rig.heard.pull() == [("greeted", "front")]
    rig.send(2)
    assert rig.link.cancel_attempt((2, 0)) is Outcome.CANCELLED
    rig.send(3)
    assert rig.link.cancel_attempt((3, 0), Outcome.TIMEOUT) is Outcome.TIMEOUT
    assert rig.heard.pull()[-1] == ("cancelled", 3, 0)
    rig.say(ended(3, 0))  # too late: nobody hears of it twice
    assert rig.ears.ends == [] and rig.link.cancel_attempt((3, 0)) is None


def test_bounds_and_back_pressure():
    rig = Rig()
    for serial in range(WAITING_BOUND + 1):
        rig.send(serial)
    assert rig.ears.ends == [((WAITING_BOUND, 0), Outcome.UNSENT)]
    rig.up(room=200)
    handed = len(rig.link.ledger.handed)
    assert 0 < handed < WAITING_BOUND and rig.pipe.bufferSize == BUFFER_BYTES
    rig.pipe.room = None
    rig.wire.resumeProducing()
    assert len(rig.link.ledger.handed) == WAITING_BOUND
    rig = Rig().up(room=10)
    rig.send(1)
    rig.clock.advance(CLOGGED_MS / 1e3)  # an executor that accepts and never reads
    assert rig.pipe.aborted


def test_who_answers():
    rig = Rig().up(name="another")  # danger: a port used anew by another executor
    assert rig.pipe.aborted
    rig.cut()
    assert rig.log.events() == ["executor channel down"]
    rig = Rig()
    rig.net.accept()
    rig.send(1)
    rig.clock.advance(GREETING_TIMEOUT_MS / 1e3)  # accepted, and says nothing
    rig.link.connection.connectionLost(lost())
    assert rig.ears.ends == [((1, 0), Outcome.UNREACHABLE)]
    assert rig.log.lines[0][1]["reason"] == "no welcome"


def test_one_line_for_an_outage_and_back_off():
    rig, waits = Rig(), []
    for _ in range(6):
        rig.net.refuse()
        began = rig.clock.seconds()
        while not rig.net.dialled:
            rig.clock.advance(0.005)
        waits.append(rig.clock.seconds() - began)
    rig.up()
    assert rig.log.events() == ["executor channel down", "executor channel up"]
    assert waits[0] <= 0.06 and max(waits) <= 1.01 and waits[4] > 4 * waits[0]


def test_orders_end_once():
    rig = Rig()
    assert rig.link.request_load(1, "f", 1, 1.0, 1) is Outcome.UNREACHABLE
    rig.up()
    for id in (2, 3):
        assert rig.link.request_load(id, "f", 1, 1.0, 1) is None
    assert rig.link.probe(4) is None
    rig.say(
        codec.stood(2, 0, 1) + codec.stood(2, 0, 1) + codec.stood(4, 0, 1)
    )  # 4 is a probe: no answer to it
    rig.cut()
    assert rig.ears.load_requests == [(2, Outcome.SUCCEEDED, 1), (3, Outcome.RESET, 0)]


def test_a_later_process_behind_a_half_open_link():
    rig = Rig().up()
    rig.send(1)
    rig.link.restarted(5_000.0, 5_000.0)
    assert rig.pipe.aborted
    rig.cut()
    assert rig.ears.ends == [((1, 0), Outcome.RESET)]


def test_ledger_never_claims_too_much():
    """Any order of events: a key ends once, and as never run only if it was not handed over."""
    random_source = random.Random(5)
    for _ in range(300):
        ledger, handed, ends = AttemptLedger(5), set(), []
        keys = [(i, 0) for i in range(12)]
        taken = set()
        for _ in range(40):
            key, what = random_source.choice(keys), random_source.randrange(5)
            if what == 0 and key not in taken:
                taken.add(key)
                if not ledger.wait(key):
                    ends.append((key, Outcome.UNSENT))
            elif what == 1:
                handed.add(ledger.hand_over())
            elif what == 2 and ledger.ended(key):
                ends.append((key, Outcome.SUCCEEDED))
            elif what == 3 and (end := ledger.abandon(key, Outcome.TIMEOUT)):
                ends.append((key, end[1]))
            elif what == 4 and random_source.random() < 0.2:
                ends += ledger.end_all()
        ends += ledger.end_all()
        assert sorted(key for key, _ in ends) == sorted(taken)
        assert all(outcome not in NEVER_RAN or key not in handed for key, outcome in ends)
