"""Tables of the size itself: as given, worked out, and under other call rates."""

from __future__ import annotations

import msgspec

from .amounts import amount_text, figures
from .size import FunctionSize, Size
from .tables import Table
from .workload import READINGS, Reading, Workload, workload

READING_TEXT = {Reading.HOSTED: "hosted by executors", Reading.PROCESSES: "executor processes"}
MOST = 0.5  # more than this share
OTHER_EXPONENTS = (1.5, 1.8, 2.4, 3.0)  # of the power law, to show what rests on the size's own
OTHER_CUTS = (0.1, 1.0, 10.0)  # times the size's own


def size_table(size: Size) -> Table:
    """The size as its file gives it."""
    sections = msgspec.to_builtins(size)
    return Table(
        ("the size", "value"),
        tuple(
            (f"{section}.{key}", _number(value))
            for section, values in sections.items()
            for key, value in values.items()
        ),
    )


def _number(value: float) -> str:
    return f"{value:,.0f}" if float(value).is_integer() else figures(value)


def workload_table(size: Size) -> Table:
    """What follows from the size alone, under both readings of it."""
    both = [workload(size, reading) for reading in READINGS]
    lines = (
        ("executors listed", "", [w.executors for w in both]),
        ("executors a machine", "", [w.executors_a_machine for w in both]),
        ("changes of the list", "changes/s", [w.list_changes for w in both]),
        ("calls at one front end", "calls/s", [w.calls_a_front_end for w in both]),
        (
            "functions called less than once a minute",
            "share",
            [w.functions_below_once_a_minute for w in both],
        ),
        ("functions known at one front end at a time", "", [w.functions_known for w in both]),
        ("functions first seen at one front end", "functions/s", [w.new_functions for w in both]),
        (
            "calls whose function this front end itself saw served within the keep time",
            "share",
            [w.calls_repeated for w in both],
        ),
        ("calls that the shared rank carries alone", "share", [1.0 - w.calls_repeated for w in both]),
        ("machines that fail, are restarted or replaced", "a day", [w.machines_changed for w in both]),
        ("changes of configuration", "changes/s", [w.configuration_changes for w in both]),
    )
    heads = (
        "what follows from the size",
        *(f"instances are {READING_TEXT[reading]}" for reading in READINGS),
    )
    return Table(
        heads, tuple((name, *(amount_text(v, unit) for v in values)) for name, unit, values in lines)
    )


def call_rates_table(size: Size) -> Table:
    """What one front end sees under other power laws by which most functions are called less than once a
    minute; the size's own stands first.
    """
    own = size.functions
    others = [
        msgspec.structs.replace(own, exponent=exponent, cut=own.cut * times)
        for exponent in OTHER_EXPONENTS
        for times in OTHER_CUTS
        if (exponent, times) != (own.exponent, 1.0)
    ]
    fitting = [
        functions
        for functions in others
        if _with_functions(size, functions).functions_below_once_a_minute > MOST
    ]
    heads = (
        "exponent",
        "cut",
        "called less than once a minute",
        "known at one front end",
        "first seen there",
        "calls that its own resume can serve",
    )
    return Table(heads, tuple(_call_rates_cells(size, functions) for functions in (own, *fitting)))


def _call_rates_cells(size: Size, functions: FunctionSize) -> tuple[str, ...]:
    w = _with_functions(size, functions)
    return (
        figures(functions.exponent),
        figures(functions.cut),
        amount_text(w.functions_below_once_a_minute, "share"),
        amount_text(w.functions_known, "functions"),
        amount_text(w.new_functions, "functions/s"),
        amount_text(w.calls_repeated, "share"),
    )


def _with_functions(size: Size, functions: FunctionSize) -> Workload:
    return workload(msgspec.structs.replace(size, functions=functions), Reading.HOSTED)
