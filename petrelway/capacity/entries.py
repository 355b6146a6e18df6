"""The shape of an entry: one cost of one role, not yet worked out. The tables of entries stand beside it.

An entry names its terms (a slope, what it is evaluated at, how many times it counts), its limit, and what
carries it today. A slope that nobody measured may stand in a term all the same: its row then says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from ..platform.discovery_codec import RECORDS_BOUND
from ..policy.log_entries import MAX_MEMBERS
from .size import Size
from .workload import Workload

BYTES_A_KB = 1e3
BYTES_A_MB = 1e6
US_A_S = 1e6
WORKER_LINKS_BOUND = 1024  # LINKS_BOUND of petrelway/worker/service.py, which is no import for pure code

Measure = Callable[[Workload], float]


class Role(Enum):
    FRONT_END = "front end"
    EXECUTOR = "executor"
    LIST_SOURCE = "list source"
    LEADER = "policy leader"
    VOTER = "policy voter"


class Situation(Enum):
    REST = "at rest"
    DAY = "ordinary day"
    START = "a front end starts"
    RACK = "lost rack or switch"
    ZONE = "lost zone"
    PARTED = "parted regions"


class LimitKind(Enum):
    BUDGET = "budget"  # the operators'
    BOUND = "bound"  # a named constant of the program, past which it refuses


class Limit(NamedTuple):
    """What an amount may be at the most, in the unit of its entry."""

    name: str
    kind: LimitKind
    amount: Callable[[Size], float]


class Ceiling(NamedTuple):
    """What an amount can't be over, by a named bound of the program: `factor` x another slope's cost."""

    name: str
    slope: str
    factor: float


class Term(NamedTuple):
    """`times` x the slope's cost at `at`; without a slope `times` x `at`, which is arithmetic."""

    slope: str | None
    at: Measure
    times: Measure = lambda w: 1.0
    ceiling: Ceiling | None = None


class Entry(NamedTuple):
    """One row to be: who, when, what, its limit, what carries it today, and the terms that add up to it."""

    role: Role
    situation: Situation
    quantity: str
    unit: str
    limit: Limit | None
    carried_by: str
    terms: tuple[Term, ...]
    is_sum: bool = False  # of other entries
    shown_unmeasured: bool = True


def sum_of(quantity: str, entries: Iterable[Entry], situation: Situation) -> Entry:
    """The entries that have one unit and one limit, added up."""
    parts = tuple(entries)
    first = parts[0]
    if any((part.unit, part.limit, part.role) != (first.unit, first.limit, first.role) for part in parts):
        raise ValueError(f"{quantity}: its entries differ in unit, limit or role")
    terms = tuple(term for part in parts for term in part.terms)
    return Entry(
        first.role, situation, quantity, first.unit, first.limit, "the rows above", terms, is_sum=True
    )


def arithmetic(amount: Measure) -> tuple[Term, ...]:
    """An amount that follows from the size alone."""
    return (Term(None, amount),)


def measured(slope: str, at: Measure, times: Measure = lambda w: 1.0) -> tuple[Term, ...]:
    """An amount that one slope gives."""
    return (Term(slope, at, times),)


def in_seconds(slope: str, at: Measure) -> tuple[Term, ...]:
    """A slope in us as seconds."""
    return measured(slope, at, lambda w: 1.0 / US_A_S)


def _budget(name: str, amount: Callable[[Size], float]) -> Limit:
    return Limit(name, LimitKind.BUDGET, amount)


def _bound(name: str, amount: int) -> Limit:
    return Limit(name, LimitKind.BOUND, lambda size: float(amount))


CONTROL_MEMORY = _budget("control memory", lambda s: s.budget.control_memory_mb * BYTES_A_MB)
CONTROL_CPU = _budget("control CPU", lambda s: s.budget.control_core_share * US_A_S)
CONTROL_BYTES = _budget("control bytes", lambda s: s.budget.control_kb_a_second * BYTES_A_KB)
CONTROL_MACHINES = _budget("control machines", lambda s: float(s.budget.control_machines))
COLD_START = _budget("cold start p99", lambda s: s.budget.cold_start_p99_s)
IN_FORCE = _budget("configuration in force", lambda s: s.budget.configuration_in_force_s)
ONE_CORE = _bound("one core of one process", round(US_A_S))
ONE_AT_A_TIME = _budget("changes one after the other", lambda s: 1.0)
EVENT_RECORDS = _bound("RECORDS_BOUND of one event", RECORDS_BOUND)
POLICY_MEMBERS = _bound("MEMBERS_BOUND of a policy message", MAX_MEMBERS)
WORKER_LINKS = _bound("LINKS_BOUND of a worker", WORKER_LINKS_BOUND)


def front_ends(w: Workload) -> float:
    return w.front_ends


def executors(w: Workload) -> float:
    return w.executors


def list_changes(w: Workload) -> float:
    return w.list_changes


def rack_list_changes(w: Workload) -> float:
    """Entries that go at once with a rack."""
    return min(w.executors, w.rack_machines * w.executors_a_machine)


def zone_list_changes(w: Workload) -> float:
    """Entries that go at once with a zone of the mean size."""
    return w.executors / w.zones


def configuration_changes(w: Workload) -> float:
    return w.configuration_changes
