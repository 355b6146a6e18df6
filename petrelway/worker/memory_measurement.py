"""Measures the memory of the worker's process and of its replicas, as the system sees it."""

from __future__ import annotations

import psutil

BYTES_PER_MB = 2**20


def proportional_set_size_mb(process: psutil.Process) -> float:
    """Return the proportional set size of one process: its own pages, and its part of the shared ones."""
    return process.memory_full_info().pss / BYTES_PER_MB


def process_tree_mb(pid: int) -> float:
    """Return the memory of a process with all that it forked. Raises psutil.Error if it is gone."""
    process = psutil.Process(pid)
    total_mb = proportional_set_size_mb(process)
    for child in process.children(recursive=True):
        try:
            total_mb += proportional_set_size_mb(child)
        except psutil.Error:
            continue
    return total_mb


def measure(pids: dict[int, int]) -> tuple[float, dict[int, float]]:
    """Return the MB of this process, and of each replica by id; one that is gone is left out."""
    measured_mb = {}
    for replica_id, pid in pids.items():
        try:
            measured_mb[replica_id] = process_tree_mb(pid)
        except psutil.Error:
            continue
    return proportional_set_size_mb(psutil.Process()), measured_mb
