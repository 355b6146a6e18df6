"""The registry client: gaps between serials, outages."""

import random

from doubles import Log, Net, clock, lost

from petrelway.gateway.registry_client import RegistryClient
from petrelway.wire import registry_codec


class Rig:
    def __init__(self):
        self.clock, self.net, self.log, self.heard = clock(), Net(), Log(), []
        self.follower = RegistryClient(
            "front",
            "p",
            "127.0.0.1",
            1,
            self.clock,
            self.net.connect,
            random.Random(1),
            lambda lines, complete: self.heard.append((len(lines), complete)),
            self.log,
        )

    def tell(self, serial, complete, count=1):
        lines = [
            registry_codec.EndpointEntry(f"e{i}", "127.0.0.1", 7000, "a", "q", 0, "ready", 1.0, 0.0)
            for i in range(count)
        ]
        self.wire.dataReceived(registry_codec.listed(serial, complete, lines))

    def up(self):
        while not self.net.dialled:
            self.clock.advance(0.01)
        self.wire, self.pipe = self.net.accept()


def test_registry_gaps_and_outages():
    # lists told by serial and completeness; how many are heard before the link is closed for a gap, or None
    table = [
        ([(5, True), (6, False), (7, False)], 3, False),
        ([(5, True), (7, False)], 1, True),
        ([(5, False)], 0, True),
        ([(5, True), (5, False)], 1, True),
        ([(5, True), (9, True), (10, False)], 3, False),
    ]
    for told, heard, gap in table:
        rig = Rig()
        rig.up()
        for serial, complete in told:
            rig.tell(serial, complete)
        assert (len(rig.heard), rig.pipe.aborted) == (heard, gap), told
    rig = Rig()
    rig.up()
    rig.tell(5, True, 3)
    rig.tell(7, False)  # a change was lost: the old list holds
    rig.wire.connectionLost(lost())
    assert rig.heard == [(3, True)] and "gap" in rig.log.lines[0][1]["reason"]
    rig.up()
    rig.tell(7, True, 2)
    assert rig.heard[-1] == (2, True) and rig.log.events() == ["registry down", "registry up"]
    rig.follower.close()
    rig.wire.connectionLost(lost())
    assert rig.clock.getDelayedCalls() == []
    rig = Rig()
    rig.net.refuse()
    rig.follower.close()
    assert rig.clock.getDelayedCalls() == []
