"""The routing decisions: pure, without I/O; the caller hands in the time and the seed."""
