"""What one front end keeps and does for control because of executors, functions and calls."""

from __future__ import annotations

from functools import partial

from ..platform.discovery_codec import HEADER, RECORD
from .entries import (
    COLD_START,
    CONTROL_BYTES,
    CONTROL_CPU,
    CONTROL_MEMORY,
    Entry,
    Role,
    Situation,
    arithmetic,
    executors,
    in_seconds,
    list_changes,
    measured,
    rack_list_changes,
    zone_list_changes,
)
from .workload import FORGET_S, Workload

EVENTS_A_SECOND = 1.0  # the event bus says something each second, if only that nothing is new
WHOLE_LIST = "the whole list of executors at each front end"
LIST_EVENTS = "event bus, one record a change"
RANKING = "an arc of the hash ring, ranked for each function known"
FORGETTING = f"functions forgotten after {FORGET_S:g} s without a call"
OWN_CALLS = "own calls alone"
LINKS = "a link for each executor listed"

LIST_CHANGE_CPU = "front_end.list_change_cpu_by_executors"
WHOLE_LIST_CPU = "front_end.whole_list_cpu_by_executors"
FIRST_CALL_CPU = "front_end.first_call_by_executors"

_at_rest = partial(Entry, Role.FRONT_END, Situation.REST)
_on_a_day = partial(Entry, Role.FRONT_END, Situation.DAY)
_at_start = partial(Entry, Role.FRONT_END, Situation.START)
_rack_lost = partial(Entry, Role.FRONT_END, Situation.RACK)
_zone_lost = partial(Entry, Role.FRONT_END, Situation.ZONE)
_parted = partial(Entry, Role.FRONT_END, Situation.PARTED)


def functions_known(w: Workload) -> float:
    return w.functions_known


def new_functions(w: Workload) -> float:
    return w.new_functions


def calls_a_front_end(w: Workload) -> float:
    return w.calls_a_front_end


def ranks_changed(w: Workload) -> float:
    """Each change of the list costs each known function once, at its next call."""
    return w.list_changes * w.functions_known


def whole_list_bytes(w: Workload) -> float:
    return HEADER.size + RECORD.size * w.executors


def list_bytes_a_second(w: Workload) -> float:
    return HEADER.size * EVENTS_A_SECOND + RECORD.size * w.list_changes


MEMORY = (
    _at_rest(
        "memory of executors listed",
        "B",
        CONTROL_MEMORY,
        WHOLE_LIST,
        measured("front_end.memory_by_executors", executors),
    ),
    _at_rest(
        "memory of links and indices",
        "B",
        CONTROL_MEMORY,
        LINKS,
        measured("front_end.host_memory_by_executors", executors),
    ),
    _at_rest(
        "memory of functions known",
        "B",
        CONTROL_MEMORY,
        FORGETTING,
        measured("front_end.memory_by_functions", functions_known),
    ),
    _at_rest(
        "memory of ranked executors, all functions known",
        "B",
        CONTROL_MEMORY,
        RANKING,
        measured("front_end.ranking_memory_by_executors", executors, functions_known),
    ),
)
CPU = (
    _at_rest(
        "CPU of tidying, by executors",
        "us/s",
        CONTROL_CPU,
        WHOLE_LIST,
        measured("front_end.tidy_cpu_by_executors", executors),
    ),
    _at_rest(
        "CPU of tidying, by functions known",
        "us/s",
        CONTROL_CPU,
        FORGETTING,
        measured("front_end.tidy_cpu_by_functions", functions_known),
    ),
    _at_rest(
        "CPU of first calls of functions",
        "us/s",
        CONTROL_CPU,
        RANKING,
        measured(FIRST_CALL_CPU, executors, new_functions),
    ),
    _at_rest(
        "CPU of control, by own calls",
        "us/s",
        CONTROL_CPU,
        OWN_CALLS,
        measured("front_end.control_cpu_by_calls", calls_a_front_end),
    ),
)
DAY_CPU = (
    _on_a_day(
        "CPU of list changes",
        "us/s",
        CONTROL_CPU,
        WHOLE_LIST,
        measured(LIST_CHANGE_CPU, executors, list_changes),
    ),
    _on_a_day(
        "CPU of list changes, by functions known",
        "us/s",
        CONTROL_CPU,
        FORGETTING,
        measured("front_end.list_change_cpu_by_functions", functions_known, list_changes),
    ),
    _on_a_day(
        "CPU of ranks brought up to date, all functions known",
        "us/s",
        CONTROL_CPU,
        RANKING,
        measured("front_end.ranking_change_cpu_by_executors", executors, ranks_changed),
    ),
)
DAY_BYTES = (
    _on_a_day("bytes of list changes", "B/s", CONTROL_BYTES, LIST_EVENTS, arithmetic(list_bytes_a_second)),
)
OTHERS = (
    _at_rest(
        "CPU of functions first seen, at the rig's executors",
        "us/s",
        CONTROL_CPU,
        FORGETTING,
        measured("front_end.control_cpu_by_new_functions", new_functions),
    ),
    _at_rest(
        "time of one first call",
        "s",
        COLD_START,
        RANKING,
        in_seconds(FIRST_CALL_CPU, executors),
    ),
    _at_rest("connections to executors", "connections", None, LINKS, arithmetic(executors)),
    _at_rest(
        "CPU of calls (no control)",
        "us/s",
        None,
        OWN_CALLS,
        measured("front_end.call_cpu_by_calls", calls_a_front_end),
    ),
    _at_rest(
        "memory of calls (no control)",
        "B",
        None,
        OWN_CALLS,
        measured("front_end.memory_by_calls", calls_a_front_end),
    ),
    _at_start("bytes of the whole list", "B", None, WHOLE_LIST, arithmetic(whole_list_bytes)),
    _at_start(
        "turn that takes the whole list in",
        "s",
        COLD_START,
        WHOLE_LIST,
        in_seconds(WHOLE_LIST_CPU, executors),
    ),
    _rack_lost(
        "CPU of its list changes, once",
        "us",
        None,
        WHOLE_LIST,
        measured(LIST_CHANGE_CPU, executors, rack_list_changes),
    ),
    _zone_lost(
        "CPU of its list changes, once",
        "us",
        None,
        WHOLE_LIST,
        measured(LIST_CHANGE_CPU, executors, zone_list_changes),
    ),
    _zone_lost(
        "bytes of its list changes, once",
        "B",
        None,
        LIST_EVENTS,
        arithmetic(lambda w: HEADER.size + RECORD.size * zone_list_changes(w)),
    ),
    _parted(
        "turn that takes the whole list in again, after a gap of the event bus",
        "s",
        COLD_START,
        WHOLE_LIST,
        in_seconds("front_end.whole_list_again_cpu_by_executors", executors),
    ),
)
