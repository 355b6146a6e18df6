"""What changes of configuration cost the leader, a voter and each member.

The operators set machines aside for control: leader and voters stand on them, so a front end's budget does
not hold for their rows, but one core does for the leader's one process.
"""

from __future__ import annotations

from functools import partial

from .entries import (
    CONTROL_BYTES,
    CONTROL_MACHINES,
    IN_FORCE,
    ONE_AT_A_TIME,
    ONE_CORE,
    POLICY_MEMBERS,
    US_A_S,
    Entry,
    Role,
    Situation,
    arithmetic,
    configuration_changes,
    front_ends,
    in_seconds,
    measured,
)

VISITS = "the leader visits each member, one change after the other"
PROMISE = "each member's promise before the change"
PATIENCE = "a silent member is waited for, then left out"
REPLICATION = "replicated log of the voters"
LEASES = "leases and heartbeats"

LEADER_MESSAGES = "changes.leader_messages_by_members"
LEADER_CPU = "changes.leader_cpu_by_members"
IN_FORCE_TIME = "changes.in_force_s_by_members"
LEADER_BYTES = "changes.leader_bytes_by_members"

_leader_at_rest = partial(Entry, Role.LEADER, Situation.REST)
_leader_on_a_day = partial(Entry, Role.LEADER, Situation.DAY)
_voter_at_rest = partial(Entry, Role.VOTER, Situation.REST)
_voter_on_a_day = partial(Entry, Role.VOTER, Situation.DAY)
_member_at_rest = partial(Entry, Role.FRONT_END, Situation.REST)
_member_on_a_day = partial(Entry, Role.FRONT_END, Situation.DAY)

LEADER = (
    _leader_at_rest(
        "messages of configuration",
        "messages/s",
        None,
        LEASES,
        measured("changes.rest_leader_messages_by_members", front_ends),
    ),
    _leader_at_rest(
        "bytes of configuration",
        "B/s",
        None,
        LEASES,
        measured("changes.rest_leader_bytes_by_members", front_ends),
    ),
    _leader_at_rest("members of one change", "members", POLICY_MEMBERS, VISITS, arithmetic(front_ends)),
    _leader_on_a_day(
        "messages of changes",
        "messages/s",
        None,
        VISITS,
        measured(LEADER_MESSAGES, front_ends, configuration_changes)
        + measured("changes.leader_received_messages_by_members", front_ends, configuration_changes),
    ),
    _leader_on_a_day(
        "bytes of changes",
        "B/s",
        None,
        VISITS,
        measured(LEADER_BYTES, front_ends, configuration_changes)
        + measured("changes.leader_received_bytes_by_members", front_ends, configuration_changes),
    ),
    _leader_on_a_day(
        "CPU of changes",
        "us/s",
        ONE_CORE,
        VISITS,
        measured(LEADER_CPU, front_ends, configuration_changes),
    ),
    _leader_on_a_day(
        "time until a change is in force, CPU left out",
        "s",
        IN_FORCE,
        VISITS,
        measured(IN_FORCE_TIME, front_ends),
    ),
    _leader_on_a_day(
        "time until a change is in force, the leader's CPU added",
        "s",
        IN_FORCE,
        VISITS,
        measured(IN_FORCE_TIME, front_ends) + in_seconds(LEADER_CPU, front_ends),
        is_sum=True,
    ),
    _leader_on_a_day(
        "share of the day that changes take, the leader's CPU added",
        "share",
        ONE_AT_A_TIME,
        VISITS,
        measured(IN_FORCE_TIME, front_ends, configuration_changes)
        + measured(LEADER_CPU, front_ends, lambda w: w.configuration_changes / US_A_S),
        is_sum=True,
    ),
    _leader_on_a_day(
        "time until a burst of changes is in force, CPU left out",
        "s",
        IN_FORCE,
        VISITS,
        measured("changes.burst_s_by_members", front_ends),
    ),
    _leader_on_a_day(
        "bytes of a burst of changes",
        "B",
        None,
        VISITS,
        measured("changes.burst_leader_bytes_by_members", front_ends),
    ),
    Entry(
        Role.LEADER,
        Situation.RACK,
        "time until a change ends, one member silent",
        "s",
        IN_FORCE,
        PATIENCE,
        measured("changes.silent_s_by_members", front_ends),
    ),
    Entry(
        Role.LEADER,
        Situation.RACK,
        "messages of one change, one member silent",
        "messages",
        None,
        PATIENCE,
        measured("changes.silent_leader_messages_by_members", front_ends),
    ),
    Entry(
        Role.LEADER,
        Situation.PARTED,
        "time until a change ends, a region silent",
        "s",
        IN_FORCE,
        PATIENCE,
        measured("changes.region_silent_s_by_members", front_ends),
    ),
)
VOTER = (
    _voter_at_rest(
        "machines of the voters",
        "machines",
        CONTROL_MACHINES,
        REPLICATION,
        arithmetic(lambda w: w.policy_voters),
    ),
    _voter_on_a_day(
        "changes written to disk", "changes/s", None, REPLICATION, arithmetic(configuration_changes)
    ),
    _voter_on_a_day(
        "bytes of the log",
        "B/s",
        None,
        REPLICATION,
        measured("changes.voter_bytes_by_members", front_ends, configuration_changes),
    ),
)
MEMBER_REST = (
    _member_at_rest(
        "messages of configuration",
        "messages/s",
        None,
        LEASES,
        measured("changes.rest_member_messages_by_members", front_ends),
    ),
)
MEMBER_DAY_BYTES = (
    _member_on_a_day(
        "bytes of configuration changes",
        "B/s",
        CONTROL_BYTES,
        PROMISE,
        measured("changes.member_bytes_by_members", front_ends, configuration_changes),
    ),
)
MEMBER_DAY = (
    _member_on_a_day(
        "messages of configuration changes",
        "messages/s",
        None,
        PROMISE,
        measured("changes.member_messages_by_members", front_ends, configuration_changes),
    ),
)
