"""Write the fixtures of the settings anew from the present program.

Run it from the root: `PYTHONPATH=. python tests/compatibility/write_settings.py`.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from forms_settings import (
    EXAMPLES,
    KINDS,
    documents,
    example,
    fault_cases,
    fault_text,
    required_sections,
    section_forms,
    values,
)
from forms_values import write_form


def main() -> None:
    """Write all of them."""
    for kind in KINDS:
        write_form(f"settings/sections/{kind}.json", section_forms(kind))
        for file in documents(kind):
            write_form(f"settings/values/{file.stem}.json", values(kind, file))
    for name, kind in EXAMPLES.items():
        write_form(f"settings/examples/{name}.json", values(kind, example(name)))
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder)
        write_form("settings/required.json", {kind: required_sections(kind, place) for kind in KINDS})
        texts = {name: fault_text(case, place).splitlines() for name, case in fault_cases().items()}
        write_form("settings/faults.json", texts)


if __name__ == "__main__":
    main()
