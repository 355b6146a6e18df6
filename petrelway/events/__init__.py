"""The CloudEvents codec, without I/O."""
