"""Bounds on a request that hold for every protocol in which one is sent: by clients, and to executors."""

from __future__ import annotations

NAME_BOUND = 512  # characters of a function, a key or another name
COST_BOUND_MS = 1e7  # maximum of a cost estimate: about three hours
