"""One member's terms, pure: under which version it may take a request now, what it has promised, when it
changes over. Times are ms of the member's own clock, which never steps back.

The table of states is in docs/policy.md. Nobody is ever half way: what a version needs is made and checked
before the member says yes, and to change over is one assignment, in the turn in which a request is taken or
before.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from .document import digest
from .messages import Ask, Look, Moment, Prepare, Ready, Seen, Told

ASK_MS = 300.0  # one that may not serve, or has promised for longer than it was heard of, asks this often
LEASE_MS = 5000.0  # where the silent have to stop: terms hold so long without a word
RENEW_MS = 1500.0  # and are asked for again after this
RETRY_MS = 500.0  # a client is told to come back after this, while no end is known


class Serving(Enum):
    ASKS = "asks before it serves"  # just started
    SERVES = "serves"
    PROMISED = "has promised"  # serves under the old terms until its promise runs out
    WAITS = "waits for the outcome"  # its promise has run out
    CHANGES = "changes over"  # it knows the moment
    LAPSED = "heard nothing for too long"  # where the silent have to stop


class Terms(NamedTuple):
    """A version and what the host has made of its document; `stop`: it holds on a lease."""

    version: int
    digest: str
    made: Any
    stop: bool = False


class Promise(NamedTuple):
    index: int  # of the proposal
    terms: Terms
    until_ms: float


class Change(NamedTuple):
    terms: Terms
    stop_ms: float
    start_ms: float


class Adopter:
    """What this process may take requests under."""

    def __init__(
        self, now: float, name: str, token: int, own: Terms, make: Callable[[str], tuple[Any, bool]]
    ) -> None:
        """`own`: version 0, what the settings say. `make` checks a document and makes of it all that taking
        requests under it needs, and whether it holds on a lease; raises ValueError with what is wrong."""
        self.name, self.token, self.make = name, token, make
        self.terms, self.own = own, own
        self.asking = True  # it has not been told yet what holds
        self.promise: Promise | None = None
        self.change: Change | None = None
        self.lease_ms = -math.inf  # the terms' end, where they hold on a lease
        self.at = self.settled = self.term = 0  # the latest state and term it has heard of
        self.keepers: tuple[str, ...] = ()
        self.asked_ms = -math.inf
        self.refused = ""  # why it can't run under what holds
        self.leaving = False  # it takes nothing any more
        self.unlike = False  # its settings say other terms than the leader's, and nothing newer holds

    # -- what holds

    def look(self, now: float) -> tuple[Terms | None, float]:
        """The terms to take a request under now, or None and a time to come back (ms). It changes over here:
        danger: one that stood still would take the first request in its socket under terms that are over."""
        change = self.change
        if change is not None and now >= change.start_ms:
            self.terms, self.change, self.promise, self.asking = change.terms, None, None, False
            change = None
        if self.asking or self.refused or self.leaving:
            return None, RETRY_MS
        if change is not None and now >= change.stop_ms:
            return None, change.start_ms - now
        if change is None and self.promise is not None and now >= self.promise.until_ms:
            return None, RETRY_MS
        if self.terms.stop and now >= self.lease_ms:
            return None, RETRY_MS
        return self.terms, 0.0

    def state(self, now: float) -> Serving:
        if self.asking or self.refused:
            return Serving.ASKS
        if self.change is not None:
            return Serving.CHANGES
        if self.promise is not None:
            return Serving.PROMISED if now < self.promise.until_ms else Serving.WAITS
        if self.terms.stop and now >= self.lease_ms:
            return Serving.LAPSED
        return Serving.SERVES

    # -- what is heard

    def seen(self, now: float, word: Look) -> Seen | None:
        """What its clock says. From now on it follows no leader of an earlier term."""
        if word.term < self.term:
            return None
        self.term = word.term
        return Seen(term=word.term, sent_ms=word.sent_ms, reading_ms=now, leaving=self.leaving)

    def prepare(self, now: float, word: Prepare) -> Ready | None:
        """A yes is a promise: from `by_ms` on nothing under the present terms, until the outcome is known."""
        self.look(now)
        if self.leaving or word.token != self.token or word.term < self.term or word.index <= self.settled:
            return None  # for another process, from a leader that is none any more, or over
        if not word.document and (self.promise is None or self.promise.index != word.index):
            return None
        self.term = word.term
        promise, why = self.promise, ""
        if promise is None or promise.index != word.index:
            why = self._fits(word)
            if not why:
                try:
                    made, stop = self.make(word.document)
                except ValueError as problem:
                    why = str(problem)[:2000]
                else:
                    terms = Terms(word.version, digest(word.document), made, stop)
                    self.promise = Promise(word.index, terms, word.by_ms)
        else:
            self.promise = promise._replace(until_ms=max(promise.until_ms, word.by_ms))
        return Ready(term=word.term, index=word.index, yes=not why, why=why, sent_ms=word.sent_ms,
                     reading_ms=now)  # fmt: skip

    def _fits(self, word: Prepare) -> str:
        if not self.asking and self.terms.version != word.base:
            return f"runs under version {self.terms.version}, not {word.base}"
        if word.base == 0 and self.own.digest != word.base_digest:
            return "its settings file says other terms than that of the one that was asked"
        return ""

    def told(self, now: float, word: Told) -> bool:
        """What holds, by a leader's word; whether it was news. Danger: a late word must undo nothing."""
        self.look(now)
        if word.token != self.token or word.at < self.at or word.term < self.term:
            return False
        if word.version < self.terms.version:  # the keepers have lost what was adopted: said by the host
            return False
        self.at, self.term, self.settled = word.at, word.term, max(self.settled, word.settled)
        self.keepers, self.unlike = word.keepers, not word.version and word.digest != self.own.digest
        if word.version > self.terms.version or word.version and self.refused:
            if not self._take_over(word):
                return True
        if self.promise is not None and self.promise.index <= self.settled and self.change is None:
            self.promise = None
        if word.asked_ms >= 0.0:
            self.lease_ms = max(self.lease_ms, word.asked_ms + LEASE_MS)
            # danger: one that has just started knows what will hold, and not what holds until then
            self.asking = self.asking and self.change is not None
        return True

    def _take_over(self, word: Told) -> bool:
        change = self.change
        if change is not None and change.terms.version == word.version:
            return True
        promise = self.promise
        if promise is not None and promise.index <= self.settled and promise.terms.digest == word.digest:
            terms = promise.terms
        elif not word.document:
            return False  # it is told anew, once it asks
        else:
            try:
                made, stop = self.make(word.document)
            except ValueError as problem:
                self.refused = f"can't run under version {word.version}: {problem}"
                self.change = None
                return False
            terms = Terms(word.version, word.digest, made, stop)
        self.refused = ""
        moment = word.moment
        if moment is not None and moment.token == self.token:
            self.change = Change(terms, moment.stop_ms, moment.start_ms)
        else:  # danger: one that has just started may have promised already what comes after these terms
            self.terms, self.change = terms, None
        return True

    def keepers_gone(self, now: float, began_ms: float) -> None:
        """A majority of the keepers was proved gone, by tries that began no sooner. A change without this
        member needs a majority that has run for longer than a lease, so none can have been decided from then
        on for the time of a lease. Danger: once the lease has run out one may have been, before."""
        if now < self.lease_ms:
            self.lease_ms = max(self.lease_ms, began_ms + LEASE_MS)

    # -- what it asks

    def ask(self, now: float) -> Ask | None:
        """A question for whoever leads, if it is time for one."""
        state = self.state(now)
        if state in (Serving.ASKS, Serving.WAITS, Serving.LAPSED):
            wait_ms = ASK_MS
        elif self._leased():
            wait_ms = RENEW_MS
        else:
            return None
        if now < self.asked_ms + wait_ms:
            return None
        self.asked_ms = now
        return Ask(asked_ms=now, version=self.terms.version)

    def _leased(self) -> bool:
        """Danger: terms that begin to hold on a lease would lapse in the moment in which they begin."""
        return self.terms.stop or self.change is not None and self.change.terms.stop

    def wake_ms(self, now: float) -> float:
        """When to look again at the latest."""
        due = []
        if self.change is not None:
            due.append(self.change.start_ms)
        state = self.state(now)
        if state in (Serving.ASKS, Serving.WAITS, Serving.LAPSED):
            due.append(self.asked_ms + ASK_MS)
        elif self._leased():
            due.append(self.asked_ms + RENEW_MS)
        if state is Serving.PROMISED:
            due.append(self.promise.until_ms)
        return min(due, default=math.inf)


def moment_of(name: str, token: int, at_ms: float, lo_ms: float, hi_ms: float, most_ms: float) -> Moment:
    """When a process changes over whose clock is ahead of the leader's by `lo_ms` to `hi_ms`, so that the
    moment is `at_ms` by the leader's. Two processes differ by `most_ms` at most in what they take meanwhile;
    where the clock is known less well than that, it takes nothing in between.

    >>> known, hardly = moment_of("a", 1, 1e3, 40.0, 60.0, 50.0), moment_of("a", 1, 1e3, 0.0, 200.0, 50.0)
    >>> known.stop_ms, known.start_ms, hardly.stop_ms, hardly.start_ms
    (1050.0, 1050.0, 1025.0, 1175.0)
    """
    middle = (lo_ms + hi_ms) / 2.0
    stop, start = min(middle, lo_ms + most_ms / 2.0), max(middle, hi_ms - most_ms / 2.0)
    return Moment(name=name, token=token, stop_ms=at_ms + stop, start_ms=at_ms + start)
