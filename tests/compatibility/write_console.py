"""Writes the forms of console anew, from the present program."""

from __future__ import annotations

from forms_common import outline_lines, write_form
from forms_console import PAGES, TOPIC, VERBS, ConsoleDay, console_of_forms, printed
from forms_members_page import members_page

if __name__ == "__main__":
    day = ConsoleDay()
    pages = {name: day.page(name) for name in PAGES}
    for name, page in pages.items():
        write_form(TOPIC, f"page_{name}", outline_lines(page))
    members = members_page()
    write_form(TOPIC, "members_seen", outline_lines(members))
    seen = {**members, "of": len(members["rows"]), "from": 0, "search": ""}
    few = {**pages["triggers"], "rows": pages["triggers"]["rows"][:3]}
    write_form(TOPIC, "sample_pages", {
        "own": pages["own"], "service": pages["service"], "triggers": few, "members": seen,
    })  # fmt: skip
    write_form(TOPIC, "live", outline_lines(day.live()))
    write_form(TOPIC, "metrics", day.metrics())
    with console_of_forms() as address:
        write_form(TOPIC, "verbs", {name: printed(words, address) for name, words in VERBS.items()})
