"""`petrelway rehearse` and `petrelway judge`."""

from __future__ import annotations

import json
import random
import sys
import tempfile
from pathlib import Path

import click

from ..invariants.checker import figures, judge
from ..invariants.membership_checker import judge_day
from ..invariants.records import RecordError, read
from ..scenarios.report import told_of_fleet
from ..settings.days import check_day, check_playable
from ..settings.reading import SettingsError, evaluate
from .serve import read_or_exit


def _progress(length_s: float):
    """A line that is renewed on a terminal; nothing in a pipe."""
    if not sys.stderr.isatty():
        return lambda at_s, under: None

    def show(at_s: float, under: str) -> None:
        at = max(0.0, min(length_s, at_s))
        bar = "#" * int(30 * at / length_s)
        click.echo(f"\r[{bar:<30}] {at:5.1f} of {length_s:.0f} s  {under:<50.50}", nl=False, err=True)

    return show


@click.command()
@click.argument("day", type=click.Path(), required=False)
@click.option("--bench-day", type=click.Path(), help="A bench's day file instead, scaled to this machine.")
@click.option("--scale", default=0.25, show_default=True, help="Share of the bench day's fleet and traffic.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option("--record", type=click.Path(), help="Keep the record in this folder.")
@click.option(
    "--policy",
    type=click.Choice(["petrelway", "random", "least-loaded", "pass-through"]),
    default="petrelway",
    show_default=True,
    help="petrelway, or a baseline to compare with.",
)
@click.option("--consoles", is_flag=True, help="Front ends serve their consoles.")
@click.option("--seed", type=int, help="Another seed than the day's.")
def rehearse(day, bench_day, scale, as_json, record, policy, consoles, seed) -> None:
    """Start everything on loopback, play DAY (Jsonnet), check the five rules. Exit 1 if one is broken."""
    from ..common.process_clock import share_scale, steady_reactor
    from ..fakes.fault_script import write
    from ..scenarios.bench_day import convert
    from ..scenarios.real_workers import PLAYED, unplayable
    from ..scenarios.report import as_json as to_json
    from ..scenarios.report import report, text
    from ..scenarios.runner import Conductor, Ports, ProcessFailedError, write_plan

    reactor = steady_reactor()
    share_scale()
    if (day is None) == (bench_day is None):
        raise click.UsageError("give a DAY or a --bench-day, one of them")
    if bench_day is not None:
        tree, left_out = read_or_exit(lambda f: convert(f, scale), bench_day, as_json)
        for line in left_out:
            click.echo(f"left out: {line}", err=True)
    else:
        tree = read_or_exit(evaluate, day, as_json)
    if seed is not None:
        tree.setdefault("day", {})["seed"] = seed
    found = read_or_exit(lambda f: check_playable(f, tree), day or bench_day, as_json)
    if found["fleet"].workers and (kinds := unplayable(found)):
        allowed = ", ".join(sorted(PLAYED))
        raise click.UsageError(f"troubles: found {', '.join(kinds)}; allowed with real workers: {allowed}")
    folder = Path(record) if record else Path(tempfile.mkdtemp(prefix="petrelway-"))
    if folder.exists() and any(folder.glob("*.jsonl")):
        raise click.UsageError(f"--record: found records in {folder}; allowed: a new or empty folder")
    try:
        ports = Ports(random.SystemRandom())
        write_plan(folder, tree, len(write(found).posts), found["fleet"].fronts, ports, consoles)
    except ProcessFailedError as failure:
        click.echo(f"the rehearsal failed: {failure}", err=True)
        sys.exit(3)
    conductor = Conductor(reactor, folder, tree, policy, _progress(found["day"].length_s))
    for number, port in enumerate(conductor.plan.ports.get("consoles", [])):
        click.echo(f"console of front-{number}: http://127.0.0.1:{port}/", err=True)
    problems: list[str] = []

    def done(failure=None) -> None:
        if failure is not None:
            problems.append(
                failure.getErrorMessage() if failure.check(ProcessFailedError) else failure.getTraceback()
            )
        reactor.stop()

    reactor.addSystemEventTrigger("before", "shutdown", conductor.abandon)
    reactor.callWhenRunning(lambda: conductor.play().addCallbacks(lambda _: done(), done))
    reactor.run()
    ports.close()
    if sys.stderr.isatty():
        click.echo(err=True)
    if problems:
        click.echo(f"the rehearsal failed: {problems[0]}\nits record: {folder}", err=True)
        sys.exit(3)
    faults = judge(read(folder), figures(found))
    breaches = judge_day(read(folder), found)
    result = report(folder, found)
    click.echo(to_json(result, faults, breaches) if as_json else text(result, faults, breaches))
    if not as_json:
        click.echo(f"record: {folder}")
    sys.exit(1 if faults or breaches else 0)


@click.command(name="judge")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print the breaches with their evidence as JSON.")
def judge_record(folder: str, as_json: bool) -> None:
    """Check a rehearsal's record in FOLDER again. Exit 1 if a rule was broken."""
    plan = Path(folder) / "plan.json"
    try:
        found = check_day(str(plan), json.loads(plan.read_text())["day"])
        faults = judge(read(folder), figures(found))
        breaches = judge_day(read(folder), found)
    except (OSError, ValueError, KeyError, SettingsError, RecordError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(json.dumps([x.as_json() for x in (*faults, *(breaches or []))]))
    else:
        for f in faults:
            click.echo(f"rule {f.rule} at {f.at_ms / 1e3:.3f} s, {f.request}: {f.what}")
        click.echo("rules: all five kept" if not faults else f"RULES BROKEN: {len(faults)}")
        for line in told_of_fleet(breaches):
            click.echo(line)
    sys.exit(1 if faults or breaches else 0)


VERBS = [rehearse, judge_record]
