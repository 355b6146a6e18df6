"""`petrelway serve` and `petrelway check`."""

from __future__ import annotations

import json
import signal
import sys
import time

import click

from ..common import structured_logs as logs
from ..settings.front import read_front_end
from ..settings.reading import SettingsError


def read_or_exit(read, file: str, as_json: bool = False):
    """What `read` gives for the file; on faults prints them and exits with 2."""
    try:
        return read(file)
    except SettingsError as fault:
        if as_json:
            click.echo(json.dumps({"file": fault.file, "faults": [f._asdict() for f in fault.faults]}))
        else:
            click.echo(str(fault), err=True)
        sys.exit(2)


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
def check(file: str, as_json: bool) -> None:
    """Evaluate and check a front end's settings FILE (Jsonnet)."""
    found = read_or_exit(read_front_end, file, as_json)
    if as_json:
        click.echo(json.dumps({"file": file, "faults": []}))
    else:
        click.echo(
            f"{file}: good: {len(found['tariffs'])} tariffs, {len(found['customers'])} customers, "
            f"{len(found['functions'])} functions"
        )


@click.command()
@click.argument("file", type=click.Path())
@click.option("--policy", default="petrelway", hidden=True, help="A baseline, for rehearsals only.")
@click.option("--meter", is_flag=True, hidden=True, help="Measure the time spent in decisions.")
@click.option("--record", type=click.Path(), hidden=True, help="A rehearsal's record of the fleet.")
@click.option("--epoch-ms", type=float, default=0.0, hidden=True, help="When the rehearsal's day begins.")
def serve(file: str, policy: str, meter: bool, record: str | None, epoch_ms: float) -> None:
    """Run a front end with the settings FILE until SIGTERM or SIGINT; what is owed is answered first."""
    found = read_or_exit(read_front_end, file)
    from twisted.internet import error

    from ..common.process_clock import process_clock, steady_reactor
    from ..daemon.service import Daemon
    from ..fakes.records import UNBUFFERED, Record
    from ..gateway.garbage_collection import configure_collector
    from ..gateway.service import FrontEndService
    from ..policy.raft_storage import StorageError
    from ..scenarios.baselines import POLICIES

    reactor = steady_reactor()
    reactor.stop_on(signal.SIGTERM, signal.SIGINT)  # also before it runs: clients may have asked by then
    wanted = found["log"]
    try:
        log, lines = logs.start(wanted.form, wanted.level, wanted.file, front_end=found["front_end"].name)
    except OSError as problem:
        raise click.UsageError(
            f"{file}: log.file: found {wanted.file!r} ({problem.strerror}); allowed: a file "
            "that can be written"
        ) from problem
    logs.library_errors(log)
    if policy not in POLICIES:
        raise click.BadParameter(f"found {policy!r}; allowed: {', '.join(POLICIES)}", param_hint="--policy")
    # the pass-through has no state to watch: it is the bare intake, host and links
    meter_s = time.perf_counter if meter else None
    written = Record(record, reactor, epoch_ms, UNBUFFERED) if record else None
    note = written.note if written else None
    unix_ahead_s = process_clock().unix_ahead_s
    if policy == "pass-through":
        front = FrontEndService(
            reactor, found, log, POLICIES[policy], meter_s, note=note, unix_ahead_s=unix_ahead_s
        )
    else:
        front = Daemon(
            reactor, found, log, POLICIES[policy], meter_s, lines=lines, note=note, unix_ahead_s=unix_ahead_s
        )
    try:
        front.startService()
    except ValueError as problem:
        raise click.UsageError(f"{file}: console.token_file: {problem}") from problem
    except StorageError as problem:
        raise click.UsageError(f"{file}: policy.file: {problem}") from problem
    except error.CannotListenError as problem:
        section = "listen" if problem.port == found["listen"].port else "console"
        if "peers" in found and problem.port == found["peers"].port:
            section = "peers"
        raise click.UsageError(
            f"{file}: {section}.port: found {problem.port}, which can't be listened on "
            f"({problem.socketError}); allowed: a free port"
        ) from problem
    configure_collector()
    reactor.addSystemEventTrigger("before", "shutdown", front.stopService)
    reactor.addSystemEventTrigger("after", "shutdown", lines.finish)
    reactor.run()


VERBS = [serve, check]
