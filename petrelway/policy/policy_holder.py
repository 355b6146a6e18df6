"""One member's policy, without I/O: the version under which it may admit a request now, its promise, and when
it switches to the next version. The host queries it in the turn in which a request is admitted.

The table of states is in docs/policy.md. A switch is atomic: everything that a version needs is prepared and
checked before the member accepts it, and switching is a single assignment. Times are in ms of the member's
own monotonic clock.
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

QUERY_INTERVAL_MS = 300.0  # between queries of a member that may not serve or whose promise has expired
LEASE_MS = 5000.0  # where silent members must stop, a policy is valid this long after the last answered query
LEASE_RENEWAL_INTERVAL_MS = 1500.0  # allows three attempts before the lease expires
CLIENT_RETRY_MS = 500.0  # a client is told to retry after this if the end of the wait is unknown
MAX_REASON_LENGTH = 2000  # characters of the reason for a refusal

# Checks a document. Returns everything that admitting requests under it needs, and whether it requires a
# lease. Raises ValueError with the reason if the document can't be used.
PrepareDocument = Callable[[str], tuple[Any, bool]]


class ServingState(Enum):
    """Whether a member admits requests, and if not, why; the values are shown to operators."""

    QUERYING = "asks before it serves"  # since it started
    SERVING = "serves"
    PROMISED = "has promised"  # serves under the old policy until its promise runs out
    AWAITING_OUTCOME = "waits for the outcome"  # its promise has run out
    ACTIVATING = "changes over"  # the activation time is known
    LEASE_EXPIRED = "heard nothing for too long"  # only if silent members must stop


class PreparedPolicy(NamedTuple):
    """A version and what the host has prepared from its document; `stop`: it requires a lease."""

    version: int
    digest: str
    made: Any
    stop: bool = False


class PreparePromise(NamedTuple):
    """An accepted proposal: the member admits no request under its old policy from `until_ms` on."""

    index: int  # of the proposal in the log
    policy: PreparedPolicy
    until_ms: float


class ScheduledActivation(NamedTuple):
    """A scheduled switch: the old policy is used before `stop_ms`, the new one from `start_ms` on."""

    policy: PreparedPolicy
    stop_ms: float
    start_ms: float


class PolicyHolder:
    """The policy under which this process may admit requests."""

    def __init__(
        self, now: float, name: str, token: int, initial: PreparedPolicy, prepare_document: PrepareDocument
    ) -> None:
        """`initial`: version 0, the policy of the settings."""
        self.name = name
        self.token = token
        self.prepare_document = prepare_document
        self.policy = initial
        self.initial_policy = initial
        self.awaiting_policy = True  # no leader has confirmed the policy in force yet
        self.promise: PreparePromise | None = None
        self.activation: ScheduledActivation | None = None
        self.lease_until_ms = -math.inf  # end of the lease, if the policy requires one
        # The latest state and term received.
        self.state_index = 0
        self.resolved_index = 0
        self.term = 0
        self.voters: tuple[str, ...] = ()
        self.queried_ms = -math.inf
        self.unusable_reason = ""  # why it can't run under the policy in force
        self.leaving = False  # it admits no more requests
        self.settings_differ = False  # its settings differ from the leader's, and version 0 is in force

    # -- the policy in force

    def admitting_policy(self, now: float) -> tuple[PreparedPolicy | None, float]:
        """Return the policy for requests admitted now, or None and when to retry (ms from now). The switch to
        a new policy takes place here: a process that was paused would otherwise admit the first request
        waiting in its socket under a policy that is no longer in force."""
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
        """Return the serving state shown to operators."""
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
        """Return the clock reading, or None if the leader's term is outdated. Once it has answered, the
        member follows no leader of an earlier term."""
        if message.term < self.term:
            return None
        self.term = message.term
        return ClockReading(term=message.term, sent_ms=message.sent_ms, reading_ms=now, leaving=self.leaving)

    def prepare(self, now: float, message: PrepareChange) -> PrepareResponse | None:
        """Accept or refuse a change. Accepting is a promise to admit no request under the current policy from
        `promise_until_ms` on, until the outcome is known. Returns None if the message is outdated."""
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
            refusal = self._base_mismatch(message) or self._promise(message)
        return PrepareResponse(
            term=message.term,
            index=message.index,
            accepted=not refusal,
            why=refusal,
            sent_ms=message.sent_ms,
            reading_ms=now,
        )

    def _is_outdated(self, message: PrepareChange) -> bool:
        """Return whether the message is for another process, from a deposed leader, or about an ended
        change."""
        if self.leaving or message.token != self.token:
            return True
        return message.term < self.term or message.index <= self.resolved_index

    def _base_mismatch(self, message: PrepareChange) -> str:
        """Return why the change is not based on the policy in force here, or "" if it is."""
        if not self.awaiting_policy and self.policy.version != message.base:
            return f"runs under version {self.policy.version}, not {message.base}"
        if message.base == 0 and self.initial_policy.digest != message.base_digest:
            return "its settings file says other terms than that of the one that was asked"
        return ""

    def _promise(self, message: PrepareChange) -> str:
        """Prepare the document and make the promise. Return "", or the reason why the document can't be
        used."""
        try:
            made, stop = self.prepare_document(message.document)
        except ValueError as problem:
            return str(problem)[:MAX_REASON_LENGTH]
        policy = PreparedPolicy(message.version, digest(message.document), made, stop)
        self.promise = PreparePromise(message.index, policy, message.promise_until_ms)
        return ""

    def receive_notification(self, now: float, message: PolicyNotification) -> bool:
        """Apply a leader's notification; return whether it was current. An outdated one has no effect."""
        self.admitting_policy(now)
        outdated = message.state_index < self.state_index or message.term < self.term
        if message.token != self.token or outdated:
            return False
        if message.version < self.policy.version:  # the voters lost an adopted version; the host logs it
            return False
        self.state_index = message.state_index
        self.term = message.term
        self.resolved_index = max(self.resolved_index, message.resolved_index)
        self.voters = message.voters
        self.settings_differ = not message.version and message.digest != self.initial_policy.digest
        usable_again = bool(message.version and self.unusable_reason)
        if (message.version > self.policy.version or usable_again) and not self._schedule_or_adopt(message):
            return True
        if self._promise_is_resolved() and self.activation is None:
            self.promise = None
        if message.queried_ms >= 0.0:
            self.lease_until_ms = max(self.lease_until_ms, message.queried_ms + LEASE_MS)
            # A process that has just started knows the next policy, but not the one in force until then.
            self.awaiting_policy = self.awaiting_policy and self.activation is not None
        return True

    def _promise_is_resolved(self) -> bool:
        return self.promise is not None and self.promise.index <= self.resolved_index

    def _schedule_or_adopt(self, message: PolicyNotification) -> bool:
        """Schedule a newer policy, or adopt it at once; return whether that was possible."""
        if self.activation is not None and self.activation.policy.version == message.version:
            return True
        policy = self._prepared_policy(message)
        if policy is None:
            return False
        self.unusable_reason = ""
        activation = message.activation
        if activation is not None and activation.token == self.token:
            self.activation = ScheduledActivation(policy, activation.stop_ms, activation.start_ms)
        else:  # keep the promise: a process that just started may have promised the version after this one
            self.policy = policy
            self.activation = None
        return True

    def _prepared_policy(self, message: PolicyNotification) -> PreparedPolicy | None:
        """Return the policy of a notification: the promised one, or one prepared from the document. None if
        the document can't be used or is missing; a missing document is sent once the member queries the
        leader."""
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
        """Extend the lease, as a majority of the voters was proved gone by connection attempts that began at
        `began_ms` or later. A change without this member needs a majority that has run for longer than a
        lease, so none can be decided within a lease's time from `began_ms`. An expired lease is not extended:
        a change may have been decided before."""
        if now < self.lease_until_ms:
            self.lease_until_ms = max(self.lease_until_ms, began_ms + LEASE_MS)

    # -- queries to the leader

    def next_query(self, now: float) -> PolicyQuery | None:
        """Return a query for the leader if one is due."""
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
        """Return whether the current or the next policy requires a lease. Without renewal before the switch,
        the lease of the next policy would have expired when it begins."""
        return self.policy.stop or (self.activation is not None and self.activation.policy.stop)

    def wake_ms(self, now: float) -> float:
        """Return by when the state has to be checked again."""
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
    """Return whether a member in this state admits no requests until a time that is not known."""
    return state in (ServingState.QUERYING, ServingState.AWAITING_OUTCOME, ServingState.LEASE_EXPIRED)


def activation_time_of(
    name: str, token: int, at_ms: float, least_ms: float, most_ms: float, max_spread_ms: float
) -> ActivationTime:
    """Return when a process whose clock is ahead of the leader's by `least_ms` to `most_ms` switches
    policies, so that it does so at `at_ms` of the leader's clock. The times of two processes differ by
    `max_spread_ms` at most. If a clock is known less precisely, its process admits no requests between
    `stop_ms` and `start_ms`.

    >>> known = activation_time_of("a", 1, 1e3, 40.0, 60.0, 50.0)
    >>> uncertain = activation_time_of("a", 1, 1e3, 0.0, 200.0, 50.0)
    >>> known.stop_ms, known.start_ms, uncertain.stop_ms, uncertain.start_ms
    (1050.0, 1050.0, 1025.0, 1175.0)
    """
    middle_ms = (least_ms + most_ms) / 2.0
    stop_ms = min(middle_ms, least_ms + max_spread_ms / 2.0)
    start_ms = max(middle_ms, most_ms - max_spread_ms / 2.0)
    return ActivationTime(name=name, token=token, stop_ms=at_ms + stop_ms, start_ms=at_ms + start_ms)
