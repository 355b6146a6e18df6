"""Writes the forms of policy_store anew from the present code: run it by hand, and read the difference."""

from forms_policy_files import load, save
from forms_policy_store import FILES, TOPIC, WHOLE_FILE, write_file

if __name__ == "__main__":
    for name, form in FILES.items():
        save(TOPIC, name, form())
    WHOLE_FILE.unlink(missing_ok=True)
    write_file(WHOLE_FILE, len(load(TOPIC, "records.json")))
