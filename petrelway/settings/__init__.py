"""Settings: Jsonnet templates, evaluated, checked by section, faults named with file and path."""
