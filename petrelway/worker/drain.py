"""Graceful shutdown of a worker's call scheduler: nothing new begins, what runs is finished. No I/O."""

from __future__ import annotations

from .load_requests import LoadRequestTable
from .replica_loader import ReplicaLoader
from .scheduler_state import SchedulerState


def start_drain(state: SchedulerState, loader: ReplicaLoader, requests: LoadRequestTable, now: float) -> None:
    """Reject what has neither a replica nor a load in progress; the rest goes on."""
    state.draining = True
    state.needs_placement = True
    for load in list(state.loads.queue.values()):
        state.loads.remove(load)
    for function in list(state.waiting):
        if not state.replicas_of.get(function):
            loader.reject_full(function, now)
    requests.fail_all()
