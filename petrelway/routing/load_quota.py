"""Rule 5: the quota of load requests, earned by the requests taken within a window.

Mixed into `rules.Gate`, which calls `_load_quota_allows` before each prefetch.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from .types import LoadQuotaRule

QUOTA_WINDOW_MARGIN_MS = 20.0  # margin at both ends of the window, always towards the smaller quota


class LoadQuota:
    """The times of the requests taken and of the load requests sent within the window."""

    def __init__(self, load_quota_rule: LoadQuotaRule) -> None:
        self.load_quota_rule = load_quota_rule
        self.taken = OrderedDict[int, float]()  # when each request of the window was taken, by its entry
        self.entries = 0
        self.load_requested = deque[float]()

    def request_taken(self, now: float) -> int:
        """Count a request that was taken; return the number of its entry."""
        self.entries += 1
        self.taken[self.entries] = now
        return self.entries

    def request_taken_back(self, entry: int) -> None:
        """Count a request no longer whose client left, else hundreds cancelled at once would earn loads."""
        self.taken.pop(entry, None)

    def expire_quota(self, now: float) -> None:
        """Drop the times that have left the window.

        Where load requests are rare or have no quota, the times of all requests would otherwise be kept
        forever.
        """
        window_ms = self.load_quota_rule.window_ms
        while self.load_requested and self.load_requested[0] < now - window_ms - QUOTA_WINDOW_MARGIN_MS:
            self.load_requested.popleft()
        while self.taken and next(iter(self.taken.values())) < now - window_ms + QUOTA_WINDOW_MARGIN_MS:
            self.taken.popitem(last=False)

    def _load_quota_allows(self, now: float) -> bool:
        """Return whether one more load request is within the quota."""
        rule = self.load_quota_rule
        self.expire_quota(now)
        left = rule.free + rule.share * len(self.taken) - len(self.load_requested)
        return rule.window_ms <= 0.0 or left >= 1.0
