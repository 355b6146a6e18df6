"""`petrelway node`."""

from __future__ import annotations

import os
import signal
import sys
from typing import NoReturn

import click

from .. import logs
from ..platform.faults import PlatformFault
from ..platform.told import read_told


def _refuse(text: str) -> NoReturn:
    """One line, as the platform's log keeps it."""
    click.echo(f"petrelway node: {text}", err=True)
    sys.exit(2)


@click.command()
@click.option("--config", "file", envvar="RELAY_CONFIG", type=click.Path(), required=True,
              help="The platform's configuration (RELAY_CONFIG).")
def node(file: str) -> None:
    """Run a front end on the platform's protocol until SIGTERM; SIGHUP reads the configuration again."""

    def read() -> bytes:
        with open(file, "rb") as source:
            return source.read()

    try:
        told = read_told(read())
    except (PlatformFault, OSError) as fault:
        _refuse(f"{file}: {fault}")
    # installed before anything slow: by default the signal ends the process
    hups: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: hups.append(True))
    from twisted.internet import error, reactor

    from ..front.collecting import settle
    from ..node.service import NodeService

    log, lines = logs.start("json", "info", stream=sys.stdout, front_end=told.name)
    front = NodeService(reactor, told, read, log)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(front.reload))
    if hups:
        reactor.callWhenRunning(front.reload)
    try:
        front.startService()
    except PlatformFault as fault:
        _refuse(f"{file}: {fault}")
    except error.CannotListenError as problem:
        _refuse(
            f"{file}: listen: found {told.address}:{told.port}, which can't be listened on "
            f"({problem.socketError}); allowed: a free address"
        )
    settle()
    reactor.addSystemEventTrigger("before", "shutdown", front.stopService)
    reactor.addSystemEventTrigger("after", "shutdown", lines.finish)
    reactor.run()
    sys.stdout.flush()
    os._exit(0)  # nothing is left to tidy, and the platform waits


VERBS = [node]
