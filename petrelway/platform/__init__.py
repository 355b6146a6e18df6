"""The operators' platform protocol: client lines, executor frames, event bus, configuration; no I/O."""
