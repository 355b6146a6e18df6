"""CloudEvents: the codec, without I/O."""
