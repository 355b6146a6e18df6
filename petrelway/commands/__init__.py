"""The command line: one file a verb group, no logic. Exit 0 done, 1 a finding, 2 bad use or settings.

A group is loaded when one of its verbs is asked for: a front end on the platform has no room for the rest.
"""

from __future__ import annotations

from importlib import import_module

import click

GROUPS = {
    "serve": ("serve", "check"),
    "inspect": ("status", "explain", "top", "members"),
    "rehearse": ("rehearse", "judge"),
    "emulate": ("emulate", "experiment", "plot", "compare", "hunt"),
    "load": ("load",),
    "fakes": ("standin",),
    "worker": ("worker", "store", "package"),
    "node": ("node",),
    "policy": ("policy",),
    "capacity": ("capacity",),
}


class Lazy(click.Group):
    """Knows its verbs by name alone."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(verb for verbs in GROUPS.values() for verb in verbs)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        for group, verbs in GROUPS.items():
            if name in verbs:
                found = import_module(f".{group}", __name__).VERBS
                return next(verb for verb in found if verb.name == name)
        return None


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="petrelway")
def main() -> None:
    """petrelway: a gateway that runs calls on workers which load functions on demand."""
