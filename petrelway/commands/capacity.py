"""`petrelway capacity`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .serve import read_or_exit


@click.command()
@click.argument("size", type=click.Path(), required=False)
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
@click.option("--slopes", type=click.Path(path_type=Path), help="Another file of slopes than the program's.")
@click.option("--page", type=click.Path(path_type=Path), help="Write the tables of this page anew instead.")
def capacity(size: str | None, as_json: bool, slopes: Path | None, page: Path | None) -> None:
    """What a fleet of SIZE (Jsonnet) needs, worked out from measured slopes.

    Exit 1 if a limit is passed at that size.
    """
    from ..capacity.slopes import SLOPES_FILE, SlopeFileError, read_slopes

    if (size is None) == (page is None):
        raise click.UsageError("give a SIZE, or --page and none")
    try:
        measured = read_slopes(slopes or SLOPES_FILE)
    except SlopeFileError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    if page is not None:
        _write_page(page, measured)
    else:
        _print_report(size, measured, as_json)


def _print_report(file: str, measured, as_json: bool) -> None:
    import msgspec

    from ..capacity.model import rows
    from ..capacity.report import report, text
    from ..capacity.size import read_size

    size = read_or_exit(read_size, file, as_json)
    found = report(measured, rows(measured, size))
    click.echo(msgspec.json.encode(found).decode() if as_json else text(size, found))
    sys.exit(1 if any(row.breaks for row in found.rows) else 0)


def _write_page(page: Path, measured) -> None:
    from ..capacity.page import PageError, render

    try:
        written = read_or_exit(lambda file: render(page.read_text("utf-8"), page.parent, measured), str(page))
        page.write_text(written, "utf-8")
    except PageError as fault:
        click.echo(f"{page}: {fault}", err=True)
        sys.exit(2)
    except OSError as problem:
        click.echo(f"{page}: {problem.strerror}", err=True)
        sys.exit(2)
    click.echo(f"{page}: tables written")


VERBS = [capacity]
