"""One member without I/O, messages to it, and what it does, for the tests of membership."""

import math
import random

from hypothesis import strategies as st

from petrelway.membership.messages import (
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
)
from petrelway.membership.swim import ActionKind, MembershipStateMachine

A, B, C = 11, 22, 33
EVER = math.inf


def member(now=0.0, me=A, token=5, others=(B, C)):
    return MembershipStateMachine(now, me, token, 1, list(others), random.Random(1))


PEERS = member().peers_digest


def message(
    kind=MessageKind.ACK,
    sender=B,
    incarnation=Incarnation(1, 9),
    updates=(),
    number=0,
    about=0,
    fleet=1,
    peers=PEERS,
):
    return Message(kind, fleet, sender, incarnation, peers, 0, number, about, tuple(updates))


def pull(m, now):
    """All that it decides now, but for the wake."""
    found = []
    while (d := m.decide(now)) is not None:
        if d.kind is not ActionKind.WAKE:
            found.append(d)
    return found


def run(m, begin, end, step=100.0):
    found = []
    now = begin
    while now <= end:
        found += pull(m, now)
        now += step
    return found


ids = st.integers(0, 2**32 - 1)
incarnations = st.builds(Incarnation, ids, ids)
member_updates = st.builds(
    MemberUpdate, st.sampled_from([A, B, C, 44]), incarnations, st.sampled_from(MemberState)
)
