"""Carries out loads: asks the store, fetches into the cache, unpacks, and starts the replica's process."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from twisted.internet import defer
from twisted.python.failure import Failure

from .call_scheduler import CallScheduler
from .package import Manifest, PackageError
from .package_cache import PackageCache
from .package_fetch import FetchError, PackageStoreClient
from .replica_process import ReplicaProcess


class ReplicaHost:
    """The loads in progress and the replica processes of one worker.

    `submit(event, *arguments)` hands an event to the scheduler; `in_thread` runs a function in a thread pool.
    """

    def __init__(
        self,
        reactor,
        scheduler: CallScheduler,
        cache: PackageCache,
        store: PackageStoreClient,
        start_timeout_ms: float,
        submit: Callable[..., None],
        in_thread: Callable[..., defer.Deferred],
        log,
    ) -> None:
        """Begin with no replicas."""
        self.reactor = reactor
        self.scheduler = scheduler
        self.cache = cache
        self.store = store
        self.start_timeout_ms = start_timeout_ms
        self.submit = submit
        self.in_thread = in_thread
        self.log = log
        self.replicas: dict[int, ReplicaProcess] = {}
        self.loading: dict[int, defer.Deferred] = {}

    def start_load(self, replica_id: int, function: str) -> None:
        """Load a function; the scheduler hears of the end."""
        load = self._load(replica_id, function)
        self.loading[replica_id] = load
        load.addErrback(self._load_failed, replica_id, function)

    def cancel_load(self, replica_id: int) -> None:
        """Break a load off, and end its process if there is one already."""
        if (load := self.loading.pop(replica_id, None)) is not None:
            load.cancel()
        self.end_replica(replica_id, "load cancelled")

    def cancel_all_loads(self) -> None:
        """Break all loads off: the worker stops."""
        for load in list(self.loading.values()):
            load.cancel()

    def end_replica(self, replica_id: int, reason: str) -> None:
        """End a replica's process, if it still runs."""
        if (replica := self.replicas.get(replica_id)) is not None:
            replica.end(reason)

    def end_all_replicas(self, reason: str) -> None:
        """End all replicas' processes."""
        for replica in list(self.replicas.values()):
            replica.end(reason)

    def start_call(self, replica_id: int, call_id: int, body: bytes) -> None:
        """Start a call on a replica; its death is reported by itself."""
        replica = self.replicas.get(replica_id)
        if replica is not None and not replica.exited:
            replica.call(call_id, body)

    def stop_call(self, replica_id: int, call_id: int) -> None:
        """Ask a replica to stop a call."""
        if (replica := self.replicas.get(replica_id)) is not None:
            replica.stop_call(call_id)

    def pids(self) -> dict[int, int]:
        """Return the process ids of the replicas that have one."""
        return {replica_id: replica.pid for replica_id, replica in self.replicas.items() if replica.pid}

    @defer.inlineCallbacks
    def _load(self, replica_id: int, function: str):
        package = yield self.store.resolve(function)
        self.submit(
            self.scheduler.load_described, replica_id, package.digest, package.memory_mb, package.concurrency
        )
        if self.cache.has(package.digest):
            self.cache.hits += 1
        else:
            yield self.store.fetch(
                package,
                self.cache.new_partial_file,
                lambda partial, digest: self.in_thread(self.cache.add, partial, digest),
            )
        folder, manifest = yield self.in_thread(self._unpack, replica_id, package.digest)
        if replica_id not in self.loading:
            return
        if manifest.memory_mb > package.memory_mb:
            self.submit(
                self.scheduler.load_described,
                replica_id,
                package.digest,
                manifest.memory_mb,
                manifest.concurrency,
            )
        self._spawn(replica_id, function, folder, manifest)

    def _unpack(self, replica_id: int, digest: str) -> tuple[Path, Manifest]:
        """Unpack, in a thread, and clean up if the load was cancelled before these files existed."""
        unpacked = self.cache.unpack(digest, _folder_name(replica_id))
        if replica_id not in self.loading:
            self.cache.remove_unpacked(_folder_name(replica_id))
        return unpacked

    def _spawn(self, replica_id: int, function: str, folder: Path, manifest: Manifest) -> None:
        self.replicas[replica_id] = ReplicaProcess.spawn(
            self.reactor,
            str(folder),
            manifest.entry,
            manifest.concurrency,
            self.start_timeout_ms,
            lambda: self._ready(replica_id),
            lambda call_id, succeeded, body: self.submit(
                self.scheduler.call_ended, replica_id, call_id, succeeded, body
            ),
            lambda reason: self._exited(replica_id, function, reason),
            self.log,
        )

    def _ready(self, replica_id: int) -> None:
        self.loading.pop(replica_id, None)
        self.submit(self.scheduler.load_completed, replica_id)

    def _load_failed(self, failure: Failure, replica_id: int, function: str) -> None:
        self.cache.remove_unpacked(_folder_name(replica_id))
        if failure.check(defer.CancelledError) and replica_id not in self.loading:
            return
        self.loading.pop(replica_id, None)
        kind = _failure_kind(failure)
        self.log.warning("load failed", function=function, kind=kind, reason=failure.getErrorMessage())
        self.submit(self.scheduler.load_failed, replica_id, kind)

    def _exited(self, replica_id: int, function: str, reason: str) -> None:
        replica = self.replicas.pop(replica_id)
        self.cache.remove_unpacked(_folder_name(replica_id))
        if self.loading.pop(replica_id, None) is not None:
            self.log.warning("load failed", function=function, kind=reason, reason=replica.last_output())
            self.submit(self.scheduler.load_failed, replica_id, reason)
            return
        if replica_id in self.scheduler.state.replicas:
            self.log.warning("replica died", function=function, kind=reason, output=replica.last_output())
        self.submit(self.scheduler.replica_died, replica_id, reason)


def _folder_name(replica_id: int) -> str:
    """Return the name of the folder with a replica's files, in the cache's folder of running replicas."""
    return f"copy-{replica_id}"


def _failure_kind(failure: Failure) -> str:
    """Return a short word for counts."""
    if failure.check(FetchError):
        return failure.value.kind
    if failure.check(PackageError):
        return "invalid package"
    return failure.type.__name__
