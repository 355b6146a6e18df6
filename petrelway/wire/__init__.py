"""Encoding and decoding of the protocols between processes, without I/O."""
