"""Writes the forms of records anew, from the present program."""

from __future__ import annotations

import json
import shutil

from click.testing import CliRunner
from forms_common import FORMS, write_form
from forms_records import (
    DAY,
    TOPIC,
    calls_with_words,
    emulated_record,
    judged,
    judged_in_words,
    memory_record,
    policy_record,
)

from petrelway.commands import main

RECORDING_METHOD = "note"  # what writes a line of a record in the program that these forms are made from


def break_a_rule() -> dict[str, object]:
    """One line of the recorded day, changed so that a rule is broken: which line, and how it reads then.

    The succeeded answer to a one-shot request is made a reject, though its attempt ran.
    """
    path = DAY / "emulated.jsonl"
    lines = [json.loads(text) for text in path.read_text(encoding="utf-8").splitlines()]
    one_shot = {(line["id"], line["r"]) for line in lines if line["k"] == "ask" and line["f"] == "charge"}
    for number, line in enumerate(lines):
        asked = (line.get("id"), line.get("r"))
        if line["k"] == "answer" and line["o"] == "fulfilled" and asked in one_shot:
            changed = json.dumps({**line, "o": "nacked"}, separators=(",", ":"))
            return {"file": path.name, "line": number, "text": changed}
    raise SystemExit("the recorded day has no fulfilled answer to a one-shot trigger")


def write_day() -> None:
    """Record the day and what the judge and the report say of it, whole and with one line changed."""
    shutil.rmtree(DAY, ignore_errors=True)
    asked = ["emulate", str(FORMS / TOPIC / "emulated_day.json"), "--record", str(DAY), "--json"]
    result = CliRunner().invoke(main, asked)
    write_form(TOPIC, "report", json.loads(result.stdout))
    write_form(TOPIC, "files", sorted(p.name for p in DAY.iterdir()))
    write_form(TOPIC, "verdict", [*judged(DAY), judged_in_words(DAY)])
    change = break_a_rule()
    write_form(TOPIC, "changed_line", change)
    broken = DAY.with_name("broken")
    shutil.copytree(DAY, broken)
    path = broken / str(change["file"])
    lines = path.read_text(encoding="utf-8").splitlines()
    lines[int(str(change["line"]))] = str(change["text"])
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    write_form(TOPIC, "broken_verdict", [*judged(broken), judged_in_words(broken)])
    shutil.rmtree(broken)


if __name__ == "__main__":
    write_day()
    write_form(TOPIC, "emulated_record", emulated_record())
    write_form(TOPIC, "memory_record", memory_record())
    write_form(TOPIC, "policy_record", policy_record())
    written = sorted({form for method, form in calls_with_words() if method == RECORDING_METHOD})
    write_form(TOPIC, "written_lines", written)
