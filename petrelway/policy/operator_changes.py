"""Operators' changes on their way through one member: sent to the leader again until it has answered."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from .change_coordinator import RETRY_INTERVAL_MS
from .messages import ChangeProgress, ChangeRequest

MAX_OPERATOR_CHANGES = 16  # by way of this member, at a time
OPERATOR_CHANGE_LIFETIME_MS = 60_000.0  # one that nobody has asked after for so long is forgotten
UNDER_WAY = "under way"


@dataclass(slots=True)
class OperatorChange:
    """One change, and what is known of it."""

    request: ChangeRequest
    progress: ChangeProgress
    asked_ms: float  # when the operator asked last
    sent_ms: float = -math.inf

    def is_under_way(self) -> bool:
        """Whether its end is not known yet."""
        return self.progress.state == UNDER_WAY


class OperatorChanges:
    """All changes that operators wait for at this member."""

    def __init__(self) -> None:
        """Begin without any."""
        self._changes: dict[str, OperatorChange] = {}

    def request(self, now: float, request: ChangeRequest) -> ChangeProgress:
        """A new change, or the question how it stands."""
        change = self._changes.get(request.id)
        if change is None:
            if len(self._changes) >= MAX_OPERATOR_CHANGES:
                why = f"{MAX_OPERATOR_CHANGES} changes are on their way through this member already"
                return ChangeProgress(id=request.id, state="refused", version=0, why=why)
            why = "no keeper has answered yet"
            progress = ChangeProgress(id=request.id, state=UNDER_WAY, version=0, why=why)
            change = OperatorChange(request, progress, now)
            self._changes[request.id] = change
        change.asked_ms = now
        return change.progress

    def update(self, progress: ChangeProgress) -> None:
        """Take in the leader's answer."""
        change = self._changes.get(progress.id)
        if change is not None:
            change.progress = progress

    def due(self, now: float) -> Iterator[ChangeRequest]:
        """The requests to send now; what nobody asks after any more is forgotten."""
        for id, change in list(self._changes.items()):
            if now > change.asked_ms + OPERATOR_CHANGE_LIFETIME_MS:
                del self._changes[id]
            elif change.is_under_way() and now >= change.sent_ms + RETRY_INTERVAL_MS:
                change.sent_ms = now
                yield change.request

    def wake_times(self) -> list[float]:
        """When requests are to be sent again."""
        return [
            change.sent_ms + RETRY_INTERVAL_MS for change in self._changes.values() if change.is_under_way()
        ]
