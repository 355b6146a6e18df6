"""The checker itself proved: a clean record passes, and each of these has one violation, which is named."""

import json

import pytest

from petrelway.invariants.checker import Figures, RequestClassRule, judge
from petrelway.invariants.records import RecordError, read

TOLD = Figures(
    {
        "safe": RequestClassRule("harmless", "all", 0.0, 100.0),
        "once": RequestClassRule("one-shot", "all", 0.0, 100.0),
        "hall": RequestClassRule("stamped", "hall", 4000.0, 100.0),
        "all": RequestClassRule("stamped", "all", 4000.0, 100.0),
    },
    2000.0,
    4.0,
    1000.0,
    0.25,
    10_000.0,
    5000.0,
    1.0,
    0.5,
    100.0,
    50.0,
)
UPS = [
    {"t": 0.0, "k": "up", "ex": e, "p": "q", "hall": h, "cell": 0, "cap": 4.0, "cold": False}
    for e, h in (("e0", 0), ("e1", 0), ("e2", 1))
]


def ask(t, id="t1", r=0, fe="f0", request_class="safe", left=1000.0):
    return {
        "t": t,
        "k": "ask",
        "id": id,
        "m": f"/gateway/0\n{id}",
        "r": r,
        "fe": fe,
        "f": request_class,
        "c": "c",
        "left": left,
        "w": 100.0,
        "_source": "/gateway/0",
    }


def end(t, kind="answer", id="t1", r=0, fe="f0", o="fulfilled"):
    return {
        "t": t,
        "k": kind,
        "id": id,
        "r": r,
        "fe": fe,
        "o": o,
        "st": 200,
        "taken": bool(o),
        "ms": 1.0,
        "_source": "/gateway/0",
    }


def recv(t, n=0, ex="e0", id="t1", r=0, fe="f0", s=1, request_class="safe", p="q", fp="p"):
    return {
        "t": t,
        "k": "recv",
        "ex": ex,
        "p": p,
        "fe": fe,
        "fp": fp,
        "s": s,
        "n": n,
        "m": f"/gateway/0\n{id}",
        "r": r,
        "f": request_class,
        "fn": "f",
    }


def proof(t, n=0, o=2, fe="f0", s=1):
    return {"t": t, "k": "end", "ex": "e0", "p": "q", "fe": fe, "fp": "p", "s": s, "n": n, "o": o, "w": 0}


def order(t, c=1, ex="e0", fe="f0"):
    return {"t": t, "k": "order", "ex": ex, "p": "q", "fe": fe, "fp": "p", "fn": "f", "c": c}


def told(t, lines, full=False, fe="f0"):
    return {"t": t, "k": "told", "fe": fe, "fp": "p", "serial": 1, "full": full, "lines": lines}


def spell(t, kind, fe="f0"):
    return {"t": t, "k": kind, "fe": fe}


DRAIN, READY = ["e0", "draining", 0.0], ["e0", "ready", 0.0]
PLAIN = [ask(100), recv(110), end(200)]
COLD = {"t": 10_000.0, "k": "up", "ex": "e9", "p": "q9", "hall": 0, "cell": 0, "cap": 4.0, "cold": True}
BORN = [["e9", "ready", 10_000.0]]


def push(count, told_first=True, at=10_200.0, fronts=1):
    """`count` requests to a cold executor within 300 ms: room for 4 x 1 core x 1000 ms, 40 requests."""
    lines = [COLD] + [told(10_100 if told_first else 19_000, BORN, fe=f"f{f}") for f in range(fronts)]
    for i in range(count):
        t, fe = at + i * 300.0 / count, f"f{i % fronts}"
        lines += [
            ask(t - 5, f"c{i}", fe=fe),
            recv(t, 0, "e9", f"c{i}", 0, fe, i, p="q9"),
            end(t + 9, id=f"c{i}", fe=fe),
        ]
    return lines


def load_requests(count, requests, gap=100.0):
    lines = [order(1000 + i * gap) for i in range(count)]
    for i in range(requests):
        lines += [ask(900 + i, f"o{i}"), end(1500 + i, id=f"o{i}")]
    return lines


CLEAN = [
    PLAIN,
    [ask(100), recv(110), recv(500, 1, "e1"), end(600)],  # a harmless one sent twice
    [ask(100), end(1150)],  # late, within the grace
    [ask(100), end(900, "gone"), recv(930)],  # on its way when the client left
    [ask(100), spell(300, "kill"), end(310, "lost")],
    [ask(100), spell(300, "kill"), spell(900, "front started"), end(1400, "unanswered")],
    [ask(100), spell(800, "stop"), spell(1900, "go on"), end(1905)],  # it stood stopped when the time was up
    [
        ask(100, request_class="once"),
        recv(110, request_class="once"),
        proof(120),
        recv(130, 1, "e1", request_class="once"),
        end(200),
    ],
    [ask(100, request_class="once"), recv(110, request_class="once"), proof(120, o=8), end(200, o="nacked")],
    [ask(100, request_class="once"), recv(110, request_class="once"), end(200, o="broken off")],
    [
        ask(100, request_class="hall"),
        recv(110, request_class="hall"),
        recv(400, 1, "e1", request_class="hall"),
        end(500),
    ],
    [ask(100, request_class="all"), recv(110, request_class="all"), end(200, o="nacked")],
    [told(100, [READY], True), told(1000, [DRAIN]), recv(2900, request_class="safe"), ask(2890), end(2950)],
    [told(100, [READY], True), told(1000, [DRAIN]), told(1500, [READY]), *[ask(9000), recv(9010), end(9100)]],
    [
        told(1000, [DRAIN]),
        {"t": 1500.0, "k": "deaf", "ex": "e0"},
        ask(1400),
        recv(4000),
        end(1600),
        {"t": 4000.0, "k": "hears", "ex": "e0"},
    ],  # sent before, read later
    [told(1000, [DRAIN]), order(9000, c=0)],  # asking is no order
    push(39),
    push(200, told_first=False),
    push(39, fronts=3),
    push(80, at=21_000.0),  # warm by then
    load_requests(3, 4),
    load_requests(4, 0, gap=6000.0),
    [ask(100), end(105, o=""), {"t": 9000.0, "k": "fetch", "fn": "f"}],  # refused: not taken, and answered
    [ask(100), end(101, "unreachable")],
]

BROKEN = [
    (1, "no answer", [ask(100), {"t": 9000.0, "k": "fetch", "fn": "f"}]),
    (1, "never answered", [ask(100), end(1400, "unanswered")]),
    (1, "without an answer", [ask(100), end(300, "lost")]),
    (
        1,
        "without an answer",
        [ask(100), spell(300, "kill", "f1"), end(310, "lost")],
    ),  # another one was killed
    (1, "too late", [ask(100), end(1300)]),
    (1, "too late", [ask(100), spell(5000, "stop"), end(1300)]),  # stopped later
    (1, "after the final answer", [ask(100), recv(110), end(200), recv(400, 1, "e1")]),
    (1, "after the final answer", [ask(100), recv(110), end(200, "gone"), recv(400, 1, "e1")]),
    (
        2,
        "may have run",
        [
            ask(100, request_class="once"),
            recv(110, request_class="once"),
            recv(300, 1, "e1", request_class="once"),
            end(400),
        ],
    ),
    (
        2,
        "may have run",
        [
            ask(100, request_class="once"),
            recv(110, request_class="once"),
            recv(300, 1, "e1", request_class="once"),
            proof(310),
            end(400),
        ],
    ),  # proved only after the second was sent
    (
        2,
        "may have run",
        [
            ask(100, request_class="once"),
            recv(110, request_class="once"),
            proof(120, o=1),
            recv(300, 1, "e1", request_class="once"),
            end(400),
        ],
    ),  # an error proves nothing
    (
        2,
        "nacked though",
        [ask(100, request_class="once"), recv(110, request_class="once"), end(200, o="nacked")],
    ),
    (
        2,
        "does not drop repeats",
        [
            ask(100, request_class="hall"),
            recv(110, request_class="hall"),
            recv(400, 1, "e2", request_class="hall"),
            end(500),
        ],
    ),
    (
        2,
        "forgotten",
        [
            ask(100, request_class="hall", left=9000.0),
            recv(110, request_class="hall"),
            recv(4300, 1, "e1", request_class="hall"),
            end(4400),
        ],
    ),
    (
        2,
        "nacked though",
        [ask(100, request_class="hall"), recv(110, request_class="hall"), end(200, o="nacked")],
    ),
    (3, "past the grace", [told(100, [READY], True), told(1000, [DRAIN]), ask(3090), recv(3100), end(3150)]),
    (3, "past the grace", [told(100, [READY], True), told(1000, [], True), ask(3090), recv(3100), end(3150)]),
    (3, "an order to load", [told(1000, [DRAIN]), order(4000)]),
    (
        3,
        "past the grace",
        [told(1000, [DRAIN]), told(2000, [["e0", "gone", 0.0]]), ask(3090), recv(3100), end(3150)],
    ),
    (4, "of work within", push(60)),
    (4, "of work within", push(60, fronts=3)),
    (4, "; it fell", [*push(60), {"t": 10_600.0, "k": "fell", "ex": "e9", "p": "q9"}]),
    (5, "orders to load", load_requests(4, 4)),
    (5, "orders to load", load_requests(2, 0)),
]


def test_clean_records_pass():
    for i, lines in enumerate(CLEAN):
        assert judge(sorted(UPS + lines, key=lambda x: x["t"]), TOLD) == [], i


@pytest.mark.parametrize("rule, word, lines", BROKEN)
def test_each_violation_is_caught_once(rule, word, lines):
    faults = judge(sorted(UPS + lines, key=lambda x: x["t"]), TOLD)
    assert [(f.rule, word in f.what) for f in faults] == [(rule, True)], faults
    assert faults[0].evidence or word == "no answer"


def test_records_are_read_in_order_and_bad_ones_named(tmp_path):
    (tmp_path / "clients-3.jsonl").write_text(
        '{"t": 5, "k": "answer", "id": "1"}\n{"t": 2, "k": "ask"}\n{"t": 9, "k"'
    )
    (tmp_path / "services.jsonl").write_text('{"t": 3, "k": "told"}\n')
    lines = list(read(tmp_path))
    assert [(x["t"], x["_file"]) for x in lines] == [(2, "clients-3"), (3, "services"), (5, "clients-3")]
    assert lines[0]["_source"] == "/gateway/3"
    for bad in ("[]", "{", '{"t": 1}', '{"k": "x", "t": "soon"}'):
        (tmp_path / "services.jsonl").write_text(bad + "\n")
        with pytest.raises(RecordError, match="services.jsonl, line 1"):
            list(read(tmp_path))
    with pytest.raises(RecordError, match="no records"):
        list(read(tmp_path / "nowhere"))
    json.dumps([f._asdict() for f in judge(iter(sorted(UPS + BROKEN[0][2], key=lambda x: x["t"])), TOLD)])
