"""The fleet's versioned policy, which operators change: replicated by a few voters, and each version is
adopted by all members or by none."""
