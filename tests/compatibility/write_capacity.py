"""Write the fixtures of the capacity model anew from the present program.

Run it from the root: `PYTHONPATH=. python tests/compatibility/write_capacity.py`.
"""

from __future__ import annotations

from forms_capacity import report_json, report_text, slopes_read, type_forms
from forms_values import write_form


def main() -> None:
    """Write all of them."""
    write_form("capacity/types.json", type_forms())
    write_form("capacity/slopes.json", slopes_read())
    write_form("capacity/report-text.json", report_text())
    write_form("capacity/report.json", report_json())


if __name__ == "__main__":
    main()
