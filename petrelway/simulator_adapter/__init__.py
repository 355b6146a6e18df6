"""The decisions on the simulator's wire: lines of events in, lines of actions out."""
