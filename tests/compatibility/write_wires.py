"""Writes the checked-in forms from the present code.

Run as `PYTHONPATH=. python tests/compatibility/write_wires.py`.
"""

import forms_drill
import forms_intake
import forms_platform
import forms_wire
import wire_form_cases

TOPICS = (forms_wire, forms_platform, forms_intake, forms_drill)

if __name__ == "__main__":
    for forms in TOPICS:
        wire_form_cases.write(forms.TOPIC, forms.written(), forms.decode)
