"""The membership state machine: SWIM with suspicion, incarnations, and Lifeguard's local health, without I/O.

Usage: report each event (`receive`, `port_checked`, `wake_up`), then call `decide(now)` until it returns
None and carry out each action; `service.py` does so on sockets. The caller passes in the time (ms, from a
clock that never steps back) and the random source. The table of states is in docs/fleet.md; sources: Das,
Gupta and Motivala 2002 (SWIM), Dadgar, Phillips and Currey 2017 (Lifeguard).
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

from .dissemination import UpdateQueue
from .member import Member, MemberEvent, MemberTable, is_proved_dead
from .messages import (
    MEMBER_STATE_LABELS,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    digest,
)
from .own_incarnation import OwnIncarnation
from .probing import (
    ACK_TIMEOUT_MS,
    INDIRECT_PROBES,
    ISOLATED_AFTER_MS,
    MAX_RELAYED_PROBES,
    PROBE_PERIOD_MS,
    PROBE_TIMEOUT_MS,
    TICK_MS,
    PortChecks,
    Probe,
    Probes,
)
from .suspicion import RECENTLY_HEARD_MS, LocalHealth, SuspicionTimeouts, confirm

PAUSE_MS = 400.0  # a turn that comes this much later than a tick means that this process was paused
UNCERTAIN_MS = 3000.0  # how long the own view is uncertain after a pause or a refuted suspicion
EXTRA_PINGS_PER_PERIOD = 8  # at most, of each: pings to unknown members, to lost members, final pings
RECOVERY_MS = 5000.0  # after a dead member is heard again, other lost members are pinged like unknown ones
MAX_EVENTS = 256  # events that may wait to be logged; beyond that the oldest are dropped
PORT_REFUSED = "its port refuses: the process is gone"


class ViewStatus(Enum):
    """How reliable a view is; the values appear in records and on the members page."""

    COMPLETE = "whole"  # each listed member is alive, has left, or is proved dead
    UNCERTAIN = "in doubt"  # some member's state is not certain, or this member's own view may be out of date
    ISOLATED = "cut off"  # no messages arrive from any peer


class ActionKind(Enum):
    """What the caller has to do."""

    SEND = "send"  # send `message` to `member`
    CHECK_PORT = "check port"  # connect to the member's port, report whether the connection was refused
    WAKE = "wake"  # call again at `at_ms`


class Action(NamedTuple):
    """One action for the caller to carry out."""

    kind: ActionKind
    member: int = 0
    message: Message | None = None
    at_ms: float = 0.0


class MembershipStateMachine:
    """One member's view of the fleet, and its side of the SWIM protocol."""

    def __init__(
        self, now: float, own_id: int, token: int, fleet: int, peers: list[int], random_source: random.Random
    ) -> None:
        """Start with all peers unknown.

        `peers` are the ids of the other members. `token` tells this process from every other process that has
        ever run under its name.
        """
        self.own_id = own_id
        self.fleet = fleet
        self.random_source = random_source
        first = Incarnation(1, token)
        self.policy_version = 0  # the version this member runs under; set by the host
        self.peers_digest = digest(*map(str, sorted([own_id, *peers])))
        self.table = MemberTable(now, own_id, first, peers)
        self.others = self.table.others
        self.by_state = self.table.by_state
        self.updates = UpdateQueue(self.table)
        self.suspicions = SuspicionTimeouts(len(peers) + 1)
        self.health = LocalHealth()
        self.probes = Probes(self.table, random_source)
        self.port_checks = PortChecks(self.table, now)
        self.other_peer_lists: set[int] = set()  # members whose list of peers differs from the own one
        self.pauses = 0
        self.final_pings_left = EXTRA_PINGS_PER_PERIOD
        self.began_ms = now
        self.last_turn_ms = now
        self.next_period_ms = now
        self.last_heard_ms = -math.inf
        self.last_pause_ms = -math.inf
        self.last_recovered_ms = -math.inf
        self.next_tick_ms = -math.inf
        self.wake_requested = False  # whether the caller has been asked to wake this member at the next tick
        self.actions: deque[Action] = deque()
        self.events: deque[MemberEvent] = deque(maxlen=MAX_EVENTS)
        self.counts: Counter[str] = Counter()
        self.own = OwnIncarnation(first, self.table, self.updates, self.health, self.events, self.counts)

    @property
    def incarnation(self) -> Incarnation:
        """This process's own incarnation."""
        return self.own.current

    @property
    def yielded(self) -> bool:
        """Whether another process runs under this name and keeps it."""
        return self.own.yielded

    @property
    def view_digest(self) -> int:
        """A digest of the whole view: equal views have equal digests."""
        return self.table.view_digest

    # -- inputs

    def receive(self, now: float, sender: int, message: Message) -> None:
        """Handle a message that arrived from the address of the listed member `sender`."""
        self._begin_turn(now)
        member = self.others.get(sender)
        if member is None or message.sender != sender:
            self.counts["no peer's address"] += 1
            return
        if message.fleet != self.fleet:
            self.counts["another fleet"] += 1
            return
        if message.incarnation < member.incarnation:
            # a late message, or a process that has not learnt of an earlier process under its name
            self.counts["older start"] += 1
            if message.kind is MessageKind.PING:
                self._send(MessageKind.ACK, member, message.sequence)
            return
        self.counts["heard"] += 1
        self._note_heard(now, member, message)
        if message.kind is MessageKind.LEAVE:
            self.set_state(member, message.incarnation, MemberState.LEFT, now, "said that it leaves")
            return
        self._note_alive(now, member, message.incarnation)
        for update in message.updates:
            self._apply_update(update, member, now)
        self._answer(now, member, message)

    def port_checked(self, now: float, member_id: int, began_ms: float, refused: bool) -> None:
        """Report the result of a port check.

        A refusal proves that no process has the port; a process that starts there later waits before it uses
        any quota (`quota_lease.py`).
        """
        self._begin_turn(now)
        member = self.others.get(member_id)
        if member is None or not refused or member.heard_ms >= began_ms:
            return
        member.refused_ms = max(member.refused_ms, began_ms)
        self.port_checks.last_refused_ms = member.refused_ms
        if member.state is not MemberState.LEFT:
            self.set_state(member, member.incarnation, MemberState.DEAD, now, PORT_REFUSED)
            member.reason = PORT_REFUSED  # replaces the reason of an update from another member

    def wake_up(self) -> None:
        """Report that the requested wake-up has happened.

        If it happened slightly before the tick, `decide` requests another; otherwise none would follow.
        """
        self.wake_requested = False

    # -- outputs

    def decide(self, now: float) -> Action | None:
        """Return the next action, or None if there is none."""
        self._begin_turn(now)
        if now >= self.next_tick_ms:
            self._tick(now)
            self.next_tick_ms = now + TICK_MS
            self.wake_requested = False
        if self.actions:
            return self.actions.popleft()
        if not self.wake_requested:
            self.wake_requested = True
            return Action(ActionKind.WAKE, at_ms=self.next_tick_ms)
        return None

    def view_status(self, now: float) -> ViewStatus:
        """Return how reliable this view is now."""
        if not self.others:
            return ViewStatus.COMPLETE
        silent_ms = now - max(self.last_heard_ms, self.began_ms)
        if silent_ms > ISOLATED_AFTER_MS and not self.table.all_proved_dead(now):
            return ViewStatus.ISOLATED
        if self.yielded or now < max(self.last_pause_ms, self.own.last_refuted_ms) + UNCERTAIN_MS:
            return ViewStatus.UNCERTAIN
        if self.other_peer_lists or self.by_state[MemberState.SUSPECT] or self.by_state[MemberState.UNKNOWN]:
            return ViewStatus.UNCERTAIN
        certain = all(is_proved_dead(member, now) for member in self.by_state[MemberState.DEAD].values())
        return ViewStatus.COMPLETE if certain else ViewStatus.UNCERTAIN

    def proved_dead(self, now: float) -> list[Member]:
        """List the members whose quota is certain not to be used by any process now."""
        return self.table.proved_dead(now)

    def leave(self) -> list[Action]:
        """Return the LEAVE messages of a member that no longer uses any quota.

        They go to a few alive members, which disseminate the new state.
        """
        alive = list(self.by_state[MemberState.ALIVE].values())
        for member in self.random_source.sample(alive, min(len(alive), 3 * INDIRECT_PROBES)):
            self._send(MessageKind.LEAVE, member, 0)
        pending = list(self.actions)
        self.actions = deque()
        return [a for a in pending if a.message is not None and a.message.kind is MessageKind.LEAVE]

    def set_state(
        self, member: Member, incarnation: Incarnation, state: MemberState, now: float, reason: str
    ) -> None:
        """Change a member's state; no other code does so."""
        before = member.state
        if incarnation == member.incarnation and state is before:
            return
        self.table.move(member, incarnation, state)
        if state is not MemberState.ALIVE:
            self.other_peer_lists.discard(member.id)
        self.updates.add(member.id)
        if state is MemberState.SUSPECT:
            member.begin_suspicion(now)
        if state is not before or reason == "started again":
            member.since_ms = now
            member.reason = reason
            self.events.append(MemberEvent(member.id, MEMBER_STATE_LABELS[state], reason))

    # -- received messages

    def _note_heard(self, now: float, member: Member, message: Message) -> None:
        member.heard_ms = now
        self.last_heard_ms = now
        member.refused_ms = -math.inf  # its process is running: an earlier proof no longer holds
        member.view_digest = message.view_digest
        member.policy_version = message.policy_version
        if message.peers_digest == self.peers_digest:
            self.other_peer_lists.discard(member.id)
        else:
            self.other_peer_lists.add(member.id)

    def _note_alive(self, now: float, member: Member, incarnation: Incarnation) -> None:
        if incarnation <= member.incarnation and member.state is not MemberState.UNKNOWN:
            return
        if member.state is MemberState.DEAD:
            self.last_recovered_ms = now  # so other dead members may be running too
        restarted = member.incarnation.token not in (0, incarnation.token)
        self.set_state(member, incarnation, MemberState.ALIVE, now, "started again" if restarted else "heard")

    def _answer(self, now: float, sender: Member, message: Message) -> None:
        if message.kind is MessageKind.PING:
            self._send(MessageKind.ACK, sender, message.sequence)
        elif message.kind is MessageKind.PING_REQUEST:
            self._relay_ping(sender, message, now)
        elif message.kind is MessageKind.ACK:
            self._relay_ack(sender, message)
        elif message.kind is MessageKind.INDIRECT_ACK:
            probe = self.probes.in_flight.get(message.sequence)
            if probe is not None and probe.member.id == message.target:
                self._probe_answered(message.sequence)

    def _relay_ping(self, requester: Member, message: Message, now: float) -> None:
        target = self.others.get(message.target)
        if target is None or len(self.probes.relayed) >= MAX_RELAYED_PROBES:
            self.counts["not asked for"] += 1
            return
        sequence = self.probes.begin_relayed(requester.id, message.sequence, target.id, now)
        self._send(MessageKind.PING, target, sequence)

    def _relay_ack(self, sender: Member, message: Message) -> None:
        relayed = self.probes.relayed.pop(message.sequence, None)
        if relayed is not None and relayed.target == sender.id and relayed.requester in self.others:
            requester = self.others[relayed.requester]
            self._send(MessageKind.INDIRECT_ACK, requester, relayed.requester_sequence, relayed.target)

    def _apply_update(self, update: MemberUpdate, sender: Member, now: float) -> None:
        if update.member == self.own_id:
            self.own.apply(update, now)
            return
        member = self.others.get(update.member)
        if member is None:
            self.counts["news of one not listed"] += 1
            return
        if update.incarnation < member.incarnation or update.state is MemberState.UNKNOWN:
            return
        reason = "another says so"
        if update.incarnation > member.incarnation:
            suspected = update.state is MemberState.SUSPECT
            state = MemberState.ALIVE if suspected else update.state
            self.set_state(member, update.incarnation, state, now, reason)
        if update.state is MemberState.SUSPECT:
            self._suspect(member, sender.id, now, reason)
        elif update.state is MemberState.DEAD and member.state < MemberState.DEAD:
            if now < member.heard_ms + RECENTLY_HEARD_MS:
                self._suspect(member, sender.id, now, reason)
            else:
                self.set_state(member, update.incarnation, MemberState.DEAD, now, reason)
        elif update.state is MemberState.LEFT:
            self.set_state(member, update.incarnation, MemberState.LEFT, now, reason)

    # -- timers

    def _begin_turn(self, now: float) -> None:
        """Detect a pause of this process.

        After a pause all answers look overdue, and every other member would be suspected.
        """
        gap_ms = now - self.last_turn_ms
        self.last_turn_ms = now
        if gap_ms <= TICK_MS + PAUSE_MS:
            return
        self.last_pause_ms = now
        self.pauses += 1
        self.health.worsen()
        self.probes.in_flight.clear()
        for member in self.by_state[MemberState.SUSPECT].values():
            member.suspected_ms += gap_ms
            member.pinged_ms += gap_ms
        self.next_period_ms += gap_ms
        self.events.append(MemberEvent(0, "stood still", f"{gap_ms:.0f} ms between two turns"))

    def _tick(self, now: float) -> None:
        self._check_probes(now)
        self.probes.expire_relayed(now)
        self._check_suspicions(now)
        for member in self.port_checks.due(now, self.probes):
            self.actions.append(Action(ActionKind.CHECK_PORT, member.id))
        if now >= self.next_period_ms:
            self.next_period_ms = max(now, self.next_period_ms + PROBE_PERIOD_MS)
            self.final_pings_left = EXTRA_PINGS_PER_PERIOD
            self._begin_period(now)

    def _check_probes(self, now: float) -> None:
        factor = self.health.timeout_factor
        for sequence, probe in list(self.probes.in_flight.items()):
            age_ms = now - probe.began_ms
            if probe.member.heard_ms >= probe.began_ms:
                self._probe_answered(sequence)
            elif age_ms >= PROBE_TIMEOUT_MS * factor:
                self._probe_timed_out(sequence, probe, now)
            elif age_ms >= ACK_TIMEOUT_MS * factor and not probe.indirect:
                self._probe_indirectly(sequence, probe)

    def _probe_answered(self, sequence: int) -> None:
        del self.probes.in_flight[sequence]
        self.health.improve()

    def _probe_timed_out(self, sequence: int, probe: Probe, now: float) -> None:
        del self.probes.in_flight[sequence]
        self.health.worsen()
        if self.last_heard_ms >= probe.began_ms:  # otherwise this member itself may be cut off
            self._suspect(probe.member, self.own_id, now, "no answer, to others neither")

    def _probe_indirectly(self, sequence: int, probe: Probe) -> None:
        probe.indirect = True
        self._send(MessageKind.PING, probe.member, sequence)
        for helper in self.probes.choose_helpers(probe.member):
            self._send(MessageKind.PING_REQUEST, helper, sequence, probe.member.id)

    def _suspect(self, member: Member, suspected_by: int, now: float, reason: str) -> None:
        if member.state is MemberState.ALIVE:
            self.set_state(member, member.incarnation, MemberState.SUSPECT, now, reason)
        if suspected_by != self.own_id:
            confirm(member, suspected_by)

    def _check_suspicions(self, now: float) -> None:
        for member in list(self.by_state[MemberState.SUSPECT].values()):
            if now >= self.suspicions.deadline_ms(member):
                self._suspicion_expired(member, now)

    def _suspicion_expired(self, member: Member, now: float) -> None:
        if member.heard_ms > member.suspected_ms:
            # it has sent a message since then: it has not learnt of the suspicion yet
            member.begin_suspicion(now)
        elif now < member.pinged_ms + PROBE_TIMEOUT_MS:
            return  # when hundreds of states change at once, its answer to others reaches this one too late
        elif member.final_pings_left and self.final_pings_left:
            self.final_pings_left -= 1
            member.final_pings_left -= 1
            member.pinged_ms = now
            self._send(MessageKind.PING, member, 0)
        elif member.final_pings_left:
            return
        elif self.last_heard_ms > member.suspected_ms:
            # without this condition a member that is cut off would declare all others dead
            reason = "suspected, and did not answer in time"
            self.set_state(member, member.incarnation, MemberState.DEAD, now, reason)

    def _begin_period(self, now: float) -> None:
        begun = self.probes.begin_next(now)
        if begun is not None:
            sequence, probe = begun
            self._send(MessageKind.PING, probe.member, sequence)
        self.probes.refill_round()
        unknown = list(self.by_state[MemberState.UNKNOWN].values())
        lost = [*self.by_state[MemberState.DEAD].values(), *self.by_state[MemberState.SUSPECT].values()]
        recovering = now < self.last_recovered_ms + RECOVERY_MS
        self._ping_some(unknown, EXTRA_PINGS_PER_PERIOD)
        self._ping_some(lost, EXTRA_PINGS_PER_PERIOD if recovering else 1)
        suspects = self.by_state[MemberState.SUSPECT].values()
        unpinged = [member for member in suspects if member.pinged_ms == math.inf]
        # no member is declared dead that this member has not pinged
        for member in unpinged[:EXTRA_PINGS_PER_PERIOD]:
            self._send(MessageKind.PING, member, 0)

    def _ping_some(self, members: list[Member], max_pings: int) -> None:
        for member in self.random_source.sample(members, min(max_pings, len(members))):
            self._send(MessageKind.PING, member, 0)

    # -- sent messages

    def _send(self, kind: MessageKind, recipient: Member, sequence: int, target: int = 0) -> None:
        message = Message(
            kind,
            self.fleet,
            self.own_id,
            self.incarnation,
            self.peers_digest,
            self.view_digest,
            sequence,
            target,
            tuple(self._entry(id) for id in self.updates.pick(recipient)),
            self.policy_version,
        )
        self.counts["told"] += 1
        if kind is MessageKind.PING:
            recipient.pinged_ms = min(recipient.pinged_ms, self.last_turn_ms)
        self.actions.append(Action(ActionKind.SEND, recipient.id, message))

    def _entry(self, id: int) -> MemberUpdate:
        if id == self.own_id:
            return MemberUpdate(id, self.incarnation, MemberState.ALIVE)
        member = self.others[id]
        return MemberUpdate(id, member.incarnation, member.state)
