"""Write the fixtures of the command line anew from the present program.

Run it from the root: `PYTHONPATH=. python tests/compatibility/write_commands.py`.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from forms_commands import command_forms, exit_cases, result_form
from forms_values import write_form


def main() -> None:
    """Write both of them."""
    write_form("commands/commands.json", command_forms())
    results = {}
    for name, case in exit_cases().items():
        with tempfile.TemporaryDirectory() as folder:
            results[name] = result_form(case, Path(folder))
    write_form("commands/results.json", results)


if __name__ == "__main__":
    main()
