"""One front end's part in the fleet's terms, pure: as one that runs under them, as a keeper where the
settings name it, as leader while it is elected.

How to call it: tell it what happens, then call `decide(now)` until it gives None and carry each decision out
in its order, a disk's before the next; call again at `due_ms(now)` at the latest. `terms(now)` says under
which terms a request may be taken in this turn. Times are ms of a clock that never steps back.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from . import raft as keepers
from . import state_machine as ledger
from .change_coordinator import AGAIN_MS, Lead, Try
from .messages import (
    Append,
    Appended,
    Ask,
    AskVote,
    Elsewhere,
    Found,
    History,
    Kept,
    Look,
    Lost,
    Prepare,
    Progress,
    Propose,
    Ready,
    Recall,
    Seen,
    Told,
    Under,
    Vote,
)
from .policy_holder import Adopter, Serving, Terms
from .raft import Keeper, Role

BETWEEN_KEEPERS = (AskVote, Vote, Append, Appended, Lost, Found)
TO_LEADER = (Ask, Seen, Ready, Under)
WISHES_BOUND = 16  # of operators, by way of this member, at a time
WISH_MS = 60_000.0  # one that nobody has asked after for so long is forgotten
SAID_BOUND = 256  # changes that wait to be said


class Keep(NamedTuple):
    """Write to the disk, and sync, before the next decision is carried out."""

    kept: Kept
    since: int


class Tell(NamedTuple):
    to: str
    word: Any


class Wish:
    """An operator's change, on its way."""

    def __init__(self, propose: Propose, now: float) -> None:
        self.propose, self.seen_ms, self.sent_ms = propose, now, -math.inf
        why = "no keeper has answered yet"
        self.progress = Progress(id=propose.id, state="under way", version=0, why=why)


class Party:
    """All that one process has to do with the terms."""

    def __init__(
        self,
        now: float,
        name: str,
        token: int,
        members: list[str],
        names: tuple[str, ...],
        own: Terms,
        make: Callable[[str], tuple[Any, bool]],
        kept: Kept | None,
    ) -> None:
        """`members`: all listed, this one included; `names`: the keepers by the settings; `kept`: None where
        this one keeps nothing."""
        self.name, self.token, self.names, self.members = name, token, names, sorted({*members, name})
        self.adopter = Adopter(now, name, token, own, make)
        self.keeper = Keeper(now, name, names, token, kept) if kept is not None else None
        self.lead: Lead | None = None
        self.term = 0
        self.leader = ""  # whom to ask
        self.turned = 0  # keepers asked in turn, where nobody is known to lead
        self.wishes: dict[str, Wish] = {}
        self.recalled: tuple[float, bytes] | None = None  # the history, when it was asked for
        self.newer = 0  # the highest version that another member was heard to run under
        self.out: deque[Keep | Tell | Try] = deque()
        self.said: deque[tuple[str, dict[str, Any]]] = deque(maxlen=SAID_BOUND)
        self.counts: Counter[str] = Counter()
        self.before: tuple[Any, ...] = ()

    # -- inputs

    def heard(self, now: float, sender: str, token: int, word: Any) -> None:
        """A word from the listed member `sender`, whose process is `token`."""
        self.counts[type(word).__name__] += 1
        if isinstance(word, BETWEEN_KEEPERS):
            if self.keeper is not None and (sender in self.keeper.keepers() or sender in self.names):
                self.keeper.heard(now, sender, token, word)
        elif isinstance(word, TO_LEADER):
            self._for_leader(now, sender, token, word)
        elif isinstance(word, Look):
            if (seen := self.adopter.seen(now, word)) is not None:
                self._to_leader(sender, seen)
        elif isinstance(word, Prepare):
            if (ready := self.adopter.prepare(now, word)) is not None:
                self._to_leader(sender, ready)
        elif isinstance(word, Told):
            if self.adopter.told(now, word):
                a = self.adopter
                version = a.change.terms.version if a.change is not None else a.terms.version
                self._to_leader(sender, Under(term=word.term, at=word.at, version=version))
            elif word.version < self.adopter.terms.version and word.token == self.token:
                self._say("keepers are behind", theirs=word.version, ours=self.adopter.terms.version)
        elif isinstance(word, Elsewhere):
            self.leader = word.leader
            self.adopter.asked_ms = -math.inf if word.leader else self.adopter.asked_ms
        elif isinstance(word, Propose):
            if self.lead is not None:
                self.out.append(Tell(sender, self.lead.proposed(now, word)))
            elif self.keeper is not None:
                self.out.append(Tell(sender, Elsewhere(leader=self.keeper.leader)))
        elif isinstance(word, Progress):
            if (wish := self.wishes.get(word.id)) is not None:
                wish.progress = word
        elif isinstance(word, Recall):
            if self.keeper is not None:
                data = ledger.write(self.keeper.ledger)
                self.out.append(Tell(sender, History(asked_ms=word.asked_ms, ledger=data)))
        elif isinstance(word, History):
            try:
                ledger.read(word.ledger)
            except msgspec.MsgspecError:
                self.counts["history can't be read"] += 1
                return
            self.recalled = word.asked_ms, word.ledger

    def _for_leader(self, now: float, sender: str, token: int, word: Any) -> None:
        if self.lead is not None:
            self.lead.heard(now, sender, token, word)
        elif isinstance(word, Ask) and self.keeper is not None:
            self.out.append(Tell(sender, Elsewhere(leader=self.keeper.leader)))

    def _to_leader(self, leader: str, word: Any) -> None:
        self.leader = leader
        self.out.append(Tell(leader, word))

    def tried(self, now: float, name: str, began_ms: float, refused: bool) -> None:
        """The end of a try that a decision asked for."""
        if self.lead is not None:
            self.lead.tried(now, name, began_ms, refused)

    def disk_failed(self, now: float) -> None:
        """What could not be kept was never said: this one keeps nothing from here on. Drop all decisions."""
        self.keeper = self.lead = None
        self.out.clear()
        self._say("keeps no more")

    def wished(self, now: float, propose: Propose) -> Progress:
        """An operator's change, or the question how it stands: the same one is asked for again and again."""
        wish = self.wishes.get(propose.id)
        if wish is None:
            if len(self.wishes) >= WISHES_BOUND:
                why = f"{WISHES_BOUND} changes are on their way through this member already"
                return Progress(id=propose.id, state="refused", version=0, why=why)
            wish = self.wishes[propose.id] = Wish(propose, now)
        wish.seen_ms = now
        return wish.progress

    def recall(self, now: float) -> None:
        """Ask a keeper for the history; it comes to `recalled`."""
        self.out.append(Tell(self._whom(), Recall(asked_ms=now)))

    def proved_gone(self, now: float, began_ms: dict[str, float]) -> None:
        """Members whose ports refused tries that began then."""
        names = self.adopter.keepers or self.names
        latest = sorted((began_ms[name] for name in names if name in began_ms), reverse=True)
        if 2 * len(latest) > len(names):
            self.adopter.keepers_gone(now, latest[len(names) // 2])

    def others_run(self, now: float, version: int) -> None:
        """Another member says that it runs under this version: is this one's over?"""
        if version > max(self.newer, self.adopter.terms.version) and self.adopter.change is None:
            self.newer = version
            self._say("others run under a newer version", version=version, ours=self.adopter.terms.version)
            self.out.append(Tell(self._whom(), Ask(asked_ms=now, version=self.adopter.terms.version)))

    def leave(self, now: float) -> None:
        """This process takes nothing any more."""
        self.adopter.leaving = True
        ask = Ask(asked_ms=now, version=self.adopter.terms.version, leaving=True)
        self.out.append(Tell(self._whom(), ask))

    # -- what holds

    def terms(self, now: float) -> tuple[Terms | None, float]:
        """The terms to take a request under in this turn, or None and a time to come back (ms)."""
        return self.adopter.look(now)

    def state(self, now: float) -> Serving:
        return self.adopter.state(now)

    # -- decisions

    def decide(self, now: float) -> Keep | Tell | Try | None:
        self._turn(now)
        while self.out:
            d = self.out.popleft()
            if isinstance(d, Tell):
                if d.to == self.name:  # danger: what it tells itself comes in its order too
                    self.heard(now, self.name, self.token, d.word)
                    self._turn(now)
                    continue
                if not d.to:
                    continue
            return d
        return None

    def _turn(self, now: float) -> None:
        keeper = self.keeper
        if keeper is not None:
            while (d := keeper.decide(now)) is not None:
                self.out.append(Keep(d.kept, d.since) if d.verb is keepers.Verb.KEEP else Tell(d.to, d.word))
            leads = keeper.role is Role.LEADS
            if not leads:
                self.lead = None
            elif self.lead is None or self.term != keeper.term:
                self.lead, self.term = Lead(now, keeper, self.members, self.adopter.own.digest), keeper.term
            if self.lead is not None:
                if keeper.ready() and (now >= self.lead.due_ms or keeper.ledger.at != self.lead.turned_at):
                    self.lead.turn(now)
                while self.lead.out:
                    d = self.lead.out.popleft()
                    self.out.append(d if isinstance(d, Try) else Tell(*d))
                while (d := keeper.decide(now)) is not None:
                    self.out.append(
                        Keep(d.kept, d.since) if d.verb is keepers.Verb.KEEP else Tell(d.to, d.word)
                    )
        if (ask := self.adopter.ask(now)) is not None:
            self.out.append(Tell(self._whom(), ask))
        for id, wish in list(self.wishes.items()):
            if now > wish.seen_ms + WISH_MS:
                del self.wishes[id]
            elif wish.progress.state == "under way" and now >= wish.sent_ms + AGAIN_MS:
                wish.sent_ms = now
                self.out.append(Tell(self._whom(), wish.propose))
        self.adopter.look(now)
        self._note(now)

    def _whom(self) -> str:
        """Who is asked: whoever is known to lead, else keepers in turn. Danger: one that is dead would be
        asked for ever."""
        if self.keeper is not None and self.keeper.leader:
            return self.keeper.leader
        if self.leader:
            leader, self.leader = self.leader, ""  # unless it answers, another one is asked next time
            return leader
        names = self.adopter.keepers or self.names
        self.turned += 1
        return names[self.turned % len(names)]

    def due_ms(self, now: float) -> float:
        due = [self.adopter.wake_ms(now)]
        if self.keeper is not None:
            due.append(self.keeper.wake_ms())
        if self.lead is not None:
            due.append(max(now, self.lead.due_ms))
        due += [w.sent_ms + AGAIN_MS for w in self.wishes.values() if w.progress.state == "under way"]
        return max(now, min(due))

    # -- what is said

    def _say(self, what: str, **more: Any) -> None:
        self.said.append((what, more))

    def _note(self, now: float) -> None:
        """One event where something changed for an operator."""
        a, k = self.adopter, self.keeper
        present = (a.state(now), a.terms.version, a.refused, a.unlike, k.role if k else None)
        if present == self.before:
            return
        before, self.before = self.before or (None, None, "", False, None), present
        state, version, refused, unlike, role = present
        if version != before[1]:
            self._say("version", version=version, digest=a.terms.digest)
        if state is not before[0]:
            self._say("serving", state=state.value, version=version)
        if refused and refused != before[2]:
            self._say("can't run under what holds", why=refused)
        if unlike and not before[3]:
            self._say("settings differ from the others'", digest=a.own.digest)
        if role is not before[4] and role in (Role.LEADS, Role.FOLLOWS, Role.BLANK):
            self._say("keeper", role=role.value, term=k.term)
