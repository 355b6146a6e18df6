"""The command line: one file a verb group, no logic. Exit 0 done, 1 a finding, 2 bad use or settings."""

from __future__ import annotations

import click

from . import emulations, fronts, loads, looks, rehearsals, standins, workers


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="petrelway")
def main() -> None:
    """petrelway: a gateway that runs calls on workers which load functions on demand."""


for group in (fronts, looks, rehearsals, emulations, loads, standins, workers):
    for verb in group.VERBS:
        main.add_command(verb)
