"""`petrelway standin`: one process of a rehearsal."""

from __future__ import annotations

import traceback

import click


@click.group()
def standin() -> None:
    """Processes that a rehearsal starts; each reads FOLDER/plan.json."""


def _run(play, folder: str, *numbers: int) -> None:
    from twisted.internet import reactor

    from ..standin.parts import Plan

    failed = []

    def begin() -> None:
        try:
            play(reactor, Plan(folder), *numbers)
        except Exception:  # danger: the reactor would log it and stay, and the rehearsal wait for nothing
            failed.append(traceback.format_exc())
            reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run()
    if failed:
        raise SystemExit(failed[0])


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("hall", type=int)
def executors(folder: str, hall: int) -> None:
    """All executors of one hall."""
    from ..standin.parts import play_executors

    _run(play_executors, folder, hall)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def services(folder: str) -> None:
    """Model store and roster."""
    from ..standin.parts import play_services

    _run(play_services, folder)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("number", type=int)
def clients(folder: str, number: int) -> None:
    """One of the client processes."""
    from ..standin.parts import play_clients

    _run(play_clients, folder, number)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def packages(folder: str) -> None:
    """The store of real packages, for a day with real workers."""
    from ..standin.parts import play_packages

    _run(play_packages, folder)


VERBS = [standin]
