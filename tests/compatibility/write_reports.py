"""Writes the forms of reports anew, from the present program."""

from __future__ import annotations

from forms_common import write_form
from forms_reports import (
    RESULTS,
    TOPIC,
    arrays,
    capacity_outline,
    checked,
    compared,
    load_outline,
    metadata,
    play_results,
)

from petrelway.emulator.results import load

if __name__ == "__main__":
    RESULTS.unlink(missing_ok=True)
    play_results(RESULTS)
    write_form(TOPIC, "arrays", arrays(RESULTS))
    write_form(TOPIC, "metadata", metadata(RESULTS))
    write_form(TOPIC, "rows", load(RESULTS).rows())
    write_form(TOPIC, "compared", {"text": compared(), "json": compared("--json")})
    write_form(TOPIC, "load", load_outline())
    write_form(TOPIC, "checked", checked("faulty_settings"))
    write_form(TOPIC, "capacity", capacity_outline())
