"""Code that several packages share: clocks, indices, endpoint entries, deployment settings, logs."""
