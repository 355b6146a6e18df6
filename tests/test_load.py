"""The load generator: arrivals as told, latency from when each was due, nothing unsent in a stall."""

import random
from collections import Counter
from urllib.parse import unquote

import pytest
from twisted.web import resource, server

from petrelway.fakes.in_memory_network import Process, World
from petrelway.load.arrivals import Due, Rate, TraceError, drawn, from_trace
from petrelway.load.plan import LoadPlan
from petrelway.load.running import merged, part_of
from petrelway.load.sender import Sender
from petrelway.settings.reading import SettingsError


class Target(resource.Resource):
    """Answers after a known delay, or stands still and answers all when it goes on."""

    isLeaf = True

    def __init__(self, process, delay):
        super().__init__()
        self.process, self.delay, self.came = process, delay, []

    def render_POST(self, request):
        self.came.append(
            (self.process.seconds(), request.getHeader("ce-function"), request.getHeader("ce-id"))
        )
        request.notifyFinish().addErrback(lambda _: None)
        self.process.callLater(self.delay() / 1e3, self._answer, request)
        return server.NOT_DONE_YET

    @staticmethod
    def _answer(request):
        if not request._disconnected:
            request.setHeader(b"petrelway-outcome", b"fulfilled")
            request.finish()


class Rig:
    def __init__(self, arrivals, delay=lambda: 50.0, timeout=5000.0, bound=1000, stall=None):
        self.world = World(latency_ms=0.5)
        self.there, here = Process(self.world, "target"), Process(self.world, "load")
        self.target = Target(self.there, delay)
        site = server.Site(self.target, reactor=self.there)
        self.there.listenTCP(80, site)
        self.sender = Sender(here, 80, iter(arrivals), {"tariff": "t"}, "/load", timeout, bound)
        if stall:
            self.world.later(stall[0], self.there.freeze)
            self.world.later(stall[1], self.there.thaw)
        self.ended = self.sender.start(self.world.now_s)
        self.began = self.world.now_s

    def run(self, seconds=60):
        self.world.run(self.began + seconds)
        assert self.ended.called
        return merged([part_of(self.sender)])


def test_known_delays_are_found_again():
    delays = [10.0 * 1.5**i for i in range(10)] * 60
    random_source = random.Random(3)
    random_source.shuffle(delays)
    known = sorted(delays)
    found = Rig([Due(5.0 * i, "f", 1.0) for i in range(600)], delay=iter(delays).__next__).run()
    assert found["due"] == 600 and found["ended"] == {"fulfilled": 600}
    for q in (50, 90, 99):
        true = known[int(q / 100 * 600) - 1] + 1.0  # and the way there and back; the first tries also connect
        assert abs(found["latency_ms"][f"p{q}"] - true) <= 0.05 * true + 2.0


def test_a_stall_shows_as_long_latencies_not_as_fewer_requests():
    """Danger: coordinated omission."""
    found = Rig([Due(10.0 * i, "f", 1.0) for i in range(600)], stall=(2.0, 4.0)).run()
    assert found["ended"] == {"fulfilled": 600} and len(found["by_second"]) == 6
    assert [s["due"] for s in found["by_second"]] == [100] * 6
    assert found["latency_ms"]["most"] > 1_950 and 40 < found["latency_ms"]["p50"] < 65
    assert found["latency_ms"]["p90"] > 1_300  # a third was due in the stall and waited for a second or so


def test_ten_thousand_due_in_one_millisecond():
    rig = Rig([Due(100.0 + i / 10_000, f"f{i}", 1.0) for i in range(10_000)], bound=20_000)
    assert rig.run()["ended"] == {"fulfilled": 10_000}
    assert len(rig.target.came) == 10_000 and len({f for _, f, _ in rig.target.came}) == 10_000


def test_what_is_not_sent_not_answered_or_lost_is_counted():
    arrivals = [Due(float(i), "f", 1.0) for i in range(100)]
    found = Rig(arrivals, delay=lambda: 2000.0, bound=30).run()
    assert found["ended"] == {"fulfilled": 30, "not sent": 70}
    found = Rig(arrivals, delay=lambda: 2000.0, timeout=500.0).run()
    assert found["ended"] == {"timed out": 100} and 499 < found["latency_ms"]["p50"] < 502
    rig = Rig(arrivals, delay=lambda: 2000.0)
    rig.world.later(1.0, rig.there.kill)
    assert rig.run()["ended"] == {"lost": 100}
    rig = Rig(arrivals)
    rig.there.kill()
    assert rig.run()["ended"] == {"unreachable": 100}


def test_arrivals_follow_the_rate():
    rate = Rate(100.0, [(10.0, 0.0), (12.0, 300.0)], [(5.0, 2.0, 4.0)])
    some = list(drawn(rate, 20_000.0, False, [("a", 3.0), ("b", 1.0)], 80.0, 0.6, random.Random(1)))
    seconds = Counter(int(d.at_ms // 1e3) for d in some)
    for span, expected in (((0, 5), 500), ((5, 7), 800), ((7, 10), 300), ((10, 12), 0), ((12, 20), 2400)):
        count = sum(seconds[s] for s in range(*span))
        assert abs(count - expected) <= 4 * expected**0.5, (span, count)
    assert all(x.at_ms <= y.at_ms for x, y in zip(some, some[1:], strict=False))
    assert abs(sum(d.function == "a" for d in some) / len(some) - 0.75) < 0.03
    assert abs(sum(d.size_ms for d in some) / len(some) - 80.0) < 4.0
    gaps = [y.at_ms - x.at_ms for x, y in zip(some, some[1:], strict=False) if 12_500 < x.at_ms]
    mean = sum(gaps) / len(gaps)
    spread = sum((g - mean) ** 2 for g in gaps) / len(gaps) / mean**2
    assert 0.8 < spread < 1.2  # as Poisson has it
    assert not list(drawn(Rate(0.0), 1000.0, False, [("a", 1.0)], 1.0, 0.0, random.Random(1)))


def test_traces(tmp_path):
    file = tmp_path / "t.csv"
    file.write_text('time,function,size\n0.5,f,20\n0.5,g,\n1.25,"h,x",3.5\n')
    assert list(from_trace(file)) == [Due(500.0, "f", 20.0), Due(500.0, "g", 0.0), Due(1250.0, "h,x", 3.5)]
    other = tmp_path / "t.jsonl"
    other.write_text('{"t": 500, "f": "f", "w": 20}\n\n{"t": 501.5, "f": "g"}\n')
    assert list(from_trace(other)) == [Due(500.0, "f", 20.0), Due(501.5, "g", 0.0)]
    for name, text, where in [
        ("a.csv", "when,what\n1,2\n", "line 1"),
        ("b.csv", "time,function\n2,f\n1,f\n", "line 3"),
        ("c.csv", "time,function\nsoon,f\n", "line 2"),
        ("d.csv", "time,function\n1,\n", "line 2"),
        ("e.jsonl", '{"t": 1, "f": "x"}\n{"t": NaN, "f": "x"}\n', "line 2"),
        ("f.jsonl", "[1]\n", "line 1"),
        ("g.jsonl", "{", "line 1"),
        ("h.csv", "\xff\xfe", "h.csv"),
        ("none.csv", None, "none.csv"),
    ]:
        path = tmp_path / name
        if text is not None:
            path.write_bytes(text.encode("latin-1"))
        with pytest.raises(TraceError) as caught:
            list(from_trace(path))
        assert where in str(caught.value) and "allowed" in str(caught.value)


def test_a_trace_that_goes_bad_ends_the_load(tmp_path):
    """Danger: raised into the reactor it would leave the load waiting for ever."""
    file = tmp_path / "t.csv"
    file.write_text("time,function\n0.1,f\n0.2,g\nsoon,h\n0.3,i\n")
    for keep in (2, 0):
        file.write_text("\n".join(["time,function", *["0.1,f"] * keep, "soon,h", "0.3,i"]))
        rig, failed = Rig(from_trace(file)), []
        rig.ended.addErrback(failed.append)
        rig.world.run(rig.began + 5)
        assert len(failed) == 1 and f"line {2 + keep}" in failed[0].getErrorMessage()
        assert len(rig.target.came) == keep


def test_any_name_may_be_sent():
    names = ["a b", 'q"uote', "100%", "\u6a21", "line\nbreak\r\nx: y", "plain-1_2.3"]
    rig = Rig([Due(float(i), name, 1.0) for i, name in enumerate(names)])
    assert rig.run()["ended"] == {"fulfilled": len(names)}
    assert sorted(unquote(f) for _, f, _ in rig.target.came) == sorted(names)


def test_parts_of_a_load_are_the_whole():
    tree = {"arrivals": {"rate": 500, "seconds": 4}, "functions": {"f": 1, "g": 2}, "how": {"processes": 3}}
    plan = LoadPlan("x.jsonnet", tree)
    parts = [list(plan.part(n)) for n in range(3)]
    assert sorted(d for p in parts for d in p) == sorted(plan.due()) and all(len(p) > 600 for p in parts)
    found = merged([part_of(Rig(p[:50]).sender) for p in parts])
    assert found["due"] == 0  # nothing had run yet
    rigs = [Rig(p[:50]) for p in parts]
    for rig in rigs:
        rig.run()
    assert merged([part_of(r.sender) for r in rigs])["ended"] == {"fulfilled": 150}
    for changes, path in [
        ({"arrivals": {}}, "arrivals"),
        ({"arrivals": {"rate": 1, "trace": "x"}}, "arrivals"),
        ({"functions": {}}, "functions"),
        ({"how": {"processes": 0}}, "how.processes"),
    ]:
        with pytest.raises(SettingsError) as caught:
            LoadPlan("x.jsonnet", {**tree, **changes})
        assert caught.value.faults[0].path == path
