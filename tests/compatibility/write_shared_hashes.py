"""Writes the forms of shared_hashes anew from the present code: run it by hand, and read the difference."""

from forms_policy_files import save
from forms_shared_hashes import FILES, TOPIC

if __name__ == "__main__":
    for name, form in FILES.items():
        save(TOPIC, name, form())
