"""The checker of the five rules: reads only what clients, executors and registry recorded at their sockets."""
