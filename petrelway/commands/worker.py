"""`petrelway worker`, `petrelway store` and `petrelway package`."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click

from ..common import structured_logs as logs
from ..settings.worker import read_worker
from .serve import read_or_exit


@click.group()
def worker() -> None:
    """The worker runtime: loads packages, runs calls."""


@worker.command(name="serve")
@click.argument("file", type=click.Path())
@click.option(
    "--record", type=click.Path(), hidden=True, help="Write what passes on the sockets, for a rehearsal."
)
@click.option("--epoch-ms", type=float, default=0.0, hidden=True)
@click.option("--process", default="", hidden=True, help="Its identity in a rehearsal's record.")
def serve_worker(file: str, record: str | None, epoch_ms: float, process: str) -> None:
    """Run a worker with the settings FILE until SIGTERM; what runs is finished first."""
    found = read_or_exit(read_worker, file)
    from twisted.internet import error

    from ..common.process_clock import steady_reactor
    from ..worker.package_cache import PackageCache
    from ..worker.package_fetch import PackageStoreClient
    from ..worker.scheduler_state import SchedulerConfig
    from ..worker.service import WorkerConfig, WorkerService

    reactor = steady_reactor()
    reactor.stop_on(signal.SIGTERM, signal.SIGINT)  # also before it runs: clients may have asked by then
    place, listen, wanted = found["worker"], found["listen"], found["log"]
    loads, calls, replicas = found["loads"], found["calls"], found["copies"]
    log, _ = logs.start(wanted.form, wanted.level, wanted.file, worker=place.name)
    logs.library_errors(log)
    written = None
    if record:
        from ..fakes.records import Record

        written = Record(record, reactor, epoch_ms)
        reactor.addSystemEventTrigger("after", "shutdown", written.close)
    store = PackageStoreClient(
        reactor,
        found["store"].address,
        found["store"].port,
        found["store"].timeout_ms,
        found["store"].silence_ms,
    )
    serving = WorkerService(
        reactor,
        WorkerConfig(
            name=place.name,
            machine=place.machine,
            address=listen.address,
            port=listen.port,
            deduplication_windows_ms={mark.request_class: mark.window_ms for mark in found["stamped"]},
            start_timeout_ms=loads.start_timeout_ms,
            measure_interval_ms=found["memory"].measure_ms,
            release_check_interval_ms=loads.recheck_ms,
            process=process,
        ),
        SchedulerConfig(
            memory_mb=found["memory"].budget_mb,
            max_concurrent_loads=loads.at_once,
            load_queue_bound=loads.line,
            max_concurrent_calls=calls.slots,
            call_queue_bound=calls.queue,
            idle_timeout_ms=replicas.keep_ms,
            scale_out=replicas.more,
            answers_miss=replicas.answers_miss,
            load_patience_ms=loads.patience_ms,
            stop_grace_ms=calls.stop_grace_ms,
        ),
        PackageCache(Path(found["images"].folder), found["images"].bound_mb),
        store,
        log,
        written,
    )
    try:
        serving.startService()
    except error.CannotListenError as problem:
        raise click.UsageError(
            f"{file}: listen.port: found {listen.port}, which can't be listened on "
            f"({problem.socketError}); allowed: a free port"
        ) from problem
    reactor.addSystemEventTrigger("before", "shutdown", serving.stopService)
    reactor.run()


@worker.command(name="check")
@click.argument("file", type=click.Path())
def check_worker(file: str) -> None:
    """Check a worker's settings FILE."""
    read_or_exit(read_worker, file)
    click.echo(f"{file}: good")


@click.group()
def store() -> None:
    """The stand-in model store."""


@store.command(name="serve")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--port", type=click.IntRange(0, 65535), required=True)
@click.option("--takes", type=click.IntRange(1), default=16, show_default=True, help="Fetches at full pace.")
@click.option(
    "--limit",
    type=click.IntRange(1),
    default=64,
    show_default=True,
    help="Fetches past which one is refused.",
)
@click.option(
    "--fetch-ms", type=click.FloatRange(0), default=0.0, show_default=True, help="Time of one fetch."
)
def serve_store(folder: str, port: int, takes: int, limit: int, fetch_ms: float) -> None:
    """Serve the packages (*.tar) in FOLDER by name and digest on loopback."""
    from ..common.process_clock import steady_reactor
    from ..fakes.package_store import Shelf, finish_fetches, site
    from ..worker.package import PackageError

    reactor = steady_reactor()
    reactor.stop_on(signal.SIGTERM, signal.SIGINT)  # also before it runs: clients may have asked by then
    shelf = Shelf(reactor, takes, limit, fetch_ms)
    try:
        shelf.put_all(Path(folder))
    except PackageError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    listening = reactor.listenTCP(port, site(shelf, reactor), interface="127.0.0.1")
    reactor.addSystemEventTrigger("before", "shutdown", listening.stopListening)
    reactor.addSystemEventTrigger("before", "shutdown", finish_fetches, shelf)
    click.echo(f"{len(shelf.names)} names, {len(shelf.files)} packages")
    reactor.run()


@click.group()
def package() -> None:
    """Model packages."""


@package.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("-o", "--output", type=click.Path(), required=True)
def build(folder: str, output: str) -> None:
    """Pack FOLDER, which has a manifest.json, into one file."""
    from ..worker.package import PackageError, build

    try:
        manifest, digest = build(Path(folder), Path(output))
    except PackageError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    click.echo(f"{manifest.name} {manifest.version}: {len(manifest.files)} files, sha256 {digest}")


@package.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Check a package FILE: manifest, members, sizes, digests."""
    from ..worker.package import PackageError, check, digest_of

    try:
        manifest = check(Path(file))
    except PackageError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(1)
    click.echo(f"{file}: good: {manifest.name} {manifest.version}, sha256 {digest_of(Path(file))}")


VERBS = [worker, store, package]
