"""The door in memory: usual clients, bad ones, and what one does to the other."""

import json

from doubles import Log, Pipe, clock, lost

from petrelway.fakes.platform_peers import CALL, request
from petrelway.gateway.answers import Answer, Completion
from petrelway.gateway.pending_requests import PendingAnswer
from petrelway.node import client_listener as doors
from petrelway.node import connection_state as connections
from petrelway.node.client_listener import Door
from petrelway.node.connection_state import CloseReason
from petrelway.platform import client_codec as lines

ASKS = lines.Asks([("safe", 4000.0, False), ("keyed", 4000.0, True)], ["acme", "bolt"])


class Rig:
    def __init__(self, bound=100):
        self.clock, self.log = clock(), Log()
        self.taken, self.gone, self.given_up, self.retry = [], [], [], None
        self.well = True
        self.door = Door(
            ASKS,
            self.take,
            lambda tenant: self.retry,
            lambda: self.well,
            self.clock,
            self.log,
            bound,
            200.0,
        )

    def take(self, passed, request_class, tenant, remaining, work, memory, lanes, load):
        def abandon():  # the host answers in its next turn
            self.given_up.append(passed.call)
            self.clock.callLater(0, answer.callback, Answer(Completion.FAILED))

        answer = PendingAnswer(lambda _: self.gone.append(passed.call), abandon)
        self.taken.append((passed, answer))
        return answer

    def client(self):
        caller, pipe = self.door.buildProtocol(None), Pipe()
        caller.makeConnection(pipe)
        return caller, pipe

    def step(self, ms):
        for _ in range(int(ms / 10)):
            self.clock.advance(0.01)

    def turns(self):
        while any(c.again for c in self.door.callers):
            self.clock.advance(0)


def said(pipe):
    return [json.loads(line) for line in pipe.take().splitlines()]


def call(i):
    return f"{i:016x}"


def test_each_answer_goes_out_at_once_in_any_order():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(b"".join(request(i, call=call(i)) for i in (1, 2, 3)))
    answers = (
        (1, Answer(Completion.REJECTED, 120.0)),
        (0, Answer(Completion.SUCCEEDED, body=b"ok")),
        (2, Answer(Completion.FAILED)),
    )
    for i, answer in answers:
        rig.taken[i][1].callback(answer)
    rejected, succeeded, broken = said(pipe)
    assert rejected == {
        "jsonrpc": "2.0",
        "id": 2,
        "error": {"code": -32014, "message": "nacked", "data": {"pushback": 120}},
    }
    assert succeeded == {"jsonrpc": "2.0", "id": 1, "result": {"bytes": "b2s="}}
    assert broken["id"] == 3 and broken["error"]["code"] != -32014
    assert not client.state.open and not rig.door.calls


def test_check_says_whether_it_serves():
    rig = Rig()
    client, pipe = rig.client()
    for rig.well in (True, False):
        client.dataReceived(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
    assert [s["result"]["serving"] for s in said(pipe)] == [True, False]


def test_taken_back_or_gone_no_answer_is_written():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call=call(2)))
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(1).encode())
    assert rig.gone == [bytes.fromhex(call(1))] and pipe.take() == b""
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(9).encode())
    client.connectionLost(lost())
    assert len(rig.gone) == 2 and pipe.take() == b"" and not rig.door.calls and not rig.door.callers


def test_a_wrong_request_gets_an_error_and_the_others_go_on():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call="xyz") + request(3, "nobody"))
    assert [(s["id"], s["error"]["code"]) for s in said(pipe)] == [
        (2, lines.BAD_PARAMS),
        (3, lines.NO_METHOD),
    ]
    assert len(rig.taken) == 1 and not pipe.closed
    for i in range(connections.FAULTS_BOUND):  # one that keeps on is closed
        client.dataReceived(request(10 + i, call="xyz"))
        rig.turns()
    rig.clock.advance(0)
    assert pipe.closed and rig.given_up == [bytes.fromhex(call(1))] and not rig.gone
    assert said(pipe)[-1] == {
        "jsonrpc": "2.0",
        "id": 1,
        "error": {"code": lines.FAILED, "message": "broken off"},
    }


def test_what_cannot_be_told_apart_closes_the_connection():
    table = [
        b"nonsense\n",
        b"x" * (lines.LINE_BOUND + 1),
        request(1, call=call(1)) + request(1, call=call(2)),  # two requests under one number ...
        request(1, call=call(1)) + request(1, call="xyz"),  # ... of which the second can't be taken anyway
        request(1, call=call(1)) + request(2, call=call(1), body=b"other"),  # an open id, another body
    ]
    for data in table:
        rig = Rig()
        client, pipe = rig.client()
        client.dataReceived(data)
        (heard,) = said(pipe)
        assert heard["error"] and heard["id"] in (None, 2), data[:60]  # never as 1's answer
        assert not pipe.closed or not rig.taken  # what is open is answered first
        rig.clock.advance(0)
        assert [h["id"] for h in said(pipe)] == [1] * len(rig.taken)  # its one answer: given up, not served
        assert pipe.closed and len(rig.given_up) == len(rig.taken) and not client.state.open
        client.dataReceived(b"x" * 1000)  # what follows is dropped, and its close still heard
        assert not pipe.aborted and len(client.lines.held) <= len(data)
        client.dataReceived(b"x" * 10_000_000)  # 60 MB may follow: nothing is collected
        assert pipe.aborted and len(client.lines.held) <= len(data)


def test_one_that_was_ended_for_a_fault_and_does_not_go_is_aborted():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(b"nonsense\n")
    rig.step(doors.ABORT_MS - 50)
    assert pipe.closed and not pipe.aborted
    rig.step(100)
    assert pipe.aborted


def test_a_client_that_leaves_while_its_connection_is_settled_is_gone():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + b"nonsense\n")
    client.connectionLost(lost())
    assert rig.gone == [bytes.fromhex(call(1))] and not rig.door.calls and not rig.door.callers


def test_an_empty_line_is_no_message():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + b"\n\r\n\n" + request(2, call=call(2)))
    assert len(rig.taken) == 2 and pipe.take() == b"" and not client.state.faults
    newlines, pipe = rig.client()
    for _ in range(30):  # nor a word: one that says nothing else is closed as silent
        newlines.dataReceived(b"\n" * 100)
        rig.step(100)
    assert pipe.closed and rig.door.counts[CloseReason.SILENT] == 1


def test_an_interrupt_that_names_nothing_is_an_error_and_no_end():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)))
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{}}\n')
    (heard,) = said(pipe)
    assert heard["id"] is None and heard["error"]["code"] == lines.BAD_PARAMS
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(9).encode())
    assert not pipe.closed and not rig.gone and pipe.take() == b""
    rig.taken[0][1].callback(Answer(Completion.SUCCEEDED, body=b"ok"))
    assert said(pipe)[0]["id"] == 1


def test_somebody_elses_open_id_does_not_touch_them():
    rig = Rig()
    usual, pipe = rig.client()
    usual.dataReceived(request(1, call=CALL))
    bad, bad_pipe = rig.client()
    bad.dataReceived(request(1, call=CALL, body=b"other"))
    assert said(bad_pipe)[0]["error"]["code"] == lines.BAD_PARAMS and not rig.gone and not bad_pipe.closed
    third, _ = rig.client()
    third.dataReceived(request(1, call=call(2)))
    third.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % CALL.encode())
    assert not rig.gone  # neither theirs nor its own under the same number
    bad.connectionLost(lost())
    rig.taken[0][1].callback(Answer(Completion.SUCCEEDED, body=b"ok"))
    assert said(pipe)[0]["result"] == {"bytes": "b2s="}


def test_a_number_is_good_once_without_a_memory_that_grows():
    rig = Rig()
    client, pipe = rig.client()
    for i in range(1, 3001):
        client.dataReceived(request(i, call=call(i)))
        rig.turns()
        rig.taken.pop()[1].callback(Answer(Completion.SUCCEEDED))
    assert not client.state.used.above and not pipe.closed
    client.dataReceived(request(17, call=call(9999)))
    assert pipe.closed
    used = connections.UsedNumbers(100)
    for number in range(1, 100_000, 7):
        assert used.enter(number)
    assert len(used.above) <= 101 and not used.enter(8)


def test_a_flood_of_one_connection_takes_turns_with_the_others():
    rig = Rig()
    rude, rude_pipe = rig.client()
    rude.dataReceived(b"".join(request(i, call=call(i)) for i in range(1, 301)))
    assert len(rig.taken) == doors.LINES_A_TURN and not rude_pipe.reading
    usual, _ = rig.client()
    usual.dataReceived(request(1, call=CALL))
    assert rig.taken[-1][0].call.hex() == CALL  # served before the rest of the flood is read
    rig.turns()
    rig.clock.advance(0)
    bound = connections.OPEN_BOUND
    assert len(rig.taken) == 1 + bound and len(rig.given_up) == bound and not rig.gone
    answered = [heard["id"] for heard in said(rude_pipe)]
    assert sorted(answered)[: bound + connections.FAULTS_BOUND] == list(
        range(1, bound + connections.FAULTS_BOUND + 1)
    )
    assert rude_pipe.closed and len(usual.state.open) == 1


def test_silent_half_and_idle_connections_are_closed():
    rig = Rig()
    silent, half, idle, at_work, stuck = (rig.client() for _ in range(5))
    half[0].dataReceived(request(1)[:-1])
    for client, number in ((idle, 1), (at_work, 2), (stuck, 3)):
        client[0].dataReceived(request(1, call=call(number)))
    stuck[0].dataReceived(b"{")
    rig.taken[0][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(connections.SILENT_MS + doors.SWEEP_MS + 50)
    assert [c[1].closed for c in (silent, half, stuck, idle, at_work)] == [True, True, False, False, False]
    assert connections.SILENT_MS + doors.SWEEP_MS + doors.LOOK_AGAIN_MS < 3000.0
    rig.step(connections.IDLE_MS)
    assert idle[1].closed and not at_work[1].closed and not stuck[1].closed  # not with a request open there
    rig.taken[2][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(connections.SILENT_MS + doors.SWEEP_MS + 50)
    assert stuck[1].closed and rig.door.counts[CloseReason.HALF_LINE] == 2


def test_the_longest_silent_go_when_room_is_short():
    rig = Rig(bound=16)
    first = rig.client()
    first[0].dataReceived(request(1))
    silent = [rig.client() for _ in range(13)]
    rig.step(200)
    for gone in (1, 2):  # into the part that is kept free: as many of the others go
        rig.client()
        rig.step(10)
        assert [pipe.closed for _, pipe in silent] == [True] * gone + [False] * (13 - gone)
        silent[gone - 1][0].connectionLost(lost())
    while rig.door.has_room():  # many at once: nobody is accepted past the bound
        rig.client()
    assert len(rig.door.callers) == 16
    rig.step(10)
    assert sum(pipe.closed for _, pipe in silent) == 4 and not first[1].closed


def test_of_the_idle_those_that_never_spoke_go_first():
    rig = Rig(bound=8)
    spoke = [rig.client() for _ in range(3)]
    for number, (client, _) in enumerate(spoke, 1):
        client.dataReceived(request(1, call=call(number)))
        rig.taken[-1][1].callback(Answer(Completion.SUCCEEDED))
    rig.step(100)
    silent = [rig.client() for _ in range(2)]
    rig.step(200)
    rig.door.make_room()  # the system is short: some go whatever the bound says
    rig.door.room_wanted = 3
    rig.step(10)
    assert all(pipe.closed for _, pipe in silent)
    assert [pipe.closed for _, pipe in spoke] == [True, False, False]


def test_nobody_is_put_out_with_a_request_unread_or_open():
    """Danger: the newest connection was closed for want of room while its first request lay unread."""
    rig = Rig(bound=3)
    busy = [rig.client() for _ in range(2)]
    for number, (client, _) in enumerate(busy, 1):
        client.dataReceived(request(1, call=call(number)))
    asking, pipe = rig.client()
    rig.step(200)
    pipe.doRead = lambda: asking.dataReceived(request(1, call=call(9)))  # it lies there unread
    rig.door.make_room()
    rig.step(50)
    pipe.doRead = lambda: None
    rig.door.make_room()
    rig.step(50)
    assert not pipe.closed and not any(p.closed for _, p in busy) and len(rig.taken) == 3


def test_half_a_request_is_not_put_out_for_want_of_room():
    rig = Rig(bound=1)
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1))[:40])
    rig.step(200)
    rig.door.make_room()
    rig.step(50)
    assert not pipe.closed
    client.dataReceived(request(1, call=call(1))[40:])
    assert len(rig.taken) == 1


def test_one_that_does_not_read_its_answers_is_closed():
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1))
    client.pauseProducing()
    rig.step(connections.UNREAD_MS + 300)
    assert pipe.closed and rig.given_up and not rig.gone
    assert [heard["id"] for heard in said(pipe)] == [1]


def test_one_that_does_not_read_its_answers_is_heard_all_the_same():
    """Danger: its close and its `interrupt` would lie unread, and further attempts begin for nobody."""
    rig = Rig()
    client, pipe = rig.client()
    client.dataReceived(request(1, call=call(1)) + request(2, call=call(2)))
    client.pauseProducing()
    assert pipe.reading
    client.dataReceived(b'{"jsonrpc":"2.0","method":"interrupt","params":{"call":"%s"}}\n' % call(1).encode())
    assert rig.gone == [bytes.fromhex(call(1))]
    # no further work is done for it meanwhile, and its answers do not pile up without end
    client.dataReceived(request(3, call=call(3)))
    assert len(rig.taken) == 2
    assert said(pipe)[-1]["error"] == {"code": lines.REJECTED, "message": "nacked", "data": {"pushback": 200}}
    for number in range(connections.UNREAD_LINES_BOUND - 1):  # two came before
        assert not pipe.closed
        client.dataReceived(b'{"jsonrpc":"2.0","id":%d,"method":"check"}\n' % (number + 4))
    rig.clock.advance(0)
    assert pipe.closed and len(rig.gone) == 1 and len(rig.given_up) == 1
    assert rig.door.counts[CloseReason.ANSWERS_UNREAD] == 1


def test_what_seems_silent_is_looked_at_twice():
    """Danger: after a stall of this process the sweep comes first and the sockets after it: a request that
    lay unread all the while would be closed with no answer."""
    rig = Rig()
    silent, half, clogged = (rig.client() for _ in range(3))
    half[0].dataReceived(request(1, call=call(1))[:50])
    clogged[0].dataReceived(request(1, call=call(2)))
    clogged[0].pauseProducing()
    rig.clock.advance(10.0)  # one look, by a timer that is overdue; then what lay unread is read
    silent[0].dataReceived(request(1, call=call(3)))
    half[0].dataReceived(request(1, call=call(1))[50:])
    clogged[0].resumeProducing()
    rig.step(doors.SWEEP_MS + 100)
    assert not any(pipe.closed for _, pipe in (silent, half, clogged)) and len(rig.taken) == 3


def test_refused_before_it_is_taken():
    rig = Rig()
    rig.retry = 150.0
    client, pipe = rig.client()
    client.dataReceived(request(1))
    assert said(pipe)[0]["error"]["data"] == {"pushback": 150} and not rig.taken and not client.state.open


def test_faults_are_logged_once_each():
    rig = Rig()
    for _ in range(20):
        client, _ = rig.client()
        client.dataReceived(request(1, call="x") + request(2, "nobody"))
    assert rig.log.events() == ["line that can't be taken"] * 2
    assert rig.door.counts["lines that can't be taken"] == 40
