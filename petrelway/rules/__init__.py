"""The checker of the five rules: reads only what clients, executors and roster recorded at their sockets."""
