"""`petrelway emulate`, `experiment`, `plot`, `compare` and `hunt`."""

from __future__ import annotations

import json
import os
import random
import sys
from pathlib import Path

import click

from ..settings.days import check_day
from ..settings.reading import SettingsError, evaluate
from .serve import read_or_exit

POLICY_WORDS = ["petrelway", "random", "least-loaded"]


@click.command()
@click.argument("day", type=click.Path())
@click.option("--policy", type=click.Choice(POLICY_WORDS), default="petrelway", show_default=True)
@click.option("--seed", type=int, help="Another seed than the day's.")
@click.option("--record", type=click.Path(), help="Keep the record in this folder, for `petrelway judge`.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def emulate(day, policy, seed, record, as_json) -> None:
    """Play DAY (Jsonnet) in simulated time and check the five rules. Exit 1 if one is broken."""
    from ..emulator.day import EmulatedDay
    from ..invariants.checker import figures, judge
    from ..invariants.membership_checker import judge_day
    from ..scenarios.baselines import POLICIES
    from ..scenarios.report import as_json as to_json
    from ..scenarios.report import sums, text

    def make(file: str) -> EmulatedDay:
        tree = evaluate(file)
        if seed is not None:
            tree.setdefault("day", {})["seed"] = seed
        try:
            return EmulatedDay(tree, POLICIES[policy])
        except SettingsError as fault:
            raise SettingsError(file, fault.faults) from fault

    played = read_or_exit(make, day, as_json)
    lines = played.play()
    if record:
        _keep(Path(record), played, lines)
    faults = judge(lines, figures(played.day))
    breaches = judge_day(lines, played.day)
    found = sums(lines, played.day)
    click.echo(to_json(found, faults, breaches) if as_json else "emulated: " + text(found, faults, breaches))
    sys.exit(1 if faults or breaches else 0)


def _read_day(file: str):
    tree = evaluate(file)
    check_day(file, tree)
    return tree


def _place(output: str) -> Path:
    """Said before hours of runs, not after them."""
    path = Path(output)
    if not path.parent.is_dir() or not os.access(path.parent, os.W_OK):
        raise click.UsageError(f"--output: found {output}; allowed: a file in a folder that can be written")
    return path


def _keep(folder: Path, played, lines) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.glob("*.jsonl")):
        raise click.UsageError(f"--record: found records in {folder}; allowed: a new or empty folder")
    (folder / "plan.json").write_text(json.dumps({"day": played.tree, "epoch_ms": 0.0, "ports": {}}))
    texts: dict[str, list[str]] = {}  # what a member notes stands in a file of its own, as on sockets
    for line in lines:
        name = line.get("_file", "emulated")
        texts.setdefault(name, []).append(json.dumps(line, separators=(",", ":")) + "\n")
    for name, some in texts.items():
        (folder / f"{name}.jsonl").write_text("".join(some), encoding="utf-8")


@click.command()
@click.argument("file", type=click.Path())
@click.option("-o", "--output", type=click.Path(), required=True, help="Results; an unfinished file goes on.")
@click.option(
    "--processes",
    type=click.IntRange(0, 512),
    default=0,
    help="Runs at a time; 0: as many as there are cores.",
)
def experiment(file, output, processes) -> None:
    """Play the grid or the random sweep that FILE (Jsonnet) describes, one process a run."""
    from ..emulator.experiment import NotResumableError, RunFailedError, open_results, play, read_experiment
    from ..emulator.results import ResultsFileError

    asked = read_or_exit(read_experiment, file)
    path = _place(output)
    try:
        results = open_results(asked, path)
    except (NotResumableError, ResultsFileError) as problem:
        raise click.UsageError(str(problem)) from problem
    before = results.count
    with click.progressbar(length=asked.size(), label="runs", file=sys.stderr) as bar:

        def progress(done: int, of: int) -> None:
            bar.update(done - bar.pos)

        try:
            play(asked, results, path, processes, progress)
        except RunFailedError as failure:
            click.echo(f"\na run failed: {failure}; {results.count} runs are in {path.name}", err=True)
            sys.exit(3)
    broken = sum(1 for n in results.columns.get("broken_rules", []) if n)
    click.echo(f"{results.count} runs in {path.name}, {before} of them from before; {broken} broke a rule")
    sys.exit(1 if broken else 0)


def _load(path: str):
    from ..emulator.results import ResultsFileError, load

    try:
        return load(Path(path))
    except ResultsFileError as problem:
        raise click.UsageError(str(problem)) from problem


def _figures(results, names: str) -> list[str]:
    asked = [name for name in names.split(",") if name]
    for name in asked:
        if name not in results.columns or isinstance(results.columns[name][0], str):
            numbers = [n for n, v in results.columns.items() if v and not isinstance(v[0], str)]
            raise click.UsageError(f"--figures: found {name!r}; allowed: {', '.join(numbers)}")
    return asked


@click.command()
@click.argument("results", type=click.Path())
@click.option("-o", "--output", type=click.Path(), required=True, help="Folder for pictures and report.html.")
@click.option("--figures", default="service,p99_ms,found_share", show_default=True)
@click.option("--title", default="Experiment", show_default=True)
def plot(results, output, figures, title) -> None:
    """Draw RESULTS against each axis, with bands over seeds, as SVG, PNG and a page."""
    from ..emulator.plots import page

    found = _load(results)
    if not found.count:
        raise click.UsageError(f"{results}: found no runs; allowed: at least one")
    folder = Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    click.echo(str(page(found, _figures(found, figures), folder, title)))


@click.command()
@click.argument("a", type=click.Path())
@click.argument("b", type=click.Path(), required=False)
@click.option("--policies", nargs=2, help="Two policies of one file instead of two files.")
@click.option("--figures", default="service", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(a, b, policies, figures, as_json) -> None:
    """What differs between A and B beyond noise, point by point, paired by seed. Exit 1 if anything does."""
    from ..emulator.compare import paired
    from ..emulator.experiment import AXIS

    if (b is None) == (not policies):
        raise click.UsageError("give two files, or one and --policies")
    one = _load(a)
    two = _load(b) if b else one
    axes = [AXIS + name for name in one.names(AXIS)]
    if axes != [AXIS + name for name in two.names(AXIS)]:
        raise click.UsageError(f"found other axes in {b}; allowed: {', '.join(axes) or 'none'}")
    left, right, by = one.rows(), two.rows(), [*axes, "policy"]
    if policies:
        left = [row for row in left if row["policy"] == policies[0]]
        right = [row for row in right if row["policy"] == policies[1]]
        by = axes
    found = []
    for figure in _figures(one, figures):
        found += paired(left, right, by, figure, random.Random(1))
    if as_json:
        click.echo(json.dumps([f._asdict() for f in found]))
    else:
        for f in found:
            click.echo(
                f"{', '.join(f.point) or 'all'}: {f.figure} {f.a:.4g} to {f.b:.4g}, {f.mean:+.4g} "
                f"({f.low:+.4g} to {f.high:+.4g}, {f.pairs} pairs, p {f.p:.3f}): "
                f"{'differs' if f.differs else 'no more than noise'}"
            )
    sys.exit(1 if any(f.differs for f in found) else 0)


@click.command()
@click.argument("day", type=click.Path())
@click.option(
    "--tries",
    type=click.IntRange(1, 100_000),
    default=50,
    show_default=True,
    help="Days to draw; as many again to cut a find down.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--policy", type=click.Choice(POLICY_WORDS), default="petrelway", show_default=True)
@click.option("--kinds", default="", help="Only these troubles, by comma.")
@click.option("--processes", type=click.IntRange(0, 512), default=0)
@click.option("-o", "--output", type=click.Path(), required=True, help="The find, as a day file.")
def hunt(day, tries, seed, policy, kinds, processes, output) -> None:
    """Search days around DAY for a broken rule or the worst service; cut it down. Exit 1 on a violation."""
    import multiprocessing
    from concurrent.futures import ProcessPoolExecutor

    from ..emulator.fault_search import Find, all_kinds, cut_down, drawn
    from ..emulator.runs import judged

    base, place = read_or_exit(_read_day, day), _place(output)
    some = kinds.split(",") if kinds else all_kinds()
    for kind in some:
        if kind not in all_kinds():
            raise click.UsageError(f"--kinds: found {kind!r}; allowed: {', '.join(all_kinds())}")
    random_source = random.Random(seed)
    trees = [drawn(base, random_source, some) for _ in range(tries)]
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload(["petrelway.emulator.runs"])
    finds = []
    with ProcessPoolExecutor(processes or os.cpu_count(), mp_context=context) as pool:
        asked = pool.map(judged, trees, [policy] * len(trees))
        with click.progressbar(asked, length=tries, label="days", file=sys.stderr) as bar:
            for tree, (rules, service) in zip(trees, bar, strict=False):
                finds.append(Find(tree, rules, service))
    worst = finds[0]
    for find in finds[1:]:
        if find.worse(worst):
            worst = find

    def play(tree) -> Find:
        return Find(tree, *judged(tree, policy))

    small, played = cut_down(worst, play, tries)
    told = f"rules {sorted(small.rules)}" if small.rules else "no rule"
    place.write_text(
        f"// found by a hunt: {told} broken, service {small.service:.3f} (emulated, {policy})\n"
        + json.dumps(small.tree, indent=2)
        + "\n"
    )
    broken = sum(bool(f.rules) for f in finds)
    click.echo(
        f"{tries} days, {broken} broke a rule; worst: {told}, service {worst.service:.3f}; cut down in "
        f"{played} days to {len(small.tree['troubles'])} troubles, service {small.service:.3f}: {output}"
    )
    sys.exit(1 if small.rules else 0)


VERBS = [emulate, experiment, plot, compare, hunt]
