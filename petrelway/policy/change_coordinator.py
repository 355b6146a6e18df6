"""What a leader does for a change of terms, pure: prepare, decide on one moment, tell; who stood in the way.

Made anew when a keeper is elected: what it knows of members it has heard itself, since then. Times are ms of
the leader's clock, unless a name says otherwise. Why each rule is needed: docs/policy.md.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any, NamedTuple

from .document import digest, stops
from .messages import (
    Abandoned,
    Ask,
    Decided,
    Keepers,
    Look,
    Moment,
    Prepare,
    Progress,
    Propose,
    Proposed,
    Ready,
    Seen,
    Told,
    Under,
)
from .policy_holder import LEASE_MS, moment_of
from .raft import Keeper

HOLD_MS = 3000.0  # a promise holds so long; it is renewed three times in it
AGAIN_MS = 300.0  # a word without an answer is said again after this
TICK_MS = 100.0  # while a change is under way
SLACK_MS = 200.0  # the moment of a change lies so far past the last promise
PATIENCE_MS = 15_000.0  # a change that somebody has not answered by then is given up
TELL_MS = 20_000.0  # what holds is told for so long to those that do not say that they have heard it
DRIFT = 0.001  # two clocks' spans differ by less than this share of them, over some seconds
APART_MS = 50.0  # two members may differ by this in when they change over
LEASE_OVER_MS = LEASE_MS * (1.0 + 2.0 * 0.01) + 500.0  # no lease that was asked for before this is left


class Other:
    """What the leader knows of one listed member, itself included."""

    def __init__(self) -> None:
        self.token = 0  # of its process; 0: not heard yet
        self.sample: tuple[float, float, float] | None = None  # when asked, when heard, its clock in between
        self.index, self.yes, self.why = 0, False, ""  # its last answer, to this proposal
        self.joined_ms = -math.inf  # when it was last told that it may serve
        self.gone_ms = -math.inf  # its port refused a try that began then
        self.left = False  # it said so, and so its port will refuse
        self.told_ms = self.tried_ms = -math.inf
        self.at = self.version = -1  # the state it has heard, the version it runs under
        # token, its time, the version it has, the round that must be through
        self.asks: tuple[int, float, int, int] | None = None

    def ahead(self, now: float) -> tuple[float, float]:
        """Its clock before this one's, at least and at most."""
        sent, got, reading = self.sample
        drift = DRIFT * (now - sent)
        return reading - got - drift, reading - sent + drift


class Tell(NamedTuple):
    to: str
    word: Any


class Try(NamedTuple):
    """Dial the member's port and say whether it was refused."""

    to: str


class Lead:
    """One term of one leader."""

    def __init__(self, now: float, keeper: Keeper, members: list[str], own_digest: str) -> None:
        self.keeper, self.own_digest = keeper, own_digest
        self.others = {name: Other() for name in members}
        self.began_ms = self.news_ms = now
        self.at = self.settled = -1  # the state that is told
        self.passed_ms = now + HOLD_MS + 2 * SLACK_MS  # whatever was decided before is in force from here on
        self.driving, self.driving_ms = 0, now  # the proposal that is prepared, since when
        self.closing = 0  # the entry that ends it, as long as that is not committed
        self.offered: dict[str, int] = {}  # proposals that are not committed yet
        self.stop_why = ""  # an operator wants it abandoned
        self.due_ms, self.turned_at = now, -1  # when to look again; the ledger's state at the last look
        self.out: deque[Tell | Try] = deque()

    # -- what is heard

    def heard(self, now: float, sender: str, token: int, word: Any) -> None:
        o = self.others.get(sender)
        if o is None:
            return
        if isinstance(word, Ask):
            if word.leaving:  # danger: it may come late, from a process before the present one: ask back
                self.out.append(Tell(sender, Look(term=self.keeper.term, sent_ms=now)))
                return
            o.asks = token, word.asked_ms, word.version, self.keeper.confirm(now)
        elif word.term != self.keeper.term:
            return
        elif isinstance(word, Under):
            if token == o.token:
                o.at, o.version = word.at, word.version
        elif word.sent_ms < o.joined_ms:
            return  # danger: an answer of an earlier process of the name, that comes late
        elif isinstance(word, Seen):
            if word.leaving:
                o.gone_ms, o.left = max(o.gone_ms, word.sent_ms), True
                return
            self._heard_of(o, token)
            self._sample(o, now, word.sent_ms, word.reading_ms)
        elif isinstance(word, Ready) and token == o.token:
            self._sample(o, now, word.sent_ms, word.reading_ms)
            o.index, o.yes, o.why = word.index, word.yes, word.why
        self.due_ms = now

    def _heard_of(self, o: Other, token: int) -> None:
        """Another process of this name: nothing that the earlier one said holds for it."""
        if token != o.token:
            o.token, o.sample, o.index, o.yes, o.left, o.at, o.version = token, None, 0, False, False, -1, -1

    def _sample(self, o: Other, now: float, sent: float, reading: float) -> None:
        if o.sample is None or now - sent <= o.sample[1] - o.sample[0] + 2.0 * DRIFT * (now - o.sample[0]):
            o.sample = sent, now, reading

    def tried(self, now: float, name: str, began_ms: float, refused: bool) -> None:
        """RefusedError: its process is gone, and whoever starts there asks before it serves. Danger: a try that
        began before this leader led, or before the member was told that it may serve, proves nothing."""
        o = self.others.get(name)
        if o is not None and refused:
            o.gone_ms = max(o.gone_ms, began_ms)

    # -- decisions

    def turn(self, now: float) -> None:
        """Whatever is due now goes to `out`."""
        if not self.keeper.ready():
            self.due_ms = now + TICK_MS
            return
        ledger = self.keeper.ledger
        self.turned_at = ledger.at
        if ledger.last_settled != self.settled or ledger.version and self.at < 0:
            self.settled, self.at, self.news_ms = ledger.last_settled, ledger.at, now
        self.closing = self.closing if self.closing > self.keeper.commit else 0
        self.offered = {id: i for id, i in self.offered.items() if i > self.keeper.commit}
        self._answer(now)
        if ledger.pending is not None:
            self._drive(now)
            self.due_ms = now + TICK_MS
        elif now < self.news_ms + TELL_MS:
            self._tell_all(now)
            self.due_ms = now + TICK_MS
        else:
            self.due_ms = math.inf
        if any(o.asks for o in self.others.values()):
            self.due_ms = min(self.due_ms, now + TICK_MS)

    def _answer(self, now: float) -> None:
        """Those that asked what holds. Danger: a leader that is none any more would give an old answer, so a
        majority must have heard it since; and one told to serve while a change is decided without it would
        serve under the old terms."""
        for name, o in self.others.items():
            if o.asks is None or not self.keeper.confirmed(o.asks[3]) or self.closing:
                continue
            token, asked_ms, has, _ = o.asks
            if self._moment(name, token) is None and now < self._in_force_ms():
                continue
            o.asks = None
            self._heard_of(o, token)
            o.joined_ms = now
            self.out.append(Tell(name, self._told(name, o, asked_ms, has == self.keeper.ledger.version)))

    def _in_force_ms(self) -> float:
        """From when on the present version is in force everywhere; -inf where nothing was ever decided."""
        return self.passed_ms if self.keeper.ledger.moments else -math.inf

    def _moment(self, name: str, token: int) -> Moment | None:
        some = self.keeper.ledger.moments
        return next((m for m in some if m.name == name and m.token == token), None)

    def _told(self, name: str, o: Other, asked_ms: float, has: bool) -> Told:
        """`has`: the member has the document. Danger: told again and again to hundreds, a large one would
        take all that the leader can say."""
        ledger = self.keeper.ledger
        present = ledger.present()
        return Told(
            term=self.keeper.term, token=o.token, at=ledger.at, settled=ledger.last_settled,
            version=ledger.version, digest=present.digest if present and present.number else self.own_digest,
            document=present.document if present and present.number and not has else "",
            keepers=self.keeper.keepers(), asked_ms=asked_ms, moment=self._moment(name, o.token),
        )  # fmt: skip

    def _tell_all(self, now: float) -> None:
        """What holds, to all that have not said that they have heard it."""
        for name, o in self.others.items():
            if o.at >= self.at or now < o.told_ms + AGAIN_MS:
                continue
            if o.token and (self._moment(name, o.token) is not None or now >= self._in_force_ms()):
                o.told_ms = now
                self.out.append(Tell(name, self._told(name, o, -1.0, o.yes and o.index == self.settled)))
            elif not o.token:
                self._look(name, o, now)

    def _look(self, name: str, o: Other, now: float) -> None:
        o.told_ms = now
        self.out.append(Tell(name, Look(term=self.keeper.term, sent_ms=now)))

    # -- a change

    def _drive(self, now: float) -> None:
        pending = self.keeper.ledger.pending
        if self.closing:
            return
        if self.driving != pending.index:
            self.driving, self.driving_ms, self.stop_why = pending.index, now, ""
            for o in self.others.values():
                o.index, o.yes, o.told_ms, o.tried_ms = 0, False, -math.inf, -math.inf
        for name, o in self.others.items():
            self._prepare(now, name, o)
        no = [
            f"{name}: {o.why}" for name, o in self.others.items()
            if o.index == pending.index and not o.yes and name not in pending.proposed.without
        ]  # fmt: skip
        silent = [name for name, o in self.others.items() if not self._through(now, name, o)]
        if self.stop_why:
            self._abandon(now, self.stop_why)
        elif no:
            self._abandon(now, "; ".join(no[:10]))
        elif not silent:
            self._decide(now)
        elif now >= self.driving_ms + PATIENCE_MS:
            more = f" and {len(silent) - 20} more" if len(silent) > 20 else ""
            self._abandon(now, f"silent: {', '.join(silent[:20])}{more}")

    def _prepare(self, now: float, name: str, o: Other) -> None:
        yes = o.yes and o.index == self.driving
        if now < o.told_ms + (HOLD_MS / 3.0 if yes else AGAIN_MS):
            return
        if o.sample is None:
            self._look(name, o, now)
        else:
            o.told_ms = now
            self.out.append(Tell(name, self._asked(now, o)))
        if not yes and now >= o.tried_ms + 3.0 * AGAIN_MS and now > self.driving_ms + AGAIN_MS:
            o.tried_ms = now
            self.out.append(Try(name))

    def _asked(self, now: float, o: Other) -> Prepare:
        ledger = self.keeper.ledger
        p = ledger.pending.proposed
        base = ledger.present()
        return Prepare(
            term=self.keeper.term, index=ledger.pending.index, version=ledger.version + 1, base=p.base,
            base_digest=base.digest if base else digest(p.base_document), token=o.token,
            document="" if o.yes and o.index == ledger.pending.index else p.document,
            by_ms=now + HOLD_MS * (1.0 - DRIFT) + o.ahead(now)[0], sent_ms=now,
        )  # fmt: skip

    def _through(self, now: float, name: str, o: Other) -> str:
        """Why the change may go on as far as this member goes, or nothing. What is said of it stays true
        until it is told anew that it may serve."""
        p = self.keeper.ledger.pending.proposed
        if o.yes and o.index == self.driving and o.sample is not None:
            return "yes"
        if o.gone_ms >= max(self.began_ms, o.joined_ms):
            return "left" if o.left else "gone: its port refuses"
        if name in p.without:
            return "the operator vouches for it"
        over_ms = max(self.began_ms, o.joined_ms) + LEASE_OVER_MS
        if self._stops() and now >= over_ms and self.keeper.aged(now, LEASE_OVER_MS):
            return "silent: what it held on a lease has run out"
        return ""

    def _stops(self) -> bool:
        """Whether the present terms hold on a lease."""
        present = self.keeper.ledger.present()
        return present is not None and stops(present.document)

    def _decide(self, now: float) -> None:
        """Past every promise that was ever given: this leader gave none that holds for longer than from now,
        and whoever said yes to it has not heard an earlier one since."""
        at_ms = now + HOLD_MS + SLACK_MS
        moments, without = [], []
        for name, o in self.others.items():
            why = self._through(now, name, o)
            if why == "yes":
                lo, hi = o.ahead(now)
                drift = DRIFT * (at_ms - now)
                moments.append(moment_of(name, o.token, at_ms, lo - drift, hi + drift, APART_MS))
            else:
                without.append((name, why))
        self.closing = self.keeper.offer(now, Decided(moments=tuple(moments), without=tuple(without)))
        self.passed_ms = at_ms + SLACK_MS

    def _abandon(self, now: float, why: str) -> None:
        self.closing = self.keeper.offer(now, Abandoned(why=why[:2000]))

    # -- operators

    def proposed(self, now: float, p: Propose) -> Progress:
        """An operator's wish; asked again and again until its end is known."""
        ledger = self.keeper.ledger
        pending = ledger.pending
        if not self.keeper.ready():
            return self._progress(now, p, "under way", "the new leader finds out what holds")
        if p.abandon:
            return self._stopped(now, p)
        if p.keepers:
            return self._keepers(now, p)
        if (end := ledger.ended(p.id)) is not None:
            if not end.version:
                return self._progress(now, p, "abandoned", end.why)
            if now < self._in_force_ms() and end.version == ledger.version:
                return self._progress(now, p, "under way", "decided; it takes hold in a moment")
            return self._progress(now, p, "adopted", "", end.version)
        if p.id in self.offered or pending is not None and pending.proposed.id == p.id:
            return self._progress(now, p, "under way", "")
        if p.base < ledger.version:
            why = f"stale: made from version {p.base}, while version {ledger.version} holds"
            return self._progress(now, p, "refused", why)
        # danger: a word that comes late, again, must not make what was refused: only what stays so is refused
        if pending is not None or self.offered:
            return self._progress(now, p, "under way", "waits for another change")
        if now < self._in_force_ms() or p.base > ledger.version:
            return self._progress(now, p, "under way", "waits for the last change to take hold")
        unknown = [name for name in p.without if name not in self.others]
        if unknown:
            return self._progress(now, p, "refused", f"no members: {', '.join(unknown[:20])}")
        self.offered[p.id] = self.keeper.offer(now, Proposed(
            id=p.id, base=p.base, document=p.document, base_document=p.base_document, by=p.by, at=p.at,
            without=p.without,
        ))  # fmt: skip
        self.due_ms = now
        return self._progress(now, p, "under way", "")

    def _stopped(self, now: float, p: Propose) -> Progress:
        if self.keeper.ledger.pending is None or self.closing:
            return self._progress(now, p, "refused", "no change is under way that could still be abandoned")
        self.stop_why, self.due_ms = f"abandoned by {p.by or 'an operator'}", now
        return self._progress(now, p, "adopted", "it is being abandoned")

    def _keepers(self, now: float, p: Propose) -> Progress:
        """Danger: two keepers changed at once could make two majorities that share nobody."""
        present = self.keeper.keepers()
        if self.keeper.changing():
            return self._progress(now, p, "under way", "a change of the keepers is under way")
        if present == p.keepers:
            return self._progress(now, p, "adopted", "")
        if len(set(present) ^ set(p.keepers)) != 1 or len(set(p.keepers)) != len(p.keepers):
            return self._progress(now, p, "refused", "one keeper comes or goes at a time")
        if unknown := [name for name in p.keepers if name not in self.others]:
            return self._progress(now, p, "refused", f"no members: {', '.join(unknown)}")
        self.keeper.offer(now, Keepers(names=p.keepers))
        return self._progress(now, p, "under way", "")

    def _progress(self, now: float, p: Propose, state: str, why: str, version: int = -1) -> Progress:
        """`version`: that which it became; else the present one."""
        rows = []
        pending = self.keeper.ledger.pending
        for name, o in self.others.items():
            if pending is not None and self.driving == pending.index:
                said = "no: " + o.why if o.index == self.driving and not o.yes else ""
                rows.append((name, said or self._through(now, name, o) or "no answer yet"))
            elif o.version >= 0:
                rows.append((name, f"under version {o.version}"))
        version = self.keeper.ledger.version if version < 0 else version
        return Progress(id=p.id, state=state, version=version, why=why, rows=tuple(rows))
