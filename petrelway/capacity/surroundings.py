"""What front ends ask of executors and of the source of the list. Of the operators' platform nothing but
arithmetic on its record size is known here; its processor time and memory are not measured."""

from __future__ import annotations

from functools import partial

from ..platform.discovery_codec import HEADER, RECORD
from .entries import (
    EVENT_RECORDS,
    WORKER_LINKS,
    Entry,
    Role,
    Situation,
    arithmetic,
    executors,
    front_ends,
    measured,
    zone_list_changes,
)
from .front_end import list_bytes_a_second, whole_list_bytes
from .workload import Workload

PLATFORM = "the operators' platform"
ONE_EVENT = "the whole list in one event"
LINKS = "a link from each front end"

_source_at_rest = partial(Entry, Role.LIST_SOURCE, Situation.REST)
_executor_at_rest = partial(Entry, Role.EXECUTOR, Situation.REST)


def _fan_out_bytes_a_second(w: Workload) -> float:
    return w.front_ends * list_bytes_a_second(w)


def _zone_bytes(w: Workload) -> float:
    return w.front_ends * (HEADER.size + RECORD.size * zone_list_changes(w))


EXECUTOR = (
    _executor_at_rest(
        "connections from front ends", "connections", WORKER_LINKS, LINKS, arithmetic(front_ends)
    ),
    _executor_at_rest(
        "calls", "calls/s", None, "calls spread by the rank", arithmetic(lambda w: w.calls / w.executors)
    ),
    _executor_at_rest(
        "memory of connections", "B", None, LINKS, measured("executor.memory_by_front_ends", front_ends)
    ),
)
LIST_SOURCE = (
    _source_at_rest("front ends that follow it", "connections", None, PLATFORM, arithmetic(front_ends)),
    _source_at_rest(
        "executors in one whole list", "records", EVENT_RECORDS, ONE_EVENT, arithmetic(executors)
    ),
    _source_at_rest(
        "processor time", "us/s", None, PLATFORM, measured("list_source.cpu_by_front_ends", front_ends)
    ),
    _source_at_rest("memory", "B", None, PLATFORM, measured("list_source.memory_by_executors", executors)),
    Entry(
        Role.LIST_SOURCE,
        Situation.DAY,
        "bytes to all front ends",
        "B/s",
        None,
        PLATFORM,
        arithmetic(_fan_out_bytes_a_second),
    ),
    Entry(
        Role.LIST_SOURCE,
        Situation.START,
        "bytes to one front end",
        "B",
        None,
        PLATFORM,
        arithmetic(whole_list_bytes),
    ),
    Entry(
        Role.LIST_SOURCE,
        Situation.ZONE,
        "bytes to all front ends, once",
        "B",
        None,
        PLATFORM,
        arithmetic(_zone_bytes),
    ),
    Entry(
        Role.LIST_SOURCE,
        Situation.PARTED,
        "whole lists to all front ends, once healed",
        "B",
        None,
        PLATFORM,
        arithmetic(lambda w: w.front_ends * whole_list_bytes(w)),
    ),
)
