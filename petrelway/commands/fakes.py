"""`petrelway standin`: one process of a rehearsal."""

from __future__ import annotations

import traceback

import click

from ..fakes.fault_schedule import KINDS


@click.group()
def standin() -> None:
    """Processes that a rehearsal starts; each reads FOLDER/plan.json."""


def _run(play, folder: str, *numbers: int) -> None:
    from ..common.process_clock import steady_reactor
    from ..fakes.scenario_processes import Plan

    reactor = steady_reactor()
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
@click.argument("zone", type=int, metavar="HALL")
def executors(folder: str, zone: int) -> None:
    """All executors of one zone."""
    from ..fakes.scenario_processes import play_executors

    _run(play_executors, folder, zone)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def services(folder: str) -> None:
    """Model store and registry."""
    from ..fakes.scenario_processes import play_services

    _run(play_services, folder)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("number", type=int)
def clients(folder: str, number: int) -> None:
    """One of the client processes."""
    from ..fakes.scenario_processes import play_clients

    _run(play_clients, folder, number)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def packages(folder: str) -> None:
    """The store of real packages, for a day with real workers."""
    from ..fakes.scenario_processes import play_packages

    _run(play_packages, folder)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def fault_proxy(folder: str) -> None:
    """The faulty network between front ends."""
    from ..fakes.fault_proxy import play_fault_proxy

    _run(play_fault_proxy, folder)


@standin.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("kind", type=click.Choice([*KINDS, "clear"]))
@click.option("--some", default="", help="Front ends by number, as in 0,1,2; left out: all.")
@click.option("--others", default="", help="Left out: all the rest.")
@click.option("--for", "len_s", default=0.0, help="Seconds; 0: until it is cleared.")
@click.option("--size", default=1.0, help="Share of the messages, or ms of delay.")
@click.option("--extra", default=0.0, help="ms of jitter, of the second copy, of half a flap.")
def network_fault(
    folder: str, kind: str, some: str, others: str, len_s: float, size: float, extra: float
) -> None:
    """Put a fault between front ends of the rehearsal in FOLDER while it plays, or clear all."""
    from ..fakes.fault_proxy import ask

    try:
        asked = {
            "some": [int(n) for n in some.split(",") if n],
            "others": [int(n) for n in others.split(",") if n],
        }
    except ValueError as error:
        raise click.UsageError(f"--some, --others: {error}; allowed: numbers, as in 0,1,2") from error
    try:
        answer = ask(folder, {"kind": kind, **asked, "len_s": len_s, "size": size, "extra": extra})
    except (OSError, KeyError, ValueError) as error:
        click.echo(f"{folder}: {error!r}", err=True)
        raise SystemExit(1) from error
    click.echo(answer["said"])
    raise SystemExit(0 if answer["done"] else 2)


@standin.command()
@click.argument("size", type=int)
@click.argument("first", type=int)
@click.argument("count", type=int)
@click.option("--network", default=77, help="Second byte of all addresses, 127.NETWORK.x.y.")
@click.option("--port", default=20_000, help="Port of each member, at its own address.")
@click.option("--seed", default=0)
@click.option("--process", default=0, help="Which process under these names this is, from 0.")
@click.option("--ports/--datagrams", default=False, help="Listen on ports and try those of others.")
@click.option("--introduced/--unheard", default=False, help="Begin with everybody held alive.")
def hollow(
    size: int,
    first: int,
    count: int,
    network: int,
    port: int,
    seed: int,
    process: int,
    ports: bool,
    introduced: bool,
) -> None:
    """Members FIRST to FIRST+COUNT-1 of a fleet of SIZE, with no front end behind them.

    Reads go, report, settle, stop from standard input, one a line; answers by a report as JSON.
    """
    from ..fakes.hollow_members import FleetPlan, HollowMembersError
    from ..fakes.hollow_process import run_hollow

    try:
        plan = FleetPlan(size, network, port, seed)
        run_hollow(plan, range(first, first + count), ports, process, introduced)
    except HollowMembersError as fault:
        raise click.UsageError(str(fault)) from fault


VERBS = [standin]
