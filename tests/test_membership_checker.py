"""The membership checker: a good record passes, doctored ones are refused."""

from types import SimpleNamespace

import pytest

from petrelway.invariants import membership_checker


def record(*more):
    """Two front ends, good: front-0 lives, front-1 is killed at 10 s and held failed."""
    lines = [
        {"k": "front started", "fe": "front-0", "t": 0, "_file": "conductor"},
        {"k": "front started", "fe": "front-1", "t": 0, "_file": "conductor"},
        {"k": "kill", "fe": "front-1", "t": 10_000, "_file": "conductor"},
        {"k": "part", "share": 0.5, "left": None, "t": 1, "_file": "fleet-0-1"},
        {"k": "part", "share": 0.5, "left": None, "t": 1, "_file": "fleet-1-1"},
        {"k": "held", "member": "front-1", "what": "alive", "t": 2, "_file": "fleet-0-1"},
        {"k": "held", "member": "front-0", "what": "alive", "t": 2, "_file": "fleet-1-1"},
        {"k": "held", "member": "front-1", "what": "failed", "t": 12_000, "_file": "fleet-0-1"},
        {"k": "part", "share": 1.0, "left": 5000, "t": 12_000, "_file": "fleet-0-1"},
        {"k": "use", "share": 1.0, "t": 16_000, "_file": "fleet-0-1"},
        {"k": "part", "share": 0.5, "left": None, "t": 17_000, "_file": "fleet-0-1"},
    ]
    drop = [m for m in more if callable(m)]
    kept = [line for line in lines if not any(d(line) for d in drop)]
    return sorted([*kept, *(m for m in more if not callable(m))], key=lambda line: line["t"])


def said_(kind, file, t, **what):
    return {"k": kind, "t": t, "_file": file, **what}


DOCTORED = [
    ("parts", [said_("part", "fleet-0-1", 5000, share=1.0, left=5000)]),
    ("parts", [said_("part", "fleet-1-1", 9000, share=0.6, left=500)]),
    ("ends", [said_("use", "fleet-0-1", 17_500, share=1.0)]),
    ("ends", [said_("use", "fleet-0-1", 8000, share=0.7)]),
    ("false", [said_("held", "fleet-0-1", 6000, member="front-1", what="failed")]),
    ("found", [lambda line: line.get("what") == "failed"]),
    ("agreed", [lambda line: line["k"] == "kill", lambda line: line.get("share") == 1.0,
                said_("front started", "conductor", 100, fe="front-2"),
                said_("held", "fleet-2-1", 200, member="front-0", what="failed")]),
]  # fmt: skip


def test_a_good_record_is_not_refused():
    assert membership_checker.judge(record(), [], 2, 40_000.0) == []


@pytest.mark.parametrize("statement, more", DOCTORED)
def test_a_doctored_record_is_refused(statement, more):
    assert statement in {b.statement for b in membership_checker.judge(record(*more), [], 2, 40_000.0)}


def test_what_a_cut_or_a_stop_explains_is_not_refused():
    failed = said_("held", "fleet-0-1", 6000, member="front-1", what="failed")
    cut = SimpleNamespace(kind="cut", on=[0], others=[], at_s=3, len_s=2, size=1.0, extra=0.0)
    assert membership_checker.judge(record(failed), [cut], 2, 40_000.0) == []
    stop = [said_("stop", "conductor", 3000, fe="front-1"), said_("go on", "conductor", 5000, fe="front-1")]
    assert membership_checker.judge(record(failed, *stop), [], 2, 40_000.0) == []
