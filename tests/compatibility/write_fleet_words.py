"""Writes the forms of fleet_words anew from the present code: run it by hand, and read the difference."""

from forms_fleet_words import FILES, TOPIC
from forms_policy_files import save

if __name__ == "__main__":
    for name, form in FILES.items():
        save(TOPIC, name, form())
