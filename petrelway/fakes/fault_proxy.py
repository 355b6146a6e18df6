"""A fault-injecting proxy on loopback: a relay that every message between two front ends passes.

Front end A meets B at an address of their own, which `proxy_address` gives; what A sends there comes out at B
from the address at which B meets A. A datagram passes as the schedule (fault_schedule.py) says; bytes of a
connection come late, or wait while the way is cut. A port that refuses at B refuses at the relay too, unless
the way there or back is cut: then nothing is said. Without that nobody could tell a process that is
gone from one that is cut off. Where a day asks for it the ways to the list service and to executors pass the
relay too: the list that a front end hears then names the relay's addresses."""

from __future__ import annotations

import json
import random
import resource
import socket
from collections import deque
from pathlib import Path

from twisted.internet import error, protocol

from ..wire import registry_codec
from ..wire.framing import Frames
from .fault_schedule import EXECUTORS, REGISTRY, FaultSchedule, NetworkFault, fault_random_source
from .fault_script import EXECUTORS_BOUND, network_faults, other_ways

LOOK_MS = 50.0  # a port at the far end is looked at this often
HELD_BOUND = 1 << 20  # bytes of one connection that wait
WORDS_BOUND = 4096  # bytes of a word by hand
ASK_S = 5.0


def proxy_address(one: int, other: int) -> str:
    """Where `one` meets `other`, for up to 250 front ends and 250 executors.

    >>> proxy_address(0, 3), proxy_address(0, REGISTRY), proxy_address(0, EXECUTORS + 3)
    ('127.77.1.4', '127.78.1.1', '127.78.1.5')
    """
    if other >= REGISTRY:
        return f"127.78.{one + 1}.{other - REGISTRY + 1}"
    return f"127.77.{one + 1}.{other + 1}"


class Way(protocol.DatagramProtocol):
    """Where `one` sends to `other`, and hears from it."""

    noisy = False

    def __init__(self, relay: Relay, one: int, other: int) -> None:
        self.relay, self.one, self.other = relay, one, other

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        relay = self.relay
        if address[1] != relay.ports[self.one]:
            return  # nobody else has a way here
        delays = relay.faults.carry(relay.now(), self.one, self.other)
        relay.record.note("passed" if delays else "dropped", a=self.one, b=self.other, n=len(delays))
        for ms in delays:
            if ms <= 0.0:
                relay.deliver(self.one, self.other, data)
            else:
                relay.reactor.callLater(ms / 1e3, relay.deliver, self.one, self.other, data)


class Bytes(protocol.Protocol):
    """One end of a connection that passes the relay. What it receives goes from `one` to `other`."""

    def __init__(self, relay: Relay, one: int, other: int) -> None:
        self.relay, self.one, self.other = relay, one, other
        self.far: Bytes | None = None
        self.held: deque[tuple[float, float, bytes]] = deque()  # when it may pass, when it came
        self.size, self.timer, self.over, self.last_ms = 0, None, False, 0.0

    def dataReceived(self, data: bytes) -> None:
        now = self.relay.now()
        self.last_ms = max(self.last_ms, now + self.relay.faults.late_ms(now, self.one, self.other))
        self.held.append((self.last_ms, now, data))
        self.size += len(data)
        if self.size > HELD_BOUND:
            self.transport.pauseProducing()
        self.pass_on()

    def pass_on(self) -> None:
        """Pass on the bytes that are due; those lost in a connection come later, never out of order."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.over and (self.far is None or self.far.over):
            self.held.clear()  # nobody is left to hear it
            return
        now = self.relay.now()
        cut = self.relay.faults.is_cut(now, self.one, self.other)
        while (
            self.held and self.held[0][0] <= now and not cut and self.far is not None and self.far.connected
        ):
            _, came, data = self.held.popleft()
            self.size -= len(data)
            self.far.transport.write(data)
            if now - came > LOOK_MS and self.other >= EXECUTORS:  # else who sent it answers for the cut
                executor = f"executor-{self.other - EXECUTORS}"
                self.relay.record.note("kept", fe=f"front-{self.one}", ex=executor, ms=round(now - came, 3))
        if self.size <= HELD_BOUND and not self.over:
            self.transport.resumeProducing()
        if self.held:
            wait = LOOK_MS if cut or self.far is None else max(1.0, self.held[0][0] - now)
            self.timer = self.relay.reactor.callLater(wait / 1e3, self.pass_on)
        elif self.over and self.far is not None and not cut:
            self.far.transport.loseConnection()
        elif self.over and cut:  # the end is told no sooner than anything else
            self.timer = self.relay.reactor.callLater(LOOK_MS / 1e3, self.pass_on)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.over = True
        self.pass_on()


class Lists(Bytes):
    """From the list service to a front end: executors are named where that front end meets them."""

    def __init__(self, relay: Relay, one: int, other: int) -> None:
        super().__init__(relay, one, other)
        self.frames = Frames()

    def dataReceived(self, data: bytes) -> None:
        for payload in self.frames.feed(data):
            serial, complete, lines = registry_codec.from_registry(payload)
            met = [
                line._replace(
                    address=proxy_address(self.other, EXECUTORS + int(line.executor.rpartition("-")[2])),
                    port=self.relay.meet,
                )
                for line in lines
            ]
            super().dataReceived(registry_codec.listed(serial, complete, met))


class Near(protocol.Factory):
    """Connections from `one` to `other` come in here."""

    noisy = False

    def __init__(self, relay: Relay, one: int, other: int) -> None:
        self.relay, self.one, self.other = relay, one, other

    def buildProtocol(self, address):
        relay = self.relay
        near = Bytes(relay, self.one, self.other)
        relay.record.note("dialled", a=self.one, b=self.other)
        if relay.silent(self.one, self.other):
            return near  # it came up, as far as the caller can see, and nothing is ever said on it
        far = (Lists if self.other == REGISTRY else Bytes)(relay, self.other, self.one)
        near.far, far.far = far, near
        factory = protocol.ClientFactory.forProtocol(lambda: far)
        factory.noisy = False
        factory.clientConnectionFailed = lambda connector, reason: near.transport.abortConnection()
        relay.reactor.connectTCP("127.0.0.1", relay.ports[self.other], factory, timeout=ASK_S)
        return near


class Look(protocol.ClientFactory):
    """One look at a member's own port."""

    noisy = False

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number

    def buildProtocol(self, address):
        made = protocol.Protocol()
        made.connectionMade = lambda: made.transport.abortConnection()
        self.relay.looked(self.number, True)
        return made

    def clientConnectionFailed(self, connector, reason) -> None:
        if reason.check(error.ConnectionRefusedError):
            self.relay.looked(self.number, False)
        else:
            self.relay.looked(self.number, None)


class Control(protocol.Protocol):
    """A word by hand: one line of JSON, answered by one."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.data = relay, b""

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if len(self.data) > WORDS_BOUND:
            self.transport.abortConnection()
        elif b"\n" in self.data:
            try:
                said, done = self.relay.by_hand(json.loads(self.data.partition(b"\n")[0])), True
            except (ValueError, KeyError, TypeError) as problem:
                said, done = f"not done: {problem}", False
            self.transport.write(json.dumps({"said": said, "done": done}).encode() + b"\n")
            self.transport.loseConnection()


class Relay:
    """All ways between the members whose own ports are `ports`."""

    def __init__(
        self,
        reactor,
        ports: list[int],
        meet: int,
        control: int,
        random_source: random.Random,
        record,
        others: dict[int, int] | None = None,
    ) -> None:
        """`others`: ports of further places that front ends reach by connections, by their number."""
        self.reactor, self.meet, self.record = reactor, meet, record
        self.faults = FaultSchedule(random_source)
        self.size, self.ports = len(ports), {**dict(enumerate(ports)), **(others or {})}
        numbers = range(self.size)
        self.pairs = [(a, b) for a in numbers for b in self.ports if a != b]
        self.to = {b: [a for a in numbers if a != b] for b in self.ports}
        _room(3 * len(self.pairs) + 1000)
        self.ways = {}
        for a, b in self.pairs:
            if b < self.size:
                self.ways[a, b] = Way(self, a, b)
                reactor.listenUDP(meet, self.ways[a, b], interface=proxy_address(a, b))
        self.doors: dict[tuple[int, int], object] = {}
        self.there: dict[int, bool] = dict.fromkeys(self.ports, False)
        factory = protocol.Factory.forProtocol(lambda: Control(self))
        factory.noisy = False
        reactor.listenTCP(control, factory, interface="127.0.0.1")
        for number in self.ports:
            self._look(number)

    def now(self) -> float:
        return self.reactor.seconds() * 1e3

    def deliver(self, one: int, other: int, data: bytes) -> None:
        self.ways[other, one].transport.write(data, ("127.0.0.1", self.ports[other]))

    def silent(self, one: int, other: int) -> bool:
        now = self.now()
        return self.faults.is_cut(now, one, other) or self.faults.is_cut(now, other, one)

    # -- what refuses and what does not

    def _look(self, number: int) -> None:
        self.reactor.connectTCP("127.0.0.1", self.ports[number], Look(self, number), timeout=ASK_S)

    def looked(self, number: int, there: bool | None) -> None:
        """Stopped processes don't refuse: their kernel still takes connections."""
        if there is not None:
            self.there[number] = there
        for a in self.to[number]:
            self._door(a, number, self.there[number] or self.silent(a, number))
        self.reactor.callLater(LOOK_MS / 1e3, self._look, number)

    def _door(self, one: int, other: int, open_: bool) -> None:
        door = self.doors.get((one, other))
        if open_ and door is None:
            self.doors[one, other] = self.reactor.listenTCP(
                self.meet, Near(self, one, other), interface=proxy_address(one, other)
            )
        elif not open_ and door is not None:
            self.doors.pop((one, other)).stopListening()

    # -- by hand

    def by_hand(self, asked: dict) -> str:
        """Raises ValueError, KeyError or TypeError for what can't be done."""
        now, every = self.now(), frozenset(range(self.size))
        self.faults.over(now)
        if asked["kind"] == "clear":
            self.faults.clear(now)
            self.record.note("network fault", what="clear")
            return "nothing is in the way any more"
        some = frozenset(asked["some"]) or every
        others = frozenset(asked["others"]) or every - frozenset(asked["some"]) or every
        if not (some | others) <= every:
            raise ValueError(f"found {sorted((some | others) - every)}; allowed: 0 to {len(every) - 1}")
        end = now + asked["len_s"] * 1e3 if asked["len_s"] else float("inf")
        self.faults.add(NetworkFault(asked["kind"], some, others, now, end, asked["size"], asked["extra"]))
        self.record.note("network fault", what=asked["kind"], some=sorted(some), others=sorted(others))
        return f"{asked['kind']} between {sorted(some)} and {sorted(others)}"


def ask(folder: str, asked: dict) -> dict:
    """Tell the relay of the rehearsal in this folder. Raises OSError, KeyError or ValueError."""
    port = json.loads((Path(folder) / "plan.json").read_text())["ports"]["control"]
    with socket.create_connection(("127.0.0.1", port), ASK_S) as way:
        way.sendall(json.dumps(asked).encode() + b"\n")
        return json.loads(way.makefile().readline())


def _room(descriptors: int) -> None:
    """As many descriptors as the ways need, where the system lets us."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = descriptors if hard == resource.RLIM_INFINITY else min(hard, descriptors)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def play_fault_proxy(reactor, plan) -> None:
    """As a part of a rehearsal."""
    from .scenario_processes import stay

    record = plan.record("fault_proxy", reactor)
    random_source = fault_random_source(plan.day["day"].seed)
    others: dict[int, int] = {}
    if other_ways(plan.day):
        others[REGISTRY] = plan.ports["roster"]
        others.update(
            (EXECUTORS + i, port) for i, port in enumerate(plan.ports["executors"][:EXECUTORS_BOUND])
        )
    ports = plan.ports
    relay = Relay(
        reactor, ports["peers"], ports["fault_proxy"], ports["control"], random_source, record, others
    )
    for fault in network_faults(plan.day, plan.epoch_ms):
        relay.faults.add(fault)
    stay(reactor, plan, record)
