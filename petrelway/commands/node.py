"""`petrelway node`."""

from __future__ import annotations

import signal
import sys
from collections import Counter
from typing import NoReturn

import click

from ..common.process_clock import process_clock
from ..common.unloaded_modules import unloaded
from ..platform.configuration import read_configuration
from ..platform.errors import ProtocolError

with unloaded("rich"):  # structlog loads it for consoles; this command logs JSON, and memory is short
    from ..common import structured_logs as logs

INTERPRETER_START_S = 0.3  # from the program's start to this module's, at most
LOADED_S = process_clock().seconds()


def _refuse(text: str) -> NoReturn:
    """One line, as the platform's log keeps it."""
    click.echo(f"petrelway node: {text}", err=True)
    sys.exit(2)


@click.command()
@click.option(
    "--config",
    "file",
    envvar="RELAY_CONFIG",
    type=click.Path(),
    required=True,
    help="The platform's configuration (RELAY_CONFIG).",
)
@click.option("--peers", is_flag=True, hidden=True, help="Know the other front ends, if that is permitted.")
def node(file: str, peers: bool) -> None:
    """Run a front end on the platform's protocol until SIGTERM; SIGHUP reads the configuration again."""

    def leave():
        for again in (signal.SIGTERM, signal.SIGINT):  # a second one could only ask for what is under way
            signal.signal(again, signal.SIG_IGN)
        return front.stopService()

    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by default it ends the process; the file is read below
    short = Counter[str]()  # errors of the system that the start has met

    def patiently(make):
        return retry_while_short(make, short.update)

    from twisted.internet import error

    from ..common.allocator import return_freed_blocks
    from ..common.process_clock import steady_reactor
    from ..common.process_memory import ResidentMemory
    from ..gateway.garbage_collection import configure_collector
    from ..node.service import NodeService
    from ..sockets.starting import retry_while_short

    return_freed_blocks()
    reactor = patiently(steady_reactor)

    def read() -> bytes:
        with open(file, "rb") as source:
            return source.read()

    reactor.on_signal(signal.SIGHUP, lambda: front.reload())
    # by default the process ends at once, and clients may have asked since it listens
    reactor.stop_on(signal.SIGTERM, signal.SIGINT)
    try:
        configuration = read_configuration(patiently(read))
    except (ProtocolError, OSError) as fault:
        _refuse(f"{file}: {fault}")
    log, _ = logs.start("json", "info", stream=sys.stdout, front_end=configuration.name)
    memory = patiently(ResidentMemory)
    errors = logs.library_errors(log)
    errors.counts.update(reactor.failures)
    reactor.failures = errors.counts
    front = NodeService(
        reactor,
        configuration,
        read,
        log,
        peers=peers,
        unix_ahead_s=process_clock().unix_ahead_s,
        retry_transient_errors=patiently,
        library_errors=errors.counts,
        configured_ms=(LOADED_S - INTERPRETER_START_S) * 1e3,
        resident_bytes=memory.read_bytes,
    )
    try:
        front.startService()
    except ProtocolError as fault:
        _refuse(f"{file}: {fault}")
    except error.CannotListenError as problem:
        _refuse(
            f"{file}: listen: found {configuration.address}:{configuration.port}, which can't be listened on "
            f"({problem.socketError}); allowed: a free address"
        )
    if short:
        log.warning("the start waited for the system", errors=dict(short))
    configure_collector()
    reactor.addSystemEventTrigger("before", "shutdown", leave)
    reactor.run()


VERBS = [node]
