"""The executors that the endpoint list names: their indices, start times and channels.

The dispatcher passes each list in and forwards the result to the routing core. It releases executors here
once the core has forgotten them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..common.endpoint_entry import EndpointEntry
from ..common.index_table import IndexTable
from ..common.start_times import StartTimes
from ..routing.router import FrontEnd
from ..routing.types import Endpoint, Stage
from .executor_channel import ExecutorChannel
from .observers import RequestObserver

STAGES = {"ready": Stage.READY, "draining": Stage.DRAINING, "gone": Stage.GONE}


class ExecutorDirectory:
    """Maps endpoint entries to the indices of the routing core and keeps one channel per executor."""

    def __init__(
        self,
        front_end: FrontEnd,
        zones: list[str],
        machines: list[str],
        open_channel: Callable[[int, EndpointEntry], ExecutorChannel],
        unix_ahead_s: Callable[[], float],
        counts: Counter[str],
        log,
    ) -> None:
        """Create a directory of the given zones and machines, without executors.

        `unix_ahead_s` returns how far the wall clock has been stepped ahead of the process's own clock, in
        seconds."""
        self.front_end = front_end
        self.open_channel = open_channel
        self.unix_ahead_s = unix_ahead_s
        self.counts = counts
        self.log = log
        self.starts = StartTimes()
        self.executors = IndexTable()
        self.zones = IndexTable()
        self.machines = IndexTable()
        for zone in zones:
            self.zones.add(zone)
        for machine in machines:
            self.machines.add(machine)
        self.channels: dict[int, ExecutorChannel] = {}  # by the executor's index

    def listed(
        self, entries: list[EndpointEntry], now: float, observer: RequestObserver | None
    ) -> list[Endpoint]:
        """Return the endpoints of a list, after opening a channel to each new executor."""
        endpoints = []
        for entry in entries:
            if entry.stage == "gone" and entry.executor not in self.executors.indices:
                continue
            endpoints.append(self._endpoint(entry, now, observer))
        return endpoints

    def _endpoint(self, entry: EndpointEntry, now: float, observer: RequestObserver | None) -> Endpoint:
        index, new = self.executors.add(entry.executor)
        started_ms = self.starts.own_ms(now, entry.executor, entry.started_ms)
        if observer is not None:
            self._report_change(observer, now, index, entry, started_ms)
        endpoint = Endpoint(
            index,
            entry.executor,
            self.zones.add(entry.zone)[0],
            self.machines.add(entry.machine)[0],
            entry.cell,
            STAGES[entry.stage],
            entry.weight,
            started_ms,
        )
        if new:
            self.channels[index] = self.open_channel(index, entry)
        else:
            self.channels[index].moved(entry.address, entry.port)
            self.channels[index].restarted(entry.started_ms, started_ms)
        return endpoint

    def _report_change(
        self, observer: RequestObserver, now: float, index: int, entry: EndpointEntry, started_ms: float
    ) -> None:
        known = self.front_end.executors.get(index)
        if known is None:
            observer.changed(now, "executor listed", f"{entry.executor} {entry.stage} in {entry.zone}")
        elif known.endpoint.stage is not STAGES[entry.stage]:
            observer.changed(now, f"executor {entry.stage}", entry.executor)
        elif started_ms > known.endpoint.started_ms:
            observer.changed(now, "executor restarted", entry.executor)

    def check_wall_clock(self, now: float) -> None:
        """After a step of the wall clock, convert the listed start times to this process's clock again."""
        ahead_s = self.unix_ahead_s()
        if not self.starts.unix_ahead(ahead_s * 1e3):
            return
        self.counts["wall clock stepped"] += 1
        self.log.warning("wall clock stepped", ahead_s=round(ahead_s, 3))
        for executor, started_ms in self.starts.all_own_ms().items():
            self.front_end.executor_start_corrected(now, self.executors.indices[executor], started_ms)

    def release(self, indices: list[int]) -> None:
        """Close the channels of executors that the routing core has forgotten, and free their indices."""
        for index in indices:
            self.starts.forget(self.executors.outside_ids[index])
            self.channels.pop(index).close()
        self.executors.release(indices)
