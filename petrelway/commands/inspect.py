"""`petrelway status`, `explain`, `top` and `members`: what a daemon's console says, in a terminal."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.parse
import urllib.request
from typing import Any

import click

WAIT_S = 5.0


def ask(console: str, page: str, **query: str) -> Any:
    """A page's data. Exits with 1 and one line if the daemon can't be reached."""
    asked = urllib.parse.urlencode({**query, "format": "json"})
    base = console if "://" in console else f"http://{console}"
    try:
        with urllib.request.urlopen(f"{base}/{page}?{asked}", timeout=WAIT_S) as answer:
            return json.load(answer)
    except (OSError, ValueError) as error:
        click.echo(f"{base}/{page}: {error}", err=True)
        sys.exit(1)


CONSOLE = click.option(
    "--console", default="127.0.0.1:8090", show_default=True, help="Address of the console."
)


@click.command()
@CONSOLE
@click.option("--json", "as_json", is_flag=True)
def status(console: str, as_json: bool) -> None:
    """The daemon's own state and its service of the last minute. Exit 1 if it gives anything up."""
    own = ask(console, "own")
    minute = ask(console, "service")["minute"].get("all", {}).get("", {})
    if as_json:
        click.echo(json.dumps({"own": own, "minute": minute}))
    else:
        click.echo(
            f"gives up: {own['gives up']}; lag {own['lag ms']} ms; {own['open triggers']} open, "
            f"{own['held']} waiting for a place, {own['orders and loads']} loads"
        )
        if own["terms"]:
            click.echo(f"terms: {own['terms']}")
        click.echo(
            f"last minute: {minute.get('taken', 0)} taken, "
            f"{100 * minute.get('share in time', 0):.1f}% in time, "
            f"{minute.get('nacked', 0)} nacked, {minute.get('broken off', 0)} broken off"
        )
    sys.exit(1 if own["step"] > 1 else 0)


@click.command()
@click.argument("request", metavar="TRIGGER")
@CONSOLE
@click.option("--json", "as_json", is_flag=True)
def explain(request: str, console: str, as_json: bool) -> None:
    """What was decided for a TRIGGER (its event's id, or a part) and why. Exit 1 if it is not known."""
    rows = ask(console, "triggers", id=request)["rows"]
    if as_json:
        click.echo(json.dumps(rows))
    for row in [] if as_json else rows:
        click.echo(
            f"{row['id']} from {row['source']}: {row['function']}, tariff {row['tariff']}, "
            f"customer {row['customer']}: {row['answer']} after {row['took ms']} ms"
        )
        for at, what, executor, detail in row["events"]:
            click.echo(f"  {at:8.1f} ms  {what:<10} {executor:<16} {detail}")
    if not rows:
        click.echo(f"{request}: not among the last triggers that are remembered", err=True)
    sys.exit(0 if rows else 1)


@click.command()
@CONSOLE
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
def top(console: str, every: float) -> None:
    """The console's executors, functions and requests in a terminal: sort, filter, drill down."""
    from ..console.top import Top

    Top(lambda page, **query: ask(console, page, **query), every).run()


@click.command()
@CONSOLE
@click.option("--json", "as_json", is_flag=True)
def members(console: str, as_json: bool) -> None:
    """The fleet as the front end with that console sees it. Exit 1 unless it is whole."""
    seen = ask(console, "members")
    while len(seen["rows"]) < seen["of"]:
        seen["rows"] += ask(console, "members", **{"from": str(len(seen["rows"]))})["rows"]
    if as_json:
        click.echo(json.dumps(seen))
    elif not seen["fleet"]:
        click.echo(f"{console}: knows no others: its settings have no section peers")
    else:
        until = "" if seen["share until s"] is None else f", for {seen['share until s']} s more"
        click.echo(
            f"fleet {seen['fleet']}: {seen['whole']}, {seen['alive']} alive; part {seen['share']} "
            f"(own share {seen['own share']}): {seen['why']}{until}"
        )
        for row in seen["rows"]:
            heard = "" if row["heard s ago"] is None else f"heard {row['heard s ago']} s ago"
            known = f"{row['since s']:>8} s  {heard:<20} {row['known by']}"
            click.echo(f"  {row['member']:<16} {row['state']:<10} {known}")
    sys.exit(0 if seen["fleet"] and seen["whole"] == "whole" else 1)


VERBS = [status, explain, top, members]
