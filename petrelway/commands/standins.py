"""`petrelway standin`: one process of a rehearsal."""

from __future__ import annotations

import click


@click.group()
def standin() -> None:
    """Processes that a rehearsal starts; each reads FOLDER/plan.json."""


def _run(play, folder: str, *numbers: int) -> None:
    from twisted.internet import reactor

    from ..standin.parts import Plan

    reactor.callWhenRunning(play, reactor, Plan(folder), *numbers)
    reactor.run()


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


VERBS = [standin]
