"""One member's policy, without I/O: under which version it may admit a request now, what it has promised, and
when it changes over. The host asks it in the turn in which a request is admitted.

The table of states is in docs/policy.md. A member is never half way: what a version needs is prepared and
checked before the member accepts it, and changing over is one assignment. Times are ms of the member's own
clock, which never steps back.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from .document import digest
from .log_entries import ActivationTime
from .messages import (
    ClockQuery,
    ClockReading,
    PolicyNotification,
    PolicyQuery,
    PrepareChange,
    PrepareResponse,
)

QUERY_INTERVAL_MS = 300.0  # a member that may not serve, or whose promise ran out, asks this often
LEASE_MS = 5000.0  # where silent members have to stop, a policy holds so long without an answer
LEASE_RENEWAL_INTERVAL_MS = 1500.0  # the lease is renewed after this: three attempts before it runs out
CLIENT_RETRY_MS = 500.0  # a client is asked to come back after this while no end is known
MAX_REASON_LENGTH = 2000  # characters of a refusal's reason

# Checks a document and makes of it all that admitting requests under it needs, and whether it holds on a
# lease; raises ValueError with what is wrong.
PrepareDocument = Callable[[str], tuple[Any, bool]]


class ServingState(Enum):
    """Whether a member admits requests, and why not; the values are shown to operators."""

    QUERYING = "asks before it serves"  # just started
    SERVING = "serves"
    PROMISED = "has promised"  # serves under the old policy until its promise runs out
    AWAITING_OUTCOME = "waits for the outcome"  # its promise has run out
    ACTIVATING = "changes over"  # it knows the activation time
    LEASE_EXPIRED = "heard nothing for too long"  # where silent members have to stop


class PreparedPolicy(NamedTuple):
    """A version and what the host has made of its document; `stop`: it holds on a lease."""

    version: int
    digest: str
    made: Any
    stop: bool = False


class PreparePromise(NamedTuple):
    """What the member has accepted: it admits nothing under its old policy from `until_ms` on."""

    index: int  # of the proposal in the log
    policy: PreparedPolicy
    until_ms: float


class ScheduledActivation(NamedTuple):
    """The old policy is used before `stop_ms`, the new one from `start_ms` on."""

    policy: PreparedPolicy
    stop_ms: float
    start_ms: float


class PolicyHolder:
    """The policy under which this process may admit requests."""

    def __init__(
        self, now: float, name: str, token: int, initial: PreparedPolicy, prepare_document: PrepareDocument
    ) -> None:
        """`initial`: version 0, which the settings give."""
        self.name = name
        self.token = token
        self.prepare_document = prepare_document
        self.policy = initial
        self.initial_policy = initial
        self.awaiting_policy = True  # no leader has said yet what holds
        self.promise: PreparePromise | None = None
        self.activation: ScheduledActivation | None = None
        self.lease_until_ms = -math.inf  # the end of the policy, where it holds on a lease
        # The latest state and term that it has heard of.
        self.state_index = 0
        self.resolved_index = 0
        self.term = 0
        self.voters: tuple[str, ...] = ()
        self.queried_ms = -math.inf
        self.unusable_reason = ""  # why it can't run under what holds
        self.leaving = False  # it admits nothing any more
        self.settings_differ = False  # its settings differ from the leader's, and nothing newer holds

    # -- what holds

    def admitting_policy(self, now: float) -> tuple[PreparedPolicy | None, float]:
        """The policy to admit a request under now, or None and a time to come back (ms). It changes over
        here: a process that was paused would otherwise admit the first request that waits in its socket under
        a policy that is over."""
        activation = self.activation
        if activation is not None and now >= activation.start_ms:
            self._activate(activation.policy)
            activation = None
        if self.awaiting_policy or self.unusable_reason or self.leaving:
            return None, CLIENT_RETRY_MS
        if activation is not None and now >= activation.stop_ms:
            return None, activation.start_ms - now
        if activation is None and self.promise is not None and now >= self.promise.until_ms:
            return None, CLIENT_RETRY_MS
        if self.policy.stop and now >= self.lease_until_ms:
            return None, CLIENT_RETRY_MS
        return self.policy, 0.0

    def _activate(self, policy: PreparedPolicy) -> None:
        self.policy = policy
        self.activation = None
        self.promise = None
        self.awaiting_policy = False

    def state(self, now: float) -> ServingState:
        """The state that operators are shown."""
        if self.awaiting_policy or self.unusable_reason:
            return ServingState.QUERYING
        if self.activation is not None:
            return ServingState.ACTIVATING
        if self.promise is not None:
            in_time = now < self.promise.until_ms
            return ServingState.PROMISED if in_time else ServingState.AWAITING_OUTCOME
        if self.policy.stop and now >= self.lease_until_ms:
            return ServingState.LEASE_EXPIRED
        return ServingState.SERVING

    # -- messages of a leader

    def read_clock(self, now: float, message: ClockQuery) -> ClockReading | None:
        """What its clock says. From now on it follows no leader of an earlier term."""
        if message.term < self.term:
            return None
        self.term = message.term
        return ClockReading(term=message.term, sent_ms=message.sent_ms, reading_ms=now, leaving=self.leaving)

    def prepare(self, now: float, message: PrepareChange) -> PrepareResponse | None:
        """Accept or refuse a change. Accepting is a promise: nothing is admitted under the present policy
        from `promise_until_ms` on, until the outcome is known. None: the message is outdated."""
        self.admitting_policy(now)
        if self._is_outdated(message):
            return None
        promised = self.promise is not None and self.promise.index == message.index
        if not message.document and not promised:
            return None
        self.term = message.term
        refusal = ""
        if promised:
            until_ms = max(self.promise.until_ms, message.promise_until_ms)
            self.promise = self.promise._replace(until_ms=until_ms)
        else:
            refusal = self._mismatch(message) or self._promise(message)
        return PrepareResponse(
            term=message.term,
            index=message.index,
            accepted=not refusal,
            why=refusal,
            sent_ms=message.sent_ms,
            reading_ms=now,
        )

    def _is_outdated(self, message: PrepareChange) -> bool:
        """For another process, from a leader that is none any more, or about a change that is over."""
        if self.leaving or message.token != self.token:
            return True
        return message.term < self.term or message.index <= self.resolved_index

    def _mismatch(self, message: PrepareChange) -> str:
        """Why a change does not start from what holds here, or nothing."""
        if not self.awaiting_policy and self.policy.version != message.base:
            return f"runs under version {self.policy.version}, not {message.base}"
        if message.base == 0 and self.initial_policy.digest != message.base_digest:
            return "its settings file says other terms than that of the one that was asked"
        return ""

    def _promise(self, message: PrepareChange) -> str:
        """Prepare the document and promise; why that is impossible, or nothing."""
        try:
            made, stop = self.prepare_document(message.document)
        except ValueError as problem:
            return str(problem)[:MAX_REASON_LENGTH]
        policy = PreparedPolicy(message.version, digest(message.document), made, stop)
        self.promise = PreparePromise(message.index, policy, message.promise_until_ms)
        return ""

    def receive_notification(self, now: float, message: PolicyNotification) -> bool:
        """Take in what holds as a leader says; whether it was news. A late message undoes nothing."""
        self.admitting_policy(now)
        outdated = message.state_index < self.state_index or message.term < self.term
        if message.token != self.token or outdated:
            return False
        if message.version < self.policy.version:  # the voters have lost what was adopted: the host logs it
            return False
        self.state_index = message.state_index
        self.term = message.term
        self.resolved_index = max(self.resolved_index, message.resolved_index)
        self.voters = message.voters
        self.settings_differ = not message.version and message.digest != self.initial_policy.digest
        usable_again = bool(message.version and self.unusable_reason)
        if (message.version > self.policy.version or usable_again) and not self._take_over(message):
            return True
        if self._promise_is_resolved() and self.activation is None:
            self.promise = None
        if message.queried_ms >= 0.0:
            self.lease_until_ms = max(self.lease_until_ms, message.queried_ms + LEASE_MS)
            # One that has just started knows what will hold, and not what holds until then.
            self.awaiting_policy = self.awaiting_policy and self.activation is not None
        return True

    def _promise_is_resolved(self) -> bool:
        return self.promise is not None and self.promise.index <= self.resolved_index

    def _take_over(self, message: PolicyNotification) -> bool:
        """Schedule a newer policy, or hold it at once; whether that was possible."""
        if self.activation is not None and self.activation.policy.version == message.version:
            return True
        policy = self._prepared(message)
        if policy is None:
            return False
        self.unusable_reason = ""
        activation = message.activation
        if activation is not None and activation.token == self.token:
            self.activation = ScheduledActivation(policy, activation.stop_ms, activation.start_ms)
        else:  # its promise stays: one that has just started may have promised what comes after this policy
            self.policy = policy
            self.activation = None
        return True

    def _prepared(self, message: PolicyNotification) -> PreparedPolicy | None:
        """The policy of a notification: the promised one, or made anew. None where it has no document, which
        is sent once the member asks, or can't be used."""
        if self._promise_is_resolved() and self.promise.policy.digest == message.digest:
            return self.promise.policy
        if not message.document:
            return None
        try:
            made, stop = self.prepare_document(message.document)
        except ValueError as problem:
            self.unusable_reason = f"can't run under version {message.version}: {problem}"
            self.activation = None
            return None
        return PreparedPolicy(message.version, message.digest, made, stop)

    def voters_gone(self, now: float, began_ms: float) -> None:
        """A majority of the voters was proved gone, by connection attempts that began no sooner. A change
        without this member needs a majority that has run for longer than a lease, so none can have been
        decided from then on for the time of a lease. Once the lease has run out one may have been, before."""
        if now < self.lease_until_ms:
            self.lease_until_ms = max(self.lease_until_ms, began_ms + LEASE_MS)

    # -- queries to the leader

    def next_query(self, now: float) -> PolicyQuery | None:
        """A query for whoever leads, if it is time for one."""
        interval_ms = self._query_interval_ms(now)
        if interval_ms is None or now < self.queried_ms + interval_ms:
            return None
        self.queried_ms = now
        return PolicyQuery(queried_ms=now, version=self.policy.version)

    def _query_interval_ms(self, now: float) -> float | None:
        if not_serving(self.state(now)):
            return QUERY_INTERVAL_MS
        return LEASE_RENEWAL_INTERVAL_MS if self._is_leased() else None

    def _is_leased(self) -> bool:
        """Whether the policy holds on a lease, or the next one will: that one would expire as soon as it
        begins."""
        return self.policy.stop or (self.activation is not None and self.activation.policy.stop)

    def wake_ms(self, now: float) -> float:
        """When to look again at the latest."""
        times = []
        interval_ms = self._query_interval_ms(now)
        if interval_ms is not None:
            times.append(self.queried_ms + interval_ms)
        if self.activation is not None:
            times.append(self.activation.start_ms)
        if self.state(now) is ServingState.PROMISED:
            times.append(self.promise.until_ms)
        return min(times, default=math.inf)


def not_serving(state: ServingState) -> bool:
    """Whether a member in this state admits nothing, with no known end."""
    return state in (ServingState.QUERYING, ServingState.AWAITING_OUTCOME, ServingState.LEASE_EXPIRED)


def activation_time_of(
    name: str, token: int, at_ms: float, least_ms: float, most_ms: float, max_spread_ms: float
) -> ActivationTime:
    """When a process changes over whose clock is ahead of the leader's by `least_ms` to `most_ms`, so that it
    is `at_ms` by the leader's. Two processes differ by `max_spread_ms` at most in what they admit meanwhile;
    where the clock is known less well than that, the process admits nothing in between.

    >>> known = activation_time_of("a", 1, 1e3, 40.0, 60.0, 50.0)
    >>> uncertain = activation_time_of("a", 1, 1e3, 0.0, 200.0, 50.0)
    >>> known.stop_ms, known.start_ms, uncertain.stop_ms, uncertain.start_ms
    (1050.0, 1050.0, 1025.0, 1175.0)
    """
    middle_ms = (least_ms + most_ms) / 2.0
    stop_ms = min(middle_ms, least_ms + max_spread_ms / 2.0)
    start_ms = max(middle_ms, most_ms - max_spread_ms / 2.0)
    return ActivationTime(name=name, token=token, stop_ms=at_ms + stop_ms, start_ms=at_ms + start_ms)
