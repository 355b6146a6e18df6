"""The checker of policy records refuses doctored ones."""

import pytest

from petrelway.invariants.policy_checker import judge

TOOK = {"k": "took", "fe": "a", "version": 1, "digest": "y", "t": 100.0}
ROWS = [[0, 0, "x", ""], [1, 0, "y", "p"], [2, 1, "z", "q"]]
RECORD = [
    TOOK,
    {**TOOK, "fe": "b", "version": 2, "digest": "z", "t": 90.0},
    {"k": "change", "id": "p", "base": 0, "state": "adopted", "version": 1},
    {"k": "change", "id": "r", "base": 0, "state": "abandoned", "version": 1},
    {"k": "history", "rows": ROWS},
]


def doctored(at, **more):
    return [{**x, **more} if i == at else x for i, x in enumerate(RECORD)]


@pytest.mark.parametrize(
    "lines, statement",
    [
        (RECORD, None),
        (doctored(0, t=141.0), "apart"),
        (doctored(0, digest="w"), "nowhere"),
        (doctored(1, version=3), "nowhere"),
        (doctored(2, version=2), "kept"),
        (doctored(2, base=1), "kept"),
        (doctored(2, id="lost"), "kept"),
        (doctored(3, id="q"), "nowhere"),
        (doctored(4, rows=[ROWS[0], ROWS[2]]), "kept"),
        (doctored(4, rows=[ROWS[0], ROWS[1], [2, 0, "z", "q"]]), "kept"),
        (RECORD[:-1], "kept"),
        ([{"k": "vouched", "fe": "a", "t": 99.0}, *doctored(0, t=141.0)], None),
    ],
)
def test_the_checker_refuses_a_doctored_record(lines, statement):
    found = {b.statement for b in judge(lines)}
    assert statement in found if statement else not found
