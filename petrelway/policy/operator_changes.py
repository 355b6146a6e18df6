"""Operators' changes submitted through one member, which sends them to the leader until they are answered."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from .change_coordinator import RETRY_INTERVAL_MS
from .messages import ChangeProgress, ChangeRequest

MAX_OPERATOR_CHANGES = 16  # pending through this member at a time
OPERATOR_CHANGE_LIFETIME_MS = 60_000.0  # a change whose progress nobody asks for is dropped after this
UNDER_WAY = "under way"


@dataclass(slots=True)
class OperatorChange:
    """A change and its last known progress."""

    request: ChangeRequest
    progress: ChangeProgress
    asked_ms: float  # when the operator last asked for the progress
    sent_ms: float = -math.inf

    def is_under_way(self) -> bool:
        """Return whether the outcome is not known yet."""
        return self.progress.state == UNDER_WAY


class OperatorChanges:
    """All changes whose outcome operators await at this member."""

    def __init__(self) -> None:
        """Start without any changes."""
        self._changes: dict[str, OperatorChange] = {}

    def request(self, now: float, request: ChangeRequest) -> ChangeProgress:
        """Register a change, or refresh a known one; return its progress."""
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
        """Store the leader's answer."""
        change = self._changes.get(progress.id)
        if change is not None:
            change.progress = progress

    def due(self, now: float) -> Iterator[ChangeRequest]:
        """Yield the requests to send now, and drop changes that nobody asks for any more."""
        for id, change in list(self._changes.items()):
            if now > change.asked_ms + OPERATOR_CHANGE_LIFETIME_MS:
                del self._changes[id]
            elif change.is_under_way() and now >= change.sent_ms + RETRY_INTERVAL_MS:
                change.sent_ms = now
                yield change.request

    def wake_times(self) -> list[float]:
        """Return when each request is to be sent again."""
        return [
            change.sent_ms + RETRY_INTERVAL_MS for change in self._changes.values() if change.is_under_way()
        ]
