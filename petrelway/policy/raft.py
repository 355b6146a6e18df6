"""One keeper of the history, pure: a replicated log with terms, pre-vote, snapshots, and one change of the
keepers' set at a time. Source: Ongaro 2014 (Raft); what a keeper without its file does: Liskov and Cowling
2012 (recovery of viewstamped replication).

How to call it: tell it what happens (`heard`, `offer`, `confirm`), then call `decide(now)` until it gives
None and carry each decision out in its order; what is to be kept must be on the disk before the next one.
Times are ms of a clock that never steps back.
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

from . import state_machine as ledgers
from .messages import (
    ENTRIES_MOST,
    Append,
    Appended,
    AskVote,
    Entry,
    Found,
    Keepers,
    Kept,
    Lost,
    Opened,
    Vote,
)

HEART_MS = 150.0  # the leader is heard this often
ELECT_MS = 800.0  # nobody heard for this to twice this: who leads?
AGAIN_MS = 400.0  # a keeper without its file asks again
TIDY_ENTRIES = 64  # so many applied ones are folded into a snapshot


class Role(Enum):
    BLANK = "blank"  # its file is new: it may have promised what it does not remember
    FOLLOWS = "follows"
    ASKS_BEFORE = "asks before"  # whether it would be elected
    STANDS = "stands"  # for election
    LEADS = "leads"


class Verb(Enum):
    KEEP = "keep"  # write `kept` to the disk, and sync, before anything that follows
    TELL = "tell"  # send `word` to `to`


class Decision(NamedTuple):
    verb: Verb
    to: str = ""
    word: Any = None
    kept: Kept | None = None
    since: int = 0  # entries after this index are new; 0: all


class Keeper:
    """One keeper's log and its part in choosing a leader."""

    def __init__(self, now: float, me: str, names: tuple[str, ...], token: int, kept: Kept) -> None:
        """`names`: the keepers by the settings, until the history names others. `kept` as the disk has it."""
        self.me, self.names, self.token, self.began_ms = me, names, token, now
        self.term, self.voted = kept.term, kept.voted
        self.base, self.base_term = kept.index, kept.index_term  # the last entry that is folded away
        self.entries = list(kept.entries)
        self.folded = ledgers.read(kept.snapshot)  # the ledger at `base`
        self.ledger, self.commit = self.folded, kept.index
        self.role = Role.BLANK if kept.blank else Role.FOLLOWS
        self.leader = ""
        self.heard_ms = -math.inf  # the leader, last
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.acked: dict[str, tuple[int, float, float]] = {}  # round, when, the age it told
        self.round = self.sent_round = 0
        self.led_ms = math.inf  # since when it leads
        self.found: dict[str, Found] = {}
        self.least_term = -1  # a blank one follows no leader of an earlier term; -1: not known yet
        self.tries = 0
        self.due_ms = now
        if self.role is not Role.BLANK:
            self._wait(now)
        self.out: deque[Decision] = deque()

    # -- what is known

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int:
        return self.base_term if index == self.base else self.entries[index - self.base - 1].term

    def keepers(self) -> tuple[str, ...]:
        """By the latest entry that names them, committed or not."""
        for entry in reversed(self.entries):
            if isinstance(entry.what, Keepers):
                return entry.what.names
        return self.folded.keepers or self.names

    def changing(self) -> bool:
        """Whether an entry that names the keepers is not committed yet."""
        return any(isinstance(e.what, Keepers) for e in self.entries[self.commit - self.base :])

    def others(self) -> list[str]:
        return [name for name in self.keepers() if name != self.me]

    def most(self, some) -> bool:
        """Whether these are a majority."""
        names = self.keepers()
        return sum(name in some for name in names) * 2 > len(names)

    def ready(self) -> bool:
        """It leads, and its term has a committed entry: so all that was ever committed is applied here."""
        return self.role is Role.LEADS and self.commit > 0 and self.term_at(self.commit) == self.term

    def confirmed(self, round: int) -> bool:
        """Whether a majority has heard this leader since that round began."""
        return self.ready() and self.most({n for n, a in self.acked.items() if a[0] >= round} | {self.me})

    def aged(self, now: float, ms: float) -> bool:
        """Whether a majority, heard a moment ago, has run for so long without an end."""
        old = {n for n, (_, at, age) in self.acked.items() if now - at < ELECT_MS and age >= ms}
        return self.most(old | ({self.me} if now - self.began_ms >= ms else set()))

    # -- inputs

    def offer(self, now: float, what: Any) -> int:
        """A new entry of this leader; its index."""
        self.entries.append(Entry(term=self.term, what=what))
        self._keep(self.last - 1)
        self._spread(now)
        self._commit(now)
        return self.last

    def confirm(self, now: float) -> int:
        """A round that begins now; `confirmed` tells when it is through."""
        if self.sent_round == self.round:  # one that has begun already counts for all that ask in this turn
            self.round += 1
        return self.round

    def heard(self, now: float, sender: str, token: int, word: Any) -> None:
        if isinstance(word, Lost):
            # danger: one that was never asked anything looks like one that lost it all
            fresh = self.term == 0 and not self.last
            if self.role is not Role.BLANK or fresh:
                self._tell(sender, Found(term=self.term, nonce=word.nonce, fresh=fresh))
            return
        if self.role is Role.BLANK and not isinstance(word, Append):
            if isinstance(word, Found) and word.nonce == self.token:
                self.found[sender] = word
                self._recover(now)
            return
        if isinstance(word, Append):
            self._append(now, sender, word)
        elif isinstance(word, AskVote):
            self._asked(now, sender, word)
        elif isinstance(word, Vote):
            self._voted(now, sender, word)
        elif isinstance(word, Appended):
            self._appended(now, sender, word)

    def decide(self, now: float) -> Decision | None:
        if not self.out:
            self._look(now)
        return self.out.popleft() if self.out else None

    # -- time

    def wake_ms(self) -> float:
        return self.due_ms

    def _wait(self, now: float) -> None:
        """Danger: keepers that wait equally long would stand against each other again and again."""
        self.tries += 1
        draw = blake2b(f"{self.me}/{self.token}/{self.term}/{self.tries}".encode(), digest_size=4).digest()
        self.due_ms = now + ELECT_MS * (1.0 + int.from_bytes(draw, "big") / 2**32)

    def _look(self, now: float) -> None:
        if self.role is Role.LEADS:
            if now >= self.due_ms or self.sent_round < self.round:
                near = {n for n, a in self.acked.items() if now - a[1] < 2 * ELECT_MS} | {self.me}
                if now - self.led_ms > 2 * ELECT_MS and not self.most(near):
                    self._follow(now, self.term, "")  # cut off: there may be a later one
                    return
                self._spread(now)
            return
        if now < self.due_ms:
            return
        if self.role is Role.BLANK:
            self.due_ms = now + AGAIN_MS
            for name in self.others():
                self._tell(name, Lost(term=self.term, nonce=self.token))
        elif self.me in self.keepers():
            self.role, self.votes, self.leader = Role.ASKS_BEFORE, {self.me}, ""
            self._wait(now)
            self._ask_votes(now)
        else:
            self._wait(now)

    def _ask_votes(self, now: float) -> None:
        before = self.role is Role.ASKS_BEFORE
        if self.most(self.votes):
            self._elected(now)
            return
        for name in self.others():
            term = self.term + before
            last_term = self.term_at(self.last)
            self._tell(name, AskVote(term=term, last_index=self.last, last_term=last_term, before=before))

    # -- elections

    def _elected(self, now: float) -> None:
        if self.role is Role.ASKS_BEFORE:
            self.role, self.term, self.voted, self.votes = Role.STANDS, self.term + 1, self.me, {self.me}
            self._keep(self.last)
            self._wait(now)
            self._ask_votes(now)
            return
        self.role, self.leader, self.led_ms, self.due_ms = Role.LEADS, self.me, now, now
        self.next, self.match, self.acked = {}, {}, {}
        self.offer(now, Opened())

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.voted = term, ""
            self._keep(self.last)
        if self.role is not Role.FOLLOWS:
            self.role, self.led_ms = Role.FOLLOWS, math.inf
            self._wait(now)
        self.leader = leader
        if leader:
            self.heard_ms = now
            self._wait(now)

    def _asked(self, now: float, sender: str, word: AskVote) -> None:
        behind = (word.last_term, word.last_index) < (self.term_at(self.last), self.last)
        if word.before:
            led = self.role is Role.LEADS or now - self.heard_ms < ELECT_MS
            given = word.term > self.term and not behind and not led
            # danger: two that each know a later term, or more entries, would refuse each other for ever
            self._tell(sender, Vote(term=word.term if given else self.term, given=given, before=True))
            return
        if word.term > self.term:
            self._follow(now, word.term, "")
        given = word.term == self.term and not behind and self.voted in ("", sender)
        if given and not self.voted:
            self.voted = sender
            self._keep(self.last)
            self._wait(now)
        self._tell(sender, Vote(term=self.term, given=given, before=False))

    def _voted(self, now: float, sender: str, word: Vote) -> None:
        if word.term > self.term and not (word.before and word.given):
            self._follow(now, word.term, "")
        wanted = self.term + 1 if self.role is Role.ASKS_BEFORE else self.term
        asking = Role.ASKS_BEFORE if word.before else Role.STANDS
        if self.role is asking and word.given and word.term == wanted:
            self.votes.add(sender)
            if self.most(self.votes):
                self._elected(now)

    # -- the log

    def _spread(self, now: float) -> None:
        self.due_ms = now + HEART_MS
        self.round += self.sent_round == self.round
        self.sent_round = self.round
        for name in self.others():
            self._send(name)

    def _send(self, name: str) -> None:
        following = self.next.setdefault(name, self.last)
        snapshot = b""
        if following <= self.base:
            following, snapshot = self.base + 1, ledgers.write(self.folded) if self.base else b""
        start = following - self.base - 1
        self._tell(name, Append(
            term=self.term, index=following - 1, index_term=self.term_at(following - 1),
            entries=tuple(self.entries[start : start + ENTRIES_MOST]), commit=self.commit,
            round=self.sent_round, snapshot=snapshot,
        ))  # fmt: skip

    def _append(self, now: float, sender: str, word: Append) -> None:
        if self.role is Role.BLANK and not 0 <= self.least_term <= word.term:
            return  # danger: what it promised a later leader is forgotten; it must not follow an earlier one
        if word.term < self.term:
            self._answer(sender, word, False, self.last)
            return
        if self.role is Role.BLANK:
            if word.term > self.term:
                self.term, self.voted = word.term, sender  # it may have voted in this term before
            self.leader, self.heard_ms = sender, now
        else:
            self._follow(now, word.term, sender)
        if word.snapshot and word.index > self.commit:
            self.folded = self.ledger = ledgers.read(word.snapshot)
            self.base, self.base_term, self.commit = word.index, word.index_term, word.index
            self.entries = []
            self._keep(0)
        if word.index > self.last or word.index < self.base or self.term_at(word.index) != word.index_term:
            if word.index >= self.base:  # the one before may be alike
                self._answer(sender, word, False, min(self.last, word.index - 1))
            else:
                self._answer(sender, word, True, self.base)  # folded away is committed, and so alike
            return
        new, since = 0, -1
        for new, entry in enumerate(word.entries, 1):
            index = word.index + new
            if index <= self.last and self.term_at(index) == entry.term:
                continue
            since = index - 1 if since < 0 else since
            del self.entries[index - self.base - 1 :]
            self.entries.append(entry)
        alike = word.index + new
        if self.role is Role.BLANK and alike >= word.commit:
            self.role = Role.FOLLOWS  # it has all that was committed: from here on it may vote
            self._wait(now)
            self._keep(0)
        elif since >= 0:
            self._keep(since)
        self.commit = max(self.commit, min(word.commit, alike))
        self._apply()
        self._answer(sender, word, True, alike)

    def _answer(self, to: str, word: Append, done: bool, index: int) -> None:
        age_ms = self.heard_ms - self.began_ms if self.heard_ms > self.began_ms else 0.0
        self._tell(to, Appended(term=self.term, done=done, index=index, round=word.round, age_ms=age_ms))

    def _appended(self, now: float, sender: str, word: Appended) -> None:
        if word.term > self.term:
            self._follow(now, word.term, "")
        if self.role is not Role.LEADS or word.term != self.term:
            return
        if word.round >= self.acked.get(sender, (0, 0.0, 0.0))[0]:
            self.acked[sender] = word.round, now, word.age_ms
        if not word.done:
            self.next[sender] = max(1, min(self.next.get(sender, 1) - 1, word.index + 1))
            self._send(sender)
            return
        self.match[sender] = max(self.match.get(sender, 0), word.index)
        self.next[sender] = max(self.next.get(sender, 1), self.match[sender] + 1)
        if self.next[sender] <= self.last:
            self._send(sender)
        self._commit(now)

    def _commit(self, now: float) -> None:
        """The leader's: an entry of its own term that a majority has, and with it all before."""
        for index in range(self.last, self.commit, -1):
            if self.term_at(index) != self.term:
                return
            if self.most({n for n, m in self.match.items() if m >= index} | {self.me}):
                self.commit = index
                break
        self._apply()
        if self.ledger.keepers and self.me not in self.ledger.keepers:
            self._follow(now, self.term, "")  # it has led its own leaving to the end

    def _apply(self) -> None:
        while self.ledger.at < self.commit:
            index = self.ledger.at + 1
            self.ledger = ledgers.apply(self.ledger, index, self.entries[index - self.base - 1])
        if self.ledger.at - self.base >= TIDY_ENTRIES:
            done = self.ledger.at
            self.base_term = self.term_at(done)
            del self.entries[: done - self.base]
            self.base, self.folded = done, self.ledger
            self._keep(0)

    # -- a keeper without its file

    def _recover(self, now: float) -> None:
        """Danger: a vote or an entry that it gave its word for, and forgot, would be given again to another.
        It votes again once a majority beside it has told the latest term, and a leader of that term or of a
        later one has told it all that is committed; or where nobody has ever kept anything."""
        names = self.others()
        told = [self.found[n] for n in names if n in self.found]
        if len(told) == len(names) and all(f.fresh for f in told):
            self.role = Role.FOLLOWS
            self._wait(now)
            self._keep(0)
            return
        old = [f.term for f in told if not f.fresh]
        if self.least_term < 0 and 2 * len(old) > len(names) + 1:
            self.least_term = max(old)

    # -- out

    def _keep(self, since: int) -> None:
        """`since`: entries up to there are on the disk already; 0: write all anew."""
        snapshot = ledgers.write(self.folded) if self.base and not since else b""
        kept = Kept(
            self.role is Role.BLANK, self.term, self.voted, self.base, self.base_term, snapshot,
            tuple(self.entries[max(0, since - self.base) :]),
        )  # fmt: skip
        self.out.append(Decision(Verb.KEEP, kept=kept, since=max(since, self.base) if since else 0))

    def _tell(self, to: str, word: Any) -> None:
        self.out.append(Decision(Verb.TELL, to, word))
