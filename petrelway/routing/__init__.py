"""The routing decisions: deterministic and without I/O; the caller passes in the time and the seed."""
