"""Hollow members: told apart from real ones by nobody, and a process of them on real sockets."""

import json
import random
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest
from doubles import Log
from nodes import spare
from twisted.internet import error, task
from twisted.python.failure import Failure

from petrelway.fakes.hollow_members import (
    FLEET_BOUND,
    FLEET_NAME,
    MEMBERS_BOUND,
    FleetPlan,
    HollowGroup,
    HollowMembersError,
    hollow_member,
)
from petrelway.fakes.platform_peers import SETTINGS, configuration
from petrelway.gateway import service as front_service
from petrelway.gateway.service import FrontEndService
from petrelway.membership import messages
from petrelway.membership.messages import Incarnation, MemberState, MemberUpdate, Message, MessageKind, digest
from petrelway.node import peers as node_peers
from petrelway.node.service import NodeService
from petrelway.platform.configuration import read_configuration

ROOT = Path(__file__).parent.parent
PLAN = FleetPlan(size=24, network=77, port=20_000, seed=11)
ME = 5
DIAL_ANSWER_S = 0.05
DAY_S = 60.0
BOUND_S = 90.0  # generous: nothing is judged by how long it takes


class Closing:
    def stopListening(self):
        pass


class Sockets(task.Clock):
    """A reactor in memory that remembers whatever leaves the member, and when."""

    def __init__(self, dead):
        super().__init__()
        self.left, self.dead, self.datagrams = [], dead, None
        self.advance(1_000_000.0)

    def listenTCP(self, port, factory, *more, interface="", **named):
        self.left.append((self.seconds(), "listen", interface, port))
        return Closing()

    def listenUDP(self, port, protocol, interface=""):
        # as Twisted's own port does: the protocol is given its transport, which starts it
        protocol.makeConnection(SimpleNamespace(write=self.write, stopListening=lambda: None))
        self.left.append((self.seconds(), "bind", interface, port))
        self.datagrams = protocol
        return Closing()

    def hear(self, data, address):
        self.datagrams.datagramReceived(data, address)

    def write(self, data, address):
        self.left.append((self.seconds(), "send", address, data))

    def connectTCP(self, host, port, factory, timeout):
        self.left.append((self.seconds(), "dial", host, port))
        why = error.ConnectionRefusedError() if host in self.dead else error.TimeoutError()
        self.callLater(DIAL_ANSWER_S, factory.clientConnectionFailed, None, Failure(why))

    def sent(self):
        return [messages.decode(data) for _, what, _, data in self.left if what == "send"]


def drawn_news(random_source):
    """Of anybody, the reader too: alive, accused, failed or gone, of this process or an earlier one."""
    number = random_source.randrange(PLAN.size)
    start = Incarnation(
        random_source.choice((1, 1, 1, 2, 3)), PLAN.token(number, random_source.choice((0, 0, 0, 1)))
    )
    state = random_source.choices(
        (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT), (12, 4, 2, 1)
    )[0]
    return MemberUpdate(digest(PLAN.listed(number).name), start, state)


def drawn_schedule(seed):
    """What arrives at the member, and when: all kinds, some bytes that are no message, a silent stretch."""
    random_source = random.Random(seed)
    ids = [digest(p.name) for p in PLAN.peers()]
    peers = digest(*map(str, sorted(ids)))
    schedule, at = [], 0.0
    while at < DAY_S:
        at += random_source.expovariate(12.0)
        if DAY_S / 2 < at < DAY_S / 2 + 8.0:
            continue
        number = random_source.choice([n for n in range(PLAN.size - 3) if n != ME])
        kind = random_source.choices(list(MessageKind), (8, 8, 4, 2, 0.1))[0]
        news = tuple(drawn_news(random_source) for _ in range(random_source.choice((0, 1, 16))))
        word = Message(
            kind, digest(FLEET_NAME), ids[number], Incarnation(1, PLAN.token(number)), peers,
            random_source.randrange(4),
            random_source.randrange(1 << 31), random_source.choice(ids), news,
        )  # fmt: skip
        data = messages.encode(word) if random_source.random() < 0.97 else random_source.randbytes(40)
        listed = PLAN.listed(number)
        schedule.append((at, data, (listed.address, listed.port)))
    return schedule


def hollow(reactor, ports):
    hollow_member(reactor, PLAN, ME, ports).startService()


def hollow_in_group(reactor, ports):
    HollowGroup(reactor, PLAN, range(ME, ME + 1), ports).start(introduced=False)


def real_front(reactor, ports):
    """As `petrelway serve` joins its peers."""
    assert ports
    me = PLAN.listed(ME)
    dispatcher = SimpleNamespace(now=lambda: reactor.seconds() * 1e3, front_end=SimpleNamespace())
    dispatcher.front_end.quota_share_changed = lambda now, part: None
    sections = {"front_end": SimpleNamespace(seed=PLAN.seed, name=me.name)}
    front = SimpleNamespace(
        reactor=reactor,
        dispatcher=dispatcher,
        sections=sections,
        log=Log(),
        note=None,
        policy=None,
        fleet=None,
    )
    others = [p for p in PLAN.peers() if p.name != me.name]
    wanted = SimpleNamespace(address=me.address, port=me.port, fleet=FLEET_NAME, members=others)
    FrontEndService._join(front, wanted, me.name)


def real_node(reactor, ports):
    """As `petrelway node` meets its peers, from the platform's configuration."""
    assert not ports
    me = PLAN.listed(ME)
    limits = {**SETTINGS["limits"], "peers": True}
    file = configuration(
        settings={**SETTINGS, "limits": limits, "peersTotal": PLAN.size, "position": ME},
        name=me.name,
        seed=f"{PLAN.seed:x}",
        peers=[f"{p.address}:{p.port}" for p in PLAN.peers()],
        peer_listen=f"{me.address}:{me.port}",
    )
    configured = read_configuration(file)
    node = NodeService(reactor, configured, lambda: file, Log(), connect=reactor.connectTCP, peers=True)
    node.join_peers()


def play(start, ports, schedule):
    """All that leaves the member on this schedule."""
    reactor = Sockets({PLAN.listed(n).address for n in range(PLAN.size - 3, PLAN.size)})
    start(reactor, ports)
    for at, data, address in schedule:
        reactor.callLater(at, reactor.hear, data, address)
    while reactor.seconds() < 1_000_000.0 + DAY_S + 5.0:
        reactor.advance(0.01)
    return reactor


@pytest.fixture(autouse=True)
def known_token(monkeypatch):
    """The system's own random source, which no test can hold, gives the plan's token."""
    for module in (front_service, node_peers):
        monkeypatch.setattr(module, "new_incarnation_token", lambda: PLAN.token(ME))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("build", [hollow, hollow_in_group])
@pytest.mark.parametrize("real, ports", [(real_front, True), (real_node, False)])
def test_a_hollow_member_and_a_real_one_send_the_same_bytes(real, ports, build, seed):
    schedule = drawn_schedule(seed)
    expected, found = play(real, ports, schedule), play(build, ports, schedule)
    assert found.left == expected.left
    kinds = Counter(word.kind for word in found.sent())
    assert min(kinds[k] for k in (MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQUEST)) >= 10
    assert {news.state for word in found.sent() for news in word.updates} >= {
        MemberState.ALIVE,
        MemberState.SUSPECT,
    }
    dialled = sum(what == "dial" for _, what, *_ in found.left)
    assert dialled >= 10 if ports else not dialled


def test_the_comparison_sees_another_token_and_another_seed():
    other_plan = FleetPlan(PLAN.size, PLAN.network, PLAN.port, seed=PLAN.seed + 1)

    def other_process(reactor, ports):
        hollow_member(reactor, PLAN, ME, ports, process=1).startService()

    def other_seed(reactor, ports):
        hollow_member(reactor, other_plan, ME, ports).startService()

    schedule = drawn_schedule(0)
    same = play(hollow, False, schedule).left
    assert play(other_process, False, schedule).left != same
    assert play(other_seed, False, schedule).left != same


@pytest.mark.parametrize("size", [0, FLEET_BOUND + 1])
def test_a_fleet_has_a_bound(size):
    with pytest.raises(HollowMembersError, match="allowed"):
        FleetPlan(size=size, network=77, port=20_000)


@pytest.mark.parametrize(
    "numbers", [range(0), range(MEMBERS_BOUND + 1), range(FLEET_BOUND - 1, FLEET_BOUND + 1), range(-1, 2)]
)
def test_a_process_has_a_bound_and_holds_only_the_fleets_own(numbers):
    with pytest.raises(HollowMembersError, match="allowed"):
        HollowGroup(task.Clock(), FleetPlan(size=FLEET_BOUND, network=77, port=20_000), numbers)


def test_addresses_and_tokens_are_each_members_own():
    plan = FleetPlan(size=FLEET_BOUND, network=77, port=20_000)
    some = [plan.listed(number).address for number in (0, 1, 254, 255, 256, FLEET_BOUND - 1)]
    assert len(set(some)) == len(some) and all(address.startswith("127.77.") for address in some)
    tokens = {PLAN.token(number, process) for number in range(PLAN.size) for process in range(2)}
    assert len(tokens) == 2 * PLAN.size


# -- on sockets


class Process:
    """`petrelway standin hollow` as a child."""

    def __init__(self, *arguments):
        self.child = subprocess.Popen(
            [sys.executable, "-m", "petrelway", "standin", "hollow", *map(str, arguments)],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.first = json.loads(self.child.stdout.readline())

    def say(self, command):
        self.child.stdin.write(command + "\n")
        self.child.stdin.flush()

    def ask(self, command="report"):
        self.say(command)
        return json.loads(self.child.stdout.readline())

    def until(self, name, least):
        """The first report that says so much, or the last one before the bound."""
        report = self.ask()
        end = time.monotonic() + BOUND_S
        while report[name] < least and time.monotonic() < end:
            time.sleep(0.1)
            report = self.ask()
        return report

    def end(self):
        self.child.kill()
        self.child.wait()
        self.child.stdin.close()
        self.child.stdout.close()


@pytest.fixture
def processes():
    made = []
    yield made
    for process in made:
        process.end()


def free_port():
    """A port of its own, so that two runs of the tests on one machine do not meet."""
    return int(spare().rpartition(":")[2])


@pytest.mark.parametrize("ports", ["--ports", "--datagrams"])
def test_processes_of_hollow_members_are_one_fleet_and_see_one_go(processes, ports):
    options = ("--network", 78, "--port", free_port(), ports)
    for first in (0, 6):
        processes.append(Process(12, first, 6, *options))
    for process in processes:
        process.say("go")
    stay, gone = processes
    joined = stay.until("alive_least", 11)
    assert joined["alive_least"] == 11 and joined["unheard_most"] == 0
    gone.end()
    last = stay.until("failed_least", 6)
    assert last["failed_least"] == last["failed_most"] == 6 and last["alive_least"] == 5
    assert (last["traffic"]["dials"] > 0) == (ports == "--ports")
    stay.say("stop")
    assert stay.child.wait(timeout=30) == 0


def test_introduced_members_begin_with_everybody_alive_and_settle(processes):
    processes.append(Process(20, 0, 20, "--network", 79, "--port", free_port(), "--introduced"))
    [process] = processes
    assert process.first["alive_least"] == 19 and process.first["untold_most"] == 19
    process.say("go")
    settled = process.ask("settle")
    assert settled["untold_most"] == 0 and settled["views"] == 1
    process.child.stdin.close()  # whoever drove it has gone: it ends by itself
    assert process.child.wait(timeout=30) == 0


@pytest.mark.parametrize("arguments", [("10", "8", "3"), ("0", "0", "1"), ("10", "0", "0")])
def test_members_outside_the_fleet_are_refused_in_one_line(arguments):
    done = subprocess.run(
        [sys.executable, "-m", "petrelway", "standin", "hollow", *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert done.returncode == 2 and "allowed" in done.stderr and "Traceback" not in done.stderr
