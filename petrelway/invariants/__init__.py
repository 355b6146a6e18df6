"""The checker of the five rules: reads what clients, executors and registry recorded at their sockets."""
