"""Writes the forms of policy_change anew, from the present program."""

from __future__ import annotations

import tempfile
from pathlib import Path

from forms_common import outline_lines, write_form
from forms_policy_change import TOPIC, document_differences, policy_answers, state_words

if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        answers = policy_answers(Path(folder))
    write_form(TOPIC, "answers", {name: outline_lines(answer) for name, answer in answers.items()})
    write_form(TOPIC, "differences", document_differences())
    write_form(TOPIC, "state_words", state_words())
