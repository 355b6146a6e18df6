"""Adapter of the routing decisions to the simulator: lines of events in, lines of actions out."""
