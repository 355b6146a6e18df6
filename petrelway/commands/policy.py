"""`petrelway policy`: the operators' terms, as the console of any member tells them and takes changes."""

from __future__ import annotations

import getpass
import json
import sys
import time
import urllib.error
import urllib.request
import uuid
from typing import Any

import click

from ..console.serving import read_token
from ..policy.document import canonical, check, differences
from ..settings.front import Fleet, FrontEndPlace
from ..settings.reading import evaluate
from .inspect import CONSOLE, WAIT_S, ask
from .serve import read_or_exit

LOOK_S = 0.3  # how a change stands is asked this often
ENDS = {"adopted": 0, "abandoned": 1, "refused": 1}
TOKEN = click.option("--token-file", type=click.Path(), required=True, help="What the console asks for.")
JSON = click.option("--json", "as_json", is_flag=True)
LIMIT = click.option("--limit", default=120.0, show_default=True, help="Seconds that its end is waited for.")


@click.group()
def policy() -> None:
    """The terms that all members run under: request classes, tenants, permits, functions."""


def seen(console: str, **query: str) -> dict[str, Any]:
    found = ask(console, "policy", **query)
    if found["version"] is None:
        click.echo(f"{console}: its settings have no section policy", err=True)
        sys.exit(2)
    return found


def present(console: str) -> tuple[int, str, str]:
    """Version and document that hold here, and the document of the settings."""
    found = seen(console)
    return found["version"], found["document"], found["own document"]


def read_terms(file: str) -> str:
    """The terms in a Jsonnet file, in one form. Raises SettingsError."""
    alone = {"front_end": FrontEndPlace(name="-", zone="-"), "fleet": Fleet(zones=["-"])}
    return canonical(check(file, evaluate(file), alone))


def show_differences(before: str, after: str, as_json: bool, version: int) -> bool:
    """Whether there are any."""
    found = differences(before, after)
    if as_json:
        click.echo(json.dumps({"made from": version, "differences": [d._asdict() for d in found]}))
    for d in [] if as_json else found:
        click.echo(f"  {d.where}: {d.before} -> {d.after}" + (f"   DANGER: {d.danger}" if d.danger else ""))
    return bool(found)


@policy.command()
@click.argument("file", type=click.Path())
@CONSOLE
@JSON
def plan(file: str, console: str, as_json: bool) -> None:
    """What the terms in FILE (Jsonnet) would change, and what is dangerous in it. Exit 1 if they differ."""
    document = read_or_exit(read_terms, file, as_json)
    version, before, _ = present(console)
    if not as_json:
        click.echo(f"made from version {version}:")
    differ = show_differences(before, document, as_json, version)
    if not differ and not as_json:
        click.echo("  nothing differs")
    sys.exit(1 if differ else 0)


@policy.command()
@click.argument("file", type=click.Path())
@click.option("--base", type=int, help="The version that it was planned against; else the present one.")
@click.option("--without", multiple=True, metavar="NAME", help="A member that you know to be down.")
@click.option("--id", "id_", default="", help="To ask again for the same change.")
@CONSOLE
@TOKEN
@LIMIT
@JSON
def apply(
    file: str,
    base: int | None,
    without: tuple[str, ...],
    id_: str,
    console: str,
    token_file: str,
    limit: float,
    as_json: bool,
) -> None:
    """Have all members run under the terms in FILE, or none. Exit 1 if it was not adopted."""
    document = read_or_exit(read_terms, file, as_json)
    version, _, own = present(console)
    send(console, token_file, limit, as_json, id=id_ or new_id(), base=version if base is None else base,
         document=document, base_document=own, without=without)  # fmt: skip


@policy.command()
@click.argument("version", type=int, required=False)
@CONSOLE
@TOKEN
@LIMIT
@JSON
def back(version: int | None, console: str, token_file: str, limit: float, as_json: bool) -> None:
    """A new change with the content of an earlier VERSION, or of the one before the present."""
    now, _, own = present(console)
    document = document_of(console, now - 1 if version is None else version)
    send(console, token_file, limit, as_json, base=now, document=document, base_document=own)


@policy.command()
@CONSOLE
@TOKEN
@JSON
def abandon(console: str, token_file: str, as_json: bool) -> None:
    """Give up the change that is under way, if it is not decided yet."""
    send(console, token_file, WAIT_S, as_json, abandon=True)


@policy.command()
@click.argument("names", nargs=-1, required=True)
@CONSOLE
@TOKEN
@LIMIT
@JSON
def keepers(names: tuple[str, ...], console: str, token_file: str, limit: float, as_json: bool) -> None:
    """NAMES keep the history from now on: one more or one fewer than now."""
    send(console, token_file, limit, as_json, keepers=names)


@policy.command()
@CONSOLE
@JSON
def show(console: str, as_json: bool) -> None:
    """Which version holds at this member, and whether it takes requests. Exit 1 if it does not."""
    found = seen(console)
    if as_json:
        click.echo(json.dumps(found))
    else:
        held = f"version {found['version']} ({found['digest']})"
        click.echo(f"{held}: {found['state']} {found['why not']}".rstrip())
        click.echo(f"keepers: {', '.join(found['keepers'])}; leader: {found['leader'] or 'none known'}"
                   + (f"; this one {found['keeper']}" if found["keeper"] else ""))  # fmt: skip
        if found["settings differ"]:
            click.echo("its settings say other terms than the leader's, and nothing newer holds")
        if found["under way"]:
            click.echo(f"under way: {found['under way']}")
    sys.exit(0 if found["serving"] else 1)


@policy.command()
@CONSOLE
@JSON
def history(console: str, as_json: bool) -> None:
    """All versions, newest first, and changes that were given up."""
    found = seen(console, history="1")
    if as_json:
        click.echo(json.dumps({"rows": found["rows"], "ended": found["ended"]}))
        return
    for row in found["rows"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at"])) if row["at"] else "-"
        without = ", ".join(f"{name} ({why})" for name, why in row["without"])
        who = (row["by"] or "the settings") + (f"; without {without}" if without else "")
        click.echo(f"{row['version']:>6}  {row['digest']}  {at}  {who}")
    for end in found["ended"]:
        if not end["version"]:
            click.echo(f"     -  {end['change']}: abandoned: {end['why']}")
    if found["history"] is None:
        click.echo("no keeper has answered", err=True)
        sys.exit(1)


@policy.command()
@click.argument("one", type=int)
@click.argument("two", type=int)
@CONSOLE
@JSON
def diff(one: int, two: int, console: str, as_json: bool) -> None:
    """What differs between two versions. Exit 1 if anything does."""
    before, after = document_of(console, one), document_of(console, two)
    sys.exit(1 if show_differences(before, after, as_json, one) else 0)


def document_of(console: str, version: int) -> str:
    document = seen(console, document=str(version)).get("asked document")
    if document is None:
        click.echo(f"version {version} is not in the history that is kept", err=True)
        sys.exit(2)
    return document


def new_id() -> str:
    return uuid.uuid4().hex[:12]


def send(console: str, token_file: str, limit: float, as_json: bool, **wish: Any) -> None:
    """Say it again and again until it has ended; exits."""
    try:
        token = read_token(token_file)
    except ValueError as problem:
        raise click.UsageError(f"--token-file: {problem}") from problem
    base = console if "://" in console else f"http://{console}"
    nothing = {"id": new_id(), "base": 0, "document": "", "base_document": ""}
    said = {"type": "Propose", "by": getpass.getuser(), "at": time.time(), **nothing, **wish}
    data, end, rows, found = json.dumps(said).encode(), time.monotonic() + limit, {}, {}
    while time.monotonic() < end:
        asked = urllib.request.Request(
            f"{base}/wish", data, {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        )
        try:
            with urllib.request.urlopen(asked, timeout=WAIT_S) as answer:
                found = json.load(answer)
        except urllib.error.HTTPError as error:
            why = error.read().decode(errors="replace").strip()
            click.echo(f"{base}/wish: {error.code}: {why}", err=True)
            sys.exit(2)
        except (OSError, ValueError) as error:
            found = {"state": "under way", "why": f"{base}: {error}", "rows": []}
        for name, what in found["rows"]:
            if rows.get(name) != what and not as_json and sys.stdout.isatty():
                click.echo(f"  {name:<16} {what}")
            rows[name] = what
        if found["state"] != "under way":
            break
        time.sleep(LOOK_S)
    if as_json:
        click.echo(json.dumps({"id": said["id"], **found, "rows": rows}))
    else:
        why = f": {found['why']}" if found.get("why") else ""
        held = f" (version {found['version']})" if "version" in found else ""
        click.echo(f"{found['state']}{held}{why}")
    if found["state"] == "under way":
        ways = f"ask again with --id {said['id']}, or `petrelway policy abandon`"
        click.echo(f"its end is not known yet: {ways}", err=True)
    sys.exit(ENDS.get(found["state"], 1))


VERBS = [policy]
