"""The operators' policy in versions: replicated by a few voters, adopted by all members or by none."""
