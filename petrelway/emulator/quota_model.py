"""A small system for the explorer: three front ends that try each other's ports, die, start again, stand
still.

Each move uses the program's own code (`MembershipStateMachine.port_checked` and `.receive`,
`QuotaLeaseHolder.current`, the module's
`Gate.share`); only what lies between the processes, and the moments, are the explorer's. Times are ms of each
process's own clock, counted from now, cut off where they no longer matter: so the system has finitely many
states."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

from ..membership import quota_lease as parts
from ..membership.member import PROOF_MS, is_proved_dead
from ..membership.messages import Incarnation, MemberState, Message, MessageKind
from ..membership.quota_lease import QuotaLeaseHolder
from ..membership.swim import MembershipStateMachine
from ..routing.endpoint_lease import EndpointLeases
from ..routing.rules import Gate
from ..routing.types import LoadQuotaRule, QuotaShare, SlowStartRule

SIZE = 3
STEP_MS = 1400.0  # so that the wait of a new process ends in the step in which it may
TRIES_AT_ONCE = 2
RATES = (0.995, 1.005, 1.0)  # clocks that differ by the bound
DEAD, RUNS, STOPPED = 0, 1, 2
NOW = 1e6


class One(NamedTuple):
    """One process: what it is doing, how old, which part it was told and for how long, and how old its proofs
    are."""

    doing: int
    age: float
    share: float
    left: float
    proofs: tuple[float | None, ...]


class Try(NamedTuple):
    """A look at a port: by whom, whose, how long ago it began by the clock of who looks, and whether it was
    refused."""

    by: int
    whose: int
    age: float
    refused: bool


class System(NamedTuple):
    ones: tuple[One, ...]
    tries: frozenset[Try]
    kills: int
    starts: int
    stops: int
    words: int


def beginning(kills: int = 2, starts: int = 2, stops: int = 1, words: int = 1) -> System:
    """All three have been there for long."""
    one = One(RUNS, parts.STARTUP_WAIT_MS, 1 / SIZE, math.inf, (None,) * SIZE)
    return System((one,) * SIZE, frozenset(), kills, starts, stops, words)


def violation(system: System) -> str:
    """The one statement: the parts in use at this moment come to 1 at most."""
    total = sum(_in_use(one) for one in system.ones if one.doing == RUNS)
    return f"parts in use come to {total:.3f}" if total > 1.0 + 1e-9 else ""


@cache
def _in_use(one: One) -> float:
    """What the module would go by in this turn, if it has been told nothing since."""
    leases = EndpointLeases(grace_ms=0.0, probes=False, seed=0)
    rule, quota = SlowStartRule(1, 1, 1, 1), LoadQuotaRule(0, 0, 0)
    gate = Gate(rule, quota, 1.0, 1 / SIZE, random.Random(0), 0.0, leases)
    gate.quota_share = QuotaShare(one.share, NOW + one.left)
    return gate.share(NOW)


def _held(number: int, one: One) -> tuple[MembershipStateMachine, QuotaLeaseHolder]:
    """The program's own state behind one process."""
    others = [i + 1 for i in range(SIZE) if i != number]
    m = MembershipStateMachine(NOW, number + 1, 1, 1, others, random.Random(0))
    m.last_heard_ms = NOW
    for i, age in enumerate(one.proofs):
        if i != number:
            x = m.others[i + 1]
            m.set_state(x, Incarnation(1, 1), MemberState.ALIVE if age is None else MemberState.DEAD, NOW, "")
            x.refused_ms = -math.inf if age is None else NOW - age
    return m, QuotaLeaseHolder(NOW - one.age, SIZE)


@cache
def _turn(number: int, one: One) -> One:
    """It looks at its clock and tells its module what follows."""
    return _told(number, one, *_held(number, one))


@cache
def _learns(number: int, one: One, whose: int, age: float) -> One:
    """A try that began so long ago was refused."""
    m, p = _held(number, one)
    m.port_checked(NOW, whose + 1, NOW - age, True)
    return _told(number, one, m, p)


@cache
def _hears(number: int, one: One, whom: int) -> One:
    m, p = _held(number, one)
    m.receive(
        NOW, whom + 1, Message(MessageKind.ACK, 1, whom + 1, Incarnation(2, 1), m.peers_digest, 0, 0, 0)
    )
    return _told(number, one, m, p)


def forget() -> None:
    """What was remembered of the program's answers: it has been changed on purpose."""
    for remembered in (_in_use, _turn, _learns, _hears):
        remembered.cache_clear()


def _told(number: int, one: One, m: MembershipStateMachine, p: QuotaLeaseHolder) -> One:
    part = p.current(m, NOW).part
    proofs = tuple(
        None if i == number or not is_proved_dead(m.others[i + 1], NOW) else NOW - m.others[i + 1].refused_ms
        for i in range(SIZE)
    )
    return one._replace(share=part.share, left=part.until_ms - NOW, proofs=proofs)


def _replaced(system: System, number: int, one: One, **more) -> System:
    ones = tuple(one if i == number else x for i, x in enumerate(system.ones))
    return system._replace(ones=ones, **more)


def moves(system: System) -> Iterable[tuple[str, System]]:
    """All that can happen next."""
    yield "time passes", _time(system)
    under_way = {(t.by, t.whose) for t in system.tries}
    for i, one in enumerate(system.ones):
        if one.doing != DEAD and system.kills:
            gone = frozenset(t for t in system.tries if t.by != i)
            dead = One(DEAD, 0.0, 0.0, 0.0, (None,) * SIZE)
            yield f"kill {i}", _replaced(system, i, dead, kills=system.kills - 1, tries=gone)
        if one.doing == DEAD and system.starts:
            new = _turn(i, One(RUNS, 0.0, 0.0, 0.0, (None,) * SIZE))
            yield f"start {i}", _replaced(system, i, new, starts=system.starts - 1)
        if one.doing == RUNS and system.stops:
            yield f"stop {i}", _replaced(system, i, one._replace(doing=STOPPED), stops=system.stops - 1)
        if one.doing == STOPPED:
            yield f"go on {i}", _replaced(system, i, one._replace(doing=RUNS))
        if one.doing == RUNS:
            for j in range(SIZE):
                if j != i and (i, j) not in under_way and len(under_way) < TRIES_AT_ONCE:
                    yield f"{i} tries {j}", system._replace(tries=system.tries | {Try(i, j, 0.0, False)})
                if j != i and system.words and system.ones[j].doing == RUNS:
                    more = _hears(i, one, j)
                    yield f"{i} hears {j}", _replaced(system, i, more, words=system.words - 1)
    for t in sorted(system.tries):
        rest = system.tries - {t}
        if not t.refused:
            if system.ones[t.whose].doing == DEAD:
                yield f"{t.whose} refuses {t.by}", system._replace(tries=rest | {t._replace(refused=True)})
            yield f"try of {t.whose} by {t.by} is lost", system._replace(tries=rest)
        elif system.ones[t.by].doing == RUNS:
            more = _learns(t.by, system.ones[t.by], t.whose, t.age)
            yield f"{t.by} learns of it", _replaced(system, t.by, more, tries=rest)


def _time(system: System) -> System:
    """A step for all clocks; whoever runs takes a turn."""
    ones = []
    for i, one in enumerate(system.ones):
        if one.doing != DEAD:
            step = STEP_MS * RATES[i]
            proofs = tuple(None if a is None or a + step > PROOF_MS else a + step for a in one.proofs)
            one = one._replace(age=min(one.age + step, parts.STARTUP_WAIT_MS), left=max(0.0, one.left - step))
            one = one._replace(proofs=proofs)
            if one.doing == RUNS:
                one = _turn(i, one)
        ones.append(one)
    tries = frozenset(
        t._replace(age=t.age + STEP_MS * RATES[t.by])
        for t in system.tries
        if t.age + STEP_MS * RATES[t.by] <= PROOF_MS + STEP_MS
    )
    return system._replace(ones=tuple(ones), tries=tries)
