"""`petrelway load`."""

from __future__ import annotations

import json
import sys

import click

from .serve import read_or_exit


@click.command()
@click.argument("target")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON, by second too.")
def load(target, file, as_json) -> None:
    """Send the load of FILE (Jsonnet) to the front end at TARGET, 127.0.0.1:PORT, in open loop."""
    from ..load.plan import read_load
    from ..load.running import LoadRunError, play, text

    address, _, port = target.rpartition(":")
    if address not in ("127.0.0.1", "localhost") or not port.isdigit() or not 0 < int(port) < 65536:
        raise click.UsageError(f"TARGET: found {target!r}; allowed: 127.0.0.1:PORT")
    plan = read_or_exit(read_load, file, as_json)
    try:
        found = play(file, plan, int(port))
    except LoadRunError as failure:
        click.echo(f"the load failed: {failure}", err=True)
        sys.exit(3)
    click.echo(json.dumps(found) if as_json else text(found))
    if found["ended"].get("not sent") and not as_json:
        click.echo("some were not sent: how.open_bound was reached", err=True)


VERBS = [load]
