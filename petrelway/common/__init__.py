"""What several packages share: clocks, indices, endpoint entries, the deployment's settings, logs."""
