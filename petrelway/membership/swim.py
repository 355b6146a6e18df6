"""Who is there, pure: SWIM with suspicion, starts, and Lifeguard's local health; clock and chance handed in.

How to call it: tell it what happens (`heard`, `tried`), then call `decide(now)` until it gives None and carry
each decision out. Times are ms of a clock that never steps back. The table of states is in docs/fleet.md;
sources: Das, Gupta and Motivala 2002 (SWIM), Dadgar, Phillips and Currey 2017 (Lifeguard)."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

from .messages import (
    MAX_UPDATES,
    MEMBER_STATE_LABELS,
    MEMBER_UPDATE,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    digest,
)

TICK_MS = 100.0  # it looks at its clock this often, so that it notices when it stood still
PERIOD_MS = 1000.0  # one member is asked in this time
ACK_MS = 500.0  # an ask without an answer by then: others are asked to ask, and its port is tried ...
PROBE_MS = 2000.0  # ... and without any by then it is suspected
HELPERS = 3  # that are asked to ask
SUSPECT_MS = 3000.0  # a suspicion that enough others share lasts this, times log10 of the members ...
SUSPECT_MOST = 3.0  # ... and one that nobody shares so many times that
LAST_ASKS = 2  # after a suspicion's time it is asked so often before it is failed
SHARED_BY = 3  # others that share it, for the shortest
RECENTLY_HEARD_MS = 3000.0  # one heard so lately is not failed on another's word
HEALTH_MOST = 8  # own time-outs grow by one for each ask that failed, each accusation and each stall
STALL_MS = 400.0  # a turn that comes this late: this process itself stood still
ALONE_MS = 5000.0  # nobody heard for so long: cut off
DOUBT_MS = 3000.0  # after a stall or an accusation it doubts its own view for this time
UNKNOWN_PROBES_PER_PERIOD = 8  # asks a period to those unheard yet; one a period to those failed
HEALED_MS = 5000.0  # after one held failed was heard again the others are knocked at like those unheard
TRIES_PER_S = 60.0  # ports tried, whatever the number of members: so many dead times PROOF_MS can be known
TRY_AGAIN_MS = 1500.0  # the same port not more often than this
SWEEP_MS = 4000.0  # after a refusal every port of one not heard is tried for this time: many may have died
TOLD_TIMES = 3.0  # news is told so often, times log2 of the members
ASKED_FOR_BOUND = 64  # asks for others at a time
STEP = 4096  # a new process starts so far above an earlier one, which had fewer accusations to answer
MAX_CONFLICTING_PROCESSES = 16  # other processes under the own name that are remembered
REFUSED = "its port refuses: the process is gone"
CHANGES_BOUND = 256  # changes that wait to be said


class ViewStatus(Enum):
    """What the view is worth."""

    COMPLETE = "whole"  # each listed member is alive, has left, or is proved dead
    UNCERTAIN = "in doubt"  # of some it can't be told, or this member doubts itself
    ISOLATED = "cut off"  # nobody is heard


class ActionKind(Enum):
    SEND = "tell"  # send `word` to `member`
    CHECK_PORT = "try"  # dial the member's port and say whether it was refused
    WAKE = "wake"  # call again at `ms`


class Action(NamedTuple):
    verb: ActionKind
    member: int = 0
    word: Message | None = None
    ms: float = 0.0


class MemberEvent(NamedTuple):
    """Something changed for an operator; `member` 0 for this one itself."""

    member: int
    what: str
    why: str


class Member:
    """What is known of one listed peer."""

    def __init__(self, id: int, now: float) -> None:
        self.id, self.start, self.state, self.since_ms = id, Incarnation(0, 0), MemberState.UNKNOWN, now
        self.heard_ms = self.refused_ms = self.tried_ms = -math.inf
        self.suspect(now)
        self.view = 0  # the digest of its view, as last heard
        self.version = 0  # of the terms that it runs under, as last heard
        self.why = ""

    def suspect(self, now: float) -> None:
        """A suspicion begins: who shares it, when it was first asked since, how often it is at the end."""
        self.begun_ms, self.confirmers, self.asked_ms, self.asks_left = now, set[int](), math.inf, LAST_ASKS


class Probe:
    """One ask that waits for its answer."""

    def __init__(self, member: Member, began_ms: float) -> None:
        self.member, self.began_ms, self.helped = member, began_ms, False


class MembershipStateMachine:
    """One member's view of all."""

    def __init__(
        self, now: float, me: int, token: int, fleet: int, peers: list[int], random_source: random.Random
    ) -> None:
        """`peers` are the others' ids. `token` names this process among all that ever had its name."""
        self.me, self.start, self.fleet, self.random_source = me, Incarnation(1, token), fleet, random_source
        self.others = {id: Member(id, now) for id in sorted(peers)}
        self.ids = list(self.others)
        # danger: looked through ten times a second, a thousand members would cost more than their words
        self.by_state: dict[MemberState, dict[int, Member]] = {state: {} for state in MemberState}
        self.by_state[MemberState.UNKNOWN].update(self.others)
        self.unlike: set[int] = set()  # members that have another list of peers
        self.peers = digest(*map(str, sorted([me, *peers])))
        self.view = 0
        for m in self.others.values():
            self.view ^= _digest(m.id, m.start, m.state)
        self.view ^= _digest(me, self.start, MemberState.ALIVE)
        size = len(peers) + 1
        self.suspect_ms = SUSPECT_MS * max(1.0, math.log10(size))
        self.told_times = math.ceil(TOLD_TIMES * math.log2(size + 1))
        self.began_ms = self.turned_ms = self.period_ms = now
        self.last_heard_ms = self.accused_ms = self.stalled_ms = self.swept_ms = self.healed_ms = -math.inf
        self.health = self.stalls = 0
        self.spare = UNKNOWN_PROBES_PER_PERIOD  # last asks left in this period
        self.version = 0  # of the terms that this one runs under, as the host tells it
        self.yielded = False  # another process has this name, and keeps it
        self.overs: dict[int, int] = {}  # token of another process under this name -> incarnation outdone
        self.number = random_source.randrange(1 << 31)
        self.probes: dict[int, Probe] = {}  # by the ask's number
        # asks for others, by our number: who asked, its number, whom, until when
        self.asked_for: dict[int, tuple[int, int, int, float]] = {}
        self.told: dict[int, int] = {}  # news of these members -> how often told
        self.turn: list[int] = []  # whom to ask next
        self.cursor = 0
        self.room = 1.0  # tries that are earned
        self.due_ms, self.waking = -math.inf, False  # when to look next, and whether the host knows
        self.out: deque[Action] = deque()
        self.changes: deque[MemberEvent] = deque(maxlen=CHANGES_BOUND)
        self.counts: Counter[str] = Counter()

    # -- inputs

    def heard(self, now: float, sender: int, word: Message) -> None:
        """A word came from the address of the listed member `sender`."""
        self._turned(now)
        m = self.others.get(sender)
        if m is None or word.fleet != self.fleet or word.sender != sender:
            self.counts[
                "another fleet" if m is not None and word.sender == sender else "no peer's address"
            ] += 1
            return
        if word.start < m.start:  # a late word, or a process that does not know of an earlier one of its name
            self.counts["older start"] += 1
            if word.kind is MessageKind.PING:
                self._tell(MessageKind.ACK, m, word.number)
            return
        self.counts["heard"] += 1
        m.heard_ms = self.last_heard_ms = now
        m.refused_ms = -math.inf  # it is there: what was proved is over
        m.view, m.version = word.view, word.version
        if word.peers == self.peers:
            self.unlike.discard(sender)
        else:
            self.unlike.add(sender)
        if word.kind is MessageKind.LEAVE:
            self._hold(m, word.start, MemberState.LEFT, now, "said that it leaves")
            return
        if word.start > m.start or m.state is MemberState.UNKNOWN:
            if m.state is MemberState.DEAD:
                self.healed_ms = now  # so others may be there too
            again = m.start.token not in (0, word.start.token)
            self._hold(m, word.start, MemberState.ALIVE, now, "started again" if again else "heard")
        for news in word.news:
            self._news(news, m, now)
        if word.kind is MessageKind.PING:
            self._tell(MessageKind.ACK, m, word.number)
        elif word.kind is MessageKind.PING_REQUEST:
            self._ask_for(m, word, now)
        elif word.kind is MessageKind.ACK and (asked := self.asked_for.pop(word.number, None)) is not None:
            who, number, whom, _ = asked
            if whom == sender and who in self.others:
                self._tell(MessageKind.INDIRECT_ACK, self.others[who], number, whom)
        elif word.kind is MessageKind.INDIRECT_ACK:
            probe = self.probes.get(word.number)
            if probe is not None and probe.member.id == word.about:
                self._answered(word.number)

    def tried(self, now: float, member: int, began_ms: float, refused: bool) -> None:
        """The end of a try of its port. RefusedError: no process has it, and whoever starts there waits
        (parts.py)."""
        self._turned(now)
        m = self.others.get(member)
        if m is None or not refused or m.heard_ms >= began_ms:
            return
        m.refused_ms = self.swept_ms = max(m.refused_ms, began_ms)
        if m.state is not MemberState.LEFT:
            self._hold(m, m.start, MemberState.DEAD, now, REFUSED)
            m.why = REFUSED  # whoever said so before

    def time_passed(self, now: float) -> None:
        """The wake that was asked for. Danger: one that comes a hair early would be the last."""
        self.waking = False

    # -- decisions

    def decide(self, now: float) -> Action | None:
        """The next thing to do, or None."""
        self._turned(now)
        if now >= self.due_ms:
            self._look(now)
            self.due_ms, self.waking = now + TICK_MS, False
        if self.out:
            return self.out.popleft()
        if not self.waking:
            self.waking = True
            return Action(ActionKind.WAKE, ms=self.due_ms)
        return None

    def whole(self, now: float) -> ViewStatus:
        if not self.others:
            return ViewStatus.COMPLETE
        if now - max(self.last_heard_ms, self.began_ms) > ALONE_MS and not self._all_proved(now):
            return ViewStatus.ISOLATED
        if self.yielded or now < max(self.stalled_ms, self.accused_ms) + DOUBT_MS:
            return ViewStatus.UNCERTAIN
        if self.unlike or self.by_state[MemberState.SUSPECT] or self.by_state[MemberState.UNKNOWN]:
            return ViewStatus.UNCERTAIN
        sure = all(proved(m, now) for m in self.by_state[MemberState.DEAD].values())
        return ViewStatus.COMPLETE if sure else ViewStatus.UNCERTAIN

    def _all_proved(self, now: float) -> bool:
        gone = len(self.by_state[MemberState.DEAD]) + len(self.by_state[MemberState.LEFT])
        return gone == len(self.others) and len(self.proved(now)) == gone

    def proved(self, now: float) -> list[Member]:
        """Those of which it is certain now that no process uses their share."""
        states = (MemberState.DEAD, MemberState.LEFT)
        return [m for state in states for m in self.by_state[state].values() if proved(m, now)]

    def leave(self) -> list[Action]:
        """The words of one that has stopped using anything: to a few, who pass it on."""
        alive = list(self.by_state[MemberState.ALIVE].values())
        some = self.random_source.sample(alive, min(len(alive), 3 * HELPERS))
        for m in some:
            self._tell(MessageKind.LEAVE, m, 0)
        done, self.out = list(self.out), deque()
        return [d for d in done if d.word is not None and d.word.kind is MessageKind.LEAVE]

    # -- what passes in a turn

    def _turned(self, now: float) -> None:
        """Danger: one that stood still finds all answers overdue, and would accuse every other member."""
        gap, self.turned_ms = now - self.turned_ms, now
        if gap <= TICK_MS + STALL_MS:
            return
        self.stalled_ms, self.stalls = now, self.stalls + 1
        self.health = min(HEALTH_MOST, self.health + 1)
        self.probes.clear()
        for m in self.by_state[MemberState.SUSPECT].values():
            m.begun_ms, m.asked_ms = m.begun_ms + gap, m.asked_ms + gap
        self.period_ms += gap
        self.changes.append(MemberEvent(0, "stood still", f"{gap:.0f} ms between two turns"))

    def _look(self, now: float) -> None:
        slower = 1.0 + self.health
        for number, probe in list(self.probes.items()):
            m, age = probe.member, now - probe.began_ms
            if m.heard_ms >= probe.began_ms:
                self._answered(number)
            elif age >= PROBE_MS * slower:
                del self.probes[number]
                self.health = min(HEALTH_MOST, self.health + 1)
                if self.last_heard_ms >= probe.began_ms:  # else it may be this one that is cut off
                    self._suspect(m, self.me, now, "no answer, to others neither")
            elif age >= ACK_MS * slower and not probe.helped:
                probe.helped = True
                self._tell(MessageKind.PING, m, number)
                alive = [x for x in self.by_state[MemberState.ALIVE].values() if x is not m]
                for helper in self.random_source.sample(alive, min(HELPERS, len(alive))):
                    self._tell(MessageKind.PING_REQUEST, helper, number, m.id)
        for number in [n for n, asked in self.asked_for.items() if now > asked[3]]:
            del self.asked_for[number]
        for m in list(self.by_state[MemberState.SUSPECT].values()):
            if now >= self._suspected_till(m):
                if m.heard_ms > m.begun_ms:  # our own ears say otherwise: it has not heard the accusation yet
                    m.suspect(now)
                elif now < m.asked_ms + PROBE_MS:
                    continue  # danger: where hundreds change at once its answer to others comes too late here
                elif m.asks_left and self.spare:
                    self.spare, m.asks_left, m.asked_ms = self.spare - 1, m.asks_left - 1, now
                    self._tell(MessageKind.PING, m, 0)
                elif m.asks_left:
                    continue
                elif self.last_heard_ms > m.begun_ms:  # danger: one that is cut off would fail all others
                    self._hold(m, m.start, MemberState.DEAD, now, "suspected, and did not answer in time")
        self._try_ports(now)
        if now >= self.period_ms:
            self.period_ms, self.spare = max(now, self.period_ms + PERIOD_MS), UNKNOWN_PROBES_PER_PERIOD
            self._ask_next(now)

    def _ask_next(self, now: float) -> None:
        while self.turn:
            m = self.others[self.turn.pop()]
            if m.state in (MemberState.ALIVE, MemberState.SUSPECT):
                self.number = self.number + 1 & 0xFFFFFFFF
                self.probes[self.number] = Probe(m, now)
                self._tell(MessageKind.PING, m, self.number)
                break
        if not self.turn:
            self.turn = [*self.by_state[MemberState.ALIVE], *self.by_state[MemberState.SUSPECT]]
            self.random_source.shuffle(self.turn)
        unheard = list(self.by_state[MemberState.UNKNOWN].values())
        lost = [*self.by_state[MemberState.DEAD].values(), *self.by_state[MemberState.SUSPECT].values()]
        found_again = now < self.healed_ms + HEALED_MS
        for some, most in ((unheard, UNKNOWN_PROBES_PER_PERIOD), (lost, UNKNOWN_PROBES_PER_PERIOD if found_again else 1)):
            for m in self.random_source.sample(some, min(most, len(some))):
                self._tell(MessageKind.PING, m, 0)
        unasked = [m for m in self.by_state[MemberState.SUSPECT].values() if m.asked_ms == math.inf]
        for m in unasked[:UNKNOWN_PROBES_PER_PERIOD]:  # nobody is failed whom this one has not asked itself
            self._tell(MessageKind.PING, m, 0)

    def _try_ports(self, now: float) -> None:
        """Silence proves nothing, a refused port does. Danger: after seven in ten died at once, to ask one a
        second would take a minute; a refusal has all that are not heard tried."""
        earned = TRIES_PER_S * TICK_MS / 1e3
        self.room = min(2.0 * earned, self.room + earned)
        some = {p.member.id: p.member for p in self.probes.values() if p.helped}
        for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            some.update(self.by_state[state])
        if now > self.began_ms + ALONE_MS:
            some.update(self.by_state[MemberState.UNKNOWN])
        if now < self.swept_ms + SWEEP_MS:
            silent = now - PERIOD_MS
            some.update((id, m) for id, m in self.by_state[MemberState.ALIVE].items() if m.heard_ms < silent)
        due = [m for m in some.values() if now >= m.tried_ms + TRY_AGAIN_MS]
        due.sort(key=lambda m: m.tried_ms)
        for m in due[: int(self.room)]:
            self.room -= 1.0
            m.tried_ms = now
            self.out.append(Action(ActionKind.CHECK_PORT, m.id))

    def _answered(self, number: int) -> None:
        del self.probes[number]
        self.health = max(0, self.health - 1)

    def _ask_for(self, who: Member, word: Message, now: float) -> None:
        m = self.others.get(word.about)
        if m is None or len(self.asked_for) >= ASKED_FOR_BOUND:
            self.counts["not asked for"] += 1
            return
        self.number = self.number + 1 & 0xFFFFFFFF
        self.asked_for[self.number] = who.id, word.number, m.id, now + PROBE_MS
        self._tell(MessageKind.PING, m, self.number)

    # -- what is believed

    def _hold(self, m: Member, start: Incarnation, state: MemberState, now: float, why: str) -> None:
        """The one place where a member's state changes."""
        before = m.state
        if start == m.start and state is before:
            return
        self.view ^= _digest(m.id, m.start, before) ^ _digest(m.id, start, state)
        m.start, m.state = start, state
        del self.by_state[before][m.id]
        self.by_state[state][m.id] = m
        if state is not MemberState.ALIVE:
            self.unlike.discard(m.id)
        self.told[m.id] = 0
        if state is MemberState.SUSPECT:
            m.suspect(now)
        if state is not before or why == "started again":
            m.since_ms, m.why = now, why
            self.changes.append(MemberEvent(m.id, MEMBER_STATE_LABELS[state], why))

    def _suspect(self, m: Member, by: int, now: float, why: str) -> None:
        if m.state is MemberState.ALIVE:
            self._hold(m, m.start, MemberState.SUSPECT, now, why)
        if m.state is MemberState.SUSPECT and by != self.me and len(m.confirmers) < SHARED_BY:
            m.confirmers.add(by)

    def _suspected_till(self, m: Member) -> float:
        shared = math.log(len(m.confirmers) + 1) / math.log(SHARED_BY + 1)
        return m.begun_ms + self.suspect_ms * (SUSPECT_MOST - (SUSPECT_MOST - 1.0) * shared)

    def _news(self, news: MemberUpdate, sender: Member, now: float) -> None:
        if news.member == self.me:
            self._told_of_me(news, now)
            return
        m = self.others.get(news.member)
        if m is None:
            self.counts["news of one not listed"] += 1
            return
        if news.start < m.start or news.state is MemberState.UNKNOWN:
            return
        why = "another says so"
        if news.start > m.start:
            heard = news.state is MemberState.SUSPECT
            self._hold(m, news.start, MemberState.ALIVE if heard else news.state, now, why)
        if news.state is MemberState.SUSPECT:
            self._suspect(m, sender.id, now, why)
        elif news.state is MemberState.DEAD and m.state < MemberState.DEAD:
            if now < m.heard_ms + RECENTLY_HEARD_MS:
                self._suspect(m, sender.id, now, why)
            else:
                self._hold(m, news.start, MemberState.DEAD, now, why)
        elif news.state is MemberState.LEFT:
            self._hold(m, news.start, MemberState.LEFT, now, why)

    def _told_of_me(self, news: MemberUpdate, now: float) -> None:
        """An accusation is answered by a later start of the same process; another process's start by one far
        above it, and only if that one then comes back above this, the lower token yields: neither flaps.
        Danger: what an earlier process of this name said last is heard late, bit by bit, and it is dead."""
        if news.start.token == self.start.token:
            if news.start >= self.start and news.state in (MemberState.SUSPECT, MemberState.DEAD):
                self.accused_ms = now
                self.health = min(HEALTH_MOST, self.health + 1)
                self._start_above(news.start.incarnation)
            return
        if news.start < self.start or self.yielded:
            return
        outdone = self.overs.get(news.start.token)
        if outdone is not None and news.start.incarnation > outdone:  # nobody dead has come so far: it lives
            if not self.counts["two processes"]:
                self.changes.append(MemberEvent(0, "two processes", "another one runs under this name"))
            self.counts["two processes"] += 1
            if news.start.token > self.start.token:
                self.yielded = True
                self.changes.append(MemberEvent(0, "yielded", "the other process keeps the name"))
                return
        if outdone is not None or len(self.overs) < MAX_CONFLICTING_PROCESSES:
            self._start_above(news.start.incarnation + STEP)
            self.overs[news.start.token] = self.start.incarnation

    def _start_above(self, incarnation: int) -> None:
        before = self.start
        self.start = Incarnation(min(incarnation + 1, 0xFFFFFFFF), before.token)
        self.view ^= _digest(self.me, before, MemberState.ALIVE) ^ _digest(self.me, self.start, MemberState.ALIVE)
        self.told[self.me] = 0

    # -- words

    def _tell(self, kind: MessageKind, to: Member, number: int, about: int = 0) -> None:
        word = Message(
            kind, self.fleet, self.me, self.start, self.peers, self.view, number, about, self._pick(to),
            self.version,
        )  # fmt: skip
        self.counts["told"] += 1
        if kind is MessageKind.PING:
            to.asked_ms = min(to.asked_ms, self.turned_ms)
        self.out.append(Action(ActionKind.SEND, to.id, word))

    def _pick(self, to: Member) -> tuple[MemberUpdate, ...]:
        """First what is held against the one who reads, then what was told least, then, where the views
        differ, all in turn: news can be lost, and a fleet that was cut in two has to compare everything."""
        some = {to.id: None} if to.state not in (MemberState.ALIVE, MemberState.UNKNOWN) or to.start.incarnation else {}
        for id in sorted(self.told, key=self.told.__getitem__)[: MAX_UPDATES - len(some)]:
            if id not in some:
                some[id] = None
            self.told[id] += 1
            if self.told[id] >= self.told_times:
                del self.told[id]
        if to.view != self.view:
            for _ in range(min(len(self.ids), MAX_UPDATES)):
                if len(some) >= MAX_UPDATES:
                    break
                self.cursor = (self.cursor + 1) % len(self.ids)
                if self.others[self.ids[self.cursor]].state is not MemberState.UNKNOWN:
                    some[self.ids[self.cursor]] = None
        return tuple(self._said(id) for id in list(some)[:MAX_UPDATES])

    def _said(self, id: int) -> MemberUpdate:
        if id == self.me:
            return MemberUpdate(id, self.start, MemberState.ALIVE)
        m = self.others[id]
        return MemberUpdate(id, m.start, m.state)


PROOF_MS = 5000.0  # a refused port proves for so long that nobody uses the share of its name


def proved(m: Member, now: float) -> bool:
    """Whether it is certain now that no process uses this member's share."""
    return now < m.refused_ms + PROOF_MS


def _digest(id: int, start: Incarnation, state: MemberState) -> int:
    return digest(MEMBER_UPDATE.pack(id, *start, state).hex())
